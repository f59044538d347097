"""Tests of the straggler policy, version forecast and staleness filter."""

from endivespindle.rollout.delivery import OpenSlot
from endivespindle.rollout.staleness import StalenessFilter, VersionForecast
from endivespindle.rollout.stragglers import (
    LongestGroupFirst,
    MitigationKind,
    RunningSample,
)


def _slot(group, index, step=0):
    return OpenSlot(step=step, group=group, index=index, page="p")


def _running(index, server, progress_s=10.0, tokens=10, **fields):
    return RunningSample(
        slot=(0, 0, index),
        server=server,
        tokens=tokens,
        started_s=0.0,
        progress_s=progress_s,
        **fields,
    )


def _mitigate(policy, running, idle_slots=4):
    mitigations = policy.mitigations(
        running, waiting=5, idle_slots=idle_slots, now_s=10.0
    )
    return [(mitigation.slot[2], mitigation.kind) for mitigation in mitigations]


def _policy_with_a_slow_engine():
    policy = LongestGroupFirst()
    for server, seconds in (("a", 1.0), ("b", 1.0), ("c", 3.0)):
        policy.record_chunk(server, tokens=60, seconds=seconds)
    return policy


def test_pilots_start_first_then_the_longest_group():
    policy = LongestGroupFirst()
    policy.record_length((0, 0, 0), 10)
    policy.record_length((0, 1, 0), 500)
    slots = [_slot(0, 2), _slot(1, 2), _slot(1, 1), _slot(2, 0), _slot(2, 2)]
    order = [(slot.group, slot.index) for slot in policy.order(slots)]
    assert order == [(2, 0), (1, 1), (1, 2), (0, 2), (2, 2)]


def test_longest_sample_migrates_from_a_slow_engine():
    policy = _policy_with_a_slow_engine()
    running = [_running(0, "c"), _running(1, "c", tokens=90), _running(2, "a")]
    assert _mitigate(policy, running, idle_slots=1) == [
        (1, MitigationKind.MIGRATE)
    ]
    assert _mitigate(policy, running, idle_slots=0) == []


def test_stalled_sample_migrates_a_limited_number_of_times():
    policy = _policy_with_a_slow_engine()
    stalled = _running(0, "a", progress_s=1.0)
    assert _mitigate(policy, [stalled], idle_slots=0) == [
        (0, MitigationKind.MIGRATE)
    ]
    exhausted = _running(0, "a", progress_s=1.0, moves=3)
    assert _mitigate(policy, [exhausted]) == []


def test_hedges_are_limited_by_their_budget():
    policy = _policy_with_a_slow_engine()
    late = [_running(n, "a", progress_s=7.0) for n in range(3)]
    assert _mitigate(policy, late) == [(0, MitigationKind.HEDGE)]


def test_forecast_uses_the_version_rise_of_earlier_steps():
    forecast = VersionForecast()
    forecast.observe(0, [0, 1], 0.0)
    forecast.observe(2, [1, 2], 100.0)
    assert forecast.expected_rise(2, 1.0, 100.0) == 2
    forecast.observe(3, [1, 2], 150.0)
    assert forecast.expected_rise(2, 1.0, 150.0) == 1
    assert forecast.expected_rise(2, 200.0, 150.0) >= 4


def test_engine_with_newest_weights_is_never_stale():
    staleness_filter = StalenessFilter(max_staleness_versions=2)
    engines = {"a": 5, "b": 4, "c": 3}
    assert (
        staleness_filter.stale_engines(engines, version=5, rise=0)
        == frozenset()
    )
    assert staleness_filter.stale_engines(engines, version=5, rise=1) == {"c"}
    assert staleness_filter.stale_engines(engines, version=5, rise=9) == {
        "b",
        "c",
    }
