"""Polls the engines' load reports and cache events."""

import asyncio

import msgspec

from endivespindle.backends.interfaces import Engine
from endivespindle.exceptions import BackendServerError
from endivespindle.node.context import NodeContext
from endivespindle.routing.tracker import ServerTracker
from endivespindle.schema.generated.register import BackendServer, ServiceKind

__all__ = ["EnginePoller"]

_POLL_INTERVAL_S = 0.25


class EnginePoller:
    """Keeps the load and cache state of the engines up to date on one VM.

    Args:
        ctx: Shared state of the VM.
        engine: Adapter to engines.
        tracker: Receives the load reports and cache events.
    """

    __slots__ = ("_ctx", "_engine", "_tracker")

    def __init__(
        self, *, ctx: NodeContext, engine: Engine, tracker: ServerTracker
    ):
        self._ctx = ctx
        self._engine = engine
        self._tracker = tracker

    async def run(self) -> None:
        """Polls every engine at a fixed interval."""
        while True:
            view = self._ctx.register.view
            if view is not None:
                engines = [
                    server
                    for server in view.servers.values()
                    if view.services[server.service].kind is ServiceKind.ENGINE
                ]
                await asyncio.gather(*(self._poll(s) for s in engines))
            await asyncio.sleep(_POLL_INTERVAL_S)

    def _mark_leaving(self, server: BackendServer) -> None:
        leaving = self._ctx.leaving
        if leaving.is_leaving(server.name, incarnation=server.incarnation):
            return
        leaving.mark_leaving(server.name, incarnation=server.incarnation)
        self._ctx.metrics.count_leaving_server(server.service)
        self._ctx.log.info(
            "server_leaving",
            backend_server=server.name,
            incarnation=server.incarnation,
        )

    async def _poll(self, server: BackendServer) -> None:
        try:
            report = await self._engine.load(server)
            self._tracker.apply_load_report(report)
            if report.leaving:
                self._mark_leaving(server)
            events = await self._engine.cache_events(
                server, after=self._tracker.cache_sequence(server.name)
            )
            self._tracker.apply_cache_events(server.name, events)
        except (BackendServerError, msgspec.MsgspecError) as exc:
            self._ctx.log.debug(
                "engine_silent", backend_server=server.name, error=str(exc)
            )
