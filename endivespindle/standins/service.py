"""A stand-in for a plain service whose calls may not be repeatable."""

import asyncio

from aiohttp import web

__all__ = ["ServiceStandin"]


class ServiceStandin:
    """Echoes a call and counts how often each request ran.

    Attributes:
        name: Name of the backend server.
        runs: Number of runs by request id, for an observer.
        seen_headers: Headers of every call, for an observer.
        delay_s: Seconds that a call takes.
        down: Drops every connection unanswered.
        cut_after_run: Number of coming calls that run and are then cut.
    """

    __slots__ = (
        "app",
        "cut_after_run",
        "delay_s",
        "down",
        "name",
        "runs",
        "seen_headers",
    )

    def __init__(self, *, name: str, delay_s: float = 0.005):
        self.name = name
        self.runs: dict[str, int] = {}
        self.seen_headers: list[dict[str, str]] = []
        self.delay_s = delay_s
        self.down = False
        self.cut_after_run = 0
        self.app = web.Application()
        self.app.add_routes([web.route("*", "/{path:.*}", self._call)])

    async def _call(self, req: web.Request) -> web.Response:
        if self.down:
            return self._abort(req)
        self.seen_headers.append(dict(req.headers))
        body = await req.read()
        request_id = req.headers.get("X-Request-Id", "")
        self.runs[request_id] = self.runs.get(request_id, 0) + 1
        await asyncio.sleep(self.delay_s)
        if self.cut_after_run > 0:
            self.cut_after_run -= 1
            return self._abort(req)
        return web.Response(
            body=body,
            headers={
                "X-Request-Id": request_id,
                "X-Served-By": self.name,
                "Content-Type": "application/octet-stream",
            },
        )

    @staticmethod
    def _abort(req: web.Request) -> web.Response:
        if req.transport is not None:
            req.transport.abort()
        return web.Response()
