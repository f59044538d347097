"""Forwards one request to backend servers until one has answered it."""

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator

import msgspec

from endivespindle.core.clock import Clock
from endivespindle.core.reasons import Reason, RetryReason
from endivespindle.exceptions import BackendServerError, RefusedError
from endivespindle.routing.attempts import worst_run_state
from endivespindle.routing.retry_budget import RetryBudget
from endivespindle.runtime.telemetry import DecisionLog, NodeMetrics
from endivespindle.schema.generated.caller import RunState
from endivespindle.serving.calls import (
    Answer,
    AnswerHead,
    ServerApi,
    ServerCall,
)
from endivespindle.serving.directory import ServerDirectory, ServerView
from endivespindle.serving.placement import place_request
from endivespindle.serving.refusal import retry_after_s

__all__ = ["ForwardPlan", "ForwardedResponse", "Forwarder", "open_attempt"]

# Retries and hedges allowed for each request: a tenth more load at most.
_RETRY_FRACTION = 0.1
# A second attempt is sent once the first takes this many times the server's
# usual duration, and not before this share of the target latency.
_HEDGE_DURATIONS = 4.0
_HEDGE_TARGET_SHARE = 0.6
_SERVER_FAILED = 500
# Servers asked in turn while each says at once that it did not run it.
_MAX_NOT_RUN = 4


class ForwardPlan(msgspec.Struct, kw_only=True, frozen=True):
    """How a request may be forwarded.

    Attributes:
        service: Service that runs it.
        may_repeat: Whether running it twice does no harm.
        max_attempts: Backend servers that may run it.
        target_latency_s: Time within which an answer is useful in full.
        deadline_s: Monotonic time at which it is given up.
    """

    service: str
    may_repeat: bool
    max_attempts: int
    target_latency_s: float
    deadline_s: float


class ForwardedResponse(msgspec.Struct, kw_only=True, frozen=True):
    """A backend server's whole answer."""

    head: AnswerHead
    body: bytes
    server: str


@contextlib.asynccontextmanager
async def open_attempt(
    api: ServerApi,
    view: ServerView,
    call: ServerCall,
    *,
    clock: Clock,
    timeout_s: float | None,
    head_timeout_s: float | None = None,
) -> AsyncIterator[Answer]:
    """Sends a request and keeps the books on its server.

    Args:
        api: Speaks to backend servers.
        view: Server to send it to.
        call: The request.
        clock: Clock of this VM.
        timeout_s: Seconds for the whole exchange.
        head_timeout_s: Seconds until the head of the answer must be in.

    Raises:
        BackendServerError: The server did not answer, or not in time.
    """
    begun_s = clock.monotonic()
    view.started()
    failed = False
    duration_s = None
    try:
        async with contextlib.AsyncExitStack() as stack:
            try:
                async with asyncio.timeout(head_timeout_s):
                    answer = await stack.enter_async_context(
                        api.send(view.entry, call, timeout_s=timeout_s)
                    )
            except TimeoutError as exc:
                raise BackendServerError(
                    "no answer in time",
                    ran=RunState.UNKNOWN,
                    reason=Reason.BACKEND_SILENT,
                ) from exc
            if answer.head.load is not None:
                view.saw_load(
                    running=answer.head.load.running,
                    waiting=answer.head.load.waiting,
                )
            failed = answer.head.status == _SERVER_FAILED
            yield answer
            if not answer.head.not_run:
                duration_s = clock.monotonic() - begun_s
    except BackendServerError:
        failed = True
        raise
    finally:
        view.ended(failed=failed, duration_s=duration_s)


class _Attempts:
    """What is known of a request's attempts so far."""

    __slots__ = ("failure", "not_run", "ran", "reason", "sent", "tried")

    def __init__(self) -> None:
        self.tried: set[str] = set()
        self.sent = 0
        self.not_run = 0
        self.ran = RunState.NOT_RUN
        self.reason = Reason.NO_BACKEND_SERVER
        self.failure: ForwardedResponse | None = None


