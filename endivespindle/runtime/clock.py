"""The clock of a VM."""

import datetime
import time
from collections.abc import Callable

from endivespindle.core.calendar_time import CalendarTime
from endivespindle.core.clock import SystemClock

__all__ = ["BootClock"]


class BootClock(SystemClock):
    """A clock that survives suspension of the VM and steps of its time of day.

    Its monotonic time includes suspension: leases and the age of the
    configuration are measured with it, and a VM that resumes must find that
    its lease has expired. Its calendar time does not follow short steps of
    the system clock.

    Args:
        on_step: Called with the size, in seconds, of each step of the system
            clock that the calendar time takes over.
    """

    __slots__ = ("_calendar", "_on_step")

    def __init__(self, *, on_step: Callable[[float], None]):
        self._calendar = CalendarTime()
        self._on_step = on_step

    def monotonic(self) -> float:
        """Returns seconds since the VM booted, including suspension."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def now(self) -> datetime.datetime:
        """Returns the calendar time in UTC."""
        known = len(self._calendar.steps_s)
        unix_s = self._calendar.unix_s(
            system_s=time.time(), monotonic_s=self.monotonic()
        )
        for step_s in self._calendar.steps_s[known:]:
            self._on_step(step_s)
        return datetime.datetime.fromtimestamp(unix_s, datetime.UTC)
