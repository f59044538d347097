"""Bounded pool of connections to peers."""

import collections

import msgspec

from endivespindle.peers.envelope import EnvelopeOpener, EnvelopeSealer
from endivespindle.peers.transport import PeerChannel
from endivespindle.schema.generated.peer import MemberUpdate, PeerReply

__all__ = ["PeerConnectionPool"]

_MAX_CONNECTIONS = 32


class _PooledConnection:
    """Pooled connection.

    Attributes:
        address: Host and port of the peer.
        channel: Connection to the peer.
        calls: Number of calls in flight.
    """

    __slots__ = ("address", "calls", "channel")

    def __init__(self, *, address: str, channel: PeerChannel):
        self.address = address
        self.channel = channel
        self.calls = 0


class PeerConnectionPool:
    """LRU pool of connections; reconnects when a peer's address changes.

    Connections with calls in flight are kept, also above the limit.

    Args:
        sealer: Signs the requests.
        opener: Authenticates the replies.
        timeout_s: Timeout of a call, in seconds.
    """

    __slots__ = ("_connections", "_opener", "_sealer", "_timeout_s")

    def __init__(
        self,
        *,
        sealer: EnvelopeSealer,
        opener: EnvelopeOpener,
        timeout_s: float,
    ):
        self._sealer = sealer
        self._opener = opener
        self._timeout_s = timeout_s
        self._connections: collections.OrderedDict[str, _PooledConnection] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._connections)

    async def call(
        self, peer: MemberUpdate, message: msgspec.Struct
    ) -> PeerReply:
        """Calls a peer at the address in its membership record.

        Raises:
            PeerError: There was no valid reply within the timeout.
        """
        conn = self._get_connection(peer)
        conn.calls += 1
        try:
            return await conn.channel.call(message)
        finally:
            conn.calls -= 1

    def close(self) -> None:
        """Closes all connections."""
        for conn in self._connections.values():
            conn.channel.close()
        self._connections.clear()

    def _get_connection(self, peer: MemberUpdate) -> _PooledConnection:
        address = f"{peer.host}:{peer.peer_port}"
        conn = self._connections.get(peer.vm)
        if conn is not None and conn.address != address:
            self._connections.pop(peer.vm).channel.close()
            conn = None
        if conn is None:
            conn = self._connections[peer.vm] = _PooledConnection(
                address=address,
                channel=PeerChannel(
                    peer=peer.vm,
                    host=peer.host,
                    port=peer.peer_port,
                    sealer=self._sealer,
                    opener=self._opener,
                    timeout_s=self._timeout_s,
                ),
            )
        self._connections.move_to_end(peer.vm)
        self._close_surplus()
        return conn

    def _close_surplus(self) -> None:
        """Closes surplus idle connections, least recently used first."""
        surplus = len(self._connections) - _MAX_CONNECTIONS
        older = list(self._connections.items())[:-1]
        idle = [name for name, conn in older if not conn.calls]
        for name in idle[: max(0, surplus)]:
            self._connections.pop(name).channel.close()
