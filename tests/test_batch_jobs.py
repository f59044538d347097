"""Batch jobs on two nodes over one store, with servers that break off."""

import asyncio
import contextlib
import random

import msgspec
import pytest

from endivespindle.batch.job_memory import JobMemory
from endivespindle.batch.progress import ItemOutcome, JobProgress
from endivespindle.batch.tests.jobs import item, submission
from endivespindle.exceptions import (
    AnswerLostError,
    PeerError,
    PlatformUnavailableError,
    RefusedError,
)
from endivespindle.runtime.forwarding import Forwarder
from endivespindle.runtime.job_runner import JobRunner
from endivespindle.runtime.job_service import JobService
from endivespindle.runtime.job_store import JobStore
from endivespindle.runtime.peer_client import (
    JobRelease,
    JobReplyStatus,
    JobRequest,
)
from endivespindle.schema.generated.caller import RunState
from endivespindle.serving.active_config import ActiveConfig
from endivespindle.serving.configuration import EngineSpec, ServiceSpec
from endivespindle.serving.directory import ServerDirectory
from endivespindle.serving.tests.configs import config, server
from endivespindle.standins import memory_store
from endivespindle.standins.memory_store import MemoryObjectStore
from endivespindle.store.object_store import StoredObject
from tests.fleet_fakes import (
    Pause,
    ScriptedAnswer,
    ScriptedServers,
    lost,
    node_parts,
)
from tests.virtual_loop import run_virtual

# Time after the end of a job in which its items may still reach a server.
CANCEL_S = 3.0
# Memory of a small VM.
MEMORY_BYTES = 150 * 1_048_576


class _Peers:
    """Calls between the nodes of one test; those in `cut` are silent."""

    def __init__(self):
        self.services = {}
        self.cut = set()
        self.news_delay_s = 0.0

    async def ask(self, node, ask):
        await self._reach(node)
        try:
            async with asyncio.timeout(0.7 + ask.wait_s):
                return await self.services[node.name].answer_as_owner(ask)
        except TimeoutError as exc:
            raise PeerError("no answer in time") from exc

    async def release(self, node, release):
        await self._reach(node)
        return self.services[node.name].release(release).texts

    async def post(self, node, path, message, *, timeout_s=0.7):
        del timeout_s
        await self._reach(node)
        service = self.services[node.name]
        if path == "/jobs/assign":
            if not await service.accept_assignment(message):
                raise PeerError("not taken")
        elif path == "/jobs/prepare":
            service.accept_preparation(message)
        else:
            await asyncio.sleep(self.news_delay_s)
            service.apply_owner_update(message)
        return b""

    async def _reach(self, node):
        await asyncio.sleep(0.002)
        if node.name in self.cut or node.name not in self.services:
            await asyncio.sleep(0.7)
            raise PeerError("cut")


class _Link(MemoryObjectStore):
    """One node's way to the store that all nodes share."""

    def __init__(self, store):
        super().__init__()
        self._shared = store
        self.cut = False
        self.reset = False

    async def _reach(self):
        if self.cut:
            await asyncio.sleep(1.5)
            raise PlatformUnavailableError("cut")
        if self.reset:
            await asyncio.sleep(0.005)
            raise AnswerLostError("reset")

    async def get(self, *, kind, name):
        await self._reach()
        return await self._shared.get(kind=kind, name=name)

    async def put(self, *, kind, name, value, expect_version):
        await self._reach()
        return await self._shared.put(
            kind=kind, name=name, value=value, expect_version=expect_version
        )

    async def delete(self, *, kind, name, expect_version):
        await self._reach()
        await self._shared.delete(
            kind=kind, name=name, expect_version=expect_version
        )


class _Node:
    """One gateway's batch job parts."""

    def __init__(self, name, store, servers, peers, memory_bytes):
        self.parts = node_parts(name)
        clock = self.parts.clock
        directory = ServerDirectory(clock=clock)
        for number in range(2):
            directory.put(
                server(f"e{number}", service="engine", versions={"m": 1})
            )
        directory.put(server("p0"))
        self.directory = directory
        held = ActiveConfig(clock=clock, max_unconfirmed_s=3.0, apply_s=2.0)
        held.apply_if_newer(config())
        self.config = held
        self.link = _Link(store)
        jobs = JobStore(
            store=self.link, ids=self.parts.ids, value_bytes=1_048_576
        )
        common = {
            "clock": clock,
            "log": self.parts.log,
        }
        forwarder = Forwarder(
            api=servers,
            directory=directory,
            rng=random.Random(1),
            data_centre="a",
            metrics=self.parts.metrics,
            **common,
        )
        self.runner = JobRunner(
            store=jobs,
            api=servers,
            forwarder=forwarder,
            directory=directory,
            config=held,
            rng=random.Random(1),
            owner_id=self.parts.fleet.local_node.owner_id,
            data_centre="a",
            metrics=self.parts.metrics,
            memory=JobMemory.for_process(memory_bytes=memory_bytes),
            **common,
        )
        self.reaching = []
        self.service = JobService(
            runner=self.runner,
            store=jobs,
            fleet=self.parts.fleet,
            peers=peers,
            reaching=lambda service: (
                self.reaching if service == "engine" else []
            ),
            **common,
        )
        peers.services[name] = self.service
        self.task = asyncio.create_task(self.runner.run())

    def stop(self, peers):
        """Ends the node as a kill would."""
        self.task.cancel()
        for job in self.runner.jobs.values():
            job.is_lost = True
            job.cancel_tasks()
        self.runner.jobs.clear()
        peers.services.pop(self.parts.fleet.local_node.name)


