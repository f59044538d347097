"""Decisions about the attempts of a request: send, retry or fail."""

import random

import msgspec

from endivespindle.core.reasons import Reason, RetryReason
from endivespindle.routing.retry_budget import RetryBudget
from endivespindle.schema.generated.caller import RunState

__all__ = ["Failure", "RequestAttempts", "Retry", "Send", "combine_run_states"]

_MAX_ATTEMPTS = 4
_BASE_BACKOFF_S = 0.02
_MAX_BACKOFF_S = 1.0
_RETRY_AFTER_S = 1.0

_RUN_STATE_RANK = {RunState.NOT_RUN: 0, RunState.UNKNOWN: 1, RunState.RAN: 2}

_RETRY_REASONS = {
    Reason.BACKEND_UNREACHABLE: RetryReason.BACKEND_UNREACHABLE,
    Reason.BACKEND_LOST: RetryReason.BACKEND_LOST,
    Reason.BACKEND_FAILED: RetryReason.BACKEND_FAILED,
    Reason.ANSWER_MISMATCH: RetryReason.BACKEND_LOST,
}


class Send(msgspec.Struct, kw_only=True, frozen=True):
    """An attempt may be sent now, with this timeout."""

    timeout_s: float


class Retry(msgspec.Struct, kw_only=True, frozen=True):
    """Another attempt may be sent after a backoff."""

    backoff_s: float
    reason: RetryReason


class Failure(msgspec.Struct, kw_only=True, frozen=True):
    """The request has failed; `ran` covers all of its attempts."""

    reason: Reason
    ran: RunState
    retry_after_s: float | None = None


def combine_run_states(first: RunState, second: RunState) -> RunState:
    """Returns the run state of a request from those of two attempts.

    Example:
        >>> combine_run_states(RunState.UNKNOWN, RunState.NOT_RUN).value
        'unknown'
    """
    return max(first, second, key=_RUN_STATE_RANK.__getitem__)


class RequestAttempts:
    """Decides what follows each attempt of one request.

    Once an attempt may have run, another one is sent only if the request is
    repeatable. The run state of a failure covers all attempts, not only the
    last one.

    Args:
        repeatable: Whether the request may run more than once.
        budget: Retry budget shared by all requests of its kind.
        deadline_s: Deadline of the request, as monotonic time in seconds.
        rng: Source of the backoff jitter.
        max_attempts: Maximum number of attempts without progress.

    Attributes:
        ran: Run state over all attempts so far.
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
        """Returns the timeout of an attempt to send now, or a failure."""
        remaining_s = self._deadline_s - now_s
        if remaining_s <= 0:
            return self._fail_at_deadline()
        return Send(timeout_s=remaining_s)

    def fail_without_server(self) -> Failure:
        """Fails the request because no backend server accepts work."""
        return self._fail(Reason.NO_BACKEND_SERVER)

    def record_cancellation(self) -> None:
        """Records that an attempt was cancelled after it was sent."""
        self.ran = combine_run_states(self.ran, RunState.UNKNOWN)

    def record_failure(
        self,
        *,
        reason: Reason,
        ran: RunState,
        now_s: float,
        progressed: bool = False,
    ) -> Retry | Failure:
        """Returns a retry or the final failure after a failed attempt.

        Args:
            reason: Why the attempt failed.
            ran: Run state of this attempt.
            now_s: Monotonic time in seconds.
            progressed: Whether part of the response was received from which
                the next attempt resumes. Such a retry repeats no work and is
                not charged to the budget.
        """
        self.ran = combine_run_states(self.ran, ran)
        self._attempts = 1 if progressed else self._attempts + 1
        if not self._repeatable and self.ran is not RunState.NOT_RUN:
            return self._fail(reason)
        delay_s = self._backoff_s()
        if now_s + delay_s >= self._deadline_s:
            return self._fail_at_deadline()
        if self._attempts >= self._max_attempts:
            return self._fail(reason)
        if not progressed and not self._budget.try_withdraw():
            return self._fail(reason)
        retry_reason = _RETRY_REASONS.get(reason, RetryReason.BACKEND_FAILED)
        return Retry(
            backoff_s=delay_s,
            reason=RetryReason.RESUME if progressed else retry_reason,
        )

    def _backoff_s(self) -> float:
        max_s = min(_MAX_BACKOFF_S, _BASE_BACKOFF_S * 2**self._attempts)
        return self._rng.uniform(max_s / 2, max_s)

    def _fail_at_deadline(self) -> Failure:
        if self.ran is RunState.NOT_RUN:
            return self._fail(Reason.DEADLINE_NOT_RUN)
        return self._fail(Reason.DEADLINE_UNKNOWN)

    def _fail(self, reason: Reason) -> Failure:
        return Failure(
            reason=reason, ran=self.ran, retry_after_s=_RETRY_AFTER_S
        )
