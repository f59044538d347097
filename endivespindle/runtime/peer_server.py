"""Listens for calls from other nodes."""

from collections.abc import Awaitable, Callable
from typing import TypeVar

import msgspec
from aiohttp import web

from endivespindle.batch.submission import BatchSubmission
from endivespindle.runtime.peer_client import (
    GatewayUpdate,
    ItemSnapshots,
    JobOwnerUpdate,
    JobRelease,
    JobReply,
    JobRequest,
    WeightLoadUpdate,
)
from endivespindle.runtime.relay import RelayAsk, RelayReply
from endivespindle.runtime.telemetry import NodeMetrics

__all__ = ["PeerServer"]

# Largest message: a page of results.
_MAX_BYTES = 8 * 1_048_576

T = TypeVar("T", bound=msgspec.Struct)


class PeerServer:
    """Serves calls of other nodes and the metrics of this one.

    Args:
        host: IP number to bind.
        port: Port for calls of other nodes.
        metrics: Counters shown.
    """

    __slots__ = ("_host", "_metrics", "_port", "_routes", "_runner")

    def __init__(self, *, host: str, port: int, metrics: NodeMetrics):
        self._host = host
        self._port = port
        self._metrics = metrics
        self._routes: dict[str, Callable[[bytes], Awaitable[bytes | None]]] = {}
        self._runner: web.ServerRunner | None = None

    def serve_jobs(
        self,
        *,
        answer: Callable[[JobRequest], Awaitable[JobReply]],
        news: Callable[[JobOwnerUpdate], None],
        assign: Callable[[BatchSubmission], Awaitable[bool]],
        release: Callable[[JobRelease], ItemSnapshots],
    ) -> None:
        """Takes calls about batch jobs."""

        async def ask(body: bytes) -> bytes:
            reply = await answer(_decode(body, JobRequest))
            return msgspec.msgpack.encode(reply)

        async def tell(body: bytes) -> bytes:
            news(_decode(body, JobOwnerUpdate))
            return b""

        async def take(body: bytes) -> bytes | None:
            taken = await assign(_decode(body, BatchSubmission))
            return b"" if taken else None

        async def give_up(body: bytes) -> bytes:
            return msgspec.msgpack.encode(release(_decode(body, JobRelease)))

        self._routes["/jobs/assign"] = take
        self._routes["/jobs/ask"] = ask
        self._routes["/jobs/news"] = tell
        self._routes["/jobs/release"] = give_up

    def serve_gateway_updates(
        self, take: Callable[[GatewayUpdate], None]
    ) -> None:
        """Takes what gateways tell the controllers."""

        async def tell(body: bytes) -> bytes:
            take(_decode(body, GatewayUpdate))
            return b""

        self._routes["/node/news"] = tell

    def serve_weight_load_updates(
        self, take: Callable[[WeightLoadUpdate], None]
    ) -> None:
        """Takes what a controller tells of loads."""

        async def tell(body: bytes) -> bytes:
            take(_decode(body, WeightLoadUpdate))
            return b""

        self._routes["/loads"] = tell

    def serve_relay(
        self, answer: Callable[[RelayAsk], Awaitable[RelayReply | None]]
    ) -> None:
        """Takes watches of gateways."""

        async def ask(body: bytes) -> bytes:
            return msgspec.msgpack.encode(await answer(_decode(body, RelayAsk)))

        self._routes["/relay"] = ask

    async def start(self, *, metrics_port: int) -> None:
        """Begins to listen."""
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

    async def _handle(self, request: web.BaseRequest) -> web.Response:
        if request.path == "/metrics":
            return web.Response(body=self._metrics.render())
        route = self._routes.get(request.path)
        if route is None:
            return web.Response(status=404)
        body = await _read(request)
        try:
            answer = await route(body)
        except msgspec.MsgspecError as exc:
            self._metrics.peer_refused("malformed")
            return web.Response(status=400, text=str(exc))
        if answer is None:
            return web.Response(status=409)
        return web.Response(body=answer)


async def _read(request: web.BaseRequest) -> bytes:
    """Reads a body; one that is too large is cut, and so malformed."""
    parts = []
    size = 0
    async for part in request.content.iter_any():
        parts.append(part)
        size += len(part)
        if size > _MAX_BYTES:
            break
    return b"".join(parts)


def _decode(body: bytes, cls: type[T]) -> T:
    return msgspec.msgpack.decode(body, type=cls)
