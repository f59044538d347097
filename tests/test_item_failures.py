"""Items that fail at each run, while their job changes its owner.

Each test names the failure it guards against in its first line.
"""

import asyncio

import msgspec
import pytest

from endivespindle.batch.job import JobState
from endivespindle.batch.partial_completions import (
    ItemSnapshot,
    restore_items,
    snapshot_items,
)
from endivespindle.batch.progress import (
    ItemFailures,
    ItemOutcome,
    JobProgress,
)
from endivespindle.batch.tests.jobs import item, submission
from tests.fleet_fakes import ScriptedAnswer
from tests.test_batch_jobs import _play, _slow

MAX_ATTEMPTS = 3
# Responses of 422 after which an item may not be sent again.
MAX_REJECTIONS = 3
RESTART_S = 0.3
KILLS = 10


class _Failing:
    """Servers that answer an item with an error, once they are armed.

    Attributes:
        is_armed: Whether they do; they do not run the item before.
        runs: Number of times that they did.
    """

    def __init__(self, status, *, is_armed=False):
        self._status = status
        self.is_armed = is_armed
        self.runs = 0

    def answer(self, name, call):
        if call.request_id != "bad":
            return _slow(name, call)
        if not self.is_armed:
            return ScriptedAnswer(status=503, not_run=True)
        self.runs += 1
        return ScriptedAnswer(status=self._status)


async def _until(condition):
    async with asyncio.timeout(5.0):
        while not condition():
            await asyncio.sleep(0.005)


@pytest.mark.parametrize("delay_s", [0.03, 0.1, 0.4])
@pytest.mark.parametrize(("status", "sends"), [(422, 1), (500, MAX_ATTEMPTS)])
def test_kills_of_the_owner_do_not_repeat_a_failed_item(status, sends, delay_s):
    """Each new owner ran an item again that had failed for good."""
    failing = _Failing(status)

    async def story(world):
        await world.submit([item("bad"), item("i1"), item("i2")])
        failing.is_armed = True
        reader = world.nodes[0]
        for kill in range(KILLS):
            known = failing.runs
            try:
                await _until(lambda known=known: failing.runs > known)
            except TimeoutError:
                break
            await asyncio.sleep(delay_s)
            world.owner().stop(world.peers)
            await asyncio.sleep(RESTART_S)
            reader = world.nodes[kill + 1]
            await world.read(reader)
        await asyncio.sleep(3.0)
        assert failing.runs == sends
        results = (await world.read(reader)).results
        outcomes = {r.item_id: r.outcome for r in results}
        assert outcomes["bad"] is ItemOutcome.TERMINATED
        assert len(outcomes) == 3

    names = tuple(f"n{n}" for n in range(KILLS + 1))
    _play(failing.answer, story, names=names)


@pytest.mark.parametrize(("status", "sends"), [(422, 1), (500, MAX_ATTEMPTS)])
def test_failures_go_along_with_a_job(status, sends):
    """An owner without the store passed texts on, but no failures."""
    failing = _Failing(status)

    async def story(world):
        await world.submit([item("bad"), item("i1")])
        owner, other = world.owner(), world.other()
        owner.link.cut = True
        failing.is_armed = True
        await _until(lambda: failing.runs)
        await asyncio.sleep(1.5)
        assert failing.runs == 1
        await world.read(other)
        await asyncio.sleep(4.0)
        assert failing.runs == sends
        assert len((await world.read(other)).results) == 2

    _play(failing.answer, story)


def test_a_failed_item_waits_for_the_store():
    """An owner used up all attempts of an item before it could write one."""
    failing = _Failing(500)

    async def story(world):
        await world.submit([item("bad")])
        owner = world.owner()
        owner.link.reset = True
        failing.is_armed = True
        await _until(lambda: failing.runs)
        await asyncio.sleep(0.8)
        assert failing.runs == 1
        owner.link.reset = False
        await asyncio.sleep(3.0)
        assert failing.runs == MAX_ATTEMPTS

    _play(failing.answer, story)


def test_a_record_that_was_read_again_keeps_failures():
    """A delayed write of the owner's own made it forget its failures."""
    before = JobState(submission=submission([item("a"), item("b")]))
    before.items["a"].failures = 2
    before.terminate_item(before.items["b"])
    after = JobState(submission=before.submission)
    assert restore_items(after, snapshot_items(before)) == 0
    assert after.items["a"].failures == 2
    assert [r.item_id for r in after.uncommitted] == ["b"]
    assert after.has_final_failures


def test_a_new_owner_reads_recorded_failures():
    """The count of failures stood in the memory of the owner alone."""
    state = JobState(
        submission=submission([item("a"), item("b")]),
        failures={"a": ItemFailures(failures=2, reward_failures=1)},
    )
    assert state.items["a"].failures == 2
    assert state.items["a"].reward_failures == 1
    assert [s.item.item_id for s in state.waiting()] == ["a", "b"]
    assert state.count_failures() == {
        "a": ItemFailures(failures=2, reward_failures=1)
    }


def test_earlier_versions_and_this_one_read_each_others_records():
    """A node of another version could not go on with a job."""

    class _EarlierProgress(msgspec.Struct, kw_only=True):
        owner: str
        token: str = ""

    class _EarlierSnapshot(msgspec.Struct, kw_only=True):
        item_id: str
        pieces: list[str]
        versions: list[int]
        server: str
        is_whole: bool
        failures: int
        reward_failures: int
        software: str = ""

    new = JobProgress(owner="n1/a", failures={"a": ItemFailures(failures=1)})
    old = msgspec.json.decode(msgspec.json.encode(new), type=_EarlierProgress)
    assert old.owner == "n1/a"
    back = msgspec.json.decode(msgspec.json.encode(old), type=JobProgress)
    assert back.failures == {}

    state = JobState(submission=submission([item("a")]))
    state.terminate_item(state.items["a"])
    (sent,) = snapshot_items(state)
    earlier = msgspec.msgpack.decode(
        msgspec.msgpack.encode(sent), type=_EarlierSnapshot
    )
    again = msgspec.msgpack.decode(
        msgspec.msgpack.encode(earlier), type=ItemSnapshot
    )
    assert not again.is_terminated


def test_kills_while_an_answer_is_on_its_way_do_not_repeat_an_item():
    """Owners that never read the answer left the item to the next one."""
    worlds = []
    runs = []

    def answer(name, call):
        if call.request_id != "bad":
            return _slow(name, call)
        (world,) = worlds
        runs.append(call)
        world.owner().stop(world.peers)
        return ScriptedAnswer(status=422)

    async def story(world):
        worlds.append(world)
        await world.submit([item("bad"), item("i1")])
        for node in world.nodes[1:]:
            await asyncio.sleep(RESTART_S)
            await world.read(node)
        assert len(runs) <= MAX_REJECTIONS

    names = tuple(f"n{n}" for n in range(KILLS + 1))
    _play(answer, story, names=names)
