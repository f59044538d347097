"""Budget, breaker, gate and shared watch."""

import asyncio
import collections
import random

import pytest

from endivespindle.core.clock import ManualClock
from endivespindle.exceptions import (
    AnswerLostError,
    ConflictError,
    PlatformUnavailableError,
)
from endivespindle.schema.generated.backend import CapacityOrder
from endivespindle.standins.memory_store import MemoryObjectStore
from endivespindle.store.call_limiter import CallLimiter
from endivespindle.store.change_notifier import ChangeNotifier
from endivespindle.store.circuit_breaker import CircuitBreaker
from endivespindle.store.interfaces import CapacityInterface
from endivespindle.store.rate_limited_platform import (
    RateLimitedCapacity,
    RateLimitedStore,
)
from endivespindle.store.rate_limiter import (
    CallKind,
    CallPriority,
    CallRateLimiter,
)


class _Capacity(CapacityInterface):
    def __init__(self) -> None:
        self.taken: list[CapacityOrder] = []

    async def order(self, order, *, timeout_s):
        self.taken.append(order)

    async def state(self, *, data_centre, service):
        raise NotImplementedError


def _budget(clock: ManualClock, reads: float = 4, writes: float = 4):
    return CallRateLimiter(clock=clock, reads_per_s=reads, writes_per_s=writes)


def _gate(clock, counts, *, reads: float = 100, writes: float = 100):
    return CallLimiter(
        rate_limiter=_budget(clock, reads, writes),
        breaker=CircuitBreaker(clock=clock, rng=random.Random(1)),
        on_call=lambda name, outcome: counts.update([(name, outcome)]),
    )


def test_bulk_leaves_a_reserve_to_urgent_calls():
    clock = ManualClock()
    budget = _budget(clock)
    while not budget.try_acquire(CallKind.WRITE, CallPriority.BULK):
        pass
    assert budget.try_acquire(CallKind.WRITE, CallPriority.URGENT) == 0
    assert budget.try_acquire(CallKind.READ, CallPriority.BULK) == 0


def test_no_second_takes_more_than_rate_and_burst():
    clock, rng = ManualClock(), random.Random(3)
    budget = _budget(clock)
    taken: list[float] = []
    for _ in range(500):
        clock.advance(rng.uniform(0, 0.1))
        urgency = rng.choice(list(CallPriority))
        if not budget.try_acquire(CallKind.READ, urgency):
            taken.append(clock.monotonic())
    elapsed_s = clock.monotonic()
    assert len(taken) <= 4 * elapsed_s + 4
    assert len(taken) >= 4 * elapsed_s * 0.9


def test_breaker_opens_probes_once_and_closes():
    clock = ManualClock()
    breaker = CircuitBreaker(clock=clock, rng=random.Random(1))
    for _ in range(5):
        assert breaker.allow()
        breaker.record_failure()
    assert not breaker.allow()
    clock.advance(0.2)
    assert breaker.allow()
    assert not breaker.allow()
    breaker.record_success()
    assert breaker.allow()
    assert breaker.allow()


def test_probe_that_is_never_reported_on_is_given_up():
    clock = ManualClock()
    breaker = CircuitBreaker(clock=clock, rng=random.Random(1))
    for _ in range(5):
        breaker.record_failure()
    clock.advance(0.2)
    assert breaker.allow()
    clock.advance(2.0)
    assert breaker.allow()


async def test_a_refusal_is_an_answer_and_keeps_the_breaker_closed():
    clock, counts = ManualClock(), collections.Counter()
    gate = _gate(clock, counts)
    store = RateLimitedStore(store=MemoryObjectStore(), limiter=gate)
    await store.put(kind="k", name="n", value=b"1", expect_version=0)
    for _ in range(10):
        with pytest.raises(ConflictError):
            await store.put(kind="k", name="n", value=b"2", expect_version=0)
    assert counts["put:k", "refused"] == 10
    assert gate.calls_by_kind[CallKind.WRITE] == 11


