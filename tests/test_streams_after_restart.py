"""Streams that callers take up again after gateways have lost their memory.

Pattern: two software versions of a service are in use, or the servers of the
old one have just left, while gateways are killed at once and start again.
"""

import asyncio
import contextlib
import itertools
import json
import signal

import pytest

from tests.node_fleet import NodeFleet
from tests.test_software_versions import _engines_of, _read_stream

EVENTS = 5
RECEIVED = 2
GOES_ON = {"Resumes": "s", "Last-Event-Id": str(RECEIVED)}
HISTORY = ("software-history", "services")
GATEWAYS = ("g1", "g2")
ALL_NODES = (*GATEWAYS, "c1")


async def _begin_stream(fleet):
    """Begins stream `s` at one engine; returns the engine's name."""
    for engine in fleet.engines:
        engine.faults.break_after = RECEIVED
    assert await _read_stream(fleet, "g1", "s") == (200, RECEIVED)
    for engine in fleet.engines:
        engine.faults.break_after = 0
    (began,) = _engines_of(fleet, {"s"})
    return began


async def _kill(fleet, names):
    for name in names:
        fleet.kill(name, signal.SIGKILL)
    for name in names:
        await fleet.nodes[name].proc.wait()


async def _start(fleet, names):
    for name in names:
        path = fleet.nodes[name].path
        text = path.read_text()
        path.write_text(text.replace("bootstrap: true", "bootstrap: false"))
        await fleet.start(name)
    for name in names:
        if name in GATEWAYS:
            await fleet.wait_ready(name)


async def _take_up(fleet, *, limit_s=3.0):
    """Takes stream `s` up as a caller that retries; returns the last result."""
    result = None
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(limit_s):
            for number in range(100):
                result = await _read_stream(
                    fleet, GATEWAYS[number % 2], f"again-{number}", **GOES_ON
                )
                if result[0] != 503:
                    break
                await asyncio.sleep(0.1)
    return result


def _engines_after(fleet):
    ids = {run[0] for engine in fleet.engines for run in engine.runs}
    return _engines_of(fleet, {i for i in ids if i.startswith("again-")})


def _replace_software(fleet, began):
    """Removes the servers of the software that began the stream."""
    fleet.platform.remove("servers", began)


def _play(tmp_path, story, *, versions=("v1", "v2")):
    async def run():
        fleet = NodeFleet(tmp_path)
        for engine, software in zip(fleet.engines, versions, strict=True):
            engine.software = software
        async with fleet:
            await story(fleet)

    asyncio.run(run())


@pytest.mark.parametrize("killed", [GATEWAYS, ALL_NODES, ("g1",)])
def test_a_stream_does_not_go_on_when_its_software_is_gone(tmp_path, killed):
    async def story(fleet):
        began = await _begin_stream(fleet)
        await _kill(fleet, killed)
        _replace_software(fleet, began)
        await _start(fleet, killed)
        status, _ = await _take_up(fleet)
        assert status == 503
        assert not _engines_after(fleet)
        # New streams are not held up.
        assert await _read_stream(fleet, "g1", "new") == (200, EVENTS)

    _play(tmp_path, story)


def test_a_stream_does_not_go_on_while_the_store_is_away(tmp_path):
    """What served before the restart cannot be read from anywhere."""

    async def story(fleet):
        began = await _begin_stream(fleet)
        await _kill(fleet, ALL_NODES)
        _replace_software(fleet, began)
        await _start(fleet, ALL_NODES)
        fleet.platform.faults.down = True
        status, _ = await _take_up(fleet)
        assert status == 503
        assert not _engines_after(fleet)

    _play(tmp_path, story)


@pytest.mark.parametrize("killed", [GATEWAYS, ("g1",)])
def test_a_stream_goes_on_while_both_software_versions_serve(tmp_path, killed):
    async def story(fleet):
        began = await _begin_stream(fleet)
        await _kill(fleet, killed)
        await _start(fleet, killed)
        result = await _take_up(fleet, limit_s=5.0)
        assert result == (200, EVENTS - RECEIVED)
        assert _engines_after(fleet) == {began}

    _play(tmp_path, story)


def test_a_stream_goes_on_after_a_restart_if_one_software_served(tmp_path):
    """The record of the software versions proves that there was no other."""

    async def story(fleet):
        await fleet.until(lambda: fleet.platform.read(*HISTORY))
        # The other engine would go on with the stream at once.
        fleet.platform.remove("servers", fleet.engines[1].name)
        await asyncio.sleep(0.5)
        await _begin_stream(fleet)
        await _kill(fleet, ALL_NODES)
        await _start(fleet, ALL_NODES)
        result = await _take_up(fleet, limit_s=5.0)
        assert result == (200, EVENTS - RECEIVED)

    _play(tmp_path, story, versions=("v1", "v1"))


def test_a_release_is_recorded_once_and_not_for_each_stream(tmp_path):
    async def story(fleet):
        def recorded():
            stored = fleet.platform.read(*HISTORY)
            return stored and "v3" in json.dumps(stored["spec"])

        for number in range(20):
            await _read_stream(fleet, "g1", f"s{number}")
        fleet.engines[0].software = "v3"
        await _register(fleet, fleet.engines[0])
        await fleet.until(recorded)
        for number in range(20):
            await _read_stream(fleet, "g1", f"t{number}")
        calls = fleet.platform.calls
        writes = calls["POST software-history"] + calls["PUT software-history"]
        assert writes <= 3

    _play(tmp_path, story)


def test_a_stream_of_software_that_no_controller_saw_does_not_go_on(tmp_path):
    """Servers of a release join and leave while nobody holds the lease."""

    async def story(fleet):
        old, new = fleet.engines
        fleet.platform.remove("servers", new.name)
        await fleet.until(lambda: fleet.platform.read(*HISTORY))
        await _kill(fleet, ("c1",))
        new.software = "v2"
        fleet.platform.remove("servers", old.name)
        await _register(fleet, new)
        numbers = itertools.count()

        async def uses_new():
            trial = f"trial-{next(numbers)}"
            await _read_stream(fleet, "g1", trial)
            return _engines_of(fleet, {trial}) == {new.name}

        await fleet.until(uses_new)
        assert await _begin_stream(fleet) == new.name
        await _kill(fleet, GATEWAYS)
        for engine in fleet.engines:
            engine.faults.break_after = 0
        fleet.platform.remove("servers", new.name)
        await _register(fleet, old)
        await _start(fleet, ALL_NODES)
        status, _ = await _take_up(fleet)
        assert status == 503
        assert not _engines_after(fleet)
        # New streams are not held up.
        assert await _read_stream(fleet, "g1", "new") == (200, EVENTS)

    _play(tmp_path, story, versions=("v1", "v1"))


async def _register(fleet, engine):
    fleet.platform.write(
        "servers",
        engine.name,
        engine.entry() | {"address": await fleet.address_of(engine)},
    )
