"""Measures what a trainer sees of the loss of the VM that samples for it.

Starts the example deployment, lets a trainer pull without training in
between, takes the holder of its lease away without a release, and prints the
longest times without a new sample before and after.
"""

import argparse
import asyncio
import itertools
import json
import pathlib
import random
import time

import aiohttp

from endivespindle.cli.logs import configure_logs
from endivespindle.demo.deployment import Deployment
from endivespindle.demo.load import load_plan
from endivespindle.schema.generated.settings import LogLevel
from endivespindle.standins.trainer import TrainerStandin, make_steps

_PLAN = pathlib.Path("examples/tsagaan_amttan/demo.toml")
_TRAINER = "note-writer"
_STEPS = 40
_POLL_S = 0.02
_READY_S = 10.0
_BEFORE_S = 8.0
_AFTER_S = 16.0


async def measure(seed: int) -> tuple[float, float, int]:
    """Returns the longest gaps before and after the loss, and the doubled."""
    plan, register = load_plan(_PLAN)
    deployment = Deployment(plan=plan, register=register, seed=seed)
    await deployment.start()
    async with aiohttp.ClientSession() as session:
        owner = next(t for t in register.trainers if t.name == _TRAINER)
        trainer = TrainerStandin(
            name=_TRAINER,
            key=deployment.keys[owner.client_account],
            entries=deployment.entries(),
            platform_url=deployment.platform_url,
            session=session,
        )
        steps = make_steps(
            trainer=_TRAINER,
            steps=_STEPS,
            groups=24,
            samples=owner.group_size,
            max_tokens=owner.max_tokens,
        )
        await asyncio.sleep(random.Random(seed).uniform(2.0, 3.0))
        run = asyncio.create_task(trainer.run(steps, train_s=0.0))
        before = await _gaps(trainer, _BEFORE_S)
        await _lose_holder(deployment)
        after = await _gaps(trainer, _AFTER_S)
        run.cancel()
        await asyncio.gather(run, return_exceptions=True)
    slots = [
        (s.sample.step, s.sample.group, s.sample.index) for s in trainer.samples
    ]
    await deployment.stop()
    return before, after, len(slots) - len(set(slots))


async def _gaps(trainer: TrainerStandin, seconds: float) -> float:
    """Returns the longest time without a new sample."""
    times = [time.monotonic()]
    seen = len(trainer.samples)
    end_s = times[0] + seconds
    while time.monotonic() < end_s:
        await asyncio.sleep(_POLL_S)
        if len(trainer.samples) > seen:
            seen = len(trainer.samples)
            times.append(time.monotonic())
    times.append(time.monotonic())
    return max(b - a for a, b in itertools.pairwise(times))


async def _lose_holder(deployment: Deployment) -> None:
    """Takes the holder's network away, then the VM itself."""
    leases = await deployment.platform.store.list_objects(
        kind="lease", prefix="trainers/"
    )
    found = leases.objects[0]
    assert found.value is not None
    holder = json.loads(found.value)["holder"].partition("/")[0]
    for vm in list(deployment.vms):
        if vm.ctx.settings.vm.name == holder:
            deployment.vms.remove(vm)
            await vm._network.close()
            await vm.stop()


def main() -> None:
    """Prints a line for each seed."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=3)
    args = parser.parse_args()
    configure_logs(LogLevel.ERROR)
    for seed in range(1, args.seeds + 1):
        before, after, doubled = asyncio.run(measure(seed))
        print(
            f"seed {seed}: longest pause before {before:.1f} s, "
            f"after the loss {after:.1f} s, doubled {doubled}"
        )


if __name__ == "__main__":
    main()
