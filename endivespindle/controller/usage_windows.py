"""When a usage window's counts are final, and what they are."""

from collections.abc import Collection

import msgspec

from endivespindle.controller.operations import UsageWindowReport

__all__ = ["NodeUsageCounts", "UsageAggregator"]

# Time after a window's end in which requests begun in it may still be
# counted: the longest time a request is kept waiting, 2 s, and the way of the
# news.
_ALLOWED_LATENESS_S = 2.6
# Share of the time until a report is late after which it goes out with what
# is known.
_DEADLINE_FRACTION = 0.7
# Windows remembered; older ones can no longer be reported in time.
_RETAINED_WINDOWS = 24


class NodeUsageCounts(msgspec.Struct, kw_only=True, frozen=True):
    """What one node counted, as it told last.

    Attributes:
        node: Name of its VM.
        incarnation: Identity of that start of its process.
        told_s: Unix time at which it told.
        windows: Requests by client account, by window.
    """

    node: str
    incarnation: str
    told_s: float
    windows: dict[int, dict[str, int]]


class UsageAggregator:
    """Adds up what nodes counted.

    Counts are absolute for each start of a node's process, so that news may
    be repeated, lost or overtake each other; those of a start that is gone
    are kept.

    Args:
        window_s: Length of a window.
        late_s: Time after a window's end at which a report is late.
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
        """Takes in news of a node."""
        key = (counts.node, counts.incarnation)
        known = self._counts.get(key)
        if known is None or counts.told_s >= known.told_s:
            self._counts[key] = counts

    def start(self, now_s: float) -> None:
        """Starts to report with the windows that are not late yet."""
        oldest = int((now_s - self._late_s) // self._window_s)
        if self._first_window is None:
            self._first_window = oldest

    def due_reports(
        self, now_s: float, *, live: Collection[tuple[str, str]]
    ) -> list[UsageWindowReport]:
        """Returns the reports that can be made now.

        Args:
            now_s: Unix time.
            live: Nodes that run, with their incarnations.
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
        """Notes that the platform has a window's report."""
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
