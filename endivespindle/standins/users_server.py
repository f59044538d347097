"""A backend server of the users: plain requests, texts, and weight orders."""

import asyncio
from collections.abc import Callable
from typing import Any

import msgspec
from aiohttp import web

__all__ = ["CRASHING_BODY", "UsersServerFaults", "UsersServerStandin"]

# A request whose body begins with this crashes the server that runs it.
CRASHING_BODY = b"crash"
_EVENT_S = 0.01
_MAX_BODY_BYTES = 64 * 1_048_576
# Bytes of a body that are sent back.
_MAX_ECHO_BYTES = 1_048_576
# Time until a crashed server has started again.
_RESTART_S = 1.5


class UsersServerFaults:
    """How a backend server misbehaves just now.

    Attributes:
        full: Turns every request away as not run.
        break_after: Events after which each stream is reset; 0 for none.
        failures: Coming requests that are answered 500.
        lose_answers: Coming requests that run while their answer is lost.
        other_id: Coming answers that name another request.
        event_s: Seconds for each event.
        work_s: Seconds for each plain request.
        leaving: Announces its shutdown in every answer.
        limit_per_s: Request rate that it names in every answer; None for none.
    """

    __slots__ = (
        "break_after",
        "event_s",
        "failures",
        "full",
        "leaving",
        "limit_per_s",
        "lose_answers",
        "other_id",
        "work_s",
    )

    def __init__(self) -> None:
        self.full = False
        self.break_after = 0
        self.failures = 0
        self.lose_answers = 0
        self.other_id = 0
        self.event_s = _EVENT_S
        self.work_s = 0.0
        self.leaving = False
        self.limit_per_s: float | None = None


class UsersServerStandin:
    """Runs requests of one service.

    Args:
        name: Identity of this incarnation.
        service: Service it belongs to.
        models: Weight version by model; none for a plain service.
        events: Events of each text.

    Attributes:
        faults: How it misbehaves.
        software: Version of its software.
        crashes: Requests that crashed it.
        on_restart: Called when it has started again after a crash.
        runs: Requests it ran: identity, client account, last event.
        orders: Weight orders it took, with their fences.
    """

    def __init__(
        self,
        *,
        name: str,
        service: str,
        models: dict[str, int] | None = None,
        events: int = 5,
    ):
        self.name = name
        self.service = service
        self.models = dict(models or {})
        self.events = events
        self.software = "v1"
        self.crashes: list[str] = []
        self.on_restart: Callable[[], None] = lambda: None
        self._born = 1
        self._restart: asyncio.Task[None] | None = None
        self.faults = UsersServerFaults()
        self.runs: list[tuple[str, str, int]] = []
        self.orders: list[tuple[str, int, str, int]] = []
        self._runner: web.AppRunner | None = None
        self.port = 0

    async def start(self) -> None:
        """Begins to listen, on the same port after a crash."""
        app = web.Application(client_max_size=_MAX_BODY_BYTES)
        app.on_response_prepare.append(self._announce)
        app.router.add_post("/order", self._order)
        app.router.add_get("/report", self._report)
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
        if self._restart is not None:
            self._restart.cancel()
        if self._runner is not None:
            await self._runner.cleanup()

    async def _crash(self) -> None:
        """Breaks all connections off, and starts as a new incarnation."""
        runner = self._runner
        if runner is None or runner.server is None:
            return
        for conn in runner.server.connections:
            if conn.transport is not None:
                conn.transport.abort()
        await runner.cleanup()
        await asyncio.sleep(_RESTART_S)
        self._born += 1
        await self.start()
        self.on_restart()

    def entry(self, *, state: str = "ready") -> dict[str, Any]:
        """Returns what it writes into the store of itself."""
        return {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": "a",
            "version": self.software,
            "slots": 8,
            "state": state,
            "coldLeftMs": 0,
            "born": self._born,
            "models": [
                {"name": name, "version": version, "adapters": []}
                for name, version in self.models.items()
            ],
            "sequence": 0,
        }

    async def _announce(
        self, request: web.Request, resp: web.StreamResponse
    ) -> None:
        del request
        if self.faults.leaving:
            resp.headers["Server-Leaving"] = "1"
        if self.faults.limit_per_s is not None:
            resp.headers["Server-Limit"] = str(self.faults.limit_per_s)

    async def _run(self, request: web.Request) -> web.StreamResponse:
        request_id = request.headers["X-Request-Id"]
        headers = {"X-Request-Id": request_id}
        if request.headers.get("X-Expect-Instance") != self.name:
            return web.Response(status=421, headers=headers)
        if self.faults.full:
            return web.Response(
                status=503, headers={**headers, "X-Not-Executed": "1"}
            )
        last = int(request.headers.get("Last-Event-Id", "0"))
        account = request.headers.get("X-Tenant", "")
        body = await request.read()
        self.runs.append((request_id, account, last))
        if body.startswith(CRASHING_BODY):
            self.crashes.append(request_id)
            if self._restart is None or self._restart.done():
                self._restart = asyncio.create_task(self._crash())
            return _reset(request)
        headers["X-Server-Stamp"] = f"{self.name}.{request_id}"
        headers["X-Server-Load"] = "1,0,8"
        if self.faults.failures > 0:
            self.faults.failures -= 1
            return web.Response(status=500, headers=headers)
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            return _reset(request)
        if self.faults.other_id > 0:
            self.faults.other_id -= 1
            headers["X-Request-Id"] = "another"
        model = request.headers.get("X-Model")
        if model is None:
            await asyncio.sleep(self.faults.work_s)
            echo = body[:_MAX_ECHO_BYTES]
            return web.Response(body=b"echo:" + echo, headers=headers)
        return await self._stream(request, headers, model, last)

    async def _stream(
        self,
        request: web.Request,
        headers: dict[str, str],
        model: str,
        last: int,
    ) -> web.StreamResponse:
        version = self.models[model]
        resp = web.StreamResponse(
            headers={
                **headers,
                "Content-Type": "text/event-stream",
                "X-Weight-Versions": str(version),
            }
        )
        await resp.prepare(request)
        for number in range(last + 1, self.events + 1):
            await asyncio.sleep(self.faults.event_s)
            if self.faults.break_after and number > (
                last + self.faults.break_after
            ):
                return _reset(request)
            changed = b""
            if self.models[model] != version:
                version = self.models[model]
                changed = b"x-weight-versions: %d\n" % version
            await resp.write(
                changed + b"id: %d\ndata: t%d\n\n" % (number, number)
            )
        await resp.write_eof()
        return resp

    async def _report(self, request: web.Request) -> web.StreamResponse:
        del request
        models = [
            {"name": name, "version": version, "adapters": []}
            for name, version in self.models.items()
        ]
        return web.json_response(
            {
                "stage": "both",
                "models": models,
                "busy": False,
                "sequence": len(self.orders),
            }
        )

    async def _order(self, request: web.Request) -> web.StreamResponse:
        if request.headers.get("X-Expect-Instance") != self.name:
            return web.Response(status=421)
        doc = msgspec.json.decode(await request.read())
        if doc.get("expectRev", len(self.orders)) != len(self.orders):
            return web.Response(status=409)
        self.orders.append(
            (doc["owner"], doc["fencingToken"], doc["model"], doc["version"])
        )
        self.models[doc["model"]] = doc["version"]
        return web.Response(status=202)


def _reset(request: web.Request) -> web.StreamResponse:
    """Breaks the connection off."""
    if request.transport is not None:
        request.transport.abort()
    raise asyncio.CancelledError
