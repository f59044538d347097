"""Measures withdrawal and unflushed usage over the VMs of a demo.

Prints one JSON line: seconds from the withdrawal of a key to the last request
that a VM accepted for it, over all VMs, idle and streaming; and the requests
counted but not written when a VM is lost, and their age.
"""

import argparse
import asyncio
import json
import pathlib
import random
import time

import aiohttp
import msgspec

from endivespindle.accounts.key_changes import withdraw_key
from endivespindle.cli.logs import configure_logs
from endivespindle.core.digests import keyed_hash
from endivespindle.core.ids import SeededIdSource
from endivespindle.demo import deployment as demo
from endivespindle.demo.load import load_plan
from endivespindle.schema.generated.settings import LogLevel
from endivespindle.schema.generated.stored import UsagePart
from endivespindle.store.keys import change_keys

_EXAMPLES = pathlib.Path(__file__).resolve().parent.parent / "examples"
_WARM_UP_S = 4.0
_WATCHED_S = 6.0
_LOAD_S = 7.0
_POLL_S = 0.01


class _Caller:
    """Sends requests to one VM until told to stop."""

    def __init__(self, base, key, session, register):
        self.base, self.session = base, session
        self.path = next(r.prefix for r in register.routes if not r.open)
        self.model = next(s.model for s in register.services if s.model)
        self.headers = {"Authorization": f"Bearer {key}"}
        self.last_accepted_s = 0.0
        self.stream_ended_s = 0.0

    async def poll(self):
        while True:
            started_s = time.monotonic()
            async with self.session.get(
                self.base + self.path, headers=self.headers
            ) as resp:
                if resp.status == 200:
                    self.last_accepted_s = started_s
            await asyncio.sleep(_POLL_S)

    async def stream(self):
        body = {"model": self.model, "prompt": "p", "stream": True}
        body["max_tokens"] = 100_000
        async with self.session.post(
            self.base + "/v1/completions",
            data=json.dumps(body),
            headers=self.headers,
        ) as resp:
            async for _ in resp.content:
                pass
        self.stream_ended_s = time.monotonic()


async def _withdrawal(deployment, session, key):
    callers = [
        _Caller(base, key, session, deployment.register)
        for base in deployment.entries()
    ]
    tasks = [asyncio.create_task(c.poll()) for c in callers]
    streams = [asyncio.create_task(c.stream()) for c in callers]
    await asyncio.sleep(_WARM_UP_S)
    withdrawn_s = time.monotonic()
    await change_keys(
        deployment.platform.store,
        change=withdraw_key(key_hash_or_id=keyed_hash(demo._HASH_SECRET, key)),
        ids=SeededIdSource(seed=99),
    )
    await asyncio.sleep(_WATCHED_S)
    for task in [*tasks, *streams]:
        task.cancel()
    await asyncio.gather(*tasks, *streams, return_exceptions=True)
    idle = [max(0.0, c.last_accepted_s - withdrawn_s) for c in callers]
    ended = [c.stream_ended_s - withdrawn_s for c in callers]
    return max(idle), max(ended), min(ended) > 0


async def _unflushed(deployment, session, key, rng):
    vm = deployment.vms[0]
    caller = _Caller(deployment.entries()[0], key, session, deployment.register)
    task = asyncio.create_task(caller.poll())
    await asyncio.sleep(_LOAD_S + rng.uniform(0, 2))
    task.cancel()
    window_lines = {
        window: vm.ctx.ledger.lines(window)
        for window in list(vm.ctx.ledger._lines)
    }
    counted = sum(
        line.requests for lines in window_lines.values() for line in lines
    )
    listed = await deployment.platform.store.list_objects(kind="usage-part")
    parts = [
        msgspec.json.decode(obj.value, type=UsagePart) for obj in listed.objects
    ]
    written = sum(
        line.requests
        for part in parts
        if part.incarnation == vm.ctx.incarnation
        for line in part.lines
    )
    return counted, counted - written


async def _measure(name, seed):
    configure_logs(LogLevel.ERROR)
    plan, register = load_plan(_EXAMPLES / name / "demo.toml")
    deployment = demo.Deployment(plan=plan, register=register, seed=seed)
    await deployment.start()
    try:
        async with aiohttp.ClientSession() as session:
            first, second = list(deployment.keys.values())[:2]
            await asyncio.sleep(2.0)
            counted, lost = await _unflushed(
                deployment, session, second, random.Random(seed)
            )
            idle_s, stream_s, ended = await _withdrawal(
                deployment, session, first
            )
    finally:
        await deployment.stop()
    rules = register.rules
    print(
        json.dumps(
            {
                "deployment": name,
                "seed": seed,
                "vms": len(plan.entry_vms),
                "last_accepted_s": round(idle_s, 3),
                "last_stream_end_s": round(stream_s, 3),
                "every_stream_ended": ended,
                "requests_counted": counted,
                "requests_unflushed_at_loss": lost,
                "flush_interval_s": rules.usage_flush_interval_s,
            }
        )
    )


def main():
    """Runs one measurement for each seed."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--deployment", default="tsagaan_amttan")
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    asyncio.run(_measure(args.deployment, args.seed))


if __name__ == "__main__":
    main()
