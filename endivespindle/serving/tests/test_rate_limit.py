"""Spacing of one VM's requests to a server that limits its request rate."""

import math

import pytest

from endivespindle.core.clock import ManualClock
from endivespindle.serving.rate_limit import ServerRateLimit


def _limit(clock, vms=4):
    return ServerRateLimit(clock=clock, count_vms=lambda: vms)


def test_a_server_without_a_limit_gets_requests_at_once():
    limit = _limit(ManualClock())
    assert not limit.record(None)
    assert [limit.reserve_start() for _ in range(3)] == [0.0, 0.0, 0.0]
    assert not limit.is_reported()


def test_each_vm_uses_an_equal_part_until_it_has_a_share():
    clock = ManualClock()
    limit = _limit(clock, vms=4)
    assert limit.record(2.0)
    # 0.5 a second, from the response that named the limit.
    assert limit.reserve_start() == pytest.approx(2.0)
    assert limit.start_delay_s() == pytest.approx(4.0)


def test_requests_are_spaced_at_the_share():
    clock = ManualClock()
    limit = _limit(clock)
    limit.record(8.0)
    limit.assign_share(4.0, burst=1.0)
    assert limit.reserve_start() == pytest.approx(0.25)
    assert limit.reserve_start() == pytest.approx(0.5)
    assert limit.start_delay_s(reserved=2) == pytest.approx(1.25)


def test_an_idle_vm_saves_its_burst_at_most():
    clock = ManualClock()
    limit = _limit(clock)
    limit.record(8.0)
    limit.assign_share(4.0, burst=2.0)
    clock.advance(1.9)
    assert limit.start_delay_s(reserved=1) == 0.0
    assert [limit.reserve_start() for _ in range(2)] == [0.0, 0.0]
    assert limit.reserve_start() == pytest.approx(0.25)


def test_a_smaller_share_takes_saved_requests_away():
    """Another VM that has more demand may save them now."""
    clock = ManualClock()
    limit = _limit(clock)
    limit.record(8.0)
    limit.assign_share(4.0, burst=4.0)
    clock.advance(1.9)
    limit.assign_share(0.5, burst=1.0)
    assert limit.reserve_start() == 0.0
    assert limit.reserve_start() == pytest.approx(2.0)


def test_a_vm_whose_share_was_nothing_saves_none():
    """Many VMs may get a share one after the other."""
    clock = ManualClock()
    limit = _limit(clock)
    limit.record(8.0)
    limit.assign_share(0.0, burst=0.0)
    assert limit.start_delay_s() == math.inf
    clock.advance(1.0)
    limit.assign_share(4.0, burst=1.0)
    assert limit.start_delay_s() == pytest.approx(0.25)


def test_a_server_that_accepts_nothing_is_still_asked_now_and_then():
    limit = _limit(ManualClock(), vms=1)
    limit.record(0.0)
    assert limit.start_delay_s() == pytest.approx(4.0)


def test_a_share_expires():
    clock = ManualClock()
    limit = _limit(clock, vms=8)
    limit.record(8.0)
    limit.assign_share(4.0, burst=1.0)
    limit.reserve_start()
    clock.advance(2.1)
    limit.reserve_start()
    assert limit.start_delay_s() == pytest.approx(1.0)


def test_an_older_report_does_not_override_a_response():
    clock = ManualClock()
    limit = _limit(clock)
    limit.record(2.0)
    clock.advance(1.0)
    limit.record(None)
    assert not limit.record(2.0, age_s=0.5)
    assert limit.limit_per_s is None
    assert limit.start_delay_s() == 0.0
    assert limit.record(3.0)


def test_the_end_of_a_limit_is_reported_for_some_time():
    clock = ManualClock()
    limit = _limit(clock)
    limit.record(2.0)
    assert limit.is_reported()
    limit.record(None)
    assert limit.is_reported()
    clock.advance(11.0)
    assert not limit.is_reported()
