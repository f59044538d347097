"""Reaches backend servers through other gateways while this one is cut off."""

import contextlib
import math
from collections.abc import AsyncIterator

import aiohttp
import msgspec

from endivespindle.backends.exchange import (
    MAX_BODY_BYTES,
    SILENCE_TIMEOUT_S,
    check_body_size,
    connection_lost_error,
    is_final_status,
    mismatch_error,
    translate_read_errors,
    translate_send_errors,
)
from endivespindle.core.reasons import Reason
from endivespindle.exceptions import BackendServerError
from endivespindle.platform.headers import parse_response_id
from endivespindle.runtime.context import RuntimeContext
from endivespindle.runtime.fleet_view import NodeRecord
from endivespindle.runtime.monitored_path import MonitoredServerApi
from endivespindle.runtime.path_messages import (
    LEND_PATH,
    BodyFrame,
    EndFrame,
    EventFrame,
    FailureFrame,
    Frame,
    FrameParser,
    HeadFrame,
    LenderRefusedError,
    LendRequest,
    encode_request,
)
from endivespindle.runtime.path_probing import PathProber
from endivespindle.runtime.settings import NodeRole
from endivespindle.schema.generated.caller import RunState
from endivespindle.serving.calls import (
    OrderResponse,
    ServerApi,
    ServerCall,
    ServerReport,
    ServerResponse,
    StreamEvent,
    VersionOrder,
)
from endivespindle.serving.path_lenders import LenderChoice, LenderRefusal
from endivespindle.serving.server_entry import ServerEntry
from endivespindle.serving.server_paths import PathState, ServerPaths

__all__ = ["BorrowingServerApi"]

# Gateways that are asked for one attempt, one after the other, as long as each
# says that the request was not run; those of them that may have tried, as a
# server to which several do not connect is down; and those that may be silent,
# as the gateways of another data centre are in a cut between data centres.
_MAX_ASKED = 8
_MAX_TRIED = 3
_MAX_SILENT = 2
# Time within which a server must accept the connection of another gateway. That
# one may be cut off without knowing it.
_LENT_CONNECT_TIMEOUT_S = 0.2
_CONNECT_TIMEOUT_S = 0.3


