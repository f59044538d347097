"""Choice of the backend server for an attempt of a request."""

import math
import random
from collections.abc import Collection, Sequence

from endivespindle.core.reasons import Reason
from endivespindle.serving.directory import ServerView

__all__ = ["expected_delay", "place_request", "unplaced_reason"]

# Duration assumed for a server without any response yet, in seconds. Only its
# ratio to the known durations matters; a new server is tried soon.
_DEFAULT_DURATION_S = 0.02
# Factor by which a server that fails every exchange is treated as slower.
_FAILURE_WEIGHT = 20.0
# Cost of another data centre, as a fraction of the delay; breaks ties only.
_REMOTE_FRACTION = 0.05
# Cost of a new connection, as a fraction of the delay: it occupies the server
# for a moment, and servers accept a limited number of connections.
_NEW_CONNECTION_FRACTION = 0.25
# Servers with an open connection that are compared in addition to the randomly
# drawn ones.
_MAX_WARM_CANDIDATES = 2


def expected_delay(view: ServerView, *, data_centre: str) -> float:
    """Returns the delay a server is expected to add, in seconds.

    Load pattern: a burst over servers of different speed, some of which have
    become slow or fail part of their requests while their health check passes,
    or limit their request rate. Each request in flight beyond the slots waits
    for a full service time. A failing server counts as slow, so that it gets
    few requests but is tried again.
    """
    slots = max(1, view.entry.slots)
    duration_s = (view.duration_s or _DEFAULT_DURATION_S) * view.pace()
    waiting = max(0.0, view.load() + 1 - slots)
    busy = view.load() / slots
    delay_s = duration_s * (1 + busy + waiting / slots)
    delay_s *= 1 + _FAILURE_WEIGHT * view.failure_rate
    if view.entry.data_centre != data_centre:
        delay_s *= 1 + _REMOTE_FRACTION
    if not view.is_warm():
        delay_s *= 1 + _NEW_CONNECTION_FRACTION
    return delay_s + view.rate_limit.start_delay_s()


def place_request(
    views: Sequence[ServerView],
    *,
    tried: Collection[str],
    data_centre: str,
    rng: random.Random,
    max_start_delay_s: float = math.inf,
) -> ServerView | None:
    """Returns the server for the next attempt of a request.

    A server is tried once; a paused one is used only if no other is left. Two
    random candidates and some with an open connection are compared, and the
    one with the smallest expected delay is chosen, so that VMs with the same
    outdated information do not all choose the same server.

    Args:
        views: Servers of the service that accept new requests.
        tried: Names of the servers that this request was sent to.
        data_centre: Data centre of this VM.
        rng: Source of the random candidates.
        max_start_delay_s: Longest wait for a server that limits its request
            rate, in seconds.

    Returns:
        A server, or None if no untried one accepts the request in time.

    References:
        Mitzenmacher, "The Power of Two Choices in Randomized Load
        Balancing", IEEE TPDS 12(10), 2001.
    """
    untried = [
        view
        for view in views
        if view.entry.name not in tried
        and view.rate_limit.start_delay_s() <= max_start_delay_s
    ]
    healthy = [view for view in untried if not view.is_paused()]
    candidates = healthy or untried
    if not candidates:
        return None
    drawn = rng.sample(candidates, min(2, len(candidates)))
    drawn += [view for view in candidates if view.is_warm()][
        :_MAX_WARM_CANDIDATES
    ]
    return min(
        drawn, key=lambda view: expected_delay(view, data_centre=data_centre)
    )


def unplaced_reason(
    views: Sequence[ServerView],
    *,
    tried: Collection[str],
    software: str | None = None,
) -> Reason | None:
    """Returns why no server takes the next attempt of a request.

    Args:
        views: Servers of the service that accept new requests.
        tried: Names of the servers that this request was sent to.
        software: The only software version that may run it, if there is one.

    Returns:
        None if it was sent to each of the servers that may run it.
    """
    usable = [v for v in views if software in (None, v.entry.software)]
    if any(view.entry.name not in tried for view in usable):
        # Without its rate limit such a server would have been chosen.
        return Reason.BACKEND_LIMITED
    if software is not None and not usable:
        return Reason.STREAM_SOFTWARE_GONE
    return None
