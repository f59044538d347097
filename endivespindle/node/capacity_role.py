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
    """What the holder keeps for one service."""

    __slots__ = ("centres", "policy")

    def __init__(self, *, ctx: NodeContext, service: Service, minimum: int):
        self.centres = DataCentreAvailability(
            clock=ctx.clock, start_time_s=service.start_time_s
        )
        self.policy = CapacityPolicy(
            tokens_per_server_s=service.tokens_per_server_s,
            start_time_s=service.start_time_s,
            servers_min=minimum,
        )


class CapacityRole:
    """Plans and orders while this VM holds a data centre's lease.

    Every data centre's holder plans the whole fleet from the same demand,
    which heartbeats carry, and orders its own part of the plan.

    Args:
        ctx: Shared state of the VM.
        capacity: The ordering interface.
        data_centre: Data centre ordered for.
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
        """Looks at demand at a steady pace and orders what is missing."""
        self._demand = DemandAggregator()
        self._plans = {}
        self._demand.collect(self._counts())
        while keeper.lease.held():
            await self._repeat_undone(keeper)
            interval_s = self._ctx.view().register.rules.capacity_interval_s
            await asyncio.sleep(interval_s)
            asked = self._demand.collect(self._counts())
            for service in self._ctx.view().register.services:
                tokens_s = asked.get(service.name, 0) / interval_s
                await self._plan(keeper, service, tokens_s)

    def _counts(self) -> dict[tuple[str, str], dict[str, int]]:
        """Returns every VM's counters, this one's included."""
        ctx = self._ctx
        counts = {(ctx.settings.vm.name, ctx.incarnation): ctx.demand.counts()}
        for name, peer in ctx.membership.peers.items():
            if peer.heartbeat is not None:
                counts[name, peer.heartbeat.incarnation] = {
                    asked.service: asked.tokens
                    for asked in peer.heartbeat.asked
                }
        return counts

    async def _repeat_undone(self, keeper: LeaseKeeper) -> None:
        """Sends acts again that the far side has not confirmed."""
        undone = unconfirmed_orders(
            keeper.lease.intents, fencing_number=keeper.lease.epoch
        )
        for order in undone:
            await self._send(keeper, order)

    async def _plan(
        self, keeper: LeaseKeeper, service: Service, tokens_s: float
    ) -> None:
        register = self._ctx.view().register
        centres = [c for c in register.data_centres if c.max_servers]
        if self._data_centre not in [c.name for c in centres]:
            return
        own = await self._state(self._data_centre, service.name)
        if own is None or self._is_idle(service, own, tokens_s):
            return
        states = await self._other_states(service, centres)
        states[self._data_centre] = own
        plan = self._plan_of(service, states)
        for name, state in states.items():
            if state is not None:
                plan.centres.record(
                    name, wanted=state.wanted, running=len(state.running)
                )
        counts = plan.policy.plan(
            Demand(urgent_tokens_per_s=tokens_s),
            [
                _offer(c, is_available=plan.centres.is_available(c.name))
                for c in centres
            ],
            now_s=self._ctx.clock.monotonic(),
        )
        if not plan.centres.is_available(self._data_centre):
            return
        wanted = max(service.servers_min, counts[self._data_centre])
        if wanted != own.wanted:
            await self._order(keeper, service.name, wanted)

    def _is_idle(
        self, service: Service, own: CapacityState, tokens_s: float
    ) -> bool:
        """Tells whether nothing is ordered, asked for or to be kept."""
        known = service.name in self._plans
        return not (known or own.wanted or tokens_s or service.servers_min)

    async def _other_states(
        self, service: Service, centres: list[DataCentre]
    ) -> dict[str, CapacityState | None]:
        """Reads the other data centres: all at first, then those at risk."""
        known = service.name in self._plans
        return {
            centre.name: await self._state(centre.name, service.name)
            for centre in centres
            if centre.name != self._data_centre and (centre.cheap or not known)
        }

    def _plan_of(
        self, service: Service, states: dict[str, CapacityState | None]
    ) -> _ServicePlan:
        """Returns what is kept for a service, begun with what is ordered."""
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

    async def _state(self, centre: str, service: str) -> CapacityState | None:
        try:
            return await self._capacity.state(
                data_centre=centre, service=service
            )
        except (PlatformUnavailableError, AnswerLostError):
            return None

    async def _order(
        self, keeper: LeaseKeeper, service: str, count: int
    ) -> None:
        """Records the intent first, then sends."""
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

    async def _send(self, keeper: LeaseKeeper, order: IntendedOrder) -> None:
        """Checks the lease once more, directly before the send."""
        told = order.order
        if told.fencing_number != keeper.lease.epoch:
            return
        if not keeper.lease.may_send(timeout_s=_SEND_TIMEOUT_S):
            return
        try:
            await self._capacity.order(told, timeout_s=_SEND_TIMEOUT_S)
        except (PlatformUnavailableError, AnswerLostError, ConflictError):
            self._ctx.metrics.count_retry(RetryReason.ORDER_UNTAKEN)
            return
        keeper.lease.mark_done(told.intent_id)
        self._ctx.tell(
            told.intent_id,
            "ordered",
            service=told.service,
            count=told.count,
            epoch=told.fencing_number,
            number=told.number,
        )


def _offer(centre: DataCentre, *, is_available: bool) -> DataCentreOffer:
    return DataCentreOffer(
        name=centre.name,
        cheap=centre.cheap,
        price=centre.price_per_server_h,
        max_servers=centre.max_servers,
        is_available=is_available,
    )
