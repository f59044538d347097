"""How fast servers generate, and when a text should go on elsewhere."""

import statistics
from collections.abc import Iterable

from endivespindle.serving.directory import ServerView

__all__ = ["best_pace", "expected_events", "should_move", "silence_limit_s"]

# Seconds for an event taken for servers that have generated none yet; a few
# dozen tokens at the speed of a large model.
_UNKNOWN_PACE_S = 0.04
# A text moves only from a server that is this much slower than the best one,
# and only if that saves this much: the other server reads the prompt and the
# text so far again, which with the way there takes about 0.1 s.
_SLOWER_FACTOR = 1.6
_LEAST_GAIN_S = 0.45
# The same for a server all of whose texts are slow: machines of a fleet differ
# by 1.3, and a single text's pace varies by about as much.
_SLOWER_SERVER_FACTOR = 1.2
# Events after which a text's pace says something of its server.
_LEAST_EVENTS = 4
# A server that says nothing for this long within a text is lost: some dozen
# events, and over the pause in which it reads another prompt.
_SILENCE_S = 1.5
# The same while a request may wait in the server's queue, and while the server
# loads weights, 0.9 s and more.
_LONG_SILENCE_S = 3.0
# A text longer than expected is expected to go on for this share of its
# length so far: lengths have a heavy tail.
_TAIL_SHARE = 0.5


def expected_events(*, hint_events: float, done: int) -> float:
    """Returns the events that a text is still expected to need.

    Args:
        hint_events: Events expected before it began.
        done: Events it has.

    Example:
        >>> expected_events(hint_events=30, done=10)
        20.0
        >>> expected_events(hint_events=30, done=100)
        50.0
    """
    return float(max(hint_events - done, _TAIL_SHARE * done, 1))


def best_pace(views: Iterable[ServerView]) -> float:
    """Returns the pace of a sound server: the lower quartile of those known.

    Returns:
        Seconds for an event.
    """
    known = sorted(view.pace_s for view in views if view.pace_s)
    if not known:
        return _UNKNOWN_PACE_S
    if len(known) < 3:
        return known[0]
    return statistics.quantiles(known, n=4)[0]


def should_move(
    *,
    pace_s: float,
    server_pace_s: float,
    best_s: float,
    done: int,
    rest: float,
) -> bool:
    """Tells whether a running text should go on at another server.

    The load pattern answered: a server turns several times slower in the
    middle of a step, or a long text began on one of the slower machines. The
    texts that it runs become the last ones of groups whose other texts ended
    long ago. A text resumes after its last event, so that only its prompt is
    read again.

    Args:
        pace_s: Seconds for an event, as of late, where it runs.
        server_pace_s: The same over all texts of that server.
        best_s: Seconds for an event at a sound server.
        done: Events received from this server.
        rest: Events still expected.
    """
    if done < _LEAST_EVENTS or rest * (pace_s - best_s) < _LEAST_GAIN_S:
        return False
    if pace_s >= _SLOWER_FACTOR * best_s:
        return True
    return min(pace_s, server_pace_s) >= _SLOWER_SERVER_FACTOR * best_s


def silence_limit_s(*, may_wait: bool, is_loading: bool) -> float:
    """Returns the seconds without an event after which a server is lost.

    The load pattern answered: a data centre is cut off in the middle of a
    step. Texts that run there end groups whose other texts ended long ago,
    and go on elsewhere without reading more than their prompt again.

    Args:
        may_wait: Whether the request may wait in the server's queue.
        is_loading: Whether the server may be loading weights.

    Example:
        >>> silence_limit_s(may_wait=False, is_loading=False)
        1.5
        >>> silence_limit_s(may_wait=True, is_loading=False)
        3.0
    """
    return _LONG_SILENCE_S if may_wait or is_loading else _SILENCE_S
