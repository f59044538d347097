"""Sends requests directly and records whether servers are reached."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

from endivespindle.backends.exchange import silent_error
from endivespindle.core.clock import Clock
from endivespindle.core.reasons import Reason
from endivespindle.exceptions import BackendServerError
from endivespindle.schema.generated.caller import RunState
from endivespindle.serving.calls import (
    OrderResponse,
    ServerApi,
    ServerCall,
    ServerReport,
    ServerResponse,
    StreamEvent,
    VersionOrder,
)
from endivespindle.serving.server_entry import ServerEntry
from endivespindle.serving.server_paths import ServerPaths

__all__ = ["MonitoredServerApi"]

# Time without data after which an attempt ends when its path is lost. An open
# connection may live on while new ones are refused.
_SILENCE_S = 0.2


class MonitoredServerApi(ServerApi):
    """Sends requests directly and records which of them get a response.

    Args:
        api: Client for backend servers.
        paths: Records the outcomes.
        clock: Clock of this VM.
    """

    __slots__ = ("_api", "_attempts", "_clock", "_paths")

    def __init__(self, *, api: ServerApi, paths: ServerPaths, clock: Clock):
        self._api = api
        self._paths = paths
        self._clock = clock
        self._attempts: dict[str, set[_Attempt]] = {}

    @contextlib.asynccontextmanager
    async def send(
        self, server: ServerEntry, call: ServerCall, *, timeout_s: float | None
    ) -> AsyncIterator[ServerResponse]:
        """Sends a request; see `ServerApi`."""
        service = server.service
        attempt = _Attempt(
            service=service,
            paths=self._paths,
            clock=self._clock,
            may_repeat=call.may_repeat,
        )
        attempts = self._attempts.setdefault(service, set())
        attempts.add(attempt)
        try:
            async with contextlib.AsyncExitStack() as stack:
                response = await self._open(
                    stack, attempt, server, call, timeout_s=timeout_s
                )
                number = self._paths.begin_response(service)
                try:
                    yield _MonitoredResponse(response=response, attempt=attempt)
                finally:
                    self._paths.end_response(service, number)
        finally:
            attempts.discard(attempt)

    async def _open(
        self,
        stack: contextlib.AsyncExitStack,
        attempt: "_Attempt",
        server: ServerEntry,
        call: ServerCall,
        *,
        timeout_s: float | None,
    ) -> ServerResponse:
        """Sends a request and waits for the head of its response."""
        service = server.service
        number = self._paths.begin(service, server.name)
        try:
            async with attempt.awaiting():
                response = await stack.enter_async_context(
                    self._api.send(server, call, timeout_s=timeout_s)
                )
        except BackendServerError as exc:
            self._paths.end(
                service,
                number,
                # Also a response to another request shows that it is there.
                has_responded=exc.reason is Reason.ANSWER_MISMATCH,
                was_refused=exc.ran is RunState.NOT_RUN,
            )
            raise
        except BaseException:
            self._paths.abandon(service, number)
            raise
        self._paths.end(service, number, has_responded=True)
        attempt.record_data()
        return response

    def end_silent_attempts(self, service: str) -> int:
        """Ends the attempts that lost their path and may be repeated.

        Returns:
            Their number.
        """
        lost = [a for a in self._attempts.get(service, ()) if a.is_silent()]
        for attempt in lost:
            attempt.end()
        return len(lost)

    async def report(
        self, server: ServerEntry, *, timeout_s: float
    ) -> ServerReport:
        """Returns the state reported by a server."""
        return await self._api.report(server, timeout_s=timeout_s)

    async def order_version(
        self, server: ServerEntry, order: VersionOrder, *, timeout_s: float
    ) -> OrderResponse:
        """Sends an order."""
        return await self._api.order_version(server, order, timeout_s=timeout_s)


class _Attempt:
    """An attempt that can be ended when its path is lost."""

    __slots__ = (
        "_clock",
        "_data_s",
        "_may_repeat",
        "_paths",
        "_scope",
        "_service",
    )

    def __init__(
        self,
        *,
        service: str,
        paths: ServerPaths,
        clock: Clock,
        may_repeat: bool,
    ):
        self._service = service
        self._paths = paths
        self._clock = clock
        self._may_repeat = may_repeat
        self._data_s = clock.monotonic()
        self._scope: asyncio.Timeout | None = None

    @contextlib.asynccontextmanager
    async def awaiting(self) -> AsyncIterator[None]:
        """Marks that data from the server is awaited.

        Raises:
            BackendServerError: The path was lost meanwhile.
        """
        try:
            async with asyncio.timeout(None) as self._scope:
                yield
        except TimeoutError as exc:
            raise silent_error(exc) from exc
        finally:
            self._scope = None

    def record_data(self) -> None:
        """Records that a part of the response arrived."""
        self._data_s = self._clock.monotonic()
        self._paths.record_data(self._service)

    def is_silent(self) -> bool:
        """Returns whether it waits for data, and may be repeated."""
        return (
            self._may_repeat
            and self._scope is not None
            and self._clock.monotonic() - self._data_s >= _SILENCE_S
        )

    def end(self) -> None:
        """Ends it as if the server had been silent."""
        scope, self._scope = self._scope, None
        if scope is not None:
            scope.reschedule(asyncio.get_running_loop().time())


class _MonitoredResponse(ServerResponse):
    """A response that records when data arrives."""

    __slots__ = ("_attempt", "_response", "head")

    def __init__(self, *, response: ServerResponse, attempt: _Attempt):
        self.head = response.head
        self._response = response
        self._attempt = attempt

    async def read(self) -> bytes:
        """Returns the complete body."""
        async with self._attempt.awaiting():
            body = await self._response.read()
        self._attempt.record_data()
        return body

    async def events(self) -> AsyncIterator[StreamEvent]:
        """Yields the events of a stream as they arrive."""
        events = self._response.events()
        while True:
            try:
                async with self._attempt.awaiting():
                    event = await anext(events)
            except StopAsyncIteration:
                return
            self._attempt.record_data()
            yield event