class BorrowingServerApi(ServerApi):
    """Sends requests directly, or through another gateway during a cut.

    What decides about a request stays at this VM: its server, attempts,
    deadline, retries and hedges, and what its response tells. The other gateway
    passes on one attempt and never asks a third one.

    Args:
        ctx: State shared by the components of the node.
        direct: Client that records its outcomes in `paths`.
        paths: Whether servers are reached directly.
        prober: Finds out whether the path is cut, and when it is back.
        session: HTTP session for calls to other nodes.
    """

    __slots__ = (
        "_ctx",
        "_direct",
        "_lenders",
        "_paths",
        "_prober",
        "_session",
    )

    def __init__(
        self,
        *,
        ctx: RuntimeContext,
        direct: MonitoredServerApi,
        paths: ServerPaths,
        prober: PathProber,
        session: aiohttp.ClientSession,
    ):
        self._ctx = ctx
        self._direct = direct
        self._paths = paths
        self._prober = prober
        self._session = session
        self._lenders: dict[str, LenderChoice] = {}

    @contextlib.asynccontextmanager
    async def send(
        self, server: ServerEntry, call: ServerCall, *, timeout_s: float | None
    ) -> AsyncIterator[ServerResponse]:
        """Sends a request; see `ServerApi`."""
        async with contextlib.AsyncExitStack() as stack:
            yield await self._open(stack, server, call, timeout_s=timeout_s)

    async def report(
        self, server: ServerEntry, *, timeout_s: float
    ) -> ServerReport:
        """Returns the state reported by a server; never borrows a path."""
        return await self._direct.report(server, timeout_s=timeout_s)

    async def order_version(
        self, server: ServerEntry, order: VersionOrder, *, timeout_s: float
    ) -> OrderResponse:
        """Sends an order; never borrows a path."""
        return await self._direct.order_version(
            server, order, timeout_s=timeout_s
        )

    def reaching_gateways(self, service: str) -> list[str]:
        """Returns the gateways that reach a service while this one is cut.

        Empty if this one reaches it, or if none is known to.
        """
        if self._paths.state(service) is not PathState.CUT:
            return []
        return self._lenders_of(service).reaching()

    def _lenders_of(self, service: str) -> LenderChoice:
        lenders = self._lenders.get(service)
        if lenders is None:
            lenders = self._lenders[service] = LenderChoice(
                clock=self._ctx.clock, rng=self._ctx.rng
            )
        return lenders

    async def close(self) -> None:
        """Ends the probes."""
        await self._prober.close()

    async def _open(
        self,
        stack: contextlib.AsyncExitStack,
        server: ServerEntry,
        call: ServerCall,
        *,
        timeout_s: float | None,
    ) -> ServerResponse:
        service = server.service
        self._prober.watch(service)
        if not self._paths.should_borrow(service):
            try:
                return await stack.enter_async_context(
                    self._direct.send(server, call, timeout_s=timeout_s)
                )
            except BackendServerError as exc:
                if exc.ran is not RunState.NOT_RUN:
                    raise
                if not self._paths.may_borrow(service):
                    raise
        return await self._open_borrowed(
            stack, server, call, timeout_s=timeout_s
        )

    async def _open_borrowed(
        self,
        stack: contextlib.AsyncExitStack,
        server: ServerEntry,
        call: ServerCall,
        *,
        timeout_s: float | None,
    ) -> ServerResponse:
        """Sends a request through the first gateway that reaches the server.

        Raises:
            BackendServerError: None did; the request may have run if the last
                one that was asked does not rule it out.
        """
        peers = {n.name: n for n in self._ctx.fleet.peers(NodeRole.GATEWAY)}
        call = msgspec.structs.replace(
            call,
            connect_timeout_s=min(
                _LENT_CONNECT_TIMEOUT_S, call.connect_timeout_s or math.inf
            ),
        )
        error: BackendServerError = LenderRefusedError(LenderRefusal.NONE_LEFT)
        tried = silent = 0
        lenders = self._lenders_of(server.service)
        for name in lenders.choose(peers, count=_MAX_ASKED):
            try:
                response = await stack.enter_async_context(
                    self._borrow(peers[name], server, call, timeout_s=timeout_s)
                )
            except LenderRefusedError as exc:
                error = exc
                lenders.record_refused(name, exc.cause)
                self._record(server, call, name, exc.cause)
                silent += exc.cause is LenderRefusal.NO_REPLY
                if silent >= _MAX_SILENT:
                    break
                continue
            except BackendServerError as exc:
                error = exc
                self._record(server, call, name, exc.reason.code)
                if exc.ran is not RunState.NOT_RUN:
                    lenders.record_refused(name, LenderRefusal.NO_REPLY)
                    break
                if exc.reason is not Reason.BACKEND_UNREACHABLE:
                    break
                lenders.record_unreached(name)
                self._paths.record_borrowed(server.service, has_reached=False)
                tried += 1
                if tried >= _MAX_TRIED:
                    break
                continue
            lenders.record_reached(name)
            self._paths.record_borrowed(server.service, has_reached=True)
            self._record(server, call, name, "responded")
            return response
        raise error

    def _record(
        self, server: ServerEntry, call: ServerCall, lender: str, outcome: str
    ) -> None:
        self._ctx.metrics.count_borrowed_path(outcome)
        self._ctx.log.event(
            "path_borrowed",
            request_id=call.request_id,
            server=server.name,
            service=server.service,
            lender=lender,
            outcome=outcome,
        )

    @contextlib.asynccontextmanager
    async def _borrow(
        self,
        lender: NodeRecord,
        server: ServerEntry,
        call: ServerCall,
        *,
        timeout_s: float | None,
    ) -> AsyncIterator[ServerResponse]:
        req = LendRequest(
            sender=self._ctx.settings.name,
            server=server.name,
            started_ms=server.started_ms,
            call=call,
            timeout_s=timeout_s,
        )
        try:
            with translate_send_errors():
                resp = await self._session.post(
                    f"http://{lender.endpoint}{LEND_PATH}",
                    data=encode_request(req),
                    timeout=aiohttp.ClientTimeout(
                        total=timeout_s,
                        sock_connect=_CONNECT_TIMEOUT_S,
                        sock_read=None if call.may_wait else SILENCE_TIMEOUT_S,
                    ),
                )
        except BackendServerError as exc:
            if exc.ran is RunState.NOT_RUN:
                raise LenderRefusedError(
                    LenderRefusal.NO_REPLY, f"{lender.name}: {exc}"
                ) from exc
            raise
        try:
            yield await _BorrowedResponse.open(resp, call)
        finally:
            # The other gateway cancels the attempt when its reply is not read.
            if resp.content.at_eof():
                resp.release()
            else:
                resp.close()


