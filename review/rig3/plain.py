"""A sound server of a plain service, which takes large bodies."""

import asyncio

from aiohttp import web

_MAX_BODY_BYTES = 64 * 1_048_576


class PlainServer:
    """Reads each request whole and answers with the size of its body.

    Args:
        name: Identity of the server.
        service: Service that it belongs to.
        work_s: Seconds for each request.

    Attributes:
        runs: Identity and body size of each request that began to run.
    """

    def __init__(self, *, name, service, work_s=0.02):
        self.name = name
        self.runs = []
        self.port = 0
        self._service = service
        self._work_s = work_s
        self._runner = None

    async def start(self):
        """Begins to listen on a free port."""
        app = web.Application(client_max_size=_MAX_BODY_BYTES)
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
            "slots": 6,
            "state": "ready",
            "coldLeftMs": 0,
            "born": 1,
            "sequence": 0,
        }

    async def _run(self, request):
        """Runs a request, unless it expects another server."""
        request_id = request.headers["X-Request-Id"]
        headers = {"X-Request-Id": request_id}
        if request.headers.get("X-Expect-Instance") != self.name:
            return web.Response(status=421, headers=headers)
        body = await request.read()
        self.runs.append((request_id, len(body)))
        await asyncio.sleep(self._work_s)
        headers["X-Server-Stamp"] = f"{self.name}.{request_id}"
        return web.Response(body=f"{len(body)}".encode(), headers=headers)
