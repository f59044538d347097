"""The users' platform in one process: objects, watches, operations."""

import asyncio
import collections
from typing import Any

import msgspec
from aiohttp import web

__all__ = ["UsersPlatformFaults", "UsersPlatformStandin"]

_HISTORY = 1000
_PAGE = 500
_MS = 1000


class UsersPlatformFaults:
    """How the platform misbehaves just now.

    Attributes:
        down: Refuses every call to the store.
        delay_s: Seconds by which each answer of the store is late.
        lose_answers: Writes that take effect while their answer is lost.
        operations_down: Refuses every call to the operations API.
    """

    __slots__ = ("delay_s", "down", "lose_answers", "operations_down")

    def __init__(self) -> None:
        self.down = False
        self.delay_s = 0.0
        self.lose_answers = 0
        self.operations_down = False


class UsersPlatformStandin:
    """Speaks the users' object API and operations API.

    Attributes:
        faults: How it misbehaves.
        calls: Calls to the store, by method and kind.
        reports: Usage reports taken, in order, with holder and fence.
        orders: Capacity orders taken, in order, with holder and fence.
    """

    def __init__(self) -> None:
        self.faults = UsersPlatformFaults()
        self.calls: collections.Counter[str] = collections.Counter()
        self.reports: list[tuple[str, int, dict[str, Any]]] = []
        self.orders: list[tuple[str, int, dict[str, Any]]] = []
        self._objects: dict[tuple[str, str], dict[str, Any]] = {}
        self._history: collections.deque[tuple[str, int, dict[str, Any]]] = (
            collections.deque(maxlen=_HISTORY)
        )
        self._floor = 0
        self._revision = 1
        self._changed = asyncio.Event()
        self._runner: web.AppRunner | None = None
        self.port = 0

    async def start(self) -> None:
        """Begins to listen on a free port of this machine."""
        app = web.Application(client_max_size=8 * 1_048_576)
        app.router.add_route("*", "/objects/{kind}", self._kind)
        app.router.add_route("*", "/objects/{kind}/{name}", self._object)
        app.router.add_put("/objects/{kind}/{name}/status", self._status)
        app.router.add_post("/usage", self._usage)
        app.router.add_post("/scale", self._scale)
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", 0).start()
        self.port = self._runner.addresses[0][1]

    async def stop(self) -> None:
        """Stops listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    def write(self, kind: str, name: str, spec: Any) -> int:
        """Writes an object as an operator, trainer or server would."""
        return self._apply(kind, name, spec)["metadata"]["revision"]

    def remove(self, kind: str, name: str) -> None:
        """Removes an object as its writer would."""
        self._apply(kind, name, None)

    def read(self, kind: str, name: str) -> dict[str, Any] | None:
        """Returns an object as it is."""
        return self._objects.get((kind, name))

    def drop_history(self) -> None:
        """Forgets all changes, so that watchers must list again."""
        self._history.clear()
        self._floor = self._revision
        self._wake()

    async def _kind(self, request: web.Request) -> web.StreamResponse:
        kind = request.match_info["kind"]
        await self._begin(request, kind)
        if request.method == "POST":
            return await self._create(request, kind)
        if "watch" in request.query:
            return await self._watch(request, kind)
        after = request.query.get("after", "")
        names = sorted(n for k, n in self._objects if k == kind and n > after)
        items = [self._objects[kind, name] for name in names[:_PAGE]]
        return web.json_response(
            {
                "items": items,
                "truncated": len(names) > _PAGE,
                "storeRevision": self._revision,
            }
        )

    async def _object(self, request: web.Request) -> web.StreamResponse:
        kind, name = request.match_info["kind"], request.match_info["name"]
        await self._begin(request, kind)
        held = self._objects.get((kind, name))
        if held is None:
            return web.json_response(None, status=404)
        if request.method == "GET":
            return web.json_response(held)
        if request.method == "DELETE":
            expected = request.query.get("revision")
            if expected and int(expected) != held["metadata"]["revision"]:
                return web.json_response(held, status=409)
            return await self._answer(request, self._apply(kind, name, None))
        doc = msgspec.json.decode(await request.read())
        expected = doc["metadata"].get("revision")
        if expected is not None and expected != held["metadata"]["revision"]:
            return web.json_response(held, status=409)
        return await self._answer(request, self._apply(kind, name, doc["spec"]))

    async def _create(
        self, request: web.Request, kind: str
    ) -> web.StreamResponse:
        doc = msgspec.json.decode(await request.read())
        name = doc["metadata"]["name"]
        held = self._objects.get((kind, name))
        if held is not None:
            return web.json_response(held, status=409)
        return await self._answer(request, self._apply(kind, name, doc["spec"]))

    async def _status(self, request: web.Request) -> web.StreamResponse:
        kind, name = request.match_info["kind"], request.match_info["name"]
        await self._begin(request, kind)
        held = self._objects.get((kind, name))
        if held is None:
            return web.json_response(None, status=404)
        held["status"] = msgspec.json.decode(await request.read())["status"]
        return web.json_response(held)

    async def _watch(
        self, request: web.Request, kind: str
    ) -> web.StreamResponse:
        after = int(request.query["watch"])
        wait_s = int(request.query.get("waitMs", "0")) / _MS
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + wait_s
        while True:
            if after < self._floor:
                return web.json_response(None, status=410)
            events = [
                {"object": obj, "tombstone": obj.get("gone", False)}
                for k, revision, obj in self._history
                if k == kind and revision > after
            ]
            left_s = deadline_s - loop.time()
            if events or left_s <= 0:
                return web.json_response(
                    {"events": events, "storeRevision": self._revision}
                )
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                continue

    async def _usage(self, request: web.Request) -> web.StreamResponse:
        return await self._duty(request, self.reports)

    async def _scale(self, request: web.Request) -> web.StreamResponse:
        return await self._duty(request, self.orders)

    async def _duty(
        self,
        request: web.Request,
        taken: list[tuple[str, int, dict[str, Any]]],
    ) -> web.StreamResponse:
        if self.faults.operations_down:
            return web.Response(status=503)
        holder = request.headers["X-Duty-Holder"]
        fence = int(request.headers["X-Fencing-Token"])
        body = msgspec.json.decode(await request.read())
        taken.append((holder, fence, body))
        return web.json_response(None)

    async def _begin(self, request: web.Request, kind: str) -> None:
        self.calls[f"{request.method} {kind}"] += 1
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        if self.faults.down:
            raise web.HTTPServiceUnavailable

    async def _answer(
        self, request: web.Request, obj: dict[str, Any]
    ) -> web.StreamResponse:
        """Answers a write that took effect, unless the answer is lost."""
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            if request.transport is not None:
                request.transport.abort()
        return web.json_response(obj)

    def _apply(self, kind: str, name: str, spec: Any) -> dict[str, Any]:
        held = self._objects.get((kind, name))
        if held is not None and spec is not None and held["spec"] == spec:
            return held
        self._revision += 1
        obj: dict[str, Any] = {
            "metadata": {"name": name, "revision": self._revision},
            "spec": spec,
            "status": held["status"] if held else None,
        }
        if spec is None:
            self._objects.pop((kind, name), None)
            obj["gone"] = True
        else:
            self._objects[kind, name] = obj
        self._history.append((kind, self._revision, obj))
        self._wake()
        return obj

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()
