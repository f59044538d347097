"""A sound server of a model that preempts its runs in mid-stream."""

import asyncio
import time

from aiohttp import web


class PreemptingServer:
    """Streams some events, reads the prompt in again, and streams the rest.

    Args:
        name: Identity of the server.
        service: Service that it belongs to.
        events: Events of each text, half of them before the pause.
        pause_s: Seconds of the pause.

    Attributes:
        runs: What became of each run, by identity: `running`, `complete`, or
            `left` if the caller closed the connection before; and the time.
    """

    def __init__(self, *, name, service, events, pause_s):
        self.name = name
        self.runs = {}
        self.port = 0
        self._service = service
        self._events = events
        self._pause_s = pause_s
        self._runner = None

    async def start(self):
        """Begins to listen on a free port."""
        app = web.Application()
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
            "slots": 12,
            "state": "ready",
            "coldLeftMs": 0,
            "born": 1,
            "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "sequence": 0,
        }

    async def _run(self, request):
        """Runs a request, unless it expects another server."""
        request_id = request.headers["X-Request-Id"]
        headers = {"X-Request-Id": request_id}
        if request.headers.get("X-Expect-Instance") != self.name:
            return web.Response(status=421, headers=headers)
        await request.read()
        self._note(request_id, "running")
        try:
            resp = await self._stream(request, headers)
        except (asyncio.CancelledError, ConnectionError):
            self._note(request_id, "left")
            raise
        self._note(request_id, "complete")
        return resp

    def _note(self, request_id, state):
        self.runs[request_id] = (state, time.monotonic())

    async def _stream(self, request, headers):
        """Streams the text."""
        request_id = headers["X-Request-Id"]
        resp = web.StreamResponse(
            headers=headers
            | {
                "Content-Type": "text/event-stream",
                "X-Server-Stamp": f"{self.name}.{request_id}",
                "X-Weight-Versions": "1",
            }
        )
        await resp.prepare(request)
        for number in range(1, self._events + 1):
            await asyncio.sleep(0.05)
            if number == self._events // 2 + 1:
                await asyncio.sleep(self._pause_s)
            await resp.write(f"id: {number}\ndata: t{number}\n\n".encode())
        await resp.write_eof()
        return resp
