"""Swap plans, and what proves that a swap worked."""

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
        EngineVersion(name=f"e{at}", version=version)
        for at, version in enumerate(versions)
    ]


def test_stalest_first_within_the_fraction(clock):
    planner = _planner(clock)
    engines = _engines(2, 1, 2, 3)
    assert planner.plan(engines, version=3) == ["e1", "e0"]
    assert planner.plan(engines, version=3) == []


def test_engines_over_the_bound_are_not_held_back(clock):
    planner = _planner(clock, max_staleness_versions=1)
    assert len(planner.plan(_engines(1, 1, 1, 4), version=4)) == 3


def test_store_bounds_fetches(clock):
    planner = _planner(clock, max_fetches=1, max_staleness_versions=1)
    assert planner.plan(_engines(1, 1, 1, 1), version=4) == ["e0"]


def test_swap_that_is_never_seen_is_ordered_again_after_a_pause(clock):
    planner = _planner(clock, swap_timeout_s=10.0)
    assert planner.plan(_engines(1), version=2) == ["e0"]
    clock.advance(10.5)
    assert planner.plan(_engines(1), version=2) == []
    assert planner.failed == 1
    clock.advance(1.0)
    assert planner.plan(_engines(1), version=2) == ["e0"]


def test_chunk_after_the_report_unmasks_a_lie(clock):
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


def test_refused_order_is_sent_again_later(clock):
    planner = _planner(clock)
    planner.plan(_engines(1), version=2)
    planner.record_refusal("e0")
    assert planner.plan(_engines(1), version=2) == []
    clock.advance(1.5)
    assert planner.plan(_engines(1), version=2) == ["e0"]
