"""Holders of one lease under faults, judged by what the far sides saw.

Each await point of a holder is a rule of its own, and time passes by another
rule, so that a pause of any length falls between any two of them: before a
write leaves, between write and answer, between the last check and the send,
between send and answer.
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
_SEND_S = 1.5
_DRIFTS = (0.995, 1.0, 1.005)
_SLACK = 0.02
_HOLDERS = st.integers(0, 2)
_EXAMPLES_FACTOR = 3
_SUBJECTS = ("notes", "desk")
_OFFSETS_S = (0.0, 0.4, 1.4, 2.8, 4.4, 5.8, 6.2, 7.3, 7.7, 8.6, 14.0)
_RACES = (
    "holder:check_before_send",
    "holder:answer_arrives",
    "holder:renewal_is_late",
    "holder:look",
    "holder:release",
    "world:late_arrives",
    "world:oldest_send_arrives",
    "successor:look",
    "successor:act_at_once",
)


class _World:
    """True time, the lease's object and the far sides, as an observer sees."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self.record: LeaseRecord | None = None
        self.version = 0
        self.late: list[LeaseWrite] = []
        self.flying: list[_Send] = []
        self.history: list[LeaseRecord] = []
        self.fenced = _FarSide(checks_fence=True)
        self.unfenced = _FarSide(checks_fence=False)

    def put(self, write: LeaseWrite) -> int | None:
        if write.expect_version != self.version:
            return None
        self.record = write.record
        self.version += 1
        self.history.append(write.record)
        return self.version


class _DriftingClock(Clock):
    """Counts at its own rate from its own start."""

    def __init__(self, world: _World, rate: float, start_s: float):
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


class _FarSide:
    """Takes orders, and keeps what it saw."""

    def __init__(self, *, checks_fence: bool):
        self.checks_fence = checks_fence
        self.taken: list[tuple[float, _Send]] = []
        self.highest = 0

    def receive(self, now_s: float, send: _Send) -> bool:
        if self.checks_fence and send.order.fencing_number < self.highest:
            return False
        self.highest = max(self.highest, send.order.fencing_number)
        self.taken.append((now_s, send))
        return True


class _Holder:
    """One VM: a lease, a write on its way and an act on its way."""

    def __init__(self, world: _World, number: int, incarnation: int):
        self.world = world
        self.number = number
        rate = _DRIFTS[(number + incarnation) % len(_DRIFTS)]
        clock = _DriftingClock(world, rate, 1000.0 * incarnation)
        self.lease = Lease(
            holder=f"vm-{number}/{incarnation}",
            clock=clock,
            term_s=_TERM_S,
            max_send_s=_SEND_S,
        )
        self.write: LeaseWrite | None = None
        self.answer: int | None = None
        self.reached = False
        self.read: tuple[LeaseRecord | None, int] | None = None
        self.planned: CapacityOrder | None = None


