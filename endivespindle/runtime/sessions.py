"""HTTP sessions of a node, with socket options for lost connections."""

import socket
import struct

import aiohttp

from endivespindle.backends.connections import IdentifiedConnector
from endivespindle.backends.sessions import (
    SocketFactory,
    open_single_use_session,
)
from endivespindle.platform.headers import REQUEST_ID_HEADER

__all__ = [
    "open_backend_session",
    "open_lease_holder_session",
    "open_node_session",
    "open_single_use_backend_session",
    "tune_backend_socket",
    "tune_node_socket",
]

# A connection is closed once the peer has acknowledged nothing for this long:
# less than the time within which a network partition must be detected, and much
# more than a round trip.
_USER_TIMEOUT_MS = 2000
_KEEPALIVE_IDLE_S = 1
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 2
# l_onoff and l_linger of `struct linger`: closing resets the connection.
_LINGER_RESET = struct.pack("ii", 1, 0)
# Shorter than the idle timeout of the servers, so that no connection is reused
# while the server closes it.
_IDLE_TIMEOUT_S = 8.0


def tune_backend_socket(sock: socket.socket) -> None:
    """Configures a socket to reset its connection when it is closed.

    Unsent data is discarded: an abandoned request must not arrive after a
    network partition has ended. The timeouts of the operating system therefore
    stay off: a connection that it times out is not reset, so that data delayed
    by the partition could still arrive. The sender of a request must set a
    timeout.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def tune_node_socket(sock: socket.socket) -> None:
    """Configures a socket to fail once its peer is unreachable."""
    tune_backend_socket(sock)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S
    )
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS
    )


def _open_node_socket(addr_info: tuple) -> socket.socket:
    family, kind, proto, _, _ = addr_info
    sock = socket.socket(family=family, type=kind, proto=proto)
    tune_node_socket(sock)
    return sock


def _open_backend_socket(addr_info: tuple) -> socket.socket:
    family, kind, proto, _, _ = addr_info
    sock = socket.socket(family=family, type=kind, proto=proto)
    tune_backend_socket(sock)
    return sock


def open_node_session() -> aiohttp.ClientSession:
    """Returns a pooled session for calls to the store and to other nodes."""
    return _open_pooled_session(_open_node_socket)


def open_backend_session() -> aiohttp.ClientSession:
    """Returns a pooled session for requests to backend servers."""
    return _open_pooled_session(
        _open_backend_socket, id_header=REQUEST_ID_HEADER
    )


def _open_pooled_session(
    socket_factory: SocketFactory, *, id_header: str | None = None
) -> aiohttp.ClientSession:
    """Returns a session that pools connections and never retries a request."""
    session = aiohttp.ClientSession(
        connector=IdentifiedConnector(
            id_header=id_header,
            limit=0,
            keepalive_timeout=_IDLE_TIMEOUT_S,
            socket_factory=socket_factory,
            use_dns_cache=False,
        ),
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        max_line_size=65_536,
        max_field_size=65_536,
    )
    # aiohttp has no public option to disable its retry, which would repeat a
    # conditional write.
    session._retry_connection = False
    return session


def open_lease_holder_session() -> aiohttp.ClientSession:
    """Returns a session for calls that only the holder of a lease may make."""
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(
            limit=0, force_close=True, socket_factory=_open_node_socket
        ),
        cookie_jar=aiohttp.DummyCookieJar(),
    )


def open_single_use_backend_session() -> aiohttp.ClientSession:
    """Returns a session for requests that must be sent at most once."""
    return open_single_use_session(socket_factory=_open_backend_socket)
