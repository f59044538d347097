"""The steps of leaving, on a manual clock."""

from endivespindle.core.clock import ManualClock
from endivespindle.node.drain import Drain, DrainState


def _drain(running=0):
    clock = ManualClock()
    drain = Drain(clock=clock, balancer_wait_s=2.0, timeout_s=60.0)
    drain.running = running
    return clock, drain


def test_requests_are_taken_until_the_balancer_has_noticed():
    clock, drain = _drain()
    assert drain.is_ready() and drain.accepts()
    drain.begin()
    assert not drain.is_ready()
    clock.advance(1.9)
    assert drain.advance() is DrainState.UNREADY
    assert drain.accepts()
    clock.advance(0.2)
    assert drain.advance() is DrainState.REFUSING
    assert not drain.accepts()


def test_usage_is_flushed_only_after_the_last_request():
    clock, drain = _drain(running=1)
    drain.begin()
    clock.advance(2.0)
    drain.advance()
    clock.advance(59.0)
    assert drain.advance() is DrainState.REFUSING
    drain.running = 0
    assert drain.advance() is DrainState.FLUSHING
    drain.flushed()
    assert drain.state == DrainState.STOPPED


def test_request_without_end_is_given_up_at_the_limit():
    clock, drain = _drain(running=1)
    drain.begin()
    clock.advance(2.0)
    drain.advance()
    clock.advance(60.0)
    assert drain.advance() is DrainState.FLUSHING


def test_second_signal_changes_nothing():
    clock, drain = _drain()
    drain.begin()
    clock.advance(1.5)
    drain.begin()
    clock.advance(0.5)
    assert drain.advance() is DrainState.REFUSING