class _World:
    """Some nodes, one store, scripted servers."""

    def __init__(self, answer, names=("n1", "n2"), memory_bytes=MEMORY_BYTES):
        self.memory_bytes = memory_bytes
        self.store = MemoryObjectStore()
        self.servers = ScriptedServers(answer)
        self.peers = _Peers()
        self.nodes = [self.add(name) for name in names]
        for node in self.nodes:
            for other in self.nodes:
                me = other.parts.fleet.local_node
                node.parts.fleet.apply(
                    StoredObject(
                        kind="vms",
                        name=me.name,
                        version=1,
                        value=msgspec.json.encode(me),
                    )
                )

    def add(self, name):
        return _Node(
            name, self.store, self.servers, self.peers, self.memory_bytes
        )

    def owner(self, job_id="job-1"):
        return next(n for n in self.nodes if job_id in n.runner.jobs)

    def other(self, job_id="job-1"):
        return next(n for n in self.nodes if job_id not in n.runner.jobs)

    async def submit(self, items, **changes):
        job = submission(items, submitted_ms=self.now_ms(), **changes)
        await self.nodes[0].service.submit(job)
        await asyncio.sleep(0.05)

    def now_ms(self):
        return int(self.nodes[0].parts.clock.now().timestamp() * 1000)

    async def read(self, node=None, after=0, wait_s=0.0):
        service = (node or self.nodes[0]).service
        reply = await service.query(
            JobRequest(job_id="job-1", after=after, wait_s=wait_s)
        )
        assert reply.state is JobReplyStatus.OK
        return reply

    def sent(self, item_id):
        return [c for _, c in self.servers.sent if c.request_id == item_id]


def _whole(name, call):
    del name
    first = int(call.last_event_id or 0) + 1
    return ScriptedAnswer(events=list(range(first, 4)))


def _play(answer, story, **kwargs):
    async def run():
        return await story(_World(answer, **kwargs))

    return run_virtual(run())


def test_all_items_are_listed_at_every_node_in_one_order():
    async def story(world):
        await world.submit([item(f"i{n}", score=True) for n in range(6)])
        await asyncio.sleep(2.0)
        replies = [await world.read(node) for node in world.nodes]
        assert replies[0].results == replies[1].results
        assert len(replies[0].results) == 6
        first = replies[0].results[0]
        assert (first.text, first.versions) == ("t1\nt2\nt3", (1,))
        assert first.score == "sig"

    _play(_whole, story)


def test_a_text_that_broke_off_goes_on_after_its_last_event():
    def answer(name, call):
        if call.request_id == "i1" and call.last_event_id is None:
            return ScriptedAnswer(events=[1, 2, lost()])
        return _whole(name, call)

    async def story(world):
        await world.submit([item("i1")])
        await asyncio.sleep(2.0)
        assert [c.last_event_id for c in world.sent("i1")] == [None, "2"]
        assert (await world.read()).results[0].text == "t1\nt2\nt3"

    _play(answer, story)


def test_events_under_a_version_that_is_too_old_are_not_taken():
    def answer(name, call):
        return ScriptedAnswer(events=[1], version=1 if name == "e0" else 2)

    async def story(world):
        for node in world.nodes:
            for name in ("e0", "e1"):
                # The directory is wrong about one of them.
                node.directory.get(name).record_version("m", 2)
        await world.submit([item(f"i{n}") for n in range(4)], min_version=2)
        await asyncio.sleep(3.0)
        results = (await world.read()).results
        assert {r.versions for r in results} == {(2,)}
        assert len(results) == 4

    _play(answer, story)


def test_a_text_goes_on_elsewhere_when_old_weights_come_back():
    """An order carried out late takes a server from version 5 back to 4."""

    def answer(name, call):
        if name == "e0" and not call.last_event_id:
            return ScriptedAnswer(events=[1, (2, 4), 3], version=5)
        first = int(call.last_event_id or 0) + 1
        return ScriptedAnswer(events=list(range(first, 4)), version=5)

    async def story(world):
        for node in world.nodes:
            node.directory.get("e0").record_version("m", 5)
            node.directory.get("e1").record_version("m", 5)
        await world.submit([item(f"i{n}") for n in range(4)], min_version=5)
        await asyncio.sleep(3.0)
        results = (await world.read()).results
        assert {r.versions for r in results} == {(5,)}
        assert {r.text for r in results} == {"t1\nt2\nt3"}
        assert len(results) == 4

    _play(answer, story)


def test_a_single_version_text_starts_anew_when_weights_change():
    def answer(name, call):
        if len([c for c in seen if c == call.request_id]) == 0:
            seen.append(call.request_id)
            return ScriptedAnswer(events=[1, (2, 5), 3])
        return ScriptedAnswer(events=[1, 2, 3], version=5)

    seen = []

    async def story(world):
        await world.submit([item("i1")], single_version=True)
        await asyncio.sleep(2.0)
        assert (await world.read()).results[0].versions == (5,)

    _play(answer, story)


