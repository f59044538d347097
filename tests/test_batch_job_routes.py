"""Batch jobs while the operator's configuration changes routes.

Each test names the failure it guards against in its first line.
"""

import asyncio

import pytest

from endivespindle.batch.progress import ItemOutcome
from endivespindle.batch.tests.jobs import item
from endivespindle.serving.configuration import RouteKind, WeightedService
from endivespindle.serving.tests.configs import config, route, server
from tests.fleet_fakes import ScriptedAnswer
from tests.test_batch_jobs import _play

ITEMS = 24
MAX_WAIT_S = 10.0


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


def _apply(world, version, *routes, has_score_route=True):
    score_routes = (route(),) * has_score_route
    for node in world.nodes:
        node.config.apply_if_newer(
            config(version=version, routes=(*score_routes, *routes))
        )


async def _confirm_for(world, seconds):
    """Lets the nodes confirm their configuration again and again."""
    for _ in range(round(seconds / 0.1)):
        await asyncio.sleep(0.1)
        for node in world.nodes:
            node.config.confirm(asked_s=node.parts.clock.monotonic())


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


def _outcomes(results):
    return [r.outcome for r in results]


@pytest.mark.parametrize("removed_after_s", [0.0, 0.5])
def test_an_item_waits_for_the_route_of_its_reward_call(removed_after_s):
    """It was terminated under a version without the route (MIXED)."""

    async def story(world):
        _apply(world, 2, _job_route("engine"))
        await world.submit([item(f"i{n}", score=True) for n in range(4)])
        await _confirm_for(world, removed_after_s)
        _apply(world, 3, _job_route("engine"), has_score_route=False)
        await _confirm_for(world, 2.5)
        _apply(world, 4, _job_route("engine"))
        await _confirm_for(world, 3.0)
        results = (await world.read()).results
        assert _outcomes(results) == [ItemOutcome.COMPLETE] * 4
        assert {r.score for r in results} == {"sig"}
        for n in range(4):
            # What had been generated is kept.
            assert len(world.sent(f"i{n}")) == 1

    _play(_slow, story)


def test_an_item_without_a_reward_route_is_terminated_after_its_longest_wait():
    """It was terminated as soon as the text had ended (MIXED)."""

    async def story(world):
        _apply(world, 2, _job_route("engine"), has_score_route=False)
        await world.submit([item("i1", score=True)], max_wait_s=MAX_WAIT_S)
        await _confirm_for(world, MAX_WAIT_S - 2.0)
        assert not (await world.read()).results
        await _confirm_for(world, 4.0)
        results = (await world.read()).results
        assert _outcomes(results) == [ItemOutcome.TERMINATED]

    _play(_slow, story)
