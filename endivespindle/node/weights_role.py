"""Orders engines to load a trainer's newest weight version."""

import asyncio
import functools

from endivespindle.backends.interfaces import Engine
from endivespindle.core.reasons import RetryReason
from endivespindle.exceptions import BackendServerError, PlatformError
from endivespindle.node.context import NodeContext
from endivespindle.node.delivery_log import TRAINER_KIND
from endivespindle.node.lease_keeper import LeaseKeeper
from endivespindle.routing.tracker import ServerTracker
from endivespindle.schema.generated.backend import EngineOrder, OrderAction
from endivespindle.schema.generated.caller import RunState
from endivespindle.schema.generated.register import Rules, Trainer
from endivespindle.schema.generated.stored import TrainerState
from endivespindle.store.change_notifier import ChangeNotifier
from endivespindle.store.object_store import ObjectStore
from endivespindle.store.update import read_object
from endivespindle.weights.swap_plan import (
    EngineVersion,
    SwapLimits,
    SwapPlanner,
)

__all__ = ["WeightsRole"]

_PLAN_INTERVAL_S = 0.2
_ORDER_TIMEOUT_S = 1.5
_MAX_CHECK_INTERVAL_S = 2.0


class WeightsRole:
    """Brings every engine of a trainer's service to the newest version.

    It runs under the same lease as the role that receives the engines'
    chunks, because only the version on a chunk proves that a swap succeeded.

    Args:
        ctx: Shared state of the VM.
        store: The object API.
        engine: Adapter to engines.
        tracker: Tracks the versions that engines report.
        trainer: The trainer.
        rules: Rules of the operator.
        watch: Watches the trainers' states.

    Attributes:
        planner: Plans swaps and decides whether they succeeded.
    """

    __slots__ = (
        "_ctx",
        "_engine",
        "_store",
        "_swap_tasks",
        "_tracker",
        "_trainer",
        "_watch",
        "planner",
    )

    def __init__(
        self,
        *,
        ctx: NodeContext,
        store: ObjectStore,
        engine: Engine,
        tracker: ServerTracker,
        trainer: Trainer,
        rules: Rules,
        watch: ChangeNotifier,
    ):
        self._ctx = ctx
        self._store = store
        self._engine = engine
        self._tracker = tracker
        self._trainer = trainer.name
        self._watch = watch
        self._swap_tasks: dict[str, asyncio.Task[None]] = {}
        self.planner = SwapPlanner(
            clock=ctx.clock,
            rng=ctx.rng,
            limits=SwapLimits(
                max_fraction=rules.swap_max_fraction,
                max_staleness_versions=trainer.max_staleness_versions,
            ),
        )

    async def run(self, keeper: LeaseKeeper) -> None:
        """Plans and orders swaps until cancelled or the lease is lost."""
        try:
            while keeper.lease.is_held():
                await self._run_once(keeper)
        finally:
            for task in self._swap_tasks.values():
                task.cancel()

    def engines(self) -> list[EngineVersion]:
        """Returns the engines with the versions that they report."""
        service = self._ctx.view().trainers[self._trainer].service
        return [
            EngineVersion(
                name=server.name,
                version=self._tracker.version_of(server.name, self._trainer),
            )
            for server in self._ctx.available_servers(service)
        ]

    async def _run_once(self, keeper: LeaseKeeper) -> None:
        try:
            state, object_version = await read_object(
                self._store,
                kind=TRAINER_KIND,
                name=self._trainer,
                cls=TrainerState,
            )
        except PlatformError:
            await asyncio.sleep(_MAX_CHECK_INTERVAL_S)
            return
        newest = state.version if state is not None else 0
        deadline_s = self._ctx.clock.monotonic() + _MAX_CHECK_INTERVAL_S
        while newest and self._ctx.clock.monotonic() < deadline_s:
            engines = self.engines()
            versions = [self.planner.version_of(engine) for engine in engines]
            if all(version >= newest for version in versions):
                break
            for name in self.planner.plan(engines, version=newest):
                self._start_swap(keeper, name, newest)
            await asyncio.sleep(_PLAN_INTERVAL_S)
        remaining_s = deadline_s - self._ctx.clock.monotonic()
        await self._watch.wait_for_change(
            name=self._trainer,
            version=object_version,
            timeout_s=max(0.0, remaining_s),
        )

    def _start_swap(self, keeper: LeaseKeeper, name: str, version: int) -> None:
        task = asyncio.create_task(self._swap(keeper, name, version))
        self._swap_tasks[name] = task
        task.add_done_callback(functools.partial(self._on_swap_done, name))

    def _on_swap_done(self, name: str, task: asyncio.Task[None]) -> None:
        self._swap_tasks.pop(name, None)
        if not task.cancelled() and task.exception() is not None:
            self._ctx.log.error(
                "swap_task_failed", error=repr(task.exception())
            )

    async def _swap(self, keeper: LeaseKeeper, name: str, version: int) -> None:
        """Sends one load order; the planner decides whether it succeeded."""
        server = self._ctx.view().servers[name]
        order = EngineOrder(
            order_id=self._ctx.ids.new("o"),
            fencing_number=keeper.lease.epoch,
            action=OrderAction.LOAD_VERSION,
            trainer=self._trainer,
            version=version,
        )
        if not keeper.lease.may_send(timeout_s=_ORDER_TIMEOUT_S):
            self.planner.record_refusal(name)
            return
        self._ctx.record_event(
            order.order_id, "swap_ordered", backend_server=name, version=version
        )
        try:
            response = await self._engine.order(
                server, order, timeout_s=_ORDER_TIMEOUT_S
            )
        except BackendServerError as exc:
            if exc.ran is RunState.NOT_RUN:
                self._record_refusal(order.order_id, name, exc.reason.code)
            return
        if not response.accepted:
            self._record_refusal(order.order_id, name, response.reason)

    def _record_refusal(self, order_id: str, name: str, reason: str) -> None:
        self.planner.record_refusal(name)
        self._ctx.metrics.count_retry(RetryReason.SWAP_FAILED)
        self._ctx.record_event(
            order_id, "swap_refused", backend_server=name, reason=reason
        )
