"""Heartbeats between VMs, and the peer messages that a VM answers."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine

import msgspec

from endivespindle.core.decoding import decode_msgpack
from endivespindle.exceptions import PeerError
from endivespindle.membership.gossip import StateVersions
from endivespindle.node.config_sync import ConfigSync
from endivespindle.node.context import NodeContext
from endivespindle.node.payloads import PayloadStore
from endivespindle.node.relay import VmListPoller
from endivespindle.node.traces import PeerCaller
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
_PUSH_INTERVAL_S = 0.05
_MAX_TASKS = 64
_MS_PER_S = 1000

_OK = PeerReply(ok=True, body=b"")
_MISSING = PeerReply(ok=False, reason="missing", body=b"")


class _RegisterRevision(msgspec.Struct, kw_only=True):
    """A register revision as peers send it."""

    root: RegisterRoot
    body: bytes


class PeerSync(PeerCaller):
    """Exchanges heartbeats with peers and fetches newer state from them.

    State is the register and the key table.

    Args:
        ctx: Shared state of the VM.
        config: Unused.
        vm_list: Interface to the platform's list of VMs.
        payloads: Payloads stored on this VM.

    Attributes:
        server: Serves the peer messages of other VMs.
    """

    __slots__ = (
        "_ctx",
        "_handlers",
        "_is_fetching",
        "_links",
        "_opener",
        "_payloads",
        "_sealer",
        "_tasks",
        "_vm_list_poller",
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
        self._vm_list_poller = VmListPoller(ctx=ctx, vm_list=vm_list)
        self._tasks: set[asyncio.Task[None]] = set()
        self._is_fetching = False
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
            handler=self._dispatch,
            on_refused=ctx.metrics.count_peer_refusal,
        )

    def advertise_ports(self, *, http_port: int) -> None:
        """Sets the ports that peers learn by gossip, once they are bound."""
        gossip = self._ctx.gossip
        gossip.local_member = msgspec.structs.replace(
            gossip.local_member, http_port=http_port, peer_port=self.server.port
        )

    async def run(self) -> None:
        """Joins the fleet, then sends heartbeats and pushes updates."""
        try:
            await self._join()
            async with asyncio.TaskGroup() as group:
                group.create_task(self._vm_list_poller.run())
                group.create_task(self._probe_loop())
                group.create_task(self._push_loop())
        finally:
            await end_tasks(list(self._tasks))
            self._links.close()

    def reachable_peers(self) -> list[str]:
        """Returns the names of the reachable peers."""
        return self._ctx.membership.reachable()

    def add_handler(
        self, kind: str, handler: Callable[[bytes], Awaitable[PeerReply]]
    ) -> None:
        """Registers the handler for messages of a kind."""
        self._handlers[kind] = handler

    async def call(self, peer: str, message: msgspec.Struct) -> PeerReply:
        """Calls a peer by name.

        Raises:
            PeerError: The peer is unknown or did not answer.
        """
        record = self._ctx.membership.peers.get(peer)
        if record is None:
            raise PeerError(f"{peer}: unknown peer")
        return await self._links.call(record.update, message)

    def traffic_bytes(self) -> int:
        """Returns the bytes of envelopes sent and received so far."""
        return self._sealer.sent_bytes + self._opener.received_bytes

    async def _join(self) -> None:
        """Reads the members from the platform, then from one peer."""
        await self._vm_list_poller.read_if_due()
        names = self._ctx.membership.reachable()
        self._ctx.rng.shuffle(names)
        for name in names[:_JOIN_ATTEMPTS]:
            try:
                reply = await self.call(name, FetchMembers())
                table = decode_msgpack(reply.body, type=MemberTable)
            except (PeerError, msgspec.MsgspecError) as exc:
                self._ctx.log.debug("join_failed", peer=name, error=str(exc))
                continue
            self._ctx.gossip.merge_members(table.members)
            await self._probe(name)
            return

    async def _probe_loop(self) -> None:
        interval_s = self._ctx.settings.peers.heartbeat_interval_s
        while True:
            if (
                self._ctx.draining.is_set()
                and not self._ctx.gossip.local_member.leaving
            ):
                self._ctx.gossip.leave()
                self._ctx.update_pending.set()
            for name in self._ctx.gossip.next_probe_targets():
                self._start_task(self._probe(name))
            await asyncio.sleep(interval_s * self._ctx.rng.uniform(0.9, 1.1))

    async def _push_loop(self) -> None:
        """Sends heartbeats to a few peers as soon as state changes."""
        while True:
            await self._ctx.update_pending.wait()
            self._ctx.update_pending.clear()
            for name in self._ctx.gossip.push_targets():
                self._start_task(self._probe(name))
            await asyncio.sleep(_PUSH_INTERVAL_S)

    def _start_task(self, coro: Coroutine[None, None, None]) -> None:
        if len(self._tasks) >= _MAX_TASKS:
            coro.close()
            return
        task = asyncio.create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _probe(self, name: str) -> None:
        """Exchanges heartbeats with a peer.

        Only a reply confirms the key table, and its age counts from before
        the request was sent: a request received from a peer may have been
        delayed for an unknown time.
        """
        gossip = self._ctx.gossip
        asked_s = self._ctx.clock.monotonic()
        try:
            reply = await self.call(name, self._make_heartbeat(name))
            heartbeat = decode_msgpack(reply.body, type=Heartbeat)
            if heartbeat.vm != name:
                raise PeerError(f"{name}: replied as {heartbeat.vm}")
        except (PeerError, msgspec.MsgspecError) as exc:
            self._ctx.log.debug("peer_silent", peer=name, error=str(exc))
            gossip.record_probe_failure(name)
            return
        if gossip.apply_heartbeat(
            heartbeat, local_versions=self._versions(), asked_s=asked_s
        ):
            self._ctx.apply_peer_load(heartbeat)
        await self._fetch_newer_state(heartbeat)
        self._confirm_keys(heartbeat, asked_s)

    def _confirm_keys(self, heartbeat: Heartbeat, asked_s: float) -> None:
        """Records the age of the key table that a reply reports.

        The reply confirms this VM's table unless the peer has a newer one.
        What it reports about other data centres counts only if the peer is
        in the data centre of this VM.
        """
        freshness = self._ctx.keys.freshness
        if heartbeat.key_generation <= self._ctx.keys.generation:
            freshness.confirm(asked_s=asked_s - heartbeat.store_age_s)
        freshness.record_peer_report(
            data_centre=heartbeat.data_centre,
            generation=heartbeat.key_generation,
            age_s=heartbeat.store_age_s,
            asked_s=asked_s,
        )
        if heartbeat.data_centre != self._ctx.settings.vm.data_centre:
            return
        for data_centre, age_ms in heartbeat.centre_ages_ms.items():
            freshness.record_peer_report(
                data_centre=data_centre,
                generation=0,
                age_s=heartbeat.store_age_s,
                asked_s=asked_s - max(0, age_ms) / _MS_PER_S,
            )

    async def _fetch_newer_state(self, heartbeat: Heartbeat) -> None:
        """Fetches a newer register and key table, one fetch at a time."""
        if self._is_fetching:
            return
        self._is_fetching = True
        try:
            await self._fetch_register(heartbeat)
            await self._fetch_keys(heartbeat)
        except (PeerError, msgspec.MsgspecError) as exc:
            self._ctx.log.debug(
                "fetch_failed", peer=heartbeat.vm, error=str(exc)
            )
        finally:
            self._is_fetching = False

    async def _fetch_register(self, heartbeat: Heartbeat) -> None:
        if heartbeat.register_revision <= self._ctx.register.revision:
            return
        req = FetchRegister(revision=heartbeat.register_revision)
        reply = await self.call(heartbeat.vm, req)
        if not reply.ok:
            return
        newer = decode_msgpack(reply.body, type=_RegisterRevision)
        if self._ctx.register.apply_if_newer(root=newer.root, body=newer.body):
            self._ctx.log.info(
                "register_in_force",
                revision=newer.root.revision,
                peer=heartbeat.vm,
            )
            self._ctx.update_pending.set()

    async def _fetch_keys(self, heartbeat: Heartbeat) -> None:
        if heartbeat.key_generation <= self._ctx.keys.generation:
            return
        req = FetchKeys(generation=heartbeat.key_generation)
        reply = await self.call(heartbeat.vm, req)
        if not reply.ok:
            return
        table = decode_msgpack(reply.body, type=KeyTableRoot)
        if self._ctx.keys.apply_if_newer(table):
            self._ctx.log.info(
                "keys_in_force", generation=table.generation, peer=heartbeat.vm
            )
            self._ctx.update_pending.set()

    def _versions(self) -> StateVersions:
        return StateVersions(
            register_revision=self._ctx.register.revision,
            key_generation=self._ctx.keys.generation,
            store_age_s=self._ctx.keys.freshness.reported_age_s(),
        )

    def _make_heartbeat(self, receiver: str) -> Heartbeat:
        heartbeat = self._ctx.gossip.make_heartbeat(
            receiver=receiver,
            versions=self._versions(),
            keeps_data=bool(self._ctx.settings.data.folder),
            requested_tokens=[
                AskedTokens(service=service, tokens=tokens)
                for service, tokens in self._ctx.demand.counts().items()
            ],
        )
        heartbeat.loads = self._ctx.tracker.local_loads()
        heartbeat.served = self._ctx.shares.served()
        heartbeat.demands = self._ctx.shares.demands()
        return heartbeat

    async def _dispatch(self, envelope: Envelope) -> PeerReply:
        handler = self._handlers.get(envelope.kind)
        if handler is None:
            self._ctx.metrics.count_peer_refusal("unknown_kind")
            return PeerReply(ok=False, reason="unknown_kind", body=b"")
        try:
            return await handler(envelope.body)
        except msgspec.MsgspecError:
            self._ctx.metrics.count_peer_refusal("malformed")
            return PeerReply(ok=False, reason="malformed", body=b"")

    async def _on_heartbeat(self, body: bytes) -> PeerReply:
        heartbeat = decode_msgpack(body, type=Heartbeat)
        if self._ctx.gossip.apply_heartbeat(
            heartbeat, local_versions=self._versions()
        ):
            self._ctx.apply_peer_load(heartbeat)
        newer = (
            heartbeat.register_revision > self._ctx.register.revision
            or heartbeat.key_generation > self._ctx.keys.generation
        )
        if newer and not self._is_fetching:
            self._start_task(self._fetch_newer_state(heartbeat))
        reply = msgspec.msgpack.encode(self._make_heartbeat(heartbeat.vm))
        return PeerReply(ok=True, body=reply)

    async def _on_fetch_members(self, body: bytes) -> PeerReply:
        decode_msgpack(body, type=FetchMembers)
        table = MemberTable(members=self._ctx.gossip.members())
        return PeerReply(ok=True, body=msgspec.msgpack.encode(table))

    async def _on_fetch_register(self, body: bytes) -> PeerReply:
        req = decode_msgpack(body, type=FetchRegister)
        register = self._ctx.register
        if register.root is None or register.revision < req.revision:
            return _MISSING
        current = _RegisterRevision(root=register.root, body=register.body)
        return PeerReply(ok=True, body=msgspec.msgpack.encode(current))

    async def _on_fetch_keys(self, body: bytes) -> PeerReply:
        req = decode_msgpack(body, type=FetchKeys)
        if self._ctx.keys.generation < req.generation:
            return _MISSING
        table = msgspec.msgpack.encode(self._ctx.keys.root)
        return PeerReply(ok=True, body=table)

    async def _on_put_payload(self, body: bytes) -> PeerReply:
        req = decode_msgpack(body, type=PutPayload)
        if not self._payloads.put(req.digest, req.payload):
            return PeerReply(ok=False, reason="refused", body=b"")
        return _OK

    async def _on_fetch_payload(self, body: bytes) -> PeerReply:
        req = decode_msgpack(body, type=FetchPayload)
        payload = self._payloads.get(req.digest)
        if payload is None:
            return _MISSING
        return PeerReply(ok=True, body=payload)

    async def _on_drop_payloads(self, body: bytes) -> PeerReply:
        req = decode_msgpack(body, type=DropPayloads)
        self._payloads.drop(req.digests)
        return _OK
