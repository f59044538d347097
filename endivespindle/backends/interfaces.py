"""Interfaces to engines and plain services."""

import abc
from collections.abc import AsyncGenerator

import msgspec

from endivespindle.schema.generated.backend import (
    CacheEvents,
    EngineOrder,
    EngineOrderAnswer,
    GenerateChunk,
    GenerateRequest,
    LoadReport,
)
from endivespindle.schema.generated.register import BackendServer

__all__ = ["Engine", "PlainService", "ServiceCall", "ServiceResponse"]


class ServiceCall(msgspec.Struct, kw_only=True, frozen=True):
    """A call to a plain service.

    Attributes:
        request_id: Identity of the request.
        method: HTTP method.
        path: Path and query below the service's base address.
        content_type: Content type of the body.
        body: Body.
        timeout_s: Timeout of the call.
    """

    request_id: str
    method: str
    path: str
    content_type: str
    body: bytes
    timeout_s: float


class ServiceResponse(msgspec.Struct, kw_only=True, frozen=True):
    """Complete response of a plain service."""

    status: int
    content_type: str
    body: bytes


class Engine(abc.ABC):
    """Client of model engines.

    Methods raise `BackendServerError`; `ran` states whether the call ran.
    """

    __slots__ = ()

    @abc.abstractmethod
    def generate(
        self, server: BackendServer, req: GenerateRequest, *, timeout_s: float
    ) -> AsyncGenerator[GenerateChunk, None]:
        """Streams chunks up to and including the one marked done.

        Closing the iterator early cancels the request on the engine.
        """

    @abc.abstractmethod
    async def load(self, server: BackendServer) -> LoadReport:
        """Returns the engine's load report; its figures are some time old."""

    @abc.abstractmethod
    async def cache_events(
        self, server: BackendServer, *, after: int
    ) -> CacheEvents:
        """Returns cache events after a sequence number; there may be gaps."""

    @abc.abstractmethod
    async def order(
        self, server: BackendServer, order: EngineOrder, *, timeout_s: float
    ) -> EngineOrderAnswer:
        """Sends an order; the response does not prove that it was executed."""


class PlainService(abc.ABC):
    """Client of plain services."""

    __slots__ = ()

    @abc.abstractmethod
    async def call(
        self, server: BackendServer, call: ServiceCall, *, max_bytes: int
    ) -> ServiceResponse:
        """Makes one call, which the HTTP library never retries."""
