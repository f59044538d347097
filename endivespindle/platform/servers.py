"""Backend servers over HTTP, as the users' platform speaks it."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

import aiohttp
import msgspec
import yarl

from endivespindle.backends.exchange import (
    connection_lost_error,
    is_framed,
    release_or_close,
    translate_read_errors,
    translate_send_errors,
)
from endivespindle.backends.sessions import ConnectionCount
from endivespindle.core.reasons import Reason
from endivespindle.exceptions import BackendServerError
from endivespindle.platform.event_stream import EventStreamParser
from endivespindle.platform.headers import (
    matches_request,
    parse_response_head,
    request_headers,
)
from endivespindle.schema.generated.caller import RunState
from endivespindle.serving.calls import (
    OrderResponse,
    ResponseHead,
    ServerApi,
    ServerCall,
    ServerReport,
    ServerResponse,
    StreamEvent,
    VersionOrder,
)
from endivespindle.serving.directory import ServerEntry

__all__ = ["PlatformServerApi"]

# A connection that is not open after this long goes to a server that is gone
# or cut off: the round trip within a region is a few milliseconds.
_CONNECT_TIMEOUT_S = 0.6
# A stream that says nothing for this long comes from a server that fell
# silent: the longest pause in sound streams is a weight change, 0.9 s and
# more while several servers load.
_SILENCE_TIMEOUT_S = 4.0
_ACCEPTED = frozenset({200, 202})
_CONFLICT = 409
_SKIPPED = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")


class _Model(msgspec.Struct):
    name: str
    version: int = 1


class _Report(msgspec.Struct):
    # Orders accepted; in a server's entry in the store the same name counts
    # its heartbeats.
    sequence: int
    busy: bool
    models: list[_Model] = []


class PlatformServerApi(ServerApi):
    """Speaks to backend servers.

    Args:
        session: Pools connections; for what may be repeated.
        single_use: Closes each connection after one exchange; for what may
            not, as the library repeats some methods by itself.
    """

    __slots__ = ("_session", "_single_use")

    def __init__(
        self,
        *,
        session: aiohttp.ClientSession,
        single_use: aiohttp.ClientSession,
    ):
        self._session = session
        self._single_use = single_use

    @contextlib.asynccontextmanager
    async def send(
        self, server: ServerEntry, call: ServerCall, *, timeout_s: float | None
    ) -> AsyncIterator[ServerResponse]:
        """Sends a request and returns its answer once the head is in."""
        session = self._session if call.may_repeat else self._single_use
        with translate_send_errors():
            resp = await session.request(
                call.method,
                _url(server, call.target),
                headers=request_headers(call, server),
                data=call.body or None,
                skip_auto_headers=_SKIPPED,
                allow_redirects=False,
                timeout=aiohttp.ClientTimeout(
                    total=timeout_s,
                    sock_connect=_CONNECT_TIMEOUT_S,
                    sock_read=_SILENCE_TIMEOUT_S,
                ),
                trace_request_ctx=ConnectionCount(),
            )
        try:
            if not matches_request(resp.headers, call.request_id):
                raise BackendServerError(
                    "the answer names another request",
                    ran=RunState.UNKNOWN,
                    reason=Reason.ANSWER_MISMATCH,
                )
            yield _HttpAnswer(resp)
        finally:
            release_or_close(resp)

    async def report(
        self, server: ServerEntry, *, timeout_s: float
    ) -> ServerReport:
        """Returns what a server says of itself."""
        call = ServerCall(
            request_id="report",
            method="GET",
            target="/report",
            host=server.address,
            headers=(),
            body=b"",
        )
        async with self.send(server, call, timeout_s=timeout_s) as answer:
            body = await answer.read()
            if answer.head.status != 200:
                raise connection_lost_error(
                    f"report: status {answer.head.status}"
                )
        try:
            doc = msgspec.json.decode(body, type=_Report)
        except msgspec.MsgspecError as exc:
            raise connection_lost_error(f"report: {exc}") from exc
        return ServerReport(
            orders=doc.sequence,
            busy=doc.busy,
            versions={model.name: model.version for model in doc.models},
        )

    async def order_version(
        self, server: ServerEntry, order: VersionOrder, *, timeout_s: float
    ) -> OrderResponse:
        """Sends an order; an accepted one may still be under way."""
        call = ServerCall(
            request_id=f"order-{order.epoch}-{order.model}-{order.version}",
            method="POST",
            target="/order",
            host=server.address,
            headers=(("Content-Type", "application/json"),),
            body=msgspec.json.encode(
                {
                    "operation": "version",
                    "model": order.model,
                    "version": order.version,
                    # Running requests go on under the new version.
                    "mode": "retain",
                    "owner": order.holder,
                    "fencingToken": order.epoch,
                    # Refused unless this many orders were accepted before.
                    "expectRev": order.after,
                }
            ),
            may_repeat=False,
        )
        async with self.send(server, call, timeout_s=timeout_s) as answer:
            await answer.read()
            status = answer.head.status
        if answer.head.not_run:
            raise BackendServerError(
                "another server has this address",
                ran=RunState.NOT_RUN,
                reason=Reason.BACKEND_UNREACHABLE,
            )
        return OrderResponse(
            accepted=status in _ACCEPTED, busy=status == _CONFLICT
        )


class _HttpAnswer(ServerResponse):
    """An answer that is being read from a connection."""

    __slots__ = ("_ended", "_resp", "head")

    def __init__(self, resp: aiohttp.ClientResponse):
        self._resp = resp
        self._ended = _connection_end(resp)
        self.head: ResponseHead = parse_response_head(
            resp.status,
            resp.headers,
            [
                (name.decode("latin-1"), value.decode("latin-1"))
                for name, value in resp.raw_headers
            ],
        )

    async def read(self) -> bytes:
        """Returns the whole body."""
        with translate_read_errors():
            body = await self._resp.read()
        self._check_end()
        return body

    def _check_end(self) -> None:
        """Refuses a body without a length unless its connection ended well.

        The library takes a reset for the end of such a body.
        """
        if is_framed(self._resp):
            return
        if self._ended is None or not self._ended.done():
            raise connection_lost_error("the answer's end is not known")
        if self._ended.exception() is not None:
            raise connection_lost_error(
                "the connection was reset within the answer"
            )

    async def events(self) -> AsyncIterator[StreamEvent]:
        """Yields the events of a stream as they come."""
        cutter = EventStreamParser()
        chunks = self._resp.content.iter_any()
        while True:
            with translate_read_errors():
                data = await anext(chunks, None)
            if data is None:
                break
            for event in cutter.feed(data):
                yield event
        self._check_end()
        if not cutter.is_complete:
            raise connection_lost_error("the stream ended within an event")


def _connection_end(
    resp: aiohttp.ClientResponse,
) -> asyncio.Future[None] | None:
    """Returns what will tell how the answer's connection ended."""
    if is_framed(resp) or resp.connection is None:
        return None
    protocol = resp.connection.protocol
    return protocol.closed if protocol is not None else None


def _url(server: ServerEntry, target: str) -> yarl.URL:
    return yarl.URL(f"http://{server.address}{target}", encoded=True)
