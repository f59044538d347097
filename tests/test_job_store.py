"""Batch jobs whose parts must fit into the store's values."""

import asyncio

from hypothesis import given
from hypothesis import strategies as st

from endivespindle.batch.progress import (
    ItemOutcome,
    ItemResult,
    JobProgress,
)
from endivespindle.batch.tests.jobs import item, submission
from endivespindle.core.ids import SeededIdSource
from endivespindle.runtime.job_store import JobStore
from endivespindle.standins.memory_store import MemoryObjectStore

VALUE_BYTES = 4000

# Characters of one, two, four and six bytes in the encoding.
TEXTS = st.builds(
    lambda char, size: char * size,
    st.sampled_from(["a", "é", "😀", "\x01"]),
    st.one_of(
        st.integers(0, 400),
        st.integers(VALUE_BYTES // 6 - 20, VALUE_BYTES + 20),
        st.integers(0, 3 * VALUE_BYTES),
    ),
)


async def _save_and_load(batches):
    store = MemoryObjectStore()
    jobs = JobStore(
        store=store, ids=SeededIdSource(seed=1), value_bytes=VALUE_BYTES
    )
    names = [result.item_id for results in batches for result in results]
    await jobs.create(submission([item(name) for name in names]))
    places = {name: place for place, name in enumerate(names)}
    progress, version = JobProgress(owner="n1"), 0
    for results in batches:
        progress, version = await jobs.save(
            "job-1",
            JobProgress(
                owner="n1",
                parts=progress.parts,
                results=(*progress.results, *results),
            ),
            version=version,
            places=places,
        )
    return store, await _read_all(jobs)


async def _read_all(jobs):
    """Returns all results of a job, read in pages of one value."""
    job = await jobs.load("job-1")
    results = []
    while len(results) < len(job.committed):
        page = await jobs.read_results(
            job.progress,
            committed=len(job.committed),
            after=len(results),
            max_bytes=VALUE_BYTES,
        )
        assert page
        results += page
    assert [result.item_id for result in results] == job.committed
    return results


@given(st.lists(st.lists(TEXTS, max_size=6), min_size=1, max_size=3))
def test_results_of_any_size_fit_into_the_values_of_the_store(batches):
    """Results over the largest value were refused without end (LOST)."""
    named = [
        [
            ItemResult(
                item_id=f"i{batch}-{number}",
                outcome=ItemOutcome.COMPLETE,
                text=text,
                versions=(1,),
                score="sig",
            )
            for number, text in enumerate(texts)
        ]
        for batch, texts in enumerate(batches)
    ]
    store, loaded = asyncio.run(_save_and_load(named))
    assert loaded == [result for results in named for result in results]
    assert max(len(obj.value) for obj in store.log) <= VALUE_BYTES
