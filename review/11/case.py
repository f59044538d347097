"""An accepted batch job outgrows the memory of each gateway that owns it."""

import asyncio
import base64
import contextlib
import json
import pathlib
import random
import time
import uuid

import aiohttp
from engine import EngineServer
from fleet import HOST, KEY, TENANT, Fleet, run_case, trouble_is_on
from memory import MemoryLimit
from plain import PlainServer

MEMORY_MB = 150
GATEWAYS = 3
ENGINES = 6
SLOTS = 12
# Pieces and their size lie between the means and the maxima of the sheet.
EVENTS = 20
EVENT_BYTES = 2000
ITEMS = 3000 if trouble_is_on() else 36
GROUP_SIZE = 4
# Traffic, and the time that batch jobs have after it.
LENGTH_S = 45.0
FINISH_S = 10.0
READ_S = 40.0
STEPS = "/steps/"
SCORES = "/scores/"


def config():
    """Returns the configuration, with the limits of the sheet."""
    common = {"host": HOST, "priority": 1, "maxAttempts": 3}
    return {
        "version": 1,
        "routes": [
            common
            | {
                "name": "steps",
                "pathPrefix": STEPS,
                "kind": "rollout",
                "timeoutMs": 10_000,
                "targetLatencyMs": 500,
                "dueMs": 60_000,
                "maxWaitS": 120,
                "service": "engine",
                "anonymous": False,
            },
            common
            | {
                "name": "scores",
                "pathPrefix": SCORES,
                "kind": "idempotent",
                "timeoutMs": 2000,
                "targetLatencyMs": 400,
                "service": "plain",
                "anonymous": True,
            },
        ],
        "services": [
            {"name": "plain", "healthPath": "/health", "maxConns": 110},
            {
                "name": "engine",
                "healthPath": "/health",
                "maxConns": 160,
                "engine": {
                    "slots": SLOTS,
                    "kvCacheTokens": 37_684,
                    "stride": 1,
                    "models": [{"name": "m"}],
                },
            },
        ],
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 33_554_432,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15_000,
        },
        "tenants": [{"name": TENANT, "apiKeys": [KEY]}],
    }


def job_body():
    """Returns the body of a batch job."""
    items = [
        {
            "id": f"item-{number}",
            "path": f"{STEPS}{number}",
            "headers": {
                "X-Model": "m",
                "X-Token-Count": f"271,{EVENTS}",
                "X-Prompt-Prefix": f"{number // GROUP_SIZE:x}:255",
            },
            "body": base64.b64encode(b"b" * 600).decode(),
            "tokens": 271 + EVENTS,
            "group": f"group-{number // GROUP_SIZE}",
            "scorer": {
                "id": f"score-{number}",
                "host": HOST,
                "path": f"{SCORES}{number}",
                "body": base64.b64encode(b"s" * 60).decode(),
            },
        }
        for number in range(ITEMS)
    ]
    return json.dumps(
        {
            "step": 0,
            "model": "m",
            "minVersion": 1,
            "groupCount": ITEMS // GROUP_SIZE,
            "items": items,
        }
    ).encode()


class Trainer:
    """Submits one batch job and reads its results as they come."""

    def __init__(self, fleet, record):
        self.job_id = uuid.uuid4().hex[:16]
        self._fleet = fleet
        self._record = record
        self._names = [f"front-{n}" for n in range(1, GATEWAYS + 1)]

    async def _call(self, method, path, **kwargs):
        """Calls a gateway that is ready; None if there is no answer."""
        name = random.choice(self._names)
        if not await self._fleet.is_ready(name):
            return None
        with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
            async with asyncio.timeout(6.0):
                return await self._fleet.call(name, method, path, **kwargs)
        self._record.write("no_answer", node=name, path=path)
        return None

    async def submit(self):
        """Submits the job until it is accepted."""
        body = job_body()
        while True:
            answer = await self._call(
                "POST",
                STEPS,
                body=body,
                headers={"X-Request-Id": self.job_id},
            )
            if answer is not None:
                self._record.write(
                    "submitted",
                    job=self.job_id,
                    status=answer[0],
                    bytes=len(body),
                )
                if answer[0] == 202:
                    return
            await asyncio.sleep(0.3)

    async def read(self, after):
        """Reads results; returns them, or None if there is no answer."""
        answer = await self._call(
            "GET",
            f"/lots/{self.job_id}?after={after}",
            headers={"X-Wait-Ms": "1000"},
        )
        if answer is None:
            return None
        if answer[0] != 200:
            self._record.write("read", after=after, status=answer[0])
            return None
        results = json.loads(answer[2])["results"]
        self._record.write(
            "read", after=after, status=answer[0], results=len(results)
        )
        return results

    async def read_all(self, seconds):
        """Reads from the start; returns the number of results read."""
        end_s = time.monotonic() + seconds
        count = 0
        while count < ITEMS and time.monotonic() < end_s:
            results = await self.read(count)
            count += len(results or ())
            if not results:
                await asyncio.sleep(0.3)
        return count


async def main(record):
    """Plays the case; returns whether the rule was broken."""
    async with Fleet(
        record=record,
        gateways=GATEWAYS,
        controllers=1,
        memory_mb=MEMORY_MB,
    ) as fleet:
        fleet.platform.write("config", "main", config())
        for number in range(3):
            await fleet.add_server(
                PlainServer(name=f"p{number}", service="plain")
            )
        engines = [
            EngineServer(
                name=f"e{number}",
                service="engine",
                model="m",
                slots=SLOTS,
                events=EVENTS,
                event_bytes=EVENT_BYTES,
            )
            for number in range(ENGINES)
        ]
        for engine in engines:
            await fleet.add_server(engine)
        await fleet.start_all()
        limit = MemoryLimit(fleet=fleet, record=record, limit_mb=MEMORY_MB)
        tasks = [
            asyncio.create_task(limit.watch(f"front-{n}"))
            for n in range(1, GATEWAYS + 1)
        ]
        trainer = Trainer(fleet, record)
        await trainer.submit()
        seen = await trainer.read_all(LENGTH_S)
        record.write("traffic_ended", read=seen, ends=limit.ends)
        await asyncio.sleep(FINISH_S)
        again = await trainer.read_all(READ_S)
        record.write(
            "read_again",
            results=again,
            items=ITEMS,
            ends=limit.ends,
            peaks_mb=limit.peaks_mb,
        )
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for engine in engines:
            record.write("run", at=engine.name, requests=len(engine.runs))
    # A result that had been read doesn't come again, or the job can't be read.
    return again < max(1, seen)


run_case(main, folder=pathlib.Path(__file__).parent)
