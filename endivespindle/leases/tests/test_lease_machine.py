"""Stateful test of the holders of one lease under faults.

Each await point of a holder is a rule of its own and a separate rule advances
the time, so a pause of any length may occur between two of them: before a
write is sent, between a write and its response, between the last check and
the send, and between a send and its response. The invariants check which
orders the platforms accepted.
"""

import dataclasses
import itertools
import math

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from endivespindle.capacity.orders import next_order
from endivespindle.core.clock import Clock
from endivespindle.core.tests.steps import count_step
from endivespindle.leases.lease import Lease, LeaseWrite
from endivespindle.schema.generated.backend import CapacityOrder
from endivespindle.schema.generated.stored import Intent, LeaseRecord

_TERM_S = 6.0
_MAX_SEND_S = 1.5
_CLOCK_RATES = (0.995, 1.0, 1.005)
_CLOCK_TOLERANCE = 0.02
_HOLDERS = st.integers(0, 2)
_EXAMPLES_FACTOR = 3
_SUBJECTS = ("notes", "desk")
_OFFSETS_S = (0.0, 0.4, 1.4, 2.8, 4.4, 5.8, 6.2, 7.3, 7.7, 8.6, 14.0)
_RACES = (
    "holder:check_before_send",
    "holder:answer_arrives",
    "holder:renewal_is_late",
    "holder:observe_object",
    "holder:release",
    "world:late_write_may_arrive",
    "world:oldest_send_arrives",
    "successor:observe_object",
    "successor:acquire_and_order",
)


