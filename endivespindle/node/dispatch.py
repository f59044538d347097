"""Sends requests to backend servers, with retries and resumption."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

import msgspec

from endivespindle.backends.interfaces import (
    Engine,
    PlainService,
    ServiceCall,
    ServiceResponse,
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
from endivespindle.routing.health import AttemptOutcome
from endivespindle.routing.prefixes import prefix_hashes
from endivespindle.routing.retry_budget import RetryBudget
from endivespindle.routing.tracker import ServerTracker
from endivespindle.schema.generated.backend import (
    GenerateChunk,
    GenerateRequest,
)
from endivespindle.schema.generated.register import BackendServer, Route

__all__ = ["Dispatcher", "GenerationTask"]

_ENGINE_RETRY_FRACTION = 0.1


class GenerationTask(msgspec.Struct, kw_only=True, frozen=True):
    """A generation that any engine of a service may run.

    Attributes:
        request_id: Id of the request.
        service: Service whose engines may run it.
        prompt: Prompt.
        max_tokens: Maximum number of generated tokens.
        priority: Priority; higher runs first.
        timeout_s: Seconds until its deadline.
        trainer: Trainer whose weights are used; empty for those of the service.
        resume_text: Partial completion to continue from.
        resume_tokens: Number of tokens of `resume_text`.
        avoid: Engines to be used only if there is no other.
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
    """Chooses backend servers and retries requests that fail.

    Args:
        ctx: Shared state of the VM.
        engine: Adapter to engines.
        plain: Adapter to plain services.
        chooser: Policy that chooses a backend server.

    Attributes:
        tracker: Load and health of the backend servers.
    """

    __slots__ = (
        "_chooser",
        "_ctx",
        "_engine",
        "_plain",
        "_retry_budgets",
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
        self._retry_budgets: dict[str, RetryBudget] = {}
        self.tracker = ctx.tracker

    async def generate(
        self, task: GenerationTask
    ) -> AsyncIterator[tuple[str, GenerateChunk]]:
        """Streams chunks with the name of the server that generated each.

        Generation has no side effect: a stream that fails is resumed after
        its last token, on another server if there is one.

        Raises:
            RefusedError: No server completed the generation in time.
        """
        attempts = self._new_attempts(
            task.service, _ENGINE_RETRY_FRACTION, task.timeout_s
        )
        hashes = prefix_hashes(task.prompt)
        texts = [task.resume_text]
        tokens = task.resume_tokens
        tried = set(task.avoid)
        while True:
            timeout_s = self._next_timeout_s(attempts)
            server = self._choose_server(
                task.request_id, task.service, hashes, tried, attempts
            )
            req = GenerateRequest(
                request_id=task.request_id,
                prompt=task.prompt,
                max_tokens=task.max_tokens,
                priority=task.priority,
                prefix_hashes=hashes,
                resume_text="".join(texts),
                resume_tokens=tokens,
                trainer=task.trainer,
            )
            try:
                async for chunk in self._run_attempt(server, req, timeout_s):
                    texts.append(chunk.text)
                    tokens += chunk.tokens
                    yield server.name, chunk
                return
            except BackendServerError as exc:
                tried.add(server.name)
                await self._handle_failure(
                    task.request_id,
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
    ) -> ServiceResponse:
        """Sends a call to a plain service.

        A call that may have run is retried only on an idempotent route.

        Raises:
            RefusedError: The call failed; `ran` of the error is its run state.
        """
        attempts = self._new_attempts(
            route.prefix,
            route.retry_budget,
            call.timeout_s,
            repeatable=route.idempotent,
        )
        tried: set[str] = set()
        while True:
            timeout_s = self._next_timeout_s(attempts)
            server = self._choose_server(
                call.request_id, route.service, [], tried, attempts
            )
            recorder = self._begin_attempt(server.name)
            try:
                response = await self._plain.call(
                    server,
                    msgspec.structs.replace(call, timeout_s=timeout_s),
                    max_bytes=max_bytes,
                )
                recorder.outcome = AttemptOutcome.ANSWERED
                return response
            except BackendServerError as exc:
                recorder.record_failure(timeout_s)
                tried.add(server.name)
                error = exc
            finally:
                recorder.close(timed=True)
            await self._handle_failure(call.request_id, attempts, error)

    async def _run_attempt(
        self, server: BackendServer, req: GenerateRequest, timeout_s: float
    ) -> AsyncIterator[GenerateChunk]:
        recorder = self._begin_attempt(server.name, hashes=req.prefix_hashes)
        stream = self._engine.generate(server, req, timeout_s=timeout_s)
        try:
            async with contextlib.aclosing(stream):
                async for chunk in stream:
                    recorder.record_chunk()
                    if chunk.done:
                        recorder.outcome = AttemptOutcome.ANSWERED
                    yield chunk
        except BackendServerError:
            recorder.record_failure(timeout_s)
            raise
        finally:
            recorder.close(timed=False)

    def _begin_attempt(
        self, server: str, *, hashes: list[str] | None = None
    ) -> "_AttemptRecorder":
        self.tracker.begin_request(server, hashes=hashes or [])
        return _AttemptRecorder(
            tracker=self.tracker, clock=self._ctx.clock, server=server
        )

    def _new_attempts(
        self,
        key: str,
        fraction: float,
        timeout_s: float,
        *,
        repeatable: bool = True,
    ) -> RequestAttempts:
        return RequestAttempts(
            repeatable=repeatable,
            budget=self._retry_budget(key, fraction),
            deadline_s=self._ctx.clock.monotonic() + timeout_s,
            rng=self._ctx.rng,
        )

    def _next_timeout_s(self, attempts: RequestAttempts) -> float:
        """Returns the timeout of the next attempt.

        Raises:
            RefusedError: There is no time left for another attempt.
        """
        action = attempts.next_send(now_s=self._ctx.clock.monotonic())
        if isinstance(action, Send):
            return action.timeout_s
        raise _refusal(action)

    async def _handle_failure(
        self,
        request_id: str,
        attempts: RequestAttempts,
        exc: BackendServerError,
        *,
        progressed: bool = False,
    ) -> None:
        """Waits before the next attempt.

        Raises:
            RefusedError: The request must not be tried again.
        """
        action = attempts.record_failure(
            reason=exc.reason,
            ran=exc.ran,
            now_s=self._ctx.clock.monotonic(),
            progressed=progressed,
        )
        if not isinstance(action, Retry):
            raise _refusal(action) from exc
        self._ctx.metrics.count_retry(action.reason)
        self._ctx.record_event(
            request_id, "retry", reason=action.reason.value, error=str(exc)
        )
        await asyncio.sleep(action.backoff_s)

    def _choose_server(
        self,
        request_id: str,
        service: str,
        hashes: list[str],
        tried: set[str],
        attempts: RequestAttempts,
    ) -> BackendServer:
        servers = self._ctx.available_servers(service)
        if not servers:
            raise _refusal(attempts.fail_without_server())
        untried = [server for server in servers if server.name not in tried]
        slots = self._ctx.view().services[service].slots_per_server
        candidates = self.tracker.candidates(
            untried or servers, slots=slots, hashes=hashes
        )
        chosen = self._chooser.choose(candidates)
        self._ctx.record_event(
            request_id,
            "chosen",
            backend_server=chosen.name,
            own_inflight=chosen.own_inflight,
            others_load=chosen.others_load,
            reported_load=chosen.reported_load,
            cached_blocks=chosen.cached_blocks,
        )
        return self._ctx.view().servers[chosen.name]

    def _retry_budget(self, key: str, fraction: float) -> RetryBudget:
        budget = self._retry_budgets.get(key)
        if budget is None:
            budget = self._retry_budgets[key] = RetryBudget(fraction=fraction)
        budget.deposit()
        return budget


class _AttemptRecorder:
    """Reports the outcome of one attempt to the tracker, once.

    Attributes:
        outcome: Outcome of the attempt; `GIVEN_UP` until set.
    """

    __slots__ = ("_clock", "_server", "_start_s", "_tracker", "outcome")

    def __init__(self, *, tracker: ServerTracker, clock: Clock, server: str):
        self._tracker = tracker
        self._clock = clock
        self._server = server
        self._start_s = clock.monotonic()
        self.outcome = AttemptOutcome.GIVEN_UP

    def record_chunk(self) -> None:
        """Records that a chunk of the response was received."""
        self._tracker.record_progress(self._server)

    def record_failure(self, timeout_s: float) -> None:
        """Records that the attempt failed or timed out."""
        timed_out = self._clock.monotonic() - self._start_s >= timeout_s
        self.outcome = (
            AttemptOutcome.TIMED_OUT if timed_out else AttemptOutcome.FAILED
        )

    def close(self, *, timed: bool) -> None:
        """Reports the end of the attempt to the tracker.

        Args:
            timed: Whether the duration of a successful attempt is a measure
                of the server; the duration of others is always reported.
        """
        elapsed_s = self._clock.monotonic() - self._start_s
        if not timed and self.outcome is AttemptOutcome.ANSWERED:
            self._tracker.end_request(self._server, self.outcome)
            return
        self._tracker.end_request(
            self._server, self.outcome, duration_s=elapsed_s
        )


def _refusal(failure: Failure) -> RefusedError:
    return RefusedError(
        failure.reason, ran=failure.ran, retry_after_s=failure.retry_after_s
    )
