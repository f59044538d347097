"""Delivery by two VMs over one store, judged by what the trainer took.

Every step of a VM that reads and later writes is split, so that hypothesis
puts crashes, lost answers and the other VM's acts in between.
"""

import hypothesis
import hypothesis.strategies as st
import msgspec
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from endivespindle.core.tests.steps import count_step
from endivespindle.exceptions import RefusedError
from endivespindle.rollout.delivery import (
    CandidateSample,
    acknowledge,
    commit_samples,
    declare_version,
    missing_slots,
    offer,
    reopen_lost_slot,
    return_sample,
)
from endivespindle.rollout.sealing import entry_page_name, next_page, seal
from endivespindle.rollout.spans import SpanBuilder
from endivespindle.rollout.submission import split_step, submit_step
from endivespindle.schema.generated.backend import GenerateChunk
from endivespindle.schema.generated.rollout import (
    GroupSubmission,
    StepSubmission,
)
from endivespindle.schema.generated.stored import TrainerState

_VMS = st.sampled_from(["a", "b"])
_BOUND = 2
_SAMPLES = 2
_STEPS = 4
_PAGE_SIZE = 2


class _Store:
    """One object with conditional updates, and pages created once."""

    def __init__(self):
        self.value = msgspec.json.encode(TrainerState())
        self.version = 1
        self.pages = {}
        self.commits = []

    def read(self):
        return msgspec.json.decode(self.value, type=TrainerState), self.version

    def put(self, state, expect_version):
        if expect_version != self.version:
            return False
        before, _ = self.read()
        self.value = msgspec.json.encode(state)
        self.version += 1
        known = before.last_cursor
        fresh = [e for e in state.entries if e.cursor > known]
        self.commits += [(entry, state.version) for entry in fresh]
        return True


