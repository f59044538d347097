"""Tests of pauses and probes of a server."""

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


def test_consecutive_failures_lengthen_the_pause():
    clock, health = _health()
    for pause_s in (1.0, 2.0, 4.0, 8.0, 8.0):
        health.begin_request()
        health.end_request(AttemptOutcome.FAILED)
        clock.advance(pause_s * 0.99)
        assert not health.is_usable(now_s=clock.monotonic())
        clock.advance(pause_s * 0.02)
        assert health.is_usable(now_s=clock.monotonic())


def test_probe_is_one_request_at_a_time():
    clock, health = _health()
    health.begin_request()
    health.end_request(AttemptOutcome.FAILED)
    clock.advance(2.0)
    health.begin_request()
    assert not health.is_usable(now_s=clock.monotonic())
    health.end_request(AttemptOutcome.ANSWERED, 1.0)
    assert health.is_usable(now_s=clock.monotonic())


def test_deadline_used_up_in_a_queue_is_no_failure():
    clock, health = _health()
    health.begin_request()
    health.end_request(AttemptOutcome.TIMED_OUT, 0.5)
    assert health.is_usable(now_s=clock.monotonic())
    health.begin_request()
    health.end_request(AttemptOutcome.TIMED_OUT, 9.0)
    assert not health.is_usable(now_s=clock.monotonic())


def test_stalled_server_gets_no_request():
    clock, health = _health()
    health.begin_request()
    clock.advance(3.0)
    assert health.is_usable(now_s=clock.monotonic())
    clock.advance(2.0)
    assert not health.is_usable(now_s=clock.monotonic())


def test_slow_server_is_paused():
    clock, health = _health()
    for _ in range(10):
        health.begin_request()
        clock.advance(10.0)
        health.end_request(AttemptOutcome.ANSWERED, 10.0)
    assert not health.is_usable(now_s=clock.monotonic())


def test_cancelled_attempt_changes_nothing():
    clock, health = _health()
    health.begin_request()
    health.end_request(AttemptOutcome.GIVEN_UP)
    assert health.is_usable(now_s=clock.monotonic())


def test_long_stream_with_progress_is_no_stall():
    clock, health = _health()
    health.begin_request()
    for _ in range(20):
        clock.advance(3.0)
        assert health.is_usable(now_s=clock.monotonic())
        health.record_progress()
    health.end_request(AttemptOutcome.ANSWERED)
    assert health.is_usable(now_s=clock.monotonic())
