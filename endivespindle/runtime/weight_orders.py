"""Orders to backend servers to load weight versions."""

import asyncio
import contextlib
import weakref
from collections.abc import Callable

from endivespindle.controller.operations import FencingToken
from endivespindle.exceptions import (
    BackendServerError,
    MessageError,
    PeerError,
)
from endivespindle.platform.documents import decode_version
from endivespindle.runtime.context import RuntimeContext
from endivespindle.runtime.duty_lease import DUTY_CALL_TIMEOUT_S, DutyLease
from endivespindle.runtime.peer_client import PeerClient, WeightLoadUpdate
from endivespindle.runtime.settings import NodeRole
from endivespindle.serving.active_config import ActiveConfig
from endivespindle.serving.calls import (
    OrderResponse,
    ServerApi,
    VersionOrder,
)
from endivespindle.serving.directory import ServerDirectory, ServerView
from endivespindle.store.object_store import StoredObject
from endivespindle.weights.load_plan import LoadOrder, plan_loads

__all__ = ["WeightOrders"]

_TICK_S = 0.1
# A load that does not appear in the server's entry within this time is ordered
# again: entries are written every 1.2 s, and a load takes 0.9 s or more.
_LOAD_TIMEOUT_S = 4.0
# Time after which an accepted load is expected to have ended: 0.9 s while few
# servers load. Work that is sent too early is rejected and retried.
_LOAD_DURATION_S = 1.0
# Time for which a server gets no other order after it refused one or did not
# respond to it.
_ORDER_BACKOFF_S = 0.4


