"""Forwards a request to backend servers, with retries and hedging."""

import asyncio
import random

import msgspec

from endivespindle.core.clock import Clock
from endivespindle.core.reasons import Reason, RetryReason
from endivespindle.exceptions import BackendServerError, RefusedError
from endivespindle.routing.attempts import combine_run_states
from endivespindle.routing.retry_budget import RetryBudget
from endivespindle.runtime.attempts import (
    AttemptSummary,
    open_attempt,
    record_outrun,
)
from endivespindle.runtime.forward_plan import ForwardedResponse, ForwardPlan
from endivespindle.runtime.request_guard import RequestGuard
from endivespindle.runtime.telemetry import EventLog, NodeMetrics
from endivespindle.schema.generated.caller import RunState
from endivespindle.serving.attempt_guard import AttemptGuard
from endivespindle.serving.calls import (
    ServerApi,
    ServerCall,
)
from endivespindle.serving.crash_evidence import CrashEvidence
from endivespindle.serving.directory import ServerDirectory, ServerView
from endivespindle.serving.hedging import LatencyEstimate, hedge_delay_s
from endivespindle.serving.placement import place_request, unplaced_reason
from endivespindle.serving.retry_after import retry_after_s

__all__ = ["Forwarder"]

# Retries and hedges allowed per request: they add at most a tenth to the load.
_RETRY_BUDGET_FRACTION = 0.1
_STATUS_SERVER_ERROR = 500
# Time for a server to accept a connection, as a fraction of the target latency,
# and its bounds: two unreachable servers leave time for a third.
_CONNECT_TARGET_FRACTION = 0.35
_MIN_CONNECT_TIMEOUT_S = 0.05
_MAX_CONNECT_TIMEOUT_S = 0.6
# Bounds of the earliest retry of a request that the servers' rate limits do not
# admit. Other VMs may have room sooner, and limits change within seconds.
_MIN_LIMITED_RETRY_AFTER_S = 0.05
_MAX_LIMITED_RETRY_AFTER_S = 1.0
# Maximum number of attempts that report at once that the request was not run.
_MAX_NOT_RUN_ATTEMPTS = 4


