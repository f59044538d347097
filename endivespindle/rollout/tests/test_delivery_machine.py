"""Model-based test of delivery by two VMs that share one store.

The invariants are checked on the samples that the trainer received. Each
read-modify-write operation of a VM is split in two, so that Hypothesis can
interleave crashes, lost responses and operations of the other VM.
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
_MAX_STALENESS_VERSIONS = 2
_SAMPLES = 2
_STEPS = 4
_PAGE_SIZE = 2


class _Store:
    """One object with conditional updates, and immutable pages."""

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
        last_cursor = before.last_cursor
        added = [e for e in state.entries if e.cursor > last_cursor]
        self.commits += [(entry, state.version) for entry in added]
        return True


class DeliveryMachine(RuleBasedStateMachine):
    """Trainer, VMs and store; checks use `received`, `payloads`, `produced`."""

    @initialize()
    def start(self):
        self.store = _Store()
        self.replicas = {"a": {}, "b": {}}
        self.pending_commits = {"a": None, "b": None}
        self.candidates = {"a": [], "b": []}
        self.engine_version = 0
        self.sample_count = 0
        self.produced = {}
        self.pull_responses = []
        self.received = {}
        self.returned = set()
        self.payloads = {}
        self.first_offers = {}
        self.cursor = 0
        self.saved_cursor = 0
        self.submitted = 0
        self.pending_pull = None
        for _ in range(2):
            self.submit()

    # Operations of the trainer.

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

    @rule(is_loaded=st.booleans())
    def swap(self, is_loaded):
        """The engine confirms a weight swap that may not have happened."""
        count_step()
        if is_loaded:
            self.engine_version = self.store.read()[0].version

    @precondition(lambda self: self.pull_responses)
    @rule(loses_response=st.booleans())
    def receive(self, loses_response):
        """A pull response arrives, or is dropped by the network."""
        count_step()
        request_cursor, batch = self.pull_responses.pop(0)
        if loses_response or request_cursor != self.cursor:
            return
        for entry, payload in batch:
            if entry.cursor not in self.returned:
                self._record_sample(entry, payload)
            self.cursor = max(self.cursor, entry.cursor)

    @rule()
    def acknowledge(self):
        count_step()
        self._update(lambda s: acknowledge(s, self.cursor))
        self.saved_cursor = self.cursor
        for replicas in self.replicas.values():
            for cursor, (_, payload) in self.received.items():
                if cursor <= self.cursor:
                    replicas.pop(payload, None)

    @rule()
    def acknowledge_ahead(self):
        count_step()
        state, _ = self.store.read()
        try:
            acknowledge(state, state.offered + 1)
        except RefusedError:
            return
        raise AssertionError("acknowledged a cursor that was never offered")

    @rule()
    def restart_trainer(self):
        """The trainer loses all samples after its last acknowledged cursor."""
        count_step()
        self.cursor = self.saved_cursor
        self.pull_responses = []
        self.received = {
            cursor: sample
            for cursor, sample in self.received.items()
            if cursor <= self.saved_cursor
        }

    # Operations of the VMs.

    @rule(
        vm=_VMS,
        omits_version=st.sampled_from([False, False, False, True]),
        count=st.integers(1, 3),
    )
    def generate(self, vm, omits_version, count):
        count_step()
        for _ in range(count):
            self._generate(vm, omits_version)

    def _generate(self, vm, omits_version):
        """Generates a sample with tokens of up to two versions."""
        state, _ = self.store.read()
        missing = missing_slots(state)
        if not missing or len(self.candidates[vm]) > 3:
            return
        slot = missing[self.sample_count % len(missing)]
        self.sample_count += 1
        spans = SpanBuilder()
        actual_versions = []
        latest = max(self.engine_version, state.version)
        versions = sorted({self.engine_version, latest})
        for at, version in enumerate(versions):
            last = at == len(versions) - 1
            chunk_version = None if omits_version and last else version
            spans.add(_chunk(spans.tokens, chunk_version))
            actual_versions += [version] * 2
        if spans.has_unversioned_chunk:
            return
        name = f"payload-{self.sample_count}"
        reported_versions = [
            span.version
            for span in spans.spans
            for _ in range(span.first_token, span.last_token + 1)
        ]
        self.produced[name] = (actual_versions, reported_versions)
        holders = [h for h in ("a", "b") if h == vm or self.sample_count % 2]
        for holder in holders:
            self.replicas[holder][name] = True
        self.candidates[vm].append(
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

    @precondition(lambda self: any(self.candidates.values()))
    @rule(vm=_VMS)
    def begin_commit(self, vm):
        count_step()
        if self.candidates[vm] and self.pending_commits[vm] is None:
            self.pending_commits[vm] = (
                *self.store.read(),
                list(self.candidates[vm]),
            )

    @precondition(lambda self: any(self.pending_commits.values()))
    @rule(vm=_VMS, loses_response=st.booleans())
    def end_commit(self, vm, loses_response):
        count_step()
        if self.pending_commits[vm] is None:
            return
        state, version, batch = self.pending_commits[vm]
        self.pending_commits[vm] = None
        result = commit_samples(
            state, batch, max_staleness_versions=_MAX_STALENESS_VERSIONS
        )
        if result.state is not state:
            is_written = self.store.put(result.state, version)
            if not is_written or loses_response:
                return
        processed = {c.digest for c in batch}
        self.candidates[vm] = [
            c for c in self.candidates[vm] if c.digest not in processed
        ]
        stale = [*result.stale]
        for cand in stale:
            for holder in cand.holders:
                self.replicas[holder].pop(cand.digest, None)

    @precondition(lambda self: any(self.candidates.values()))
    @rule(vm=_VMS, loses_response=st.booleans())
    def commit(self, vm, loses_response):
        self.begin_commit(vm)
        self.end_commit(vm, loses_response)

    @rule(limit=st.integers(1, 4), loses_response=st.booleans())
    def pull(self, limit, loses_response):
        """A complete pull whose response is received or dropped."""
        self.begin_pull(limit)
        self.end_pull(loses_response)
        if self.pull_responses:
            self.receive(False)

    @rule()
    def write_page(self):
        """Writes a page; the VM may crash before the state refers to it."""
        count_step()
        page = next_page(self.store.read()[0], size=_PAGE_SIZE)
        if page is not None:
            name = entry_page_name("t", page.entries[0])
            stored = self.store.pages.setdefault(name, page)
            assert stored == page

    @precondition(lambda self: self.store.pages)
    @rule()
    def name_pages(self):
        count_step()
        for page in self.store.pages.values():
            self._update(lambda s, page=page: seal(s, page))

    @rule(limit=st.integers(1, 4))
    def begin_pull(self, limit):
        """Reads entries and fetches their payloads; `end_pull` offers them."""
        count_step()
        state, version = self.store.read()
        after = max(self.cursor, state.acked)
        entries = [e for e in self._live_entries(state) if e.cursor > after]
        fetched = []
        for entry in entries[:limit]:
            if self._fetch(entry) is None:
                self._handle_lost_payload(state, entry)
                break
            fetched.append(entry)
        self.pending_pull = (self.cursor, fetched)

    @precondition(lambda self: self.pending_pull)
    @rule(loses_response=st.booleans())
    def end_pull(self, loses_response):
        count_step()
        request_cursor, fetched = self.pending_pull
        self.pending_pull = None
        state, version = self.store.read()
        result = offer(
            state, fetched, max_staleness_versions=_MAX_STALENESS_VERSIONS
        )
        if result.state is not state:
            assert self.store.put(result.state, version)
        for entry in result.entries:
            self.first_offers.setdefault(
                entry.cursor, (entry.oldest_version, result.state.version)
            )
        if not loses_response:
            batch = [(entry, entry.digest) for entry in result.entries]
            self.pull_responses.append((request_cursor, batch))

    @rule(vm=_VMS)
    def lose_vm(self, vm):
        """A VM is replaced; it has no disk, so its payloads are lost."""
        count_step()
        self.replicas[vm] = {}
        self.pending_commits[vm] = None
        self.candidates[vm] = []

    # Invariants.

    @invariant()
    def spans_match_the_actual_versions(self):
        for _, payload in self.received.values():
            actual_versions, reported_versions = self.produced[payload]
            assert reported_versions == actual_versions

    @invariant()
    def staleness_bound_is_respected(self):
        for entry, version in self.store.commits:
            assert entry.oldest_version >= version - _MAX_STALENESS_VERSIONS
        for oldest, version in self.first_offers.values():
            assert oldest >= version - _MAX_STALENESS_VERSIONS

    @invariant()
    def each_slot_is_filled_at_most_once(self):
        slots = [slot for slot, _ in self.received.values()]
        assert len(slots) == len(set(slots))

    @invariant()
    def cursors_are_never_reused(self):
        cursors = [entry.cursor for entry, _ in self.store.commits]
        assert cursors == sorted(set(cursors))

    @invariant()
    def every_slot_is_open_pending_or_acknowledged(self):
        """Each slot is open, has a live entry, or was acknowledged."""
        state, _ = self.store.read()
        open_slots = {(s.step, s.group, s.index) for s in missing_slots(state)}
        live = {(e.step, e.group, e.index) for e in self._live_entries(state)}
        acked = {
            slot
            for cursor, (slot, _) in self.received.items()
            if cursor <= state.acked
        }
        submitted = {
            (step, 0, index)
            for step in range(self.submitted)
            for index in range(_SAMPLES)
        }
        assert submitted == open_slots | live | acked
        assert not live & acked
        assert not open_slots & acked

    def teardown(self):
        """Checks that the trainer gets every slot once faults end."""
        if not hasattr(self, "store"):
            return
        self.pending_commits = {"a": None, "b": None}
        self.pull_responses = []
        for _ in range(30 * _STEPS):
            if self._is_complete():
                return
            self.engine_version = self.store.read()[0].version
            if not self.candidates["a"]:
                self.generate("a", False, 3)
            self.begin_commit("a")
            self.end_commit("a", False)
            self.begin_pull(4)
            self.end_pull(False)
            self.receive(False)
            self.acknowledge()
        assert self._is_complete()

    def _is_complete(self):
        slots = {slot for slot, _ in self.received.values()}
        return len(slots) == self.submitted * _SAMPLES

    def _live_entries(self, state):
        """Returns live entries after the acknowledged cursor, pages first."""
        names = [entry_page_name("t", ref) for ref in state.pages]
        paged = [e for name in names for e in self.store.pages[name].entries]
        return [
            entry
            for entry in paged + state.entries
            if entry.cursor > state.acked and entry.cursor not in state.voided
        ]

    def _record_sample(self, entry, payload):
        """Records a sample; one cursor always has the same payload."""
        slot = (entry.step, entry.group, entry.index)
        assert self.payloads.setdefault(entry.cursor, payload) == payload
        self.received[entry.cursor] = (slot, payload)

    def _fetch(self, entry):
        for holder in entry.holders:
            if entry.digest in self.replicas[holder]:
                return entry.digest
        return None

    def _handle_lost_payload(self, state, entry):
        """Reopens the slot of a lost payload, or returns its sample."""
        if entry.cursor > state.offered:
            self._update(lambda s: reopen_lost_slot(s, entry))
        elif entry.cursor not in self.received:
            self.returned.add(entry.cursor)
            self._update(lambda s: return_sample(s, entry))

    def _update(self, update):
        state, version = self.store.read()
        new = update(state)
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
