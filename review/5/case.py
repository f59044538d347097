"""An item that can never be done is run again after each kill of its owner."""

import asyncio
import json
import pathlib
import sys
import time

from review.support.fleet import (
    MODEL,
    Fleet,
    default_config,
    item,
    owner_of,
    run_case,
)
from review.support.record import Record
from review.support.samplers import Engine, PlainServer, Request, encode_answer

_JOB = "job-0"
_HOPELESS = "hopeless"
_GATEWAYS = 5
_KILLS = 3
# Rejections after which an item may not reach a sampler again.
_MAX_REJECTIONS = 3
_EVENTS = 120
_KILL_DELAY_S = 0.1
# Time after which the platform starts a process again.
_RESTART_S = 0.5
_READ_INTERVAL_S = 0.5
_PLAYED_S = 10.0
_CONTACT_S = 3.0


class _Engine(Engine):
    """Answers 422 to one item.

    Attributes:
        rejections: Times at which that item arrived, of all engines.
        rejected: Set by each rejection.
    """

    def __init__(
        self, *, rejections: list[float], rejected: asyncio.Event, **kwargs
    ):
        super().__init__(**kwargs)
        self.rejections = rejections
        self.rejected = rejected

    async def generate(
        self, request: Request, writer: asyncio.StreamWriter
    ) -> None:
        """Rejects the hopeless item, and generates the others' texts."""
        if request.request_id != _HOPELESS:
            await super().generate(request, writer)
            return
        self.rejections.append(request.arrived_s)
        self.rejected.set()
        self.record.write(self.name, f"rejects {_HOPELESS}")
        writer.write(
            encode_answer(
                422,
                {
                    "X-Request-Id": request.request_id,
                    "X-Server-Stamp": f"{self.name}.{request.request_id}",
                },
            )
        )


async def _restart(fleet: Fleet, name: str) -> None:
    await asyncio.sleep(_RESTART_S)
    await fleet.start(name)


async def _kill_owners(
    fleet: Fleet, rejected: asyncio.Event, killed_s: dict[str, float]
) -> None:
    """Kills the job's owner after each of the first rejections."""
    restarts = []
    for _ in range(_KILLS):
        await rejected.wait()
        rejected.clear()
        await asyncio.sleep(_KILL_DELAY_S)
        name = owner_of(fleet, _JOB)
        killed_s[name] = time.monotonic()
        await fleet.kill(name)
        restarts.append(asyncio.create_task(_restart(fleet, name)))
    await asyncio.gather(*restarts)


async def _case(record: Record, trouble: bool) -> list[str]:
    scorer = PlainServer(name="p1", service="desk-app", record=record, slots=6)
    rejections: list[float] = []
    rejected = asyncio.Event()
    engines = [
        _Engine(
            name=f"e{n}",
            service="notes-lm",
            record=record,
            slots=16,
            rejections=rejections,
            rejected=rejected,
            events_of=lambda request: _EVENTS,
        )
        for n in (1, 2)
    ]
    for engine in engines:
        engine.models[MODEL] = 1
    senders: list[str] = []
    killed_s: dict[str, float] = {}
    async with Fleet(
        record=record,
        samplers=[scorer, *engines],
        config=default_config(),
        gateways=_GATEWAYS,
    ) as fleet:
        items = [item(_HOPELESS, group="g0")] + [
            item(f"i-{n}", group=f"g{n // 4}") for n in range(1, 24)
        ]
        await fleet.submit(_JOB, items, groups=5)
        kills = None
        if trouble:
            kills = asyncio.create_task(_kill_owners(fleet, rejected, killed_s))
        end_s = time.monotonic() + _PLAYED_S
        after = 0
        number = 0
        while time.monotonic() < end_s:
            # The balancer leaves out gateways that were just killed.
            names = [name for name in fleet.names if name not in killed_s]
            name = names[number % len(names)]
            number += 1
            status, _, body = await fleet.call(
                name, "GET", f"/lots/{_JOB}?after={after}"
            )
            if status == 200:
                after += len(json.loads(body)["results"])
            while len(senders) < len(rejections):
                senders.append(owner_of(fleet, _JOB))
            await asyncio.sleep(_READ_INTERVAL_S)
        if kills is not None:
            kills.cancel()
    broken = []
    for number, at_s in enumerate(rejections[_MAX_REJECTIONS:]):
        sender = senders[_MAX_REJECTIONS + number]
        record.write("check", f"run {_MAX_REJECTIONS + 1 + number} by {sender}")
        if at_s - killed_s.get(sender, float("-inf")) > _CONTACT_S:
            broken.append(
                f"BUDGET: {_HOPELESS} reached a sampler again from {sender}"
                f" after {_MAX_REJECTIONS + number} answers of 422"
            )
    return broken


if __name__ == "__main__":
    sys.exit(run_case(_case, pathlib.Path(__file__).parent))
