"""Rate of recent events."""

import pytest

from endivespindle.core.clock import ManualClock
from endivespindle.serving.rate_meter import RateMeter


def test_a_steady_rate_is_found_within_seconds():
    clock = ManualClock()
    meter = RateMeter(clock=clock)
    for _ in range(100):
        clock.advance(0.1)
        meter.record()
    assert meter.rate_per_s() == pytest.approx(10.0, rel=0.05)


def test_old_events_lose_their_weight():
    clock = ManualClock()
    meter = RateMeter(clock=clock)
    for _ in range(50):
        meter.record()
    at_once = meter.rate_per_s()
    clock.advance(1.0)
    assert meter.rate_per_s() == pytest.approx(at_once / 2)
    clock.advance(20.0)
    assert meter.rate_per_s() < 0.001
