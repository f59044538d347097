"""A route of batch jobs moves to a new service, and the old one is retired."""

import asyncio
import pathlib
import time
from typing import Any

from review.rig.cases import BROKEN, HELD, run_case
from review.rig.fleet import HOST, Fleet, make_item
from review.rig.samplers import Sampler

_JOB = "7c41e09b52d6a3f8"
_ITEMS = 48
_GROUP_SIZE = 4
# Time of the trainer, after which it ends the step (the deadline of the sheet).
_DEADLINE_S = 12.0
# `drainMs`, and the little longer that a sampler serves after it.
_DRAIN_S = 2.5
# `contactMs`: what planned work leaves behind has settled by then.
_SETTLED_S = 3.0
# Time at no sampler from which the rule LOST counts an item.
_STARVED_S = 5.0


def _config(version: int, service: str) -> dict[str, Any]:
    """Returns the configuration that sends the steps to a service."""
    common = {"host": HOST, "timeoutMs": 10_000, "targetLatencyMs": 400}
    engine = {
        "slots": 4,
        "kvCacheTokens": 144_391,
        "models": [{"name": "m"}],
    }
    return {
        "version": version,
        "routes": [
            common
            | {
                "name": "steps",
                "pathPrefix": "/steps/",
                "kind": "rollout",
                "priority": 1,
                "service": service,
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
            {"name": "notes", "engine": engine},
            {"name": "notes-2", "engine": engine},
        ],
        "limits": {"maxBodyBytes": 33_554_432, "idleTimeoutMs": 15_000},
        "tenants": [{"name": "acme", "apiKeys": ["key-1"]}],
    }


def _samplers() -> list[Sampler]:
    engines = [
        Sampler(
            name=f"{service}-{number}",
            service=service,
            models={"m": 1},
            slots=4,
            events=10,
            event_s=0.1,
        )
        for service in ("notes", "notes-2")
        for number in range(2)
    ]
    desks = [Sampler(name=f"desk-{n}", service="desk") for n in range(2)]
    return [*engines, *desks]


async def _retire(fleet: Fleet, service: str) -> None:
    """Shuts a service's samplers down as planned."""
    leaving = [s for s in fleet.samplers if s.service == service]
    for sampler in leaving:
        sampler.state = "draining"
        fleet.register(sampler)
    fleet.note("draining", samplers=[s.name for s in leaving])
    await asyncio.sleep(_DRAIN_S)
    for sampler in leaving:
        await sampler.wait_until_idle()
    for sampler in leaving:
        fleet.platform.remove("servers", sampler.name)
        await sampler.stop()
    fleet.note("gone", samplers=[s.name for s in leaving])


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
            total=page and page["total"],
        )
        await asyncio.sleep(0.5)
    return results


async def _play(record: pathlib.Path, has_trouble: bool) -> int:
    async with Fleet(
        record=record, samplers=_samplers(), config=_config(1, "notes")
    ) as fleet:
        items = [
            make_item(
                f"{n:016x}",
                group=f"g{n // _GROUP_SIZE}",
                path=f"/steps/{n}",
                model="m",
                scorer="/scores/",
            )
            for n in range(1, _ITEMS + 1)
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
        settled_s = accepted_s + _SETTLED_S
        if has_trouble:
            await asyncio.sleep(0.5)
            fleet.platform.write("config", "main", _config(2, "notes-2"))
            fleet.note("config", version=2, acknowledged=True)
            await asyncio.sleep(0.3)
            await _retire(fleet, "notes")
            settled_s = time.monotonic() + _SETTLED_S
        results = await reading
        return _judge(fleet, results, settled_s, accepted_s + _DEADLINE_S)


def _judge(
    fleet: Fleet,
    results: list[dict[str, Any]],
    settled_s: float,
    deadline_s: float,
) -> int:
    """Returns whether items were at no sampler until the step's time was up."""
    ran = {
        request_id
        for sampler in fleet.samplers
        if sampler.models
        for _, request_id, _ in sampler.runs
    }
    never_ran = _ITEMS - len(ran)
    busy = sum(s.in_flight for s in fleet.samplers if s.service == "notes-2")
    fleet.note(
        "outcome",
        listed=len(results),
        complete=sum(r["state"] == "complete" for r in results),
        items=_ITEMS,
        began=len(ran),
        at_no_sampler=never_ran,
        steady_s=round(deadline_s - settled_s, 2),
        runs_by_service={
            service: sum(
                len(s.runs) for s in fleet.samplers if s.service == service
            )
            for service in ("notes", "notes-2", "desk")
        },
        in_flight_new_service=busy,
    )
    is_starved = never_ran > 0 and deadline_s - settled_s >= _STARVED_S
    return BROKEN if is_starved else HELD


if __name__ == "__main__":
    run_case(_play, __file__)
