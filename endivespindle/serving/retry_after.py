"""When a refused caller should come back."""

import random
from collections.abc import Sequence

from endivespindle.serving.directory import ServerView

__all__ = ["retry_after_s"]

# Bounds of the answer, in seconds. Callers come back over a new connection;
# sooner than the first only adds load, later than the second wastes places.
_SHORTEST_S = 0.05
_LONGEST_S = 1.0
# Seconds a place is taken for where no server has answered yet.
_UNKNOWN_DURATION_S = 0.1


def retry_after_s(views: Sequence[ServerView], *, rng: random.Random) -> float:
    """Returns the seconds after which a place is expected to be free.

    The load pattern answered: a burst beyond all slots is refused at once by
    every VM. The excess over the slots, worked off at the servers' usual
    speed, is the time until a newcomer fits; callers are spread over as much
    again, so that those refused together do not come back together.

    Args:
        views: Servers of the service that take new work.
        rng: Source of the spread.
    """
    slots = sum(view.entry.slots for view in views)
    if not slots:
        return rng.uniform(_LONGEST_S / 2, _LONGEST_S)
    excess = max(0.0, sum(view.load() for view in views) - slots) + 1
    known = [view.duration_s for view in views if view.duration_s]
    duration_s = sum(known) / len(known) if known else _UNKNOWN_DURATION_S
    free_s = duration_s * excess / slots
    soonest_s = min(_LONGEST_S / 2, max(_SHORTEST_S, free_s))
    return rng.uniform(soonest_s, 2 * soonest_s)
