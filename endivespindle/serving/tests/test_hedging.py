"""Delay of second attempts."""

import random

import pytest

from endivespindle.serving.hedging import LatencyEstimate, hedge_delay_s

TARGET_S = 0.192


def _estimate(latencies):
    estimate = LatencyEstimate()
    for latency_s in latencies:
        estimate.record(latency_s)
    return estimate


def test_few_requests_of_a_healthy_route_are_sent_twice():
    """Work of 37 ms, exponential queueing of 5 ms on average."""
    rng = random.Random(1)
    latencies = [0.037 + rng.expovariate(200) for _ in range(400)]
    estimate = LatencyEstimate()
    hedged = 0
    for latency_s in latencies:
        delay_s = hedge_delay_s(estimate, target_latency_s=TARGET_S)
        hedged += latency_s > delay_s
        estimate.record(latency_s)
    assert hedged <= 0.05 * len(latencies)


@pytest.mark.parametrize("slow_s", [0.2, 0.6, 2.0])
def test_outliers_do_not_delay_the_second_attempt_past_the_target(slow_s):
    """A cut data centre: one response in four takes its time."""
    latencies = ([0.04] * 3 + [slow_s]) * 20
    delay_s = hedge_delay_s(_estimate(latencies), target_latency_s=TARGET_S)
    assert delay_s + 0.045 <= TARGET_S


def test_the_delay_is_not_shorter_than_the_route_usually_takes():
    estimate = _estimate([0.08] * 50)
    delay_s = hedge_delay_s(estimate, target_latency_s=TARGET_S)
    assert 0.08 < delay_s <= 0.6 * TARGET_S
