"""A step of the large site arrives while the store resets connections."""

import asyncio
import pathlib
import time
from typing import Any

from review.rig.cases import BROKEN, HELD, run_case
from review.rig.fleet import HOST, Fleet, make_item
from review.rig.samplers import Sampler

_JOB = "3b90d5527c41e6a8"
# `tasting-groups` of the large site: 24 groups of 8, 25 events of 320 bytes.
_GROUPS = 24
_GROUP_SIZE = 8
_ITEMS = _GROUPS * _GROUP_SIZE
_EVENTS = 25
_EVENT_BYTES = 320
# Length of the outage; the pages have outages of 4.5 s and more.
_OUTAGE_S = 3.5
# Seconds for an event: samplers of one service differ in speed.
_EVENT_S = (0.034, 0.037, 0.040, 0.043)
# Time for which the results are read after the 202.
_READING_S = 45.0
# Time of the trainer, after which it gives the step up (the sheet's deadline).
_DEADLINE_S = 12.0
# Time at no sampler from which the rule LOST counts an item.
_STARVED_S = 5.0
# Items whose first run fails with 500; each may fail `maxAttempts` (3) times.
# They are of a group that the trainer does not need, and so start last.
_FAILING = (f"{0:016x}", f"{1:016x}")


def _config() -> dict[str, Any]:
    common = {"host": HOST, "timeoutMs": 10_000, "targetLatencyMs": 400}
    return {
        "version": 1,
        "routes": [
            common
            | {
                "name": "steps",
                "pathPrefix": "/steps/",
                "kind": "rollout",
                "priority": 1,
                "service": "notes",
                "maxAttempts": 3,
                "dueMs": 7500,
                "maxWaitS": 40,
            },
            common
            | {
                "name": "scores",
                "pathPrefix": "/scores/",
                "kind": "idempotent",
                "priority": 2,
                "service": "desk",
                "maxAttempts": 3,
                "anonymous": True,
            },
        ],
        "services": [
            {"name": "desk"},
            {
                "name": "notes",
                "engine": {
                    "slots": 8,
                    "kvCacheTokens": 144_391,
                    "models": [{"name": "m"}],
                },
            },
        ],
        "limits": {"maxBodyBytes": 33_554_432, "idleTimeoutMs": 15_000},
        "tenants": [{"name": "acme", "apiKeys": ["key-1"]}],
    }


def _samplers() -> list[Sampler]:
    failing = set(_FAILING)
    engines = [
        Sampler(
            name=f"notes-{n}",
            service="notes",
            models={"m": 1},
            slots=8,
            events=_EVENTS,
            event_s=event_s,
            event_bytes=_EVENT_BYTES,
            failing=failing,
        )
        for n, event_s in enumerate(_EVENT_S)
    ]
    desks = [
        Sampler(name=f"desk-{n}", service="desk", slots=6) for n in range(4)
    ]
    return [*engines, *desks]


async def _read_all(fleet: Fleet, until_s: float) -> list[dict[str, Any]]:
    """Reads the job twice a second at all nodes until it is whole."""
    results: list[dict[str, Any]] = []
    reads = 0
    while time.monotonic() < until_s and len(results) < _ITEMS:
        node = fleet.gateways[reads % len(fleet.gateways)]
        reads += 1
        page = await fleet.read(node, _JOB, after=len(results))
        if page is not None:
            results += page["results"]
        fleet.note(
            "read",
            node=node.name,
            listed=len(results),
            total=page and page["total"],
        )
        await asyncio.sleep(0.5)
    return results


async def _play(record: pathlib.Path, has_trouble: bool) -> int:
    async with Fleet(
        record=record, samplers=_samplers(), config=_config()
    ) as fleet:
        items = [
            make_item(
                f"{n:016x}",
                group=f"g{n // _GROUP_SIZE}",
                path=f"/steps/{n}",
                model="m",
                scorer="/scores/",
            )
            for n in range(_ITEMS)
        ]
        await asyncio.sleep(1.0)
        if has_trouble:
            outage = asyncio.create_task(fleet.platform.reset_for(_OUTAGE_S))
            fleet.note("store_resets", seconds=_OUTAGE_S)
            await asyncio.sleep(0.05)
        accepted_s = await fleet.submit(
            _JOB,
            items,
            path="/steps/1",
            step=0,
            model="m",
            minVersion=1,
            groupCount=_GROUPS - 2,
        )
        if has_trouble:
            await outage
        if accepted_s is None:
            raise RuntimeError("the batch job was not accepted")
        results = await _read_all(fleet, accepted_s + _DEADLINE_S)
        starved = _starved(fleet, results)
        fleet.note("step_out_of_time", listed=len(results), starved=starved)
        if len(results) < _ITEMS:
            results = await _read_all(fleet, accepted_s + _READING_S)
        return await _judge(fleet, results, starved)


def _starved(fleet: Fleet, results: list[dict[str, Any]]) -> list[str]:
    """Returns the items that failed once and are at no sampler since."""
    listed = {result["id"] for result in results}
    now_s = time.monotonic()
    starved = []
    for item_id in _FAILING:
        runs = [
            at_s
            for sampler in fleet.samplers
            for at_s, request_id, _ in sampler.runs
            if request_id == item_id
        ]
        if (
            len(runs) == 1
            and item_id not in listed
            and now_s - runs[0] >= _STARVED_S
        ):
            starved.append(item_id)
    return starved


async def _judge(
    fleet: Fleet, results: list[dict[str, Any]], starved: list[str]
) -> int:
    """Returns whether an accepted job cannot be read to its end."""
    again = {node.name: 0 for node in fleet.gateways}
    for node in fleet.gateways:
        page = await fleet.read(node, _JOB)
        again[node.name] = len(page["results"]) if page else -1
    texts = {
        request_id
        for s in fleet.samplers
        if s.models
        for _, request_id, _ in s.runs
    }
    scores = {
        request_id
        for s in fleet.samplers
        if not s.models
        for _, request_id, _ in s.runs
    }
    fleet.note(
        "outcome",
        items=_ITEMS,
        texts_run=len(texts),
        reward_calls_run=len(scores),
        listed=len(results),
        starved=starved,
        read_from_the_start=again,
        in_flight=sum(s.in_flight for s in fleet.samplers),
        writes_too_large=len(fleet.platform.too_large),
        largest_write=max((w[2] for w in fleet.platform.too_large), default=0),
    )
    return BROKEN if len(results) < _ITEMS else HELD


if __name__ == "__main__":
    run_case(_play, __file__)
