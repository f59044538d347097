"""Runs one node, from its start to SIGTERM."""

import asyncio
import collections
import random
import signal
from collections.abc import Callable, Coroutine
from typing import Any

import aiohttp

from endivespindle.core.ids import RandomIdSource
from endivespindle.exceptions import PlatformError
from endivespindle.peers.tasks import end_tasks
from endivespindle.platform.objects import PlatformObjectStore
from endivespindle.platform.operations import PlatformOperations
from endivespindle.runtime.clock import BootClock
from endivespindle.runtime.context import RuntimeContext
from endivespindle.runtime.controller import Controller
from endivespindle.runtime.gateway import Gateway
from endivespindle.runtime.peer_client import PeerClient
from endivespindle.runtime.peer_server import PeerServer
from endivespindle.runtime.sessions import (
    open_lease_holder_session,
    open_node_session,
)
from endivespindle.runtime.settings import NodeRole, NodeSettings
from endivespindle.runtime.supervision import run_supervised
from endivespindle.runtime.telemetry import configure_node_logs
from endivespindle.store.call_limiter import CallLimiter
from endivespindle.store.circuit_breaker import CircuitBreaker
from endivespindle.store.rate_limited_platform import RateLimitedStatusStore
from endivespindle.store.rate_limiter import CallRateLimiter

__all__ = ["run_node"]

METRICS_PORT = 9464
# Timeout of a store call: it takes a few milliseconds, and a few hundred while
# the store is slow. A call that exceeds the timeout counts as lost.
_STORE_TIMEOUT_S = 1.5
_REGISTER_RETRY_S = 0.3
# Share of the store's rate limits available to one node: a few nodes make most
# of the calls, and none may starve the others.
_NODE_RATE_SHARE = 0.1
# Interval between two log lines with the numbers of platform calls.
_CALL_SUMMARY_INTERVAL_S = 10.0


async def run_node(settings: NodeSettings) -> None:
    """Runs a node until SIGTERM or SIGINT."""
    log_writer = configure_node_logs()
    ctx = RuntimeContext(
        settings=settings,
        clock=BootClock(
            on_step=lambda step_s: ctx.log.state_change(
                "clock_stepped", step_s=step_s
            )
        ),
        ids=RandomIdSource(),
        rng=random.Random(),
    )
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop.set)
    loop.add_signal_handler(
        signal.SIGHUP, lambda: ctx.log.state_change("settings_reloaded")
    )
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
    ctx.log.state_change(
        "started",
        role=settings.role.value,
        data_centre=settings.data_centre,
        incarnation=ctx.fleet.local_node.incarnation,
    )
    node = _Node(ctx)
    await node.start()
    await stop.wait()
    ctx.log.state_change("stopping")
    await node.stop()
    ctx.log.state_change("stopped")
    log_writer.flush()


class _Node:
    """Components of a node of either role."""

    __slots__ = (
        "_controller",
        "_ctx",
        "_gateway",
        "_limiter",
        "_peer_server",
        "_sessions",
        "_store",
        "_tasks",
    )

    def __init__(self, ctx: RuntimeContext):
        self._ctx = ctx
        self._tasks: list[asyncio.Task[None]] = []
        self._sessions: list[aiohttp.ClientSession] = [open_node_session()]
        settings = ctx.settings
        self._limiter = CallLimiter(
            rate_limiter=CallRateLimiter(
                clock=ctx.clock,
                reads_per_s=settings.limits.reads_per_s * _NODE_RATE_SHARE,
                writes_per_s=settings.limits.writes_per_s * _NODE_RATE_SHARE,
            ),
            breaker=CircuitBreaker(clock=ctx.clock, rng=ctx.rng),
            on_call=ctx.metrics.count_platform_call,
        )
        self._store = RateLimitedStatusStore(
            store=PlatformObjectStore(
                session=self._sessions[0],
                base_url=f"http://{settings.store}",
                timeout_s=_STORE_TIMEOUT_S,
            ),
            limiter=self._limiter,
        )
        self._peer_server = PeerServer(
            host=settings.host, port=settings.peer_port, metrics=ctx.metrics
        )
        self._gateway: Gateway | None = None
        self._controller: Controller | None = None
        if settings.role is NodeRole.GATEWAY:
            self._gateway = Gateway(
                parts=ctx,
                store=self._store,
                peer_server=self._peer_server,
                peers=PeerClient(session=self._sessions[0]),
            )
        else:
            self._controller = Controller(
                ctx=ctx,
                store=self._store,
                operations=self._make_operations(),
                peer_server=self._peer_server,
                peers=PeerClient(session=self._sessions[0]),
            )

    async def start(self) -> None:
        """Starts all components."""
        await self._peer_server.start(metrics_port=METRICS_PORT)
        if self._gateway is not None:
            await self._gateway.start()
        if self._controller is not None:
            self._spawn(self._controller.run)
        self._spawn(self._register)
        self._spawn(self._log_platform_calls)

    async def stop(self) -> None:
        """Stops all components."""
        if self._gateway is not None:
            await self._gateway.stop()
        await end_tasks(self._tasks)
        if self._controller is not None:
            await self._controller.close()
        await self._peer_server.stop()
        for session in self._sessions:
            await session.close()

    def _make_operations(self) -> PlatformOperations | None:
        settings = self._ctx.settings
        if settings.operations is None or not settings.duties:
            return None
        self._sessions.append(open_lease_holder_session())
        return PlatformOperations(
            session=self._sessions[-1],
            base_url=f"http://{settings.operations}",
        )

    async def _register(self) -> None:
        """Writes this node's record, retrying until the write succeeds."""
        while True:
            try:
                await self._ctx.fleet.register(self._store)
            except PlatformError as exc:
                self._ctx.log.event("node_not_registered", error=str(exc))
                await asyncio.sleep(_REGISTER_RETRY_S)
            else:
                return

    async def _log_platform_calls(self) -> None:
        """Logs the numbers of platform calls by name, while there are any."""
        logged: collections.Counter[str] = collections.Counter()
        while True:
            await asyncio.sleep(_CALL_SUMMARY_INTERVAL_S)
            total = self._limiter.calls_by_name.copy()
            recent = total - logged
            logged = total
            if recent:
                self._ctx.log.event(
                    "platform_calls",
                    seconds=_CALL_SUMMARY_INTERVAL_S,
                    calls=dict(recent),
                )

    def _spawn(self, run: Callable[[], Coroutine[Any, Any, None]]) -> None:
        self._tasks.append(
            asyncio.create_task(
                run_supervised(run.__qualname__, run, log=self._ctx.log)
            )
        )