class _EndlessBody(ScriptedAnswer):
    async def read(self):
        await asyncio.sleep(1_000_000.0)


@pytest.mark.parametrize("not_run", [True, False])
def test_an_error_response_without_an_end_does_not_hold_its_item(not_run):
    def answer(name, call):
        if name == "e0":
            return _EndlessBody(status=503, not_run=not_run)
        return _whole(name, call)

    async def story(world):
        await world.submit([item(f"i{n}") for n in range(4)])
        await asyncio.sleep(5.0)
        assert len((await world.read()).results) == 4

    _play(answer, story)


def test_a_stream_that_exceeds_the_tokens_of_its_item_is_abandoned():
    def answer(name, call):
        if name == "e0":
            return ScriptedAnswer(events=range(1, 1_000_000), pause_s=0.001)
        return _whole(name, call)

    async def story(world):
        await world.submit([item(f"i{n}") for n in range(4)])
        await asyncio.sleep(5.0)
        results = (await world.read()).results
        assert [result.text for result in results] == ["t1\nt2\nt3"] * 4

    _play(answer, story)


def test_a_response_that_is_no_stream_does_not_complete_a_text():
    async def story(world):
        await world.submit([item("i1")])
        await asyncio.sleep(3.0)
        (result,) = (await world.read()).results
        assert result.text == "t1\nt2\nt3"

    answers = [
        ScriptedAnswer(events=[1, 2, lost()]),
        _page(),
        ScriptedAnswer(events=[3]),
    ]

    def answer(name, call):
        if call.request_id != "i1":
            return _whole(name, call)
        return answers.pop(0)

    _play(answer, story)


def _page():
    """Returns a response with status 200 that is no stream."""
    page = ScriptedAnswer(body=b"an error")
    page.head = msgspec.structs.replace(
        page.head, headers=(("Content-Type", "text/html"),)
    )
    return page


@pytest.mark.parametrize(("status", "sends"), [(500, 3), (422, 1)])
def test_an_item_that_cannot_be_done_is_terminated(status, sends):
    async def story(world):
        await world.submit([item("i1")])
        await asyncio.sleep(3.0)
        result = (await world.read()).results[0]
        assert result.outcome is ItemOutcome.TERMINATED
        assert len(world.sent("i1")) == sends

    _play(lambda *_: ScriptedAnswer(status=status), story)


def test_an_item_larger_than_any_server_does_not_delay_the_others():
    """Servers refuse an item that exceeds their memory as if they were full."""
    refused, ended = [], []

    def answer(name, call):
        if call.request_id == "large":
            refused.append(name)
            return ScriptedAnswer(status=429, not_run=True)
        ended.append(asyncio.get_running_loop().time())
        return ScriptedAnswer(events=[1, 2, 3], pause_s=0.3)

    async def story(world):
        engine = EngineSpec(slots=4, cache_tokens=1000, models=("m",))
        services = (
            ServiceSpec(
                name="engine",
                health_path="/h",
                max_connections=9,
                engine=engine,
            ),
        )
        for node in world.nodes:
            node.config.apply_if_newer(config(version=2, services=services))
        large = msgspec.structs.replace(item("large"), tokens=1001)
        await world.submit([large, *(item(f"i{n}") for n in range(40))])
        await asyncio.sleep(20.0)
        results = (await world.read()).results
        assert max(ended) - min(ended) <= 6.0
        assert len(results) == 40
        # The servers' memory may differ from the configuration.
        assert 2 <= len(refused) <= 6

    _play(answer, story)


def test_another_node_goes_on_when_the_owner_is_killed():
    async def story(world):
        await world.submit([item(f"i{n}") for n in range(4)])
        owner, other = world.owner(), world.other()
        owner.stop(world.peers)
        await asyncio.sleep(0.1)
        await world.read(other)
        await asyncio.sleep(2.0)
        assert len((await world.read(other)).results) == 4

    _play(_slow, story)


def _slow(name, call):
    del name, call
    return ScriptedAnswer(events=[1, 2, 3], pause_s=0.2)


def test_one_node_takes_over_and_the_others_ask_it():
    """Several readers at each node find the owner silent at once."""

    async def story(world):
        await world.submit([item(f"i{n}") for n in range(4)])
        owner = world.owner()
        world.peers.cut.add(owner.parts.fleet.local_node.name)
        others = [n for n in world.nodes if n is not owner]
        await world.read(others[0])
        written = len(world.store.log)
        await asyncio.gather(
            *(world.read(n) for n in others[1:] for _ in range(4))
        )
        owners = [n for n in others if "job-1" in n.runner.jobs]
        assert owners == [others[0]]
        assert len(world.store.log) - written <= 2

    _play(_slower, story, names=("n1", "n2", "n3", "n4"))


def _slower(name, call):
    del name, call
    return ScriptedAnswer(events=[1, 2, 3], pause_s=0.6)


