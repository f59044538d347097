"""Connections whose responses are counted, and their reuse."""

import asyncio
import functools
import weakref
from typing import Any

import aiohttp
import yarl
from aiohttp.client_proto import ResponseHandler

__all__ = ["BoundedConnector", "IdentifiedConnector", "close_carrier"]

# Interim responses that may precede a response.
_MAX_INTERIM_RESPONSES = 16
_SWITCHING_PROTOCOLS = 101

# Requests that one connection carries. It bounds the ids that are remembered;
# opening a connection anew for one request in this many costs little.
_MAX_REQUESTS = 256


class _BoundedHandler(ResponseHandler):
    """Closes a connection on which more comes in than its request allows.

    aiohttp keeps all responses that come in until they are read. A faulty
    server may send interim responses, or responses to nothing, without end.

    Args:
        loop: Event loop.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop):
        super().__init__(loop)
        self._interim_responses = 0
        self._is_answered = False

    def begin_request(self) -> None:
        """Allows one response, with the interim ones before it."""
        self._interim_responses = 0
        self._is_answered = False

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Receives the head of a response."""
        message, _ = data
        is_interim = (
            100 <= message.code <= 199 and message.code != _SWITCHING_PROTOCOLS
        )
        if self._is_answered or (
            is_interim and self._interim_responses >= _MAX_INTERIM_RESPONSES
        ):
            self.force_close()
            if self.transport is not None:
                self.transport.close()
            if not self._is_answered:
                self.set_exception(
                    aiohttp.ClientPayloadError("too many interim responses")
                )
            return
        self._is_answered = not is_interim
        self._interim_responses += is_interim
        super().feed_data(data, size)


class BoundedConnector(aiohttp.TCPConnector):
    """Opens connections that carry one response for each request.

    Args:
        options: Options of `aiohttp.TCPConnector`.
    """

    def __init__(self, **options: Any):
        super().__init__(**options)
        handler: type[ResponseHandler] = _BoundedHandler
        self._factory = functools.partial(handler, loop=self._loop)

    async def connect(
        self,
        req: aiohttp.ClientRequest,
        traces: list[Any],
        timeout: aiohttp.ClientTimeout,
    ) -> aiohttp.connector.Connection:
        """Returns a connection on which the request's response may come."""
        conn = await super().connect(req, traces, timeout)
        if isinstance(conn.protocol, _BoundedHandler):
            conn.protocol.begin_request()
        return conn


class _Carried:
    """What a connection has carried.

    Attributes:
        peer: Host and port that it leads to.
        request_ids: Ids of the requests, in order.
    """

    __slots__ = ("peer", "request_ids")

    def __init__(self, *, peer: tuple[str | None, int | None]):
        self.peer = peer
        self.request_ids: dict[str, None] = {}

    def may_carry(self, request_id: str | None) -> bool:
        """Returns whether a response to a request could be told apart."""
        return (
            request_id not in self.request_ids
            and len(self.request_ids) < _MAX_REQUESTS
        )


class IdentifiedConnector(BoundedConnector):
    """Keeps connections, and never sends two requests with one id on one.

    A response is matched to its request by the id. A server may send a response
    again, much later and also after further exchanges, and callers may send a
    request again under its id: a second request with the id would take the
    repeated response to the first one for its own.

    A connection on which bytes came in while it was idle is not used again.

    Args:
        id_header: Header with the id of a request; None if there is none.
        options: Options of `aiohttp.TCPConnector`.
    """

    def __init__(self, *, id_header: str | None = None, **options: Any):
        super().__init__(**options)
        self._id_header = id_header
        self._carried: weakref.WeakKeyDictionary[
            aiohttp.client_proto.ResponseHandler, _Carried
        ] = weakref.WeakKeyDictionary()

    async def connect(
        self,
        req: aiohttp.ClientRequest,
        traces: list[Any],
        timeout: aiohttp.ClientTimeout,
    ) -> aiohttp.connector.Connection:
        """Returns a connection that has not carried the request's id.

        Kept connections that cannot be used for the request are closed. A new
        one is used in any case: a server that sends bytes before a request
        would be connected to without end.
        """
        request_id = (
            req.headers.get(self._id_header) if self._id_header else None
        )
        while True:
            conn = await super().connect(req, traces, timeout)
            protocol = conn.protocol
            if protocol is None:
                continue
            carried = self._carried.get(protocol)
            if carried is None:
                carried = _Carried(peer=(req.url.host, req.url.port))
                self._carried[protocol] = carried
            elif protocol.should_close or not carried.may_carry(request_id):
                conn.close()
                continue
            if request_id is not None:
                carried.request_ids[request_id] = None
            return conn

    def close_carrier(self, url: yarl.URL, request_id: str) -> None:
        """Closes the connection to a server whose last request had an id.

        A complete response releases its connection at once, so that the
        response itself can no longer close it.
        """
        peer = (url.host, url.port)
        for protocol, carried in list(self._carried.items()):
            last_id = next(reversed(carried.request_ids), None)
            if carried.peer == peer and last_id == request_id:
                protocol.close()


def close_carrier(
    session: aiohttp.ClientSession, url: yarl.URL, request_id: str
) -> None:
    """Closes the connection on which a request was sent, if it is kept.

    Its own response may still come there after one that is not its own.
    """
    if isinstance(session.connector, IdentifiedConnector):
        session.connector.close_carrier(url, request_id)
