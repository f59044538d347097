"""Cold servers, and data centres that are evacuated.

Load pattern: the servers of a data centre return together and cold, while steps
of several trainers arrive at once at some of many VMs.
"""

import random

import pytest

from endivespindle.core.clock import ManualClock
from endivespindle.serving.cold_servers import cold_rate_limit
from endivespindle.serving.directory import ServerDirectory
from endivespindle.serving.placement import place_request
from endivespindle.serving.rate_shares import RateShares, merge_shares
from endivespindle.serving.tests.configs import server

RATE_PER_S = 7.9
FACTOR = 1.5
SLACK = 5.0
# What any second may bring it: `coldPerS` x `coldOver` + `coldSlack`.
ALLOWED = RATE_PER_S * FACTOR + SLACK
COLD = ("s0", "s1", "s2")
COLD_FOR_S = 8.0
UPDATE_S = 0.25
STEP_S = 0.01


class _Fleet:
    """VMs that send bursts to cold servers and exchange their demand."""

    def __init__(self, *, vms, seed):
        self.clock = ManualClock()
        self.rng = random.Random(seed)
        self.arrivals = {name: [] for name in COLD}
        self.shares = [RateShares(clock=self.clock) for _ in range(2)]
        self.directories = {}
        self.vms = [f"g{number}" for number in range(vms)]
        for name in self.vms:
            self.restart(name)

    def restart(self, name):
        directory = ServerDirectory(
            clock=self.clock,
            count_vms=lambda: len(self.vms),
            cold_limit=lambda service: cold_rate_limit(
                RATE_PER_S, factor=FACTOR, slack=SLACK
            ),
        )
        for cold in COLD:
            directory.put(server(cold, cold_for_s=COLD_FOR_S))
        self.directories[name] = directory

    def send(self, name, count):
        directory = self.directories[name]
        for _ in range(count):
            directory.record_demand("plain")
            view = place_request(
                directory.available_servers("plain"),
                tried=(),
                data_centre="a",
                rng=self.rng,
                max_start_delay_s=0.0,
            )
            if view is not None:
                delay_s = view.rate_limit.reserve_start()
                at_s = self.clock.monotonic() + delay_s
                self.arrivals[view.entry.name].append(at_s)

    def exchange(self, name, controllers):
        directory = self.directories[name]
        replies = []
        for shares in controllers:
            shares.record(
                name,
                demand_per_s=directory.demand_per_s(),
                reports=directory.limit_reports(),
            )
            replies.append(shares.shares(name))
        directory.apply_shares(merge_shares(replies))

    def play(self, *, controllers, restarts=()):
        busy = self.rng.sample(self.vms, 5)
        updates = {vm: self.rng.random() * UPDATE_S for vm in self.vms}
        for tick in range(int(COLD_FOR_S / STEP_S) - 1):
            now_s = tick * STEP_S
            if tick in restarts:
                self.restart(busy[0])
            for vm in self.vms:
                if now_s >= updates[vm]:
                    updates[vm] += UPDATE_S
                    self.exchange(vm, controllers)
            if tick % 100 == 0:
                for vm in busy:
                    self.send(vm, 40)
            self.send(self.rng.choice(self.vms), 1)
            self.clock.advance(STEP_S)

    def most_in_a_second(self, name):
        times = sorted(self.arrivals[name])
        return max(
            (sum(t <= u < t + 1.0 for u in times) for t in times), default=0
        )


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("vms", [8, 60])
def test_no_second_brings_a_cold_server_more_than_it_may(vms, seed):
    fleet = _Fleet(vms=vms, seed=seed)
    fleet.play(controllers=fleet.shares)
    for name in COLD:
        assert fleet.most_in_a_second(name) <= ALLOWED
        # It takes part nevertheless.
        assert len(fleet.arrivals[name]) >= COLD_FOR_S


@pytest.mark.parametrize("seed", range(4))
def test_gateways_that_hear_nothing_of_others_stay_within_the_bound(seed):
    fleet = _Fleet(vms=60, seed=seed)
    fleet.play(controllers=())
    for name in COLD:
        assert fleet.most_in_a_second(name) <= ALLOWED


@pytest.mark.parametrize("seed", range(4))
def test_a_gateway_that_restarts_does_not_use_its_share_anew(seed):
    fleet = _Fleet(vms=8, seed=seed)
    fleet.play(controllers=fleet.shares, restarts=(150, 300, 450))
    for name in COLD:
        assert fleet.most_in_a_second(name) <= ALLOWED


def test_a_server_is_limited_until_its_cold_time_ends():
    clock = ManualClock()
    turned_cold = []
    directory = ServerDirectory(
        clock=clock, cold_limit=lambda service: 4.0, on_cold=turned_cold.append
    )
    view = directory.put(server("s1"))
    assert view.rate_limit.limit_per_s is None
    # A running server may become cold at any moment.
    directory.put(server("s1", cold_for_s=3.0))
    assert view.rate_limit.limit_per_s == 4.0
    assert view.rate_limit.start_delay_s() > 0.0
    view.record_limit(None)
    assert view.rate_limit.limit_per_s == 4.0
    view.record_limit(2.0)
    assert view.rate_limit.limit_per_s == 2.0
    clock.advance(3.1)
    assert view.rate_limit.limit_per_s == 2.0
    view.record_limit(None)
    assert view.rate_limit.limit_per_s is None
    assert turned_cold == [view]


def test_another_gateways_report_of_a_cold_server_names_no_limit():
    """It would outlast the cold time."""
    clock = ManualClock()
    sender = ServerDirectory(clock=clock, cold_limit=lambda service: 4.0)
    receiver = ServerDirectory(clock=clock)
    sender.put(server("s1", cold_for_s=3.0))
    view = receiver.put(server("s1"))
    for report in sender.limit_reports():
        receiver.apply_limit(report)
    assert view.rate_limit.limit_per_s is None


def test_an_evacuated_data_centre_gets_nothing_until_it_is_taken_back():
    directory = ServerDirectory(clock=ManualClock())
    kept = directory.put(server("s1", data_centre="a"))
    evacuated = directory.put(server("s2", data_centre="b"))
    directory.set_evacuated(["b"])
    assert directory.available_servers("plain") == [kept]
    # Also one that was chosen before, and one that starts there meanwhile.
    assert not evacuated.accepts_requests()
    started = directory.put(server("s3", data_centre="b"))
    assert not started.accepts_requests()
    directory.set_evacuated(["a", "b"])
    assert directory.available_servers("plain") == []
    directory.set_evacuated([])
    assert len(directory.available_servers("plain")) == 3


def test_nothing_is_sent_while_evacuations_are_not_known():
    """A gateway that has just started; not known is not the same as none."""
    directory = ServerDirectory(
        clock=ManualClock(), are_evacuations_known=False
    )
    view = directory.put(server("s1"))
    assert not view.accepts_requests()
    directory.set_evacuated([])
    assert view.accepts_requests()