def test_results_that_were_read_keep_their_positions_after_a_take_over():
    async def story(world):
        await world.submit([item(f"i{n}") for n in range(8)])
        await asyncio.sleep(1.2)
        owner, other = world.owner(), world.other()
        before = (await world.read(owner)).results
        owner.stop(world.peers)
        after = (await world.read(other)).results
        assert before and after[: len(before)] == before

    _play(_slow, story)


def test_an_owner_that_was_replaced_stops_and_lists_nothing_more():
    async def story(world):
        await world.submit([item(f"i{n}") for n in range(4)])
        owner, other = world.owner(), world.other()
        world.peers.cut.add(owner.parts.fleet.local_node.name)
        await world.read(other)
        await asyncio.sleep(6.0)
        assert "job-1" not in owner.runner.jobs
        results = (await world.read(other)).results
        assert len({r.item_id for r in results}) == len(results) == 4

    _play(_slower, story)


def test_no_item_starts_once_the_store_told_of_the_end():
    """The owner learns of the end as it confirms the job for an item.

    It asks the store again once its last answer is 1.5 s old; items may start
    for 3 s after an end.
    """

    def answer(name, call):
        del name
        if call.request_id == "i1" and not call.last_event_id:
            return ScriptedAnswer(events=[1, lost()], pause_s=1.0)
        return ScriptedAnswer(events=[2, 3], pause_s=1.0)

    async def story(world):
        await world.submit([item("i1")])
        owner = world.owner()
        job = owner.runner.jobs["job-1"]
        ended = msgspec.structs.replace(job.progress, ended=True)
        await owner.runner._store.save(
            "job-1", ended, version=job.version, places=job.state.places
        )
        await asyncio.sleep(5.0)
        assert len(world.sent("i1")) == 1
        assert owner.runner.jobs["job-1"].state.ended

    _play(answer, story)


def test_no_reward_call_follows_the_end_of_its_job():
    """A replaced owner runs a long text on and learns of the end only then."""

    async def story(world):
        await world.submit([item("i1", score=True)])
        owner = world.owner()
        job = owner.runner.jobs["job-1"]
        ended = msgspec.structs.replace(job.progress, owner="n9/x", ended=True)
        await owner.runner._store.save(
            "job-1", ended, version=job.version, places=job.state.places
        )
        await asyncio.sleep(8.0)
        assert len(world.sent("i1")) == 1
        assert world.sent("score-i1") == []

    def answer(name, call):
        del name, call
        return ScriptedAnswer(events=[1, 2], pause_s=1.5)

    _play(answer, story)


def test_an_assignment_that_arrives_after_the_end_starts_nothing():
    """The message was held up by a cut while the job was run elsewhere."""

    async def story(world):
        job = submission([item("i1")], submitted_ms=world.now_ms())
        target = world.nodes[1]
        job = msgspec.structs.replace(
            job, first_owner=target.parts.fleet.local_node.owner_id
        )
        await target.runner._store.create(job)
        ended = JobProgress(
            owner=world.nodes[0].parts.fleet.local_node.owner_id, ended=True
        )
        await target.runner._store.save("job-1", ended, version=0, places={})
        assert not await target.service.accept_assignment(job)
        await asyncio.sleep(1.0)
        assert world.servers.sent == []

    _play(_whole, story)


def test_an_end_is_acknowledged_again_and_again():
    async def story(world):
        await world.submit([item("i1")])
        for node in (*world.nodes, *world.nodes):
            reply = await node.service.query(
                JobRequest(job_id="job-1", end=True)
            )
            assert reply.state is JobReplyStatus.OK
        sent = len(world.servers.sent)
        await asyncio.sleep(2.0)
        assert len(world.servers.sent) == sent

    _play(_slow, story)


def test_a_job_is_accepted_once_wherever_it_arrives():
    async def story(world):
        for node in world.nodes:
            job = submission([item("i1")], submitted_ms=world.now_ms())
            await node.service.submit(job)
        await asyncio.sleep(2.0)
        assert len(world.sent("i1")) == 1

    _play(_whole, story)


def test_a_job_whose_creation_lost_its_answer_is_accepted():
    async def story(world):
        world.store.faults.lose_answers = 1
        await world.submit([item("i1")])
        await asyncio.sleep(2.0)
        assert len((await world.read()).results) == 1

    _play(_whole, story)


def test_a_job_is_refused_as_not_run_while_the_store_is_down():
    async def story(world):
        world.store.faults.down = True
        with pytest.raises(RefusedError) as caught:
            await world.submit([item("i1")])
        assert caught.value.ran.value == "not_run"
        world.store.faults.down = False
        await asyncio.sleep(2.0)
        assert world.sent("i1") == []

    _play(_whole, story)


def test_a_node_that_cannot_be_sure_does_not_say_that_a_job_is_missing():
    async def story(world):
        world.store.faults.down = True
        with pytest.raises(RefusedError):
            await world.nodes[0].service.query(JobRequest(job_id="job-1"))
        world.store.faults.down = False
        reply = await world.nodes[0].service.query(JobRequest(job_id="job-1"))
        assert reply.state is JobReplyStatus.MISSING

    _play(_whole, story)


