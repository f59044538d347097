"""Choice of engines whose weights stay within the staleness bound.

The trainer's version may rise between the start of a sample and its delivery;
the choice leaves headroom for that.
"""

import collections
import math

import msgspec

__all__ = ["StalenessFilter", "VersionForecast"]

_SMOOTHING_FACTOR = 0.3
_RISE_HISTORY_STEPS = 4


class VersionForecast:
    """Predicts by how much a trainer's version rises before a delivery.

    A sample of a step submitted in advance stays in the log until the trainer
    reaches that step. The prediction is the largest rise between submission
    and completion among the latest steps, less the rise since this step was
    submitted. The moving average of the interval between versions gives a
    lower bound, for samples that take longer than that.
    """

    __slots__ = (
        "_first_versions",
        "_interval_s",
        "_rises",
        "_updated_s",
        "_version",
    )

    def __init__(self) -> None:
        self._version: int | None = None
        self._updated_s = 0.0
        self._interval_s = math.inf
        self._first_versions: dict[int, int] = {}
        self._rises: collections.deque[int] = collections.deque(
            maxlen=_RISE_HISTORY_STEPS
        )

    def observe(
        self, version: int, open_steps: list[int], now_s: float
    ) -> None:
        """Records the trainer's version and open steps at a time."""
        for step in [s for s in self._first_versions if s not in open_steps]:
            self._rises.append(version - self._first_versions.pop(step))
        for step in open_steps:
            self._first_versions.setdefault(step, version)
        if self._version is None:
            self._version, self._updated_s = version, now_s
        if version > self._version:
            self._record_rise(version, now_s)

    def expected_rise(self, step: int, duration_s: float, now_s: float) -> int:
        """Returns the expected rise of the version before a delivery.

        Args:
            step: Step of the sample.
            duration_s: Expected duration of the sample in seconds.
            now_s: Current time in seconds.
        """
        version = self._version or 0
        risen = version - self._first_versions.get(step, version)
        usual_rise = max(self._rises, default=1) - risen
        return max(0, usual_rise, self._rise_within(duration_s, now_s))

    def _record_rise(self, version: int, now_s: float) -> None:
        assert self._version is not None
        interval_s = (now_s - self._updated_s) / (version - self._version)
        if math.isinf(self._interval_s):
            self._interval_s = interval_s
        self._interval_s += _SMOOTHING_FACTOR * (interval_s - self._interval_s)
        self._version, self._updated_s = version, now_s

    def _rise_within(self, duration_s: float, now_s: float) -> int:
        if math.isinf(self._interval_s) or self._interval_s <= 0:
            return 0
        waited_s = min(now_s - self._updated_s, self._interval_s)
        return int((waited_s + duration_s) / self._interval_s)


class StalenessFilter(msgspec.Struct, kw_only=True, frozen=True):
    """Finds the engines whose weights are too old to start a sample on.

    Attributes:
        max_staleness_versions: Maximum number of versions that a sample may
            lag behind the trainer's version at its delivery.
    """

    max_staleness_versions: int

    def oldest_usable_version(self, *, version: int, rise: int) -> int:
        """Returns the oldest engine version to start a sample on.

        It is at most the trainer's version, so that engines with the newest
        weights are always usable.
        """
        return min(version, version + rise - self.max_staleness_versions)

    def stale_engines(
        self, engines: dict[str, int], *, version: int, rise: int
    ) -> frozenset[str]:
        """Returns the engines on which a sample would become stale."""
        oldest = self.oldest_usable_version(version=version, rise=rise)
        return frozenset(
            name
            for name, engine_version in engines.items()
            if engine_version < oldest
        )
