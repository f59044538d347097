"""Swap planning, and how a swap is confirmed or found to have failed."""

import random

import pytest

from endivespindle.core.clock import ManualClock
from endivespindle.weights.swap_plan import (
    EngineVersion,
    SwapLimits,
    SwapPlanner,
)


@pytest.fixture
def clock():
    return ManualClock()


def _planner(clock, **limits):
    return SwapPlanner(
        clock=clock, rng=random.Random(1), limits=SwapLimits(**limits)
    )


def _engines(*versions):
    return [
        EngineVersion(name=f"e{i}", version=version)
        for i, version in enumerate(versions)
    ]


def test_stalest_engines_swap_first_within_the_fraction(clock):
    planner = _planner(clock)
    engines = _engines(2, 1, 2, 3)
    assert planner.plan(engines, version=3) == ["e1", "e0"]
    assert planner.plan(engines, version=3) == []


def test_engines_beyond_the_staleness_limit_all_swap_at_once(clock):
    planner = _planner(clock, max_staleness_versions=1)
    assert len(planner.plan(_engines(1, 1, 1, 4), version=4)) == 3


def test_concurrent_fetches_are_limited(clock):
    planner = _planner(clock, max_fetches=1, max_staleness_versions=1)
    assert planner.plan(_engines(1, 1, 1, 1), version=4) == ["e0"]


def test_unconfirmed_swap_is_ordered_again_after_a_backoff(clock):
    planner = _planner(clock, swap_timeout_s=10.0)
    assert planner.plan(_engines(1), version=2) == ["e0"]
    clock.advance(10.5)
    assert planner.plan(_engines(1), version=2) == []
    assert planner.failed == 1
    clock.advance(1.0)
    assert planner.plan(_engines(1), version=2) == ["e0"]


def test_later_chunk_contradicts_the_report(clock):
    planner = _planner(clock)
    planner.plan(_engines(1), version=2)
    planner.record_chunk_version("e0", 1)
    clock.advance(1.0)
    assert planner.plan(_engines(2), version=2) == []
    assert planner.version_of(*_engines(2)) == 2
    clock.advance(1.0)
    planner.record_chunk_version("e0", 1)
    assert planner.version_of(*_engines(2)) == 1
    assert planner.plan(_engines(2), version=2) == []
    clock.advance(1.5)
    assert planner.plan(_engines(2), version=2) == ["e0"]


def test_refused_order_is_sent_again_after_a_backoff(clock):
    planner = _planner(clock)
    planner.plan(_engines(1), version=2)
    planner.record_refusal("e0")
    assert planner.plan(_engines(1), version=2) == []
    clock.advance(1.5)
    assert planner.plan(_engines(1), version=2) == ["e0"]
