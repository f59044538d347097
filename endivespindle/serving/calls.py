"""Interface to backend servers: requests, responses and orders."""

import abc
import contextlib
from collections.abc import AsyncIterator, Sequence

import msgspec

from endivespindle.serving.server_entry import ServerEntry

__all__ = [
    "EVENT_STREAM_TYPE",
    "OrderResponse",
    "ResponseHead",
    "ServerApi",
    "ServerCall",
    "ServerLoad",
    "ServerReport",
    "ServerResponse",
    "StreamEvent",
    "VersionOrder",
]

EVENT_STREAM_TYPE = "text/event-stream"


class ServerCall(msgspec.Struct, kw_only=True, frozen=True):
    """A request as sent to a backend server.

    Attributes:
        request_id: Identity of the request; the response repeats it.
        method: HTTP method.
        target: Path and query, as sent by the caller.
        host: Host header.
        headers: The caller's end-to-end headers.
        body: Request body.
        client_account: Client account it runs for; empty if there is none.
        deadline_s: Seconds the server may take; None sends no deadline.
        last_event_id: Event after which a stream resumes; None starts it from
            the beginning.
        urgency: Priority among the server's requests, 0 is the highest; None
            leaves it to the server.
        may_repeat: Whether the request may safely run twice.
        connect_timeout_s: Seconds within which a connection must be accepted;
            None for the client's own limit.
        may_wait: Whether a silent server is waited for until the timeout of the
            exchange, as no other server may go on with the request. Earlier
            versions do not know it and give up.
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
    connect_timeout_s: float | None = None
    may_wait: bool = False


class ServerLoad(msgspec.Struct, kw_only=True, frozen=True):
    """Load reported by a response.

    Attributes:
        running: Requests that run at the server.
        waiting: Requests in its queue.
        pace: How long work takes there now, as a multiple of the usual time;
            None if it does not say.
    """

    running: int
    waiting: int
    pace: float | None = None


class ResponseHead(msgspec.Struct, kw_only=True, frozen=True):
    """Status and headers of a backend server's response.

    Attributes:
        status: HTTP status.
        headers: End-to-end headers.
        not_run: Whether the server reports that it did not run the request.
        signature: The server's signature of the response; empty if there is
            none.
        weight_version: Weight version at the start of the response, if
            reported.
        load: Reported load, if any.
        leaving: Whether the server announces its shutdown.
        limit_per_s: Requests per second that the server accepts from all VMs;
            None if it names no limit.
        cold_for_s: Seconds for which the server stays cold; None if it does
            not say.
    """

    status: int
    headers: Sequence[tuple[str, str]]
    not_run: bool
    signature: str
    weight_version: int | None = None
    load: ServerLoad | None = None
    leaving: bool = False
    limit_per_s: float | None = None
    cold_for_s: float | None = None

    @property
    def is_unsigned_success(self) -> bool:
        """Whether it claims success without the server's signature."""
        return 200 <= self.status < 300 and not self.signature

    @property
    def content_type(self) -> str:
        """Media type of the body, without parameters; empty if not named."""
        for name, value in self.headers:
            if name.lower() == "content-type":
                return value.partition(";")[0].strip().lower()
        return ""

    @property
    def may_be_stream(self) -> bool:
        """Whether the body may be a stream of events."""
        return self.status == 200 and self.content_type in (
            "",
            EVENT_STREAM_TYPE,
        )


class StreamEvent(msgspec.Struct, kw_only=True, frozen=True):
    """One complete event of a stream.

    Attributes:
        event_id: Number of the event, one higher than that of the event
            before.
        data: Text of the event.
        weight_version: Weight version from this event on, if it changes here.
        raw: Encoded event, including the blank line that ends it.
    """

    event_id: int
    data: str
    weight_version: int | None
    raw: bytes


class ServerResponse(abc.ABC):
    """A response whose body is being read."""

    __slots__ = ()

    head: ResponseHead

    @abc.abstractmethod
    async def read(self) -> bytes:
        """Returns the complete body.

        Raises:
            BackendServerError: The body ended early or is malformed.
        """

    @abc.abstractmethod
    def events(self) -> AsyncIterator[StreamEvent]:
        """Yields the events of a stream as they arrive.

        Raises:
            BackendServerError: The stream ended early or is malformed.
        """


class VersionOrder(msgspec.Struct, kw_only=True, frozen=True):
    """An order to load a weight version while running requests continue.

    Attributes:
        model: Model.
        version: Version to load.
        holder: Lease holder that sends the order.
        epoch: Epoch of its lease, used as the fencing token.
        after: Number of orders the server must have accepted before; the
            server refuses an order that arrives late, after others.
    """

    model: str
    version: int
    holder: str
    epoch: int
    after: int


class OrderResponse(msgspec.Struct, kw_only=True, frozen=True):
    """Response of a server to an order.

    Attributes:
        accepted: Whether the order is already fulfilled or in progress.
        busy: Whether another order is in progress.
        leaving: Whether the server announces its shutdown.
    """

    accepted: bool
    busy: bool = False
    leaving: bool = False


class ServerReport(msgspec.Struct, kw_only=True, frozen=True):
    """State reported by a server; a few hundred milliseconds old.

    Attributes:
        orders: Number of orders accepted since its start.
        busy: Whether an order is in progress.
        versions: Weight version by model.
        leaving: Whether the server announces its shutdown.
    """

    orders: int
    busy: bool
    versions: dict[str, int]
    leaving: bool = False


class ServerApi(abc.ABC):
    """Sends requests and orders to backend servers."""

    __slots__ = ()

    @abc.abstractmethod
    def send(
        self, server: ServerEntry, call: ServerCall, *, timeout_s: float | None
    ) -> contextlib.AbstractAsyncContextManager[ServerResponse]:
        """Sends a request and returns the response once its head is received.

        Leaving the context before the response has been read completely closes
        the connection, which cancels the request.

        Raises:
            BackendServerError: No response; `ran` states whether the request
                may have run.
        """

    @abc.abstractmethod
    async def report(
        self, server: ServerEntry, *, timeout_s: float
    ) -> ServerReport:
        """Returns the state reported by a server.

        Raises:
            BackendServerError: No response, or a malformed one.
        """

    @abc.abstractmethod
    async def order_version(
        self, server: ServerEntry, order: VersionOrder, *, timeout_s: float
    ) -> OrderResponse:
        """Sends an order; an accepted one may still be in progress.

        Raises:
            BackendServerError: No response, or another server has the address.
        """