class _Environment:
    """True time, the lease object and the platforms."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self.record: LeaseRecord | None = None
        self.version = 0
        self.late_writes: list[LeaseWrite] = []
        self.in_flight: list[_Send] = []
        self.history: list[LeaseRecord] = []
        self.fenced = _Platform(checks_fencing=True)
        self.unfenced = _Platform(checks_fencing=False)

    def put(self, write: LeaseWrite) -> int | None:
        if write.expect_version != self.version:
            return None
        self.record = write.record
        self.version += 1
        self.history.append(write.record)
        return self.version


class _DriftingClock(Clock):
    """A clock with its own rate and start."""

    def __init__(self, world: _Environment, rate: float, start_s: float):
        self._world = world
        self._rate = rate
        self._start_s = start_s

    def monotonic(self) -> float:
        return self._start_s + self._world.now_s * self._rate

    def now(self):
        raise NotImplementedError


@dataclasses.dataclass(slots=True)
class _Send:
    order: CapacityOrder
    checked_s: float
    holder: int


class _Platform:
    """Receives orders and records the accepted ones."""

    def __init__(self, *, checks_fencing: bool):
        self.checks_fencing = checks_fencing
        self.accepted: list[tuple[float, _Send]] = []
        self.highest_fencing_number = 0

    def receive(self, now_s: float, send: _Send) -> bool:
        if (
            self.checks_fencing
            and send.order.fencing_number < self.highest_fencing_number
        ):
            return False
        self.highest_fencing_number = max(
            self.highest_fencing_number, send.order.fencing_number
        )
        self.accepted.append((now_s, send))
        return True


class _Holder:
    """One VM with its lease, a write in flight and a planned order."""

    def __init__(self, world: _Environment, number: int, incarnation: int):
        self.world = world
        self.number = number
        rate = _CLOCK_RATES[(number + incarnation) % len(_CLOCK_RATES)]
        clock = _DriftingClock(world, rate, 1000.0 * incarnation)
        self.lease = Lease(
            holder=f"vm-{number}/{incarnation}",
            clock=clock,
            term_s=_TERM_S,
            max_send_s=_MAX_SEND_S,
        )
        self.write: LeaseWrite | None = None
        self.response_version: int | None = None
        self.reached_store = False
        self.read: tuple[LeaseRecord | None, int] | None = None
        self.planned_order: CapacityOrder | None = None


class LeaseMachine(RuleBasedStateMachine):
    """Three holders, one store, platforms with and without fencing."""

    @initialize()
    def start(self) -> None:
        self.world = _Environment()
        self.tokens = itertools.count()
        self.incarnations = itertools.count(1)
        self.holders = [self._new_holder(i) for i in range(3)]

    def _new_holder(self, number: int) -> _Holder:
        return _Holder(self.world, number, next(self.incarnations))

    def _step(self, number: int) -> _Holder:
        count_step()
        return self.holders[number]

    @rule(seconds=st.sampled_from([0.01, 0.4, 1.4, 1.6, 3.0, 5.9, 7.7]))
    def pass_time(self, seconds: float) -> None:
        count_step()
        self.world.now_s += seconds

    @rule(number=_HOLDERS)
    def crash(self, number: int) -> None:
        count_step()
        old = self.holders[number]
        if old.write is not None and not old.reached_store:
            self.world.late_writes.append(old.write)
        self.holders[number] = self._new_holder(number)

    @rule(number=_HOLDERS)
    def read_object(self, number: int) -> None:
        holder = self._step(number)
        holder.read = (self.world.record, self.world.version)

    @rule(number=_HOLDERS)
    def read_arrives(self, number: int) -> None:
        holder = self._step(number)
        if holder.read is not None:
            holder.lease.observe(*holder.read)
            holder.read = None

    @rule(number=_HOLDERS)
    def renew(self, number: int) -> None:
        holder = self._step(number)
        if holder.write is None:
            self._start_write(holder, None)

    def _start_write(self, holder: _Holder, intent: Intent | None) -> bool:
        write = holder.lease.next_write(
            token=f"t{next(self.tokens)}", intent=intent
        )
        holder.write, holder.reached_store, holder.response_version = (
            write,
            False,
            None,
        )
        return write is not None

    @rule(number=_HOLDERS)
    def write_reaches_store(self, number: int) -> None:
        count_step()
        holder = self.holders[number]
        if holder.write is None or holder.reached_store:
            return
        holder.response_version = self.world.put(holder.write)
        holder.reached_store = True

    @rule(number=_HOLDERS)
    def answer_arrives(self, number: int) -> None:
        holder = self._step(number)
        if not holder.reached_store:
            return
        if holder.response_version is None:
            holder.lease.write_outcome_unknown()
        else:
            holder.lease.write_succeeded(holder.response_version)
        holder.write, holder.reached_store = None, False

    @rule(number=_HOLDERS, arrives_later=st.booleans())
    def answer_is_lost(self, number: int, arrives_later: bool) -> None:
        holder = self._step(number)
        if holder.write is None:
            return
        if not holder.reached_store and arrives_later:
            self.world.late_writes.append(holder.write)
        holder.lease.write_outcome_unknown()
        holder.write, holder.reached_store = None, False

    @precondition(lambda self: self.world.late_writes)
    @rule()
    def late_write_arrives(self) -> None:
        count_step()
        self.world.put(self.world.late_writes.pop(0))

    @rule(number=_HOLDERS)
    def store_refuses_the_call(self, number: int) -> None:
        holder = self._step(number)
        if holder.write is None or holder.reached_store:
            return
        holder.lease.write_failed()
        holder.write = None

    @rule(number=_HOLDERS)
    def release(self, number: int) -> None:
        holder = self._step(number)
        if holder.write is not None:
            return
        write = holder.lease.release_write(token=f"t{next(self.tokens)}")
        if write is not None:
            holder.planned_order = None
            self.world.put(write)

    @rule(number=_HOLDERS, subject=st.sampled_from(_SUBJECTS))
    def plan_operation(self, number: int, subject: str) -> None:
        holder = self._step(number)
        if holder.write or not holder.lease.is_held():
            return
        order = next_order(
            intents=holder.lease.intents,
            data_centre="d",
            service=subject,
            count=next(self.tokens),
            fencing_number=holder.lease.epoch,
            new_id=f"i{next(self.tokens)}",
        )
        if self._start_write(holder, order.intent):
            holder.planned_order = order.order

    @rule(number=_HOLDERS)
    def check_before_send(self, number: int) -> None:
        holder = self._step(number)
        if holder.planned_order is None or holder.write:
            return
        order, holder.planned_order = holder.planned_order, None
        recorded = [i.intent_id for i in holder.lease.intents]
        if order.intent_id not in recorded:
            return
        if order.fencing_number != holder.lease.epoch:
            return
        if holder.lease.may_send(timeout_s=_MAX_SEND_S):
            self.world.in_flight.append(_Send(order, self.world.now_s, number))

    @precondition(lambda self: self.world.in_flight)
    @rule(data=st.data(), answered=st.booleans())
    def send_arrives(self, data, answered: bool) -> None:
        count_step()
        last = len(self.world.in_flight) - 1
        self._arrive(data.draw(st.integers(0, last)), answered=answered)

    @rule(
        number=_HOLDERS,
        waits_s=st.sampled_from([0.0, 7.7]),
        subject=st.sampled_from(_SUBJECTS),
    )
    def take_over_and_plan(
        self, number: int, waits_s: float, subject: str
    ) -> None:
        """Runs several rules at once, so that few steps reach deep states."""
        self.observe_object(number)
        self.pass_time(waits_s)
        self.renew_with_response(number)
        self.plan_operation(number, subject)
        self.write_reaches_store(number)

    @rule(
        pair=st.permutations([0, 1, 2]),
        schedule=st.lists(
            st.tuples(st.sampled_from(_OFFSETS_S), st.sampled_from(_RACES)),
            min_size=4,
            max_size=12,
        ),
    )
    def race(self, pair: list[int], schedule: list[tuple[float, str]]) -> None:
        """Runs steps of a holder and a successor at drawn times."""
        holder, successor = pair[:2]
        start_s = self.world.now_s
        for offset_s, step in sorted(schedule):
            self.world.now_s = start_s + offset_s
            who, _, what = step.partition(":")
            if who == "world":
                getattr(self, what)()
            else:
                number = holder if who == "holder" else successor
                getattr(self, what)(number)
            self.check_lease_invariants()

    def observe_object(self, number: int) -> None:
        self.read_object(number)
        self.read_arrives(number)

    def renew_with_response(self, number: int) -> None:
        self.renew(number)
        self.write_reaches_store(number)
        self.answer_arrives(number)

    def acquire_and_order(self, number: int) -> None:
        self.renew_with_response(number)
        self.plan_operation(number, _SUBJECTS[0])
        self.write_reaches_store(number)
        self.answer_arrives(number)
        self.check_before_send(number)
        self.newest_send_arrives()

    def renewal_is_late(self, number: int) -> None:
        self.renew(number)
        self.answer_is_lost(number, True)

    def late_write_may_arrive(self) -> None:
        if self.world.late_writes:
            self.late_write_arrives()

    def oldest_send_arrives(self) -> None:
        if self.world.in_flight:
            self._arrive(0, answered=False)

    def newest_send_arrives(self) -> None:
        if self.world.in_flight:
            self._arrive(-1, answered=True)

    def _arrive(self, index: int, *, answered: bool) -> None:
        send = self.world.in_flight.pop(index)
        platforms = (self.world.fenced, self.world.unfenced)
        accepted = [
            platform.receive(self.world.now_s, send) for platform in platforms
        ]
        if answered and all(accepted):
            self.holders[send.holder].lease.mark_done(send.order.intent_id)

    def check_lease_invariants(self) -> None:
        self.at_most_one_holder()
        self.epochs_never_decrease_and_have_one_holder()

    @invariant()
    def at_most_one_holder(self) -> None:
        if hasattr(self, "holders"):
            held = [h.number for h in self.holders if h.lease.is_held()]
            assert len(held) <= 1, held

    @invariant()
    def epochs_never_decrease_and_have_one_holder(self) -> None:
        if not hasattr(self, "world"):
            return
        holders: dict[int, str] = {}
        last = 0
        for record in self.world.history:
            assert record.epoch >= last
            last = record.epoch
            if record.holder:
                first = holders.setdefault(record.epoch, record.holder)
                assert first == record.holder

    @invariant()
    def fenced_platform_accepts_epochs_in_order(self) -> None:
        if hasattr(self, "world"):
            accepted = self.world.fenced.accepted
            epochs = [send.order.fencing_number for _, send in accepted]
            assert epochs == sorted(epochs)

    @invariant()
    def unfenced_platform_reorders_only_delayed_orders(self) -> None:
        """An order arrives after a successor's only if it was delayed.

        From its last check to its arrival it took longer than its send
        deadline plus the send deadline that the successor waits for.
        """
        if not hasattr(self, "world"):
            return
        highest = 0
        for arrived_s, send in self.world.unfenced.accepted:
            if send.order.fencing_number < highest:
                delay_s = arrived_s - send.checked_s
                assert delay_s > 2 * _MAX_SEND_S * (1 - _CLOCK_TOLERANCE), (
                    delay_s
                )
            highest = max(highest, send.order.fencing_number)

    @invariant()
    def intent_has_one_order(self) -> None:
        if not hasattr(self, "world"):
            return
        content: dict[str, tuple[str, int, int]] = {}
        for _, send in self.world.unfenced.accepted:
            order = send.order
            order_content = (order.service, order.number, order.count)
            assert (
                content.setdefault(order.intent_id, order_content)
                == order_content
            )

    @invariant()
    def unconfirmed_order_is_reissued_before_a_new_one(self) -> None:
        """A new order on a subject is sent only once the last is confirmed."""
        if not hasattr(self, "world"):
            return
        numbers: dict[str, int] = {}
        for _, send in self.world.fenced.accepted:
            order = send.order
            assert order.number >= numbers.get(order.service, 0)
            numbers[order.service] = order.number

    @invariant()
    def recorded_order_numbers_increase(self) -> None:
        if not hasattr(self, "world"):
            return
        highest = 0
        known: set[str] = set()
        for record in self.world.history:
            for intent in record.intents:
                if intent.intent_id not in known:
                    assert intent.number > highest
                    known.add(intent.intent_id)
                    highest = intent.number
            assert math.isfinite(record.term_s)


TestLeaseMachine = LeaseMachine.TestCase
TestLeaseMachine.settings = settings(
    max_examples=_EXAMPLES_FACTOR * settings().max_examples
)
