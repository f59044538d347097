"""The role that acts for the whole fleet, one node at a time."""

import asyncio
import contextlib
import weakref
from collections.abc import Callable

import msgspec

from endivespindle.controller.capacity_plan import (
    SHRINK_AFTER_S,
    DemandBook,
    plan_capacity,
)
from endivespindle.controller.duties import (
    CapacityRequest,
    DutyAnswer,
    Fence,
    Operations,
    UsageWindowReport,
)
from endivespindle.controller.usage_windows import WindowBook
from endivespindle.exceptions import (
    BackendServerError,
    ConflictError,
    MessageError,
    PeerError,
    PlatformError,
)
from endivespindle.leases.lease import Lease
from endivespindle.peers.tasks import end_tasks
from endivespindle.platform.documents import (
    CONFIG_KIND,
    RETIREMENT_KIND,
    SERVER_KIND,
    VERSION_KIND,
    decode_version,
    encode_retirement,
)
from endivespindle.platform.servers import PlatformServers
from endivespindle.runtime.context import NodeParts
from endivespindle.runtime.fleet_view import NODE_KIND, NodeRecord
from endivespindle.runtime.kind_watcher import KindWatcher
from endivespindle.runtime.peer_calls import LoadNews, NodeNews, PeerCalls
from endivespindle.runtime.peer_server import PeerServer
from endivespindle.runtime.relay import (
    KindFeed,
    RelayAsk,
    RelayedStore,
    RelayReply,
)
from endivespindle.runtime.sessions import open_once_session
from endivespindle.runtime.settings import NodeRole
from endivespindle.runtime.shared_watchers import (
    NODE_WATCH_WAIT_S,
    make_config_watcher,
    make_node_watcher,
    make_server_watcher,
)
from endivespindle.serving.calls import OrderAnswer, VersionOrder
from endivespindle.serving.directory import ServerDirectory, ServerView
from endivespindle.serving.in_force import ConfigInForce
from endivespindle.store.held_lease import HeldLease
from endivespindle.store.object_store import StatusStore, StoredObject
from endivespindle.store.update import read_object
from endivespindle.weights.load_plan import LoadOrder, plan_loads

__all__ = ["Controller"]

_LEASE_NAME = "control"
# Margin over the time in which no two holders may take turns.
_TERM_FACTOR = 1.05
_RENEWALS_PER_TERM = 3
# Longest call under the lease; well under the term, so that most of it can be
# used.
_ACT_TIMEOUT_S = 0.8
_TICK_S = 0.1
# Objects that only the holder follows, and that change rarely.
_WATCH_WAIT_S = 10.0
# Share of the bound on revoked keys for which one watch of the configuration
# waits; what gateways know is older by as much again, and must stay under 0.6
# of the bound.
_CONFIG_SHARE = 0.22
# What is known is as old as two watches just before the second one ends;
# this much older, and gateways are sent to the store.
_RELAY_SLACK_S = 0.5
# Seconds for which one watch of the servers waits.
_SERVERS_WAIT_S = 3.0
# A load that has not shown in a server's entry after this long is ordered
# again: entries are written each 1.2 s, a load takes 0.9 s and more.
_LOAD_PATIENCE_S = 4.0
# Time after which an accepted load is expected to have ended: 0.9 s while few
# servers load. Work that is sent too soon is turned away and comes back.
_LOAD_S = 1.0
# Time for which a server that refused an order, or did not answer it, gets no
# other.
_ORDER_REST_S = 0.4
_FROZEN_KIND = "usage-reports"
_OWNED_KIND = "owned-servers"
_CAPACITY_INTERVAL_S = 1.0


class _OwnedServers(msgspec.Struct, kw_only=True):
    """Servers of a service before any was ordered."""

    count: int


