"""HTTP server for calls from other nodes."""

from collections.abc import Awaitable, Callable
from typing import TypeVar

import msgspec
from aiohttp import web

from endivespindle.batch.submission import BatchSubmission
from endivespindle.core.decoding import decode_msgpack
from endivespindle.runtime.peer_client import (
    EvidenceUpdate,
    GatewayUpdate,
    GatewayUpdateReply,
    ItemSnapshots,
    JobOwnerUpdate,
    JobRelease,
    JobReply,
    JobRequest,
    PlacementQuestion,
    StreamOrigin,
    WeightLoadUpdate,
)
from endivespindle.runtime.relay import RelayReply, RelayRequest
from endivespindle.runtime.store_proxy import StoreOperation, StoreReply
from endivespindle.runtime.telemetry import NodeMetrics
from endivespindle.serving.evidence_exchange import EvidenceMessage
from endivespindle.serving.placement_report import PlacementReport
from endivespindle.serving.stream_origins import StreamOrigins

__all__ = ["PeerServer"]

# Maximum message size; the largest message is a page of results.
_MAX_MESSAGE_BYTES = 8 * 1_048_576

T = TypeVar("T", bound=msgspec.Struct)


class PeerServer:
    """Serves calls from other nodes and the metrics of this node.

    Args:
        host: IP address to bind.
        port: Port for calls from other nodes.
        metrics: Metrics to expose.
    """

    __slots__ = (
        "_handlers",
        "_host",
        "_metrics",
        "_port",
        "_runner",
        "_stream_handlers",
    )

    def __init__(self, *, host: str, port: int, metrics: NodeMetrics):
        self._host = host
        self._port = port
        self._metrics = metrics
        self._handlers: dict[
            str, Callable[[bytes], Awaitable[bytes | None]]
        ] = {}
        self._stream_handlers: dict[
            str,
            Callable[[web.BaseRequest, bytes], Awaitable[web.StreamResponse]],
        ] = {}
        self._runner: web.ServerRunner | None = None

    def serve_jobs(
        self,
        *,
        answer: Callable[[JobRequest], Awaitable[JobReply]],
        on_owner_update: Callable[[JobOwnerUpdate], None],
        prepare: Callable[[BatchSubmission], None],
        assign: Callable[[BatchSubmission], Awaitable[bool]],
        release: Callable[[JobRelease], ItemSnapshots],
    ) -> None:
        """Registers the handlers of calls about batch jobs.

        Args:
            answer: Returns the reply to a job request.
            on_owner_update: Records the owner of a job.
            prepare: Generates for a job whose creation is unknown.
            assign: Starts a job; returns whether this node runs it.
            release: Releases a job and returns its item snapshots.
        """

        async def handle_request(body: bytes) -> bytes:
            reply = await answer(_decode(body, JobRequest))
            return msgspec.msgpack.encode(reply)

        async def handle_owner_update(body: bytes) -> bytes:
            on_owner_update(_decode(body, JobOwnerUpdate))
            return b""

        async def handle_prepare(body: bytes) -> bytes:
            prepare(_decode(body, BatchSubmission))
            return b""

        async def handle_assign(body: bytes) -> bytes | None:
            is_accepted = await assign(_decode(body, BatchSubmission))
            return b"" if is_accepted else None

        async def handle_release(body: bytes) -> bytes:
            return msgspec.msgpack.encode(release(_decode(body, JobRelease)))

        self._handlers["/jobs/assign"] = handle_assign
        self._handlers["/jobs/prepare"] = handle_prepare
        self._handlers["/jobs/ask"] = handle_request
        self._handlers["/jobs/news"] = handle_owner_update
        self._handlers["/jobs/release"] = handle_release

    def serve_gateway_updates(
        self, on_update: Callable[[GatewayUpdate], GatewayUpdateReply]
    ) -> None:
        """Registers the handler of updates from gateways."""

        async def handle_update(body: bytes) -> bytes:
            reply = on_update(_decode(body, GatewayUpdate))
            return msgspec.msgpack.encode(reply)

        self._handlers["/node/news"] = handle_update

    def serve_evidence_updates(
        self, on_update: Callable[[EvidenceUpdate], EvidenceMessage]
    ) -> None:
        """Registers the handler of evidence from other gateways."""

        async def handle_update(body: bytes) -> bytes:
            return msgspec.msgpack.encode(
                on_update(_decode(body, EvidenceUpdate))
            )

        self._handlers["/node/evidence"] = handle_update

    def serve_stream_origins(self, origins: StreamOrigins) -> None:
        """Registers the handlers that keep and return origins of streams."""

        async def handle_record(body: bytes) -> bytes:
            origin = _decode(body, StreamOrigin)
            if origin.software is not None:
                origins.record(origin.request_id, origin.software)
            return b""

        async def handle_find(body: bytes) -> bytes:
            origin = _decode(body, StreamOrigin)
            origin.software = origins.find(origin.request_id)
            return msgspec.msgpack.encode(origin)

        self._handlers["/streams/origin"] = handle_record
        self._handlers["/streams/find"] = handle_find

    def serve_weight_load_updates(
        self, on_update: Callable[[WeightLoadUpdate], None]
    ) -> None:
        """Registers the handler of weight load updates from controllers."""

        async def handle_update(body: bytes) -> bytes:
            on_update(_decode(body, WeightLoadUpdate))
            return b""

        self._handlers["/loads"] = handle_update

    def serve_relay(
        self, answer: Callable[[RelayRequest], Awaitable[RelayReply | None]]
    ) -> None:
        """Registers the handler of gateways' watches."""

        async def handle_watch(body: bytes) -> bytes:
            return msgspec.msgpack.encode(
                await answer(_decode(body, RelayRequest))
            )

        self._handlers["/relay"] = handle_watch

    def serve_store(
        self, carry_out: Callable[[StoreOperation], Awaitable[StoreReply]]
    ) -> None:
        """Registers the handler of operations on the store for other nodes."""

        async def handle_operation(body: bytes) -> bytes:
            return msgspec.msgpack.encode(
                await carry_out(_decode(body, StoreOperation))
            )

        self._handlers["/store"] = handle_operation

    def serve_placement(
        self, explain: Callable[[str, str], PlacementReport]
    ) -> None:
        """Registers the handler that tells where a request would go.

        Args:
            explain: Returns the report for a host and a path.
        """

        async def handle_question(body: bytes) -> bytes:
            question = _decode(body, PlacementQuestion)
            return msgspec.msgpack.encode(explain(question.host, question.path))

        self._handlers["/placement"] = handle_question

    def serve_stream(
        self,
        path: str,
        handler: Callable[
            [web.BaseRequest, bytes], Awaitable[web.StreamResponse]
        ],
    ) -> None:
        """Registers a handler that writes its response by itself.

        Args:
            path: Path of the calls.
            handler: Receives the request and its body.
        """
        self._stream_handlers[path] = handler

    async def start(self, *, metrics_port: int) -> None:
        """Starts listening."""
        server = web.Server(self._handle, access_log=None)
        self._runner = web.ServerRunner(server)
        await self._runner.setup()
        for port in (self._port, metrics_port):
            site = web.TCPSite(self._runner, self._host, port)
            await site.start()

    async def stop(self) -> None:
        """Stops listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path == "/metrics":
            return web.Response(body=self._metrics.render())
        stream_handler = self._stream_handlers.get(request.path)
        handler = self._handlers.get(request.path)
        body = await _read_body(request)
        try:
            if stream_handler is not None:
                return await stream_handler(request, body)
            if handler is None:
                return web.Response(status=404)
            response = await handler(body)
        except msgspec.MsgspecError as exc:
            self._metrics.count_peer_refusal("malformed")
            return web.Response(status=400, text=str(exc))
        if response is None:
            return web.Response(status=409)
        return web.Response(body=response)


async def _read_body(request: web.BaseRequest) -> bytes:
    """Reads a body; truncates one that is too large, so that decoding fails."""
    parts = []
    size = 0
    async for part in request.content.iter_any():
        parts.append(part)
        size += len(part)
        if size > _MAX_MESSAGE_BYTES:
            break
    return b"".join(parts)


def _decode(body: bytes, cls: type[T]) -> T:
    return decode_msgpack(body, type=cls)
