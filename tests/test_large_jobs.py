"""Batch jobs whose completions exceed the memory of a process together.

Each test names the failure it guards against in its first line.
"""

import asyncio
import collections
import gc

import msgspec

from endivespindle.batch.job_memory import JobMemory
from endivespindle.batch.progress import JobProgress
from endivespindle.batch.tests.jobs import item
from endivespindle.runtime.peer_client import JobReplyStatus, JobRequest
from tests.fleet_fakes import ScriptedAnswer
from tests.test_batch_jobs import _play

ITEMS = 400
EVENTS = 5
# Memory of one completion: 15 MB for all items.
COMPLETION_BYTES = 40_000
# Largest value of the store. Results of that size together are in the record
# of a job.
VALUE_BYTES = 1_048_576
# Memory of a process that holds a fifth of the completions.
SMALL_MEMORY_BYTES = 24 * 1_048_576
# Their results, of which each job's fit into one value, are 6 MB.
FINISHED_JOBS = 10
FINISHED_ITEMS = 15
# Shorter strings are names and the like.
MIN_TEXT_BYTES = 1000


def _answer(name, call):
    del name
    first = int(call.last_event_id or 0) + 1
    return ScriptedAnswer(
        events=list(range(first, EVENTS + 1)),
        filler="x" * (COMPLETION_BYTES // EVENTS),
        pause_s=0.002,
    )


def _text_bytes(*roots):
    """Returns the size of all texts that some objects hold."""
    seen, size = set(), 0
    queue = collections.deque(roots)
    while queue:
        obj = queue.popleft()
        if id(obj) in seen or isinstance(obj, type):
            continue
        seen.add(id(obj))
        if isinstance(obj, str):
            size += len(obj) if len(obj) >= MIN_TEXT_BYTES else 0
        elif isinstance(obj, list | tuple | dict | set) or type(
            obj
        ).__module__.startswith("endivespindle.batch"):
            queue.extend(gc.get_referents(obj))
    return size


def _held_bytes(node):
    """Returns the size of all texts that the jobs of a node hold."""
    jobs = node.runner.jobs.values()
    return _text_bytes(
        *((job.state, job.progress) for job in jobs),
        node.runner._partial_completions,
    )


async def _finish(world):
    """Lets a job run until all its results are committed."""
    owner = world.owner()
    async with asyncio.timeout(60.0):
        while len(owner.runner.jobs["job-1"].state.committed) < ITEMS:
            await asyncio.sleep(0.1)


async def _submit(world):
    items = [item(f"i{n}", group=f"g{n // 4}") for n in range(ITEMS)]
    await world.submit(items, due_s=60.0)


async def _read_all(world, node):
    results = []
    while len(results) < ITEMS:
        page = (await world.read(node, after=len(results))).results
        assert page
        results += page
    return results


def _count_part_reads(node):
    """Returns a list of the result parts that a node reads from now on."""
    names = []
    get = node.link.get

    async def count(*, kind, name):
        if kind == "job-parts":
            names.append(name)
        return await get(kind=kind, name=name)

    node.link.get = count
    return names


def test_an_owner_does_not_hold_the_results_of_a_large_job():
    """An owner kept all results twice, and was ended by the limit (LOST)."""

    async def story(world):
        await _submit(world)
        await _finish(world)
        assert _held_bytes(world.owner()) <= 2 * VALUE_BYTES
        results = await _read_all(world, world.other())
        assert len({result.item_id for result in results}) == ITEMS
        assert {len(result.text) for result in results} == {
            COMPLETION_BYTES + EVENTS * len("t1") + EVENTS - 1
        }

    _play(_answer, story)


def test_a_new_owner_does_not_read_the_results_of_a_large_job():
    """A node that took a job over read all its results into memory (LOST)."""

    async def story(world):
        await _submit(world)
        await _finish(world)
        first = (await world.read(world.owner())).results
        reader = world.other()
        world.owner().stop(world.peers)
        parts = _count_part_reads(reader)
        again = (await world.read(reader)).results
        assert again == first
        assert "job-1" in reader.runner.jobs
        # A page of a megabyte spans two parts.
        assert len(parts) <= 2
        assert _held_bytes(reader) <= 2 * VALUE_BYTES

    _play(_answer, story)


def test_results_keep_their_positions_beside_an_earlier_version():
    """A record without the index of its parts could not be taken over."""

    async def story(world):
        await _submit(world)
        await _finish(world)
        before = await _read_all(world, world.owner())
        owner = world.owner()
        job = owner.runner.jobs["job-1"]
        value = msgspec.json.encode(job.progress)
        earlier = msgspec.json.decode(
            msgspec.json.encode(
                msgspec.json.decode(value, type=_EarlierProgress)
            ),
            type=JobProgress,
        )
        assert [part.first for part in earlier.parts] == [-1] * len(
            job.progress.parts
        )
        await owner.runner._store.save(
            "job-1", earlier, version=job.version, places={}
        )
        reader = world.other()
        owner.stop(world.peers)
        assert await _read_all(world, reader) == before

    _play(_answer, story)


def test_completions_wait_for_a_store_that_is_out_of_reach():
    """An owner generated on while nothing was stored, up to its end (LOST)."""

    async def story(world):
        await _submit(world)
        owner = world.owner()
        owner.link.reset = True
        await asyncio.sleep(5.0)
        limit = JobMemory.for_process(memory_bytes=SMALL_MEMORY_BYTES)
        assert _held_bytes(owner) <= (
            limit.completion_bytes + COMPLETION_BYTES + VALUE_BYTES
        )
        # What there is room for was generated meanwhile.
        assert _held_bytes(owner) >= limit.completion_bytes // 2
        owner.link.reset = False
        await _finish(world)
        results = await _read_all(world, owner)
        assert len({result.item_id for result in results}) == ITEMS

    _play(_answer, story, memory_bytes=SMALL_MEMORY_BYTES)


def test_finished_jobs_do_not_fill_the_memory():
    """An owner kept what its finished jobs held for minutes (LOST)."""
    jobs = [f"job-{n}" for n in range(1, FINISHED_JOBS + 1)]
    limit = JobMemory.for_process(memory_bytes=SMALL_MEMORY_BYTES).record_bytes

    async def story(world):
        for job_id in jobs:
            items = [item(f"i{n}") for n in range(FINISHED_ITEMS)]
            await world.submit(items, job_id=job_id, due_s=60.0)
        await asyncio.sleep(10.0)
        owner = world.owner()
        assert sorted(owner.runner.jobs) == sorted(jobs)
        assert _held_bytes(owner) <= limit
        for job_id in jobs:
            for node in world.nodes:
                reply = await node.service.query(JobRequest(job_id=job_id))
                assert len(reply.results) == FINISHED_ITEMS
            read = JobRequest(job_id=job_id, item_id="i7")
            assert (await owner.service.query(read)).body == b"i7"
            end = JobRequest(job_id=job_id, end=True)
            reply = await world.other().service.query(end)
            assert reply.state is JobReplyStatus.OK
            assert owner.runner.jobs[job_id].state.ended
            reply = await owner.service.query(JobRequest(job_id=job_id))
            assert len(reply.results) == FINISHED_ITEMS
        assert _held_bytes(owner) <= limit

    _play(_answer, story, memory_bytes=SMALL_MEMORY_BYTES)


class _EarlierPart(msgspec.Struct, kw_only=True):
    """Reference to a part as earlier versions know it."""

    name: str
    count: int


class _EarlierProgress(msgspec.Struct, kw_only=True):
    """Progress record as earlier versions know it."""

    owner: str
    owner_before: str = ""
    token: str = ""
    ended: bool = False
    parts: tuple[_EarlierPart, ...] = ()
    results: tuple[dict, ...] = ()
    failures: dict[str, dict] = {}