def test_a_node_that_drains_hands_its_jobs_over():
    async def story(world):
        await world.submit([item(f"i{n}") for n in range(4)])
        owner, other = world.owner(), world.other()
        owner.service.draining = True
        await owner.service.hand_over_all()
        await asyncio.sleep(0.1)
        assert "job-1" in other.runner.jobs
        assert "job-1" not in owner.runner.jobs
        await asyncio.sleep(2.0)
        assert len((await world.read(other)).results) == 4

    _play(_slow, story)


def test_a_large_job_is_kept_in_parts_and_read_whole():
    async def story(world):
        big = [
            msgspec.structs.replace(item(f"i{n}"), body=b"x" * 150_000)
            for n in range(10)
        ]
        await world.submit(big)
        await asyncio.sleep(2.0)
        world.owner().stop(world.peers)
        left = next(
            n
            for n in world.nodes
            if n.parts.fleet.local_node.name in world.peers.services
        )
        reply = await left.service.query(
            JobRequest(job_id="job-1", item_id="i9")
        )
        assert len(reply.body) == 150_000
        assert (await world.read(left)).total == 10

    _play(_whole, story)


def test_large_results_are_kept_in_parts_and_keep_their_order():
    def answer(name, call):
        del name, call
        return ScriptedAnswer(events=[1, 2, 3])

    async def story(world):
        for node in world.nodes:
            node.runner._store._max_bytes = 600
        await world.submit([item(f"i{n}") for n in range(20)])
        await asyncio.sleep(4.0)
        before = (await world.read()).results
        assert len(before) == 20
        world.owner().stop(world.peers)
        left = next(
            n
            for n in world.nodes
            if n.parts.fleet.local_node.name in world.peers.services
        )
        assert (await world.read(left)).results == before

    _play(answer, story)


def test_results_that_gather_in_an_outage_are_listed(monkeypatch):
    """One write of all of them exceeded the largest value (LOST)."""
    monkeypatch.setattr(memory_store, "_MAX_VALUE_BYTES", 2000)
    failed = []

    def answer(name, call):
        if call.request_id == "i0" and not failed:
            failed.append(name)
            return ScriptedAnswer(status=500)
        return _whole(name, call)

    async def story(world):
        items = [item(f"i{n}", score=True) for n in range(40)]
        _outage(world, True)
        await _offer_in_vain(world, items)
        for node in world.nodes:
            node.runner._store._max_bytes = 1400
        await asyncio.sleep(2.0)
        _outage(world, False)
        await world.submit(items)
        await asyncio.sleep(5.0)
        results = (await world.read()).results
        assert {r.text for r in results} == {"t1\nt2\nt3"}
        assert len({r.item_id for r in results}) == len(results) == 40
        owner = world.owner()
        owner.stop(world.peers)
        left = next(n for n in world.nodes if n is not owner)
        assert (await world.read(left)).results == results

    _play(answer, story)


def test_a_job_is_removed_once_nobody_may_ask_for_it():
    async def story(world):
        for node in world.nodes:
            node.runner._store._max_bytes = 600
        await world.submit([item(f"i{n}") for n in range(6)])
        await asyncio.sleep(2.0)
        owner = world.owner()
        await owner.runner.remove_expired(retention_s=240.0)
        assert "job-1" in owner.runner.jobs
        await asyncio.sleep(240.0)
        await owner.runner.remove_expired(retention_s=240.0)
        assert owner.runner.jobs == {}
        for kind in ("jobs", "job-progress", "job-parts"):
            assert not (await world.store.list_objects(kind=kind)).objects

    _play(_whole, story)


def _unanswered(dropped):
    """Answers nothing, and notes when each request was dropped."""

    async def silent():
        try:
            await asyncio.sleep(30.0)
        finally:
            dropped.append(asyncio.get_running_loop().time())

    return lambda name, call: silent


def _fill(world):
    """Has all servers full, so that an answer may be long in coming."""
    for node in world.nodes:
        for name in ("e0", "e1"):
            view = node.directory.get(name)
            view.record_load(running=view.entry.slots, waiting=1)


def test_a_request_without_an_answer_is_dropped_soon_after_the_end():
    """A cut holds a request up; another node ends the job meanwhile.

    What is still under way may reach its server once the cut heals, so it is
    dropped within the 3 s in which items of an ended job may still start.
    """
    dropped = []

    async def story(world):
        _fill(world)
        await world.submit([item("i1")])
        owner = world.owner()
        job = owner.runner.jobs["job-1"]
        ended = msgspec.structs.replace(job.progress, owner="n9/x", ended=True)
        await owner.runner._store.save(
            "job-1", ended, version=job.version, places=job.state.places
        )
        ended_s = asyncio.get_running_loop().time()
        await asyncio.sleep(6.0)
        assert len(dropped) == 1
        assert dropped[0] - ended_s <= 2.9

    _play(_unanswered(dropped), story)


def test_a_request_without_an_answer_is_dropped_while_the_store_is_silent():
    dropped = []

    async def story(world):
        _fill(world)
        await world.submit([item("i1")])
        begun_s = asyncio.get_running_loop().time()
        world.store.faults.down = True
        await asyncio.sleep(6.0)
        assert dropped and dropped[0] - begun_s <= 2.9
        assert len(world.sent("i1")) == 1

    _play(_unanswered(dropped), story)


