"""Stand-ins of samplers and of plain services, as the pages describe them."""

import asyncio
import time
from typing import Any

from aiohttp import web

__all__ = ["Sampler"]

_BORN_MS = 1_790_000_000_000


class Sampler:
    """Runs requests of one service; each run is recorded with its time.

    Args:
        name: Its id.
        service: Service it belongs to.
        models: Weight version by model; none for a plain service.
        slots: Requests that run at once.
        events: Events of each text.
        event_s: Seconds for each event.
        event_bytes: Bytes of data of each event.
        work_s: Seconds for each plain request.
        zone: Its zone.
        failing: Ids whose first run anywhere is answered 500; shared by the
            samplers of a service.

    Attributes:
        arrivals: Time and id of each request that reached it.
        runs: Time, id and service of each request that it began to run.
        is_full: Whether it turns new requests away.
        in_flight: Requests that run now.
    """

    def __init__(
        self,
        *,
        name: str,
        service: str,
        models: dict[str, int] | None = None,
        slots: int = 8,
        events: int = 10,
        event_s: float = 0.05,
        event_bytes: int = 320,
        work_s: float = 0.02,
        zone: str = "a",
        failing: set[str] | None = None,
    ):
        self.name = name
        self.service = service
        self.models = dict(models or {})
        self.slots = slots
        self.events = events
        self.event_s = event_s
        self.event_bytes = event_bytes
        self.work_s = work_s
        self.zone = zone
        self.failing = failing if failing is not None else set()
        self.arrivals: list[tuple[float, str]] = []
        self.runs: list[tuple[float, str, str]] = []
        self.in_flight = 0
        self.state = "ready"
        self.port = 0
        self._free = asyncio.Semaphore(slots)
        self._idle = asyncio.Event()
        self._idle.set()
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Begins to listen on a free port of this machine."""
        app = web.Application(client_max_size=64 * 1_048_576)
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
        await web.TCPSite(self._runner, "127.0.0.1", self.port).start()
        self.port = self._runner.addresses[0][1]

    async def stop(self) -> None:
        """Stops listening for good."""
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None

    async def wait_until_idle(self) -> None:
        """Waits until no request runs."""
        await self._idle.wait()

    def entry(self) -> dict[str, Any]:
        """Returns what it writes of itself into the store."""
        return {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "coldLeftMs": 0,
            "born": _BORN_MS,
            "models": [
                {"name": name, "version": version, "adapters": []}
                for name, version in self.models.items()
            ],
            "sequence": 1,
        }

    async def _report(self, request: web.Request) -> web.Response:
        del request
        return web.json_response(
            {
                "stage": "both",
                "models": self.entry()["models"],
                "busy": False,
                "sequence": 0,
                "queueDepth": 0,
                "inFlight": self.in_flight,
                "kvUsed": 0,
                "kvTotal": 1_000_000,
                "handles": 0,
            }
        )

    async def _order(self, request: web.Request) -> web.Response:
        del request
        return web.Response(status=200)

    async def _run(self, request: web.Request) -> web.StreamResponse:
        request_id = request.headers.get("X-Request-Id", "")
        headers = {
            "X-Request-Id": request_id,
            "X-Server-Load": f"{self.in_flight},0,{self.slots}",
        }
        if request.headers.get("X-Expect-Instance") != self.name:
            return web.Response(status=421, headers=headers)
        self.arrivals.append((time.monotonic(), request_id))
        body = await request.read()
        async with self._free:
            self.in_flight += 1
            self._idle.clear()
            try:
                self.runs.append((time.monotonic(), request_id, self.service))
                headers["X-Server-Stamp"] = f"{self.name}.{request_id}"
                if request_id in self.failing:
                    self.failing.discard(request_id)
                    return web.Response(status=500, headers=headers)
                if "X-Model" in request.headers:
                    return await self._stream(request, headers)
                await asyncio.sleep(self.work_s)
                return web.Response(body=b"ok:" + body[:32], headers=headers)
            finally:
                self.in_flight -= 1
                if not self.in_flight:
                    self._idle.set()

    async def _stream(
        self, request: web.Request, headers: dict[str, str]
    ) -> web.StreamResponse:
        version = self.models[request.headers["X-Model"]]
        resp = web.StreamResponse(
            headers={
                **headers,
                "Content-Type": "text/event-stream",
                "X-Weight-Versions": str(version),
            }
        )
        await resp.prepare(request)
        first = int(request.headers.get("Last-Event-Id", "0")) + 1
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.event_s)
            data = f"{number}.".ljust(self.event_bytes, "x")
            await resp.write(f"id: {number}\ndata: {data}\n\n".encode())
        await resp.write_eof()
        return resp
