"""A stand-in for the platform: object API, capacity, usage, VMs, weights."""

import asyncio
import time

import msgspec
from aiohttp import web
from aiohttp.typedefs import Handler

from endivespindle.exceptions import (
    AnswerLostError,
    ConflictError,
    PlatformUnavailableError,
)
from endivespindle.schema.generated.backend import (
    CapacityOrder,
    CapacityState,
    VmEntry,
    VmList,
)
from endivespindle.schema.generated.stored import UsageReport
from endivespindle.standins.faults import PlatformFaults
from endivespindle.standins.memory_store import MemoryObjectStore

__all__ = ["PlatformStandin"]

_DATA_CENTRE_SEPARATOR = "@"


class PlatformStandin:
    """Serves the platform's interfaces over HTTP from memory.

    A caller names its data centre in its credential, `vm@data-centre`, so
    that a data centre can be cut off.

    Attributes:
        faults: How it misbehaves just now.
        store: The object store.
        orders: Every capacity order taken, in order.
        reports: Bytes of every usage report taken, in order.
        vms: The list of VMs.
        weights: Published versions by trainer.
    """

    __slots__ = (
        "_capacity",
        "_fences",
        "_weight_fetch_at",
        "app",
        "faults",
        "orders",
        "reports",
        "store",
        "vms",
        "weight_fetch_interval_s",
        "weights",
    )

    def __init__(self, *, weight_fetch_interval_s: float = 0.02):
        self.faults = PlatformFaults()
        self.store = MemoryObjectStore(faults=self.faults)
        self.orders: list[CapacityOrder] = []
        self.reports: list[tuple[str, int, bytes]] = []
        self.vms: list[VmEntry] = []
        self.weights: dict[str, list[int]] = {}
        self.weight_fetch_interval_s = weight_fetch_interval_s
        self._weight_fetch_at = 0.0
        self._capacity: dict[tuple[str, str], CapacityState] = {}
        self._fences: dict[tuple[str, str], int] = {}
        self.app = web.Application(middlewares=[self._faulty])
        self.app.add_routes(
            [
                web.get("/v1/objects/{kind}/{name:.+}", self._get),
                web.put("/v1/objects/{kind}/{name:.+}", self._put),
                web.delete("/v1/objects/{kind}/{name:.+}", self._delete),
                web.get("/v1/objects/{kind}", self._list),
                web.get("/v1/watch/{kind}", self._watch),
                web.put("/v1/capacity/{data_centre}/{service}", self._order),
                web.get("/v1/capacity/{data_centre}/{service}", self._state),
                web.put("/v1/usage/{account}/{window}", self._report),
                web.get("/v1/vms", self._vms),
                web.get("/v1/weights/{trainer}", self._versions),
                web.post("/v1/weights/{trainer}/{version}", self._publish),
                web.get("/v1/weights/{trainer}/{version}", self._fetch),
            ]
        )

    @web.middleware
    async def _faulty(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        sender = request.headers.get("Authorization", "")
        data_centre = sender.rpartition(_DATA_CENTRE_SEPARATOR)[2]
        if self.faults.down or data_centre in self.faults.cut_off:
            raise web.HTTPServiceUnavailable
        try:
            return await handler(request)
        except ConflictError as exc:
            raise web.HTTPPreconditionFailed(text=str(exc)) from exc
        except PlatformUnavailableError as exc:
            raise web.HTTPServiceUnavailable(text=str(exc)) from exc
        except AnswerLostError as exc:
            raise web.HTTPGatewayTimeout(text=str(exc)) from exc

    async def _get(self, req: web.Request) -> web.Response:
        obj = await self.store.get(
            kind=req.match_info["kind"], name=req.match_info["name"]
        )
        if obj is None:
            raise web.HTTPNotFound
        return web.Response(body=obj.value, headers={"ETag": str(obj.version)})

    async def _put(self, req: web.Request) -> web.Response:
        version = await self.store.put(
            kind=req.match_info["kind"],
            name=req.match_info["name"],
            value=await req.read(),
            expect_version=int(req.headers["If-Match"]),
        )
        return web.Response(headers={"ETag": str(version)})

    async def _delete(self, req: web.Request) -> web.Response:
        await self.store.delete(
            kind=req.match_info["kind"],
            name=req.match_info["name"],
            expect_version=int(req.headers["If-Match"]),
        )
        return web.Response()

    async def _list(self, req: web.Request) -> web.Response:
        found = await self.store.list_objects(
            kind=req.match_info["kind"], prefix=req.query.get("prefix", "")
        )
        return _json(found)

    async def _watch(self, req: web.Request) -> web.Response:
        found = await self.store.watch(
            kind=req.match_info["kind"],
            after=int(req.query["after"]),
            wait_s=float(req.query["wait_s"]),
        )
        return _json(found)

    async def _order(self, req: web.Request) -> web.Response:
        if self.faults.orders_down:
            raise web.HTTPServiceUnavailable
        order = msgspec.json.decode(await req.read(), type=CapacityOrder)
        key = (order.data_centre, order.service)
        fence = self._fences.get(key, 0)
        if order.fencing_number < fence and not self.faults.ignore_fencing:
            raise web.HTTPConflict(text="old fencing number")
        self._fences[key] = max(fence, order.fencing_number)
        self.orders.append(order)
        running = [f"{order.service}-{i}" for i in range(order.count)]
        self._capacity[key] = CapacityState(
            data_centre=order.data_centre,
            service=order.service,
            wanted=order.count,
            number=order.number,
            running=running,
        )
        return _json(self._capacity[key])

    async def _state(self, req: web.Request) -> web.Response:
        key = (req.match_info["data_centre"], req.match_info["service"])
        empty = CapacityState(
            data_centre=key[0], service=key[1], wanted=0, number=0, running=[]
        )
        return _json(self._capacity.get(key, empty))

    async def _report(self, req: web.Request) -> web.Response:
        if self.faults.reports_down:
            raise web.HTTPServiceUnavailable
        body = await req.read()
        msgspec.json.decode(body, type=UsageReport)
        account = req.match_info["account"]
        self.reports.append((account, int(req.match_info["window"]), body))
        return web.Response()

    async def _vms(self, req: web.Request) -> web.Response:
        return _json(VmList(vms=self.vms, version=len(self.vms)))

    async def _versions(self, req: web.Request) -> web.Response:
        return _json(self.weights.get(req.match_info["trainer"], []))

    async def _publish(self, req: web.Request) -> web.Response:
        held = self.weights.setdefault(req.match_info["trainer"], [])
        held.append(int(req.match_info["version"]))
        return web.Response()

    async def _fetch(self, req: web.Request) -> web.Response:
        """Serves weights one after another, at the store's limited rate."""
        now = time.monotonic()
        start = max(now, self._weight_fetch_at)
        self._weight_fetch_at = start + self.weight_fetch_interval_s
        await asyncio.sleep(self._weight_fetch_at - now)
        held = self.weights.get(req.match_info["trainer"], [])
        if int(req.match_info["version"]) not in held:
            raise web.HTTPNotFound
        return web.Response(body=b"weights")


def _json(value: object) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(value), content_type="application/json"
    )
