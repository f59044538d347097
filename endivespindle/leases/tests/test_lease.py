"""The lease, step by step, on a manual clock."""

from endivespindle.core.clock import ManualClock
from endivespindle.leases.lease import Lease, LeaseWrite
from endivespindle.schema.generated.stored import Intent, LeaseRecord

_TERM_S = 6.0
_SEND_S = 1.5


class _Store:
    """One object with a version."""

    def __init__(self) -> None:
        self.record: LeaseRecord | None = None
        self.version = 0

    def put(self, write: LeaseWrite) -> bool:
        if write.expect_version != self.version:
            return False
        self.record = write.record
        self.version += 1
        return True


def _lease(name: str, clock: ManualClock, store: _Store) -> Lease:
    lease = Lease(holder=name, clock=clock, term_s=_TERM_S, max_send_s=_SEND_S)
    lease.observe(store.record, store.version)
    return lease


def _acquire(lease: Lease, store: _Store, token: str) -> None:
    write = lease.next_write(token=token)
    assert write is not None
    assert store.put(write)
    lease.write_succeeded(store.version)


def test_first_holder_gets_epoch_one():
    clock, store = ManualClock(), _Store()
    lease = _lease("a", clock, store)
    _acquire(lease, store, "t1")
    assert lease.is_held()
    assert lease.epoch == 1


def test_term_counts_from_before_the_renewal_was_sent():
    clock, store = ManualClock(), _Store()
    lease = _lease("a", clock, store)
    write = lease.next_write(token="t1")
    clock.advance(_TERM_S)
    assert store.put(write)
    lease.write_succeeded(store.version)
    assert not lease.is_held()


def test_successor_waits_a_whole_term_from_its_own_first_sight():
    clock, store = ManualClock(), _Store()
    _acquire(_lease("a", clock, store), store, "t1")
    clock.advance(_TERM_S - 1)
    late = _lease("b", clock, store)
    clock.advance(_TERM_S - 1)
    assert late.next_write(token="t2") is None
    clock.advance(2 + _SEND_S)
    _acquire(late, store, "t3")
    assert late.epoch == 2


def test_lost_answer_is_settled_by_the_token():
    clock, store = ManualClock(), _Store()
    lease = _lease("a", clock, store)
    store.put(lease.next_write(token="t1"))
    lease.write_outcome_unknown()
    assert not lease.is_held()
    lease.observe(store.record, store.version)
    assert lease.is_held()


def test_lost_answer_that_took_no_effect_gives_nothing():
    clock, store = ManualClock(), _Store()
    lease = _lease("a", clock, store)
    assert lease.next_write(token="t1") is not None
    lease.write_outcome_unknown()
    lease.observe(store.record, store.version)
    assert not lease.is_held()


def test_send_needs_its_whole_deadline_inside_the_term():
    clock, store = ManualClock(), _Store()
    lease = _lease("a", clock, store)
    _acquire(lease, store, "t1")
    clock.advance(_TERM_S - 1)
    assert lease.may_send(timeout_s=0.9)
    assert not lease.may_send(timeout_s=1.1)


def test_a_pause_past_the_term_takes_the_right_to_send():
    clock, store = ManualClock(), _Store()
    lease = _lease("a", clock, store)
    _acquire(lease, store, "t1")
    clock.advance(_TERM_S + 0.1)
    assert not lease.may_send(timeout_s=0.0)


def test_successor_waits_out_the_longest_send_and_drift():
    clock, store = ManualClock(), _Store()
    _acquire(_lease("a", clock, store), store, "t1")
    successor = _lease("b", clock, store)
    clock.advance(_TERM_S + _SEND_S + 0.1)
    assert successor.next_write(token="t2") is None
    clock.advance(0.1)
    assert successor.next_write(token="t3") is not None


def test_no_release_while_a_send_may_still_arrive():
    clock, store = ManualClock(), _Store()
    lease = _lease("a", clock, store)
    _acquire(lease, store, "t1")
    assert lease.may_send(timeout_s=1.0)
    clock.advance(1.0 + _SEND_S - 0.1)
    assert lease.release_write(token="t2") is None
    clock.advance(0.2)
    assert lease.release_write(token="t3") is not None


def test_lost_renewal_leaves_the_earlier_term_untouched():
    clock, store = ManualClock(), _Store()
    lease = _lease("a", clock, store)
    _acquire(lease, store, "t1")
    clock.advance(_TERM_S - 1)
    assert lease.next_write(token="t2") is not None
    lease.write_outcome_unknown()
    assert lease.is_held()
    lease.observe(store.record, store.version)
    assert lease.is_held()
    clock.advance(1)
    assert not lease.is_held()


def test_own_write_that_arrives_late_does_not_extend_the_term():
    clock, store = ManualClock(), _Store()
    lease = _lease("a", clock, store)
    _acquire(lease, store, "t1")
    late = lease.next_write(token="t2")
    lease.write_outcome_unknown()
    lease.observe(store.record, store.version)
    clock.advance(_TERM_S - 1)
    assert store.put(late)
    lease.observe(store.record, store.version)
    assert lease.is_held()
    clock.advance(1)
    assert not lease.is_held()


def test_done_is_told_by_the_next_write():
    clock, store = ManualClock(), _Store()
    lease = _lease("a", clock, store)
    _acquire(lease, store, "t1")
    intent = Intent(subject="s", intent_id="i", number=1, body="{}")
    assert store.put(lease.next_write(token="t2", intent=intent))
    lease.write_succeeded(store.version)
    lease.mark_done("i")
    assert store.put(lease.next_write(token="t3"))
    assert [i.done for i in store.record.intents] == [True]
