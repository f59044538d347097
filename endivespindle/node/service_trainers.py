"""Runs all trainers of one service under one lease."""

import asyncio
from collections.abc import Awaitable, Callable

from endivespindle.node.context import NodeContext
from endivespindle.node.lease_keeper import LeaseKeeper
from endivespindle.peers.tasks import end_tasks
from endivespindle.schema.generated.register import Rules, Trainer

__all__ = ["ServiceTrainers"]

# The same interval at which RoleRunner checks the register.
_CHECK_INTERVAL_S = 0.5

TrainerRun = Callable[[LeaseKeeper], Awaitable[None]]


class ServiceTrainers:
    """Runs one task for each trainer of a service.

    The orders of all trainers carry the epoch of one lease as their fencing
    number, so that no engine receives interleaved fencing numbers of two
    leases.

    Args:
        ctx: Shared state of the VM.
        service: Service whose engines the trainers share.
        make_run: Returns the coroutine function that runs one trainer.
    """

    __slots__ = ("_ctx", "_make_run", "_service")

    def __init__(
        self,
        *,
        ctx: NodeContext,
        service: str,
        make_run: Callable[[Trainer, Rules], TrainerRun],
    ):
        self._ctx = ctx
        self._service = service
        self._make_run = make_run

    async def run(self, keeper: LeaseKeeper) -> None:
        """Applies register changes until cancelled or until a trainer fails."""
        tasks: dict[str, asyncio.Task[None]] = {}
        try:
            while True:
                self._update_tasks(tasks, keeper)
                for task in tasks.values():
                    if task.done():
                        task.result()
                await asyncio.sleep(_CHECK_INTERVAL_S)
        finally:
            await end_tasks(tasks.values())

    def _update_tasks(
        self, tasks: dict[str, asyncio.Task[None]], keeper: LeaseKeeper
    ) -> None:
        view = self._ctx.view()
        trainers = {
            name: trainer
            for name, trainer in view.trainers.items()
            if trainer.service == self._service
        }
        for name in set(tasks) - set(trainers):
            tasks.pop(name).cancel()
        for name, trainer in trainers.items():
            if name not in tasks:
                run = self._make_run(trainer, view.register.rules)
                tasks[name] = asyncio.ensure_future(_run(run, keeper))


async def _run(run: TrainerRun, keeper: LeaseKeeper) -> None:
    await run(keeper)