def test_a_score_waits_for_a_node_that_knows_no_configuration_yet():
    """A gateway that has just started is given a job before it has listed."""

    async def story(world):
        for node in world.nodes:
            known = node.config.config
            node.config.config = None
            node.config._routes = {}
            node.known = known
        await world.submit([item("i1", score=True)])
        await asyncio.sleep(1.0)
        assert not world.owner().runner.jobs["job-1"].state.uncommitted
        for node in world.nodes:
            node.config.apply_if_newer(node.known)
            node.config.confirm(asked_s=node.parts.clock.monotonic())
        await asyncio.sleep(2.0)
        result = (await world.read()).results[0]
        assert result.outcome is ItemOutcome.COMPLETE
        assert result.score == "sig"

    _play(_whole, story)


def test_an_item_is_not_given_up_by_a_clock_that_is_ahead():
    """The node that took the job over has a clock 4 s ahead."""

    async def story(world):
        job = submission(
            [item("i1")],
            submitted_ms=world.now_ms() - 43_000,
            max_wait_s=40.0,
        )
        await world.nodes[0].service.submit(job)
        await asyncio.sleep(2.0)
        result = (await world.read()).results[0]
        assert result.outcome is ItemOutcome.COMPLETE

    _play(_whole, story)


def test_a_text_leaves_a_server_that_fell_silent():
    """A data centre is cut off in the middle of a step."""

    def answer(name, call):
        del name
        if call.last_event_id is None:
            return ScriptedAnswer(events=[1, Pause(60.0), 2, 3])
        return ScriptedAnswer(events=[2, 3])

    async def story(world):
        await world.submit([item("i1")])
        await asyncio.sleep(3.0)
        assert (await world.read()).results[0].text == "t1\nt2\nt3"

    _play(answer, story)


def test_a_preempted_completion_stays_at_its_server():
    """A server out of memory sets the newest completion back for a second."""

    def answer(name, call):
        del name, call
        return ScriptedAnswer(events=[1, Pause(1.0), 2, 3])

    async def story(world):
        await world.submit([item("i1")])
        await asyncio.sleep(3.0)
        assert (await world.read()).results[0].text == "t1\nt2\nt3"
        assert len(world.sent("i1")) == 1

    _play(answer, story)


def test_a_request_that_no_server_answers_goes_elsewhere():
    """A pooled connection went silent while it was idle."""

    def answer(name, call):
        if name == silent[0]:
            return never
        return _whole(name, call)

    async def never():
        await asyncio.sleep(30.0)

    silent = ["e0"]

    async def story(world):
        await world.submit([item(f"i{n}") for n in range(4)])
        await asyncio.sleep(2.9)
        assert len((await world.read()).results) == 4

    _play(answer, story)


def test_a_text_whose_end_was_lost_is_whole_without_another_event():
    """A server that has nothing to add names no weight version."""

    def answer(name, call):
        del name
        if call.last_event_id is None:
            return ScriptedAnswer(events=[1, 2, 3, lost()])
        return ScriptedAnswer(events=[], version=None)

    async def story(world):
        await world.submit([item("i1")])
        await asyncio.sleep(2.0)
        result = (await world.read()).results[0]
        assert (result.text, result.versions) == ("t1\nt2\nt3", (1,))
        assert len(world.sent("i1")) == 2

    _play(answer, story)


def test_events_without_a_weight_version_are_not_taken():
    def answer(name, call):
        del call
        return ScriptedAnswer(
            events=[1, 2, 3], version=None if name == "e0" else 1
        )

    async def story(world):
        await world.submit([item("i1")])
        await asyncio.sleep(3.0)
        results = (await world.read()).results
        assert [r.versions for r in results] == [(1,)]

    _play(answer, story)


def test_texts_go_along_with_a_job_whose_owner_lost_the_store():
    """The store turns some nodes away; their peers still reach them."""

    async def story(world):
        await world.submit([item(f"i{n}") for n in range(4)])
        owner, other = world.owner(), world.other()
        await asyncio.sleep(1.3)
        owner.link.cut = True
        await asyncio.sleep(1.0)
        before = len(world.servers.sent)
        await world.read(other)
        assert "job-1" not in owner.runner.jobs
        await asyncio.sleep(6.0)
        resumed = [c.last_event_id for _, c in world.servers.sent[before:]]
        assert resumed
        assert min(int(first) for first in resumed) >= 2
        assert len((await world.read(other)).results) == 4

    def slow(name, call):
        del name
        first = int(call.last_event_id or 0) + 1
        return ScriptedAnswer(events=list(range(first, 8)), pause_s=0.9)

    _play(slow, story)


def test_texts_go_along_when_a_node_drains():
    async def story(world):
        await world.submit([item(f"i{n}") for n in range(4)])
        owner, other = world.owner(), world.other()
        await asyncio.sleep(1.3)
        before = len(world.servers.sent)
        owner.service.draining = True
        await owner.service.hand_over_all()
        await asyncio.sleep(2.5)
        resumed = [c.last_event_id for _, c in world.servers.sent[before:]]
        assert set(resumed) == {"2"}
        assert len((await world.read(other)).results) == 4

    def slow(name, call):
        del name
        first = int(call.last_event_id or 0) + 1
        return ScriptedAnswer(events=list(range(first, 4)), pause_s=0.6)

    _play(slow, story)


