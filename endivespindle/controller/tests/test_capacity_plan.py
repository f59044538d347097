"""Capacity orders follow the peak slot demand of batch jobs."""

from endivespindle.controller.capacity_plan import (
    SlotDemandTracker,
    plan_capacity,
)
from endivespindle.core.clock import ManualClock
from endivespindle.serving.configuration import ScalingSpec, ServiceSpec
from endivespindle.serving.directory import ServerDirectory
from endivespindle.serving.tests.configs import server

CENTRES = ("a", "b", "c")
SPEC = ServiceSpec(
    name="engine",
    health_path="/h",
    max_connections=9,
    scaling=ScalingSpec(
        servers_min=1,
        servers_max=4,
        boot_s=4.0,
        spot_price=0.2,
        prices={"a": 1.0, "b": 0.8, "c": 1.25},
    ),
)


def _servers(*data_centres):
    directory = ServerDirectory(clock=ManualClock())
    for number, name in enumerate(data_centres):
        directory.put(
            server(f"e{number}", service="engine", slots=12, data_centre=name)
        )
    return directory.available_servers("engine")


def _plan(peak, *data_centres, ordered=None, may_scale_down=True):
    orders = plan_capacity(
        SPEC,
        _servers(*data_centres),
        CENTRES,
        peak=peak,
        ordered=ordered or {},
        may_scale_down=may_scale_down,
    )
    return {order.data_centre: order.servers for order in orders}


def test_three_concurrent_steps_get_slots():
    """120 items on six servers of 12 slots: four more servers are needed."""
    orders = _plan(120, "a", "a", "b", "b", "c", "c")
    assert sum(orders.values()) + 6 - 2 * len(orders) == 10
    assert orders["b"] == 4 or orders["b"] == 3


def test_servers_are_spread_over_the_data_centres():
    assert _plan(12 * 12, "a", "a", "b", "b", "c", "c") == {
        "a": 4,
        "b": 4,
        "c": 4,
    }


def test_orders_do_not_exceed_the_maximum():
    orders = _plan(10_000, "a", "b", "c")
    assert set(orders.values()) == {4}


def test_sufficient_servers_cause_no_order():
    assert _plan(24, "a", "b") == {}


def test_unneeded_servers_are_removed_down_to_the_minimum():
    ordered = {"a": 4, "b": 4, "c": 4}
    orders = _plan(0, "a", "b", "c", ordered=ordered)
    assert set(orders.values()) == {1}


def test_no_server_is_removed_before_demand_is_known():
    assert _plan(0, "a", "a", "b", "c", may_scale_down=False) == {}


def test_an_order_in_progress_is_not_repeated():
    ordered = {"a": 2, "b": 2, "c": 2}
    assert _plan(72, "a", "b", ordered=ordered) == {}


def test_peak_of_the_sum_over_nodes_expires_with_the_window():
    clock = ManualClock()
    tracker = SlotDemandTracker(clock=clock)
    tracker.record("n1", {"engine": 40})
    tracker.record("n2", {"engine": 80})
    tracker.record("n1", {})
    assert tracker.peak("engine") == 120
    clock.advance(31.0)
    tracker.record("n2", {"engine": 7})
    assert tracker.peak("engine") == 7