class Forwarder:
    """Sends requests to the servers of their service.

    Args:
        api: Speaks to backend servers.
        directory: Backend servers known.
        clock: Clock of this VM.
        rng: Source of draws.
        data_centre: Data centre of this VM.
        log: Where decisions are written.
        metrics: Counters.
    """

    __slots__ = (
        "_api",
        "_budget",
        "_clock",
        "_data_centre",
        "_directory",
        "_log",
        "_metrics",
        "_rng",
    )

    def __init__(
        self,
        *,
        api: ServerApi,
        directory: ServerDirectory,
        clock: Clock,
        rng: random.Random,
        data_centre: str,
        log: DecisionLog,
        metrics: NodeMetrics,
    ):
        self._api = api
        self._directory = directory
        self._clock = clock
        self._rng = rng
        self._data_centre = data_centre
        self._log = log
        self._metrics = metrics
        self._budget = RetryBudget(fraction=_RETRY_FRACTION)

    def choose_server(self, service: str, tried: set[str]) -> ServerView | None:
        """Returns the server for the next attempt, or None."""
        return place_request(
            self._directory.open_servers(service),
            tried=tried,
            data_centre=self._data_centre,
            rng=self._rng,
        )

    async def forward(
        self, call: ServerCall, plan: ForwardPlan
    ) -> ForwardedResponse:
        """Returns the whole answer of the server that ran a request.

        Raises:
            RefusedError: None did, or none is known to have.
        """
        self._budget.earn()
        seen = _Attempts()
        running: set[asyncio.Task[ForwardedResponse]] = set()
        try:
            while True:
                left_s = plan.deadline_s - self._clock.monotonic()
                if left_s <= 0:
                    raise self._given_up(plan, seen, late=True)
                if not running and not self._send_next(
                    call, plan, seen, running
                ):
                    return self._last_answer(plan, seen)
                wait_s = min(left_s, self._hedge_after_s(plan, seen, running))
                done, running = await asyncio.wait(
                    running,
                    timeout=wait_s,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if not done and wait_s < left_s:
                    self._hedge(call, plan, seen, running)
                for task in done:
                    answer = self._settle(task, plan, seen)
                    if answer is not None:
                        return answer
        finally:
            for task in running:
                task.cancel()
            if running:
                await asyncio.gather(*running, return_exceptions=True)

    def _send_next(
        self,
        call: ServerCall,
        plan: ForwardPlan,
        seen: _Attempts,
        running: set[asyncio.Task[ForwardedResponse]],
    ) -> bool:
        """Sends another attempt if one is allowed and a server is left."""
        if seen.ran is not RunState.NOT_RUN and not plan.may_repeat:
            return False
        if (
            seen.sent - seen.not_run >= plan.max_attempts
            or seen.not_run >= _MAX_NOT_RUN
        ):
            return False
        if seen.ran is not RunState.NOT_RUN and not self._budget.spend():
            return False
        view = self.choose_server(plan.service, seen.tried)
        if view is None:
            return False
        seen.tried.add(view.entry.name)
        seen.sent += 1
        running.add(
            asyncio.create_task(self._attempt(view, call, plan.deadline_s))
        )
        return True

    async def _attempt(
        self, view: ServerView, call: ServerCall, deadline_s: float
    ) -> ForwardedResponse:
        left_s = max(0.001, deadline_s - self._clock.monotonic())
        call = msgspec.structs.replace(call, deadline_s=left_s)
        async with open_attempt(
            self._api, view, call, clock=self._clock, timeout_s=left_s
        ) as answer:
            body = await answer.read()
            return ForwardedResponse(
                head=answer.head, body=body, server=view.entry.name
            )

    def _settle(
        self,
        task: asyncio.Task[ForwardedResponse],
        plan: ForwardPlan,
        seen: _Attempts,
    ) -> ForwardedResponse | None:
        """Takes in an attempt's end; returns the answer to be passed on."""
        try:
            answer = task.result()
        except BackendServerError as exc:
            seen.ran = worst_run_state(seen.ran, exc.ran)
            seen.reason = exc.reason
            seen.not_run += exc.ran is RunState.NOT_RUN
            self._metrics.retried(RetryReason.BACKEND_LOST)
            return None
        if answer.head.not_run:
            seen.not_run += 1
            return None
        seen.ran = RunState.RAN
        if answer.head.status >= _SERVER_FAILED and plan.may_repeat:
            seen.failure = answer
            self._metrics.retried(RetryReason.BACKEND_FAILED)
            return None
        return answer

    def _hedge(
        self,
        call: ServerCall,
        plan: ForwardPlan,
        seen: _Attempts,
        running: set[asyncio.Task[ForwardedResponse]],
    ) -> None:
        if self._budget.spend() and self._send_next(call, plan, seen, running):
            self._metrics.retried(RetryReason.HEDGE)
            self._log.decided(
                "request_hedged",
                request_id=call.request_id,
                servers=sorted(seen.tried),
            )

    def _hedge_after_s(
        self,
        plan: ForwardPlan,
        seen: _Attempts,
        running: set[asyncio.Task[ForwardedResponse]],
    ) -> float:
        """Returns the seconds after which a second attempt is worth it."""
        if not plan.may_repeat or len(running) > 1 or plan.max_attempts < 2:
            return float("inf")
        usual_s = 0.0
        for name in seen.tried:
            view = self._directory.get(name)
            usual_s = max(usual_s, view.duration_s if view else 0.0)
        return max(
            _HEDGE_TARGET_SHARE * plan.target_latency_s,
            _HEDGE_DURATIONS * usual_s,
        )

    def _last_answer(
        self, plan: ForwardPlan, seen: _Attempts
    ) -> ForwardedResponse:
        """Returns the failure that a server answered, if there is one."""
        if seen.failure is not None:
            return seen.failure
        raise self._given_up(plan, seen, late=False)

    def _given_up(
        self, plan: ForwardPlan, seen: _Attempts, *, late: bool
    ) -> RefusedError:
        """Returns the refusal that is true of all attempts.

        While an attempt is still running its outcome is unknown.
        """
        ran = seen.ran
        if late and seen.sent > seen.not_run:
            ran = worst_run_state(ran, RunState.UNKNOWN)
        reason = seen.reason
        if ran is not RunState.NOT_RUN:
            reason = Reason.DEADLINE_UNKNOWN if late else Reason.BACKEND_LOST
        elif late:
            reason = Reason.NO_BACKEND_SERVER
        return RefusedError(
            reason,
            ran=ran,
            retry_after_s=retry_after_s(
                self._directory.open_servers(plan.service), rng=self._rng
            ),
        )
