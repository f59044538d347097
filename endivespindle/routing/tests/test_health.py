"""When a server is put aside, and when it is tried again."""

from endivespindle.core.clock import ManualClock
from endivespindle.routing.health import (
    AttemptOutcome,
    ServerHealth,
    TypicalDuration,
)


def _health():
    clock = ManualClock()
    health = ServerHealth(clock=clock, typical=TypicalDuration())
    for _ in range(20):
        health.begin_request()
        clock.advance(1.0)
        health.end_request(AttemptOutcome.ANSWERED, 1.0)
    return clock, health


def test_failures_in_a_row_lengthen_the_pause():
    clock, health = _health()
    for pause_s in (1.0, 2.0, 4.0, 8.0, 8.0):
        health.begin_request()
        health.end_request(AttemptOutcome.FAILED)
        clock.advance(pause_s * 0.99)
        assert not health.is_usable(now_s=clock.monotonic())
        clock.advance(pause_s * 0.02)
        assert health.is_usable(now_s=clock.monotonic())


def test_one_request_at_a_time_probes():
    clock, health = _health()
    health.begin_request()
    health.end_request(AttemptOutcome.FAILED)
    clock.advance(2.0)
    health.begin_request()
    assert not health.is_usable(now_s=clock.monotonic())
    health.end_request(AttemptOutcome.ANSWERED, 1.0)
    assert health.is_usable(now_s=clock.monotonic())


def test_deadline_spent_in_a_queue_is_not_held_against_it():
    clock, health = _health()
    health.begin_request()
    health.end_request(AttemptOutcome.TIMED_OUT, 0.5)
    assert health.is_usable(now_s=clock.monotonic())
    health.begin_request()
    health.end_request(AttemptOutcome.TIMED_OUT, 9.0)
    assert not health.is_usable(now_s=clock.monotonic())


def test_silent_server_is_left_alone():
    clock, health = _health()
    health.begin_request()
    clock.advance(3.0)
    assert health.is_usable(now_s=clock.monotonic())
    clock.advance(2.0)
    assert not health.is_usable(now_s=clock.monotonic())


def test_crawling_server_is_put_aside():
    clock, health = _health()
    for _ in range(10):
        health.begin_request()
        clock.advance(10.0)
        health.end_request(AttemptOutcome.ANSWERED, 10.0)
    assert not health.is_usable(now_s=clock.monotonic())


def test_caller_that_goes_away_changes_nothing():
    clock, health = _health()
    health.begin_request()
    health.end_request(AttemptOutcome.GIVEN_UP)
    assert health.is_usable(now_s=clock.monotonic())


def test_long_stream_that_goes_on_is_no_stall():
    clock, health = _health()
    health.begin_request()
    for _ in range(20):
        clock.advance(3.0)
        assert health.is_usable(now_s=clock.monotonic())
        health.record_progress()
    health.end_request(AttemptOutcome.ANSWERED)
    assert health.is_usable(now_s=clock.monotonic())
