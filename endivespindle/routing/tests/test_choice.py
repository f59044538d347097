"""Tests of the server tracker and of the choice of a server."""

from endivespindle.core.clock import ManualClock
from endivespindle.core.digests import rendezvous_rank
from endivespindle.routing.choice import Candidate, LeastExpectedWait
from endivespindle.routing.health import AttemptOutcome
from endivespindle.routing.owners import ServerOwners
from endivespindle.routing.prefix_cache import PrefixCacheEstimate
from endivespindle.routing.tracker import ServerTracker
from endivespindle.schema.generated.backend import (
    CacheEvent,
    CacheEvents,
    LoadReport,
)
from endivespindle.schema.generated.peer import OwnedLoad
from endivespindle.schema.generated.register import BackendServer


def _events(*entries):
    events = [
        CacheEvent(sequence=number, stored=stored, prefix_hash=block)
        for number, stored, block in entries
    ]
    return CacheEvents(events=events, next_sequence=entries[-1][0])


def _servers(*names):
    return [
        BackendServer(
            name=name, service="x", data_centre="d", address="http://h"
        )
        for name in names
    ]


def _by_name(tracker, *names):
    found = tracker.candidates(_servers(*names), slots=4, hashes=["h"])
    return {cand.name: cand for cand in found}


def test_gap_in_events_evicts_only_the_oldest_blocks():
    cache = PrefixCacheEstimate()
    cache.apply_events(_events((1, True, "a"), (2, True, "b"), (3, True, "c")))
    cache.apply_events(_events((5, True, "d")))
    assert cache.overlap(["a"]) == 0
    assert cache.overlap(["b", "c", "d"]) == 3


def test_duplicate_events_change_nothing():
    cache = PrefixCacheEstimate()
    cache.apply_events(_events((1, True, "a"), (2, False, "a")))
    cache.apply_events(_events((1, True, "a")))
    assert cache.overlap(["a"]) == 0
    assert cache.sequence == 2


def test_cache_estimate_is_bounded():
    cache = PrefixCacheEstimate(max_blocks=3)
    cache.add_prompt([str(number) for number in range(10)])
    assert len(cache) == 3


def test_own_requests_are_subtracted_from_the_report():
    clock = ManualClock()
    tracker = ServerTracker(clock=clock)
    tracker.begin_request("s")
    clock.advance(1.0)
    tracker.begin_request("s")
    clock.advance(1.0)
    report = LoadReport(
        backend_server="s", running=3, waiting=0, sequence=1, age_s=1.5
    )
    tracker.apply_load_report(report)
    cand = _by_name(tracker, "s")["s"]
    assert (cand.own_inflight, cand.others_load) == (2, 2)


def test_peer_request_counts_until_the_next_peer_report():
    tracker = ServerTracker(clock=ManualClock())
    tracker.apply_peer_loads("v2", [])
    tracker.record_peer_request("v2", "s", hashes=["h"])
    cand = _by_name(tracker, "s")["s"]
    assert (cand.others_load, cand.cached_blocks) == (1, 1)
    tracker.apply_peer_loads("v2", [OwnedLoad(backend_server="s", inflight=0)])
    assert _by_name(tracker, "s")["s"].others_load == 0


def test_silent_peer_is_removed():
    clock = ManualClock()
    tracker = ServerTracker(clock=clock)
    tracker.apply_peer_loads("v2", [OwnedLoad(backend_server="s", inflight=9)])
    clock.advance(10.0)
    assert _by_name(tracker, "s")["s"].others_load == 0


def test_failing_server_is_excluded_until_its_pause_is_over():
    clock = ManualClock()
    tracker = ServerTracker(clock=clock)
    tracker.begin_request("s")
    tracker.end_request("s", AttemptOutcome.FAILED)
    assert set(_by_name(tracker, "s", "t")) == {"t"}
    clock.advance(20.0)
    assert set(_by_name(tracker, "s", "t")) == {"s", "t"}


def test_choice_weighs_cache_overlap_against_wait():
    chooser = LeastExpectedWait()
    warm = Candidate(name="w", slots=4, cached_blocks=20, prompt_blocks=20)
    cold = Candidate(name="c", slots=4, prompt_blocks=20)
    assert chooser.choose([cold, warm]) is warm
    warm.own_inflight = 40
    assert chooser.choose([cold, warm]) is cold
    warm.own_inflight = 100_000
    assert chooser.choose([cold, warm]) is cold


def test_only_servers_of_a_lost_member_change_owner():
    clock = ManualClock()
    owners = ServerOwners(clock=clock)
    owners.set_members(["a", "b", "c"])
    before = {f"s{n}": owners.owner_of(f"s{n}") for n in range(60)}
    assert set(before.values()) == {"a", "b", "c"}
    clock.advance(5.0)
    reassigned = owners.set_members(["a", "c"])
    assert sorted(reassigned) == sorted(
        s for s, vm in before.items() if vm == "b"
    )
    assert not owners.is_exact(reassigned[0])
    clock.advance(5.0)
    assert owners.is_exact(reassigned[0])
    assert (
        owners.owner_of(reassigned[0])
        == rendezvous_rank(reassigned[0], ["a", "c"])[0]
    )