class Controller:
    """Holds the lease or waits for it, and acts while it holds.

    Args:
        parts: What every part of the node shares.
        store: The object API.
        operations: The platform's operations API, if there is one.
        peer_server: Listens for calls of other nodes.
        peers: Calls other nodes.
    """

    __slots__ = (
        "_accepted",
        "_book",
        "_capacity",
        "_config",
        "_demand",
        "_directory",
        "_feeds",
        "_held",
        "_lease",
        "_loading",
        "_named",
        "_operations",
        "_owned",
        "_parts",
        "_peers",
        "_required",
        "_resting",
        "_retired",
        "_servers",
        "_session",
        "_store",
        "_task",
        "_version_named",
    )

    def __init__(
        self,
        *,
        parts: NodeParts,
        store: StatusStore,
        operations: Operations | None,
        peer_server: PeerServer,
        peers: PeerCalls,
    ):
        settings = parts.settings
        self._parts = parts
        self._store = store
        self._operations = operations
        self._lease = Lease(
            holder=settings.name,
            clock=parts.clock,
            term_s=settings.timing.lease_s * _TERM_FACTOR,
        )
        self._held = HeldLease(
            lease=self._lease, store=store, name=_LEASE_NAME, ids=parts.ids
        )
        self._book = WindowBook(
            window_s=settings.timing.usage_window_s,
            late_s=settings.timing.usage_late_s,
        )
        self._session = open_once_session()
        self._servers = PlatformServers(
            session=self._session, single_use=self._session
        )
        self._config = ConfigInForce(
            clock=parts.clock, max_unconfirmed_s=float("inf")
        )
        self._directory = ServerDirectory(clock=parts.clock)
        self._named: dict[str, int] = {}
        self._required: dict[str, dict[str, int]] = {}
        self._loading: dict[tuple[str, str], tuple[LoadOrder, float]] = {}
        self._accepted: weakref.WeakKeyDictionary[ServerView, int] = (
            weakref.WeakKeyDictionary()
        )
        self._resting: dict[str, tuple[LoadOrder, float]] = {}
        self._version_named = asyncio.Event()
        self._peers = peers
        self._retired: set[str] = set()
        self._capacity: dict[str, dict[str, int]] = {}
        self._demand = DemandBook(clock=parts.clock)
        self._owned: dict[str, int] = {}
        self._task: asyncio.Task[None] | None = None
        self._feeds = {
            kind: KindFeed(
                clock=parts.clock, max_age_s=2 * wait_s + _RELAY_SLACK_S
            )
            for kind, wait_s in (
                (CONFIG_KIND, self._config_wait_s()),
                (SERVER_KIND, _SERVERS_WAIT_S),
                (NODE_KIND, NODE_WATCH_WAIT_S),
            )
        }
        peer_server.serve_news(self._take_news)
        peer_server.serve_relay(self._answer_relay)

    async def run(self) -> None:
        """Passes on what it follows, keeps the lease, and acts under it."""
        parts = self._parts
        pause_s = parts.settings.timing.lease_s / _RENEWALS_PER_TERM
        task: asyncio.Task[None] | None = None
        follows = [asyncio.create_task(f.run()) for f in self._relayed()]
        try:
            while True:
                try:
                    await self._held.refresh()
                except PlatformError as exc:
                    parts.log.decided("lease_unreached", error=str(exc))
                held = self._lease.held()
                if held and (task is None or task.done()):
                    parts.log.state("lease_held", epoch=self._lease.epoch)
                    task = asyncio.create_task(self._act())
                elif not held and task is not None:
                    parts.log.state("lease_lost", epoch=self._lease.epoch)
                    await end_tasks([task])
                    task = None
                await asyncio.sleep(pause_s * parts.rng.uniform(0.8, 1.0))
        finally:
            if task is not None:
                await end_tasks([task])
            await end_tasks(follows)
            await self._held.release()
            await self._session.close()

    def _relayed(self) -> list[KindWatcher]:
        """Returns followers of what gateways watch here.

        The holder of the lease watches the store; the other controllers watch
        the holder, or the store while it does not answer.
        """
        watched = RelayedStore(
            store=self._store,
            peers=self._peers,
            relay=self._holder,
            clock=self._parts.clock,
            on_shunned=lambda name, error: self._parts.log.decided(
                "relay_shunned", relay=name, error=error
            ),
        )
        return [
            make_config_watcher(
                self._parts,
                watched,
                self._config,
                wait_s=self._config_wait_s(),
                feed=self._feeds[CONFIG_KIND],
            ),
            make_server_watcher(
                self._parts,
                watched,
                self._directory,
                wait_s=_SERVERS_WAIT_S,
                on_change=lambda: None,
                feed=self._feeds[SERVER_KIND],
            ),
            make_node_watcher(self._parts, self._store, self._feeds[NODE_KIND]),
        ]

    def _holder(self) -> NodeRecord | None:
        """Returns the node that holds the lease, if it is another one."""
        name = self._lease.holder
        if name == self._parts.settings.name:
            return None
        peers = self._parts.fleet.peers(NodeRole.CONTROLLER)
        return next((node for node in peers if node.name == name), None)

    def _config_wait_s(self) -> float:
        return self._parts.settings.timing.revoke_s * _CONFIG_SHARE

    async def _answer_relay(self, ask: RelayAsk) -> RelayReply | None:
        feed = self._feeds.get(ask.kind)
        reply = await feed.answer(ask) if feed is not None else None
        # The configuration is asked for most often; its age tells soonest
        # that this node does not reach the store.
        return reply if self._feeds[CONFIG_KIND].is_fresh() else None

    def _take_news(self, news: NodeNews) -> None:
        self._book.take(news.counts)
        self._required[news.counts.node] = news.required
        self._demand.take(news.counts.node, news.wanted)

    async def _act(self) -> None:
        """Follows what the duties need, and carries them out."""
        parts = self._parts
        self._loading.clear()
        self._accepted.clear()
        self._resting.clear()
        self._capacity.clear()
        self._owned.clear()
        self._book.begin(parts.clock.now().timestamp())
        follows = [
            self._follow(VERSION_KIND, self._take_version),
            self._follow(RETIREMENT_KIND, self._take_retirement),
        ]
        tasks = [asyncio.create_task(f.run()) for f in follows]
        tasks.append(asyncio.create_task(self._report_usage()))
        tasks.append(asyncio.create_task(self._order_capacity()))
        tasks.append(asyncio.create_task(self._order_loads()))
        tasks.append(asyncio.create_task(self._retire()))
        try:
            await asyncio.gather(*tasks)
        finally:
            await end_tasks(tasks)

    def _follow(
        self, kind: str, take: Callable[[StoredObject], None]
    ) -> KindWatcher:
        def take_list(objects: list[StoredObject]) -> None:
            for obj in objects:
                take(obj)

        return KindWatcher(
            store=self._store,
            kind=kind,
            wait_s=_WATCH_WAIT_S,
            clock=self._parts.clock,
            rng=self._parts.rng,
            log=self._parts.log,
            on_list=take_list,
            on_change=take,
        )

    def _take_version(self, obj: StoredObject) -> None:
        if obj.value is None:
            return
        try:
            named = decode_version(obj.value)
        except MessageError as exc:
            self._parts.log.state("version_malformed", error=str(exc))
            return
        known = self._named.get(named.model, 0)
        self._named[named.model] = max(known, named.version)
        self._version_named.set()

    def _take_retirement(self, obj: StoredObject) -> None:
        if obj.value is None:
            self._retired.discard(obj.name)
        else:
            self._retired.add(obj.name)

    def _fence(self) -> Fence:
        return Fence(holder=self._parts.settings.name, epoch=self._lease.epoch)

    async def _retire(self) -> None:
        """Reports VMs as empty: nothing that lasts is kept on them."""
        done: set[str] = set()
        while True:
            for name in sorted(self._retired - done):
                try:
                    await self._store.put_status(
                        kind=RETIREMENT_KIND,
                        name=name,
                        value=encode_retirement(complete=True),
                    )
                except ConflictError:
                    # The entry was taken back.
                    self._retired.discard(name)
                except PlatformError as exc:
                    self._parts.log.decided(
                        "retirement_not_written", node=name, error=str(exc)
                    )
                else:
                    done.add(name)
                    self._parts.log.decided("node_retired", node=name)
            await asyncio.sleep(_TICK_S)

    async def _order_loads(self) -> None:
        """Orders weight versions as they are named."""
        while True:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._version_named.wait(), _TICK_S)
            self._version_named.clear()
            config = self._config.config
            if config is None:
                continue
            loading, ordered = self._loads_under_way()
            for spec in config.services:
                if spec.engine is None:
                    continue
                named = {
                    model: self._named[model]
                    for model in spec.engine.models
                    if model in self._named
                }
                orders = plan_loads(
                    self._directory.open_servers(spec.name),
                    named=named,
                    required=self._required_versions(),
                    loading=loading,
                    ordered=ordered,
                    owned=self._owned.get(spec.name, 0),
                )
                await asyncio.gather(*(self._load(order) for order in orders))

    def _required_versions(self) -> dict[str, int]:
        required: dict[str, int] = {}
        for versions in self._required.values():
            for model, version in versions.items():
                required[model] = max(version, required.get(model, 0))
        return required

    def _loads_under_way(
        self,
    ) -> tuple[dict[str, LoadOrder], dict[tuple[str, str], int]]:
        """Returns the loads that go on, and those that should have ended.

        The latter hold until the server's entry tells of them, or for so
        long that they must have failed.
        """
        now_s = self._parts.clock.monotonic()
        loading = {
            name: order
            for name, (order, until_s) in self._resting.items()
            if now_s < until_s
        }
        ordered: dict[tuple[str, str], int] = {}
        for key, (order, sent_s) in list(self._loading.items()):
            view = self._directory.get(order.server)
            age_s = now_s - sent_s
            known = view.versions.get(order.model, 0) if view else 0
            if (
                view is None
                or age_s >= _LOAD_PATIENCE_S
                or known >= order.version
            ):
                del self._loading[key]
            elif age_s < _LOAD_S:
                loading[order.server] = order
            else:
                ordered[key] = order.version
        return loading, ordered

    async def _load(self, order: LoadOrder) -> None:
        view = self._directory.get(order.server)
        if view is None:
            return
        key = (order.server, order.model)
        self._loading[key] = (order, self._parts.clock.monotonic())
        fence = self._fence()
        try:
            answer = await self._send_order(view, order, fence)
        except BackendServerError as exc:
            outcome = exc.reason.code
        else:
            outcome = "accepted" if answer.accepted else "refused"
        if outcome == "accepted":
            self._accepted[view] = self._accepted.get(view, 0) + 1
            await self._tell_load(order)
        else:
            # The server's next report tells whether it was accepted.
            self._accepted.pop(view, None)
            self._loading.pop(key, None)
            rest_s = self._parts.clock.monotonic() + _ORDER_REST_S
            self._resting[order.server] = (order, rest_s)
        self._parts.log.decided(
            "load_ordered",
            server=order.server,
            model=order.model,
            version=order.version,
            had=view.versions.get(order.model, 0),
            epoch=fence.epoch,
            outcome=outcome,
        )

    async def _send_order(
        self, view: ServerView, order: LoadOrder, fence: Fence
    ) -> OrderAnswer:
        """Sends an order that is refused if another one came in between."""
        if view not in self._accepted:
            report = await self._servers.report(
                view.entry, timeout_s=_ACT_TIMEOUT_S
            )
            self._accepted[view] = report.orders
        if not self._lease.may_send(timeout_s=_ACT_TIMEOUT_S):
            return OrderAnswer(accepted=False)
        return await self._servers.order_version(
            view.entry,
            VersionOrder(
                model=order.model,
                version=order.version,
                holder=fence.holder,
                epoch=fence.epoch,
                after=self._accepted[view],
            ),
            timeout_s=_ACT_TIMEOUT_S,
        )

    async def _tell_load(self, order: LoadOrder) -> None:
        """Tells the gateways that run jobs of a model of a load."""
        news = LoadNews(
            server=order.server,
            model=order.model,
            version=order.version,
            ready_s=_LOAD_S,
        )
        nodes = [
            node
            for node in self._parts.fleet.peers(NodeRole.GATEWAY)
            if order.model in self._required.get(node.name, {})
        ]
        for node in nodes:
            with contextlib.suppress(PeerError):
                # A gateway that was not told learns it from the entry.
                await self._peers.post(node, "/loads", news)

    async def _report_usage(self) -> None:
        """Reports each window once its counts are final."""
        while self._operations is not None:
            await asyncio.sleep(_TICK_S)
            gateways = self._parts.fleet.peers(NodeRole.GATEWAY)
            live = [(node.name, node.incarnation) for node in gateways]
            now_s = self._parts.clock.now().timestamp()
            for report in self._book.due(now_s, live=live):
                try:
                    frozen = await self._freeze(report)
                    await self._send_report(frozen)
                except PlatformError as exc:
                    self._parts.log.decided(
                        "usage_not_reported",
                        window=report.window,
                        error=str(exc),
                    )
                    break

    async def _freeze(self, report: UsageWindowReport) -> UsageWindowReport:
        """Fixes a window's figures before they are sent for the first time."""
        name = str(report.window)
        try:
            await self._store.put(
                kind=_FROZEN_KIND,
                name=name,
                value=msgspec.json.encode(report),
                expect_version=0,
            )
        except (ConflictError, PlatformError) as exc:
            held = await self._store.get(kind=_FROZEN_KIND, name=name)
            if held is None or held.value is None:
                raise exc
            return msgspec.json.decode(held.value, type=UsageWindowReport)
        return report

    async def _send_report(self, report: UsageWindowReport) -> None:
        if self._operations is None or not self._lease.may_send(
            timeout_s=_ACT_TIMEOUT_S
        ):
            return
        answer = await self._operations.report_usage(
            report, fence=self._fence(), timeout_s=_ACT_TIMEOUT_S
        )
        self._parts.log.decided(
            "usage_reported",
            window=report.window,
            requests=sum(report.requests.values()),
            accounts=len(report.requests),
            epoch=self._lease.epoch,
            outcome=answer.value,
        )
        if answer is not DutyAnswer.FENCED:
            self._book.reported(report.window)

    async def _order_capacity(self) -> None:
        """Orders backend servers where the platform lets them be ordered."""
        clock = self._parts.clock
        begun_s = clock.monotonic()
        while self._operations is not None:
            await asyncio.sleep(_CAPACITY_INTERVAL_S)
            config = self._config.config
            if config is None:
                continue
            for spec in config.services:
                if spec.scaling is None:
                    continue
                if not await self._read_owned(spec.name):
                    continue
                wanted = plan_capacity(
                    spec,
                    self._directory.open_servers(spec.name),
                    self._parts.settings.data_centres,
                    peak=self._demand.peak(spec.name),
                    ordered=self._capacity.get(spec.name, {}),
                    may_shrink=clock.monotonic() - begun_s >= SHRINK_AFTER_S,
                )
                for request in wanted:
                    await self._order(request)

    async def _read_owned(self, service: str) -> bool:
        """Reads how many servers were there before any was ordered.

        Returns:
            Whether it is known, be it that none was ordered yet.
        """
        if service in self._owned:
            return True
        try:
            held, _ = await read_object(
                self._store, kind=_OWNED_KIND, name=service, cls=_OwnedServers
            )
        except PlatformError as exc:
            self._parts.log.decided(
                "owned_servers_unknown", service=service, error=str(exc)
            )
            return False
        self._owned[service] = held.count if held else 0
        return True

    async def _write_owned(self, service: str) -> None:
        """Writes down how many servers there are, before the first order.

        Raises:
            PlatformError: The store did not take it.
        """
        if self._owned.get(service):
            return
        count = len(self._directory.open_servers(service))
        await self._store.put(
            kind=_OWNED_KIND,
            name=service,
            value=msgspec.json.encode(_OwnedServers(count=count)),
            expect_version=0,
        )
        self._owned[service] = count

    async def _order(self, request: CapacityRequest) -> None:
        if self._operations is None or not self._lease.may_send(
            timeout_s=_ACT_TIMEOUT_S
        ):
            return
        try:
            await self._write_owned(request.service)
            answer = await self._operations.order_capacity(
                request, fence=self._fence(), timeout_s=_ACT_TIMEOUT_S
            )
        except PlatformError as exc:
            self._parts.log.decided(
                "capacity_not_ordered",
                service=request.service,
                data_centre=request.data_centre,
                error=str(exc),
            )
            return
        self._parts.log.decided(
            "capacity_ordered",
            service=request.service,
            data_centre=request.data_centre,
            servers=request.servers,
            spot=request.spot,
            epoch=self._lease.epoch,
            outcome=answer.value,
        )
        if answer is DutyAnswer.TAKEN:
            ordered = self._capacity.setdefault(request.service, {})
            ordered[request.data_centre] = request.servers
