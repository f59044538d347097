"""A configuration without the route of reward calls is in force for seconds."""

import asyncio
import pathlib
import time
from typing import Any

from review.rig.cases import BROKEN, HELD, run_case
from review.rig.fleet import HOST, Fleet, make_item
from review.rig.samplers import Sampler

_JOB = "5e07c2a9148bd36f"
_ITEMS = 48
_GROUP_SIZE = 4
_MAX_WAIT_S = 40
_DEADLINE_S = 15.0
# Time from the version that removes the route to the one that adds it again.
_REMOVED_S = 2.5


def _config(version: int, *, has_score_route: bool) -> dict[str, Any]:
    common = {"host": HOST, "timeoutMs": 10_000, "targetLatencyMs": 400}
    steps = common | {
        "name": "steps",
        "pathPrefix": "/steps/",
        "kind": "rollout",
        "priority": 1,
        "service": "notes",
        "maxAttempts": 3,
        "dueMs": 7500,
        "maxWaitS": _MAX_WAIT_S,
    }
    scores = common | {
        "name": "scores",
        "pathPrefix": "/scores/",
        "kind": "idempotent",
        "priority": 2,
        "service": "desk",
        "maxAttempts": 3,
        "anonymous": True,
    }
    return {
        "version": version,
        "routes": [steps, scores] if has_score_route else [steps],
        "services": [
            {"name": "desk"},
            {
                "name": "notes",
                "engine": {
                    "slots": 4,
                    "kvCacheTokens": 144_391,
                    "models": [{"name": "m"}],
                },
            },
        ],
        "limits": {"maxBodyBytes": 33_554_432, "idleTimeoutMs": 15_000},
        "tenants": [{"name": "acme", "apiKeys": ["key-1"]}],
    }


def _samplers() -> list[Sampler]:
    engines = [
        Sampler(
            name=f"notes-{n}",
            service="notes",
            models={"m": 1},
            slots=4,
            events=10,
            event_s=0.1,
        )
        for n in range(2)
    ]
    desks = [Sampler(name=f"desk-{n}", service="desk") for n in range(2)]
    return [*engines, *desks]


async def _read_all(fleet: Fleet, until_s: float) -> list[dict[str, Any]]:
    """Reads the job twice a second at all nodes, as its trainer does."""
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
            terminated=sum(r["state"] == "terminated" for r in results),
        )
        await asyncio.sleep(0.5)
    return results


async def _change_config(fleet: Fleet) -> None:
    """Removes the route of the reward calls, and adds it again."""
    fleet.platform.write("config", "main", _config(2, has_score_route=False))
    fleet.note("config", version=2, score_route=False)
    await asyncio.sleep(_REMOVED_S)
    fleet.platform.write("config", "main", _config(3, has_score_route=True))
    fleet.note("config", version=3, score_route=True)


async def _play(record: pathlib.Path, has_trouble: bool) -> int:
    async with Fleet(
        record=record,
        samplers=_samplers(),
        config=_config(1, has_score_route=True),
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
        accepted_s = await fleet.submit(
            _JOB,
            items,
            path="/steps/1",
            step=0,
            model="m",
            minVersion=1,
            groupCount=_ITEMS // _GROUP_SIZE,
        )
        if accepted_s is None:
            raise RuntimeError("the batch job was not accepted")
        reading = asyncio.create_task(
            _read_all(fleet, accepted_s + _DEADLINE_S)
        )
        if has_trouble:
            await asyncio.sleep(0.7)
            await _change_config(fleet)
        results = await reading
        return _judge(fleet, results, time.monotonic() - accepted_s)


def _judge(fleet: Fleet, results: list[dict[str, Any]], age_s: float) -> int:
    """Returns whether results are terminated before any cause of the rules.

    No sampler answers 422 or 500 here, nobody ends the batch job, and its own
    route is in every configuration.
    """
    terminated = [r["id"] for r in results if r["state"] == "terminated"]
    ran = {
        request_id
        for s in fleet.samplers
        if s.models
        for _, request_id, _ in s.runs
    }
    fleet.note(
        "outcome",
        items=_ITEMS,
        listed=len(results),
        complete=len(results) - len(terminated),
        terminated=len(terminated),
        terminated_though_run=len(ran.intersection(terminated)),
        age_s=round(age_s, 2),
        max_wait_s=_MAX_WAIT_S,
    )
    return BROKEN if terminated and age_s < _MAX_WAIT_S else HELD


if __name__ == "__main__":
    run_case(_play, __file__)
