"""Which backend servers fail or crawl, and when to try them again."""

import enum

from endivespindle.core.clock import Clock

__all__ = ["AttemptOutcome", "ServerHealth", "TypicalDuration"]

_FIRST_PAUSE_S = 1.0
_MAX_PAUSE_S = 8.0
_SLOW_FACTOR = 4.0
_LEAST_STALL_S = 2.0
_SMOOTHING = 0.1
_TYPICAL_SMOOTHING = 0.02


class AttemptOutcome(enum.Enum):
    """How an attempt on a server ended."""

    ANSWERED = enum.auto()
    FAILED = enum.auto()
    TIMED_OUT = enum.auto()
    GIVEN_UP = enum.auto()


class TypicalDuration:
    """The usual seconds to an answer, over all servers of a service.

    One slow answer moves it little: each counts at most double.
    """

    __slots__ = ("seconds",)

    def __init__(self) -> None:
        self.seconds = 0.0

    def observe(self, duration_s: float) -> None:
        """Takes in one answer."""
        if not self.seconds:
            self.seconds = duration_s
            return
        bounded = min(duration_s, 2 * self.seconds)
        self.seconds += _TYPICAL_SMOOTHING * (bounded - self.seconds)


class ServerHealth:
    """Puts one server aside when it fails or crawls, and probes it.

    Each failure in a row doubles the pause. After the pause one request at a
    time tries the server; its success puts the server back.

    Args:
        clock: Clock of this VM.
        typical: Usual duration, shared by the servers of a service.
    """

    __slots__ = (
        "_clock",
        "_failures",
        "_inflight",
        "_moved_s",
        "_pause_until_s",
        "_slow_s",
        "typical",
    )

    def __init__(self, *, clock: Clock, typical: TypicalDuration):
        self._clock = clock
        self.typical = typical
        self._failures = 0
        self._inflight = 0
        self._pause_until_s = 0.0
        self._moved_s = 0.0
        self._slow_s = 0.0

    def begin_request(self) -> None:
        """Counts a request sent."""
        if not self._inflight:
            self._moved_s = self._clock.monotonic()
        self._inflight += 1

    def record_progress(self) -> None:
        """Notes that a part of some answer came."""
        self._moved_s = self._clock.monotonic()

    def end_request(
        self, end: AttemptOutcome, duration_s: float | None = None
    ) -> None:
        """Counts an attempt that ended.

        A very slow answer counts as a failure. A deadline is held against
        the server only if the request had the usual time there several times
        over, as most deadlines are spent in queues.

        Args:
            end: How it ended.
            duration_s: Seconds it took; None if that says nothing of the
                server, as for answers of any length.
        """
        self._inflight -= 1
        if end is AttemptOutcome.GIVEN_UP:
            return
        self.record_progress()
        if end is AttemptOutcome.ANSWERED:
            self._answered(duration_s)
        elif end is AttemptOutcome.FAILED or self._had_time(duration_s):
            self._put_aside()

    def _answered(self, duration_s: float | None) -> None:
        if duration_s is not None:
            slow_s = self._slow_s or duration_s
            self._slow_s = slow_s + _SMOOTHING * (duration_s - slow_s)
            if self._crawls(duration_s):
                self._put_aside()
                return
            self.typical.observe(duration_s)
        self._failures = 0

    def _had_time(self, duration_s: float | None) -> bool:
        return duration_s is not None and duration_s >= self._limit_s()

    def is_usable(self, *, now_s: float) -> bool:
        """Tells whether the server may be given a request now."""
        if now_s < self._pause_until_s:
            return False
        if self._failures:
            return self._inflight == 0
        return not self._stalls(now_s)

    def _crawls(self, duration_s: float) -> bool:
        limit_s = _SLOW_FACTOR * self.typical.seconds
        if not limit_s or duration_s <= limit_s:
            return False
        return bool(self._failures) or self._slow_s > limit_s

    def _stalls(self, now_s: float) -> bool:
        """Tells whether nothing has come from it for too long."""
        silent_s = now_s - self._moved_s
        return self._inflight > 0 and silent_s > self._limit_s()

    def _limit_s(self) -> float:
        return max(_LEAST_STALL_S, _SLOW_FACTOR * self.typical.seconds)

    def _put_aside(self) -> None:
        pause_s = min(_MAX_PAUSE_S, _FIRST_PAUSE_S * 2**self._failures)
        self._failures = min(self._failures + 1, 16)
        self._pause_until_s = self._clock.monotonic() + pause_s
