"""Headroom, hysteresis, lost zones and demand over all VMs."""

from endivespindle.capacity.availability import DataCentreAvailability
from endivespindle.capacity.demand import DemandAggregator
from endivespindle.capacity.policy import (
    CapacityPolicy,
    DataCentreOffer,
    Demand,
)
from endivespindle.core.clock import ManualClock

_STEADY = DataCentreOffer(name="s", cheap=False, price=1.0, max_servers=100)
_A = DataCentreOffer(name="a", cheap=True, price=0.4, max_servers=100)
_B = DataCentreOffer(name="b", cheap=True, price=0.4, max_servers=100)


def _policy() -> CapacityPolicy:
    return CapacityPolicy(tokens_per_server_s=100.0, start_time_s=60.0)


def test_urgent_work_outlives_the_largest_cheap_zone():
    demand = Demand(urgent_tokens_per_s=4000.0, batch_tokens_per_s=1000.0)
    for centres in ([_STEADY, _A], [_STEADY, _A, _B]):
        counts = _policy().plan(demand, centres, now_s=0.0)
        largest = max(counts["a"], counts.get("b", 0))
        assert (sum(counts.values()) - largest) * 100 >= 4000


def test_batch_work_goes_to_cheap_zones():
    demand = Demand(urgent_tokens_per_s=500.0, batch_tokens_per_s=5000.0)
    counts = _policy().plan(demand, [_STEADY, _A, _B], now_s=0.0)
    assert counts["a"] + counts["b"] > 5 * counts["s"]


def test_orders_grow_at_once_and_shrink_late():
    policy = _policy()
    low, high = (
        Demand(urgent_tokens_per_s=700),
        Demand(urgent_tokens_per_s=7000),
    )
    policy.plan(low, [_STEADY], now_s=0.0)
    grown = policy.plan(high, [_STEADY], now_s=30.0)["s"]
    assert grown > 10
    assert policy.plan(low, [_STEADY], now_s=60.0)["s"] >= grown
    for step in range(3, 60):
        counts = policy.plan(low, [_STEADY], now_s=30.0 * step)
    assert counts["s"] <= 11


def test_successor_starts_from_what_is_ordered():
    policy = _policy()
    policy.start_from(40, now_s=0.0)
    counts = policy.plan(Demand(urgent_tokens_per_s=0.0), [_STEADY], now_s=0.0)
    assert counts["s"] == 40


def test_zone_that_lost_its_servers_is_told_from_one_that_starts_them():
    clock = ManualClock()
    watch = DataCentreAvailability(clock=clock, start_time_s=60.0)
    watch.record("a", wanted=5, running=0)
    assert watch.is_available("a")
    watch.record("a", wanted=5, running=5)
    watch.record("a", wanted=5, running=0)
    assert not watch.is_available("a")
    clock.advance(301)
    assert watch.is_available("a")


def test_demand_counts_every_vm_once():
    view = DemandAggregator()
    view.collect({("a", "1"): {"s": 100}, ("b", "1"): {"s": 50}})
    asked = view.collect({("a", "1"): {"s": 130}, ("b", "2"): {"s": 7}})
    assert asked["s"] == 37
