"""Reuse of connections, one request with an id at most on each."""

import weakref
from typing import Any

import aiohttp

__all__ = ["IdentifiedConnector"]

# Requests that one connection carries. It bounds the ids that are remembered;
# opening a connection anew for one request in this many costs little.
_MAX_REQUESTS = 256


class IdentifiedConnector(aiohttp.TCPConnector):
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
        self._sent_ids: weakref.WeakKeyDictionary[object, set[str]] = (
            weakref.WeakKeyDictionary()
        )

    async def connect(
        self,
        req: aiohttp.ClientRequest,
        traces: list[Any],
        timeout: aiohttp.ClientTimeout,
    ) -> aiohttp.connector.Connection:
        """Returns a connection that has not carried the request's id.

        Kept connections that cannot be used for the request are closed.
        """
        request_id = (
            req.headers.get(self._id_header) if self._id_header else None
        )
        while True:
            conn = await super().connect(req, traces, timeout)
            if self._may_carry(conn, request_id):
                return conn
            conn.close()

    def _may_carry(
        self, conn: aiohttp.connector.Connection, request_id: str | None
    ) -> bool:
        """Returns whether a connection may carry a request, and records it."""
        protocol = conn.protocol
        if protocol is None or protocol.should_close:
            return False
        if request_id is None:
            return True
        sent_ids = self._sent_ids.setdefault(protocol, set())
        if request_id in sent_ids or len(sent_ids) >= _MAX_REQUESTS:
            return False
        sent_ids.add(request_id)
        return True
