"""Availability of data centres: whether ordered backend servers run."""

import msgspec

from endivespindle.core.clock import Clock

__all__ = ["DataCentreAvailability"]

# Ordered servers count as lost if none runs after this many start times.
_START_TIME_FACTOR = 2
# Time for which a data centre counts as unavailable before it is tried again.
_RETRY_AFTER_S = 300.0


class _DataCentreState(msgspec.Struct, kw_only=True):
    had_running: bool = False
    empty_since_s: float | None = None
    unavailable_until_s: float = 0.0


class DataCentreAvailability:
    """Distinguishes a data centre that lost its servers from a starting one.

    A data centre counts as unavailable for some time if none of its servers
    runs although some are ordered, and either some ran before or they have
    had twice their start time.

    Args:
        clock: Clock of this VM.
        start_time_s: Seconds a backend server takes to start.
    """

    __slots__ = ("_clock", "_start_time_s", "_states")

    def __init__(self, *, clock: Clock, start_time_s: float):
        self._clock = clock
        self._start_time_s = start_time_s
        self._states: dict[str, _DataCentreState] = {}

    def record(self, name: str, *, wanted: int, running: int) -> None:
        """Records the ordered and the running servers of a data centre.

        Args:
            name: Name of the data centre.
            wanted: Servers ordered.
            running: Servers running.
        """
        now_s = self._clock.monotonic()
        state = self._states.setdefault(name, _DataCentreState())
        if running or not wanted:
            state.had_running = running > 0
            state.empty_since_s = None
            return
        if state.empty_since_s is None:
            state.empty_since_s = now_s
        waited_s = now_s - state.empty_since_s
        if state.had_running or (
            waited_s > _START_TIME_FACTOR * self._start_time_s
        ):
            state.had_running = False
            state.empty_since_s = now_s
            state.unavailable_until_s = now_s + _RETRY_AFTER_S

    def is_available(self, name: str) -> bool:
        """Returns whether a data centre is expected to fulfil orders."""
        state = self._states.get(name)
        if state is None:
            return True
        return self._clock.monotonic() >= state.unavailable_until_s
