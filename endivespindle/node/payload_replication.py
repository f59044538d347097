"""Replication of sample payloads over several VMs."""

import msgspec

from endivespindle.core.digests import sha256_hex
from endivespindle.exceptions import PeerError
from endivespindle.node.context import NodeContext
from endivespindle.node.payloads import PayloadStore
from endivespindle.node.peer_sync import PeerSync
from endivespindle.schema.generated.peer import (
    DropPayloads,
    FetchPayload,
    PutPayload,
)
from endivespindle.schema.generated.stored import DeliveryEntry

__all__ = ["FetchedPayload", "PayloadReplicator"]

_REPLICATION_FACTOR = 2
_MAX_PEERS_TRIED = 5
_HOLDER_TIMEOUT_S = 10.0


class FetchedPayload(msgspec.Struct, kw_only=True, frozen=True):
    """Result of fetching a payload.

    Attributes:
        payload: The payload, or None if no replica was found.
        lost: Whether every holder lacks it or has been unreachable for too
            long.
    """

    payload: bytes | None
    lost: bool = False


class PayloadReplicator:
    """Stores payloads on this VM and a peer, and fetches them.

    Args:
        ctx: Shared state of the VM.
        peers: Calls peers.
        payloads: Payloads stored on this VM.
    """

    __slots__ = ("_ctx", "_payloads", "_peers", "_unreachable_since_s")

    def __init__(
        self, *, ctx: NodeContext, peers: PeerSync, payloads: PayloadStore
    ):
        self._ctx = ctx
        self._peers = peers
        self._payloads = payloads
        self._unreachable_since_s: dict[str, float] = {}

    async def store(self, payload: bytes) -> tuple[str, list[str]]:
        """Stores up to two replicas of a payload.

        Peers in another data centre are preferred as holders, and among them
        peers with a data folder.

        Returns:
            Digest of the payload, and names of the VMs that stored it.
        """
        digest = sha256_hex(payload)
        holders = []
        if self._payloads.put(digest, payload):
            holders.append(self._ctx.settings.vm.name)
        for peer in self._ranked_peers()[:_MAX_PEERS_TRIED]:
            if len(holders) >= _REPLICATION_FACTOR:
                break
            if await self._store_on_peer(peer, digest, payload):
                holders.append(peer)
        return digest, holders

    async def fetch(self, entry: DeliveryEntry) -> FetchedPayload:
        """Fetches a payload from this VM or from one of its holders."""
        payload = self._payloads.get(entry.digest)
        if payload is not None:
            return FetchedPayload(payload=payload)
        lost = True
        for holder in entry.holders:
            if holder == self._ctx.settings.vm.name:
                continue
            try:
                reply = await self._peers.call(
                    holder, FetchPayload(digest=entry.digest)
                )
            except PeerError:
                lost = lost and self._has_timed_out(holder)
                continue
            self._unreachable_since_s.pop(holder, None)
            if reply.ok and sha256_hex(reply.body) == entry.digest:
                return FetchedPayload(payload=reply.body)
        return FetchedPayload(payload=None, lost=lost)

    async def drop(self, entries: list[DeliveryEntry]) -> None:
        """Deletes payloads on all of their holders."""
        by_holder: dict[str, list[str]] = {}
        for entry in entries:
            for holder in entry.holders:
                by_holder.setdefault(holder, []).append(entry.digest)
        for holder, digests in by_holder.items():
            if holder == self._ctx.settings.vm.name:
                self._payloads.drop(digests)
                continue
            try:
                await self._peers.call(holder, DropPayloads(digests=digests))
            except PeerError:
                self._ctx.log.info("payload_drop_failed", peer=holder)

    async def _store_on_peer(
        self, peer: str, digest: str, payload: bytes
    ) -> bool:
        try:
            reply = await self._peers.call(
                peer, PutPayload(digest=digest, payload=payload)
            )
        except PeerError:
            return False
        return reply.ok

    def _ranked_peers(self) -> list[str]:
        """Returns reachable peers, preferred replica holders first."""
        names = self._ctx.membership.reachable()
        self._ctx.rng.shuffle(names)
        return sorted(names, key=self._holder_sort_key)

    def _holder_sort_key(self, name: str) -> tuple[bool, bool]:
        peer = self._ctx.membership.peers[name]
        is_same_data_centre = (
            peer.update.data_centre == self._ctx.settings.vm.data_centre
        )
        heartbeat = peer.heartbeat
        return is_same_data_centre, not (
            heartbeat is not None and heartbeat.keeps_data
        )

    def _has_timed_out(self, holder: str) -> bool:
        now_s = self._ctx.clock.monotonic()
        since_s = self._unreachable_since_s.setdefault(holder, now_s)
        return now_s - since_s >= _HOLDER_TIMEOUT_S
