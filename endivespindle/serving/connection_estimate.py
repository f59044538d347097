"""Estimate of the open connections to a backend server."""

import math

from endivespindle.core.clock import Clock

__all__ = ["ConnectionEstimate"]

# Time after which an idle connection is likely to have been closed.
_WARM_S = 4.0
# Length of the periods in which the peak of concurrent requests is kept; the
# connections of the current and the previous one are likely to be open.
_PEAK_PERIOD_S = 3.5


class ConnectionEstimate:
    """Estimates open connections by the peaks of concurrent requests.

    Args:
        clock: Clock of this VM.
    """

    __slots__ = (
        "_clock",
        "_last_used_s",
        "_peak",
        "_peak_since_s",
        "_previous_peak",
    )

    def __init__(self, *, clock: Clock):
        self._clock = clock
        self._last_used_s = -math.inf
        self._peak = 0
        self._previous_peak = 0
        self._peak_since_s = clock.monotonic()

    def record_request(self, in_flight: int) -> None:
        """Records that a request was sent.

        Args:
            in_flight: Requests under way, with this one.
        """
        self._last_used_s = self._clock.monotonic()
        self._roll(in_flight)
        self._peak = max(self._peak, in_flight)

    def is_warm(self) -> bool:
        """Returns whether a connection is likely to be open."""
        return self._clock.monotonic() - self._last_used_s <= _WARM_S

    def has_idle(self, *, in_flight: int, reserved: int = 0) -> bool:
        """Returns whether a request would likely reuse a connection.

        Args:
            in_flight: Requests under way.
            reserved: Requests that will be sent before it.
        """
        self._roll(in_flight)
        return in_flight + reserved < max(self._peak, self._previous_peak)

    def _roll(self, in_flight: int) -> None:
        now_s = self._clock.monotonic()
        age_s = now_s - self._peak_since_s
        if age_s < _PEAK_PERIOD_S:
            return
        self._previous_peak = self._peak if age_s < 2 * _PEAK_PERIOD_S else 0
        self._peak = in_flight
        self._peak_since_s = now_s
