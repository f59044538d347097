"""HTTP sessions of a node, whose sockets notice a silent far side."""

import socket
import struct

import aiohttp

from endivespindle.backends.sessions import (
    SocketFactory,
    open_single_use_session,
)

__all__ = [
    "open_lease_holder_session",
    "open_node_session",
    "open_single_use_backend_session",
    "open_backend_session",
    "tune_backend_socket",
    "tune_node_socket",
]

# A connection whose far side acknowledges nothing for this long is dropped:
# shorter than the time in which a cut must be noticed, far over a round trip.
_SILENT_MS = 2000
_PROBE_AFTER_S = 1
_PROBE_INTERVAL_S = 1
_PROBES = 2
# l_onoff and l_linger of `struct linger`.
_DROP_ON_CLOSE = struct.pack("ii", 1, 0)
# Kept shorter than the servers' own idle timeout, so that none is reused as
# it is being closed.
_KEEPALIVE_S = 8.0


def tune_backend_socket(sock: socket.socket) -> None:
    """Makes closing a connection drop what is still under way.

    A request that was given up must not arrive once a cut heals. So the
    system's own time-outs stay off: a connection that it drops is never reset,
    and what a cut has held up may arrive all the same. Who sends a request
    bounds its time.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _DROP_ON_CLOSE)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def tune_node_socket(sock: socket.socket) -> None:
    """Makes a connection fail once its far side is gone."""
    tune_backend_socket(sock)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _PROBE_AFTER_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _PROBE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _SILENT_MS)


def _socket(addr_info: tuple) -> socket.socket:
    family, kind, proto, _, _ = addr_info
    sock = socket.socket(family=family, type=kind, proto=proto)
    tune_node_socket(sock)
    return sock


def _server_socket(addr_info: tuple) -> socket.socket:
    family, kind, proto, _, _ = addr_info
    sock = socket.socket(family=family, type=kind, proto=proto)
    tune_backend_socket(sock)
    return sock


def open_node_session() -> aiohttp.ClientSession:
    """Returns a session for calls to the store and to other nodes."""
    return _pooled(_socket)


def open_backend_session() -> aiohttp.ClientSession:
    """Returns a session for requests to backend servers."""
    return _pooled(_server_socket)


def _pooled(socket_factory: SocketFactory) -> aiohttp.ClientSession:
    """Returns a session that pools connections and repeats nothing."""
    session = aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(
            limit=0,
            keepalive_timeout=_KEEPALIVE_S,
            socket_factory=socket_factory,
            use_dns_cache=False,
        ),
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        max_line_size=65_536,
        max_field_size=65_536,
    )
    # The library has no public switch; it would repeat a conditional write.
    session._retry_connection = False
    return session


def open_lease_holder_session() -> aiohttp.ClientSession:
    """Returns a session for calls that only the holder of a lease makes."""
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(
            limit=0, force_close=True, socket_factory=_socket
        ),
        cookie_jar=aiohttp.DummyCookieJar(),
    )


def open_single_use_backend_session() -> aiohttp.ClientSession:
    """Returns a session for requests that must not be sent twice."""
    return open_single_use_session(socket_factory=_server_socket)
