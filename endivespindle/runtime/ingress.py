"""Callers' requests: from the first byte read to the last byte written."""

import asyncio
import math
import random
from collections.abc import Awaitable, Callable

import msgspec
from aiohttp import web

from endivespindle.batch.submission import BatchSubmission
from endivespindle.core.clock import Clock
from endivespindle.core.reasons import Reason
from endivespindle.exceptions import MessageError, RefusedError
from endivespindle.platform.headers import caller_hints, refusal_headers
from endivespindle.platform.jobs import (
    decode_submission,
    encode_page,
    job_call,
)
from endivespindle.runtime.caller_request import CallerHints
from endivespindle.runtime.forwarding import Forwarder, ForwardPlan
from endivespindle.runtime.job_service import JobService
from endivespindle.runtime.peer_calls import JobAsk, JobReply, ReadState
from endivespindle.runtime.streaming import StreamRelay
from endivespindle.runtime.telemetry import DecisionLog, NodeMetrics
from endivespindle.runtime.usage_counter import UsageCounter
from endivespindle.schema.generated.caller import RunState
from endivespindle.serving.calls import ServerCall
from endivespindle.serving.configuration import RouteKind
from endivespindle.serving.in_force import ConfigInForce, Permit

__all__ = ["Ingress"]

# Body that is read where no configuration says how much may be.
_DEFAULT_BODY_BYTES = 33_554_432
# Time kept back from the deadline for the way of the answer.
_ANSWER_MARGIN_S = 0.01
# Status that promises that a request did not run and never will.
_PROMISE = 503
_UNKNOWN_STATUS = 504
_CALLER_GONE = "caller_gone"


class _Asked(msgspec.Struct, kw_only=True, frozen=True):
    """A permitted request whose body was read.

    Attributes:
        request: The caller's request.
        permit: What the configuration allows it.
        hints: What its headers say.
        body: Its whole body.
        begun_s: Monotonic time at which its head had been read.
    """

    request: web.BaseRequest
    permit: Permit
    hints: CallerHints
    body: bytes
    begun_s: float