class LeaseMachine(RuleBasedStateMachine):
    """Three holders, one store, a far side that checks and one not."""

    @initialize()
    def start(self) -> None:
        self.world = _World()
        self.tokens = itertools.count()
        self.incarnations = itertools.count(1)
        self.holders = [self._new(i) for i in range(3)]

    def _new(self, number: int) -> _Holder:
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
        if old.write is not None and not old.reached:
            self.world.late.append(old.write)
        self.holders[number] = self._new(number)

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
            self._begin_write(holder, None)

    def _begin_write(self, holder: _Holder, intent: Intent | None) -> bool:
        write = holder.lease.next_write(
            token=f"t{next(self.tokens)}", intent=intent
        )
        holder.write, holder.reached, holder.answer = write, False, None
        return write is not None

    @rule(number=_HOLDERS)
    def write_reaches_store(self, number: int) -> None:
        count_step()
        holder = self.holders[number]
        if holder.write is None or holder.reached:
            return
        holder.answer = self.world.put(holder.write)
        holder.reached = True

    @rule(number=_HOLDERS)
    def answer_arrives(self, number: int) -> None:
        holder = self._step(number)
        if not holder.reached:
            return
        if holder.answer is None:
            holder.lease.write_outcome_unknown()
        else:
            holder.lease.write_succeeded(holder.answer)
        holder.write, holder.reached = None, False

    @rule(number=_HOLDERS, arrives_later=st.booleans())
    def answer_is_lost(self, number: int, arrives_later: bool) -> None:
        holder = self._step(number)
        if holder.write is None:
            return
        if not holder.reached and arrives_later:
            self.world.late.append(holder.write)
        holder.lease.write_outcome_unknown()
        holder.write, holder.reached = None, False

    @precondition(lambda self: self.world.late)
    @rule()
    def late_write_arrives(self) -> None:
        count_step()
        self.world.put(self.world.late.pop(0))

    @rule(number=_HOLDERS)
    def store_refuses_the_call(self, number: int) -> None:
        holder = self._step(number)
        if holder.write is None or holder.reached:
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
            holder.planned = None
            self.world.put(write)

    @rule(number=_HOLDERS, subject=st.sampled_from(_SUBJECTS))
    def plan_act(self, number: int, subject: str) -> None:
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
        if self._begin_write(holder, order.intent):
            holder.planned = order.order

    @rule(number=_HOLDERS)
    def check_before_send(self, number: int) -> None:
        holder = self._step(number)
        if holder.planned is None or holder.write:
            return
        order, holder.planned = holder.planned, None
        recorded = [i.intent_id for i in holder.lease.intents]
        if order.intent_id not in recorded:
            return
        if order.fencing_number != holder.lease.epoch:
            return
        if holder.lease.may_send(timeout_s=_SEND_S):
            self.world.flying.append(_Send(order, self.world.now_s, number))

    @precondition(lambda self: self.world.flying)
    @rule(data=st.data(), answered=st.booleans())
    def send_arrives(self, data, answered: bool) -> None:
        count_step()
        last = len(self.world.flying) - 1
        self._arrive(data.draw(st.integers(0, last)), answered=answered)

    @rule(
        number=_HOLDERS,
        waits_s=st.sampled_from([0.0, 7.7]),
        subject=st.sampled_from(_SUBJECTS),
    )
    def take_over_and_plan(
        self, number: int, waits_s: float, subject: str
    ) -> None:
        """Goes through several stages, to get far within few steps."""
        self.look(number)
        self.pass_time(waits_s)
        self.renew_and_hear(number)
        self.plan_act(number, subject)
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
        """A holder and a successor take their steps at drawn times."""
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
            self.check_everything()

    def look(self, number: int) -> None:
        self.read_object(number)
        self.read_arrives(number)

    def renew_and_hear(self, number: int) -> None:
        self.renew(number)
        self.write_reaches_store(number)
        self.answer_arrives(number)

    def act_at_once(self, number: int) -> None:
        self.renew_and_hear(number)
        self.plan_act(number, _SUBJECTS[0])
        self.write_reaches_store(number)
        self.answer_arrives(number)
        self.check_before_send(number)
        self.newest_send_arrives()

    def renewal_is_late(self, number: int) -> None:
        self.renew(number)
        self.answer_is_lost(number, True)

    def late_arrives(self) -> None:
        if self.world.late:
            self.late_write_arrives()

    def oldest_send_arrives(self) -> None:
        if self.world.flying:
            self._arrive(0, answered=False)

    def newest_send_arrives(self) -> None:
        if self.world.flying:
            self._arrive(-1, answered=True)

    def _arrive(self, index: int, *, answered: bool) -> None:
        send = self.world.flying.pop(index)
        far_sides = (self.world.fenced, self.world.unfenced)
        taken = [far.receive(self.world.now_s, send) for far in far_sides]
        if answered and all(taken):
            self.holders[send.holder].lease.mark_done(send.order.intent_id)

    def check_everything(self) -> None:
        self.at_most_one_believes_it_holds()
        self.epochs_never_fall_and_have_one_holder()

    @invariant()
    def at_most_one_believes_it_holds(self) -> None:
        if hasattr(self, "holders"):
            held = [h.number for h in self.holders if h.lease.is_held()]
            assert len(held) <= 1, held

    @invariant()
    def epochs_never_fall_and_have_one_holder(self) -> None:
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
    def checking_far_side_takes_epochs_in_order(self) -> None:
        if hasattr(self, "world"):
            taken = self.world.fenced.taken
            epochs = [send.order.fencing_number for _, send in taken]
            assert epochs == sorted(epochs)

    @invariant()
    def unchecking_far_side_is_crossed_by_long_pauses_only(self) -> None:
        """An order crosses a successor's only if it was stuck too long.

        Too long: from the last check to its arrival, more than the send
        deadline and the longest send that the successor waits out.
        """
        if not hasattr(self, "world"):
            return
        highest = 0
        for arrived_s, send in self.world.unfenced.taken:
            if send.order.fencing_number < highest:
                stuck_s = arrived_s - send.checked_s
                assert stuck_s > 2 * _SEND_S * (1 - _SLACK), stuck_s
            highest = max(highest, send.order.fencing_number)

    @invariant()
    def one_intent_is_one_order(self) -> None:
        if not hasattr(self, "world"):
            return
        content: dict[str, tuple[str, int, int]] = {}
        for _, send in self.world.unfenced.taken:
            order = send.order
            said = (order.service, order.number, order.count)
            assert content.setdefault(order.intent_id, said) == said

    @invariant()
    def undone_act_is_repeated_before_a_new_one(self) -> None:
        """Between two acts on a subject, the first was confirmed."""
        if not hasattr(self, "world"):
            return
        numbers: dict[str, int] = {}
        for _, send in self.world.fenced.taken:
            order = send.order
            assert order.number >= numbers.get(order.service, 0)
            numbers[order.service] = order.number

    @invariant()
    def recorded_order_numbers_rise(self) -> None:
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
