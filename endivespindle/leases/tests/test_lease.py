"""Transitions of the lease, one at a time, on a manual clock."""

from endivespindle.core.clock import ManualClock
from endivespindle.leases.lease import Lease, LeaseWrite
from endivespindle.schema.generated.stored import Intent, LeaseRecord

_TERM_S = 6.0
_MAX_SEND_S = 1.5


class _Store:
    """A store of one versioned object with conditional updates."""

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
    lease = Lease(
        holder=name, clock=clock, term_s=_TERM_S, max_send_s=_MAX_SEND_S
    )
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


def test_term_starts_before_the_renewal_is_sent():
    clock, store = ManualClock(), _Store()
    lease = _lease("a", clock, store)
    write = lease.next_write(token="t1")
    clock.advance(_TERM_S)
    assert store.put(write)
    lease.write_succeeded(store.version)
    assert not lease.is_held()


def test_successor_waits_a_full_term_from_its_own_first_read():
    clock, store = ManualClock(), _Store()
    _acquire(_lease("a", clock, store), store, "t1")
    clock.advance(_TERM_S - 1)
    late = _lease("b", clock, store)
    clock.advance(_TERM_S - 1)
    assert late.next_write(token="t2") is None
    clock.advance(2 + _MAX_SEND_S)
    _acquire(late, store, "t3")
    assert late.epoch == 2


def test_lost_response_is_resolved_by_the_write_token():
    clock, store = ManualClock(), _Store()
    lease = _lease("a", clock, store)
    store.put(lease.next_write(token="t1"))
    lease.write_outcome_unknown()
    assert not lease.is_held()
    lease.observe(store.record, store.version)
    assert lease.is_held()


def test_lost_response_without_effect_does_not_acquire():
    clock, store = ManualClock(), _Store()
    lease = _lease("a", clock, store)
    assert lease.next_write(token="t1") is not None
    lease.write_outcome_unknown()
    lease.observe(store.record, store.version)
    assert not lease.is_held()


def test_send_timeout_must_end_within_the_term():
    clock, store = ManualClock(), _Store()
    lease = _lease("a", clock, store)
    _acquire(lease, store, "t1")
    clock.advance(_TERM_S - 1)
    assert lease.may_send(timeout_s=0.9)
    assert not lease.may_send(timeout_s=1.1)


def test_no_send_after_a_pause_beyond_the_term():
    clock, store = ManualClock(), _Store()
    lease = _lease("a", clock, store)
    _acquire(lease, store, "t1")
    clock.advance(_TERM_S + 0.1)
    assert not lease.may_send(timeout_s=0.0)


def test_successor_waits_for_the_send_deadline_and_clock_drift():
    clock, store = ManualClock(), _Store()
    _acquire(_lease("a", clock, store), store, "t1")
    successor = _lease("b", clock, store)
    clock.advance(_TERM_S + _MAX_SEND_S + 0.1)
    assert successor.next_write(token="t2") is None
    clock.advance(0.1)
    assert successor.next_write(token="t3") is not None


def test_no_release_while_an_operation_may_still_arrive():
    clock, store = ManualClock(), _Store()
    lease = _lease("a", clock, store)
    _acquire(lease, store, "t1")
    assert lease.may_send(timeout_s=1.0)
    clock.advance(1.0 + _MAX_SEND_S - 0.1)
    assert lease.release_write(token="t2") is None
    clock.advance(0.2)
    assert lease.release_write(token="t3") is not None


def test_lost_renewal_keeps_the_previous_term():
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


def test_late_own_write_does_not_extend_the_term():
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


def test_next_write_stores_confirmed_intents():
    clock, store = ManualClock(), _Store()
    lease = _lease("a", clock, store)
    _acquire(lease, store, "t1")
    intent = Intent(subject="s", intent_id="i", number=1, body="{}")
    assert store.put(lease.next_write(token="t2", intent=intent))
    lease.write_succeeded(store.version)
    lease.mark_done("i")
    assert store.put(lease.next_write(token="t3"))
    assert [i.done for i in store.record.intents] == [True]
