"""Headroom, hysteresis, lost data centres and demand over all VMs."""

from endivespindle.capacity.availability import DataCentreAvailability
from endivespindle.capacity.demand import DemandAggregator
from endivespindle.capacity.policy import (
    CapacityPolicy,
    DataCentreOffer,
    Demand,
)
from endivespindle.core.clock import ManualClock

_RELIABLE = DataCentreOffer(name="s", cheap=False, price=1.0, max_servers=100)
_A = DataCentreOffer(name="a", cheap=True, price=0.4, max_servers=100)
_B = DataCentreOffer(name="b", cheap=True, price=0.4, max_servers=100)


def _policy() -> CapacityPolicy:
    return CapacityPolicy(tokens_per_server_s=100.0, start_time_s=60.0)


def test_urgent_work_survives_losing_the_largest_cheap_data_centre():
    demand = Demand(urgent_tokens_per_s=4000.0, batch_tokens_per_s=1000.0)
    for centres in ([_RELIABLE, _A], [_RELIABLE, _A, _B]):
        counts = _policy().plan(demand, centres, now_s=0.0)
        largest = max(counts["a"], counts.get("b", 0))
        assert (sum(counts.values()) - largest) * 100 >= 4000


def test_batch_work_is_placed_in_cheap_data_centres():
    demand = Demand(urgent_tokens_per_s=500.0, batch_tokens_per_s=5000.0)
    counts = _policy().plan(demand, [_RELIABLE, _A, _B], now_s=0.0)
    assert counts["a"] + counts["b"] > 5 * counts["s"]


def test_scaling_up_is_immediate_and_scaling_down_delayed():
    policy = _policy()
    low, high = (
        Demand(urgent_tokens_per_s=700),
        Demand(urgent_tokens_per_s=7000),
    )
    policy.plan(low, [_RELIABLE], now_s=0.0)
    scaled_up = policy.plan(high, [_RELIABLE], now_s=30.0)["s"]
    assert scaled_up > 10
    assert policy.plan(low, [_RELIABLE], now_s=60.0)["s"] >= scaled_up
    for step in range(3, 60):
        counts = policy.plan(low, [_RELIABLE], now_s=30.0 * step)
    assert counts["s"] <= 11


def test_new_holder_starts_from_the_servers_ordered():
    policy = _policy()
    policy.start_from(40, now_s=0.0)
    counts = policy.plan(
        Demand(urgent_tokens_per_s=0.0), [_RELIABLE], now_s=0.0
    )
    assert counts["s"] == 40


def test_lost_servers_make_a_data_centre_unavailable_but_starting_ones_do_not():
    clock = ManualClock()
    availability = DataCentreAvailability(clock=clock, start_time_s=60.0)
    availability.record("a", wanted=5, running=0)
    assert availability.is_available("a")
    availability.record("a", wanted=5, running=5)
    availability.record("a", wanted=5, running=0)
    assert not availability.is_available("a")
    clock.advance(301)
    assert availability.is_available("a")


def test_demand_is_the_sum_of_counter_differences_of_known_vms():
    aggregator = DemandAggregator()
    aggregator.collect({("a", "1"): {"s": 100}, ("b", "1"): {"s": 50}})
    requested = aggregator.collect(
        {("a", "1"): {"s": 130}, ("b", "2"): {"s": 7}}
    )
    assert requested["s"] == 37
