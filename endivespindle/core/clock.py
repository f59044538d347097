"""Clock interface, with a system and a manual implementation."""

import abc
import datetime
import time

__all__ = ["Clock", "ManualClock", "SystemClock"]


class Clock(abc.ABC):
    """Source of monotonic and calendar time.

    Monotonic times of different VMs are never compared.
    """

    __slots__ = ()

    @abc.abstractmethod
    def monotonic(self) -> float:
        """Returns seconds since an arbitrary fixed point; never decreases."""

    @abc.abstractmethod
    def now(self) -> datetime.datetime:
        """Returns the calendar time in UTC."""


class SystemClock(Clock):
    """Clock of the local machine."""

    __slots__ = ()

    def monotonic(self) -> float:
        """Returns the seconds of the machine's monotonic clock."""
        return time.monotonic()

    def now(self) -> datetime.datetime:
        """Returns the machine's calendar time in UTC."""
        return datetime.datetime.now(datetime.UTC)


class ManualClock(Clock):
    """Clock that advances only by calls of `advance`.

    Example:
        >>> clock = ManualClock()
        >>> clock.advance(2.5)
        >>> clock.monotonic()
        2.5
    """

    __slots__ = ("_elapsed_s", "_start")

    def __init__(
        self,
        *,
        start: datetime.datetime = datetime.datetime(
            2026, 1, 1, tzinfo=datetime.UTC
        ),
    ):
        self._start = start
        self._elapsed_s = 0.0

    def monotonic(self) -> float:
        """Returns the seconds advanced so far."""
        return self._elapsed_s

    def now(self) -> datetime.datetime:
        """Returns the start plus the seconds advanced so far."""
        return self._start + datetime.timedelta(seconds=self._elapsed_s)

    def advance(self, seconds: float) -> None:
        """Advances the clock.

        Raises:
            ValueError: `seconds` is negative.
        """
        if seconds < 0:
            raise ValueError("a clock cannot be moved backwards")
        self._elapsed_s += seconds
