"""Generation speed of servers, and when to migrate a completion."""

import statistics
from collections.abc import Iterable

from endivespindle.serving.directory import ServerView

__all__ = [
    "baseline_event_interval_s",
    "expected_remaining_events",
    "should_migrate",
    "silence_timeout_s",
]

# Interval between events assumed for servers that have not generated any yet:
# the time a large model takes for a few dozen tokens.
_DEFAULT_EVENT_INTERVAL_S = 0.04
# A completion migrates only from a server slower than the baseline by at least
# this factor, and only if that saves at least this much: the new server has to
# prefill the prompt and the partial completion, which takes about 0.1 s with
# the round trip.
_MIN_SLOWDOWN = 1.6
_MIN_GAIN_S = 0.45
# The minimum slowdown if the server is slow for all of its completions:
# machines of a fleet differ by a factor of 1.3, and the interval of a single
# completion varies by about as much.
_MIN_SERVER_SLOWDOWN = 1.2
# Events after which the interval of a completion is a usable estimate for its
# server.
_MIN_EVENTS = 4
# A server that sends no event for this long within a completion is treated as
# lost. The limit spans some dozen events and exceeds the pause in which the
# server prefills another prompt.
_SILENCE_S = 1.5
# The same while the request may wait in the server's queue, and while the
# server loads weights, which takes 0.9 s or more.
_LONG_SILENCE_S = 3.0
# A completion longer than estimated is expected to grow by this fraction of
# its current length: lengths have a heavy tail.
_TAIL_FRACTION = 0.5


def expected_remaining_events(
    *, estimated_events: float, received_events: int
) -> float:
    """Returns the number of events a completion is still expected to need.

    Args:
        estimated_events: Events estimated before generation started.
        received_events: Events received so far.

    Example:
        >>> expected_remaining_events(estimated_events=30, received_events=10)
        20.0
        >>> expected_remaining_events(estimated_events=30, received_events=100)
        50.0
    """
    return float(
        max(
            estimated_events - received_events,
            _TAIL_FRACTION * received_events,
            1,
        )
    )


def baseline_event_interval_s(views: Iterable[ServerView]) -> float:
    """Returns the event interval of a healthy server.

    This is the lower quartile of the known intervals.

    Returns:
        Seconds per event.
    """
    known = sorted(
        view.event_interval_s for view in views if view.event_interval_s
    )
    if not known:
        return _DEFAULT_EVENT_INTERVAL_S
    if len(known) < 3:
        return known[0]
    return statistics.quantiles(known, n=4)[0]


def should_migrate(
    *,
    interval_s: float,
    server_interval_s: float,
    baseline_interval_s: float,
    received_events: int,
    remaining_events: float,
) -> bool:
    """Returns whether a running completion should migrate to another server.

    Load pattern: a server becomes several times slower in the middle of a
    step, or a long completion started on one of the slower machines. The
    completions running there become the last ones of groups whose other
    completions ended long ago. A migrated completion resumes after its last
    event, so that only its prompt is prefilled again.

    Args:
        interval_s: Recent seconds per event of the completion at its server.
        server_interval_s: Seconds per event over all completions of that
            server.
        baseline_interval_s: Seconds per event at a healthy server.
        received_events: Events received from this server.
        remaining_events: Events still expected.
    """
    if (
        received_events < _MIN_EVENTS
        or remaining_events * (interval_s - baseline_interval_s) < _MIN_GAIN_S
    ):
        return False
    if interval_s >= _MIN_SLOWDOWN * baseline_interval_s:
        return True
    return (
        min(interval_s, server_interval_s)
        >= _MIN_SERVER_SLOWDOWN * baseline_interval_s
    )


def silence_timeout_s(*, may_wait: bool, is_loading: bool) -> float:
    """Returns the seconds without an event after which a server is lost.

    Load pattern: a data centre is cut off in the middle of a step. Completions
    that run there become the last ones of groups whose other completions ended
    long ago. They resume elsewhere, where only the prompt is prefilled again.

    Args:
        may_wait: Whether the request may wait in the server's queue.
        is_loading: Whether the server may be loading weights.

    Example:
        >>> silence_timeout_s(may_wait=False, is_loading=False)
        1.5
        >>> silence_timeout_s(may_wait=True, is_loading=False)
        3.0
    """
    return _LONG_SILENCE_S if may_wait or is_loading else _SILENCE_S
