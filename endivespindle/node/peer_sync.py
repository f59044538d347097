"""Probes between VMs, and what a VM gives to its peers."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine

import msgspec

from endivespindle.exceptions import PeerError
from endivespindle.membership.gossip import Versions
from endivespindle.node.config_sync import ConfigSync
from endivespindle.node.context import NodeContext
from endivespindle.node.payloads import PayloadStore
from endivespindle.node.relay import ListFollower
from endivespindle.node.stories import PeerCaller
from endivespindle.peers.connection_pool import PeerConnectionPool
from endivespindle.peers.envelope import EnvelopeOpener, EnvelopeSealer
from endivespindle.peers.tasks import end_tasks
from endivespindle.peers.transport import PeerServer
from endivespindle.schema.generated.peer import (
    AskedTokens,
    DropPayloads,
    Envelope,
    FetchKeys,
    FetchMembers,
    FetchPayload,
    FetchRegister,
    Heartbeat,
    MemberTable,
    PeerReply,
    PutPayload,
)
from endivespindle.schema.generated.stored import KeyTableRoot, RegisterRoot
from endivespindle.store.interfaces import VmListInterface

__all__ = ["PeerSync"]

_JOIN_ATTEMPTS = 3
_SPREAD_PAUSE_S = 0.05
_MAX_TASKS = 64
_MS_PER_S = 1000

_OK = PeerReply(ok=True, body=b"")
_MISSING = PeerReply(ok=False, reason="missing", body=b"")


class _RegisterCopy(msgspec.Struct, kw_only=True):
    """A revision as it travels between peers."""

    root: RegisterRoot
    body: bytes


class PeerSync(PeerCaller):
    """Probes peers, answers theirs, and fetches what they know newer.

    Args:
        ctx: Shared state of the VM.
        config: What follows the platform.
        vm_list: The platform's list of VMs.
        payloads: Payloads kept on this VM.
    """

    __slots__ = (
        "_catching_up",
        "_ctx",
        "_handlers",
        "_links",
        "_list",
        "_opener",
        "_payloads",
        "_sealer",
        "_tasks",
        "server",
    )

    def __init__(
        self,
        *,
        ctx: NodeContext,
        config: ConfigSync,
        vm_list: VmListInterface,
        payloads: PayloadStore,
    ):
        del config
        cfg = ctx.settings
        self._ctx = ctx
        self._payloads = payloads
        self._list = ListFollower(ctx=ctx, vm_list=vm_list)
        self._tasks: set[asyncio.Task[None]] = set()
        self._catching_up = False
        self._sealer = EnvelopeSealer(
            vm=cfg.vm.name,
            incarnation=ctx.incarnation,
            secret=cfg.peers.secrets[0],
        )
        self._opener = EnvelopeOpener(
            vm=cfg.vm.name,
            secrets=cfg.peers.secrets,
            max_bytes=cfg.peers.max_message_bytes,
        )
        self._links = PeerConnectionPool(
            sealer=self._sealer,
            opener=self._opener,
            timeout_s=cfg.peers.call_timeout_s,
        )
        self._handlers: dict[str, Callable[[bytes], Awaitable[PeerReply]]] = {
            "Heartbeat": self._on_heartbeat,
            "FetchMembers": self._on_fetch_members,
            "FetchRegister": self._on_fetch_register,
            "FetchKeys": self._on_fetch_keys,
            "PutPayload": self._on_put_payload,
            "FetchPayload": self._on_fetch_payload,
            "DropPayloads": self._on_drop_payloads,
        }
        self.server = PeerServer(
            host=cfg.listen.host,
            port=cfg.listen.peer_port,
            opener=self._opener,
            sealer=self._sealer,
            handler=self._handle,
            on_refused=ctx.metrics.peer_refused,
        )

    def announce(self, *, http_port: int) -> None:
        """Sets the ports that peers are told, once they are bound."""
        gossip = self._ctx.gossip
        gossip.me = msgspec.structs.replace(
            gossip.me, http_port=http_port, peer_port=self.server.port
        )

    async def run(self) -> None:
        """Joins the fleet, then probes and spreads news."""
        try:
            await self._join()
            async with asyncio.TaskGroup() as group:
                group.create_task(self._list.run())
                group.create_task(self._probe_loop())
                group.create_task(self._spread_loop())
        finally:
            await end_tasks(list(self._tasks))
            self._links.close()

    def names(self) -> list[str]:
        """Returns the peers heard of just now."""
        return self._ctx.membership.reachable()

    def add_handler(
        self, kind: str, handler: Callable[[bytes], Awaitable[PeerReply]]
    ) -> None:
        """Lets another part of the VM answer messages of a kind."""
        self._handlers[kind] = handler

    async def call(self, peer: str, message: msgspec.Struct) -> PeerReply:
        """Calls a peer by name.

        Raises:
            PeerError: The peer is not known or did not answer.
        """
        known = self._ctx.membership.peers.get(peer)
        if known is None:
            raise PeerError(f"{peer}: not known")
        return await self._links.call(known.update, message)

    def traffic_bytes(self) -> int:
        """Returns the bytes of envelopes sent and received so far."""
        return self._sealer.sent_bytes + self._opener.received_bytes

    async def _join(self) -> None:
        """Learns of the fleet from the platform, and from one peer."""
        await self._list.read_if_due()
        names = self._ctx.membership.reachable()
        self._ctx.rng.shuffle(names)
        for name in names[:_JOIN_ATTEMPTS]:
            try:
                reply = await self.call(name, FetchMembers())
                table = msgspec.msgpack.decode(reply.body, type=MemberTable)
            except (PeerError, msgspec.MsgspecError) as exc:
                self._ctx.log.debug("join_failed", peer=name, error=str(exc))
                continue
            self._ctx.gossip.take_members(table.members)
            await self._probe(name)
            return

    async def _probe_loop(self) -> None:
        interval_s = self._ctx.settings.peers.heartbeat_interval_s
        while True:
            if self._ctx.draining.is_set() and not self._ctx.gossip.me.leaving:
                self._ctx.gossip.leave()
                self._ctx.news.set()
            for name in self._ctx.gossip.probes():
                self._start(self._probe(name))
            await asyncio.sleep(interval_s * self._ctx.rng.uniform(0.9, 1.1))

    async def _spread_loop(self) -> None:
        """Tells a few peers at once when something newer came in."""
        while True:
            await self._ctx.news.wait()
            self._ctx.news.clear()
            for name in self._ctx.gossip.spread():
                self._start(self._probe(name))
            await asyncio.sleep(_SPREAD_PAUSE_S)

    def _start(self, work: Coroutine[None, None, None]) -> None:
        if len(self._tasks) >= _MAX_TASKS:
            work.close()
            return
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _probe(self, name: str) -> None:
        """Exchanges heartbeats with a peer.

        Only a reply vouches for the keys, counted from before the request:
        a request may have waited for long on its way.
        """
        gossip = self._ctx.gossip
        asked_s = self._ctx.clock.monotonic()
        try:
            reply = await self.call(name, self._heartbeat(name))
            beat = msgspec.msgpack.decode(reply.body, type=Heartbeat)
            if beat.vm != name:
                raise PeerError(f"{name}: speaks for {beat.vm}")
        except (PeerError, msgspec.MsgspecError) as exc:
            self._ctx.log.debug("peer_silent", peer=name, error=str(exc))
            gossip.probe_failed(name)
            return
        if gossip.take(beat, own=self._versions(), asked_s=asked_s):
            self._ctx.take_load(beat)
        await self._catch_up(beat)
        self._vouch(beat, asked_s)

    def _vouch(self, beat: Heartbeat, asked_s: float) -> None:
        """Takes in what a reply says of the keys, here and abroad."""
        freshness = self._ctx.keys.freshness
        if beat.key_generation <= self._ctx.keys.generation:
            freshness.confirm(asked_s=asked_s - beat.store_age_s)
        freshness.hear(
            data_centre=beat.data_centre,
            generation=beat.key_generation,
            age_s=beat.store_age_s,
            asked_s=asked_s,
        )
        if beat.data_centre != self._ctx.settings.vm.data_centre:
            return
        for data_centre, age_ms in beat.centre_ages_ms.items():
            freshness.hear(
                data_centre=data_centre,
                generation=0,
                age_s=beat.store_age_s,
                asked_s=asked_s - max(0, age_ms) / _MS_PER_S,
            )

    async def _catch_up(self, beat: Heartbeat) -> None:
        """Fetches a newer register and newer keys; one fetch at a time."""
        if self._catching_up:
            return
        self._catching_up = True
        try:
            await self._fetch_register(beat)
            await self._fetch_keys(beat)
        except (PeerError, msgspec.MsgspecError) as exc:
            self._ctx.log.debug("fetch_failed", peer=beat.vm, error=str(exc))
        finally:
            self._catching_up = False

    async def _fetch_register(self, beat: Heartbeat) -> None:
        if beat.register_revision <= self._ctx.register.revision:
            return
        ask = FetchRegister(revision=beat.register_revision)
        reply = await self.call(beat.vm, ask)
        if not reply.ok:
            return
        copy = msgspec.msgpack.decode(reply.body, type=_RegisterCopy)
        if self._ctx.register.offer(root=copy.root, body=copy.body):
            self._ctx.log.info(
                "register_in_force", revision=copy.root.revision, peer=beat.vm
            )
            self._ctx.news.set()

    async def _fetch_keys(self, beat: Heartbeat) -> None:
        if beat.key_generation <= self._ctx.keys.generation:
            return
        ask = FetchKeys(generation=beat.key_generation)
        reply = await self.call(beat.vm, ask)
        if not reply.ok:
            return
        table = msgspec.msgpack.decode(reply.body, type=KeyTableRoot)
        if self._ctx.keys.offer(table):
            self._ctx.log.info(
                "keys_in_force", generation=table.generation, peer=beat.vm
            )
            self._ctx.news.set()

    def _versions(self) -> Versions:
        return Versions(
            register_revision=self._ctx.register.revision,
            key_generation=self._ctx.keys.generation,
            store_age_s=self._ctx.keys.freshness.told_age_s(),
        )

    def _heartbeat(self, receiver: str) -> Heartbeat:
        beat = self._ctx.gossip.heartbeat(
            receiver=receiver,
            versions=self._versions(),
            keeps_data=bool(self._ctx.settings.data.folder),
            asked=[
                AskedTokens(service=service, tokens=tokens)
                for service, tokens in self._ctx.demand.counts().items()
            ],
        )
        beat.loads = self._ctx.tracker.own_loads()
        beat.served = self._ctx.shares.served()
        beat.demands = self._ctx.shares.demands()
        return beat

    async def _handle(self, envelope: Envelope) -> PeerReply:
        handler = self._handlers.get(envelope.kind)
        if handler is None:
            self._ctx.metrics.peer_refused("unknown_kind")
            return PeerReply(ok=False, reason="unknown_kind", body=b"")
        try:
            return await handler(envelope.body)
        except msgspec.MsgspecError:
            self._ctx.metrics.peer_refused("malformed")
            return PeerReply(ok=False, reason="malformed", body=b"")

    async def _on_heartbeat(self, body: bytes) -> PeerReply:
        beat = msgspec.msgpack.decode(body, type=Heartbeat)
        if self._ctx.gossip.take(beat, own=self._versions()):
            self._ctx.take_load(beat)
        newer = (
            beat.register_revision > self._ctx.register.revision
            or beat.key_generation > self._ctx.keys.generation
        )
        if newer and not self._catching_up:
            self._start(self._catch_up(beat))
        answer = msgspec.msgpack.encode(self._heartbeat(beat.vm))
        return PeerReply(ok=True, body=answer)

    async def _on_fetch_members(self, body: bytes) -> PeerReply:
        msgspec.msgpack.decode(body, type=FetchMembers)
        table = MemberTable(members=self._ctx.gossip.members())
        return PeerReply(ok=True, body=msgspec.msgpack.encode(table))

    async def _on_fetch_register(self, body: bytes) -> PeerReply:
        ask = msgspec.msgpack.decode(body, type=FetchRegister)
        held = self._ctx.register
        if held.root is None or held.revision < ask.revision:
            return _MISSING
        copy = _RegisterCopy(root=held.root, body=held.body)
        return PeerReply(ok=True, body=msgspec.msgpack.encode(copy))

    async def _on_fetch_keys(self, body: bytes) -> PeerReply:
        ask = msgspec.msgpack.decode(body, type=FetchKeys)
        if self._ctx.keys.generation < ask.generation:
            return _MISSING
        table = msgspec.msgpack.encode(self._ctx.keys.root)
        return PeerReply(ok=True, body=table)

    async def _on_put_payload(self, body: bytes) -> PeerReply:
        ask = msgspec.msgpack.decode(body, type=PutPayload)
        if not self._payloads.put(ask.digest, ask.payload):
            return PeerReply(ok=False, reason="refused", body=b"")
        return _OK

    async def _on_fetch_payload(self, body: bytes) -> PeerReply:
        ask = msgspec.msgpack.decode(body, type=FetchPayload)
        payload = self._payloads.get(ask.digest)
        if payload is None:
            return _MISSING
        return PeerReply(ok=True, body=payload)

    async def _on_drop_payloads(self, body: bytes) -> PeerReply:
        ask = msgspec.msgpack.decode(body, type=DropPayloads)
        self._payloads.drop(ask.digests)
        return _OK
