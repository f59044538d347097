"""Admission of samples to engines, with headroom for the version to rise."""

import collections
import math

import msgspec

__all__ = ["StalenessFilter", "VersionForecast"]

_SMOOTHING = 0.3
_REMEMBERED_STEPS = 4


class VersionForecast:
    """Foresees by how much a trainer's version rises before a hand-out.

    A sample of a step submitted ahead waits in the log until the trainer
    comes to that step. By how much the version rose between the submission
    and the end of earlier steps tells what this one will meet; the pace of
    the version covers a sample that takes longer than that.
    """

    __slots__ = ("_first_seen", "_interval_s", "_rises", "_seen_s", "_version")

    def __init__(self) -> None:
        self._version: int | None = None
        self._seen_s = 0.0
        self._interval_s = math.inf
        self._first_seen: dict[int, int] = {}
        self._rises: collections.deque[int] = collections.deque(
            maxlen=_REMEMBERED_STEPS
        )

    def observe(
        self, version: int, open_steps: list[int], now_s: float
    ) -> None:
        """Takes in the trainer's version and open steps at a time."""
        for step in [s for s in self._first_seen if s not in open_steps]:
            self._rises.append(version - self._first_seen.pop(step))
        for step in open_steps:
            self._first_seen.setdefault(step, version)
        if self._version is None:
            self._version, self._seen_s = version, now_s
        if version > self._version:
            self._take_rise(version, now_s)

    def expected_rise(self, step: int, expected_s: float, now_s: float) -> int:
        """Returns by how many versions it may rise before a hand-out.

        Args:
            step: Step of the sample.
            expected_s: Seconds that the sample will take.
            now_s: Time of the question.
        """
        version = self._version or 0
        since = version - self._first_seen.get(step, version)
        usual = max(self._rises, default=1) - since
        return max(0, usual, self._rise_within(expected_s, now_s))

    def _take_rise(self, version: int, now_s: float) -> None:
        assert self._version is not None
        interval_s = (now_s - self._seen_s) / (version - self._version)
        if math.isinf(self._interval_s):
            self._interval_s = interval_s
        self._interval_s += _SMOOTHING * (interval_s - self._interval_s)
        self._version, self._seen_s = version, now_s

    def _rise_within(self, seconds: float, now_s: float) -> int:
        if math.isinf(self._interval_s) or self._interval_s <= 0:
            return 0
        waited_s = min(now_s - self._seen_s, self._interval_s)
        return int((waited_s + seconds) / self._interval_s)


class StalenessFilter(msgspec.Struct, kw_only=True, frozen=True):
    """Tells which engines hold weights fresh enough to start a sample.

    Attributes:
        max_staleness_versions: Oldest version delivered, counted back.
    """

    max_staleness_versions: int

    def oldest_usable_version(self, *, version: int, rise: int) -> int:
        """Returns the oldest engine version worth starting on.

        No more is asked than the newest weights there are.
        """
        return min(version, version + rise - self.max_staleness_versions)

    def stale_engines(
        self, engines: dict[str, int], *, version: int, rise: int
    ) -> frozenset[str]:
        """Returns the engines on which a sample would go stale."""
        oldest = self.oldest_usable_version(version=version, rise=rise)
        return frozenset(
            name for name, held in engines.items() if held < oldest
        )
