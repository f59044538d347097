"""Stops calling a platform that does not answer, and tries again later."""

import enum
import random
from typing import Any

import transitions

from endivespindle.core.clock import Clock

__all__ = ["CircuitBreaker", "CircuitBreakerState", "backoff_s"]

_FAILURES_TO_OPEN = 5
_FIRST_PAUSE_S = 0.2
_MAX_PAUSE_S = 2.0
_MAX_DOUBLINGS = 16
# Pause after which a call that a caller waits for may be tried all the same:
# callers come back a few times a second.
_AWAITED_PAUSE_S = 0.25


class CircuitBreakerState(enum.StrEnum):
    """Whether calls go through."""

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
    first_s: float = _FIRST_PAUSE_S,
    max_s: float = _MAX_PAUSE_S,
) -> float:
    """Returns a jittered pause that doubles with each attempt.

    Args:
        attempt: Attempts that failed, from 1.
        rng: Source of the jitter.
        first_s: Longest pause after the first failure.
        max_s: Longest pause of all.

    Example:
        >>> 0.1 <= backoff_s(1, rng=random.Random(1)) <= 0.2
        True
    """
    doublings = min(max(0, attempt - 1), _MAX_DOUBLINGS)
    longest_s = min(max_s, first_s * 2**doublings)
    return rng.uniform(longest_s / 2, longest_s)


class CircuitBreaker:
    """Lets calls through, none, or one at a time to see.

    A probe that is never reported on is given up after the longest pause,
    so that a cancelled call cannot hold the breaker open.

    Args:
        clock: Clock of this VM.
        rng: Source of the jitter.
    """

    __slots__ = (
        "_clock",
        "_failures",
        "_retry_at_s",
        "_rng",
        "_tried_s",
        "state",
    )

    def __init__(self, *, clock: Clock, rng: random.Random):
        self._clock = clock
        self._rng = rng
        self._failures = 0
        self._retry_at_s = 0.0
        self._tried_s = 0.0
        self.state = CircuitBreakerState.CLOSED.value

    def allow(self, *, has_waiting_caller: bool = False) -> bool:
        """Tells whether a call may be made; the caller reports on it.

        The load pattern answered: after an outage of some seconds the pauses
        are at their longest, and trainers' steps would be refused for as long
        after the platform's return.

        Args:
            has_waiting_caller: Whether a caller waits for this very call.
        """
        if self.state == CircuitBreakerState.CLOSED.value:
            return True
        now_s = self._clock.monotonic()
        at_s = self._retry_at_s
        if has_waiting_caller:
            at_s = min(at_s, self._tried_s + _AWAITED_PAUSE_S)
        if now_s < at_s:
            return False
        self._trigger("probe")
        self._tried_s = now_s
        self._retry_at_s = now_s + _MAX_PAUSE_S
        return True

    def record_success(self) -> None:
        """Reports that the platform answered, if only with a refusal."""
        self._failures = 0
        self._trigger("close")

    def record_failure(self) -> None:
        """Reports that the platform did not answer or was unavailable."""
        self._failures += 1
        if self._failures < _FAILURES_TO_OPEN:
            return
        if self.state != CircuitBreakerState.OPEN.value:
            self._trigger("trip")
        excess = self._failures - _FAILURES_TO_OPEN + 1
        self._retry_at_s = self._clock.monotonic() + backoff_s(
            excess, rng=self._rng
        )

    def _trigger(self, event: str) -> None:
        """Follows one edge of the state table."""
        _MACHINE.events[event].trigger(self)
