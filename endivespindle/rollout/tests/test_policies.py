"""Straggler policy and the outlook on versions."""

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


def _moves(policy, running, idle_slots=4):
    found = policy.mitigations(
        running, waiting=5, idle_slots=idle_slots, now_s=10.0
    )
    return [(move.slot[2], move.kind) for move in found]


def _policy_with_a_slow_engine():
    policy = LongestGroupFirst()
    for server, seconds in (("a", 1.0), ("b", 1.0), ("c", 3.0)):
        policy.record_chunk(server, tokens=60, seconds=seconds)
    return policy


def test_pilots_come_first_then_the_longest_group():
    policy = LongestGroupFirst()
    policy.record_length((0, 0, 0), 10)
    policy.record_length((0, 1, 0), 500)
    slots = [_slot(0, 2), _slot(1, 2), _slot(1, 1), _slot(2, 0), _slot(2, 2)]
    order = [(slot.group, slot.index) for slot in policy.order(slots)]
    assert order == [(2, 0), (1, 1), (1, 2), (0, 2), (2, 2)]


def test_longest_sample_leaves_a_slow_engine_for_an_idle_slot():
    policy = _policy_with_a_slow_engine()
    running = [_running(0, "c"), _running(1, "c", tokens=90), _running(2, "a")]
    assert _moves(policy, running, idle_slots=1) == [
        (1, MitigationKind.MIGRATE)
    ]
    assert _moves(policy, running, idle_slots=0) == []


def test_silent_sample_moves_but_not_for_ever():
    policy = _policy_with_a_slow_engine()
    silent = _running(0, "a", progress_s=1.0)
    assert _moves(policy, [silent], idle_slots=0) == [
        (0, MitigationKind.MIGRATE)
    ]
    tired = _running(0, "a", progress_s=1.0, moves=3)
    assert _moves(policy, [tired]) == []


def test_hedges_stay_within_their_budget():
    policy = _policy_with_a_slow_engine()
    late = [_running(n, "a", progress_s=7.0) for n in range(3)]
    assert _moves(policy, late) == [(0, MitigationKind.HEDGE)]


def test_outlook_learns_how_far_the_version_rises_while_a_step_waits():
    outlook = VersionForecast()
    outlook.observe(0, [0, 1], 0.0)
    outlook.observe(2, [1, 2], 100.0)
    assert outlook.expected_rise(2, 1.0, 100.0) == 2
    outlook.observe(3, [1, 2], 150.0)
    assert outlook.expected_rise(2, 1.0, 150.0) == 1
    assert outlook.expected_rise(2, 200.0, 150.0) >= 4


def test_gate_never_asks_for_more_than_the_newest_weights():
    gate = StalenessFilter(max_staleness_versions=2)
    engines = {"a": 5, "b": 4, "c": 3}
    assert gate.stale_engines(engines, version=5, rise=0) == frozenset()
    assert gate.stale_engines(engines, version=5, rise=1) == {"c"}
    assert gate.stale_engines(engines, version=5, rise=9) == {"b", "c"}
