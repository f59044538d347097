"""The controller role: duties that one node at a time carries out."""

import asyncio
from collections.abc import Callable
from typing import Protocol

from endivespindle.backends.body_memory import BodyMemory
from endivespindle.controller.operations import Operations
from endivespindle.exceptions import PlatformError
from endivespindle.leases.lease import Lease
from endivespindle.peers.tasks import end_tasks
from endivespindle.platform.documents import (
    CONFIG_KIND,
    EVACUATION_KIND,
    RETIREMENT_KIND,
    SERVER_KIND,
    VERSION_KIND,
)
from endivespindle.platform.servers import PlatformServerApi
from endivespindle.runtime.capacity_orders import CapacityOrders
from endivespindle.runtime.context import RuntimeContext
from endivespindle.runtime.duty_lease import DutyLease
from endivespindle.runtime.fleet_view import NODE_KIND, NodeRecord
from endivespindle.runtime.kind_watcher import KindWatcher
from endivespindle.runtime.peer_client import (
    GatewayUpdate,
    GatewayUpdateReply,
    PeerClient,
)
from endivespindle.runtime.peer_server import PeerServer
from endivespindle.runtime.quarantine_store import QuarantineStore
from endivespindle.runtime.relay import (
    RelayedStore,
    RelayReply,
    RelayRequest,
    WatchCache,
)
from endivespindle.runtime.retirements import RetirementConfirmer
from endivespindle.runtime.sessions import open_single_use_backend_session
from endivespindle.runtime.settings import NodeRole
from endivespindle.runtime.shared_watchers import (
    NODE_WATCH_WAIT_S,
    make_config_watcher,
    make_evacuation_watcher,
    make_node_watcher,
    make_server_watcher,
)
from endivespindle.runtime.software_store import SoftwareRecorder
from endivespindle.runtime.store_proxy import (
    StoreOperation,
    StoreReply,
    StoreStatus,
    serve_store_operation,
)
from endivespindle.runtime.supervision import run_supervised
from endivespindle.runtime.usage_reporter import UsageReporter
from endivespindle.runtime.weight_orders import WeightOrders
from endivespindle.serving.active_config import ActiveConfig
from endivespindle.serving.directory import ServerDirectory
from endivespindle.serving.rate_shares import RateShares
from endivespindle.serving.relay_selection import RelaySelector
from endivespindle.serving.stream_origins import StreamOrigins
from endivespindle.store.object_store import StatusStore, StoredObject
from endivespindle.store.stored_lease import StoredLease

__all__ = ["Controller"]

_LEASE_NAME = "control"
# Margin of the lease's term over the time within which the holder must not
# change.
_TERM_FACTOR = 1.05
_RENEWALS_PER_TERM = 3
# Wait of a watch of the kinds that only the lease holder watches; they change
# rarely.
_WATCH_WAIT_S = 10.0
# Wait of a watch of the configuration, as a share of the bounds on revoked keys
# and on changes: an outage of the store begins with keys confirmed at most
# twice this ago, and gateways must notice it before a change is overdue.
_REVOKE_WAIT_SHARE = 0.1
_APPLY_WAIT_SHARE = 0.25
# The cached state is as old as two watches and the pause between them (0.3 s)
# just before the second one ends. If it is older than two watches by more than
# this, gateways look for another relay.
_CACHE_AGE_MARGIN_S = 0.4
# Wait of a watch of the backend servers.
_SERVER_WATCH_WAIT_S = 3.0
# Wait of a watch of the evacuations, as a share of the time by which one has to
# be in force.
_EVACUATION_WAIT_SHARE = 0.3


class _Duty(Protocol):
    """A component with a loop of its own."""

    async def run(self) -> None: ...