class _BorrowedResponse(ServerResponse):
    """A response that another gateway passes on."""

    __slots__ = ("_frames", "head")

    def __init__(self, *, head: HeadFrame, frames: AsyncIterator[Frame]):
        self.head = head.head
        self._frames = frames

    @classmethod
    async def open(
        cls, resp: aiohttp.ClientResponse, call: ServerCall
    ) -> "_BorrowedResponse":
        """Reads the first frame.

        Raises:
            BackendServerError: The server did not respond, or its response does
                not answer the call.
        """
        if resp.status != 200:
            raise LenderRefusedError(
                LenderRefusal.NO_REPLY, f"status {resp.status}"
            )
        frames = _read_frames(resp)
        first = await anext(frames, None)
        if not isinstance(first, HeadFrame):
            raise connection_lost_error("the other gateway's reply broke off")
        # A gateway of an earlier version passes on whatever it receives.
        if (
            parse_response_id(first.head.headers) != call.request_id
            or not is_final_status(first.head.status)
            or first.head.is_unsigned_success
        ):
            raise mismatch_error()
        return cls(head=first, frames=frames)

    async def read(self) -> bytes:
        """Returns the complete body."""
        body = bytearray()
        async for frame in self._content():
            if isinstance(frame, BodyFrame):
                body += frame.data
            elif isinstance(frame, EventFrame):
                # The other gateway passes on events without end.
                body += frame.event.raw
            check_body_size(len(body), max_bytes=MAX_BODY_BYTES)
        return bytes(body)

    async def events(self) -> AsyncIterator[StreamEvent]:
        """Yields the events of a stream as they arrive."""
        async for frame in self._content():
            if not isinstance(frame, EventFrame):
                raise connection_lost_error("the response is no stream")
            yield frame.event

    async def _content(self) -> AsyncIterator[Frame]:
        """Yields the frames up to the one that marks the end."""
        async for frame in self._frames:
            if isinstance(frame, EndFrame):
                # The end of the reply, so that its connection is kept.
                await anext(self._frames, None)
                return
            yield frame
        raise connection_lost_error("the other gateway's reply broke off")


async def _read_frames(resp: aiohttp.ClientResponse) -> AsyncIterator[Frame]:
    """Yields frames.

    Raises:
        BackendServerError: The reply broke off, or the server failed.
    """
    parser = FrameParser()
    chunks = resp.content.iter_any()
    while True:
        with translate_read_errors():
            data = await anext(chunks, None)
        if data is None:
            return
        try:
            frames = list(parser.feed(data))
        except msgspec.MsgspecError as exc:
            raise connection_lost_error(f"malformed frame: {exc}") from exc
        for frame in frames:
            if isinstance(frame, FailureFrame):
                raise frame.error()
            yield frame
