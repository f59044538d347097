"""Servers of two software versions, whose parts of a stream do not fit."""

import asyncio
import contextlib

import aiohttp
import pytest

from endivespindle.batch.job import JobState
from endivespindle.batch.partial_completions import (
    PartialCompletionCache,
    restore_items,
    snapshot_items,
)
from endivespindle.batch.tests.jobs import item, submission
from endivespindle.serving.calls import StreamEvent
from endivespindle.serving.tests.configs import server
from tests.fleet_fakes import Pause, ScriptedAnswer, lost
from tests.node_fleet import HOST, KEY, NodeFleet
from tests.test_batch_jobs import _play as play_jobs
from tests.virtual_loop import LoopClock, run_virtual

SOFTWARE = {"e0": "v1", "e1": "v2", "e2": "v1"}
EVENTS = 6


class _Answer(ScriptedAnswer):
    """A stream whose events name the software that wrote them."""

    def __init__(self, name, call, *, breaks_after=EVENTS, pause=0.0):
        first = int(call.last_event_id or 0) + 1
        events = []
        for number in range(first, EVENTS + 1):
            events += [Pause(pause)] if pause else []
            events.append(number)
            if number - first + 1 == breaks_after:
                events.append(lost())
        super().__init__(events=events)
        self._software = SOFTWARE[name]

    async def events(self):
        async for event in super().events():
            yield StreamEvent(
                event_id=event.event_id,
                data=f"{self._software}-{event.event_id}",
                weight_version=event.weight_version,
                raw=b"",
            )


def _set_servers(world, software=None):
    for node in world.nodes:
        for name, version in (software or SOFTWARE).items():
            node.directory.remove(name)
            node.directory.put(
                server(
                    name,
                    service="engine",
                    versions={"m": 1},
                    software=version,
                )
            )


def _software_of(result):
    return {line.partition("-")[0] for line in result.text.splitlines()}


@pytest.mark.parametrize("breaks_after", [1, 2, 4])
def test_a_completion_holds_events_of_one_software_version(breaks_after):
    """Pattern: streams break off at all servers, as when servers crash."""

    def answer(name, call):
        return _Answer(name, call, breaks_after=breaks_after)

    async def story(world):
        _set_servers(world)
        await world.submit([item(f"i{n}") for n in range(12)], max_wait_s=400.0)
        await asyncio.sleep(300.0)
        results = (await world.read()).results
        assert len(results) == 12
        assert all(len(_software_of(result)) == 1 for result in results)
        resumed = [c for _, c in world.servers.sent if c.last_event_id]
        # With a server of their version left they go on, mostly.
        assert len(resumed) >= len(results)

    play_jobs(answer, story)


def test_a_completion_starts_anew_when_no_server_of_its_version_is_left():
    def answer(name, call):
        return _Answer(name, call, breaks_after=2 if name == "e0" else EVENTS)

    async def story(world):
        _set_servers(world, {"e0": "v1"})
        for node in world.nodes:
            node.directory.remove("e1")
        await world.submit([item("i1")])
        await asyncio.sleep(0.01)
        _set_servers(world, {"e1": "v2"})
        for node in world.nodes:
            node.directory.remove("e0")
        await asyncio.sleep(3.0)
        results = (await world.read()).results
        assert [_software_of(result) for result in results] == [{"v2"}]

    play_jobs(answer, story)


def test_a_slow_completion_does_not_move_to_another_software_version():
    """Pattern: the servers of one version have become slow."""

    def answer(name, call):
        return _Answer(
            name,
            call,
            breaks_after=None,
            pause=0.3 if SOFTWARE[name] == "v1" else 0.0,
        )

    async def story(world):
        _set_servers(world, {"e0": "v1"})
        for node in world.nodes:
            node.directory.remove("e1")
        await world.submit([item("i1", hint=200)])
        await asyncio.sleep(0.2)
        _set_servers(world, {"e1": "v2"})
        for node in world.nodes:
            node.directory.get("e1").record_event_interval(0.01)
        await asyncio.sleep(5.0)
        results = (await world.read()).results
        assert [_software_of(result) for result in results] == [{"v1"}]
        # Nor was it interrupted.
        assert [name for name, _ in world.servers.sent] == ["e0"]

    play_jobs(answer, story)


def _generate(job, software):
    state = job.items["i1"]
    event = StreamEvent(event_id=1, data="x", weight_version=None, raw=b"")
    state.append_event(event, 1, software=software)


