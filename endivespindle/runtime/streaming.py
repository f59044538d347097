"""Relays event streams to callers and resumes them at another server."""

import asyncio
from collections.abc import Callable

import msgspec
from aiohttp import web

from endivespindle.core.clock import Clock
from endivespindle.core.reasons import Reason, RetryReason
from endivespindle.exceptions import BackendServerError, RefusedError
from endivespindle.routing.attempts import combine_run_states
from endivespindle.runtime.attempts import open_attempt
from endivespindle.runtime.forward_plan import ForwardPlan
from endivespindle.runtime.forwarding import Forwarder
from endivespindle.runtime.origin_exchange import OriginDirectory
from endivespindle.runtime.request_guard import RequestGuard
from endivespindle.runtime.software_store import SoftwareProof
from endivespindle.runtime.telemetry import EventLog, NodeMetrics
from endivespindle.schema.generated.caller import RunState
from endivespindle.serving.calls import ServerApi, ServerCall, ServerResponse
from endivespindle.serving.directory import ServerView

__all__ = ["StreamRelay"]

# Maximum number of attempts that report at once that the request was not run.
_MAX_NOT_RUN_ATTEMPTS = 4
_RETRY_AFTER_S = 0.2


class _StreamProgress:
    """A stream, what was forwarded of it, and the outcome of its attempts."""

    __slots__ = (
        "call",
        "guard",
        "last_event_id",
        "last_reason",
        "not_run_count",
        "on_start",
        "plan",
        "request",
        "resp",
        "retry_after_s",
        "run_state",
        "sent_count",
        "software",
        "tried_servers",
    )

    def __init__(
        self,
        *,
        request: web.BaseRequest,
        call: ServerCall,
        plan: ForwardPlan,
        guard: RequestGuard,
        on_start: Callable[[], None],
    ):
        self.request = request
        self.call = call
        self.plan = plan
        self.guard = guard
        self.on_start = on_start
        self.software: str | None = None
        self.retry_after_s = _RETRY_AFTER_S
        self.last_event_id = call.last_event_id
        self.resp: web.StreamResponse | None = None
        self.tried_servers: set[str] = set()
        self.sent_count = 0
        self.not_run_count = 0
        self.run_state = RunState.NOT_RUN
        self.last_reason = Reason.NO_BACKEND_SERVER


