"""Requests begun for each client account, by usage window."""

from endivespindle.controller.usage_windows import NodeUsageCounts
from endivespindle.core.clock import Clock

__all__ = ["UsageCounter"]

# Windows kept: a report is due two windows after its end, and a controller
# that starts anew must be able to ask for all of them.
_KEPT_WINDOWS = 12


class UsageCounter:
    """Counts on one node.

    Args:
        clock: Clock of this VM.
        window_s: Length of a window.
        node: Name of this VM.
        incarnation: Identity of this start of the process.
    """

    __slots__ = ("_clock", "_incarnation", "_node", "_window_s", "_windows")

    def __init__(
        self, *, clock: Clock, window_s: float, node: str, incarnation: str
    ):
        self._clock = clock
        self._window_s = window_s
        self._node = node
        self._incarnation = incarnation
        self._windows: dict[int, dict[str, int]] = {}

    def count(self, client_account: str, *, ago_s: float = 0.0) -> None:
        """Counts a request that a server began to run some seconds ago."""
        if not client_account:
            return
        counts = self._windows.setdefault(self.window(ago_s=ago_s), {})
        counts[client_account] = counts.get(client_account, 0) + 1

    def window(self, *, ago_s: float = 0.0) -> int:
        """Returns the number of the window of a moment."""
        now_s = self._clock.now().timestamp() - ago_s
        return int(now_s // self._window_s)

    def news(self) -> NodeUsageCounts:
        """Returns all counts of the windows that are still kept."""
        current = self.window()
        for window in [w for w in self._windows if w < current - _KEPT_WINDOWS]:
            del self._windows[window]
        return NodeUsageCounts(
            node=self._node,
            incarnation=self._incarnation,
            told_s=self._clock.now().timestamp(),
            windows={w: dict(c) for w, c in self._windows.items()},
        )
