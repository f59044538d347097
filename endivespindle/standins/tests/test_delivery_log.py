"""The delivery log over a store that loses answers."""

from endivespindle.core.ids import SeededIdSource
from endivespindle.node.delivery_log import (
    ENTRY_PAGE_KIND,
    PROMPT_PAGE_KIND,
    DeliveryLog,
)
from endivespindle.rollout.delivery import (
    CandidateSample,
    acknowledge,
    commit_samples,
    missing_slots,
    offer,
)
from endivespindle.rollout.sealing import ENTRIES_PER_PAGE
from endivespindle.rollout.submission import split_step
from endivespindle.schema.generated.rollout import (
    GroupSubmission,
    StepSubmission,
)
from endivespindle.standins.memory_store import MemoryObjectStore

_SAMPLES = ENTRIES_PER_PAGE + 10


def _log(store, seed=1):
    return DeliveryLog(store=store, trainer="t", ids=SeededIdSource(seed=seed))


def _split():
    group = GroupSubmission(
        group=0, prompt="p" * 100, samples=_SAMPLES, max_tokens=8
    )
    return split_step(StepSubmission(step=0, groups=[group]))


def _candidates():
    return [
        CandidateSample(
            step=0,
            group=0,
            index=index,
            digest=f"d{index}",
            holders=["a"],
            oldest_version=0,
            tokens=1,
        )
        for index in range(_SAMPLES)
    ]


async def _commit_all(log):
    return await log.update(
        lambda state: (
            commit_samples(state, _candidates(), max_staleness_versions=1).state
        )
    )


async def test_answers_lost_at_each_write_change_nothing():
    store = MemoryObjectStore()
    first, second = _log(store), _log(store, seed=2)
    store.faults.lose_answers = 2
    state = await first.submit(_split())
    slot = missing_slots(state)[0]
    group = await second.read_prompt_group(step=0, page=slot.page, group=0)
    assert group.prompt == "p" * 100
    store.faults.lose_answers = 1
    state = await _commit_all(first)
    store.faults.lose_answers = 2
    await first.seal(state)
    await second.seal(state)
    state, _ = await second.read()
    assert (len(state.pages), len(state.entries)) == (1, 10)
    entries = await second.entries_after(state, 0, 1000)
    assert [e.cursor for e in entries] == list(range(1, _SAMPLES + 1))
    part = await second.entries_after(state, ENTRIES_PER_PAGE - 2, 4)
    assert [e.cursor for e in part] == [255, 256, 257, 258]


async def test_sweep_deletes_only_what_no_state_names():
    store = MemoryObjectStore()
    log = _log(store)
    await log.submit(_split())
    await log.seal(await _commit_all(log))
    await log.delete_unreferenced_pages()
    state, _ = await log.read()
    entries = await log.entries_after(state, 0, 1000)
    assert len(entries) == _SAMPLES
    await log.update(
        lambda old: acknowledge(
            offer(old, entries, max_staleness_versions=1).state, _SAMPLES
        )
    )
    await log.delete_unreferenced_pages()
    for kind in (ENTRY_PAGE_KIND, PROMPT_PAGE_KIND):
        assert (await store.list_objects(kind=kind)).objects == []
