"""HTTP handler for the requests of callers."""

import asyncio
import contextlib
import functools
import math
import random
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import cast

import msgspec
from aiohttp import web

from endivespindle.backends.body_memory import BodyMemory, BodyReservation
from endivespindle.batch.job_calls import (
    JobAction,
    JobCall,
    may_access_job,
    parse_job_call,
)
from endivespindle.batch.submission import BatchSubmission
from endivespindle.core.clock import Clock
from endivespindle.core.decoding import parse_count
from endivespindle.core.reasons import Reason
from endivespindle.exceptions import MessageError, RefusedError
from endivespindle.platform.headers import (
    parse_request_metadata,
    refusal_headers,
)
from endivespindle.platform.jobs import (
    JOB_CALLS,
    decode_submission,
    encode_page,
)
from endivespindle.runtime.forward_plan import ForwardPlan
from endivespindle.runtime.forwarding import Forwarder
from endivespindle.runtime.job_service import JobService
from endivespindle.runtime.peer_client import (
    JobReply,
    JobReplyStatus,
    JobRequest,
)
from endivespindle.runtime.request_metadata import RequestMetadata
from endivespindle.runtime.streaming import StreamRelay
from endivespindle.runtime.telemetry import EventLog, NodeMetrics
from endivespindle.runtime.usage_counter import UsageCounter
from endivespindle.schema.generated.caller import RunState
from endivespindle.serving.active_config import ActiveConfig, Permit
from endivespindle.serving.calls import ServerCall
from endivespindle.serving.configuration import RouteKind
from endivespindle.serving.drain_window import DrainWindow

__all__ = ["Ingress"]

# Body limit until a configuration has been received.
_DEFAULT_BODY_BYTES = 33_554_432
# Time reserved before the deadline for returning the response.
_RESPONSE_MARGIN_S = 0.01
# Longest time for which a read of a job waits for a result. The node that owns
# the job then confirms this with the store, and must reply before the node that
# asks takes it for lost.
_MAX_RESULT_WAIT_S = 0.7
# This status guarantees that the request has not run and will not run.
_STATUS_NOT_RUN = 503
_STATUS_OUTCOME_UNKNOWN = 504
_OUTCOME_CALLER_GONE = "caller_gone"
# Routes of batch jobs have no other requests than submissions.
_SUBMIT_METHOD = "POST"
# Time within which a call for a job is answered: a read of the store, its owner
# asked, and the wait for a result.
_JOB_CALL_LIMIT_S = 2.0
# Size up to which a body is copied into an immutable object.
_COPIED_BODY_BYTES = 65_536
# Delay of the retry of a request whose body found no memory: a body of the
# largest size is received and passed on in about this time.
_UPLOADS_RETRY_AFTER_S = 1.0
# Fraction of the process's memory that request bodies may hold. A body of the
# largest size that callers are known to be allowed fits into it on small VMs.
_UPLOAD_FRACTION = 0.25
# Delay of the retry of a request that a leaving VM does not take: retries reach
# other VMs.
_DRAINING_RETRY_AFTER_S = 0.05


class _PermittedRequest(msgspec.Struct, kw_only=True, frozen=True):
    """A permitted request whose body was read.

    Attributes:
        request: The caller's request.
        permit: What the configuration allows the request.
        metadata: Request ID, tenant key and limits from its headers.
        body: Complete body.
        start_s: Monotonic time at which its head had been read.
    """

    request: web.BaseRequest
    permit: Permit
    metadata: RequestMetadata
    body: bytes
    start_s: float


class _UploadMemory(BodyMemory):
    """Limits the bytes of all request bodies that are held at a time.

    Load pattern: callers send bodies of the largest size at the same time. Each
    is held until its request is answered, as it may have to be sent again.
    """

    __slots__ = ()

    def _full_error(self) -> Exception:
        return RefusedError(
            Reason.UPLOADS_TOO_LARGE, retry_after_s=_UPLOADS_RETRY_AFTER_S
        )


