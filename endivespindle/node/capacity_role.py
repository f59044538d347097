"""Orders backend servers for one data centre."""

import asyncio

from endivespindle.capacity.availability import DataCentreAvailability
from endivespindle.capacity.demand import DemandAggregator
from endivespindle.capacity.orders import (
    IntendedOrder,
    next_order,
    unconfirmed_orders,
)
from endivespindle.capacity.policy import (
    CapacityPolicy,
    DataCentreOffer,
    Demand,
)
from endivespindle.core.reasons import RetryReason
from endivespindle.exceptions import (
    AnswerLostError,
    ConflictError,
    PlatformUnavailableError,
)
from endivespindle.node.context import NodeContext
from endivespindle.node.lease_keeper import LeaseKeeper
from endivespindle.schema.generated.backend import CapacityState
from endivespindle.schema.generated.register import DataCentre, Service
from endivespindle.store.interfaces import CapacityInterface

__all__ = ["CapacityRole"]

_SEND_TIMEOUT_S = 1.0


class _ServicePlan:
    """Planning state of the lease holder for one service."""

    __slots__ = ("availability", "policy")

    def __init__(self, *, ctx: NodeContext, service: Service, minimum: int):
        self.availability = DataCentreAvailability(
            clock=ctx.clock, start_time_s=service.start_time_s
        )
        self.policy = CapacityPolicy(
            tokens_per_server_s=service.tokens_per_server_s,
            start_time_s=service.start_time_s,
            servers_min=minimum,
        )


