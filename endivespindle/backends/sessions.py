"""HTTP client sessions for the platform and backend servers."""

import socket
import types
from collections.abc import Callable
from typing import Any

import aiohttp

from endivespindle.backends.connections import BoundedConnector
from endivespindle.core.reasons import Reason
from endivespindle.exceptions import BackendServerError
from endivespindle.schema.generated.caller import RunState

__all__ = [
    "SocketFactory",
    "ConnectionCount",
    "open_session",
    "open_single_use_session",
]


SocketFactory = Callable[[tuple[Any, ...]], socket.socket]


class ConnectionCount:
    """Number of connections opened for one exchange."""

    __slots__ = ("opened",)

    def __init__(self) -> None:
        self.opened = 0


def open_session() -> aiohttp.ClientSession:
    """Returns a session that pools connections and stores no cookies."""
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0),
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
    )


def open_single_use_session(
    *, socket_factory: SocketFactory | None = None
) -> aiohttp.ClientSession:
    """Returns a session that uses each connection for one exchange.

    aiohttp retries idempotent methods such as GET and PUT by itself after a
    lost connection. A second connection for the same exchange is refused
    before anything is sent over it. Each request must pass a
    `ConnectionCount` as `trace_request_ctx`.

    Args:
        socket_factory: Creates the sockets; None for aiohttp's default.
    """
    trace = aiohttp.TraceConfig()
    trace.on_connection_create_start.append(_refuse_second_connection)
    return aiohttp.ClientSession(
        connector=BoundedConnector(
            limit=0, force_close=True, socket_factory=socket_factory
        ),
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        trace_configs=[trace],
    )


async def _refuse_second_connection(
    session: aiohttp.ClientSession,
    context: types.SimpleNamespace,
    params: aiohttp.TraceConnectionCreateStartParams,
) -> None:
    del session, params
    count = context.trace_request_ctx
    count.opened += 1
    if count.opened > 1:
        raise BackendServerError(
            "the connection was lost",
            ran=RunState.UNKNOWN,
            reason=Reason.BACKEND_LOST,
        )
