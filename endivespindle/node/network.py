"""Network adapters of an entry VM."""

import abc
import asyncio

import structlog
from aiohttp import web

from endivespindle.backends.http_client import HttpBackends
from endivespindle.backends.interfaces import Engine, PlainService
from endivespindle.backends.sessions import (
    open_session,
    open_single_use_session,
)
from endivespindle.gateway.tls import CertificateReloader
from endivespindle.peers.tasks import end_tasks
from endivespindle.schema.generated.settings import Settings
from endivespindle.store.http_client import HttpPlatform
from endivespindle.store.interfaces import Platform

__all__ = ["Network", "SocketNetwork"]


class Network(abc.ABC):
    """Opens the adapters of one VM and serves its callers."""

    __slots__ = ()

    @abc.abstractmethod
    def open(self, cfg: Settings) -> None:
        """Opens the adapters that the other methods return."""

    @abc.abstractmethod
    def platform(self) -> Platform:
        """Returns the platform's interfaces."""

    @abc.abstractmethod
    def engine(self) -> Engine:
        """Returns the adapter to engines."""

    @abc.abstractmethod
    def plain_service(self) -> PlainService:
        """Returns the adapter to plain services."""

    @abc.abstractmethod
    async def listen(self, runner: web.AppRunner, cfg: Settings) -> int:
        """Starts to serve an application; returns its port."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Closes all connections and ends background tasks."""


class SocketNetwork(Network):
    """Network over TCP sockets."""

    __slots__ = ("_backends", "_platform", "_session", "_single_use", "_tasks")

    def open(self, cfg: Settings) -> None:
        """Opens the connection pools."""
        self._tasks: list[asyncio.Task[None]] = []
        self._session = open_session()
        self._single_use = open_single_use_session()
        self._backends = HttpBackends(
            session=self._session, single_use=self._single_use
        )
        self._platform = HttpPlatform(
            session=self._session,
            base_url=cfg.platform.base_url,
            credential=cfg.platform.credential,
            call_timeout_s=cfg.platform.call_timeout_s,
        )

    def platform(self) -> Platform:
        """Returns the platform's interfaces."""
        return self._platform

    def engine(self) -> Engine:
        """Returns the adapter to engines."""
        return self._backends

    def plain_service(self) -> PlainService:
        """Returns the adapter to plain services."""
        return self._backends

    async def listen(self, runner: web.AppRunner, cfg: Settings) -> int:
        """Binds the port for callers and returns it."""
        reloader = None
        if cfg.listen.tls_certificate:
            reloader = CertificateReloader(
                listen=cfg.listen, log=structlog.get_logger("endivespindle")
            )
            self._tasks.append(asyncio.create_task(reloader.run()))
        site = web.TCPSite(
            runner,
            cfg.listen.host,
            cfg.listen.port,
            ssl_context=reloader.context if reloader else None,
        )
        await site.start()
        return runner.addresses[0][1]

    async def close(self) -> None:
        """Ends certificate reloads and closes the connection pools."""
        await end_tasks(self._tasks)
        await self._session.close()
        await self._single_use.close()