class Controller:
    """Relays store watches, and runs the duties while it holds the lease.

    Args:
        ctx: State shared by the components of the node.
        store: The object API.
        operations: The platform's operations API, if there is one.
        peer_server: Server for calls from other nodes.
        peers: Client for calls to other nodes.
    """

    __slots__ = (
        "_caches",
        "_capacity",
        "_config",
        "_ctx",
        "_directory",
        "_held_lease",
        "_lease",
        "_peers",
        "_quarantines",
        "_rate_shares",
        "_retirements",
        "_session",
        "_software",
        "_store",
        "_usage",
        "_weights",
    )

    def __init__(
        self,
        *,
        ctx: RuntimeContext,
        store: StatusStore,
        operations: Operations | None,
        peer_server: PeerServer,
        peers: PeerClient,
    ):
        settings = ctx.settings
        self._ctx = ctx
        self._store = store
        self._lease = Lease(
            holder=settings.name,
            clock=ctx.clock,
            term_s=settings.timing.lease_s * _TERM_FACTOR,
        )
        self._held_lease = StoredLease(
            lease=self._lease, store=store, name=_LEASE_NAME, ids=ctx.ids
        )
        self._session = open_single_use_backend_session()
        self._config = ActiveConfig(
            clock=ctx.clock,
            max_unconfirmed_s=float("inf"),
            apply_s=settings.timing.config_apply_s,
        )
        self._directory = ServerDirectory(
            clock=ctx.clock,
            on_leaving=ctx.record_leaving_server,
            on_limit=ctx.record_server_limit,
            are_evacuations_known=settings.timing.evacuate_s is None,
        )
        self._peers = peers
        self._rate_shares = RateShares(clock=ctx.clock)
        duty_lease = DutyLease(lease=self._lease, holder=settings.name)
        self._usage = UsageReporter(
            ctx=ctx, store=store, operations=operations, lease=duty_lease
        )
        self._capacity = CapacityOrders(
            ctx=ctx,
            store=store,
            operations=operations,
            lease=duty_lease,
            config=self._config,
            directory=self._directory,
        )
        self._weights = WeightOrders(
            ctx=ctx,
            lease=duty_lease,
            config=self._config,
            directory=self._directory,
            servers=PlatformServerApi(
                session=self._session,
                single_use=self._session,
                memory=BodyMemory(
                    memory_bytes=ctx.settings.memory_mb * 1_048_576
                ),
                log=ctx.log,
            ),
            peers=peers,
            baseline_count=self._capacity.baseline_count,
        )
        self._retirements = RetirementConfirmer(ctx=ctx, store=store)
        self._quarantines = QuarantineStore(
            store=store,
            evidence=ctx.evidence,
            may_write=self._lease.is_held,
            clock=ctx.clock,
            ids=ctx.ids,
            log=ctx.log,
        )
        self._software = SoftwareRecorder(
            store=store,
            directory=self._directory,
            may_write=self._lease.is_held,
            is_first_start=settings.is_first_start,
            clock=ctx.clock,
            ids=ctx.ids,
            log=ctx.log,
        )
        self._caches = {
            kind: WatchCache(
                clock=ctx.clock, max_age_s=2 * wait_s + _CACHE_AGE_MARGIN_S
            )
            for kind, wait_s in (
                (CONFIG_KIND, self._config_wait_s()),
                (SERVER_KIND, _SERVER_WATCH_WAIT_S),
                (NODE_KIND, NODE_WATCH_WAIT_S),
                (EVACUATION_KIND, self._evacuation_wait_s()),
            )
        }
        peer_server.serve_gateway_updates(self._apply_gateway_update)
        peer_server.serve_relay(self._handle_relay_request)
        peer_server.serve_store(self._handle_store_operation)
        peer_server.serve_stream_origins(StreamOrigins(clock=ctx.clock))

    async def run(self) -> None:
        """Relays watches, keeps the lease, and runs duties while it is held."""
        ctx = self._ctx
        interval_s = ctx.settings.timing.lease_s / _RENEWALS_PER_TERM
        duty_task: asyncio.Task[None] | None = None
        watch_tasks = [self._start(w) for w in self._relay_watchers()]
        watch_tasks += [
            self._start(self._quarantines),
            self._start(self._software),
        ]
        try:
            while True:
                try:
                    await self._held_lease.acquire_or_renew()
                except PlatformError as exc:
                    ctx.log.event("lease_unreached", error=str(exc))
                is_held = self._lease.is_held()
                if is_held and (duty_task is None or duty_task.done()):
                    ctx.log.state_change("lease_held", epoch=self._lease.epoch)
                    duty_task = asyncio.create_task(self._run_duties())
                elif not is_held and duty_task is not None:
                    ctx.log.state_change("lease_lost", epoch=self._lease.epoch)
                    await end_tasks([duty_task])
                    duty_task = None
                await asyncio.sleep(interval_s * ctx.rng.uniform(0.8, 1.0))
        finally:
            if duty_task is not None:
                await end_tasks([duty_task])
            await end_tasks(watch_tasks)
            await self._held_lease.release()

    async def close(self) -> None:
        """Closes the connections to backend servers."""
        await self._session.close()

    def _start(self, duty: _Duty) -> asyncio.Task[None]:
        """Starts a watcher or a duty, which goes on after errors."""
        return asyncio.create_task(
            run_supervised(type(duty).__name__, duty.run, log=self._ctx.log)
        )

    def _relay_watchers(self) -> list[KindWatcher]:
        """Returns watchers of the kinds that are relayed to gateways.

        The lease holder watches the store. The other controllers watch the
        holder, or the store while the holder does not reply or cannot reach
        it.
        """
        ctx = self._ctx
        relayed = RelayedStore(
            store=self._store,
            peers=self._peers,
            relays=self._lease_holder,
            selector=RelaySelector(
                vm=ctx.settings.name,
                data_centre=ctx.settings.data_centre,
                clock=ctx.clock,
                rng=ctx.rng,
                probe_interval_s=0.0,
            ),
            clock=ctx.clock,
            on_relay_failure=lambda name, error: self._ctx.log.event(
                "relay_shunned", relay=name, error=error
            ),
            on_relay_stale=lambda name, lag_s: self._ctx.log.event(
                "relay_stale", relay=name, age_s=round(lag_s, 2)
            ),
        )
        watchers = []
        if ctx.settings.timing.evacuate_s is not None:
            watchers.append(
                make_evacuation_watcher(
                    ctx,
                    relayed,
                    self._directory,
                    wait_s=self._evacuation_wait_s(),
                    on_change=lambda: None,
                    feed=self._caches[EVACUATION_KIND],
                )
            )
        return [
            *watchers,
            make_config_watcher(
                self._ctx,
                relayed,
                self._config,
                wait_s=self._config_wait_s(),
                feed=self._caches[CONFIG_KIND],
            ),
            make_server_watcher(
                self._ctx,
                relayed,
                self._directory,
                wait_s=_SERVER_WATCH_WAIT_S,
                on_change=self._software.wake,
                feed=self._caches[SERVER_KIND],
            ),
            make_node_watcher(self._ctx, self._store, self._caches[NODE_KIND]),
        ]

    def _lease_holder(self) -> list[NodeRecord]:
        """Returns the node that holds the lease, if it is another node."""
        name = self._lease.holder
        if name == self._ctx.settings.name:
            return []
        peers = self._ctx.fleet.peers(NodeRole.CONTROLLER)
        return [node for node in peers if node.name == name]

    def _evacuation_wait_s(self) -> float:
        evacuate_s = self._ctx.settings.timing.evacuate_s
        return (evacuate_s or 0.0) * _EVACUATION_WAIT_SHARE

    def _config_wait_s(self) -> float:
        timing = self._ctx.settings.timing
        return min(
            timing.revoke_s * _REVOKE_WAIT_SHARE,
            timing.config_apply_s * _APPLY_WAIT_SHARE,
        )

    async def _handle_relay_request(
        self, req: RelayRequest
    ) -> RelayReply | None:
        cache = self._caches.get(req.kind)
        if cache is None:
            return None
        # The configuration is read most often, so its age is the first sign
        # that this node cannot reach the store.
        config = self._caches[CONFIG_KIND]
        if not req.wait_if_stale:
            req.wait_s = min(req.wait_s, config.fresh_for_s())
        reply = await cache.handle_request(req)
        if reply is not None and not config.is_fresh():
            reply.stale = True
        return reply

    async def _handle_store_operation(self, op: StoreOperation) -> StoreReply:
        """Carries out an operation for a gateway that the store turns away."""
        if not self._caches[CONFIG_KIND].is_fresh():
            return StoreReply(
                status=StoreStatus.NOT_DONE, error="cannot reach the store"
            )
        reply = await serve_store_operation(self._store, op)
        self._ctx.log.event(
            "store_call_relayed",
            method=op.method.value,
            kind=op.kind,
            name=op.name,
            outcome=reply.status.value,
        )
        return reply

    def _apply_gateway_update(
        self, update: GatewayUpdate
    ) -> GatewayUpdateReply:
        node = update.counts.node
        self._usage.record(update.counts)
        self._weights.record_required(node, update.required)
        self._capacity.record_demand(node, update.wanted)
        for report in update.limits:
            self._directory.apply_limit(report)
        self._rate_shares.record(
            node,
            demand_per_s=update.demand_per_s,
            reports=update.limits,
        )
        evidence = None
        if update.evidence is not None:
            exchange = self._ctx.evidence_exchange
            exchange.apply(node, update.evidence)
            evidence = exchange.message_to(node)
        return GatewayUpdateReply(
            shares=self._rate_shares.shares(node), evidence=evidence
        )

    async def _run_duties(self) -> None:
        """Runs the duties of the lease holder and the watches they need."""
        duties = (
            self._make_watcher(VERSION_KIND, self._weights.apply_version),
            self._make_watcher(RETIREMENT_KIND, self._retirements.apply_object),
            self._usage,
            self._capacity,
            self._weights,
            self._retirements,
        )
        tasks = [self._start(duty) for duty in duties]
        try:
            await asyncio.gather(*tasks)
        finally:
            await end_tasks(tasks)

    def _make_watcher(
        self, kind: str, apply: Callable[[StoredObject], None]
    ) -> KindWatcher:
        def apply_all(objects: list[StoredObject]) -> None:
            for obj in objects:
                apply(obj)

        return KindWatcher(
            store=self._store,
            kind=kind,
            wait_s=_WATCH_WAIT_S,
            clock=self._ctx.clock,
            rng=self._ctx.rng,
            log=self._ctx.log,
            on_list=apply_all,
            on_change=apply,
        )
