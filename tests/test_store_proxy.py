"""Calls to a store that turns this VM away, made through a controller."""

import asyncio
import random

import msgspec
import pytest

from endivespindle.batch.tests.jobs import item, submission
from endivespindle.core.ids import SeededIdSource
from endivespindle.exceptions import (
    AnswerLostError,
    ConflictError,
    PeerError,
    PlatformUnavailableError,
)
from endivespindle.runtime.fleet_view import NodeRecord
from endivespindle.runtime.job_store import CreateOutcome, JobStore
from endivespindle.runtime.settings import NodeRole
from endivespindle.runtime.store_proxy import (
    ProxiedStore,
    StoreReply,
    StoreStatus,
    serve_store_operation,
)
from endivespindle.serving.relay_selection import RelaySelector
from endivespindle.standins.memory_store import MemoryObjectStore
from tests.virtual_loop import LoopClock, run_virtual

CONTROLLER = NodeRecord(
    name="c1",
    role=NodeRole.CONTROLLER,
    data_centre="a",
    host="127.0.0.1",
    peer_port=1,
    incarnation="x",
)


class _DirectPath(MemoryObjectStore):
    """This VM's own path to the store that it shares with the controller."""

    def __init__(self, shared):
        super().__init__()
        self.shared = shared
        self.trouble = ""
        self.calls = 0

    async def get(self, *, kind, name):
        await self._disturb_call()
        return await self.shared.get(kind=kind, name=name)

    async def put(self, *, kind, name, value, expect_version):
        await self._disturb_call()
        version = await self.shared.put(
            kind=kind, name=name, value=value, expect_version=expect_version
        )
        if self.trouble == "answers lost":
            raise AnswerLostError("reset")
        return version

    async def _disturb_call(self):
        self.calls += 1
        await asyncio.sleep(0.005)
        if self.trouble == "busy":
            raise PlatformUnavailableError("503")
        if self.trouble == "silent":
            await asyncio.sleep(1.5)
            raise AnswerLostError("timed out")
        if self.trouble == "late":
            await asyncio.sleep(1.0)


class _World:
    def __init__(self):
        self.clock = LoopClock(loop=asyncio.get_running_loop())
        self.shared = MemoryObjectStore()
        self.direct = _DirectPath(self.shared)
        self.selector = RelaySelector(
            vm="g1",
            data_centre="a",
            clock=self.clock,
            rng=random.Random(1),
            probe_interval_s=2.0,
        )
        self.switches = []
        self.relayed = 0
        self.is_cut = False
        self.is_stale = False
        self.store = ProxiedStore(
            store=self.direct,
            peers=self,
            relays=lambda: [CONTROLLER],
            selector=self.selector,
            clock=self.clock,
            on_switch=self.switches.append,
        )

    async def post(self, node, path, op, *, timeout_s):
        """Calls the controller as `PeerClient` does."""
        assert (node, path) == (CONTROLLER, "/store")
        self.relayed += 1
        await asyncio.sleep(0.002)
        if self.is_cut:
            await asyncio.sleep(timeout_s)
            raise PeerError("silent")
        if self.is_stale:
            reply = StoreReply(status=StoreStatus.NOT_DONE)
        else:
            reply = await serve_store_operation(self.shared, op)
        return msgspec.msgpack.encode(reply)

    async def put(self, value, version):
        return await self.store.put(
            kind="k", name="n", value=value, expect_version=version
        )


def _play(story):
    async def run():
        await story(_World())

    run_virtual(run())


def test_a_sound_store_is_called_directly():
    async def story(world):
        version = await world.put(b"1", 0)
        found = await world.store.get(kind="k", name="n")
        assert (found.value, found.version) == (b"1", version)
        assert (world.relayed, world.switches) == (0, [])

    _play(story)


