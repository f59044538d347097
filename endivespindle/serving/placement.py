"""Which backend server a request goes to next."""

import random
from collections.abc import Collection, Sequence

from endivespindle.serving.directory import ServerView

__all__ = ["expected_delay", "place_request"]

# Duration taken for a server that answered nothing yet, in seconds. Only its
# ratio to the durations seen matters; a new server is tried soon.
_UNKNOWN_DURATION_S = 0.02
# A server that fails every exchange is treated as this many times slower.
_FAILURE_WEIGHT = 20.0
# Cost of another data centre, as a share of the delay: breaks ties only.
_REMOTE_SHARE = 0.05
# Cost of a new connection, as a share of the delay: it takes a place at the
# server for a moment, and servers accept a bounded number.
_COLD_SHARE = 0.25
# Servers with an open connection that are compared beside the drawn ones.
_WARM_DRAWN = 2


def expected_delay(view: ServerView, *, data_centre: str) -> float:
    """Returns the delay a server is expected to add, in seconds.

    The load pattern answered: a burst over servers of different speed, some
    of which turned slow or fail a part of their requests while their health
    check is good. Requests in flight beyond the slots wait for a whole
    service time each; a failing server counts as slow, so that it gets few
    requests but is tried again.
    """
    slots = max(1, view.entry.slots)
    duration_s = view.duration_s or _UNKNOWN_DURATION_S
    waiting = max(0.0, view.load() + 1 - slots)
    busy = view.load() / slots
    delay_s = duration_s * (1 + busy + waiting / slots)
    delay_s *= 1 + _FAILURE_WEIGHT * view.failure_rate
    if view.entry.data_centre != data_centre:
        delay_s *= 1 + _REMOTE_SHARE
    if not view.is_warm():
        delay_s *= 1 + _COLD_SHARE
    return delay_s


def place_request(
    views: Sequence[ServerView],
    *,
    tried: Collection[str],
    data_centre: str,
    rng: random.Random,
) -> ServerView | None:
    """Returns the server for the next attempt of a request.

    Servers not tried yet and not paused go first; a paused one is taken only
    if nothing else is left. Two random candidates are compared, and the one
    with the smaller expected delay is taken, so that VMs with the same old
    news do not all choose the same server.

    Args:
        views: Servers of the service that take new work.
        tried: Names of servers that this request was sent to.
        data_centre: Data centre of this VM.
        rng: Source of the draws.

    Returns:
        A server, or None if all were tried.

    References:
        Mitzenmacher, "The Power of Two Choices in Randomized Load
        Balancing", IEEE TPDS 12(10), 2001.
    """
    fresh = [view for view in views if view.entry.name not in tried]
    sound = [view for view in fresh if not view.is_paused()]
    candidates = sound or fresh
    if not candidates:
        return None
    drawn = rng.sample(candidates, min(2, len(candidates)))
    drawn += [view for view in candidates if view.is_warm()][:_WARM_DRAWN]
    return min(
        drawn, key=lambda view: expected_delay(view, data_centre=data_centre)
    )
