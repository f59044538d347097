"""Calls to backend servers, and what is known of their outcome."""

import abc
import contextlib
from collections.abc import AsyncIterator, Sequence

import msgspec

from endivespindle.serving.directory import ServerEntry

__all__ = [
    "ServerResponse",
    "ResponseHead",
    "OrderResponse",
    "ServerApi",
    "ServerCall",
    "ServerLoad",
    "ServerReport",
    "StreamEvent",
    "VersionOrder",
]


class ServerCall(msgspec.Struct, kw_only=True, frozen=True):
    """A request as it is sent to a backend server.

    Attributes:
        request_id: Identity of the request; the answer repeats it.
        method: HTTP method.
        target: Path and query, as the caller wrote them.
        host: Host header.
        headers: The caller's headers that are not the connection's own.
        body: Whole body.
        client_account: Client account it runs for; empty if there is none.
        deadline_s: Seconds the server may take; None sends no deadline.
        last_event_id: Event after which a stream goes on; None from its
            start.
        urgency: Rank among the server's requests, 0 first; None leaves it to
            the server.
        may_repeat: Whether running it twice does no harm.
    """

    request_id: str
    method: str
    target: str
    host: str
    headers: Sequence[tuple[str, str]]
    body: bytes
    client_account: str = ""
    deadline_s: float | None = None
    last_event_id: str | None = None
    urgency: int | None = None
    may_repeat: bool = True


class ServerLoad(msgspec.Struct, kw_only=True, frozen=True):
    """Load that an answer told of."""

    running: int
    waiting: int


class ResponseHead(msgspec.Struct, kw_only=True, frozen=True):
    """Status and headers of a backend server's answer.

    Attributes:
        status: HTTP status.
        headers: Headers that are not the connection's own.
        not_run: Whether the server says that it did not run the request.
        signature: The server's signature of its answer; empty if there is
            none.
        weight_version: Weight version it began under, if it says so.
        load: Load told of, if any.
    """

    status: int
    headers: Sequence[tuple[str, str]]
    not_run: bool
    signature: str
    weight_version: int | None = None
    load: ServerLoad | None = None


class StreamEvent(msgspec.Struct, kw_only=True, frozen=True):
    """One whole event of a stream.

    Attributes:
        event_id: Its number; numbers rise by one.
        data: Its text.
        weight_version: Version from this event on, if it changed here.
        raw: Its bytes, with the blank line that ends it.
    """

    event_id: int
    data: str
    weight_version: int | None
    raw: bytes


class ServerResponse(abc.ABC):
    """An answer that is being read."""

    __slots__ = ()

    head: ResponseHead

    @abc.abstractmethod
    async def read(self) -> bytes:
        """Returns the whole body.

        Raises:
            BackendServerError: It ended early or is malformed.
        """

    @abc.abstractmethod
    def events(self) -> AsyncIterator[StreamEvent]:
        """Yields the events of a stream as they come.

        Raises:
            BackendServerError: The stream broke off or is malformed.
        """


class VersionOrder(msgspec.Struct, kw_only=True, frozen=True):
    """An order to load a weight version while running requests go on.

    Attributes:
        model: Model.
        version: Version to load.
        holder: Who orders.
        epoch: Epoch of the lease under which it does.
        after: Orders the server must have accepted so far; an order that is
            carried out late, after others, is refused by it.
    """

    model: str
    version: int
    holder: str
    epoch: int
    after: int


class OrderResponse(msgspec.Struct, kw_only=True, frozen=True):
    """What a server said to an order.

    Attributes:
        accepted: Whether it holds already or is being carried out.
        busy: Whether another order is in progress.
    """

    accepted: bool
    busy: bool = False


class ServerReport(msgspec.Struct, kw_only=True, frozen=True):
    """What a server says of itself, as of some hundred milliseconds ago.

    Attributes:
        orders: Orders it accepted since its start.
        busy: Whether an order is in progress.
        versions: Weight version by model.
    """

    orders: int
    busy: bool
    versions: dict[str, int]


class ServerApi(abc.ABC):
    """Speaks to backend servers."""

    __slots__ = ()

    @abc.abstractmethod
    def send(
        self, server: ServerEntry, call: ServerCall, *, timeout_s: float | None
    ) -> contextlib.AbstractAsyncContextManager[ServerResponse]:
        """Sends a request and returns its answer once the head is in.

        Leaving the context before the answer was read whole closes the
        connection, which cancels the request.

        Raises:
            BackendServerError: No answer; it says whether it can have run.
        """

    @abc.abstractmethod
    async def report(
        self, server: ServerEntry, *, timeout_s: float
    ) -> ServerReport:
        """Returns what a server says of itself.

        Raises:
            BackendServerError: No answer, or a malformed one.
        """

    @abc.abstractmethod
    async def order_version(
        self, server: ServerEntry, order: VersionOrder, *, timeout_s: float
    ) -> OrderResponse:
        """Sends an order; an accepted one may still be under way.

        Raises:
            BackendServerError: No answer, or the address is another server's.
        """
