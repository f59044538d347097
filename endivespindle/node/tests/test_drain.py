"""Tests of the shutdown steps, on a manual clock."""

from endivespindle.core.clock import ManualClock
from endivespindle.node.drain import Drain, DrainState


def _make_drain(running=0):
    clock = ManualClock()
    drain = Drain(clock=clock, balancer_wait_s=2.0, timeout_s=60.0)
    drain.running = running
    return clock, drain


def test_requests_are_accepted_during_balancer_wait():
    clock, drain = _make_drain()
    assert drain.is_ready() and drain.accepts()
    drain.begin()
    assert not drain.is_ready()
    clock.advance(1.9)
    assert drain.advance() is DrainState.UNREADY
    assert drain.accepts()
    clock.advance(0.2)
    assert drain.advance() is DrainState.REFUSING
    assert not drain.accepts()


def test_usage_is_flushed_after_last_request():
    clock, drain = _make_drain(running=1)
    drain.begin()
    clock.advance(2.0)
    drain.advance()
    clock.advance(59.0)
    assert drain.advance() is DrainState.REFUSING
    drain.running = 0
    assert drain.advance() is DrainState.FLUSHING
    drain.mark_flushed()
    assert drain.state == DrainState.STOPPED


def test_running_request_is_abandoned_at_timeout():
    clock, drain = _make_drain(running=1)
    drain.begin()
    clock.advance(2.0)
    drain.advance()
    clock.advance(60.0)
    assert drain.advance() is DrainState.FLUSHING


def test_second_begin_has_no_effect():
    clock, drain = _make_drain()
    drain.begin()
    clock.advance(1.5)
    drain.begin()
    clock.advance(0.5)
    assert drain.advance() is DrainState.REFUSING