class Ingress:
    """Handles each request of a caller.

    Args:
        config: Active configuration.
        forwarder: Forwards requests to plain services.
        streams: Relays event streams.
        jobs: Accepts and reads batch jobs.
        usage: Counts requests per client account.
        clock: Clock of this VM.
        rng: Random number generator.
        owner_id: Identity of this node as an owner of jobs.
        drain: Which requests are taken during the shutdown. Connections are
            then closed after their response, and no job is accepted.
        memory_bytes: Memory of this process, in bytes.
        log: Event log.
        metrics: Metrics of this node.

    Attributes:
        active_requests: Number of requests in progress.
    """

    __slots__ = (
        "_clock",
        "_config",
        "_drain",
        "_forwarder",
        "_jobs",
        "_log",
        "_metrics",
        "_owner_id",
        "_rng",
        "_scopes",
        "_streams",
        "_uploads",
        "_usage",
        "active_requests",
    )

    def __init__(
        self,
        *,
        config: ActiveConfig,
        forwarder: Forwarder,
        streams: StreamRelay,
        jobs: JobService,
        usage: UsageCounter,
        clock: Clock,
        rng: random.Random,
        owner_id: str,
        drain: DrainWindow,
        memory_bytes: int,
        log: EventLog,
        metrics: NodeMetrics,
    ):
        self._config = config
        self._drain = drain
        self._uploads = _UploadMemory(
            memory_bytes=memory_bytes, fraction=_UPLOAD_FRACTION
        )
        self._scopes: set[asyncio.Timeout] = set()
        self._forwarder = forwarder
        self._streams = streams
        self._jobs = jobs
        self._usage = usage
        self._clock = clock
        self._rng = rng
        self._owner_id = owner_id
        self._log = log
        self._metrics = metrics
        self.active_requests = 0

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handles one request and returns its response."""
        start_s = self._clock.monotonic()
        metadata = parse_request_metadata(request.headers)
        # Looked for before any route: whether a job can be reached must not
        # depend on the configuration, which changes while the job is kept.
        job_call = parse_job_call(
            request.method, request.raw_path, syntax=JOB_CALLS
        )
        job_fields = {"job_id": job_call.job_id} if job_call else {}
        outcome, route = "answered", job_call.action.value if job_call else ""
        status = None
        self.active_requests += 1
        try:
            async with self._until_shutdown():
                if job_call is not None:
                    resp = await self._serve_job_call(job_call, metadata)
                else:
                    permit = self._config.permit(
                        host=request.headers.get("Host", "").partition(":")[0],
                        path=request.raw_path.partition("?")[0],
                        key=metadata.key,
                    )
                    route = permit.route.name
                    resp = await self._serve(request, permit, metadata, start_s)
            status = resp.status
        except RefusedError as exc:
            outcome = exc.reason.code
            self._metrics.count_refusal(exc.reason)
            resp = _refusal_response(exc, metadata)
            status = resp.status
        except asyncio.CancelledError:
            outcome = _OUTCOME_CALLER_GONE
            raise
        finally:
            self.active_requests -= 1
            duration_s = self._clock.monotonic() - start_s
            self._metrics.observe_latency(
                route=route, outcome=outcome, seconds=duration_s
            )
            self._log.event(
                "request",
                request_id=metadata.request_id,
                **job_fields,
                route=route,
                outcome=outcome,
                status=status,
                config=self._config.version,
                config_age_s=round(self._config.confirmation_age_s(), 2)
                if self._config.version
                else None,
                seconds=round(duration_s, 4),
            )
        if self._drain.is_open:
            resp.force_close()
        return resp

    def end_requests(self) -> int:
        """Ends the requests in progress, each with a final response.

        Returns:
            Their number.
        """
        now_s = asyncio.get_running_loop().time()
        scopes = list(self._scopes)
        for scope in scopes:
            scope.reschedule(now_s)
        return len(scopes)

    @contextlib.asynccontextmanager
    async def _until_shutdown(self) -> AsyncIterator[None]:
        """Ends a request that is still in progress when this VM stops.

        Raises:
            RefusedError: It was ended; it may have run.
        """
        scope = asyncio.timeout(None)
        try:
            async with scope:
                self._scopes.add(scope)
                yield
        except TimeoutError as exc:
            if not scope.expired():
                raise
            raise RefusedError(Reason.SHUT_DOWN, ran=RunState.UNKNOWN) from exc
        finally:
            self._scopes.discard(scope)

    async def _serve(
        self,
        request: web.BaseRequest,
        permit: Permit,
        metadata: RequestMetadata,
        start_s: float,
    ) -> web.StreamResponse:
        if not metadata.request_id:
            raise RefusedError(Reason.MALFORMED, "The request has no id.")
        if permit.route.kind is RouteKind.BATCH and (
            request.method != _SUBMIT_METHOD
        ):
            self._config.check_final_refusal()
            raise RefusedError(Reason.METHOD_NOT_ALLOWED)
        with self._uploads.reserve() as reservation:
            body = await self._read_body(request, metadata, reservation)
            return await self._serve_body(
                request, permit, metadata, body, start_s
            )

    async def _serve_body(
        self,
        request: web.BaseRequest,
        permit: Permit,
        metadata: RequestMetadata,
        body: bytes,
        start_s: float,
    ) -> web.StreamResponse:
        """Serves a request whose body was read."""
        permitted = _PermittedRequest(
            request=request,
            permit=permit,
            metadata=metadata,
            body=body,
            start_s=start_s,
        )
        route = permit.route
        self._check_drain(
            limit_s=start_s
            + min(route.timeout_s, metadata.deadline_s or math.inf),
            may_repeat=route.kind is RouteKind.IDEMPOTENT or route.resumable,
        )
        handlers: dict[
            RouteKind,
            Callable[[_PermittedRequest], Awaitable[web.StreamResponse]],
        ] = {
            RouteKind.IDEMPOTENT: self._forward,
            RouteKind.NON_IDEMPOTENT: self._forward,
            RouteKind.STREAM: self._relay_stream,
            RouteKind.BATCH: self._submit_job,
        }
        return await handlers[route.kind](permitted)

    def _check_drain(self, *, limit_s: float, may_repeat: bool) -> None:
        """Checks whether a request is taken during the shutdown.

        Raises:
            RefusedError: It would last longer than this VM.
        """
        if not self._drain.may_take(limit_s=limit_s, may_repeat=may_repeat):
            raise RefusedError(
                Reason.DRAINING, retry_after_s=_DRAINING_RETRY_AFTER_S
            )

    async def _forward(
        self, permitted: _PermittedRequest
    ) -> web.StreamResponse:
        call, plan = self._plan_forward(permitted)
        response = await self._forwarder.forward(call, plan)
        if permitted.permit.client_account:
            self._usage.count(permitted.permit.client_account)
        resp = web.Response(status=response.head.status, body=response.body)
        for name, value in response.head.headers:
            resp.headers.add(name, value)
        return resp

    async def _relay_stream(
        self, permitted: _PermittedRequest
    ) -> web.StreamResponse:
        call, plan = self._plan_forward(permitted)
        call = msgspec.structs.replace(
            call, last_event_id=permitted.metadata.last_event_id
        )
        return await self._streams.relay(
            permitted.request,
            call,
            plan,
            resumable=permitted.permit.route.resumable,
            resumes=permitted.metadata.resumes,
            on_start=lambda: self._usage.count(permitted.permit.client_account),
        )

    def _plan_forward(
        self, permitted: _PermittedRequest
    ) -> tuple[ServerCall, ForwardPlan]:
        route, request = permitted.permit.route, permitted.request
        timeout_s = min(
            route.timeout_s, permitted.metadata.deadline_s or math.inf
        )
        call = ServerCall(
            request_id=permitted.metadata.request_id,
            method=request.method,
            target=request.raw_path,
            host=request.headers.get("Host", ""),
            headers=list(request.headers.items()),
            body=permitted.body,
            client_account=permitted.permit.client_account,
            urgency=min(9, permitted.permit.priority),
            may_repeat=route.kind is RouteKind.IDEMPOTENT,
            may_wait=route.kind is not RouteKind.IDEMPOTENT
            and not route.resumable,
        )
        plan = ForwardPlan(
            route=route.name,
            service=self._config.choose_service(route, self._rng),
            may_repeat=call.may_repeat,
            max_attempts=max(1, route.max_attempts),
            target_latency_s=route.target_latency_s,
            deadline_s=permitted.start_s + timeout_s - _RESPONSE_MARGIN_S,
            may_send=functools.partial(
                self._config.may_send,
                permitted.permit,
                permitted.metadata.key,
            ),
        )
        return call, plan

    async def _submit_job(
        self, permitted: _PermittedRequest
    ) -> web.StreamResponse:
        if self._drain.is_open:
            raise RefusedError(
                Reason.DRAINING, retry_after_s=_DRAINING_RETRY_AFTER_S
            )
        permit = permitted.permit
        try:
            submission: BatchSubmission = decode_submission(
                permitted.body,
                job_id=permitted.metadata.request_id,
                client_account=permit.client_account,
                route=permit.route,
                service=self._config.choose_service(permit.route, self._rng),
                path=permitted.request.raw_path,
                submitted_ms=math.floor(self._clock.now().timestamp() * 1000),
                owner=self._owner_id,
            )
        except MessageError as exc:
            raise RefusedError(Reason.MALFORMED, str(exc)) from exc
        # Shielded: a caller that disconnects must not interrupt the submission
        # and leave its outcome unknown.
        await asyncio.shield(self._jobs.submit(submission))
        return web.Response(status=202)

    async def _serve_job_call(
        self, call: JobCall, metadata: RequestMetadata
    ) -> web.StreamResponse:
        account = None
        if (
            self._config.config is None
            or self._config.config.accounts is not None
        ):
            account = self._config.account(metadata.key).name
        self._check_drain(
            limit_s=self._clock.monotonic() + _JOB_CALL_LIMIT_S,
            may_repeat=False,
        )
        job_request = JobRequest(
            job_id=call.job_id,
            item_id=call.item_id,
            end=call.action is JobAction.END,
            client_account=account,
        )
        if call.action is JobAction.READ:
            job_request.after = _parse_position(call.position)
            job_request.wait_s = min(_MAX_RESULT_WAIT_S, metadata.wait_s or 0.0)
        reply = await self._jobs.query(job_request)
        if reply.state is JobReplyStatus.MISSING:
            return web.Response(status=404)
        # The owner may run an earlier version, which compares nothing.
        if not may_access_job(
            job_account=reply.client_account, caller_account=account
        ):
            self._config.check_final_refusal()
            raise RefusedError(Reason.WRONG_ACCOUNT)
        return _job_response(job_request, reply)

    async def _read_body(
        self,
        request: web.BaseRequest,
        metadata: RequestMetadata,
        reservation: BodyReservation,
    ) -> bytes:
        """Reads a body of at most the configured size.

        Memory for a body of known length is reserved before it is read.

        Raises:
            RefusedError: The body is larger, or there is no memory for it.
        """
        limit = _DEFAULT_BODY_BYTES
        if self._config.config is not None:
            limit = self._config.config.limits.body_bytes
        body = bytearray()
        size = request.content_length or 0
        try:
            reservation.resize(min(size, limit))
            async for part in request.content.iter_any():
                if len(body) + len(part) > limit:
                    self._config.check_final_refusal()
                    raise RefusedError(Reason.BODY_TOO_LARGE)
                body += part
                if len(body) > size:
                    reservation.resize(len(body))
        except RefusedError as exc:
            if exc.reason is Reason.UPLOADS_TOO_LARGE:
                self._log.event(
                    "upload_refused",
                    request_id=metadata.request_id,
                    body_bytes=max(size, len(body)),
                    held_bytes=self._uploads.held_bytes,
                    max_bytes=self._uploads.max_bytes,
                )
            raise
        # A large body is not copied once more.
        return (
            cast(bytes, body) if len(body) > _COPIED_BODY_BYTES else bytes(body)
        )


def _job_response(job_request: JobRequest, reply: JobReply) -> web.Response:
    if job_request.end:
        return web.Response(status=200)
    if job_request.item_id:
        if reply.body is None:
            return web.Response(status=404)
        return web.Response(body=reply.body)
    return web.Response(
        body=encode_page(
            total=reply.total, after=job_request.after, results=reply.results
        ),
        content_type="application/json",
    )


def _parse_position(text: str) -> int:
    position = parse_count(text)
    if position is None:
        raise RefusedError(Reason.MALFORMED, "the position is no number")
    return position


def _refusal_response(
    exc: RefusedError, metadata: RequestMetadata
) -> web.Response:
    """Returns the response to a refused request.

    Status 503 and 429 guarantee that the request did not run; a request that
    may have run gets 504.
    """
    status = exc.reason.status
    if status >= 500 or status == 429:
        status = (
            _STATUS_NOT_RUN
            if exc.ran is RunState.NOT_RUN
            else _STATUS_OUTCOME_UNKNOWN
        )
    retry_after_s = exc.retry_after_s if status == _STATUS_NOT_RUN else None
    return web.Response(
        status=status,
        text=f"{exc.reason.code}: {exc}\n",
        headers=refusal_headers(metadata.request_id, retry_after_s),
    )