class Forwarder:
    """Sends requests to the servers of their service.

    Args:
        api: Client for backend servers.
        directory: Known backend servers.
        clock: Clock of this VM.
        rng: Random number generator.
        data_centre: Data centre of this VM.
        log: Event log.
        metrics: Metrics of this node.
        guard: Keeps requests that crash servers from further ones; None for
            one that only knows of the crashes seen here.
    """

    __slots__ = (
        "_api",
        "_budget",
        "_clock",
        "_data_centre",
        "_directory",
        "_guard",
        "_latencies",
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
        log: EventLog,
        metrics: NodeMetrics,
        guard: AttemptGuard | None = None,
    ):
        self._api = api
        self._guard = guard or AttemptGuard(evidence=CrashEvidence(clock=clock))
        self._directory = directory
        self._clock = clock
        self._rng = rng
        self._data_centre = data_centre
        self._log = log
        self._metrics = metrics
        self._budget = RetryBudget(fraction=_RETRY_BUDGET_FRACTION)
        self._latencies: dict[str, LatencyEstimate] = {}

    def choose_server(
        self,
        service: str,
        tried: set[str],
        *,
        max_start_delay_s: float,
        software: str | None = None,
    ) -> tuple[ServerView, float] | None:
        """Returns the server for the next attempt, and reserves its start.

        Args:
            service: Service of the request.
            tried: Names of the servers that it was sent to.
            max_start_delay_s: Longest wait for a server that limits its
                request rate, in seconds.
            software: Software version that the server must have; None for any.

        Returns:
            The server and the seconds until its rate limit allows the request;
            None if no server is left.
        """
        view = place_request(
            [
                view
                for view in self._directory.available_servers(service)
                if software in (None, view.entry.software)
            ],
            tried=tried,
            data_centre=self._data_centre,
            rng=self._rng,
            max_start_delay_s=max_start_delay_s,
        )
        if view is None:
            return None
        return view, view.rate_limit.reserve_start()

    def software_versions(self, service: str) -> set[str]:
        """Returns the software versions of a service, now and until lately."""
        return self._directory.software_versions(service)

    def report_unplaced(
        self,
        request_id: str,
        service: str,
        tried: set[str],
        *,
        software: str | None = None,
    ) -> Reason | None:
        """Logs that no server takes a request, and returns why if known."""
        views = self._directory.available_servers(service)
        reason = unplaced_reason(views, tried=tried, software=software)
        self._log.event(
            "request_not_placed",
            request_id=request_id,
            service=service,
            software=software,
            available=len(views),
            tried=sorted(tried),
            reason=reason.code if reason is not None else None,
        )
        return reason

    def guard_request(
        self, call: ServerCall, *, is_owed: bool = False
    ) -> RequestGuard:
        """Returns the guard of a request against crashing further servers."""
        guard = None if is_owed else self._guard
        return RequestGuard(call=call, guard=guard, log=self._log)

    def record_demand(self, service: str) -> None:
        """Records a request for a service, whether a server takes it or not."""
        self._directory.record_demand(service)

    async def forward(
        self, call: ServerCall, plan: ForwardPlan
    ) -> ForwardedResponse:
        """Returns the complete response of the server that ran a request.

        Raises:
            RefusedError: No server ran the request, or its outcome is unknown.
        """
        self._budget.deposit()
        self.record_demand(plan.service)
        attempts = AttemptSummary(
            guard=self.guard_request(call, is_owed=plan.is_owed)
        )
        pending: set[asyncio.Task[ForwardedResponse]] = set()
        start_s = self._clock.monotonic()
        try:
            while True:
                remaining_s = plan.deadline_s - self._clock.monotonic()
                if remaining_s <= 0:
                    raise self._refusal(plan, attempts, past_deadline=True)
                if not pending and not self._send_next(
                    call,
                    plan,
                    attempts,
                    pending,
                    max_start_delay_s=min(plan.target_latency_s, remaining_s),
                ):
                    return self._final_failure(plan, attempts)
                wait_s = min(remaining_s, self._hedge_delay_s(plan, pending))
                done, pending = await asyncio.wait(
                    pending,
                    timeout=wait_s,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if not done and wait_s < remaining_s:
                    self._hedge(call, plan, attempts, pending)
                for task in done:
                    response = self._process_result(task, plan, attempts)
                    if response is not None:
                        self._record_latency(
                            plan, self._clock.monotonic() - start_s
                        )
                        record_outrun(attempts, winner=task, pending=pending)
                        return response
        finally:
            for task in pending:
                task.cancel()
            if pending:
                await asyncio.gather(*pending, return_exceptions=True)

    def _send_next(
        self,
        call: ServerCall,
        plan: ForwardPlan,
        attempts: AttemptSummary,
        pending: set[asyncio.Task[ForwardedResponse]],
        *,
        max_start_delay_s: float,
    ) -> bool:
        """Starts another attempt if one is allowed and a server is left."""
        if attempts.run_state is not RunState.NOT_RUN and not plan.may_repeat:
            return False
        if (
            attempts.sent_count - attempts.not_run_count >= plan.max_attempts
            or attempts.not_run_count >= _MAX_NOT_RUN_ATTEMPTS
        ):
            return False
        if (
            attempts.run_state is not RunState.NOT_RUN
            and not self._budget.try_withdraw()
        ):
            return False
        if not plan.may_send():
            attempts.last_reason = Reason.KEY_UNCONFIRMED
            return False
        attempts.retry_after_s = attempts.guard.retry_after_s()
        if attempts.retry_after_s is not None:
            attempts.last_reason = Reason.CRASHES_SERVERS
            return False
        chosen = self.choose_server(
            plan.service,
            attempts.tried_servers,
            max_start_delay_s=max_start_delay_s,
        )
        if chosen is None:
            if not pending:
                attempts.last_reason = (
                    self.report_unplaced(
                        call.request_id, plan.service, attempts.tried_servers
                    )
                    or attempts.last_reason
                )
            return False
        view, start_delay_s = chosen
        attempts.tried_servers.add(view.entry.name)
        attempts.sent_count += 1
        task = asyncio.create_task(
            self._guarded_attempt(
                view,
                call,
                plan,
                guard=attempts.guard,
                start_delay_s=start_delay_s,
            )
        )
        attempts.started_views[task] = view
        pending.add(task)
        return True

    async def _guarded_attempt(
        self,
        view: ServerView,
        call: ServerCall,
        plan: ForwardPlan,
        *,
        guard: RequestGuard,
        start_delay_s: float,
    ) -> ForwardedResponse:
        with guard.attempt(view):
            response = await self._attempt(
                view, call, plan, start_delay_s=start_delay_s
            )
        guard.record_response(response.head)
        return response

    async def _attempt(
        self,
        view: ServerView,
        call: ServerCall,
        plan: ForwardPlan,
        *,
        start_delay_s: float,
    ) -> ForwardedResponse:
        if start_delay_s:
            await asyncio.sleep(start_delay_s)
            if not plan.may_send():
                raise BackendServerError(
                    "the key can no longer be confirmed",
                    ran=RunState.NOT_RUN,
                    reason=Reason.KEY_UNCONFIRMED,
                )
        remaining_s = max(0.001, plan.deadline_s - self._clock.monotonic())
        connect_timeout_s = _CONNECT_TARGET_FRACTION * plan.target_latency_s
        call = msgspec.structs.replace(
            call,
            deadline_s=remaining_s,
            connect_timeout_s=min(
                _MAX_CONNECT_TIMEOUT_S,
                max(_MIN_CONNECT_TIMEOUT_S, connect_timeout_s),
            ),
        )
        async with open_attempt(
            self._api, view, call, clock=self._clock, timeout_s=remaining_s
        ) as response:
            body = await response.read()
            return ForwardedResponse(
                head=response.head, body=body, server=view.entry.name
            )

    def _process_result(
        self,
        task: asyncio.Task[ForwardedResponse],
        plan: ForwardPlan,
        attempts: AttemptSummary,
    ) -> ForwardedResponse | None:
        """Records an attempt's outcome; returns its response if it is final."""
        try:
            response = task.result()
        except BackendServerError as exc:
            attempts.run_state = combine_run_states(attempts.run_state, exc.ran)
            attempts.last_reason = exc.reason
            attempts.not_run_count += exc.ran is RunState.NOT_RUN
            self._metrics.count_retry(RetryReason.BACKEND_LOST)
            # It refers to the task, which refers to the error: the body of the
            # request would be kept until the next collection of cycles.
            exc.__traceback__ = None
            return None
        if response.head.not_run:
            attempts.not_run_count += 1
            return None
        attempts.run_state = RunState.RAN
        if response.head.status >= _STATUS_SERVER_ERROR and plan.may_repeat:
            attempts.failed_response = response
            self._metrics.count_retry(RetryReason.BACKEND_FAILED)
            return None
        return response

    def _hedge(
        self,
        call: ServerCall,
        plan: ForwardPlan,
        attempts: AttemptSummary,
        pending: set[asyncio.Task[ForwardedResponse]],
    ) -> None:
        if (
            attempts.guard.may_hedge()
            and self._budget.try_withdraw()
            and self._send_next(
                call, plan, attempts, pending, max_start_delay_s=0.0
            )
        ):
            self._metrics.count_retry(RetryReason.HEDGE)
            self._log.event(
                "request_hedged",
                request_id=call.request_id,
                servers=sorted(attempts.tried_servers),
            )

    def _hedge_delay_s(
        self,
        plan: ForwardPlan,
        pending: set[asyncio.Task[ForwardedResponse]],
    ) -> float:
        """Returns the delay in seconds after which the request is hedged."""
        if not plan.may_repeat or len(pending) > 1 or plan.max_attempts < 2:
            return float("inf")
        return hedge_delay_s(
            self._latencies.get(plan.route, LatencyEstimate()),
            target_latency_s=plan.target_latency_s,
        )

    def _record_latency(self, plan: ForwardPlan, latency_s: float) -> None:
        """Records the latency of a request, at most its target latency.

        A longer one tells that its server was unresponsive, and nothing of
        what the route usually takes.
        """
        estimate = self._latencies.setdefault(plan.route, LatencyEstimate())
        estimate.record(min(latency_s, plan.target_latency_s))

    def _final_failure(
        self, plan: ForwardPlan, attempts: AttemptSummary
    ) -> ForwardedResponse:
        """Returns the last error response of a server.

        Raises:
            RefusedError: No server returned one.
        """
        if attempts.failed_response is not None:
            return attempts.failed_response
        raise self._refusal(plan, attempts, past_deadline=False)

    def _retry_after_s(self, service: str, reason: Reason) -> float:
        views = self._directory.available_servers(service)
        if reason is Reason.BACKEND_LIMITED:
            delay_s = min(
                (view.rate_limit.start_delay_s() for view in views),
                default=_MAX_LIMITED_RETRY_AFTER_S,
            )
            earliest_s = min(
                _MAX_LIMITED_RETRY_AFTER_S,
                max(_MIN_LIMITED_RETRY_AFTER_S, delay_s),
            )
            # Requests that are refused together do not return together.
            return self._rng.uniform(earliest_s, 2 * earliest_s)
        return retry_after_s(views, rng=self._rng)

    def _refusal(
        self,
        plan: ForwardPlan,
        attempts: AttemptSummary,
        *,
        past_deadline: bool,
    ) -> RefusedError:
        """Returns the refusal that covers all attempts.

        While an attempt is still running, its outcome is unknown.
        """
        ran = attempts.run_state
        if past_deadline and attempts.sent_count > attempts.not_run_count:
            ran = combine_run_states(ran, RunState.UNKNOWN)
        reason = attempts.last_reason
        if ran is not RunState.NOT_RUN:
            reason = (
                Reason.DEADLINE_UNKNOWN
                if past_deadline
                else Reason.BACKEND_LOST
            )
        elif past_deadline:
            reason = Reason.NO_BACKEND_SERVER
        retry_after_s = self._retry_after_s(plan.service, reason)
        if reason is Reason.CRASHES_SERVERS and attempts.retry_after_s:
            retry_after_s = attempts.retry_after_s
        return RefusedError(reason, ran=ran, retry_after_s=retry_after_s)
