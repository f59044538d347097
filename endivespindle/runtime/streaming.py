"""Relays a stream of events to a caller, and resumes it where allowed."""

import asyncio
from collections.abc import Callable

import msgspec
from aiohttp import web

from endivespindle.core.clock import Clock
from endivespindle.core.reasons import Reason, RetryReason
from endivespindle.exceptions import BackendServerError, RefusedError
from endivespindle.routing.attempts import worst_run_state
from endivespindle.runtime.forwarding import (
    Forwarder,
    ForwardPlan,
    open_attempt,
)
from endivespindle.runtime.telemetry import DecisionLog, NodeMetrics
from endivespindle.schema.generated.caller import RunState
from endivespindle.serving.calls import Answer, ServerApi, ServerCall

__all__ = ["StreamRelay"]

# Servers asked in turn while each says at once that it did not run it.
_MAX_NOT_RUN = 4
_RETRY_AFTER_S = 0.2


class _Progress:
    """How far a stream has come."""

    __slots__ = ("last_id", "not_run", "ran", "reason", "resp", "sent", "tried")

    def __init__(self, last_id: str | None):
        self.last_id = last_id
        self.resp: web.StreamResponse | None = None
        self.tried: set[str] = set()
        self.sent = 0
        self.not_run = 0
        self.ran = RunState.NOT_RUN
        self.reason = Reason.NO_BACKEND_SERVER


class StreamRelay:
    """Relays streams, event by event.

    A stream begun at one server goes on at another only where the route
    allows it, after the last event that was passed on whole; the caller sees
    one answer with the headers of the first server.

    Args:
        api: Speaks to backend servers.
        forwarder: Chooses servers.
        clock: Clock of this VM.
        log: Where decisions are written.
        metrics: Counters.
    """

    __slots__ = ("_api", "_clock", "_forwarder", "_log", "_metrics")

    def __init__(
        self,
        *,
        api: ServerApi,
        forwarder: Forwarder,
        clock: Clock,
        log: DecisionLog,
        metrics: NodeMetrics,
    ):
        self._api = api
        self._forwarder = forwarder
        self._clock = clock
        self._log = log
        self._metrics = metrics

    async def relay(
        self,
        request: web.BaseRequest,
        call: ServerCall,
        plan: ForwardPlan,
        *,
        resumable: bool,
        on_start: Callable[[], None],
    ) -> web.StreamResponse:
        """Relays one stream to its end.

        Args:
            request: The caller's request.
            call: What is sent to servers.
            plan: How it may be sent.
            resumable: Whether it may go on at another server.
            on_start: Called once a server has begun to run it.

        Raises:
            RefusedError: No server began to answer.
        """
        seen = _Progress(call.last_event_id)
        while True:
            try:
                done = await self._attempt(request, call, plan, seen, on_start)
            except BackendServerError as exc:
                done = None
                seen.ran = worst_run_state(seen.ran, exc.ran)
                seen.reason = exc.reason
                seen.not_run += exc.ran is RunState.NOT_RUN
            if done is not None:
                return done
            again = resumable or seen.ran is RunState.NOT_RUN
            spent = seen.sent - seen.not_run
            if (
                not again
                or spent >= plan.max_attempts
                or seen.not_run >= _MAX_NOT_RUN
                or self._clock.monotonic() >= plan.deadline_s
            ):
                return self._break_off(request, call, seen)
            self._metrics.retried(RetryReason.RESUME)

    async def _attempt(
        self,
        request: web.BaseRequest,
        call: ServerCall,
        plan: ForwardPlan,
        seen: _Progress,
        on_start: Callable[[], None],
    ) -> web.StreamResponse | None:
        """Runs one attempt; None if the server did not run it."""
        view = self._forwarder.choose_server(plan.service, seen.tried)
        if view is None:
            seen.not_run = _MAX_NOT_RUN
            return None
        seen.tried.add(view.entry.name)
        seen.sent += 1
        left_s = max(0.001, plan.deadline_s - self._clock.monotonic())
        call = msgspec.structs.replace(
            call, deadline_s=left_s, last_event_id=seen.last_id
        )
        async with open_attempt(
            self._api, view, call, clock=self._clock, timeout_s=left_s
        ) as answer:
            if answer.head.not_run:
                seen.not_run += 1
                await answer.read()
                return None
            seen.ran = RunState.RAN
            if answer.head.status != 200:
                return await self._failed(answer, seen)
            on_start()
            return await self._pass_on(request, answer, seen)

    async def _pass_on(
        self, request: web.BaseRequest, answer: Answer, seen: _Progress
    ) -> web.StreamResponse:
        if seen.resp is None:
            seen.resp = web.StreamResponse(status=answer.head.status)
            for name, value in answer.head.headers:
                seen.resp.headers.add(name, value)
            await seen.resp.prepare(request)
        async for event in answer.events():
            await seen.resp.write(event.raw)
            seen.last_id = str(event.event_id)
        await seen.resp.write_eof()
        return seen.resp

    async def _failed(
        self, answer: Answer, seen: _Progress
    ) -> web.StreamResponse | None:
        """Passes a server's failure on, unless the stream has begun."""
        body = await answer.read()
        if seen.resp is not None:
            return None
        resp = web.Response(status=answer.head.status, body=body)
        for name, value in answer.head.headers:
            resp.headers.add(name, value)
        return resp

    def _break_off(
        self, request: web.BaseRequest, call: ServerCall, seen: _Progress
    ) -> web.StreamResponse:
        """Ends a stream so that the caller sees that it is not whole."""
        self._log.decided(
            "stream_broken_off",
            request_id=call.request_id,
            servers=sorted(seen.tried),
            last_event=seen.last_id,
            ran=seen.ran.value,
            reason=seen.reason.code,
        )
        if seen.resp is None:
            raise RefusedError(
                seen.reason, ran=seen.ran, retry_after_s=_RETRY_AFTER_S
            )
        if request.transport is not None:
            request.transport.abort()
        raise asyncio.CancelledError
