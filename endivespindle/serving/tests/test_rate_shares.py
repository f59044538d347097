"""Division of the limits of servers among VMs."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from endivespindle.core.clock import ManualClock
from endivespindle.serving.rate_shares import (
    LimitReport,
    LimitShare,
    RateShares,
    merge_shares,
    split_burst,
    split_rate,
)


def _report(server="s1", limit=4.0, age=0.0, **changes):
    fields = {
        "server": server,
        "started_ms": 1,
        "service": "plain",
        "limit_per_s": limit,
        "age_s": age,
    }
    return LimitReport(**(fields | changes))


def _share_of(shares, vm, server="s1"):
    return next(
        share for share in shares.shares(vm) if share.report.server == server
    )


@given(
    limit=st.floats(0.1, 200.0),
    demands=st.dictionaries(
        st.integers(0, 300).map(lambda n: f"g{n}"),
        st.floats(0.0, 500.0),
        min_size=1,
        max_size=60,
    ),
)
def test_the_parts_add_up_to_the_limit_and_are_few(limit, demands):
    rates = split_rate(limit, demands)
    assert sum(rates.values()) == pytest.approx(limit)
    assert min(rates.values()) >= -1e-9
    # What a server allows in 4 s: one and a half times its limit and 5 more.
    bursts = split_burst(limit, rates)
    assert 4 * limit + sum(bursts.values()) <= 6 * limit + 5
    assert min(bursts.values()) >= 1.0


def test_a_busy_vm_gets_what_the_others_do_not_need():
    """Pattern: the owner of a step, and callers of all other VMs."""
    rates = split_rate(
        10.0, {"owner": 30.0, **{f"g{n}": 0.2 for n in range(7)}}
    )
    assert rates["g0"] == pytest.approx(0.25)
    assert rates["owner"] == pytest.approx(10.0 - 7 * 0.25)


def test_most_of_a_burst_goes_to_the_vm_that_sends_most():
    """Pattern: the items of a step, all at the VM that runs it."""
    bursts = split_burst(3.0, {"owner": 2.4, "g1": 0.3, "g2": 0.3})
    assert bursts["owner"] == pytest.approx(1 + 5.5 * 0.8)
    assert sum(bursts.values()) == pytest.approx(4 + 1.5 * 3.0)


def test_no_vm_gets_more_than_another_that_lacks_some():
    rates = split_rate(6.0, {"a": 100.0, "b": 5.0, "c": 0.4})
    assert rates["a"] == pytest.approx(rates["b"])


def test_vms_of_similar_demand_keep_their_shares():
    demands = {f"g{n}": 1.0 + 0.01 * n for n in range(40)}
    before = split_rate(2.0, demands)
    demands = {name: 2.1 - demand for name, demand in demands.items()}
    after = split_rate(2.0, demands, preferred=before.keys())
    assert after.keys() == before.keys()


def test_shares_follow_the_demand_of_each_vm():
    shares = RateShares(clock=ManualClock())
    shares.record("a", demand_per_s={"plain": 9.0}, reports=[_report()])
    shares.record("b", demand_per_s={}, reports=[])
    assert _share_of(shares, "a").share_per_s > 3.5
    assert _share_of(shares, "b").share_per_s < 0.5
    assert _share_of(shares, "b").report.limit_per_s == 4.0


def test_a_vm_that_no_longer_reports_leaves_its_share_to_others():
    clock = ManualClock()
    shares = RateShares(clock=clock)
    shares.record("a", demand_per_s={"plain": 9.0}, reports=[_report()])
    clock.advance(2.0)
    shares.record("b", demand_per_s={"plain": 9.0}, reports=[_report()])
    assert _share_of(shares, "b").share_per_s == pytest.approx(2.0)
    clock.advance(1.5)
    shares.record("b", demand_per_s={"plain": 9.0}, reports=[_report()])
    assert _share_of(shares, "b").share_per_s == pytest.approx(4.0)


def test_the_newest_report_of_a_server_counts():
    clock = ManualClock()
    shares = RateShares(clock=clock)
    shares.record("a", demand_per_s={}, reports=[_report(limit=None)])
    shares.record("b", demand_per_s={}, reports=[_report(age=1.0)])
    assert _share_of(shares, "a").report.limit_per_s is None
    clock.advance(2.0)
    shares.record("b", demand_per_s={}, reports=[_report(limit=3.0)])
    assert _share_of(shares, "a").report.limit_per_s == 3.0


def test_a_new_incarnation_replaces_the_report_of_the_old_one():
    shares = RateShares(clock=ManualClock())
    shares.record("a", demand_per_s={}, reports=[_report()])
    shares.record(
        "b",
        demand_per_s={},
        reports=[_report(limit=None, age=5.0, started_ms=2)],
    )
    assert _share_of(shares, "a").report.started_ms == 2


@pytest.mark.parametrize("limit", [None, 4.0])
def test_a_limit_that_no_vm_reports_any_more_is_forgotten(limit):
    """It was lifted, or its server is gone and must not count with others."""
    clock = ManualClock()
    shares = RateShares(clock=clock)
    shares.record("a", demand_per_s={}, reports=[_report(limit=limit)])
    for _ in range(6):
        clock.advance(0.6)
        shares.record("a", demand_per_s={}, reports=[_report("s2")])
    assert [s.report.server for s in shares.shares("a")] == ["s2"]


def test_limits_are_divided_seldom_however_many_vms_report():
    """Pattern: hundreds of VMs report four times a second."""
    clock = ManualClock()
    shares = RateShares(clock=clock)
    shares.record("a", demand_per_s={"plain": 100.0}, reports=[_report()])
    divided = set()
    for number in range(400):
        clock.advance(0.001)
        demand_per_s = {"plain": 0.1 + 0.001 * number}
        shares.record("b", demand_per_s=demand_per_s, reports=[_report()])
        divided.add(_share_of(shares, "a").share_per_s)
    assert len(divided) <= 0.4 / 0.1 + 1


def test_a_controller_that_knows_few_vms_does_not_raise_a_share():
    """It has just started, or cannot reach the others."""
    replies = [
        [LimitShare(report=_report(age=0.3), share_per_s=0.5, burst=1.0)],
        [
            LimitShare(
                report=_report(limit=None, age=0.1), share_per_s=4.0, burst=9.0
            )
        ],
        [],
    ]
    (merged,) = merge_shares(replies)
    assert (merged.share_per_s, merged.burst) == (0.5, 1.0)
    assert merged.report.limit_per_s is None
