"""Measures agreement over a demo deployment, on loopback.

Prints one JSON line: platform calls per second and VM, idle and at load;
seconds from the acceptance of a configuration to its being in force on the
last VM; seconds from the death of a lease's holder to the first moment at
which its successor may act. The lease term is the demo's: 3 s.
"""

import argparse
import asyncio
import collections
import json
import pathlib
import statistics
import sys
import time
from typing import Any

import aiohttp
import msgspec

from endivespindle.cli.logs import configure_logs
from endivespindle.core.ids import SeededIdSource
from endivespindle.demo.deployment import Deployment
from endivespindle.demo.load import load_plan
from endivespindle.demo.run import _Run
from endivespindle.leases.lease import Lease
from endivespindle.node.entry_vm import EntryVm
from endivespindle.node.lease_keeper import LeaseKeeper
from endivespindle.schema.generated.settings import LogLevel
from endivespindle.store.apply import apply_register

ROOT = pathlib.Path(__file__).resolve().parent.parent
_IDLE_S = 15.0
_CONFIGS = 10
_DEATHS = 3
_SETTLE_S = 5.0
_LOAD_S = 12.0
_NAMES = 8
_SHARD = "usage"
_POLL_S = 0.005


def count_calls(vms: list[EntryVm]) -> int:
    """Returns the platform calls of all VMs so far."""
    return sum(sum(vm.call_limiter.calls_by_kind.values()) for vm in vms)


async def measure_calls(deployment: Deployment, seconds: float) -> float:
    """Returns platform calls per second and VM."""
    before = count_calls(deployment.vms)
    await asyncio.sleep(seconds)
    calls = count_calls(deployment.vms) - before
    return calls / seconds / len(deployment.vms)


async def measure_config(deployment: Deployment, ids: SeededIdSource) -> float:
    """Returns seconds from acceptance to in force on the last VM."""
    root = await apply_register(
        deployment.platform.store,
        document=msgspec.to_builtins(deployment.register),
        ids=ids,
    )
    accepted_s = time.monotonic()
    for vm in deployment.vms:
        while vm.ctx.register.revision < root.revision:  # noqa: ASYNC110
            await asyncio.sleep(_POLL_S)
    return time.monotonic() - accepted_s


async def measure_death(
    deployment: Deployment, keepers: list[LeaseKeeper]
) -> float:
    """Returns seconds from a holder's death to its successor's right."""
    rivals = [keeper for keeper in keepers if keeper.shard == _SHARD]
    await until_held(rivals)
    holder = next(keeper for keeper in rivals if keeper.lease.is_held())
    name = vm_of(holder)
    victim = next(v for v in deployment.vms if v.ctx.settings.vm.name == name)
    deployment.vms.remove(victim)
    died_s = time.monotonic()
    await victim.stop()
    rivals = [keeper for keeper in rivals if vm_of(keeper) != name]
    await until_held(rivals)
    for keeper in list(keepers):
        if vm_of(keeper) == name:
            keepers.remove(keeper)
    return time.monotonic() - died_s


async def until_held(rivals: list[LeaseKeeper]) -> None:
    """Waits until one of some keepers holds the lease."""
    while not any(keeper.lease.is_held() for keeper in rivals):  # noqa: ASYNC110
        await asyncio.sleep(_POLL_S)


def vm_of(keeper: LeaseKeeper) -> str:
    """Returns the name of the VM that a keeper runs on."""
    return keeper._ctx.settings.vm.name


def collect_keepers() -> list[LeaseKeeper]:
    """Returns a list that every keeper made from now on joins."""
    keepers: list[LeaseKeeper] = []
    make = LeaseKeeper.__init__

    def make_and_keep(self: LeaseKeeper, **kwargs: Any) -> None:
        make(self, **kwargs)
        keepers.append(self)

    LeaseKeeper.__init__ = make_and_keep
    return keepers


def spread(values: list[float]) -> list[float]:
    """Returns mean, lowest and highest, rounded."""
    figures = (statistics.fmean(values), min(values), max(values))
    return [round(value, 3) for value in figures]


async def measure(plan_path: pathlib.Path, seed: int) -> dict[str, Any]:
    """Runs one deployment and returns every figure."""
    plan, register = load_plan(plan_path)
    keepers = collect_keepers()
    deployment = Deployment(plan=plan, register=register, seed=seed)
    await deployment.start()
    figures: dict[str, Any] = {"seed": seed, "vms": len(deployment.vms)}
    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0)
    ) as session:
        run = _Run(
            plan=plan,
            deployment=deployment,
            session=session,
            say=lambda line: None,
        )
        await asyncio.sleep(_SETTLE_S)
        figures["idle_calls_per_s_per_vm"] = round(
            await measure_calls(deployment, _IDLE_S), 2
        )
        names: collections.Counter[str] = collections.Counter()
        for vm in deployment.vms:
            names.update(vm.call_limiter.calls_by_name)
        figures["calls_by_name"] = dict(names.most_common(_NAMES))
        configs = [
            await measure_config(deployment, SeededIdSource(seed=1000 + i))
            for i in range(_CONFIGS)
        ]
        figures["config_in_force_s"] = spread(configs)
        load = asyncio.create_task(run.go())
        figures["load_calls_per_s_per_vm"] = round(
            await measure_calls(deployment, _LOAD_S), 2
        )
        load.cancel()
        await asyncio.gather(load, return_exceptions=True)
    Lease.release_write = lambda self, *, token: None
    deaths = [await measure_death(deployment, keepers) for _ in range(_DEATHS)]
    figures["death_to_successor_s"] = spread(deaths)
    await deployment.stop()
    return figures


def main() -> int:
    """Prints the figures of one seed."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--deployment", default="tsagaan_amttan")
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    configure_logs(LogLevel.ERROR)
    plan = ROOT / "examples" / args.deployment / "demo.toml"
    print(json.dumps(asyncio.run(measure(plan, args.seed))))
    return 0


if __name__ == "__main__":
    sys.exit(main())
