"""Division of slots, token caps and demand reported by peers."""

import random

from endivespindle.accounts.admission_queue import (
    AdmissionQueue,
    DemandCount,
    QueuedRequest,
)
from endivespindle.accounts.shares import AccountShares
from endivespindle.accounts.slots import divide_slots
from endivespindle.core.clock import ManualClock
from endivespindle.schema.generated.peer import Heartbeat, ServedTokens
from endivespindle.schema.generated.register import ClientAccount


def _heartbeat(tokens, *, incarnation="i1", sequence=1):
    return Heartbeat(
        vm="v2",
        data_centre="d",
        incarnation=incarnation,
        sequence=sequence,
        register_revision=1,
        key_generation=1,
        store_age_s=0.0,
        http_port=1,
        peer_port=1,
        served=[ServedTokens(client_account="a", tokens=tokens)],
    )


def _request(account, deadline_s=100.0):
    return QueuedRequest(
        account=account,
        item=None,
        cost=10.0,
        weight=1.0,
        deadline_s=deadline_s,
    )


def test_slots_are_divided_by_weight_and_all_granted():
    granted = divide_slots(
        12, {"a": 100, "b": 100, "c": 1}, {"a": 1.0, "b": 2.0}
    )
    assert granted["c"] == 1
    assert abs(granted["b"] - 2 * granted["a"]) < 1e-9
    assert abs(sum(granted.values()) - 12) < 1e-9


def test_token_cap_counts_tokens_served_by_peers():
    clock = ManualClock()
    shares = AccountShares(clock=clock, rng=random.Random(1), max_waiting=4)
    shares.set_accounts([ClientAccount(name="a", max_tokens_per_s=10.0)])
    shares.apply_heartbeat(_heartbeat(1000))
    assert shares.cap_wait_s("a") == 0.0
    shares.apply_heartbeat(_heartbeat(1040, sequence=2))
    assert shares.cap_wait_s("a") == 2.0
    shares.apply_heartbeat(_heartbeat(5000, incarnation="i2", sequence=1))
    assert shares.cap_wait_s("a") == 2.0
    clock.advance(2.0)
    assert shares.cap_wait_s("a") == 0.0


def test_small_account_is_admitted_during_flood_on_a_peer():
    queue = AdmissionQueue(
        clock=ManualClock(), rng=random.Random(1), max_waiting=50, slots=10
    )
    queue.weights = {"flood": 1.0, "small": 1.0}
    queue.apply_peer_demands(
        "v2", {"flood": DemandCount(inflight=10, waiting=500)}
    )
    queue.enqueue(_request("small"))
    assert [r.account for r in queue.admit()] == ["small"]


def test_flood_leaves_slots_for_an_account_of_a_peer():
    queue = AdmissionQueue(
        clock=ManualClock(), rng=random.Random(1), max_waiting=50, slots=10
    )
    queue.weights = {"flood": 1.0, "small": 1.0}
    queue.apply_peer_demands(
        "v2", {"small": DemandCount(inflight=0, waiting=5)}
    )
    for _ in range(30):
        queue.enqueue(_request("flood"))
    assert len(queue.admit()) <= 6


def test_full_queue_refuses_the_flooding_account():
    queue = AdmissionQueue(
        clock=ManualClock(), rng=random.Random(1), max_waiting=5, slots=0
    )
    for _ in range(5):
        assert not queue.enqueue(_request("flood"))
    refused = queue.enqueue(_request("small"))
    assert [r.request.account for r in refused] == ["flood"]


def test_request_is_refused_at_once_if_deadline_cannot_be_met():
    clock = ManualClock()
    queue = AdmissionQueue(
        clock=clock, rng=random.Random(1), max_waiting=500, slots=1
    )
    for _ in range(40):
        queue.enqueue(_request("a"))
    for _ in range(5):
        clock.advance(1.0)
        for request in queue.admit():
            queue.end_request(request, tokens=10.0)
    refused = queue.enqueue(_request("a", deadline_s=clock.monotonic() + 1.0))
    assert len(refused) == 1
    assert refused[0].retry_after_s > 1.0


def test_cancel_removes_only_the_same_request():
    queue = AdmissionQueue(
        clock=ManualClock(), rng=random.Random(1), max_waiting=5, slots=0
    )
    first, second = _request("a"), _request("a")
    queue.enqueue(first)
    queue.enqueue(second)
    queue.cancel(second)
    queue.slots = 10
    assert all(admitted is first for admitted in queue.admit())
    assert queue.inflight == 1


def test_expired_request_behind_a_later_deadline_is_removed():
    clock = ManualClock()
    queue = AdmissionQueue(
        clock=clock, rng=random.Random(1), max_waiting=5, slots=0
    )
    queue.enqueue(_request("a", deadline_s=100.0))
    queue.enqueue(_request("a", deadline_s=1.0))
    clock.advance(2.0)
    refused = queue.remove_expired()
    assert [r.request.deadline_s for r in refused] == [1.0]
