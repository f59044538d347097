"""Usage reports of the fleet, made once a window's counts are final."""

from collections.abc import Collection

import msgspec

from endivespindle.controller.operations import UsageWindowReport

__all__ = ["NodeUsageCounts", "UsageAggregator"]

# Time after a window's end in which requests started in it may still be
# counted: 2 s, the longest time a request is queued, plus the delay of usage
# updates.
_ALLOWED_LATENESS_S = 2.6
# Fraction of the time until a report is late after which it is made even if
# counts of some nodes are missing.
_DEADLINE_FRACTION = 0.7
# Windows that may still be reported; older ones are late in any case.
_RETAINED_WINDOWS = 24


class NodeUsageCounts(msgspec.Struct, kw_only=True, frozen=True):
    """Absolute usage counts of one node, as of its newest update.

    Attributes:
        node: Name of the node's VM.
        incarnation: Identity of that start of the node's process.
        told_s: Unix time of the update, in seconds.
        sequence: Number of the update; the clock of a VM may be set back.
        windows: Number of requests by window, then by client account.
    """

    node: str
    incarnation: str
    told_s: float
    windows: dict[int, dict[str, int]]
    sequence: int = 0


class UsageAggregator:
    """Sums the usage counts of all nodes.

    Counts are absolute for each incarnation of a node, so that updates may be
    duplicated, lost or reordered; the counts of an incarnation that has ended
    are kept.

    Args:
        window_s: Length of a window in seconds.
        late_s: Seconds after a window's end at which its report is late.
    """

    __slots__ = (
        "_counts",
        "_first_window",
        "_late_s",
        "_reported",
        "_window_s",
    )

    def __init__(self, *, window_s: float, late_s: float):
        self._window_s = window_s
        self._late_s = late_s
        self._counts: dict[tuple[str, str], NodeUsageCounts] = {}
        self._reported: set[int] = set()
        self._first_window: int | None = None

    def record(self, counts: NodeUsageCounts) -> None:
        """Records a node's update, unless a newer one is recorded."""
        key = (counts.node, counts.incarnation)
        previous = self._counts.get(key)
        if previous is None or counts.sequence >= previous.sequence:
            self._counts[key] = counts

    def start(self, now_s: float) -> None:
        """Starts reporting, from the oldest window that is not late yet."""
        oldest = int((now_s - self._late_s) // self._window_s)
        if self._first_window is None:
            self._first_window = oldest

    def due_reports(
        self, now_s: float, *, live: Collection[tuple[str, str]]
    ) -> list[UsageWindowReport]:
        """Returns the final reports that the platform has not received yet.

        Args:
            now_s: Unix time.
            live: Names and incarnations of the running nodes.
        """
        if self._first_window is None:
            return []
        current = int(now_s // self._window_s)
        reports = []
        for window in range(
            max(self._first_window, current - _RETAINED_WINDOWS), current
        ):
            if window not in self._reported and self._is_final(
                window, now_s, live
            ):
                reports.append(self._report(window))
        return reports

    def mark_reported(self, window: int) -> None:
        """Records that the platform has received a window's report."""
        self._reported.add(window)

    def _is_final(
        self, window: int, now_s: float, live: Collection[tuple[str, str]]
    ) -> bool:
        final_s = (window + 1) * self._window_s + _ALLOWED_LATENESS_S
        if now_s < final_s:
            return False
        if (
            now_s
            >= (window + 1) * self._window_s + _DEADLINE_FRACTION * self._late_s
        ):
            return True
        return all(
            key in self._counts and self._counts[key].told_s >= final_s
            for key in live
        )

    def _report(self, window: int) -> UsageWindowReport:
        total: dict[str, int] = {}
        for counts in self._counts.values():
            for account, number in counts.windows.get(window, {}).items():
                total[account] = total.get(account, 0) + number
        return UsageWindowReport(window=window, requests=total)
