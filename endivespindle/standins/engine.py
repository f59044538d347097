"""A stand-in for a model engine that batches continuously."""

import asyncio
import collections
import dataclasses
import hashlib
import heapq
from collections.abc import AsyncIterator

import aiohttp
import msgspec
from aiohttp import web

from endivespindle.schema.generated.backend import (
    CacheEvent,
    CacheEvents,
    EngineOrder,
    EngineOrderAnswer,
    GenerateChunk,
    GenerateRequest,
    LoadReport,
    OrderAction,
)
from endivespindle.standins.faults import EngineFaults

__all__ = ["EngineStandin"]

_CHUNK_TOKENS = 8
_CACHE_BLOCKS = 256
_EVENT_HISTORY = 1024


@dataclasses.dataclass(slots=True, kw_only=True)
class _Job:
    """A request in the engine's batch or queue."""

    req: GenerateRequest
    target: int
    produced: int
    cached_blocks: int
    chunks: asyncio.Queue[GenerateChunk]
    cancelled: bool = False


class EngineStandin:
    """Generates made-up tokens, each chunk named with its weight version.

    Attributes:
        name: Name of the backend server.
        faults: How it misbehaves just now.
        versions: Weight version held for each trainer.
        seen_headers: Headers of every call, for an observer.
        produced: Versions that truly produced each request's tokens.
    """

    __slots__ = (
        "_cache",
        "_events",
        "_fence",
        "_jobs",
        "_load_history",
        "_order_count",
        "_running",
        "_sequence",
        "_slots",
        "_task",
        "_tick_s",
        "_waiting",
        "_weights_url",
        "app",
        "faults",
        "name",
        "produced",
        "seen_headers",
        "versions",
    )

    def __init__(
        self,
        *,
        name: str,
        slots: int = 8,
        tick_s: float = 0.01,
        weights_url: str = "",
    ):
        self.name = name
        self.faults = EngineFaults()
        self.versions: dict[str, int] = {}
        self.seen_headers: list[dict[str, str]] = []
        self.produced: dict[str, list[int]] = {}
        self._slots = slots
        self._tick_s = tick_s
        self._weights_url = weights_url
        self._fence = 0
        self._waiting: list[tuple[int, int, _Job]] = []
        self._running: list[_Job] = []
        self._order_count = 0
        self._cache: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._events: collections.deque[CacheEvent] = collections.deque(
            maxlen=_EVENT_HISTORY
        )
        self._sequence = 0
        self._load_history: collections.deque[tuple[float, int, int]] = (
            collections.deque(maxlen=_EVENT_HISTORY)
        )
        self._task: asyncio.Task[None] | None = None
        self.app = web.Application()
        self.app.add_routes(
            [
                web.post("/v1/generate", self._generate),
                web.get("/v1/load", self._load),
                web.get("/v1/cache-events", self._cache_events),
                web.post("/v1/orders", self._order),
            ]
        )
        self.app.cleanup_ctx.append(self._batching)

    async def _batching(self, app: web.Application) -> AsyncIterator[None]:
        del app
        self._task = asyncio.create_task(self._run_batches())
        yield
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    async def _run_batches(self) -> None:
        """Lets every running request produce one chunk in each tick."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(self._tick_s / max(self.faults.speed, 1e-3))
            self._admit()
            for job in list(self._running):
                self._step(job)
            self._load_history.append(
                (loop.time(), len(self._running), len(self._waiting))
            )

    def _admit(self) -> None:
        while self._waiting and len(self._running) < self._slots:
            job = heapq.heappop(self._waiting)[2]
            if not job.cancelled:
                job.cached_blocks = self._touch(job.req.prefix_hashes)
                self._running.append(job)

    def _step(self, job: _Job) -> None:
        if job.cancelled or self.faults.down:
            self._running.remove(job)
            return
        count = min(_CHUNK_TOKENS, job.target - job.produced)
        first = job.produced
        job.produced += count
        done = job.produced >= job.target
        version = self.versions.get(job.req.trainer, 0)
        made = self.produced.setdefault(job.req.request_id, [])
        made.extend([version] * count)
        prompt_tokens = len(job.req.prompt.split())
        blocks = max(1, len(job.req.prefix_hashes))
        job.chunks.put_nowait(
            GenerateChunk(
                request_id=job.req.request_id,
                offset=first,
                text="".join(f" w{first + i}" for i in range(count)),
                tokens=count,
                version=None if self.faults.omit_versions else version,
                done=done,
                prompt_tokens=prompt_tokens if done else 0,
                cached_tokens=(
                    prompt_tokens * job.cached_blocks // blocks if done else 0
                ),
            )
        )
        if done:
            self._running.remove(job)

    def _touch(self, hashes: list[str]) -> int:
        """Looks the prompt's blocks up, stores them, drops the oldest."""
        hits = 0
        for block in hashes:
            if block not in self._cache:
                break
            hits += 1
        for block in hashes:
            if block not in self._cache:
                self._emit(stored=True, block=block)
            self._cache[block] = None
            self._cache.move_to_end(block)
        while len(self._cache) > _CACHE_BLOCKS:
            dropped, _ = self._cache.popitem(last=False)
            self._emit(stored=False, block=dropped)
        return hits

    def _emit(self, *, stored: bool, block: str) -> None:
        self._sequence += 1
        every = self.faults.drop_cache_events
        if every and self._sequence % every == 0:
            return
        self._events.append(
            CacheEvent(
                sequence=self._sequence, stored=stored, prefix_hash=block
            )
        )

    async def _generate(self, http_req: web.Request) -> web.StreamResponse:
        self.seen_headers.append(dict(http_req.headers))
        if self.faults.down:
            return _abort(http_req)
        req = msgspec.json.decode(await http_req.read(), type=GenerateRequest)
        job = _Job(
            req=req,
            target=_length(req),
            produced=req.resume_tokens,
            cached_blocks=0,
            chunks=asyncio.Queue(),
        )
        self._order_count += 1
        heapq.heappush(self._waiting, (-req.priority, self._order_count, job))
        resp = web.StreamResponse(
            headers={"Content-Type": "application/x-ndjson"}
        )
        await resp.prepare(http_req)
        try:
            await self._stream(http_req, resp, job)
        except ConnectionResetError:
            return resp
        finally:
            job.cancelled = True
        return resp

    async def _stream(
        self, http_req: web.Request, resp: web.StreamResponse, job: _Job
    ) -> None:
        done = False
        while not done:
            try:
                chunk = await asyncio.wait_for(job.chunks.get(), 0.5)
            except TimeoutError:
                if self.faults.down:
                    _abort(http_req)
                    return
                continue
            if self.faults.cut_streams and chunk.offset:
                self.faults.cut_streams -= 1
                _abort(http_req)
                return
            if self.faults.crossed_answers:
                self.faults.crossed_answers -= 1
                chunk.request_id = "another"
            done = chunk.done
            await resp.write(msgspec.json.encode(chunk) + b"\n")
        await resp.write_eof()

    async def _load(self, http_req: web.Request) -> web.Response:
        if self.faults.down:
            return _abort(http_req)
        now = asyncio.get_running_loop().time()
        at, running, waiting = now, 0, 0
        for entry in self._load_history:
            if now - entry[0] >= self.faults.load_lag_s:
                at, running, waiting = entry
        return _json(
            LoadReport(
                backend_server=self.name,
                running=running,
                waiting=waiting,
                versions=dict(self.versions),
                sequence=len(self._load_history),
                age_s=now - at,
                leaving=self.faults.leaving,
            )
        )

    async def _cache_events(self, http_req: web.Request) -> web.Response:
        if self.faults.down:
            return _abort(http_req)
        after = int(http_req.query["after"])
        events = [ev for ev in self._events if ev.sequence > after]
        last = events[-1].sequence if events else after
        return _json(CacheEvents(events=events, next_sequence=last))

    async def _order(self, http_req: web.Request) -> web.Response:
        if self.faults.down:
            return _abort(http_req)
        self.seen_headers.append(dict(http_req.headers))
        order = msgspec.json.decode(await http_req.read(), type=EngineOrder)
        old = order.fencing_number < self._fence
        if old and not self.faults.ignore_fencing:
            return _json(
                EngineOrderAnswer(
                    accepted=False,
                    reason="old_fencing_number",
                    highest_fencing_number=self._fence,
                )
            )
        self._fence = max(self._fence, order.fencing_number)
        accepted = True
        if order.action is OrderAction.LOAD_VERSION:
            accepted = await self._swap(order)
        return _json(
            EngineOrderAnswer(
                accepted=accepted,
                reason="" if accepted else "weights_not_found",
                highest_fencing_number=self._fence,
            )
        )

    async def _swap(self, order: EngineOrder) -> bool:
        if self._weights_url:
            url = f"{self._weights_url}/v1/weights/{order.trainer}"
            async with (
                aiohttp.ClientSession() as session,
                session.get(f"{url}/{order.version}") as resp,
            ):
                if resp.status != 200:
                    return False
        if self.faults.failed_swaps > 0:
            self.faults.failed_swaps -= 1
            return True
        self.versions[order.trainer] = order.version
        return True


def _length(req: GenerateRequest) -> int:
    """Returns how many tokens the answer has, fixed by prompt and id."""
    digest = hashlib.sha256(req.request_id.split("/")[0].encode()).digest()
    fraction = 0.25 + 0.75 * (digest[0] / 255) ** 2
    return max(1, int(req.max_tokens * fraction))


def _abort(http_req: web.Request) -> web.Response:
    """Drops the connection in the middle of the exchange."""
    if http_req.transport is not None:
        http_req.transport.abort()
    return web.Response()


def _json(value: object) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(value), content_type="application/json"
    )
