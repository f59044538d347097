"""A sound server of a model, which streams texts of a given length."""

import asyncio

import msgspec
from aiohttp import web

_CHUNKS = 5
_CHUNK_PAUSE_S = 0.02


class EngineServer:
    """Generates the text of each request that it gets.

    Args:
        name: Identity of the server.
        service: Service that it belongs to.
        model: Model that it runs, at version 1.
        slots: Requests that run at once; further ones are turned away.
        events: Events of each text.
        event_bytes: Bytes of data in each event.

    Attributes:
        runs: Identity and last event of each request that began to run.
    """

    def __init__(self, *, name, service, model, slots, events, event_bytes):
        self.name = name
        self.runs = []
        self.port = 0
        self._service = service
        self._model = model
        self._slots = slots
        self._events = events
        self._data = "x" * event_bytes
        self._running = 0
        self._orders = 0
        self._runner = None

    async def start(self):
        """Begins to listen on a free port."""
        app = web.Application()
        app.router.add_get("/report", self._report)
        app.router.add_post("/order", self._order)
        app.router.add_route("*", "/{path:.*}", self._run)
        self._runner = web.AppRunner(
            app,
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=0.1,
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", 0).start()
        self.port = self._runner.addresses[0][1]

    async def stop(self):
        """Stops listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    def entry(self):
        """Returns what the server writes into the store of itself."""
        return {
            "service": self._service,
            "address": f"127.0.0.1:{self.port}",
            "zone": "z1",
            "version": "v1",
            "slots": self._slots,
            "state": "ready",
            "coldLeftMs": 0,
            "born": 1,
            "stage": "both",
            "models": self._models(),
            "sequence": 0,
        }

    def _models(self):
        return [{"name": self._model, "version": 1, "adapters": []}]

    async def _report(self, request):
        """Tells the state of the server."""
        del request
        return web.json_response(
            {
                "stage": "both",
                "models": self._models(),
                "busy": False,
                "sequence": self._orders,
                "queueDepth": 0,
                "inFlight": self._running,
            }
        )

    async def _order(self, request):
        """Takes an order that already holds."""
        msgspec.json.decode(await request.read())
        return web.json_response({})

    async def _run(self, request):
        """Runs a request, unless it expects another server or all is full."""
        headers = {"X-Request-Id": request.headers["X-Request-Id"]}
        if request.headers.get("X-Expect-Instance") != self.name:
            return web.Response(status=421, headers=headers)
        headers["X-Server-Load"] = f"{self._running},0,{self._slots}"
        if self._running >= self._slots:
            return web.Response(
                status=503, headers=headers | {"X-Not-Executed": "1"}
            )
        self._running += 1
        try:
            return await self._stream(request, headers)
        finally:
            self._running -= 1

    async def _stream(self, request, headers):
        """Streams the events after the last one that the caller has."""
        last = int(request.headers.get("Last-Event-Id", "0"))
        await request.read()
        request_id = request.headers["X-Request-Id"]
        self.runs.append((request_id, last))
        resp = web.StreamResponse(
            headers=headers
            | {
                "Content-Type": "text/event-stream",
                "X-Server-Stamp": f"{self.name}.{request_id}",
                "X-Weight-Versions": "1",
            }
        )
        await resp.prepare(request)
        size = -(-self._events // _CHUNKS)
        for first in range(last + 1, self._events + 1, size):
            await asyncio.sleep(_CHUNK_PAUSE_S)
            numbers = range(first, min(first + size, self._events + 1))
            await resp.write(
                "".join(
                    f"id: {number}\ndata: {number} {self._data}\n\n"
                    for number in numbers
                ).encode()
            )
        await resp.write_eof()
        return resp
