"""Single rules of membership, each with the event that it is for."""

import random

import msgspec

from endivespindle.core.clock import ManualClock
from endivespindle.membership.dissemination import MAX_UPDATES, UpdateQueue
from endivespindle.membership.gossip import Gossip, StateVersions
from endivespindle.membership.probing import ProbePlan
from endivespindle.membership.view import MembershipView, MemberState
from endivespindle.schema.generated.backend import VmEntry, VmState
from endivespindle.schema.generated.peer import (
    Heartbeat,
    MemberStatus,
    MemberUpdate,
)


def member(vm, centre="x", **kwargs):
    fields = {"incarnation": f"{vm}-1", "life": 1, **kwargs}
    return MemberUpdate(
        vm=vm,
        data_centre=centre,
        host="h",
        http_port=1,
        peer_port=1,
        **fields,
    )


def beat(vm, centre="x", sequence=1, life=1, leaving=False):
    return Heartbeat(
        vm=vm,
        data_centre=centre,
        host="h",
        incarnation=f"{vm}-1",
        life=life,
        sequence=sequence,
        leaving=leaving,
        register_revision=0,
        key_generation=0,
        store_age_s=0.0,
        http_port=1,
        peer_port=1,
    )


def make_view(clock):
    view = MembershipView(
        vm="me",
        data_centre="x",
        clock=clock,
        suspect_after_s=3.0,
        dead_after_s=10.0,
    )
    for update in (member("a"), member("b"), member("far", "y")):
        view.merge(update)
    return view


def listen(view, clock, seconds):
    """Lets time pass while one peer is heard."""
    died = []
    for number in range(int(seconds)):
        clock.advance(1)
        view.take_heartbeat(beat("b", sequence=number))
        died += view.expire()
    return [update.vm for update in died]


def test_silent_peer_is_suspected_before_it_is_dead():
    clock = ManualClock()
    view = make_view(clock)
    view.suspect("a")
    assert listen(view, clock, 6) == []
    assert view.state_of("a") is MemberState.SUSPECT
    assert "a" in view.placement()
    assert "a" in view.rank("shard")
    assert listen(view, clock, 2) == ["a"]
    assert "a" not in view.placement()
    assert "a" not in view.rank("shard")


def test_vms_of_other_data_centres_are_never_suspected_nor_expired():
    clock = ManualClock()
    view = make_view(clock)
    assert view.suspect("far") is None
    view.merge(member("far", "y", status=MemberStatus.SUSPECT))
    assert listen(view, clock, 30) == []
    assert view.state_of("far") is MemberState.CUT_OFF
    assert "far" in view.placement()


def test_vm_that_hears_nobody_declares_nobody_dead():
    clock = ManualClock()
    view = make_view(clock)
    view.suspect("a")
    for _ in range(30):
        clock.advance(1)
        assert view.expire() == []
    assert listen(view, clock, 3) == []


def test_resumed_vm_suspects_anew():
    clock = ManualClock()
    view = make_view(clock)
    view.suspect("a")
    clock.advance(60)
    view.take_heartbeat(beat("b"))
    assert view.expire() == []


def test_late_heartbeat_does_not_revive_a_leaving_vm():
    view = make_view(ManualClock())
    view.merge(member("a", leaving=True))
    view.take_heartbeat(beat("a", sequence=9))
    view.take_heartbeat(beat("a", sequence=10, life=5))
    assert view.state_of("a") is MemberState.LEAVING
    view.merge(member("a", incarnation="a-2", life=6))
    assert view.state_of("a") is MemberState.LIVE


def test_list_marks_only_the_incarnation_that_it_names():
    view = make_view(ManualClock())
    entry = VmEntry(
        name="a",
        data_centre="x",
        host="h",
        port=1,
        peer_port=1,
        state=VmState.LEAVING,
        incarnation="a-0",
    )
    view.apply_vm_list([entry])
    assert view.state_of("a") is MemberState.LIVE
    view.apply_vm_list([msgspec.structs.replace(entry, incarnation="a-1")])
    assert view.state_of("a") is MemberState.LEAVING


def test_dead_peer_is_tried_from_time_to_time():
    plan = ProbePlan(rng=random.Random(1))
    chosen = [plan.next(["a", "b"], ["gone"]) for _ in range(32)]
    assert chosen.count("gone") == 2


def test_every_peer_is_probed_once_in_a_round():
    plan = ProbePlan(rng=random.Random(1))
    live = [f"vm-{number}" for number in range(20)]
    assert sorted(plan.next(live, []) for _ in live) == sorted(live)


def test_messages_are_bounded_whatever_there_is_to_tell():
    queue = UpdateQueue()
    for number in range(10_000):
        queue.put(member(f"vm-{number}"))
    assert len(queue) <= 4096
    assert len(queue.next_updates(members=1800)) == MAX_UPDATES


def test_blamed_vm_overrules_at_once():
    clock = ManualClock()
    gossip = Gossip(
        local_member=member("me"),
        view=make_view(clock),
        rng=random.Random(1),
        interval_s=0.5,
    )
    blame = member("me", status=MemberStatus.DEAD, life=4)
    news = msgspec.structs.replace(beat("a"), updates=[blame])
    versions = StateVersions(
        register_revision=0, key_generation=0, store_age_s=0
    )
    gossip.apply_heartbeat(news, local_versions=versions)
    assert gossip.local_member.life == 5
