"""What a request may do after servers crashed that ran it."""

from collections.abc import Sequence

import msgspec

__all__ = [
    "COINCIDENCE_S",
    "CRASHES_TO_QUARANTINE",
    "AttemptRule",
    "attempt_rule",
    "count_crashes",
]

# Number of crashed servers from which a request is quarantined. Two may crash
# by coincidence under a request that is retried.
CRASHES_TO_QUARANTINE = 3
# Pause after the second crash: other VMs learn of it meanwhile, and the first
# servers may be back.
_SUSPECT_PAUSE_S = 1.0
# First quarantine, doubled by each further crash up to the longest one. Newer
# software of the servers may run the request.
_FIRST_QUARANTINE_S = 300.0
_MAX_QUARANTINE_S = 86_400.0
_MAX_DOUBLINGS = 16
# Crashes this close together may have one cause outside the requests, as when
# a host fails; a request that runs on one server after the other takes longer.
COINCIDENCE_S = 0.05


class AttemptRule(msgspec.Struct, kw_only=True, frozen=True):
    """How a request may be sent to servers.

    Attributes:
        pause_s: Seconds from the last crash until the next attempt.
        may_hedge: Whether a second attempt may start beside the first.
        is_exclusive: Whether no repeat of the request may run at the same
            time.
        is_quarantined: Whether it has crashed too many servers.
    """

    pause_s: float = 0.0
    may_hedge: bool = True
    is_exclusive: bool = False
    is_quarantined: bool = False


_RULES_BY_CRASHES = (
    AttemptRule(),
    AttemptRule(may_hedge=False),
    AttemptRule(pause_s=_SUSPECT_PAUSE_S, may_hedge=False, is_exclusive=True),
)


def count_crashes(times_s: Sequence[float]) -> int:
    """Returns how many crashes count against a request.

    Load pattern: most servers of a service crash at once while equal requests
    run on several of them, as polls of one caller do. They count as one crash.

    Args:
        times_s: Times of the crashes of different servers, in seconds.

    Example:
        >>> count_crashes([1.0, 1.01, 1.02])
        1
        >>> count_crashes([1.0, 1.01, 2.0])
        3
    """
    if len(times_s) > 1 and max(times_s) - min(times_s) <= COINCIDENCE_S:
        return 1
    return len(times_s)


def attempt_rule(crashes: int) -> AttemptRule:
    """Returns how a request may be sent after servers crashed under it.

    Load pattern: a request crashes each server that runs it and comes again at
    any VM. Its own retries and hedges end a small service within a second, with
    all other requests there. All requests that ran on a crashed server are
    suspect at first, so that a single crash only rules out a hedge.

    Args:
        crashes: Servers that crashed under it in a row, while none completed
            it.

    Example:
        >>> attempt_rule(1).may_hedge
        False
        >>> attempt_rule(3).pause_s
        300.0
    """
    if crashes < CRASHES_TO_QUARANTINE:
        return _RULES_BY_CRASHES[crashes]
    doublings = min(_MAX_DOUBLINGS, crashes - CRASHES_TO_QUARANTINE)
    return AttemptRule(
        pause_s=min(_MAX_QUARANTINE_S, _FIRST_QUARANTINE_S * 2**doublings),
        may_hedge=False,
        is_exclusive=True,
        is_quarantined=True,
    )