def test_the_software_version_of_a_completion_is_kept_when_it_is_restored():
    """At a new owner of its job, and in a later job."""

    async def run():
        before = JobState(submission=submission([item("i1")]))
        _generate(before, "v1")
        after = JobState(submission=submission([item("i1")]))
        assert restore_items(after, snapshot_items(before)) == 1
        assert after.items["i1"].software == "v1"
        clock = LoopClock(loop=asyncio.get_running_loop())
        cache = PartialCompletionCache(clock=clock, max_bytes=1_000_000)
        cache.store(before)
        later = JobState(submission=submission([item("i1")]))
        assert cache.restore(later) == 1
        assert later.items["i1"].software == "v1"

    run_virtual(run())


# Streams of callers, at real processes.


async def _read_stream(fleet, node, request_id, **headers):
    """Returns the status of a stream, and how many events came of it."""
    address = fleet.nodes[node]
    status, data = None, b""
    with contextlib.suppress(aiohttp.ClientError):
        async with fleet.session.post(
            f"http://{address.ip}:{address.port}/chat/1",
            data=headers.get("Resumes", request_id).encode(),
            headers={
                "Host": HOST,
                "Authorization": f"Bearer {KEY}",
                "X-Model": "m",
                "X-Request-Id": request_id,
                **headers,
            },
        ) as resp:
            status = resp.status
            async for part in resp.content.iter_any():
                data += part
    return status, data.count(b"id: ")


def _engines_of(fleet, request_ids):
    """Returns the engines that began to run any of these requests."""
    return {
        engine.name
        for engine in fleet.engines
        for run in engine.runs
        if run[0] in request_ids
    }


def _play_fleet(tmp_path, story):
    async def run():
        fleet = NodeFleet(tmp_path)
        fleet.engines[1].software = "v2"
        async with fleet:
            await story(fleet)

    asyncio.run(run())


def test_a_callers_stream_goes_on_at_its_software_version_only(tmp_path):
    """Within one response it breaks; taken up again elsewhere it goes on."""

    async def story(fleet):
        for number in range(6):
            for engine in fleet.engines:
                engine.faults.break_after = 2
            first, again = f"s{number}", f"s{number}-again"
            assert await _read_stream(fleet, "g1", first) == (200, 2)
            for engine in fleet.engines:
                engine.faults.break_after = 0
            went_on = {"Resumes": first, "Last-Event-Id": "2"}
            async with asyncio.timeout(20.0):
                while True:
                    result = await _read_stream(fleet, "g2", again, **went_on)
                    if result[0] != 503:
                        break
                    await asyncio.sleep(0.2)
            assert result == (200, 3)
            assert len(_engines_of(fleet, {first, again})) == 1

    _play_fleet(tmp_path, story)


def test_a_stream_is_taken_up_after_the_vm_that_relayed_it_was_killed(tmp_path):
    async def story(fleet):
        for engine in fleet.engines:
            engine.faults.event_s = 0.2
        stream = asyncio.create_task(_read_stream(fleet, "g1", "s"))
        await fleet.until(lambda: _engines_of(fleet, {"s"}))
        await asyncio.sleep(0.5)
        fleet.kill("g1")
        status, received = await stream
        assert status == 200
        assert 0 < received < 5
        went_on = {"Resumes": "s", "Last-Event-Id": str(received)}
        result = await _read_stream(fleet, "g2", "again", **went_on)
        assert result == (200, 5 - received)
        assert len(_engines_of(fleet, {"s", "again"})) == 1

    _play_fleet(tmp_path, story)


def test_a_stream_of_unknown_software_is_refused_as_not_run(tmp_path):
    async def story(fleet):
        for headers in ({}, {"Resumes": "never-seen"}):
            result = await _read_stream(
                fleet, "g1", "s", **headers, **{"Last-Event-Id": "2"}
            )
            assert result == (503, 0)
        assert not _engines_of(fleet, {"s"})
        assert await _read_stream(fleet, "g1", "new") == (200, 5)

    _play_fleet(tmp_path, story)


def test_a_stream_whose_software_is_gone_is_refused_with_that_reason(tmp_path):
    """A server of other software is left; it is not a limit of its rate."""

    async def story(fleet):
        for engine in fleet.engines:
            engine.faults.break_after = 2
        assert await _read_stream(fleet, "g1", "s") == (200, 2)
        (began,) = _engines_of(fleet, {"s"})
        fleet.platform.remove("servers", began)
        for engine in fleet.engines:
            engine.faults.break_after = 0
        went_on = {"Resumes": "s", "Last-Event-Id": "2"}
        async with asyncio.timeout(20.0):
            while (
                "stream_software_gone" not in fleet.nodes["g2"].log.read_text()
            ):
                status, _ = await _read_stream(fleet, "g2", "again", **went_on)
                assert status == 503 or _engines_of(fleet, {"again"}) == {began}
                await asyncio.sleep(0.2)

    _play_fleet(tmp_path, story)