class WeightOrders:
    """Brings the servers to the weight versions that trainers publish.

    Args:
        ctx: State shared by the components of the node.
        lease: Lease under which orders are sent.
        config: Configuration, which names the models.
        directory: Known backend servers.
        servers: Client for backend servers.
        peers: Client for calls to other nodes.
        baseline_count: Returns how many servers a service had before any was
            ordered.
    """

    __slots__ = (
        "_accepted_orders",
        "_baseline_count",
        "_config",
        "_ctx",
        "_directory",
        "_lease",
        "_newest_versions",
        "_order_backoffs",
        "_peers",
        "_required_by_node",
        "_sent_loads",
        "_servers",
        "_version_published",
    )

    def __init__(
        self,
        *,
        ctx: RuntimeContext,
        lease: DutyLease,
        config: ActiveConfig,
        directory: ServerDirectory,
        servers: ServerApi,
        peers: PeerClient,
        baseline_count: Callable[[str], int],
    ):
        self._ctx = ctx
        self._lease = lease
        self._config = config
        self._directory = directory
        self._servers = servers
        self._peers = peers
        self._baseline_count = baseline_count
        self._newest_versions: dict[str, int] = {}
        self._required_by_node: dict[str, dict[str, int]] = {}
        self._sent_loads: dict[tuple[str, str], tuple[LoadOrder, float]] = {}
        self._accepted_orders: weakref.WeakKeyDictionary[ServerView, int] = (
            weakref.WeakKeyDictionary()
        )
        self._order_backoffs: dict[str, tuple[LoadOrder, float]] = {}
        self._version_published = asyncio.Event()

    def record_required(self, node: str, versions: dict[str, int]) -> None:
        """Records the oldest version that a gateway accepts, by model."""
        self._required_by_node[node] = versions

    def apply_version(self, obj: StoredObject) -> None:
        """Applies a change of a published version's object."""
        if obj.value is None:
            return
        try:
            published = decode_version(obj.value)
        except MessageError as exc:
            self._ctx.log.state_change("version_malformed", error=str(exc))
            return
        known = self._newest_versions.get(published.model, 0)
        self._newest_versions[published.model] = max(known, published.version)
        self._version_published.set()

    async def run(self) -> None:
        """Orders servers to load weight versions as they are published."""
        self._sent_loads.clear()
        self._accepted_orders.clear()
        self._order_backoffs.clear()
        while True:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._version_published.wait(), _TICK_S)
            self._version_published.clear()
            config = self._config.config
            if config is None:
                continue
            loading, ordered = self._pending_loads()
            for spec in config.services:
                if spec.engine is None:
                    continue
                newest_versions = {
                    model: self._newest_versions[model]
                    for model in spec.engine.models
                    if model in self._newest_versions
                }
                orders = plan_loads(
                    self._directory.available_servers(spec.name),
                    newest_versions=newest_versions,
                    required=self._required_versions(),
                    loading=loading,
                    ordered=ordered,
                    baseline_count=self._baseline_count(spec.name),
                )
                await asyncio.gather(
                    *(self._order_load(order) for order in orders)
                )

    def _required_versions(self) -> dict[str, int]:
        required: dict[str, int] = {}
        for versions in self._required_by_node.values():
            for model, version in versions.items():
                required[model] = max(version, required.get(model, 0))
        return required

    def _pending_loads(
        self,
    ) -> tuple[dict[str, LoadOrder], dict[tuple[str, str], int]]:
        """Returns the loads in progress, and those that should have ended.

        The latter count until the server's entry shows them, or until a
        timeout after which they must have failed.

        Returns:
            Orders of servers that are loading or get no order yet, by server;
            versions that should be loaded, by server and model.
        """
        now_s = self._ctx.clock.monotonic()
        loading = {
            name: order
            for name, (order, until_s) in self._order_backoffs.items()
            if now_s < until_s
        }
        ordered: dict[tuple[str, str], int] = {}
        for key, (order, sent_s) in list(self._sent_loads.items()):
            view = self._directory.get(order.server)
            age_s = now_s - sent_s
            known = view.versions.get(order.model, 0) if view else 0
            if (
                view is None
                or age_s >= _LOAD_TIMEOUT_S
                or known >= order.version
            ):
                del self._sent_loads[key]
            elif age_s < _LOAD_DURATION_S:
                loading[order.server] = order
            else:
                ordered[key] = order.version
        return loading, ordered

    async def _order_load(self, order: LoadOrder) -> None:
        view = self._directory.get(order.server)
        if view is None:
            return
        key = (order.server, order.model)
        self._sent_loads[key] = (order, self._ctx.clock.monotonic())
        fencing_token = self._lease.fencing_token()
        try:
            response = await self._send_order(view, order, fencing_token)
        except BackendServerError as exc:
            outcome = exc.reason.code
        else:
            outcome = "accepted" if response.accepted else "refused"
        if outcome == "accepted":
            self._accepted_orders[view] = self._accepted_orders.get(view, 0) + 1
            await self._announce_load(order)
        else:
            # The server's next report shows whether it was accepted.
            self._accepted_orders.pop(view, None)
            self._sent_loads.pop(key, None)
            until_s = self._ctx.clock.monotonic() + _ORDER_BACKOFF_S
            self._order_backoffs[order.server] = (order, until_s)
        self._ctx.log.event(
            "load_ordered",
            server=order.server,
            model=order.model,
            version=order.version,
            had=view.versions.get(order.model, 0),
            epoch=fencing_token.epoch,
            outcome=outcome,
        )

    async def _send_order(
        self, view: ServerView, order: LoadOrder, fencing_token: FencingToken
    ) -> OrderResponse:
        """Sends an order to load a version.

        The server refuses it if another order came in between.
        """
        if view not in self._accepted_orders:
            report = await self._servers.report(
                view.entry, timeout_s=DUTY_CALL_TIMEOUT_S
            )
            self._accepted_orders[view] = report.orders
            if report.leaving:
                view.announce_leaving()
        if not view.accepts_requests() or not self._lease.may_send():
            return OrderResponse(accepted=False)
        response = await self._servers.order_version(
            view.entry,
            VersionOrder(
                model=order.model,
                version=order.version,
                holder=fencing_token.holder,
                epoch=fencing_token.epoch,
                after=self._accepted_orders[view],
            ),
            timeout_s=DUTY_CALL_TIMEOUT_S,
        )
        if response.leaving:
            view.announce_leaving()
        return response

    async def _announce_load(self, order: LoadOrder) -> None:
        """Announces a load to the gateways that run jobs of its model."""
        update = WeightLoadUpdate(
            server=order.server,
            model=order.model,
            version=order.version,
            ready_s=_LOAD_DURATION_S,
        )
        nodes = [
            node
            for node in self._ctx.fleet.peers(NodeRole.GATEWAY)
            if order.model in self._required_by_node.get(node.name, {})
        ]
        for node in nodes:
            with contextlib.suppress(PeerError):
                # A gateway that misses the update reads it from the server's
                # entry later.
                await self._peers.post(node, "/loads", update)
