"""Engines and plain services without sockets, for golden sessions."""

import asyncio
from collections.abc import AsyncIterator

from endivespindle.backends.interfaces import (
    Engine,
    PlainService,
    ServiceCall,
    ServiceResponse,
)
from endivespindle.core.reasons import Reason
from endivespindle.exceptions import BackendServerError
from endivespindle.schema.generated.backend import (
    CacheEvents,
    EngineOrder,
    EngineOrderAnswer,
    GenerateChunk,
    GenerateRequest,
    LoadReport,
)
from endivespindle.schema.generated.caller import RunState
from endivespindle.schema.generated.register import BackendServer
from tests.journal import Journal

__all__ = ["VirtualEngines", "VirtualServices"]

_CHUNK_TOKENS = 4
_CHUNK_S = 0.1
_CALL_S = 0.05


def _lost() -> BackendServerError:
    return BackendServerError(
        "connection lost", ran=RunState.UNKNOWN, reason=Reason.BACKEND_LOST
    )


class VirtualEngines(Engine):
    """Every engine of a register.

    Attributes:
        versions: Weight version of each engine, by trainer.
        dead: Engines that answer nothing.
    """

    def __init__(self, *, journal: Journal):
        self.versions: dict[str, dict[str, int]] = {}
        self.dead: set[str] = set()
        self._journal = journal

    async def generate(
        self, server: BackendServer, req: GenerateRequest, *, timeout_s: float
    ) -> AsyncIterator[GenerateChunk]:
        self._journal.write(
            f"engine {server.name} generates",
            f"{req.request_id} from token {req.resume_tokens}",
        )
        for offset in range(req.resume_tokens, req.max_tokens, _CHUNK_TOKENS):
            await asyncio.sleep(_CHUNK_S)
            if server.name in self.dead:
                raise _lost()
            count = min(_CHUNK_TOKENS, req.max_tokens - offset)
            done = offset + count >= req.max_tokens
            held = self.versions.get(server.name, {})
            yield GenerateChunk(
                request_id=req.request_id,
                offset=offset,
                text="".join(f" w{offset + i}" for i in range(count)),
                tokens=count,
                version=held.get(req.trainer, 0),
                done=done,
                prompt_tokens=len(req.prompt.split()) if done else 0,
            )

    async def load(self, server: BackendServer) -> LoadReport:
        if server.name in self.dead:
            raise _lost()
        return LoadReport(
            backend_server=server.name,
            running=0,
            waiting=0,
            sequence=0,
            age_s=0.0,
            versions=dict(self.versions.get(server.name, {})),
        )

    async def cache_events(
        self, server: BackendServer, *, after: int
    ) -> CacheEvents:
        return CacheEvents(events=[], next_sequence=after)

    async def order(
        self, server: BackendServer, order: EngineOrder, *, timeout_s: float
    ) -> EngineOrderAnswer:
        self._journal.write(f"engine {server.name} is ordered", order)
        held = self.versions.setdefault(server.name, {})
        held[order.trainer] = order.version
        return EngineOrderAnswer(accepted=True)


class VirtualServices(PlainService):
    """Every plain service of a register.

    Attributes:
        answers_to_lose: Coming calls that run while their answer is lost.
    """

    def __init__(self, *, journal: Journal):
        self.answers_to_lose = 0
        self._journal = journal

    async def call(
        self, server: BackendServer, call: ServiceCall, *, max_bytes: int
    ) -> ServiceResponse:
        self._journal.write(
            f"service {server.name} runs",
            f"{call.method} {call.path} {call.request_id}",
        )
        await asyncio.sleep(_CALL_S)
        if self.answers_to_lose:
            self.answers_to_lose -= 1
            raise _lost()
        return ServiceResponse(
            status=200, content_type="text/plain", body=call.body
        )
