"""Tests of single decisions about the attempts of a request."""

import random

from endivespindle.core.reasons import Reason, RetryReason
from endivespindle.routing.attempts import Failure, RequestAttempts, Retry
from endivespindle.routing.retry_budget import RetryBudget
from endivespindle.schema.generated.caller import RunState


def _attempts(*, repeatable=True, fraction=1.0, deadline_s=10.0):
    return RequestAttempts(
        repeatable=repeatable,
        budget=RetryBudget(fraction=fraction),
        deadline_s=deadline_s,
        rng=random.Random(1),
    )


def _fail(attempts, ran, *, now_s=0.0, progressed=False):
    return attempts.record_failure(
        reason=Reason.BACKEND_LOST,
        ran=ran,
        now_s=now_s,
        progressed=progressed,
    )


def test_failure_covers_earlier_attempts():
    attempts = _attempts()
    assert isinstance(_fail(attempts, RunState.UNKNOWN), Retry)
    failure = attempts.fail_without_server()
    assert failure.reason is Reason.NO_BACKEND_SERVER
    assert failure.ran is RunState.UNKNOWN


def test_deadline_after_refused_attempts_is_not_run():
    attempts = _attempts(repeatable=False)
    assert isinstance(_fail(attempts, RunState.NOT_RUN), Retry)
    failure = attempts.next_send(now_s=10.0)
    assert failure.reason is Reason.DEADLINE_NOT_RUN
    assert failure.ran is RunState.NOT_RUN


def test_backoff_beyond_deadline_fails_immediately():
    failure = _fail(_attempts(deadline_s=0.001), RunState.UNKNOWN)
    assert isinstance(failure, Failure)
    assert failure.reason is Reason.DEADLINE_UNKNOWN


def test_cancelled_attempt_may_have_run():
    attempts = _attempts()
    attempts.record_cancellation()
    assert attempts.fail_without_server().ran is RunState.UNKNOWN


def test_resumption_is_not_charged_to_budget():
    attempts = _attempts(fraction=0.0)
    for _ in range(20):
        action = _fail(attempts, RunState.UNKNOWN, progressed=True)
        assert action.reason is RetryReason.RESUME
    assert isinstance(_fail(attempts, RunState.UNKNOWN), Failure)