class Ingress:
    """Handles each request of a caller.

    Args:
        config: Configuration in force.
        forwarder: Sends plain requests.
        streams: Relays streams.
        jobs: Accepts and reads batch jobs.
        usage: Counts what client accounts used.
        clock: Clock of this VM.
        rng: Source of draws.
        owner_id: Name of this node as an owner of jobs.
        log: Where decisions are written.
        metrics: Counters.
    """

    __slots__ = (
        "_clock",
        "_config",
        "_forwarder",
        "_jobs",
        "_log",
        "_metrics",
        "_owner_id",
        "_rng",
        "_streams",
        "_usage",
        "active",
        "closing",
    )

    def __init__(
        self,
        *,
        config: ConfigInForce,
        forwarder: Forwarder,
        streams: StreamRelay,
        jobs: JobService,
        usage: UsageCounter,
        clock: Clock,
        rng: random.Random,
        owner_id: str,
        log: DecisionLog,
        metrics: NodeMetrics,
    ):
        self._config = config
        self._forwarder = forwarder
        self._streams = streams
        self._jobs = jobs
        self._usage = usage
        self._clock = clock
        self._rng = rng
        self._owner_id = owner_id
        self._log = log
        self._metrics = metrics
        self.active = 0
        self.closing = False

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answers one request."""
        begun_s = self._clock.monotonic()
        hints = caller_hints(request.headers)
        outcome, route = "answered", ""
        self.active += 1
        try:
            path = request.raw_path.partition("?")[0]
            host = request.headers.get("Host", "").partition(":")[0]
            asked = job_call(path)
            if asked and self._config.route(host=host, path=path) is None:
                route = asked[0]
                resp = await self._job_call(request, asked, hints)
            else:
                permit = self._config.permit(
                    host=host, path=path, key=hints.key
                )
                route = permit.route.name
                resp = await self._serve(request, permit, hints, begun_s)
        except RefusedError as exc:
            outcome = exc.reason.code
            self._metrics.refused(exc.reason)
            resp = _refusal(exc, hints)
        except asyncio.CancelledError:
            outcome = _CALLER_GONE
            raise
        finally:
            self.active -= 1
            took_s = self._clock.monotonic() - begun_s
            self._metrics.took(route=route, outcome=outcome, seconds=took_s)
            self._log.decided(
                "request",
                request_id=hints.request_id,
                route=route,
                outcome=outcome,
                config=self._config.version,
                config_age_s=round(self._config.unconfirmed_s(), 2)
                if self._config.version
                else None,
                seconds=round(took_s, 4),
            )
        if self.closing:
            resp.force_close()
        return resp

    async def _serve(
        self,
        request: web.BaseRequest,
        permit: Permit,
        hints: CallerHints,
        begun_s: float,
    ) -> web.StreamResponse:
        if not hints.request_id:
            raise RefusedError(Reason.MALFORMED, "The request has no id.")
        asked = _Asked(
            request=request,
            permit=permit,
            hints=hints,
            body=await self._read_body(request),
            begun_s=begun_s,
        )
        handlers: dict[
            RouteKind, Callable[[_Asked], Awaitable[web.StreamResponse]]
        ] = {
            RouteKind.IDEMPOTENT: self._forward,
            RouteKind.NON_IDEMPOTENT: self._forward,
            RouteKind.STREAM: self._stream,
            RouteKind.BATCH: self._submit,
        }
        return await handlers[permit.route.kind](asked)

    async def _forward(self, asked: _Asked) -> web.StreamResponse:
        call, plan = self._plan(asked)
        answer = await self._forwarder.forward(call, plan)
        if asked.permit.client_account:
            self._usage.count(asked.permit.client_account)
        resp = web.Response(status=answer.head.status, body=answer.body)
        for name, value in answer.head.headers:
            resp.headers.add(name, value)
        return resp

    async def _stream(self, asked: _Asked) -> web.StreamResponse:
        call, plan = self._plan(asked)
        call = msgspec.structs.replace(
            call, last_event_id=asked.hints.last_event_id
        )
        return await self._streams.relay(
            asked.request,
            call,
            plan,
            resumable=asked.permit.route.resumable,
            on_start=lambda: self._usage.count(asked.permit.client_account),
        )

    def _plan(self, asked: _Asked) -> tuple[ServerCall, ForwardPlan]:
        route, request = asked.permit.route, asked.request
        bound_s = min(route.timeout_s, asked.hints.deadline_s or math.inf)
        call = ServerCall(
            request_id=asked.hints.request_id,
            method=request.method,
            target=request.raw_path,
            host=request.headers.get("Host", ""),
            headers=list(request.headers.items()),
            body=asked.body,
            client_account=asked.permit.client_account,
            urgency=min(9, asked.permit.priority),
            may_repeat=route.kind is RouteKind.IDEMPOTENT,
        )
        plan = ForwardPlan(
            service=self._config.choose_service(route, self._rng),
            may_repeat=call.may_repeat,
            max_attempts=max(1, route.max_attempts),
            target_latency_s=route.target_latency_s,
            deadline_s=asked.begun_s + bound_s - _ANSWER_MARGIN_S,
        )
        return call, plan

    async def _submit(self, asked: _Asked) -> web.StreamResponse:
        if self.closing:
            raise RefusedError(Reason.DRAINING, retry_after_s=0.05)
        permit = asked.permit
        try:
            submission: BatchSubmission = decode_submission(
                asked.body,
                job_id=asked.hints.request_id,
                client_account=permit.client_account,
                route=permit.route,
                service=self._config.choose_service(permit.route, self._rng),
                path=asked.request.raw_path,
                submitted_ms=math.floor(self._clock.now().timestamp() * 1000),
                owner=self._owner_id,
            )
        except MessageError as exc:
            raise RefusedError(Reason.MALFORMED, str(exc)) from exc
        # A caller that leaves must not leave the acceptance half known.
        await asyncio.shield(self._jobs.submit(submission))
        return web.Response(status=202)

    async def _job_call(
        self,
        request: web.BaseRequest,
        asked: tuple[str, str],
        hints: CallerHints,
    ) -> web.StreamResponse:
        account = ""
        if (
            self._config.config is None
            or self._config.config.accounts is not None
        ):
            account = self._config.account(hints.key).name
        what, job_id = asked
        ask = JobAsk(job_id=job_id)
        if what == "item":
            ask.item_id = request.query.get("id", "")
        elif request.method == "DELETE":
            ask.end = True
        else:
            ask.after = _position(request.query.get("after", "0"))
            ask.wait_s = min(1.0, hints.wait_s or 0.0)
        reply = await self._jobs.query(ask)
        if reply.state is ReadState.MISSING:
            return web.Response(status=404)
        if account and reply.client_account != account:
            raise RefusedError(Reason.WRONG_ACCOUNT)
        return _job_answer(ask, reply)

    async def _read_body(self, request: web.BaseRequest) -> bytes:
        """Reads a body up to the configuration's bound."""
        limit = _DEFAULT_BODY_BYTES
        if self._config.config is not None:
            limit = self._config.config.limits.body_bytes
        parts: list[bytes] = []
        size = 0
        async for part in request.content.iter_any():
            size += len(part)
            if size > limit:
                raise RefusedError(Reason.BODY_TOO_LARGE)
            parts.append(part)
        return b"".join(parts)


def _job_answer(ask: JobAsk, reply: JobReply) -> web.Response:
    if ask.end:
        return web.Response(status=200)
    if ask.item_id:
        if reply.body is None:
            return web.Response(status=404)
        return web.Response(body=reply.body)
    return web.Response(
        body=encode_page(
            total=reply.total, after=ask.after, results=reply.results
        ),
        content_type="application/json",
    )


def _position(text: str) -> int:
    if not text.isdecimal():
        raise RefusedError(Reason.MALFORMED, "the position is no number")
    return int(text)


def _refusal(exc: RefusedError, hints: CallerHints) -> web.Response:
    """Returns an answer whose status is true of the request.

    503 and 429 promise that it did not run; a request that may have run gets
    504.
    """
    status = exc.reason.status
    if status >= 500 or status == 429:
        status = _PROMISE if exc.ran is RunState.NOT_RUN else _UNKNOWN_STATUS
    retry_after_s = exc.retry_after_s if status == _PROMISE else None
    return web.Response(
        status=status,
        text=f"{exc.reason.code}: {exc}\n",
        headers=refusal_headers(hints.request_id, retry_after_s),
    )
