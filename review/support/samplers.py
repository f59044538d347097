"""Samplers that speak plain HTTP/1.1 over sockets, so that bytes can be sent.

They follow the pages: one request at a time on a connection, the request's id
in every answer, `X-Expect-Instance`, and orders with `expectRev`.
"""

import asyncio
import contextlib
import json
import time
from collections.abc import Callable
from typing import Any

from review.support.record import Record

__all__ = ["Engine", "PlainServer", "Request", "Sampler", "encode_answer"]

_SPENT = 0.02


class Request:
    """One request as a sampler read it.

    Attributes:
        method: Method.
        target: Path and query.
        headers: Headers by their names in lower case.
        body: Body.
        arrived_s: Monotonic time at which it was read.
    """

    def __init__(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.arrived_s = time.monotonic()

    @property
    def request_id(self) -> str:
        """The caller's id of the request."""
        return self.headers.get("x-request-id", "")


def encode_answer(
    status: int, headers: dict[str, str], body: bytes = b""
) -> bytes:
    """Returns the bytes of an answer with a length."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Sampler:
    """Base of the samplers.

    Args:
        name: Its id.
        service: Service that it belongs to.
        record: Record of the case.
        zone: Its zone.
        slots: Requests that it runs at once.

    Attributes:
        models: Weight version by model.
        orders: Orders that it accepted.
        port: Port at which it listens.
    """

    def __init__(
        self,
        *,
        name: str,
        service: str,
        record: Record,
        zone: str = "a",
        slots: int = 8,
    ):
        self.name = name
        self.service = service
        self.record = record
        self.zone = zone
        self.slots = slots
        self.models: dict[str, int] = {}
        self.orders: list[dict[str, Any]] = []
        self.port = 0
        self.born = int(time.time() * 1000)
        self.on_models: Callable[[], None] = lambda: None
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listens at a free port."""
        self._server = await asyncio.start_server(
            self._connected, "127.0.0.1", self.port
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stops listening and ends all connections."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()

    def entry(self) -> dict[str, Any]:
        """Returns what it writes of itself into the store."""
        return {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "coldLeftMs": 0,
            "sequence": 0,
            "born": self.born,
            "models": [
                {"name": name, "version": version, "adapters": []}
                for name, version in self.models.items()
            ],
        }

    async def run(self, request: Request, writer: asyncio.StreamWriter) -> None:
        """Runs a request and writes its answer."""
        raise NotImplementedError

    async def _connected(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            with contextlib.suppress(
                OSError, asyncio.IncompleteReadError, asyncio.CancelledError
            ):
                while True:
                    request = await _read_request(reader)
                    await self._answer(request, writer)
                    await writer.drain()
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _answer(
        self, request: Request, writer: asyncio.StreamWriter
    ) -> None:
        own = {"X-Request-Id": request.request_id}
        if request.headers.get("x-expect-instance", self.name) != self.name:
            writer.write(encode_answer(421, own))
        elif request.target == "/report":
            writer.write(encode_answer(200, own, self._report()))
        elif request.target == "/order":
            writer.write(encode_answer(self._order(request), own))
        else:
            await self.run(request, writer)

    def _report(self) -> bytes:
        return json.dumps(
            {
                "stage": "both",
                "models": [
                    {"name": name, "version": version, "adapters": []}
                    for name, version in self.models.items()
                ],
                "busy": False,
                "sequence": len(self.orders),
                "queueDepth": 0,
                "inFlight": 0,
                "kvUsed": 0,
                "kvTotal": 100_000,
                "handles": 0,
            }
        ).encode()

    def _order(self, request: Request) -> int:
        doc = json.loads(request.body)
        if doc.get("expectRev", len(self.orders)) != len(self.orders):
            return 409
        self.orders.append(doc)
        self.record.write(
            self.name, f"order {doc['model']} version {doc['version']}"
        )
        self.models[doc["model"]] = doc["version"]
        self.on_models()
        return 202


class PlainServer(Sampler):
    """Runs plain requests, which take `work_s` each.

    Attributes:
        work_s: Seconds that a request takes.
        runs: Requests that it ran, in order.
    """

    def __init__(self, *, work_s: float = _SPENT, **kwargs: Any):
        super().__init__(**kwargs)
        self.work_s = work_s
        self.runs: list[Request] = []

    def stamp(self, request: Request) -> str:
        """Returns the signature of the answer to the newest run."""
        return f"{self.name}.{len(self.runs)}.{request.request_id}"

    async def run(self, request: Request, writer: asyncio.StreamWriter) -> None:
        """Runs a request and writes its answer."""
        self.runs.append(request)
        stamp = self.stamp(request)
        peer = writer.get_extra_info("peername")
        self.record.write(self.name, f"runs {request.request_id} from {peer}")
        await asyncio.sleep(self.work_s)
        answer = encode_answer(
            200,
            {"X-Request-Id": request.request_id, "X-Server-Stamp": stamp},
            b"done " + request.body,
        )
        writer.write(answer)
        self.record.write(
            self.name, f"answers {request.request_id} stamp {stamp}"
        )
        self.after_answer(request, answer, writer)

    def after_answer(
        self, request: Request, answer: bytes, writer: asyncio.StreamWriter
    ) -> None:
        """Called when an answer was written."""


class Engine(Sampler):
    """Generates texts as streams of events.

    Attributes:
        event_s: Seconds for one event.
        event_bytes: Size of an event's data.
        runs: Requests that it began to run, in order.
        made: By request id, the time at which its last event was made.
        events_of: Returns the number of events of a request's text.
    """

    def __init__(
        self,
        *,
        events_of: Callable[[Request], int],
        event_s: float = _SPENT,
        event_bytes: int = 320,
        **kwargs: Any,
    ):
        super().__init__(**kwargs)
        self.events_of = events_of
        self.event_s = event_s
        self.event_bytes = event_bytes
        self.runs: list[Request] = []
        self.active = 0
        self.made: dict[str, float] = {}

    async def run(self, request: Request, writer: asyncio.StreamWriter) -> None:
        """Runs a request and writes the events of its text."""
        if self.active >= self.slots:
            writer.write(
                encode_answer(
                    503,
                    {
                        "X-Request-Id": request.request_id,
                        "X-Not-Executed": "1",
                        "X-Server-Load": f"{self.active},0,{self.slots}",
                    },
                )
            )
            return
        self.active += 1
        try:
            await self.generate(request, writer)
        finally:
            self.active -= 1

    async def generate(
        self, request: Request, writer: asyncio.StreamWriter
    ) -> None:
        """Writes the events that follow the request's `Last-Event-Id`."""
        self.runs.append(request)
        number = int(request.headers.get("last-event-id", "0"))
        total = self.events_of(request)
        version = self.models.get(request.headers.get("x-model", ""), 1)
        self.record.write(
            self.name,
            f"runs {request.request_id} after event {number} version {version}",
        )
        writer.write(
            (
                "HTTP/1.1 200 OK\r\n"
                f"X-Request-Id: {request.request_id}\r\n"
                f"X-Server-Stamp: {self.name}.{request.request_id}\r\n"
                f"X-Weight-Versions: {version}\r\n"
                f"X-Server-Load: {self.active},0,{self.slots}\r\n"
                "Content-Type: text/event-stream\r\n"
                "Transfer-Encoding: chunked\r\n\r\n"
            ).encode()
        )
        while number < total:
            await asyncio.sleep(self.event_s)
            if writer.transport.is_closing():
                self.record.write(
                    self.name, f"dropped {request.request_id} at {number}"
                )
                raise ConnectionError
            number += 1
            text = f"{request.request_id}.{number}.".ljust(
                self.event_bytes, "x"
            )
            event = f"id: {number}\ndata: {text}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            self.made[request.request_id] = time.monotonic()
        writer.write(b"0\r\n\r\n")
        self.record.write(self.name, f"finished {request.request_id}")


async def _read_request(reader: asyncio.StreamReader) -> Request:
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    method, target, _ = first.split(" ")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        if name:
            headers[name.lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    return Request(method, target, headers, await reader.readexactly(length))
