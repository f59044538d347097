"""Retry delay of refused requests."""

import random
from collections.abc import Sequence

from endivespindle.serving.directory import ServerView

__all__ = ["retry_after_s"]

# Bounds of the retry delay, in seconds. Callers retry over a new connection; a
# shorter delay only adds load, a longer one leaves slots unused.
_MIN_RETRY_AFTER_S = 0.05
_MAX_RETRY_AFTER_S = 1.0
# Seconds for which a request is assumed to occupy a slot where no server has
# responded yet.
_DEFAULT_DURATION_S = 0.1


def retry_after_s(views: Sequence[ServerView], *, rng: random.Random) -> float:
    """Returns the seconds after which a slot is expected to be free.

    Load pattern: a burst that exceeds all slots is refused at once by every
    VM. The time in which the servers finish the requests in excess of the
    slots at their usual speed is the lower end of the delay. Jitter of the
    same length is added, so that callers refused together do not retry
    together.

    Args:
        views: Servers of the service that accept new requests.
        rng: Source of the jitter.
    """
    slots = sum(view.entry.slots for view in views)
    if not slots:
        return rng.uniform(_MAX_RETRY_AFTER_S / 2, _MAX_RETRY_AFTER_S)
    excess = max(0.0, sum(view.load() for view in views) - slots) + 1
    known = [view.duration_s for view in views if view.duration_s]
    duration_s = sum(known) / len(known) if known else _DEFAULT_DURATION_S
    free_s = duration_s * excess / slots
    earliest_s = min(_MAX_RETRY_AFTER_S / 2, max(_MIN_RETRY_AFTER_S, free_s))
    return rng.uniform(earliest_s, 2 * earliest_s)
