"""HTTP client of backend servers on the users' platform."""

import contextlib
from collections.abc import AsyncIterator

import aiohttp
import msgspec
import yarl

from endivespindle.backends.body_memory import BodyMemory
from endivespindle.backends.body_reader import BodyReader
from endivespindle.backends.connections import close_carrier
from endivespindle.backends.exchange import (
    connection_lost_error,
    is_final_status,
    mismatch_error,
    release_or_close,
    send_request,
)
from endivespindle.core.decoding import decode_json
from endivespindle.core.reasons import Reason
from endivespindle.exceptions import BackendServerError
from endivespindle.platform.event_stream import EventStreamParser
from endivespindle.platform.headers import (
    parse_response_head,
    parse_response_id,
    request_headers,
)
from endivespindle.runtime.telemetry import EventLog
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
from endivespindle.serving.server_entry import ServerEntry

__all__ = ["PlatformServerApi"]

_ACCEPTED_STATUSES = frozenset({200, 202})
_CONFLICT = 409


class _Model(msgspec.Struct):
    name: str
    version: int = 1


class _Report(msgspec.Struct):
    # Number of orders accepted. In a server's store entry, the field of the
    # same name counts heartbeats instead.
    sequence: int
    busy: bool
    models: list[_Model] = []


class PlatformServerApi(ServerApi):
    """HTTP client of backend servers.

    Args:
        session: Pools connections; used for requests that may be repeated.
        single_use: Closes each connection after one exchange; used for
            requests that must not be repeated, as aiohttp retries some
            methods by itself.
        memory: Memory of the bodies being read.
        log: Event log.
    """

    __slots__ = ("_log", "_memory", "_session", "_single_use")

    def __init__(
        self,
        *,
        session: aiohttp.ClientSession,
        single_use: aiohttp.ClientSession,
        memory: BodyMemory,
        log: EventLog,
    ):
        self._log = log
        self._memory = memory
        self._session = session
        self._single_use = single_use

    def send(
        self, server: ServerEntry, call: ServerCall, *, timeout_s: float | None
    ) -> contextlib.AbstractAsyncContextManager[ServerResponse]:
        """Sends a request; returns the response once its head is received."""
        return self._exchange(server, call, timeout_s=timeout_s)

    @contextlib.asynccontextmanager
    async def _exchange(
        self,
        server: ServerEntry,
        call: ServerCall,
        *,
        timeout_s: float | None,
        is_identified: bool = True,
    ) -> AsyncIterator[ServerResponse]:
        """Sends a request and checks that the response is its own.

        Unless `is_identified`, the response may lack the request's id, and the
        signature of a success.

        Raises:
            BackendServerError: No response, or the response to another request.
        """
        session = self._session if call.may_repeat else self._single_use
        url = _url(server, call.target)
        resp = await send_request(
            session,
            call.method,
            url,
            headers=request_headers(call, server),
            body=call.body,
            timeout_s=timeout_s,
            connect_timeout_s=call.connect_timeout_s,
            may_wait=call.may_wait,
        )
        try:
            response_id = parse_response_id(resp.headers.items())
            response = _HttpResponse(resp, memory=self._memory)
            known_ids = (
                (call.request_id,) if is_identified else (call.request_id, None)
            )
            if (
                response_id not in known_ids
                or not is_final_status(resp.status)
                or (is_identified and response.head.is_unsigned_success)
            ):
                self._log.event(
                    "answer_mismatch",
                    request_id=call.request_id,
                    server=server.name,
                    status=resp.status,
                    response_id=response_id,
                    is_signed=bool(response.head.signature),
                )
                close_carrier(session, url, call.request_id)
                raise mismatch_error()
            yield response
        finally:
            release_or_close(resp)

    def _state_exchange(
        self, server: ServerEntry, call: ServerCall, *, timeout_s: float
    ) -> contextlib.AbstractAsyncContextManager[ServerResponse]:
        """Asks for a server's own state, or orders a change of it.

        Servers do not repeat the id here. Such calls use a connection of their
        own, on which no earlier exchange can have left a response.
        """
        return self._exchange(
            server, call, timeout_s=timeout_s, is_identified=False
        )

    async def report(
        self, server: ServerEntry, *, timeout_s: float
    ) -> ServerReport:
        """Returns the state reported by a server."""
        call = ServerCall(
            request_id="report",
            method="GET",
            target="/report",
            host=server.address,
            headers=(),
            body=b"",
            may_repeat=False,
        )
        async with self._state_exchange(
            server, call, timeout_s=timeout_s
        ) as resp:
            body = await resp.read()
            if resp.head.status != 200:
                raise connection_lost_error(
                    f"report: status {resp.head.status}"
                )
        try:
            doc = decode_json(body, type=_Report)
        except msgspec.MsgspecError as exc:
            raise connection_lost_error(f"report: {exc}") from exc
        return ServerReport(
            orders=doc.sequence,
            busy=doc.busy,
            versions={model.name: model.version for model in doc.models},
            leaving=resp.head.leaving,
        )

    async def order_version(
        self, server: ServerEntry, order: VersionOrder, *, timeout_s: float
    ) -> OrderResponse:
        """Sends an order; an accepted one may still be in progress."""
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
                    # Running requests continue with the new version.
                    "mode": "retain",
                    "owner": order.holder,
                    "fencingToken": order.epoch,
                    # The server refuses the order unless it accepted this many
                    # orders before.
                    "expectRev": order.after,
                }
            ),
            may_repeat=False,
        )
        async with self._state_exchange(
            server, call, timeout_s=timeout_s
        ) as resp:
            await resp.read()
            status = resp.head.status
        if resp.head.not_run:
            raise BackendServerError(
                "another server has this address",
                ran=RunState.NOT_RUN,
                reason=Reason.BACKEND_UNREACHABLE,
            )
        return OrderResponse(
            accepted=status in _ACCEPTED_STATUSES,
            busy=status == _CONFLICT,
            leaving=resp.head.leaving,
        )


class _HttpResponse(ServerResponse):
    """A response whose body is being read from a connection."""

    __slots__ = ("_body", "head")

    def __init__(self, resp: aiohttp.ClientResponse, *, memory: BodyMemory):
        self._body = BodyReader(resp, memory=memory)
        self.head: ResponseHead = parse_response_head(
            resp.status,
            resp.headers,
            [
                (name.decode("latin-1"), value.decode("latin-1"))
                for name, value in resp.raw_headers
            ],
        )

    async def read(self) -> bytes:
        """Returns the complete body."""
        return await self._body.read()

    def events(self) -> AsyncIterator[StreamEvent]:
        """Yields the events of a stream as they arrive."""
        return self._body.read_events(EventStreamParser())


def _url(server: ServerEntry, target: str) -> yarl.URL:
    return yarl.URL(f"http://{server.address}{target}", encoded=True)
