"""Sends requests directly and records whether servers are reached."""

import contextlib
import functools
from collections.abc import AsyncIterator, Callable

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


class MonitoredServerApi(ServerApi):
    """Sends requests directly and records which of them get a response.

    Args:
        api: Client for backend servers.
        paths: Records the outcomes.
    """

    __slots__ = ("_api", "_paths")

    def __init__(self, *, api: ServerApi, paths: ServerPaths):
        self._api = api
        self._paths = paths

    @contextlib.asynccontextmanager
    async def send(
        self, server: ServerEntry, call: ServerCall, *, timeout_s: float | None
    ) -> AsyncIterator[ServerResponse]:
        """Sends a request; see `ServerApi`."""
        service = server.service
        number = self._paths.begin(service, server.name)
        async with contextlib.AsyncExitStack() as stack:
            try:
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
            number = self._paths.begin_response(service)
            try:
                yield _MonitoredResponse(
                    response=response,
                    on_data=functools.partial(self._paths.record_data, service),
                )
            finally:
                self._paths.end_response(service, number)

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


class _MonitoredResponse(ServerResponse):
    """A response that tells when data arrives.

    Args:
        response: The response.
        on_data: Called when an event or the whole body has arrived.
    """

    __slots__ = ("_on_data", "_response", "head")

    def __init__(
        self, *, response: ServerResponse, on_data: Callable[[], None]
    ):
        self.head = response.head
        self._response = response
        self._on_data = on_data

    async def read(self) -> bytes:
        """Returns the complete body."""
        body = await self._response.read()
        self._on_data()
        return body

    async def events(self) -> AsyncIterator[StreamEvent]:
        """Yields the events of a stream as they arrive."""
        async for event in self._response.events():
            self._on_data()
            yield event