@pytest.mark.parametrize(
    ("trouble", "limit_s"), [("busy", 0.1), ("silent", 0.5)]
)
def test_a_vm_that_the_store_turns_away_goes_on_through_a_controller(
    trouble, limit_s
):
    async def story(world):
        world.direct.trouble = trouble
        start_s = world.clock.monotonic()
        await world.put(b"1", 0)
        assert world.clock.monotonic() - start_s <= limit_s
        await asyncio.sleep(2.0)
        calls = world.direct.calls
        for _ in range(5):
            start_s = world.clock.monotonic()
            found = await world.store.get(kind="k", name="n")
            assert found.value == b"1"
            assert world.clock.monotonic() - start_s <= 0.1
        # The store is left alone for a while after it turned a call away.
        assert world.direct.calls == calls

    _play(story)


def test_the_direct_path_is_taken_again_once_the_store_responds():
    async def story(world):
        world.direct.trouble = "busy"
        await world.put(b"1", 0)
        world.direct.trouble = ""
        await asyncio.sleep(3.1)
        await world.store.get(kind="k", name="n")
        await asyncio.sleep(0.1)
        relayed = world.relayed
        await world.store.get(kind="k", name="n")
        assert world.relayed == relayed
        assert [bool(error) for error in world.switches] == [True, False]

    _play(story)


def test_no_caller_waits_for_a_store_that_stays_silent():
    """Each call within an outage of 12 s, also when the store is tried."""

    async def story(world):
        world.direct.trouble = "silent"
        await world.put(b"1", 0)
        for _ in range(60):
            start_s = world.clock.monotonic()
            await world.store.get(kind="k", name="n")
            assert world.clock.monotonic() - start_s <= 0.05
            await asyncio.sleep(0.2)
        assert 3 <= world.direct.calls <= 5

    _play(story)


def test_a_write_sent_on_both_paths_takes_effect_once():
    async def story(world):
        await world.put(b"1", 0)
        first = world.shared.log[-1].version
        world.direct.trouble = "late"
        second = await world.put(b"2", first)
        await asyncio.sleep(2.0)
        assert world.shared.log[-1].version == second
        assert [obj.value for obj in world.shared.log] == [b"1", b"2"]

    _play(story)


def test_a_conflict_is_an_answer():
    async def story(world):
        await world.put(b"1", 0)
        with pytest.raises(ConflictError):
            await world.put(b"2", 0)
        assert world.relayed == 0
        world.direct.trouble = "busy"
        with pytest.raises(ConflictError):
            await world.put(b"2", 0)

    _play(story)


@pytest.mark.parametrize(
    ("trouble", "is_cut", "error"),
    [
        ("busy", False, PlatformUnavailableError),
        ("silent", False, AnswerLostError),
        ("busy", True, AnswerLostError),
    ],
)
def test_not_done_is_said_only_if_it_is_certain_on_both_paths(
    trouble, is_cut, error
):
    async def story(world):
        world.direct.trouble = trouble
        world.is_stale = True
        world.is_cut = is_cut
        with pytest.raises(error):
            await world.put(b"1", 0)

    _play(story)


def test_a_controller_that_cannot_reach_the_store_is_not_asked():
    async def story(world):
        world.selector.record_stale("c1")
        world.direct.trouble = "busy"
        with pytest.raises(PlatformUnavailableError):
            await world.put(b"1", 0)
        assert world.relayed == 0

    _play(story)


def test_a_job_whose_creation_was_sent_twice_counts_as_created_here():
    async def story(world):
        jobs = JobStore(
            store=world.store, ids=SeededIdSource(seed=1), value_bytes=10**6
        )
        world.direct.trouble = "answers lost"
        job = submission([item("i1")])
        assert await jobs.create(job) is CreateOutcome.CREATED
        world.direct.trouble = ""
        again = msgspec.structs.replace(
            job, submitted_ms=job.submitted_ms + 900
        )
        assert await jobs.create(again) is CreateOutcome.EXISTED

    _play(story)
