"""What follows each attempt of a request: a retry, or a truthful failure."""

import random

import msgspec

from endivespindle.core.reasons import Reason, RetryReason
from endivespindle.routing.retry_budget import RetryBudget
from endivespindle.schema.generated.caller import RunState

__all__ = ["Failure", "RequestAttempts", "Retry", "Send", "combine_run_states"]

_MAX_ATTEMPTS = 4
_BASE_PAUSE_S = 0.02
_MAX_PAUSE_S = 1.0
_RETRY_AFTER_S = 1.0

_CERTAINTY = {RunState.NOT_RUN: 0, RunState.UNKNOWN: 1, RunState.RAN: 2}

_RETRY_REASONS = {
    Reason.BACKEND_UNREACHABLE: RetryReason.BACKEND_UNREACHABLE,
    Reason.BACKEND_LOST: RetryReason.BACKEND_LOST,
    Reason.BACKEND_FAILED: RetryReason.BACKEND_FAILED,
    Reason.ANSWER_MISMATCH: RetryReason.BACKEND_LOST,
}


class Send(msgspec.Struct, kw_only=True, frozen=True):
    """Another attempt may be sent now."""

    timeout_s: float


class Retry(msgspec.Struct, kw_only=True, frozen=True):
    """Another attempt may be sent after a pause."""

    backoff_s: float
    reason: RetryReason


class Failure(msgspec.Struct, kw_only=True, frozen=True):
    """The request is over; `ran` covers every attempt made."""

    reason: Reason
    ran: RunState
    retry_after_s: float | None = None


def combine_run_states(first: RunState, second: RunState) -> RunState:
    """Returns the state of a request of which both are attempts.

    Example:
        >>> combine_run_states(RunState.UNKNOWN, RunState.NOT_RUN).value
        'unknown'
    """
    return max(first, second, key=_CERTAINTY.__getitem__)


class RequestAttempts:
    """Decides over the attempts of one request.

    An attempt that may have run is followed by another one only if the
    request may be repeated. What a failure says of the request covers every
    attempt, not the last one alone.

    Args:
        repeatable: Whether running it twice does no harm.
        budget: Retries allowed to all requests of its kind.
        deadline_s: Monotonic time at which the caller gives up.
        rng: Source of the jitter.
        max_attempts: Attempts without progress.
    """

    __slots__ = (
        "_attempts",
        "_budget",
        "_deadline_s",
        "_max_attempts",
        "_repeatable",
        "_rng",
        "ran",
    )

    def __init__(
        self,
        *,
        repeatable: bool,
        budget: RetryBudget,
        deadline_s: float,
        rng: random.Random,
        max_attempts: int = _MAX_ATTEMPTS,
    ):
        self._repeatable = repeatable
        self._budget = budget
        self._deadline_s = deadline_s
        self._rng = rng
        self._max_attempts = max_attempts
        self._attempts = 0
        self.ran = RunState.NOT_RUN

    def next_send(self, *, now_s: float) -> Send | Failure:
        """Tells whether an attempt may be sent now, and for how long."""
        remaining_s = self._deadline_s - now_s
        if remaining_s <= 0:
            return self._late()
        return Send(timeout_s=remaining_s)

    def fail_without_server(self) -> Failure:
        """Ends the request as no backend server takes it."""
        return self._fail(Reason.NO_BACKEND_SERVER)

    def record_cancellation(self) -> None:
        """Notes that an attempt was given up after it was begun."""
        self.ran = combine_run_states(self.ran, RunState.UNKNOWN)

    def record_failure(
        self,
        *,
        reason: Reason,
        ran: RunState,
        now_s: float,
        progressed: bool = False,
    ) -> Retry | Failure:
        """Decides what follows a failed attempt.

        Args:
            reason: Why it failed.
            ran: What is known of this attempt.
            now_s: Monotonic time.
            progressed: Whether a part of the answer was taken that the next
                attempt goes on from. Such a retry repeats no work, so that
                it costs no budget.
        """
        self.ran = combine_run_states(self.ran, ran)
        self._attempts = 1 if progressed else self._attempts + 1
        if not self._repeatable and self.ran is not RunState.NOT_RUN:
            return self._fail(reason)
        pause_s = self._pause_s()
        if now_s + pause_s >= self._deadline_s:
            return self._late()
        if self._attempts >= self._max_attempts:
            return self._fail(reason)
        if not progressed and not self._budget.try_withdraw():
            return self._fail(reason)
        why = _RETRY_REASONS.get(reason, RetryReason.BACKEND_FAILED)
        return Retry(
            backoff_s=pause_s, reason=RetryReason.RESUME if progressed else why
        )

    def _pause_s(self) -> float:
        longest_s = min(_MAX_PAUSE_S, _BASE_PAUSE_S * 2**self._attempts)
        return self._rng.uniform(longest_s / 2, longest_s)

    def _late(self) -> Failure:
        if self.ran is RunState.NOT_RUN:
            return self._fail(Reason.DEADLINE_NOT_RUN)
        return self._fail(Reason.DEADLINE_UNKNOWN)

    def _fail(self, reason: Reason) -> Failure:
        return Failure(
            reason=reason, ran=self.ran, retry_after_s=_RETRY_AFTER_S
        )