def test_a_step_whose_owner_is_cut_off_goes_to_a_node_that_reaches_servers():
    """Its texts go along; a node that reaches the servers keeps its jobs."""

    async def story(world):
        await world.submit([item(f"i{n}") for n in range(4)])
        owner = world.owner()
        others = [node for node in world.nodes if node is not owner]
        reaching = others[-1].parts.fleet.local_node.name
        await asyncio.sleep(1.3)
        before = len(world.servers.sent)
        await owner.service.hand_over_unreached()
        assert world.owner() is owner
        owner.reaching = [reaching]
        await owner.service.hand_over_unreached()
        await asyncio.sleep(0.05)
        assert world.owner() is others[-1]
        await asyncio.sleep(2.5)
        resumed = [c.last_event_id for _, c in world.servers.sent[before:]]
        assert set(resumed) == {"2"}
        assert len((await world.read(others[0])).results) == 4

    def slow(name, call):
        del name
        first = int(call.last_event_id or 0) + 1
        return ScriptedAnswer(events=list(range(first, 4)), pause_s=0.6)

    _play(slow, story, names=("n1", "n2", "n3", "n4"))


def test_a_new_step_goes_to_a_node_that_reaches_servers():
    """Pattern: its usual owner is cut, then also the node that accepts it."""

    async def story(world):
        first = world.nodes[0]
        for number in range(20):
            account = f"account-{number}"
            await world.submit(
                [item(f"i{number}")],
                job_id=f"job-{number}",
                client_account=account,
            )
            usual = world.owner(f"job-{number}")
            if usual is not first:
                break
        assert usual is not first
        reaching = next(n for n in world.nodes[1:] if n is not usual)
        heir = reaching.parts.fleet.local_node.name
        usual.reaching = [heir]
        await world.submit([item("x1")], job_id="x1", client_account=account)
        assert world.owner("x1") is first
        first.reaching = [heir]
        await world.submit([item("x2")], job_id="x2", client_account=account)
        assert world.owner("x2") is reaching

    _play(_whole, story, names=("n1", "n2", "n3", "n4"))


def test_readers_do_not_take_a_job_that_is_being_handed_over():
    """Pattern: the trainer and others read at every node, all the time."""

    async def story(world):
        await world.submit([item(f"i{n}") for n in range(4)])
        owner = world.owner()
        others = [node for node in world.nodes if node is not owner]
        heir = others[-1].parts.fleet.local_node.name

        async def read_on(node):
            while True:
                with contextlib.suppress(RefusedError):
                    await world.read(node)
                await asyncio.sleep(0.001)

        readers = [asyncio.create_task(read_on(node)) for node in world.nodes]
        await asyncio.sleep(1.3)
        written = len(world.store.log)
        before = len(world.servers.sent)
        world.peers.news_delay_s = 0.1
        owner.reaching = [heir]
        await owner.service.hand_over_unreached()
        await asyncio.sleep(0.3)
        assert world.owner() is others[-1]
        assert len(world.store.log) - written == 1
        # The texts went along with the first reader that asked the new owner.
        await asyncio.sleep(0.5)
        resumed = {c.last_event_id for _, c in world.servers.sent[before:]}
        assert resumed == {"2"}, resumed
        for reader in readers:
            assert not reader.done()
            reader.cancel()

    def slow(name, call):
        del name
        first = int(call.last_event_id or 0) + 1
        return ScriptedAnswer(events=list(range(first, 4)), pause_s=0.6)

    _play(slow, story, names=("n1", "n2", "n3", "n4"))


def test_a_late_release_does_not_take_a_job_from_its_owner():
    """A cut held the message up while the job went away and came back."""

    async def story(world):
        await world.submit([item(f"i{n}") for n in range(4)])
        owner = world.owner()
        job = owner.runner.jobs["job-1"]
        await asyncio.sleep(2.5)
        late = JobRelease(job_id="job-1", owner_id="n9/x", version=job.version)
        assert owner.service.release(late).texts == []
        assert "job-1" in owner.runner.jobs

    _play(_slower, story)


def test_a_node_without_the_store_takes_no_new_job():
    """Readers would find it out one after the other, seconds later."""

    async def story(world):
        names = {n.parts.fleet.local_node.name: n for n in world.nodes}
        job = submission([item("i1")], submitted_ms=world.now_ms())
        chosen = names[world.nodes[0].service._choose_owner(job).name]
        submitter = next(n for n in world.nodes if n is not chosen)
        chosen.link.cut = True
        await submitter.service.submit(job)
        await asyncio.sleep(0.8)
        assert "job-1" in submitter.runner.jobs
        assert world.sent("i1")

    _play(_whole, story)


def _outage(world, is_down):
    for node in world.nodes:
        node.link.reset = is_down


async def _offer_in_vain(world, items, **changes):
    """Submits a job while the store resets all connections."""
    with pytest.raises(RefusedError) as caught:
        await world.submit(items, **changes)
    # Not a promise that nothing of it runs.
    assert caught.value.ran is RunState.UNKNOWN


