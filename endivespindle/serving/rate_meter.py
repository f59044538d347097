"""Rate of recent events."""

import math

from endivespindle.core.clock import Clock

__all__ = ["RateMeter"]

# Half-life of an event in the rate.
_HALF_LIFE_S = 1.0


class RateMeter:
    """Counts events with exponentially decreasing weights.

    Args:
        clock: Clock of this VM.
    """

    __slots__ = ("_clock", "_count", "_updated_s")

    def __init__(self, *, clock: Clock):
        self._clock = clock
        self._count = 0.0
        self._updated_s = clock.monotonic()

    def record(self) -> None:
        """Counts an event."""
        self._decay()
        self._count += 1.0

    def rate_per_s(self) -> float:
        """Returns the rate, in events per second."""
        self._decay()
        return self._count * math.log(2) / _HALF_LIFE_S

    def _decay(self) -> None:
        now_s = self._clock.monotonic()
        self._count *= 0.5 ** ((now_s - self._updated_s) / _HALF_LIFE_S)
        self._updated_s = now_s
