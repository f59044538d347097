"""One process of the fleet, from its settings to its end."""

import asyncio
import random
import signal
from collections.abc import Coroutine
from typing import Any

import aiohttp

from endivespindle.core.ids import RandomIdSource
from endivespindle.exceptions import PlatformError
from endivespindle.peers.tasks import end_tasks
from endivespindle.platform.objects import PlatformObjects
from endivespindle.platform.operations import PlatformOperations
from endivespindle.runtime.clock import BootClock
from endivespindle.runtime.context import NodeParts
from endivespindle.runtime.controller import Controller
from endivespindle.runtime.gateway import Gateway
from endivespindle.runtime.peer_client import PeerClient
from endivespindle.runtime.peer_server import PeerServer
from endivespindle.runtime.sessions import (
    open_lease_holder_session,
    open_node_session,
)
from endivespindle.runtime.settings import NodeRole, NodeSettings
from endivespindle.runtime.telemetry import configure_node_logs
from endivespindle.store.breaker import Breaker
from endivespindle.store.budget import CallBudget
from endivespindle.store.budgeted_store import BudgetedStatusStore
from endivespindle.store.gate import CallGate

__all__ = ["run_node"]

METRICS_PORT = 9464
# A call to the store takes some milliseconds, and a few hundred when it is
# slow; one that takes this long is lost.
_STORE_TIMEOUT_S = 1.5
_REGISTER_PAUSE_S = 0.3
# Share of the store's rates that one node may use: a few nodes do most of the
# work, none may starve the others.
_NODE_SHARE = 0.1


async def run_node(settings: NodeSettings) -> None:
    """Runs a node until SIGTERM."""
    lines = configure_node_logs()
    parts = NodeParts(
        settings=settings,
        clock=BootClock(),
        ids=RandomIdSource(),
        rng=random.Random(),
    )
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop.set)
    loop.add_signal_handler(
        signal.SIGHUP, lambda: parts.log.state("settings_reloaded")
    )
    parts.log.state(
        "started",
        role=settings.role.value,
        data_centre=settings.data_centre,
        incarnation=parts.fleet.me.incarnation,
    )
    node = _Node(parts)
    await node.start()
    await stop.wait()
    parts.log.state("stopping")
    await node.stop()
    parts.log.state("stopped")
    lines.flush()


class _Node:
    """The parts of a node, whatever its role."""

    __slots__ = (
        "_controller",
        "_gateway",
        "_parts",
        "_peer_server",
        "_sessions",
        "_store",
        "_tasks",
    )

    def __init__(self, parts: NodeParts):
        self._parts = parts
        self._tasks: list[asyncio.Task[None]] = []
        self._sessions: list[aiohttp.ClientSession] = [open_node_session()]
        settings = parts.settings
        self._store = BudgetedStatusStore(
            store=PlatformObjects(
                session=self._sessions[0],
                base_url=f"http://{settings.store}",
                timeout_s=_STORE_TIMEOUT_S,
            ),
            gate=CallGate(
                budget=CallBudget(
                    clock=parts.clock,
                    reads_per_s=settings.limits.reads_per_s * _NODE_SHARE,
                    writes_per_s=settings.limits.writes_per_s * _NODE_SHARE,
                ),
                breaker=Breaker(clock=parts.clock, rng=parts.rng),
                on_call=parts.metrics.platform_called,
            ),
        )
        self._peer_server = PeerServer(
            host=settings.host, port=settings.peer_port, metrics=parts.metrics
        )
        self._gateway: Gateway | None = None
        self._controller: Controller | None = None
        if settings.role is NodeRole.GATEWAY:
            self._gateway = Gateway(
                parts=parts,
                store=self._store,
                peer_server=self._peer_server,
                peers=PeerClient(session=self._sessions[0]),
            )
        else:
            self._controller = Controller(
                parts=parts,
                store=self._store,
                operations=self._operations(),
                peer_server=self._peer_server,
                peers=PeerClient(session=self._sessions[0]),
            )

    async def start(self) -> None:
        """Starts every part."""
        await self._peer_server.start(metrics_port=METRICS_PORT)
        if self._gateway is not None:
            await self._gateway.start()
        if self._controller is not None:
            self._spawn(self._controller.run())
        self._spawn(self._register())

    async def stop(self) -> None:
        """Stops every part."""
        if self._gateway is not None:
            await self._gateway.stop()
        await end_tasks(self._tasks)
        await self._peer_server.stop()
        for session in self._sessions:
            await session.close()

    def _operations(self) -> PlatformOperations | None:
        settings = self._parts.settings
        if settings.operations is None or not settings.duties:
            return None
        self._sessions.append(open_lease_holder_session())
        return PlatformOperations(
            session=self._sessions[-1],
            base_url=f"http://{settings.operations}",
        )

    async def _register(self) -> None:
        """Writes this node's record, as soon as the store takes it."""
        while True:
            try:
                await self._parts.fleet.register(self._store)
            except PlatformError as exc:
                self._parts.log.decided("node_not_registered", error=str(exc))
                await asyncio.sleep(_REGISTER_PAUSE_S)
            else:
                return

    def _spawn(self, coro: Coroutine[Any, Any, None]) -> None:
        self._tasks.append(asyncio.create_task(coro))
