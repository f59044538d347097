"""Orders through the adapters: lost answers, a successor, a pause."""

import random

import pytest

from endivespindle.capacity.orders import next_order
from endivespindle.core.clock import ManualClock
from endivespindle.core.ids import SeededIdSource
from endivespindle.exceptions import AnswerLostError, LeaseLostError
from endivespindle.node.capacity_role import CapacityRole
from endivespindle.node.context import NodeContext
from endivespindle.node.lease_keeper import LeaseKeeper
from endivespindle.schema.generated.backend import CapacityOrder
from endivespindle.schema.generated.settings import (
    KeySettings,
    ListenSettings,
    PeerSettings,
    PlatformSettings,
    Settings,
    VmSettings,
)
from endivespindle.standins.memory_store import MemoryObjectStore
from endivespindle.store.interfaces import CapacityInterface

_SECRET = "0123456789abcdef0123"
_TAKE_OVER_S = 7.7


class _FarSide(CapacityInterface):
    """Takes every order, and loses the answers it is told to lose."""

    def __init__(self) -> None:
        self.taken: list[CapacityOrder] = []
        self.lose_answers = 0

    async def order(self, order, *, timeout_s):
        self.taken.append(order)
        if self.lose_answers:
            self.lose_answers -= 1
            raise AnswerLostError("lost")

    async def state(self, *, data_centre, service):
        raise NotImplementedError


class _Vm:
    def __init__(self, name: str, seed: int, world: "_World"):
        settings = Settings(
            vm=VmSettings(name=name, data_centre="d", host="127.0.0.1"),
            listen=ListenSettings(port=0, peer_port=0),
            platform=PlatformSettings(base_url="http://127.0.0.1:1"),
            peers=PeerSettings(secrets=[_SECRET]),
            keys=KeySettings(hash_secret=_SECRET, operator_token=_SECRET),
        )
        self.ctx = NodeContext(
            settings=settings,
            clock=world.clock,
            ids=SeededIdSource(seed=seed),
            rng=random.Random(seed),
        )
        self.keeper = LeaseKeeper(
            ctx=self.ctx, store=world.store, shard="capacity/d", max_send_s=1.5
        )
        self.role = CapacityRole(
            ctx=self.ctx, capacity=world.far_side, data_centre="d"
        )

    async def refresh(self) -> None:
        await self.keeper._acquire_or_renew()

    async def order(self, count: int) -> None:
        await self.role._place_order(self.keeper, "s", count)

    async def repeat_undone(self) -> None:
        await self.role._reissue_unconfirmed(self.keeper)


class _World:
    def __init__(self) -> None:
        self.clock = ManualClock()
        self.store = MemoryObjectStore()
        self.far_side = _FarSide()
        self.first = _Vm("a", 1, self)
        self.second = _Vm("b", 2, self)

    async def hand_over(self) -> None:
        """The first VM falls silent, the second takes over."""
        await self.second.refresh()
        self.clock.advance(_TAKE_OVER_S)
        await self.second.refresh()
        assert self.second.keeper.lease.is_held()


async def test_successor_repeats_an_unconfirmed_order():
    world = _World()
    await world.first.refresh()
    world.far_side.lose_answers = 1
    await world.first.order(5)
    await world.hand_over()
    await world.second.repeat_undone()
    before, after = world.far_side.taken
    assert (after.intent_id, after.number, after.count) == (
        before.intent_id,
        before.number,
        before.count,
    )
    assert (before.fencing_number, after.fencing_number) == (1, 2)


async def test_confirmed_order_is_not_repeated():
    world = _World()
    await world.first.refresh()
    await world.first.order(5)
    await world.first.refresh()
    await world.hand_over()
    await world.second.repeat_undone()
    assert len(world.far_side.taken) == 1
    await world.second.order(6)
    assert [o.number for o in world.far_side.taken] == [1, 2]


async def test_holder_paused_past_its_term_sends_nothing():
    world = _World()
    await world.first.refresh()
    await world.hand_over()
    with pytest.raises(LeaseLostError):
        await world.first.order(5)
    assert world.far_side.taken == []


async def test_pause_between_intent_and_send_sends_nothing():
    world = _World()
    first = world.first
    await first.refresh()
    order = next_order(
        intents=[],
        data_centre="d",
        service="s",
        count=5,
        fencing_number=first.keeper.lease.epoch,
        new_id="i",
    )
    await first.keeper.record_intent(order.intent)
    world.clock.advance(_TAKE_OVER_S)
    await first.role._send(first.keeper, order)
    assert world.far_side.taken == []


async def test_lost_answer_to_the_intent_is_settled_before_the_send():
    world = _World()
    await world.first.refresh()
    world.store.faults.lose_answers = 1
    await world.first.order(5)
    assert [o.count for o in world.far_side.taken] == [5]


async def test_two_services_keep_an_intent_each():
    world = _World()
    await world.first.refresh()
    world.far_side.lose_answers = 2
    await world.first.order(5)
    await world.first.role._place_order(world.first.keeper, "other", 3)
    await world.hand_over()
    await world.second.repeat_undone()
    repeated = world.far_side.taken[2:]
    assert [(o.service, o.count) for o in repeated] == [("s", 5), ("other", 3)]
