"""Sends work to backend servers, with retries and resumption."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

import msgspec

from endivespindle.backends.interfaces import (
    Engine,
    PlainService,
    ServiceAnswer,
    ServiceCall,
)
from endivespindle.core.clock import Clock
from endivespindle.exceptions import BackendServerError, RefusedError
from endivespindle.node.context import NodeContext
from endivespindle.routing.attempts import (
    Failure,
    RequestAttempts,
    Retry,
    Send,
)
from endivespindle.routing.choice import ServerChooser
from endivespindle.routing.health import AttemptEnd
from endivespindle.routing.leaving import LeavingServers
from endivespindle.routing.prefixes import prefix_hashes
from endivespindle.routing.retry_budget import RetryBudget
from endivespindle.routing.tracker import ServerTracker
from endivespindle.schema.generated.backend import (
    GenerateChunk,
    GenerateRequest,
)
from endivespindle.schema.generated.register import BackendServer, Route

__all__ = ["Dispatcher", "GenerateWork"]

_ENGINE_RETRY_FRACTION = 0.1


class GenerateWork(msgspec.Struct, kw_only=True, frozen=True):
    """Tokens asked of some engine of a service.

    Attributes:
        request_id: Identity of the request.
        service: Service whose engines may serve it.
        prompt: Prompt.
        max_tokens: Longest answer, in tokens.
        priority: Priority; higher runs first.
        timeout_s: Seconds it may take.
        trainer: Trainer whose weights are used; empty for the service's own.
        resume_text: Text generated before, to go on from.
        resume_tokens: Tokens generated before.
        avoid: Engines to be taken only if there is no other.
    """

    request_id: str
    service: str
    prompt: str
    max_tokens: int
    priority: int
    timeout_s: float
    trainer: str = ""
    resume_text: str = ""
    resume_tokens: int = 0
    avoid: frozenset[str] = frozenset()


class Dispatcher:
    """Chooses backend servers and carries work through their failures.

    Args:
        ctx: Shared state of the VM.
        engine: Adapter to engines.
        plain: Adapter to plain services.
        chooser: Policy that chooses a backend server.
    """

    __slots__ = (
        "_budgets",
        "_chooser",
        "_ctx",
        "_engine",
        "_leaving",
        "_plain",
        "_revision",
        "tracker",
    )

    def __init__(
        self,
        *,
        ctx: NodeContext,
        engine: Engine,
        plain: PlainService,
        chooser: ServerChooser,
    ):
        self._ctx = ctx
        self._engine = engine
        self._plain = plain
        self._chooser = chooser
        self._leaving = LeavingServers()
        self._revision = -1
        self._budgets: dict[str, RetryBudget] = {}
        self.tracker = ctx.tracker

    async def generate(
        self, work: GenerateWork
    ) -> AsyncIterator[tuple[str, GenerateChunk]]:
        """Streams chunks with the name of the server that made each.

        Generation has no side effect: a stream that breaks goes on from its
        last token on another server.

        Raises:
            RefusedError: No server could finish it in time.
        """
        attempts = self._attempts(
            work.service, _ENGINE_RETRY_FRACTION, work.timeout_s
        )
        hashes = prefix_hashes(work.prompt)
        parts = [work.resume_text]
        tokens = work.resume_tokens
        tried = set(work.avoid)
        while True:
            timeout_s = self._next_send(attempts)
            server = self._pick(
                work.request_id, work.service, hashes, tried, attempts
            )
            req = GenerateRequest(
                request_id=work.request_id,
                prompt=work.prompt,
                max_tokens=work.max_tokens,
                priority=work.priority,
                prefix_hashes=hashes,
                resume_text="".join(parts),
                resume_tokens=tokens,
                trainer=work.trainer,
            )
            try:
                async for chunk in self._attempt(server, req, timeout_s):
                    parts.append(chunk.text)
                    tokens += chunk.tokens
                    yield server.name, chunk
                return
            except BackendServerError as exc:
                tried.add(server.name)
                await self._after(
                    work.request_id,
                    attempts,
                    exc,
                    progressed=tokens > req.resume_tokens,
                )

    async def call(
        self,
        *,
        route: Route,
        call: ServiceCall,
        max_bytes: int,
    ) -> ServiceAnswer:
        """Makes a call to a plain service.

        A call that may have run is repeated only on an idempotent route.

        Raises:
            RefusedError: It failed; the error says whether it ran.
        """
        attempts = self._attempts(
            route.prefix,
            route.retry_budget,
            call.timeout_s,
            repeatable=route.idempotent,
        )
        tried: set[str] = set()
        while True:
            timeout_s = self._next_send(attempts)
            server = self._pick(
                call.request_id, route.service, [], tried, attempts
            )
            watch = self._watch(server.name)
            try:
                answer = await self._plain.call(
                    server,
                    msgspec.structs.replace(call, timeout_s=timeout_s),
                    max_bytes=max_bytes,
                )
                watch.end = AttemptEnd.ANSWERED
                return answer
            except BackendServerError as exc:
                watch.failed(timeout_s)
                tried.add(server.name)
                error = exc
            finally:
                watch.close(timed=True)
            await self._after(call.request_id, attempts, error)

    async def _attempt(
        self, server: BackendServer, req: GenerateRequest, timeout_s: float
    ) -> AsyncIterator[GenerateChunk]:
        watch = self._watch(server.name, hashes=req.prefix_hashes)
        stream = self._engine.generate(server, req, timeout_s=timeout_s)
        try:
            async with contextlib.aclosing(stream):
                async for chunk in stream:
                    watch.progressed()
                    if chunk.done:
                        watch.end = AttemptEnd.ANSWERED
                    yield chunk
        except BackendServerError:
            watch.failed(timeout_s)
            raise
        finally:
            watch.close(timed=False)

    def _watch(
        self, server: str, *, hashes: list[str] | None = None
    ) -> "_AttemptWatch":
        self.tracker.started(server, hashes=hashes or [])
        return _AttemptWatch(
            tracker=self.tracker, clock=self._ctx.clock, server=server
        )

    def _attempts(
        self,
        key: str,
        fraction: float,
        timeout_s: float,
        *,
        repeatable: bool = True,
    ) -> RequestAttempts:
        return RequestAttempts(
            repeatable=repeatable,
            budget=self._budget(key, fraction),
            deadline_s=self._ctx.clock.monotonic() + timeout_s,
            rng=self._ctx.rng,
        )

    def _next_send(self, attempts: RequestAttempts) -> float:
        """Returns the seconds that the next attempt may take."""
        action = attempts.next_send(now_s=self._ctx.clock.monotonic())
        if isinstance(action, Send):
            return action.timeout_s
        raise _refusal(action)

    async def _after(
        self,
        request_id: str,
        attempts: RequestAttempts,
        exc: BackendServerError,
        *,
        progressed: bool = False,
    ) -> None:
        """Waits for the next attempt, or ends the request."""
        action = attempts.failed(
            reason=exc.reason,
            ran=exc.ran,
            now_s=self._ctx.clock.monotonic(),
            progressed=progressed,
        )
        if not isinstance(action, Retry):
            raise _refusal(action) from exc
        self._ctx.metrics.count_retry(action.reason)
        self._ctx.tell(
            request_id, "retry", reason=action.reason.value, error=str(exc)
        )
        await asyncio.sleep(action.pause_s)

    def _open_servers(self, service: str) -> list[BackendServer]:
        view = self._ctx.view()
        if view.revision != self._revision:
            self._leaving.take(view.servers.values())
            self._revision = view.revision
        return self._leaving.open_servers(view.servers_of(service))

    def _pick(
        self,
        request_id: str,
        service: str,
        hashes: list[str],
        tried: set[str],
        attempts: RequestAttempts,
    ) -> BackendServer:
        servers = self._open_servers(service)
        if not servers:
            raise _refusal(attempts.no_server())
        fresh = [server for server in servers if server.name not in tried]
        slots = self._ctx.view().services[service].slots_per_server
        candidates = self.tracker.candidates(
            fresh or servers, slots=slots, hashes=hashes
        )
        chosen = self._chooser.choose(candidates)
        self._ctx.tell(
            request_id,
            "chosen",
            backend_server=chosen.name,
            own_inflight=chosen.own_inflight,
            others_load=chosen.others_load,
            reported_load=chosen.reported_load,
            cached_blocks=chosen.cached_blocks,
        )
        return self._ctx.view().servers[chosen.name]

    def _budget(self, key: str, fraction: float) -> RetryBudget:
        budget = self._budgets.get(key)
        if budget is None:
            budget = self._budgets[key] = RetryBudget(fraction=fraction)
        budget.earn()
        return budget


class _AttemptWatch:
    """Tells the tracker how one attempt went, once.

    Attributes:
        end: How it ends; given up unless something else is set.
    """

    __slots__ = ("_clock", "_server", "_start_s", "_tracker", "end")

    def __init__(self, *, tracker: ServerTracker, clock: Clock, server: str):
        self._tracker = tracker
        self._clock = clock
        self._server = server
        self._start_s = clock.monotonic()
        self.end = AttemptEnd.GIVEN_UP

    def progressed(self) -> None:
        """Notes that a part of the answer came."""
        self._tracker.progressed(self._server)

    def failed(self, timeout_s: float) -> None:
        """Notes that the attempt failed."""
        late = self._clock.monotonic() - self._start_s >= timeout_s
        self.end = AttemptEnd.TIMED_OUT if late else AttemptEnd.FAILED

    def close(self, *, timed: bool) -> None:
        """Tells the tracker, with the time taken if it says something."""
        taken_s = self._clock.monotonic() - self._start_s
        if not timed and self.end is AttemptEnd.ANSWERED:
            self._tracker.ended(self._server, self.end)
            return
        self._tracker.ended(self._server, self.end, duration_s=taken_s)


def _refusal(failure: Failure) -> RefusedError:
    return RefusedError(
        failure.reason, ran=failure.ran, retry_after_s=failure.retry_after_s
    )
