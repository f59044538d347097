"""Tests single rules of membership, each with the event it handles."""

import random

import msgspec

from endivespindle.core.clock import ManualClock
from endivespindle.membership.dissemination import (
    MAX_UPDATES_PER_MESSAGE,
    UpdateQueue,
)
from endivespindle.membership.gossip import Gossip, StateVersions
from endivespindle.membership.probing import ProbeScheduler
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


def advance_with_heartbeats(view, clock, seconds):
    """Advances the clock while one peer sends a heartbeat each second."""
    dead = []
    for number in range(int(seconds)):
        clock.advance(1)
        view.apply_heartbeat(beat("b", sequence=number))
        dead += view.expire_suspects()
    return [update.vm for update in dead]


def test_silent_peer_is_suspected_before_it_is_dead():
    clock = ManualClock()
    view = make_view(clock)
    view.suspect("a")
    assert advance_with_heartbeats(view, clock, 6) == []
    assert view.state_of("a") is MemberState.SUSPECT
    assert "a" in view.placement_candidates()
    assert "a" in view.rank("shard")
    assert advance_with_heartbeats(view, clock, 2) == ["a"]
    assert "a" not in view.placement_candidates()
    assert "a" not in view.rank("shard")


def test_vms_of_other_data_centres_are_never_suspected_or_declared_dead():
    clock = ManualClock()
    view = make_view(clock)
    assert view.suspect("far") is None
    view.merge(member("far", "y", status=MemberStatus.SUSPECT))
    assert advance_with_heartbeats(view, clock, 30) == []
    assert view.state_of("far") is MemberState.CUT_OFF
    assert "far" in view.placement_candidates()


def test_vm_that_receives_no_heartbeats_declares_no_peer_dead():
    clock = ManualClock()
    view = make_view(clock)
    view.suspect("a")
    for _ in range(30):
        clock.advance(1)
        assert view.expire_suspects() == []
    assert advance_with_heartbeats(view, clock, 3) == []


def test_paused_vm_restarts_suspicion_timeouts_on_resume():
    clock = ManualClock()
    view = make_view(clock)
    view.suspect("a")
    clock.advance(60)
    view.apply_heartbeat(beat("b"))
    assert view.expire_suspects() == []


def test_late_heartbeat_does_not_revive_a_leaving_vm():
    view = make_view(ManualClock())
    view.merge(member("a", leaving=True))
    view.apply_heartbeat(beat("a", sequence=9))
    view.apply_heartbeat(beat("a", sequence=10, life=5))
    assert view.state_of("a") is MemberState.LEAVING
    view.merge(member("a", incarnation="a-2", life=6))
    assert view.state_of("a") is MemberState.LIVE


def test_vm_list_marks_only_the_incarnation_it_names_as_leaving():
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


def test_dead_peer_is_probed_periodically():
    scheduler = ProbeScheduler(rng=random.Random(1))
    chosen = [scheduler.next_target(["a", "b"], ["gone"]) for _ in range(32)]
    assert chosen.count("gone") == 2


def test_every_peer_is_probed_once_per_round():
    scheduler = ProbeScheduler(rng=random.Random(1))
    live = [f"vm-{number}" for number in range(20)]
    assert sorted(scheduler.next_target(live, []) for _ in live) == sorted(live)


def test_queue_and_updates_per_message_are_bounded():
    queue = UpdateQueue()
    for number in range(10_000):
        queue.put(member(f"vm-{number}"))
    assert len(queue) <= 4096
    assert len(queue.next_updates(member_count=1800)) == MAX_UPDATES_PER_MESSAGE


def test_vm_refutes_a_wrong_update_about_itself():
    clock = ManualClock()
    gossip = Gossip(
        local_member=member("me"),
        view=make_view(clock),
        rng=random.Random(1),
        interval_s=0.5,
    )
    wrong_update = member("me", status=MemberStatus.DEAD, life=4)
    received = msgspec.structs.replace(beat("a"), updates=[wrong_update])
    versions = StateVersions(
        register_revision=0, key_generation=0, store_age_s=0
    )
    gossip.apply_heartbeat(received, local_versions=versions)
    assert gossip.local_member.life == 5
