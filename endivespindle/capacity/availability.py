"""Which data centres' backend servers are there when ordered."""

import msgspec

from endivespindle.core.clock import Clock

__all__ = ["DataCentreAvailability"]

_START_TIME_FACTOR = 2
_RETRY_AFTER_S = 300.0


class _DataCentreState(msgspec.Struct, kw_only=True):
    had_running: bool = False
    empty_since_s: float | None = None
    unavailable_until_s: float = 0.0


class DataCentreAvailability:
    """Tells a data centre that lost its servers from one that starts them.

    Args:
        clock: Clock of this VM.
        start_time_s: Seconds a backend server takes to start.
    """

    __slots__ = ("_centres", "_clock", "_start_time_s")

    def __init__(self, *, clock: Clock, start_time_s: float):
        self._clock = clock
        self._start_time_s = start_time_s
        self._centres: dict[str, _DataCentreState] = {}

    def record(self, name: str, *, wanted: int, running: int) -> None:
        """Takes in what was ordered in a data centre and what runs."""
        now_s = self._clock.monotonic()
        centre = self._centres.setdefault(name, _DataCentreState())
        if running or not wanted:
            centre.had_running = running > 0
            centre.empty_since_s = None
            return
        if centre.empty_since_s is None:
            centre.empty_since_s = now_s
        waited_s = now_s - centre.empty_since_s
        if centre.had_running or (
            waited_s > _START_TIME_FACTOR * self._start_time_s
        ):
            centre.had_running = False
            centre.empty_since_s = now_s
            centre.unavailable_until_s = now_s + _RETRY_AFTER_S

    def is_available(self, name: str) -> bool:
        """Tells whether to count on a data centre."""
        centre = self._centres.get(name)
        if centre is None:
            return True
        return self._clock.monotonic() >= centre.unavailable_until_s