async def test_open_breaker_makes_no_call():
    clock, counts = ManualClock(), collections.Counter()
    raw = MemoryObjectStore()
    raw.faults.down = True
    store = RateLimitedStore(store=raw, limiter=_gate(clock, counts))
    for _ in range(20):
        with pytest.raises(PlatformUnavailableError):
            await store.get(kind="k", name="n")
    assert raw.reads == 5
    assert counts["get:k", "breaker_open"] == 15


async def test_lost_answer_passes_through_the_gate_as_such():
    raw = MemoryObjectStore()
    raw.faults.lose_answers = 1
    store = RateLimitedStore(
        store=raw, limiter=_gate(ManualClock(), collections.Counter())
    )
    with pytest.raises(AnswerLostError):
        await store.put(kind="k", name="n", value=b"1", expect_version=0)


async def test_an_order_never_waits_for_the_budget():
    clock, counts = ManualClock(), collections.Counter()
    far_side = _Capacity()
    capacity = RateLimitedCapacity(
        capacity=far_side, limiter=_gate(clock, counts, writes=0.1)
    )
    order = CapacityOrder(
        data_centre="d",
        service="s",
        count=1,
        fencing_number=1,
        number=1,
        intent_id="i",
    )
    for _ in range(2):
        await capacity.order(order, timeout_s=1.0)
    with pytest.raises(PlatformUnavailableError):
        await asyncio.wait_for(capacity.order(order, timeout_s=1.0), 0.5)
    assert counts["order", "over_budget"] == 1
    assert far_side.taken == [order, order]


async def _watching(
    store: MemoryObjectStore,
) -> tuple[ChangeNotifier, asyncio.Task]:
    watch = ChangeNotifier(
        store=store, kind="k", wait_s=5.0, rng=random.Random(1)
    )
    return watch, asyncio.create_task(watch.run())


async def test_writes_to_other_objects_cost_an_idle_waiter_no_reads():
    store = MemoryObjectStore()
    version = await store.put(kind="k", name="a", value=b"", expect_version=0)
    other = 0
    watch, task = await _watching(store)
    waiter = asyncio.create_task(
        watch.wait_for_change(name="a", version=version, timeout_s=5.0)
    )
    for _ in range(50):
        other = await store.put(
            kind="k", name="b", value=b"", expect_version=other
        )
        await asyncio.sleep(0.001)
    assert not waiter.done()
    assert store.reads <= 60
    await store.put(kind="k", name="a", value=b"2", expect_version=version)
    await asyncio.wait_for(waiter, 1.0)
    task.cancel()


async def test_old_objects_of_a_quiet_kind_do_not_count_as_lost():
    store = MemoryObjectStore()
    version = await store.put(kind="k", name="a", value=b"", expect_version=0)
    other = 0
    for _ in range(5000):
        other = await store.put(
            kind="busy", name="b", value=b"", expect_version=other
        )
    events = await store.watch(kind="k", after=version, wait_s=0.0)
    assert not events.lost
    lost = await store.watch(kind="busy", after=version, wait_s=0.0)
    assert lost.lost


async def test_lost_changes_are_listed():
    store = MemoryObjectStore()
    watch, task = await _watching(store)
    await watch.wait_for_change(name="a", version=0, timeout_s=0.01)
    other = 0
    for _ in range(1000):
        other = await store.put(
            kind="k", name="b", value=b"", expect_version=other
        )
    await store.put(kind="k", name="a", value=b"", expect_version=0)
    await asyncio.wait_for(
        watch.wait_for_change(name="a", version=0, timeout_s=2.0), 1.0
    )
    task.cancel()


def test_a_call_that_a_caller_waits_for_is_tried_soon():
    """After a long outage a step is not refused for another 2 s."""
    clock = ManualClock()
    breaker = CircuitBreaker(clock=clock, rng=random.Random(1))
    for _ in range(12):
        breaker.record_failure()
    clock.advance(0.5)
    assert not breaker.allow()
    assert breaker.allow(has_waiting_caller=True)
    assert not breaker.allow(has_waiting_caller=True)
    breaker.record_failure()
    clock.advance(0.3)
    assert breaker.allow(has_waiting_caller=True)
    breaker.record_success()
    assert breaker.allow()
