"""Calendar time of a VM whose system clock may step."""

__all__ = ["CalendarTime"]

# Difference up to which the system clock is followed at once: a clock that is
# slewed drifts by less between two readings.
_MAX_SLEW_S = 0.2
# Time for which a step must last to be taken for a correction of the clock.
_STEP_CONFIRM_S = 30.0


class CalendarTime:
    """Follows the system clock, but not its short steps.

    Load pattern: the system clocks of a part of the VMs jump by seconds, ahead
    or back, and return some seconds later. Requests would be counted in wrong
    usage windows, and windows be closed before all counts are in.

    Attributes:
        steps_s: Sizes of the steps that were taken over.
    """

    __slots__ = ("_offset_s", "_step_offset_s", "_step_since_s", "steps_s")

    def __init__(self) -> None:
        self._offset_s: float | None = None
        self._step_offset_s = 0.0
        self._step_since_s: float | None = None
        self.steps_s: list[float] = []

    def unix_s(self, *, system_s: float, monotonic_s: float) -> float:
        """Returns the Unix time.

        Args:
            system_s: Unix time of the system clock.
            monotonic_s: Monotonic time, read together with it.
        """
        offset_s = system_s - monotonic_s
        if self._offset_s is None:
            self._offset_s = offset_s
        if abs(offset_s - self._offset_s) <= _MAX_SLEW_S:
            self._offset_s = offset_s
            self._step_since_s = None
        elif (
            self._step_since_s is None
            or abs(offset_s - self._step_offset_s) > _MAX_SLEW_S
        ):
            self._step_offset_s = offset_s
            self._step_since_s = monotonic_s
        elif monotonic_s - self._step_since_s >= _STEP_CONFIRM_S:
            self.steps_s.append(offset_s - self._offset_s)
            self._offset_s = offset_s
            self._step_since_s = None
        return monotonic_s + self._offset_s
