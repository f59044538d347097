"""Circuit breaker and exponential backoff for calls to the platform."""

import enum
import random
from typing import Any

import transitions

from endivespindle.core.clock import Clock

__all__ = ["CircuitBreaker", "CircuitBreakerState", "backoff_s"]

_FAILURE_THRESHOLD = 5
_INITIAL_BACKOFF_S = 0.2
_MAX_BACKOFF_S = 2.0
_MAX_DOUBLINGS = 16
# Time after the last probe at which a call with a waiting caller may probe
# again, even during a longer backoff: callers retry a few times per second.
_CALLER_PROBE_INTERVAL_S = 0.25


class CircuitBreakerState(enum.StrEnum):
    """State of a circuit breaker: all calls pass, none, or single probes."""

    CLOSED = "closed"
    OPEN = "open"
    PROBING = "probing"


_TRANSITIONS: list[Any] = [
    ["trip", ["closed", "probing"], "open"],
    ["probe", ["open", "probing"], "probing"],
    ["close", "*", "closed"],
]

_MACHINE = transitions.Machine(
    model=None,
    states=[state.value for state in CircuitBreakerState],
    transitions=_TRANSITIONS,
    initial=CircuitBreakerState.CLOSED.value,
    auto_transitions=False,
)


def backoff_s(
    attempt: int,
    *,
    rng: random.Random,
    initial_s: float = _INITIAL_BACKOFF_S,
    max_s: float = _MAX_BACKOFF_S,
) -> float:
    """Returns a jittered exponential backoff, in seconds.

    Args:
        attempt: Number of failed attempts, from 1.
        rng: Source of the jitter.
        initial_s: Maximum delay after the first failure.
        max_s: Maximum delay after any failure.

    Returns:
        A delay between half of its maximum and the maximum, which doubles
        with each attempt.

    Example:
        >>> 0.1 <= backoff_s(1, rng=random.Random(1)) <= 0.2
        True
    """
    doublings = min(max(0, attempt - 1), _MAX_DOUBLINGS)
    max_delay_s = min(max_s, initial_s * 2**doublings)
    return rng.uniform(max_delay_s / 2, max_delay_s)


class CircuitBreaker:
    """Allows all calls, none, or one probe at a time.

    A probe without a reported outcome expires after the maximum backoff, so
    that a cancelled call cannot keep the breaker open.

    Args:
        clock: Clock of this VM.
        rng: Source of the jitter.

    Attributes:
        state: Value of the current `CircuitBreakerState`.
    """

    __slots__ = (
        "_clock",
        "_failures",
        "_last_probe_s",
        "_retry_at_s",
        "_rng",
        "state",
    )

    def __init__(self, *, clock: Clock, rng: random.Random):
        self._clock = clock
        self._rng = rng
        self._failures = 0
        self._retry_at_s = 0.0
        self._last_probe_s = 0.0
        self.state = CircuitBreakerState.CLOSED.value

    def allow(self, *, has_waiting_caller: bool = False) -> bool:
        """Returns whether a call may be made.

        If so, its outcome must be reported with `record_success` or
        `record_failure`.

        Load pattern: after an outage of some seconds the backoff is at its
        maximum, and trainers' steps would be refused for as long after the
        platform has recovered.

        Args:
            has_waiting_caller: Whether a caller waits for this call.
        """
        if self.state == CircuitBreakerState.CLOSED.value:
            return True
        now_s = self._clock.monotonic()
        probe_at_s = self._retry_at_s
        if has_waiting_caller:
            probe_at_s = min(
                probe_at_s, self._last_probe_s + _CALLER_PROBE_INTERVAL_S
            )
        if now_s < probe_at_s:
            return False
        self._trigger("probe")
        self._last_probe_s = now_s
        self._retry_at_s = now_s + _MAX_BACKOFF_S
        return True

    def record_success(self) -> None:
        """Records that the platform responded, even if with a refusal."""
        self._failures = 0
        self._trigger("close")

    def record_failure(self) -> None:
        """Records that the platform did not respond or was unavailable."""
        self._failures += 1
        if self._failures < _FAILURE_THRESHOLD:
            return
        if self.state != CircuitBreakerState.OPEN.value:
            self._trigger("trip")
        excess = self._failures - _FAILURE_THRESHOLD + 1
        self._retry_at_s = self._clock.monotonic() + backoff_s(
            excess, rng=self._rng
        )

    def _trigger(self, event: str) -> None:
        """Applies one transition of the state machine."""
        _MACHINE.events[event].trigger(self)
