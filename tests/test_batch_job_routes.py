"""Batch jobs while the operator's configuration changes routes.

Each test names the failure it guards against in its first line.
"""

import asyncio

import pytest

from endivespindle.batch.tests.jobs import item
from endivespindle.serving.configuration import RouteKind, WeightedService
from endivespindle.serving.tests.configs import config, route, server
from tests.fleet_fakes import ScriptedAnswer
from tests.test_batch_jobs import _play

ITEMS = 24


def _job_route(*services):
    return route(
        "steps",
        "/jobs/",
        kind=RouteKind.BATCH,
        services=tuple(WeightedService(service=s, weight=1) for s in services),
    )


def _slow(name, call):
    del name
    first = int(call.last_event_id or 0) + 1
    return ScriptedAnswer(events=list(range(first, 4)), pause_s=0.3)


def _apply(world, version, *routes):
    for node in world.nodes:
        node.config.apply_if_newer(
            config(version=version, routes=(route(), *routes))
        )


def _add_service(world, name):
    for node in world.nodes:
        node.directory.put(server(f"{name}-0", service=name, versions={"m": 1}))


def _retire(world):
    for node in world.nodes:
        for name in ("e0", "e1"):
            node.directory.remove(name)


@pytest.mark.parametrize("services", [("new",), ("new", "newer")])
def test_open_items_follow_a_route_that_moves(services):
    """They stayed with a service that was then retired (LOST)."""

    async def story(world):
        for name in services:
            _add_service(world, name)
        _apply(world, 2, _job_route("engine"))
        await world.submit([item(f"i{n}", group=f"g{n}") for n in range(ITEMS)])
        _apply(world, 3, _job_route(*services))
        await asyncio.sleep(0.4)
        _retire(world)
        await asyncio.sleep(12.0)
        assert len((await world.read()).results) == ITEMS

    _play(_slow, story)


def test_items_reach_no_service_that_lost_the_route():
    """They were sent there for as long as their job was open (CONFIG)."""

    async def story(world):
        _add_service(world, "new")
        _apply(world, 2, _job_route("engine"))
        await world.submit([item(f"i{n}", group=f"g{n}") for n in range(ITEMS)])
        _apply(world, 3, _job_route("new"))
        sent = len(world.servers.sent)
        await asyncio.sleep(12.0)
        assert {name for name, _ in world.servers.sent[sent:]} == {"new-0"}

    _play(_slow, story)


def test_a_new_owner_follows_the_route():
    """It took the service from the submission (LOST)."""

    async def story(world):
        _add_service(world, "new")
        _apply(world, 2, _job_route("engine"))
        await world.submit([item(f"i{n}", group=f"g{n}") for n in range(ITEMS)])
        _apply(world, 3, _job_route("new"))
        owner, other = world.owner(), world.other()
        owner.stop(world.peers)
        _retire(world)
        await world.read(other)
        await asyncio.sleep(12.0)
        assert len((await world.read(other)).results) == ITEMS

    _play(_slow, story)


@pytest.mark.parametrize("routes", [(), ("split",)])
def test_a_job_stays_with_its_service(routes):
    """A route that is removed, or split, does not move what it accepted."""

    async def story(world):
        _add_service(world, "new")
        _apply(world, 2, _job_route("engine"))
        await world.submit([item(f"i{n}", group=f"g{n}") for n in range(ITEMS)])
        split = [_job_route("new", "engine") for _ in routes]
        _apply(world, 3, *split)
        await asyncio.sleep(12.0)
        assert {name for name, _ in world.servers.sent} == {"e0", "e1"}
        assert len((await world.read()).results) == ITEMS

    _play(_slow, story)