def test_a_step_offered_in_an_outage_of_the_store_is_not_late_by_it():
    """The texts take 3 s; the outage ends 4 s after the first offer."""
    scores = []

    def answer(name, call):
        if name == "p0":
            scores.append(call.request_id)
        first = int(call.last_event_id or 0) + 1
        return ScriptedAnswer(events=list(range(first, 4)), pause_s=1.0)

    async def story(world):
        items = [item(f"i{n}", score=True) for n in range(4)]
        _outage(world, True)
        for _ in range(4):
            await _offer_in_vain(world, items)
            await asyncio.sleep(0.25)
        assert scores == []
        _outage(world, False)
        await world.submit(items)
        await asyncio.sleep(0.7)
        results = (await world.read()).results
        assert {r.text for r in results} == {"t1\nt2\nt3"}
        assert len(results) == 4
        # Nothing was generated twice.
        for n in range(4):
            assert len(world.sent(f"i{n}")) == 1

    _play(answer, story)


def test_nothing_is_scored_before_the_job_is_known_to_be_created():
    scores = []

    def answer(name, call):
        if name == "p0":
            scores.append(call.request_id)
        return _whole(name, call)

    async def story(world):
        items = [item("i1", score=True)]
        _outage(world, True)
        await _offer_in_vain(world, items)
        await asyncio.sleep(1.0)
        assert len(world.sent("i1")) == 1
        assert scores == []
        _outage(world, False)
        await world.submit(items)
        await asyncio.sleep(0.5)
        assert len(scores) == 1

    _play(answer, story)


def test_a_job_that_is_never_created_stops_when_it_would_be_late():
    async def story(world):
        _outage(world, True)
        await _offer_in_vain(world, [item("i1")], due_s=2.0)
        await asyncio.sleep(2.5)
        sent = len(world.servers.sent)
        await asyncio.sleep(5.0)
        assert len(world.servers.sent) == sent
        for node in world.nodes:
            assert not node.runner.jobs and not node.runner._provisional

    def answer(*_):
        return ScriptedAnswer(events=[1, lost()], pause_s=0.2)

    _play(answer, story)


async def _create_prepared(world, items=None, **changes):
    """A creation takes effect late, and a reader at another node finds it.

    Returns:
        The node that has prepared the job, and the other one.
    """
    items = items or [item("i1")]
    _outage(world, True)
    await _offer_in_vain(world, items, **changes)
    await asyncio.sleep(1.0)
    prepared = next(n for n in world.nodes if n.runner._provisional)
    other = next(n for n in world.nodes if n is not prepared)
    _outage(world, False)
    job = submission(
        items,
        submitted_ms=world.now_ms(),
        first_owner=prepared.parts.fleet.local_node.owner_id,
        **changes,
    )
    await other.runner._store.create(job)
    return prepared, other


def test_a_node_adopts_what_it_has_prepared_when_a_reader_tells_it():
    async def story(world):
        prepared, other = await _create_prepared(world)
        await world.read(other)
        assert "job-1" in prepared.runner.jobs
        await asyncio.sleep(3.0)
        assert len((await world.read(other)).results) == 1
        assert len(world.sent("i1")) == 1

    _play(_slower, story)


def test_texts_prepared_by_one_node_reach_the_one_that_takes_over():
    """The node that has prepared them takes no more jobs."""

    async def story(world):
        prepared, other = await _create_prepared(world)
        prepared.service.draining = True
        await world.read(other)
        assert "job-1" in other.runner.jobs
        await asyncio.sleep(3.0)
        assert len((await world.read(other)).results) == 1
        assert [c.last_event_id for c in world.sent("i1")][0] is None
        assert world.sent("i1")[1].last_event_id is not None

    _play(_slower, story)


def test_a_prepared_job_stops_after_another_node_has_ended_it():
    """The node that prepared it went on to send its items (UNASKED)."""

    async def story(world):
        items = [item(f"i{n}", group=f"g{n}") for n in range(80)]
        prepared, other = await _create_prepared(world, items, due_s=30.0)
        prepared.link.reset = True
        world.peers.cut.add(prepared.parts.fleet.local_node.name)
        reply = await other.service.query(JobRequest(job_id="job-1", end=True))
        assert reply.state is JobReplyStatus.OK
        prepared.link.reset = False
        world.peers.cut.clear()
        await asyncio.sleep(CANCEL_S)
        sent = len(world.servers.sent)
        assert sent < len(items)
        await asyncio.sleep(10.0)
        assert len(world.servers.sent) == sent

    _play(_slower, story)


def test_a_prepared_job_runs_once_the_store_has_it():
    """Without a reader, its owner did not learn that it had been created."""

    async def story(world):
        prepared, _ = await _create_prepared(world)
        await asyncio.sleep(3.0)
        assert "job-1" in prepared.runner.jobs
        job = await prepared.runner._store.load("job-1")
        assert job.committed == ["i1"]
        results = (await world.read(prepared)).results
        assert [r.text for r in results] == ["t1\nt2\nt3"]
        assert len(world.sent("i1")) == 1

    _play(_slower, story)
