"""What the system asks of backend servers, as abstract base classes."""

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

__all__ = ["Engine", "PlainService", "ServiceResponse", "ServiceCall"]


class ServiceCall(msgspec.Struct, kw_only=True, frozen=True):
    """A call to a plain service.

    Attributes:
        request_id: Identity of the request.
        method: HTTP method.
        path: Path and query below the service's base address.
        content_type: Content type of the body.
        body: Body.
        timeout_s: Seconds that the call may take.
    """

    request_id: str
    method: str
    path: str
    content_type: str
    body: bytes
    timeout_s: float


class ServiceResponse(msgspec.Struct, kw_only=True, frozen=True):
    """The whole answer of a plain service."""

    status: int
    content_type: str
    body: bytes


class Engine(abc.ABC):
    """A model engine.

    Methods raise `BackendServerError`, which says whether the call ran.
    """

    __slots__ = ()

    @abc.abstractmethod
    def generate(
        self, server: BackendServer, req: GenerateRequest, *, timeout_s: float
    ) -> AsyncGenerator[GenerateChunk, None]:
        """Streams chunks until the one marked done.

        Closing the iterator early cancels the request on the engine.
        """

    @abc.abstractmethod
    async def load(self, server: BackendServer) -> LoadReport:
        """Returns the engine's load, as of some time ago."""

    @abc.abstractmethod
    async def cache_events(
        self, server: BackendServer, *, after: int
    ) -> CacheEvents:
        """Returns cache events after a sequence, with gaps."""

    @abc.abstractmethod
    async def order(
        self, server: BackendServer, order: EngineOrder, *, timeout_s: float
    ) -> EngineOrderAnswer:
        """Sends an order; the answer is no proof that it was carried out."""


class PlainService(abc.ABC):
    """A plain service."""

    __slots__ = ()

    @abc.abstractmethod
    async def call(
        self, server: BackendServer, call: ServiceCall, *, max_bytes: int
    ) -> ServiceResponse:
        """Makes one call, never repeated by the library underneath."""