class StreamRelay:
    """Relays event streams from backend servers to callers.

    A stream that breaks is resumed at another server only if the route allows
    it, and only at one with the software version that began it. It continues
    after the last event that was forwarded completely; the caller receives one
    response with the headers of the first server.

    Args:
        api: Client for backend servers.
        forwarder: Chooses servers.
        clock: Clock of this VM.
        log: Event log.
        metrics: Metrics of this node.
        origins: Software versions that began streams.
        proof: Tells which software began a stream of unknown origin.
    """

    __slots__ = (
        "_api",
        "_clock",
        "_forwarder",
        "_log",
        "_metrics",
        "_origins",
        "_proof",
    )

    def __init__(
        self,
        *,
        api: ServerApi,
        forwarder: Forwarder,
        clock: Clock,
        log: EventLog,
        metrics: NodeMetrics,
        origins: OriginDirectory,
        proof: SoftwareProof,
    ):
        self._api = api
        self._proof = proof
        self._origins = origins
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
        resumes: str | None = None,
        on_start: Callable[[], None],
    ) -> web.StreamResponse:
        """Relays one stream until it is complete.

        Args:
            request: The caller's request.
            call: The request to the backend servers.
            plan: Limits on the attempts.
            resumable: Whether the stream may be resumed at another server.
            resumes: ID of the attempt that received the stream's first event,
                if the caller takes one up again.
            on_start: Called each time a server has started the stream.

        Raises:
            RefusedError: No server started to respond.
            CancelledError: The stream broke and the caller's connection was
                closed.
        """
        progress = _StreamProgress(
            request=request,
            call=call,
            plan=plan,
            guard=self._forwarder.guard_request(call),
            on_start=on_start,
        )
        self._forwarder.record_demand(plan.service)
        if _is_resumed(call):
            progress.software = await self._find_software(call, plan, resumes)
        try:
            return await self._run_attempts(progress, resumable=resumable)
        except asyncio.CancelledError:
            # The caller has gone, or this VM stops: no response may follow the
            # events that were forwarded.
            _abort_connection(progress)
            raise
        except Exception as exc:
            if progress.resp is None:
                raise
            # The error's response would follow the events that were forwarded.
            self._log.state_change(
                "stream_failed",
                request_id=call.request_id,
                last_event=progress.last_event_id,
                error=repr(exc)[:200],
            )
            return self._abort(progress)

    async def _run_attempts(
        self, progress: _StreamProgress, *, resumable: bool
    ) -> web.StreamResponse:
        """Sends the stream to one server after the other until it is complete.

        Raises:
            RefusedError: No server started to respond.
            CancelledError: The stream broke.
        """
        plan = progress.plan
        while True:
            try:
                resp = await self._attempt(progress)
            except BackendServerError as exc:
                resp = None
                progress.run_state = combine_run_states(
                    progress.run_state, exc.ran
                )
                progress.last_reason = exc.reason
                progress.not_run_count += exc.ran is RunState.NOT_RUN
            if resp is not None:
                return resp
            may_retry = resumable or progress.run_state is RunState.NOT_RUN
            used_attempts = progress.sent_count - progress.not_run_count
            if (
                not may_retry
                or used_attempts >= plan.max_attempts
                or progress.not_run_count >= _MAX_NOT_RUN_ATTEMPTS
                or self._clock.monotonic() >= plan.deadline_s
            ):
                return self._abort(progress)
            self._metrics.count_retry(RetryReason.RESUME)

    async def _attempt(
        self, progress: _StreamProgress
    ) -> web.StreamResponse | None:
        """Runs one attempt; returns None if another one is needed."""
        call, plan = progress.call, progress.plan
        if not plan.may_send():
            progress.not_run_count = _MAX_NOT_RUN_ATTEMPTS
            progress.last_reason = Reason.KEY_UNCONFIRMED
            return None
        retry_after_s = progress.guard.retry_after_s(
            is_started=progress.resp is not None
        )
        if retry_after_s is not None:
            progress.not_run_count = _MAX_NOT_RUN_ATTEMPTS
            progress.last_reason = Reason.CRASHES_SERVERS
            progress.retry_after_s = retry_after_s
            return None
        chosen = self._forwarder.choose_server(
            plan.service,
            progress.tried_servers,
            max_start_delay_s=plan.target_latency_s,
            software=progress.software,
        )
        if chosen is None:
            progress.last_reason = (
                self._forwarder.report_unplaced(
                    call.request_id,
                    plan.service,
                    progress.tried_servers,
                    software=progress.software,
                )
                or progress.last_reason
            )
            progress.not_run_count = _MAX_NOT_RUN_ATTEMPTS
            return None
        view, start_delay_s = chosen
        progress.tried_servers.add(view.entry.name)
        progress.sent_count += 1
        if start_delay_s:
            await asyncio.sleep(start_delay_s)
        if start_delay_s and not plan.may_send():
            progress.not_run_count = _MAX_NOT_RUN_ATTEMPTS
            progress.last_reason = Reason.KEY_UNCONFIRMED
            return None
        if progress.last_event_id is not None:
            self._log.event(
                "stream_resumed",
                request_id=call.request_id,
                server=view.entry.name,
                software=view.entry.software,
                last_event=progress.last_event_id,
            )
        remaining_s = max(0.001, plan.deadline_s - self._clock.monotonic())
        call = msgspec.structs.replace(
            call, deadline_s=remaining_s, last_event_id=progress.last_event_id
        )
        with progress.guard.attempt(view):
            async with open_attempt(
                self._api, view, call, clock=self._clock, timeout_s=remaining_s
            ) as response:
                return await self._forward_response(response, view, progress)

    async def _forward_response(
        self,
        response: ServerResponse,
        view: ServerView,
        progress: _StreamProgress,
    ) -> web.StreamResponse | None:
        """Forwards a response; returns None if another attempt is needed."""
        if response.head.not_run:
            progress.not_run_count += 1
            await response.read()
            return None
        progress.run_state = RunState.RAN
        if response.head.status == 200:
            progress.on_start()
        resp: web.StreamResponse | None
        if response.head.may_be_stream:
            resp = await self._forward_events(response, view, progress)
        else:
            resp = await self._forward_body(response, progress)
        progress.guard.record_response(response.head)
        return resp

    async def _find_software(
        self, call: ServerCall, plan: ForwardPlan, resumes: str | None
    ) -> str:
        """Returns the software version that began a stream.

        Raises:
            RefusedError: It is not known, and may be any of several.
        """
        software = await self._origins.find(resumes) if resumes else None
        is_remembered = software is not None
        versions = self._forwarder.software_versions(plan.service)
        if software is None and len(versions) <= 1:
            # One that left before this VM started is not among them.
            software = await self._proof.sole_software(plan.service)
        self._log.event(
            "stream_taken_up",
            request_id=call.request_id,
            resumes=resumes,
            software=software,
            remembered=is_remembered,
            versions=sorted(versions),
            last_event=call.last_event_id,
        )
        if software is None:
            raise RefusedError(
                Reason.STREAM_ORIGIN_UNKNOWN, retry_after_s=_RETRY_AFTER_S
            )
        return software

    async def _record_origin(
        self, progress: _StreamProgress, software: str
    ) -> None:
        """Records which software begins a stream, before its first event.

        A VM that takes the stream up may have missed that there are servers of
        this version: it finds the origin, or the version in the store.
        """
        if _is_resumed(progress.call):
            return
        service = progress.plan.service
        versions = self._forwarder.software_versions(service)
        await asyncio.gather(
            self._origins.record(
                progress.call.request_id, software, wait=len(versions) > 1
            ),
            self._proof.ensure_recorded(service, software),
        )

    async def _forward_events(
        self,
        response: ServerResponse,
        view: ServerView,
        progress: _StreamProgress,
    ) -> web.StreamResponse:
        if progress.resp is None:
            progress.resp = web.StreamResponse(status=response.head.status)
            for name, value in response.head.headers:
                progress.resp.headers.add(name, value)
            await progress.resp.prepare(progress.request)
        async for event in response.events():
            if progress.software is None:
                progress.software = view.entry.software
                await self._record_origin(progress, progress.software)
            await progress.resp.write(event.raw)
            progress.last_event_id = str(event.event_id)
        await progress.resp.write_eof()
        return progress.resp

    async def _forward_body(
        self, response: ServerResponse, progress: _StreamProgress
    ) -> web.StreamResponse | None:
        """Forwards a response without events unless the stream has started."""
        body = await response.read()
        if progress.resp is not None:
            return None
        resp = web.Response(status=response.head.status, body=body)
        for name, value in response.head.headers:
            resp.headers.add(name, value)
        return resp

    def _abort(self, progress: _StreamProgress) -> web.StreamResponse:
        """Ends an incomplete stream by closing the caller's connection.

        Raises:
            RefusedError: The stream has not started.
            CancelledError: The stream has started; the caller detects the error
                by the closed connection.
        """
        self._log.event(
            "stream_broken_off",
            request_id=progress.call.request_id,
            servers=sorted(progress.tried_servers),
            last_event=progress.last_event_id,
            ran=progress.run_state.value,
            reason=progress.last_reason.code,
        )
        if progress.resp is None:
            raise RefusedError(
                progress.last_reason,
                ran=progress.run_state,
                retry_after_s=progress.retry_after_s,
            )
        _abort_connection(progress)
        raise asyncio.CancelledError


def _abort_connection(progress: _StreamProgress) -> None:
    """Closes the caller's connection if a response has begun on it."""
    transport = progress.request.transport
    if progress.resp is not None and transport is not None:
        transport.abort()


def _is_resumed(call: ServerCall) -> bool:
    """Returns whether the caller has events of the stream already."""
    return call.last_event_id not in (None, "", "0")
