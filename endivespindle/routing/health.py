"""Health of backend servers: pauses of failing and slow ones, and probes."""

import enum

from endivespindle.core.clock import Clock

__all__ = ["AttemptOutcome", "ServerHealth", "TypicalDuration"]

_INITIAL_PAUSE_S = 1.0
_MAX_PAUSE_S = 8.0
_SLOW_FACTOR = 4.0
_MIN_STALL_TIMEOUT_S = 2.0
_DURATION_SMOOTHING = 0.1
_TYPICAL_SMOOTHING = 0.02


class AttemptOutcome(enum.Enum):
    """How an attempt on a server ended.

    `GIVEN_UP` means that this VM cancelled it, e.g. as its caller left.
    """

    ANSWERED = enum.auto()
    FAILED = enum.auto()
    TIMED_OUT = enum.auto()
    GIVEN_UP = enum.auto()


class TypicalDuration:
    """Moving average of the response time over all servers of a service.

    A duration counts as at most twice the average, so that a single slow
    response has little effect.

    Attributes:
        seconds: Average duration; 0 before the first response.
    """

    __slots__ = ("seconds",)

    def __init__(self) -> None:
        self.seconds = 0.0

    def observe(self, duration_s: float) -> None:
        """Records the duration of one response."""
        if not self.seconds:
            self.seconds = duration_s
            return
        bounded = min(duration_s, 2 * self.seconds)
        self.seconds += _TYPICAL_SMOOTHING * (bounded - self.seconds)


class ServerHealth:
    """Pauses one server when it fails or is slow, then probes it.

    Each consecutive failure doubles the pause. After the pause, the server
    gets one request at a time as a probe until one succeeds.

    Args:
        clock: Clock of this VM.
        typical: Typical duration, shared by the servers of a service.
    """

    __slots__ = (
        "_average_s",
        "_clock",
        "_failures",
        "_inflight",
        "_last_progress_s",
        "_paused_until_s",
        "typical",
    )

    def __init__(self, *, clock: Clock, typical: TypicalDuration):
        self._clock = clock
        self.typical = typical
        self._failures = 0
        self._inflight = 0
        self._paused_until_s = 0.0
        self._last_progress_s = 0.0
        self._average_s = 0.0

    def begin_request(self) -> None:
        """Counts a request that was sent."""
        if not self._inflight:
            self._last_progress_s = self._clock.monotonic()
        self._inflight += 1

    def record_progress(self) -> None:
        """Records that part of some response was received."""
        self._last_progress_s = self._clock.monotonic()

    def end_request(
        self, outcome: AttemptOutcome, duration_s: float | None = None
    ) -> None:
        """Counts an attempt that ended.

        A very slow response counts as a failure. A timeout counts as a
        failure only if the attempt lasted several times the typical duration,
        as most deadlines are used up in queues.

        Args:
            outcome: How the attempt ended.
            duration_s: Duration of the attempt in seconds; None if it does
                not depend on the server alone, as for responses of any length.
        """
        self._inflight -= 1
        if outcome is AttemptOutcome.GIVEN_UP:
            return
        self.record_progress()
        if outcome is AttemptOutcome.ANSWERED:
            self._record_response(duration_s)
        elif outcome is AttemptOutcome.FAILED or self._is_too_long(duration_s):
            self._pause()

    def _record_response(self, duration_s: float | None) -> None:
        if duration_s is not None:
            average_s = self._average_s or duration_s
            self._average_s = average_s + _DURATION_SMOOTHING * (
                duration_s - average_s
            )
            if self._is_slow(duration_s):
                self._pause()
                return
            self.typical.observe(duration_s)
        self._failures = 0

    def _is_too_long(self, duration_s: float | None) -> bool:
        return duration_s is not None and duration_s >= self._stall_timeout_s()

    def is_usable(self, *, now_s: float) -> bool:
        """Returns whether a request may be sent to the server now."""
        if now_s < self._paused_until_s:
            return False
        if self._failures:
            return self._inflight == 0
        return not self._is_stalled(now_s)

    def _is_slow(self, duration_s: float) -> bool:
        limit_s = _SLOW_FACTOR * self.typical.seconds
        if not limit_s or duration_s <= limit_s:
            return False
        return bool(self._failures) or self._average_s > limit_s

    def _is_stalled(self, now_s: float) -> bool:
        """Returns whether requests in flight make no progress for too long."""
        silent_s = now_s - self._last_progress_s
        return self._inflight > 0 and silent_s > self._stall_timeout_s()

    def _stall_timeout_s(self) -> float:
        return max(_MIN_STALL_TIMEOUT_S, _SLOW_FACTOR * self.typical.seconds)

    def _pause(self) -> None:
        pause_s = min(_MAX_PAUSE_S, _INITIAL_PAUSE_S * 2**self._failures)
        self._failures = min(self._failures + 1, 16)
        self._paused_until_s = self._clock.monotonic() + pause_s