class CapacityRole:
    """Plans and orders servers while this VM holds a data centre's lease.

    The lease holder of every data centre computes the plan of the whole fleet
    from the same demand, which heartbeats carry, and orders only the servers
    of its own data centre.

    Args:
        ctx: Shared state of the VM.
        capacity: Interface that orders servers.
        data_centre: Data centre whose servers are ordered.
    """

    __slots__ = ("_capacity", "_ctx", "_data_centre", "_demand", "_plans")

    def __init__(
        self,
        *,
        ctx: NodeContext,
        capacity: CapacityInterface,
        data_centre: str,
    ):
        self._ctx = ctx
        self._capacity = capacity
        self._data_centre = data_centre
        self._demand = DemandAggregator()
        self._plans: dict[str, _ServicePlan] = {}

    async def run(self, keeper: LeaseKeeper) -> None:
        """Measures demand at a fixed interval and updates the orders."""
        self._demand = DemandAggregator()
        self._plans = {}
        self._demand.collect(self._token_counts())
        while keeper.lease.is_held():
            await self._reissue_unconfirmed(keeper)
            interval_s = self._ctx.view().register.rules.capacity_interval_s
            await asyncio.sleep(interval_s)
            tokens_requested = self._demand.collect(self._token_counts())
            for service in self._ctx.view().register.services:
                tokens_per_s = (
                    tokens_requested.get(service.name, 0) / interval_s
                )
                await self._plan(keeper, service, tokens_per_s)

    def _token_counts(self) -> dict[tuple[str, str], dict[str, int]]:
        """Returns the token counters of all VMs, by VM name and incarnation."""
        ctx = self._ctx
        counts = {(ctx.settings.vm.name, ctx.incarnation): ctx.demand.counts()}
        for name, peer in ctx.membership.peers.items():
            if peer.heartbeat is not None:
                counts[name, peer.heartbeat.incarnation] = {
                    counter.service: counter.tokens
                    for counter in peer.heartbeat.asked
                }
        return counts

    async def _reissue_unconfirmed(self, keeper: LeaseKeeper) -> None:
        """Reissues the orders that the platform has not confirmed."""
        orders = unconfirmed_orders(
            keeper.lease.intents, fencing_number=keeper.lease.epoch
        )
        for order in orders:
            await self._send(keeper, order)

    async def _plan(
        self, keeper: LeaseKeeper, service: Service, tokens_per_s: float
    ) -> None:
        register = self._ctx.view().register
        data_centres = [c for c in register.data_centres if c.max_servers]
        if self._data_centre not in [c.name for c in data_centres]:
            return
        own = await self._read_state(self._data_centre, service.name)
        if own is None or self._is_idle(service, own, tokens_per_s):
            return
        states = await self._read_other_states(service, data_centres)
        states[self._data_centre] = own
        plan = self._plan_for(service, states)
        for name, state in states.items():
            if state is not None:
                plan.availability.record(
                    name, wanted=state.wanted, running=len(state.running)
                )
        counts = plan.policy.plan(
            Demand(urgent_tokens_per_s=tokens_per_s),
            [
                _offer(c, is_available=plan.availability.is_available(c.name))
                for c in data_centres
            ],
            now_s=self._ctx.clock.monotonic(),
        )
        if not plan.availability.is_available(self._data_centre):
            return
        wanted = max(service.servers_min, counts[self._data_centre])
        if wanted != own.wanted:
            await self._place_order(keeper, service.name, wanted)

    def _is_idle(
        self, service: Service, own: CapacityState, tokens_per_s: float
    ) -> bool:
        """Returns whether a service has no orders, demand or minimum."""
        has_plan = service.name in self._plans
        return not (
            has_plan or own.wanted or tokens_per_s or service.servers_min
        )

    async def _read_other_states(
        self, service: Service, data_centres: list[DataCentre]
    ) -> dict[str, CapacityState | None]:
        """Reads the states of the other data centres.

        The first plan of a service reads all of them, later plans only the
        preemptible ones, whose servers may be reclaimed.
        """
        has_plan = service.name in self._plans
        return {
            data_centre.name: await self._read_state(
                data_centre.name, service.name
            )
            for data_centre in data_centres
            if data_centre.name != self._data_centre
            and (data_centre.cheap or not has_plan)
        }

    def _plan_for(
        self, service: Service, states: dict[str, CapacityState | None]
    ) -> _ServicePlan:
        """Returns the plan of a service; a new one starts from its orders."""
        plan = self._plans.get(service.name)
        if plan is None:
            plan = self._plans[service.name] = _ServicePlan(
                ctx=self._ctx,
                service=service,
                minimum=service.servers_min * len(states),
            )
            plan.policy.start_from(
                sum(state.wanted for state in states.values() if state),
                now_s=self._ctx.clock.monotonic(),
            )
        return plan

    async def _read_state(
        self, data_centre: str, service: str
    ) -> CapacityState | None:
        try:
            return await self._capacity.state(
                data_centre=data_centre, service=service
            )
        except (PlatformUnavailableError, AnswerLostError):
            return None

    async def _place_order(
        self, keeper: LeaseKeeper, service: str, count: int
    ) -> None:
        """Records the intent of an order, then sends the order."""
        order = next_order(
            intents=keeper.lease.intents,
            data_centre=self._data_centre,
            service=service,
            count=count,
            fencing_number=keeper.lease.epoch,
            new_id=self._ctx.ids.new("i"),
        )
        if not keeper.lease.has_recorded(order.intent):
            await keeper.record_intent(order.intent)
        await self._send(keeper, order)

    async def _send(self, keeper: LeaseKeeper, intended: IntendedOrder) -> None:
        """Sends an order if the lease is still valid right before the send."""
        order = intended.order
        if order.fencing_number != keeper.lease.epoch:
            return
        if not keeper.lease.may_send(timeout_s=_SEND_TIMEOUT_S):
            return
        try:
            await self._capacity.order(order, timeout_s=_SEND_TIMEOUT_S)
        except (PlatformUnavailableError, AnswerLostError, ConflictError):
            self._ctx.metrics.count_retry(RetryReason.ORDER_UNTAKEN)
            return
        keeper.lease.mark_done(order.intent_id)
        self._ctx.record_event(
            order.intent_id,
            "ordered",
            service=order.service,
            count=order.count,
            epoch=order.fencing_number,
            number=order.number,
        )


def _offer(data_centre: DataCentre, *, is_available: bool) -> DataCentreOffer:
    return DataCentreOffer(
        name=data_centre.name,
        cheap=data_centre.cheap,
        price=data_centre.price_per_server_h,
        max_servers=data_centre.max_servers,
        is_available=is_available,
    )
