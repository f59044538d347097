"""A batch job is created late, and ended while its owner stands still."""

import asyncio
import pathlib
import signal
import time
from typing import Any

from review.rig.cases import BROKEN, HELD, run_case
from review.rig.fleet import HOST, Fleet, Node, make_item
from review.rig.samplers import Sampler

_JOB = "61d8e02f7ab39c54"
_ITEMS = 160
_GROUP_SIZE = 4
# As many as on the small site, so that one of them is a share of 0.1.
_GATEWAYS = 9
# Time from the creation's first try until the store carries it out; the pages
# have writes that are carried out 1 to 6 s late.
_LATE_S = 3.2
# Time for which one gateway stands still; the pages have 3.2 s and more.
_FREEZE_S = 0.95
# `cancelMs` and `contactMs`.
_CANCEL_S = 3.0
_CONTACT_S = 3.0
# Time after the end of the batch job in which items are looked for.
_LOOKED_FOR_S = 9.0


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
    engines = [
        Sampler(
            name=f"notes-{n}",
            service="notes",
            models={"m": 1},
            slots=8,
            events=10,
            event_s=0.1,
        )
        for n in range(2)
    ]
    desks = [Sampler(name=f"desk-{n}", service="desk") for n in range(2)]
    return [*engines, *desks]


def _items(first: int, count: int) -> list[dict[str, Any]]:
    return [
        make_item(
            f"{n:016x}",
            group=f"g{n // _GROUP_SIZE}",
            path=f"/steps/{n}",
            model="m",
            scorer="/scores/",
        )
        for n in range(first, first + count)
    ]


async def _find_owner(fleet: Fleet) -> Node:
    """Returns the gateway that owns the batch jobs of this trainer."""
    job_id = "0" * 16
    await fleet.submit(
        job_id, _items(100_000, 1), path="/steps/0", step=0, model="m"
    )
    await asyncio.sleep(1.0)
    await fleet.call(fleet.gateways[0], "DELETE", f"/lots/{job_id}")
    record = fleet.platform.read("jobs", job_id)
    name = record["spec"]["submission"]["first_owner"].partition("/")[0]
    return fleet.nodes[name]


async def _submit(fleet: Fleet, node: Node) -> int:
    """Submits the batch job once; returns the status."""
    fields = {"step": 1, "model": "m", "minVersion": 1}
    status = await fleet.submit_once(
        node,
        _JOB,
        _items(1, _ITEMS),
        path="/steps/1",
        groupCount=_ITEMS // _GROUP_SIZE,
        **fields,
    )
    fleet.note("submitted", node=node.name, status=status)
    return status


async def _end(fleet: Fleet, node: Node) -> float | None:
    """Ends the batch job; returns the time of the acknowledgement."""
    status, _ = await fleet.call(node, "DELETE", f"/lots/{_JOB}")
    fleet.note("ended", node=node.name, status=status)
    return time.monotonic() if status == 200 else None


async def _play(record: pathlib.Path, has_trouble: bool) -> int:
    async with Fleet(
        record=record,
        samplers=_samplers(),
        config=_config(),
        gateways=_GATEWAYS,
    ) as fleet:
        owner = await _find_owner(fleet)
        others = [node for node in fleet.gateways if node is not owner]
        fleet.note("owner", node=owner.name)
        if has_trouble:
            late_s = time.monotonic() + _LATE_S
            fleet.platform.late_until_s = late_s
            await _submit(fleet, others[0])
            fleet.platform.late_until_s = None
            await asyncio.sleep(max(0.0, late_s + 0.1 - time.monotonic()))
        if await _submit(fleet, others[1]) != 202:
            raise RuntimeError("the batch job was not accepted")
        in_touch_s = 0.0
        if has_trouble:
            fleet.signal(owner.name, signal.SIGSTOP)
            thaw = asyncio.create_task(_thaw_later(fleet, owner))
        acknowledged_s = await _end(fleet, others[1])
        if has_trouble:
            in_touch_s = await thaw + _CONTACT_S
        if acknowledged_s is None:
            raise RuntimeError("the end was not acknowledged")
        await asyncio.sleep(_LOOKED_FOR_S)
        return _judge(fleet, acknowledged_s, in_touch_s)


async def _thaw_later(fleet: Fleet, node: Node) -> float:
    """Lets a gateway go on after a while; returns the time."""
    await asyncio.sleep(_FREEZE_S)
    fleet.signal(node.name, signal.SIGCONT)
    return time.monotonic()


def _judge(fleet: Fleet, acknowledged_s: float, in_touch_s: float) -> int:
    """Returns whether items of the ended batch job reached a sampler late."""
    from_s = max(acknowledged_s + _CANCEL_S, in_touch_s)
    late = [
        round(at_s - acknowledged_s, 2)
        for sampler in fleet.samplers
        if sampler.models
        for at_s, request_id in sampler.arrivals
        if at_s > from_s and int(request_id, 16) <= _ITEMS
    ]
    ran = sum(
        at_s > from_s
        for sampler in fleet.samplers
        if sampler.models
        for at_s, _, _ in sampler.runs
    )
    fleet.note(
        "outcome",
        reached_after_end_s=sorted(late),
        reached_late=len(late),
        run_late=ran,
        bound_s=round(from_s - acknowledged_s, 2),
    )
    return BROKEN if late and ran else HELD


if __name__ == "__main__":
    run_case(_play, __file__)
