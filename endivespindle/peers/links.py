"""Bounded pool of connections to peers."""

import collections

import msgspec

from endivespindle.peers.envelope import EnvelopeOpener, EnvelopeSealer
from endivespindle.peers.transport import PeerChannel
from endivespindle.schema.generated.peer import MemberUpdate, PeerReply

__all__ = ["PeerConnectionPool"]

_MAX_LINKS = 32


class _Link:
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

    __slots__ = ("_links", "_opener", "_sealer", "_timeout_s")

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
        self._links: collections.OrderedDict[str, _Link] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._links)

    async def call(
        self, peer: MemberUpdate, message: msgspec.Struct
    ) -> PeerReply:
        """Calls a peer at the address in its membership record.

        Raises:
            PeerError: There was no valid reply within the timeout.
        """
        link = self._link(peer)
        link.calls += 1
        try:
            return await link.channel.call(message)
        finally:
            link.calls -= 1

    def close(self) -> None:
        """Closes all connections."""
        for link in self._links.values():
            link.channel.close()
        self._links.clear()

    def _link(self, peer: MemberUpdate) -> _Link:
        address = f"{peer.host}:{peer.peer_port}"
        link = self._links.get(peer.vm)
        if link is not None and link.address != address:
            self._links.pop(peer.vm).channel.close()
            link = None
        if link is None:
            link = self._links[peer.vm] = _Link(
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
        self._links.move_to_end(peer.vm)
        self._trim()
        return link

    def _trim(self) -> None:
        """Closes surplus idle connections, least recently used first."""
        surplus = len(self._links) - _MAX_LINKS
        older = list(self._links.items())[:-1]
        idle = [name for name, link in older if not link.calls]
        for name in idle[: max(0, surplus)]:
            self._links.pop(name).channel.close()
