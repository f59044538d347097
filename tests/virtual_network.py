"""A network without sockets: the platform in memory, HTTP as plain bytes."""

import asyncio

from aiohttp import web

from endivespindle.backends.interfaces import Engine, PlainService
from endivespindle.exceptions import PlatformUnavailableError
from endivespindle.node.network import Network
from endivespindle.schema.generated.backend import (
    CapacityOrder,
    CapacityState,
    VmList,
)
from endivespindle.schema.generated.settings import Settings
from endivespindle.schema.generated.stored import UsageReport
from endivespindle.standins.memory_store import MemoryObjectStore
from endivespindle.store.interfaces import Platform
from endivespindle.store.object_store import (
    ObjectList,
    StoredObject,
    WatchEvents,
)
from tests.journal import Journal
from tests.virtual_servers import VirtualEngines, VirtualServices

__all__ = ["Exchange", "VirtualNetwork", "VirtualPlatform"]

_MAX_SHOWN_BYTES = 1024
_HIDDEN_HEADERS = ("Date:", "Server:")


class VirtualPlatform(Platform):
    """The platform's interfaces in memory, as one VM reaches them.

    Attributes:
        off: Whether the VM is switched off, so that no write arrives.
        reports_down: Refuses usage reports.
        reports: Reports taken from this VM.
    """

    def __init__(self, *, store: MemoryObjectStore, journal: Journal):
        self.off = False
        self.reports_down = False
        self.reports: list[UsageReport] = []
        self._store = store
        self._journal = journal

    async def get(self, *, kind: str, name: str) -> StoredObject | None:
        return await self._store.get(kind=kind, name=name)

    async def list_objects(self, *, kind: str, prefix: str = "") -> ObjectList:
        return await self._store.list_objects(kind=kind, prefix=prefix)

    async def put(
        self, *, kind: str, name: str, value: bytes, expect_version: int
    ) -> int:
        if self.off:
            raise PlatformUnavailableError("this VM is switched off")
        version = await self._store.put(
            kind=kind, name=name, value=value, expect_version=expect_version
        )
        self._journal.write(
            f"platform writes {kind}/{name} as {version}", value.decode()
        )
        return version

    async def delete(
        self, *, kind: str, name: str, expect_version: int
    ) -> None:
        await self._store.delete(
            kind=kind, name=name, expect_version=expect_version
        )

    async def watch(
        self, *, kind: str, after: int, wait_s: float
    ) -> WatchEvents:
        return await self._store.watch(kind=kind, after=after, wait_s=wait_s)

    async def order(
        self, order: CapacityOrder, *, timeout_s: float
    ) -> CapacityState:
        self._journal.write("platform is ordered", order)
        return CapacityState(
            data_centre=order.data_centre,
            service=order.service,
            wanted=order.count,
            number=order.number,
            running=[],
        )

    async def state(self, *, data_centre: str, service: str) -> CapacityState:
        return CapacityState(
            data_centre=data_centre,
            service=service,
            wanted=0,
            number=0,
            running=[],
        )

    async def report(self, report: UsageReport, *, timeout_s: float) -> None:
        if self.reports_down:
            self._journal.write("platform refuses report", report)
            raise PlatformUnavailableError("reports are down")
        self._journal.write("platform takes report", report)
        self.reports.append(report)

    async def list_vms(self) -> VmList:
        return VmList(vms=[], version=0)

    async def versions(self, *, trainer: str) -> list[int]:
        return []


class VirtualNetwork(Network):
    """Hands a VM its stand-ins, and takes its application."""

    def __init__(
        self,
        *,
        platform: VirtualPlatform,
        engines: VirtualEngines,
        services: VirtualServices,
    ):
        self._platform = platform
        self._engines = engines
        self._services = services
        self.server: web.Server | None = None

    def open(self, cfg: Settings) -> None:
        del cfg

    def platform(self) -> Platform:
        return self._platform

    def engine(self) -> Engine:
        return self._engines

    def plain_service(self) -> PlainService:
        return self._services

    async def listen(self, runner: web.AppRunner, cfg: Settings) -> int:
        del cfg
        self.server = runner.server
        return 0

    async def close(self) -> None:
        return


class Exchange(asyncio.Transport):
    """One HTTP request and its answer, as bytes in memory."""

    def __init__(self, *, name: str, network: VirtualNetwork, journal: Journal):
        super().__init__()
        self.name = name
        self.answer = b""
        self.ended = asyncio.Event()
        self._journal = journal
        self._closing = False
        assert network.server is not None
        self._protocol = network.server()
        self._protocol.connection_made(self)

    async def run(
        self, method: str, path: str, *, key: str = "", body: bytes = b""
    ) -> str:
        """Sends a request and returns the whole answer."""
        head = [f"{method} {path} HTTP/1.1", "Host: vm", "Connection: close"]
        if key:
            head.append(f"Authorization: Bearer {key}")
        head.append(f"Content-Length: {len(body)}")
        shown = body.decode()
        if len(body) > _MAX_SHOWN_BYTES:
            shown = f"({len(body)} bytes)"
        self._journal.write(
            f"{self.name} asks", f"{method} {path}\n{shown}".strip()
        )
        self._protocol.data_received(
            "\r\n".join(head).encode() + b"\r\n\r\n" + body
        )
        await self.ended.wait()
        text = "\n".join(
            line
            for line in self.answer.decode().splitlines()
            if line.strip() and not line.startswith(_HIDDEN_HEADERS)
        )
        self._journal.write(f"{self.name} is answered", text)
        return text

    def write(self, data) -> None:
        self.answer += bytes(data)

    def writelines(self, list_of_data) -> None:
        for data in list_of_data:
            self.write(data)

    def is_closing(self) -> bool:
        return self._closing

    def close(self) -> None:
        if not self._closing:
            self._closing = True
            self.ended.set()
            self._protocol.connection_lost(None)

    def abort(self) -> None:
        self.close()

    def get_extra_info(self, name, default=None):
        del name
        return default

    def pause_reading(self) -> None:
        return

    def resume_reading(self) -> None:
        return