class DeliveryMachine(RuleBasedStateMachine):
    """The observer's state is `taken`, `answers` and `produced`."""

    @initialize()
    def start(self):
        self.store = _Store()
        self.holders = {"a": {}, "b": {}}
        self.pending = {"a": None, "b": None}
        self.ready = {"a": [], "b": []}
        self.engine_version = 0
        self.samples_made = 0
        self.produced = {}
        self.inbox = []
        self.taken = {}
        self.returned = set()
        self.answers = {}
        self.first_offer = {}
        self.cursor = 0
        self.saved_cursor = 0
        self.submitted = 0
        self.pulling = None
        for _ in range(2):
            self.submit()

    # The trainer.

    @precondition(lambda self: self.submitted < _STEPS)
    @rule()
    def submit(self):
        count_step()
        self._update(lambda s: submit_step(s, _split(self.submitted)))
        self.submitted += 1

    @precondition(lambda self: self.submitted)
    @rule()
    def submit_again(self):
        count_step()
        for step in range(self.submitted):
            self._update(lambda s, step=step: submit_step(s, _split(step)))

    @rule(rise=st.integers(1, 2))
    def publish(self, rise):
        count_step()
        self._update(lambda s: declare_version(s, s.version + rise))

    @rule(loads=st.booleans())
    def swap(self, loads):
        """A swap that is answered, and perhaps not carried out."""
        count_step()
        if loads:
            self.engine_version = self.store.read()[0].version

    @precondition(lambda self: self.inbox)
    @rule(lost=st.booleans())
    def receive(self, lost):
        """An answer to a pull arrives, or is lost on its way."""
        count_step()
        asked, batch = self.inbox.pop(0)
        if lost or asked != self.cursor:
            return
        for entry, payload in batch:
            if entry.cursor not in self.returned:
                self._take(entry, payload)
            self.cursor = max(self.cursor, entry.cursor)

    @rule()
    def acknowledge(self):
        count_step()
        self._update(lambda s: acknowledge(s, self.cursor))
        self.saved_cursor = self.cursor
        for held in self.holders.values():
            for cursor, (_, payload) in self.taken.items():
                if cursor <= self.cursor:
                    held.pop(payload, None)

    @rule()
    def acknowledge_ahead(self):
        count_step()
        state, _ = self.store.read()
        try:
            acknowledge(state, state.offered + 1)
        except RefusedError:
            return
        raise AssertionError("acknowledged what was never handed out")

    @rule()
    def restart_trainer(self):
        """It forgets what it took after the last acknowledged cursor."""
        count_step()
        self.cursor = self.saved_cursor
        self.inbox = []
        self.taken = {
            cursor: held
            for cursor, held in self.taken.items()
            if cursor <= self.saved_cursor
        }

    # The VMs.

    @rule(
        vm=_VMS,
        omits=st.sampled_from([False, False, False, True]),
        count=st.integers(1, 3),
    )
    def generate(self, vm, omits, count):
        count_step()
        for _ in range(count):
            self._generate(vm, omits)

    def _generate(self, vm, omits):
        """Makes a sample over up to two versions."""
        state, _ = self.store.read()
        missing = missing_slots(state)
        if not missing or len(self.ready[vm]) > 3:
            return
        slot = missing[self.samples_made % len(missing)]
        self.samples_made += 1
        spans = SpanBuilder()
        truth = []
        latest = max(self.engine_version, state.version)
        versions = sorted({self.engine_version, latest})
        for at, version in enumerate(versions):
            last = at == len(versions) - 1
            named = None if omits and last else version
            spans.add(_chunk(spans.tokens, named))
            truth += [version] * 2
        if spans.has_unversioned_chunk:
            return
        name = f"payload-{self.samples_made}"
        claimed = [
            span.version
            for span in spans.spans
            for _ in range(span.first_token, span.last_token + 1)
        ]
        self.produced[name] = (truth, claimed)
        holders = [h for h in ("a", "b") if h == vm or self.samples_made % 2]
        for holder in holders:
            self.holders[holder][name] = True
        self.ready[vm].append(
            CandidateSample(
                step=slot.step,
                group=slot.group,
                index=slot.index,
                digest=name,
                holders=holders,
                oldest_version=spans.oldest_version(),
                tokens=spans.tokens,
            )
        )

    @precondition(lambda self: any(self.ready.values()))
    @rule(vm=_VMS)
    def begin_commit(self, vm):
        count_step()
        if self.ready[vm] and self.pending[vm] is None:
            self.pending[vm] = (*self.store.read(), list(self.ready[vm]))

    @precondition(lambda self: any(self.pending.values()))
    @rule(vm=_VMS, answer_lost=st.booleans())
    def end_commit(self, vm, answer_lost):
        count_step()
        if self.pending[vm] is None:
            return
        state, version, batch = self.pending[vm]
        self.pending[vm] = None
        result = commit_samples(state, batch, max_staleness_versions=_BOUND)
        if result.state is not state:
            done = self.store.put(result.state, version)
            if not done or answer_lost:
                return
        settled = {c.digest for c in batch}
        self.ready[vm] = [c for c in self.ready[vm] if c.digest not in settled]
        dropped = [*result.stale]
        for cand in dropped:
            for holder in cand.holders:
                self.holders[holder].pop(cand.digest, None)

    @precondition(lambda self: any(self.ready.values()))
    @rule(vm=_VMS, answer_lost=st.booleans())
    def commit(self, vm, answer_lost):
        self.begin_commit(vm)
        self.end_commit(vm, answer_lost)

    @rule(limit=st.integers(1, 4), lost=st.booleans())
    def pull(self, limit, lost):
        """A whole pull, with what it hands out received or lost."""
        self.begin_pull(limit)
        self.end_pull(lost)
        if self.inbox:
            self.receive(False)

    @rule()
    def write_page(self):
        """A VM writes a page; it may die before the state names it."""
        count_step()
        page = next_page(self.store.read()[0], size=_PAGE_SIZE)
        if page is not None:
            name = entry_page_name("t", page.entries[0])
            held = self.store.pages.setdefault(name, page)
            assert held == page

    @precondition(lambda self: self.store.pages)
    @rule()
    def name_pages(self):
        count_step()
        for page in self.store.pages.values():
            self._update(lambda s, page=page: seal(s, page))

    @rule(limit=st.integers(1, 4))
    def begin_pull(self, limit):
        """Reads entries and fetches their payloads; the offer comes later."""
        count_step()
        state, version = self.store.read()
        after = max(self.cursor, state.acked)
        entries = [e for e in self._live(state) if e.cursor > after]
        have = []
        for entry in entries[:limit]:
            if self._fetch(entry) is None:
                self._lose(state, entry)
                break
            have.append(entry)
        self.pulling = (self.cursor, have)

    @precondition(lambda self: self.pulling)
    @rule(answer_lost=st.booleans())
    def end_pull(self, answer_lost):
        count_step()
        asked, have = self.pulling
        self.pulling = None
        state, version = self.store.read()
        result = offer(state, have, max_staleness_versions=_BOUND)
        if result.state is not state:
            assert self.store.put(result.state, version)
        for entry in result.entries:
            self.first_offer.setdefault(
                entry.cursor, (entry.oldest_version, result.state.version)
            )
        if not answer_lost:
            batch = [(entry, entry.digest) for entry in result.entries]
            self.inbox.append((asked, batch))

    @rule(vm=_VMS)
    def lose_vm(self, vm):
        """A VM without a disk is replaced: all it held is gone."""
        count_step()
        self.holders[vm] = {}
        self.pending[vm] = None
        self.ready[vm] = []

    # What is observed.

    @invariant()
    def spans_are_true(self):
        for _, payload in self.taken.values():
            truth, claimed = self.produced[payload]
            assert claimed == truth

    @invariant()
    def none_over_the_bound(self):
        for entry, version in self.store.commits:
            assert entry.oldest_version >= version - _BOUND
        for oldest, version in self.first_offer.values():
            assert oldest >= version - _BOUND

    @invariant()
    def each_slot_once(self):
        slots = [slot for slot, _ in self.taken.values()]
        assert len(slots) == len(set(slots))

    @invariant()
    def cursors_are_never_reused(self):
        cursors = [entry.cursor for entry, _ in self.store.commits]
        assert cursors == sorted(set(cursors))

    @invariant()
    def nothing_is_lost(self):
        """Each slot is open, on its way, or was taken for good."""
        state, _ = self.store.read()
        open_slots = {(s.step, s.group, s.index) for s in missing_slots(state)}
        waiting = {(e.step, e.group, e.index) for e in self._live(state)}
        acked = {
            slot
            for cursor, (slot, _) in self.taken.items()
            if cursor <= state.acked
        }
        asked = {
            (step, 0, index)
            for step in range(self.submitted)
            for index in range(_SAMPLES)
        }
        assert asked == open_slots | waiting | acked
        assert not waiting & acked
        assert not open_slots & acked

    def teardown(self):
        """Once faults end, the trainer gets every slot."""
        if not hasattr(self, "store"):
            return
        self.pending = {"a": None, "b": None}
        self.inbox = []
        for _ in range(30 * _STEPS):
            if self._is_whole():
                return
            self.engine_version = self.store.read()[0].version
            if not self.ready["a"]:
                self.generate("a", False, 3)
            self.begin_commit("a")
            self.end_commit("a", False)
            self.begin_pull(4)
            self.end_pull(False)
            self.receive(False)
            self.acknowledge()
        assert self._is_whole()

    def _is_whole(self):
        slots = {slot for slot, _ in self.taken.values()}
        return len(slots) == self.submitted * _SAMPLES

    def _live(self, state):
        """Returns live entries over the acknowledged cursor, pages first."""
        names = [entry_page_name("t", ref) for ref in state.pages]
        paged = [e for name in names for e in self.store.pages[name].entries]
        return [
            entry
            for entry in paged + state.entries
            if entry.cursor > state.acked and entry.cursor not in state.voided
        ]

    def _take(self, entry, payload):
        """The trainer keeps a sample; the same cursor has the same bytes."""
        slot = (entry.step, entry.group, entry.index)
        assert self.answers.setdefault(entry.cursor, payload) == payload
        self.taken[entry.cursor] = (slot, payload)

    def _fetch(self, entry):
        for holder in entry.holders:
            if entry.digest in self.holders[holder]:
                return entry.digest
        return None

    def _lose(self, state, entry):
        """What the system and the trainer do about a lost payload."""
        if entry.cursor > state.offered:
            self._update(lambda s: reopen_lost_slot(s, entry))
        elif entry.cursor not in self.taken:
            self.returned.add(entry.cursor)
            self._update(lambda s: return_sample(s, entry))

    def _update(self, change):
        state, version = self.store.read()
        new = change(state)
        if new is not state:
            assert self.store.put(new, version)


def _split(step):
    return split_step(
        StepSubmission(
            step=step,
            groups=[
                GroupSubmission(
                    group=0, prompt="p", samples=_SAMPLES, max_tokens=8
                )
            ],
        )
    )


def _chunk(offset, version):
    return GenerateChunk(
        request_id="r", offset=offset, text="w w", tokens=2, version=version
    )


TestDelivery = DeliveryMachine.TestCase
_PROFILE = hypothesis.settings.default
if _PROFILE.derandomize:
    TestDelivery.settings = hypothesis.settings(
        max_examples=5 * _PROFILE.max_examples,
        phases=[hypothesis.Phase.explicit, hypothesis.Phase.generate],
    )
