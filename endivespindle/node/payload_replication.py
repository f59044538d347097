"""Copies of payloads over several VMs."""

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

_COPIES = 2
_MAX_TRIES = 5
_HOLDER_GRACE_S = 10.0


class FetchedPayload(msgspec.Struct, kw_only=True, frozen=True):
    """What came of looking for a payload.

    Attributes:
        payload: The payload, or None.
        lost: Whether every holder is without it, or silent for too long.
    """

    payload: bytes | None
    lost: bool = False


class PayloadReplicator:
    """Keeps payloads here and on a peer, and finds them again.

    Args:
        ctx: Shared state of the VM.
        peers: Speaks to peers.
        payloads: Payloads kept on this VM.
    """

    __slots__ = ("_ctx", "_payloads", "_peers", "_silent_since_s")

    def __init__(
        self, *, ctx: NodeContext, peers: PeerSync, payloads: PayloadStore
    ):
        self._ctx = ctx
        self._peers = peers
        self._payloads = payloads
        self._silent_since_s: dict[str, float] = {}

    async def store(self, payload: bytes) -> tuple[str, list[str]]:
        """Keeps two copies if it can; returns the digest and the holders.

        The second copy goes to a peer of another data centre, to one with a
        data folder if there is one.
        """
        digest = sha256_hex(payload)
        holders = []
        if self._payloads.put(digest, payload):
            holders.append(self._ctx.settings.vm.name)
        for peer in self._ranked_peers()[:_MAX_TRIES]:
            if len(holders) >= _COPIES:
                break
            if await self._copy(peer, digest, payload):
                holders.append(peer)
        return digest, holders

    async def fetch(self, entry: DeliveryEntry) -> FetchedPayload:
        """Looks for a payload here and on its holders."""
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
                lost = lost and self._silent_too_long(holder)
                continue
            self._silent_since_s.pop(holder, None)
            if reply.ok and sha256_hex(reply.body) == entry.digest:
                return FetchedPayload(payload=reply.body)
        return FetchedPayload(payload=None, lost=lost)

    async def drop(self, entries: list[DeliveryEntry]) -> None:
        """Tells the holders that payloads are no longer needed."""
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
                self._ctx.log.info("drop_unheard", peer=holder)

    async def _copy(self, peer: str, digest: str, payload: bytes) -> bool:
        try:
            reply = await self._peers.call(
                peer, PutPayload(digest=digest, payload=payload)
            )
        except PeerError:
            return False
        return reply.ok

    def _ranked_peers(self) -> list[str]:
        """Returns reachable peers, the best holder of a copy first."""
        names = self._ctx.membership.reachable()
        self._ctx.rng.shuffle(names)
        return sorted(names, key=self._holder_rank)

    def _holder_rank(self, name: str) -> tuple[bool, bool]:
        peer = self._ctx.membership.peers[name]
        near = peer.update.data_centre == self._ctx.settings.vm.data_centre
        beat = peer.heartbeat
        return near, not (beat is not None and beat.keeps_data)

    def _silent_too_long(self, holder: str) -> bool:
        now_s = self._ctx.clock.monotonic()
        since_s = self._silent_since_s.setdefault(holder, now_s)
        return now_s - since_s >= _HOLDER_GRACE_S
