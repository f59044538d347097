"""Requests started per client account and usage window."""

from endivespindle.controller.usage_windows import NodeUsageCounts
from endivespindle.core.clock import Clock

__all__ = ["UsageCounter"]

# Usage windows retained: a report is due two windows after its window's end,
# and a newly started controller must be able to obtain all of them.
_RETAINED_WINDOWS = 12


class UsageCounter:
    """Counts the requests of one node.

    Args:
        clock: Clock of this VM.
        window_s: Length of a usage window, in seconds.
        node: Name of this VM.
        incarnation: Unique id of this run of the process.
    """

    __slots__ = (
        "_clock",
        "_incarnation",
        "_node",
        "_sequence",
        "_window_s",
        "_windows",
    )

    def __init__(
        self, *, clock: Clock, window_s: float, node: str, incarnation: str
    ):
        self._clock = clock
        self._window_s = window_s
        self._node = node
        self._incarnation = incarnation
        self._windows: dict[int, dict[str, int]] = {}
        self._sequence = 0

    def count(self, client_account: str, *, ago_s: float = 0.0) -> None:
        """Counts a request that a server started to run.

        Args:
            client_account: Client account of the request; a request without
                one is not counted.
            ago_s: Seconds since the request was started.
        """
        if not client_account:
            return
        counts = self._windows.setdefault(self.window_number(ago_s=ago_s), {})
        counts[client_account] = counts.get(client_account, 0) + 1

    def window_number(self, *, ago_s: float = 0.0) -> int:
        """Returns the number of the usage window of `ago_s` seconds ago."""
        now_s = self._clock.now().timestamp() - ago_s
        return int(now_s // self._window_s)

    def snapshot(self) -> NodeUsageCounts:
        """Returns the counts of all retained windows."""
        current = self.window_number()
        for window in [
            w for w in self._windows if w < current - _RETAINED_WINDOWS
        ]:
            del self._windows[window]
        self._sequence += 1
        return NodeUsageCounts(
            node=self._node,
            incarnation=self._incarnation,
            told_s=self._clock.now().timestamp(),
            windows={w: dict(c) for w, c in self._windows.items()},
            sequence=self._sequence,
        )
