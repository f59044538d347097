"""How many requests a VM passes on to servers for cut-off VMs."""

from collections.abc import Callable

__all__ = ["LendingRoom"]

# Requests of each kind that a VM passes on although it has few callers and may
# be busy.
_MIN_LENT = 8
# Requests of each kind that a VM passes on while it is not busy. Each holds a
# connection and some ten kilobytes.
_MAX_LENT = 64
# Delay of a ready task above which a VM counts as busy: its own callers notice
# several times this.
_BUSY_DELAY_S = 0.01
# Weight of the newest delay in the moving average.
_SMOOTHING = 0.2


class LendingRoom:
    """Limits the requests that a VM passes on by how busy it is.

    Load pattern: most VMs lose the path to the servers at the same moment, and
    those left would carry several times the requests of their own callers.
    They do as long as their processor keeps up. Items of batch jobs, which
    last for seconds and are sent again, have room of their own, so that they
    never take that of callers' requests.

    Args:
        count_own: Returns the number of requests of this VM's own callers in
            progress.
    """

    __slots__ = ("_count_own", "_delay_s", "_lent")

    def __init__(self, *, count_own: Callable[[], int]):
        self._count_own = count_own
        self._delay_s = 0.0
        self._lent = {False: 0, True: 0}

    @property
    def lent(self) -> int:
        """Requests that are passed on now."""
        return sum(self._lent.values())

    @property
    def lent_requests(self) -> int:
        """Those of them that are no items of batch jobs."""
        return self._lent[False]

    def record_delay(self, delay_s: float) -> None:
        """Records for how long a ready task waited for the processor."""
        self._delay_s += _SMOOTHING * (delay_s - self._delay_s)

    def try_take(self, *, is_item: bool) -> bool:
        """Takes room for one request, if there is any.

        Args:
            is_item: Whether it is an item of a batch job.
        """
        limit = max(_MIN_LENT, self._count_own())
        if self._delay_s <= _BUSY_DELAY_S:
            limit = max(_MAX_LENT, limit)
        if self._lent[is_item] >= limit:
            return False
        self._lent[is_item] += 1
        return True

    def give_back(self, *, is_item: bool) -> None:
        """Gives the room of one request back."""
        self._lent[is_item] -= 1
