"""Generates the samples a trainer asked for and commits them."""

import asyncio
import functools

import msgspec

from endivespindle.core.reasons import RetryReason
from endivespindle.exceptions import PlatformError, RefusedError
from endivespindle.node.context import NodeContext
from endivespindle.node.delivery_log import DeliveryLog
from endivespindle.node.dispatch import Dispatcher
from endivespindle.node.lease_keeper import LeaseKeeper
from endivespindle.node.payload_copies import PayloadCopies
from endivespindle.node.sample_run import SampleRun
from endivespindle.node.weights_role import WeightsRole
from endivespindle.rollout.delivery import (
    CandidateSample,
    CommitResult,
    OpenSlot,
    commit_samples,
    missing_slots,
)
from endivespindle.rollout.staleness import StalenessFilter, VersionForecast
from endivespindle.rollout.stragglers import (
    LongestGroupFirst,
    Mitigation,
    MitigationKind,
    SlotKey,
)
from endivespindle.schema.generated.register import Trainer
from endivespindle.schema.generated.rollout import Sample
from endivespindle.schema.generated.stored import TrainerState
from endivespindle.store.kind_watch import KindWatch
from endivespindle.store.object_store import ObjectStore
from endivespindle.usage.billing import UsageOutcome

__all__ = ["TrainerRole"]

_COMMIT_PAUSE_S = 0.05
_IDLE_WAIT_S = 1.0
_FAILURE_PAUSE_S = 0.1
_PLATFORM_PAUSE_S = 0.5
_SWEEP_INTERVAL_S = 60.0
_MAX_BATCH = 512
_STARTS_PER_LOOK = 256


class TrainerRole:
    """Works for one trainer while this VM holds the trainer's lease.

    Should two VMs ever work for the same trainer, they waste tokens and
    break nothing: only the trainer's state decides what is delivered.

    Args:
        ctx: Shared state of the VM.
        store: The object API.
        dispatcher: Sends work to engines.
        copies: Keeps payloads.
        trainer: Name of the trainer.
        watch: Watches the trainers' states.
        weights: Knows which weights the engines truly hold.
    """

    __slots__ = (
        "_copies",
        "_ctx",
        "_dispatcher",
        "_duration_s",
        "_log",
        "_outlook",
        "_policy",
        "_ready",
        "_runs",
        "_swept_s",
        "_tasks",
        "_trainer",
        "_watch",
        "_weights",
    )

    def __init__(
        self,
        *,
        ctx: NodeContext,
        store: ObjectStore,
        dispatcher: Dispatcher,
        copies: PayloadCopies,
        trainer: str,
        watch: KindWatch,
        weights: WeightsRole,
    ):
        self._ctx = ctx
        self._dispatcher = dispatcher
        self._copies = copies
        self._trainer = trainer
        self._watch = watch
        self._weights = weights
        self._log = DeliveryLog(store=store, trainer=trainer, ids=ctx.ids)
        self._policy = LongestGroupFirst()
        self._outlook = VersionForecast()
        self._duration_s = 0.0
        self._swept_s = ctx.clock.monotonic()
        self._ready: list[CandidateSample] = []
        self._runs: dict[SlotKey, list[SampleRun]] = {}
        self._tasks: dict[SampleRun, asyncio.Task[None]] = {}

    async def run(self, keeper: LeaseKeeper) -> None:
        """Generates and commits until cancelled.

        Finished samples outlive a lapse of the lease: whether they still
        count is decided when they are committed.
        """
        try:
            while keeper.lease.held():
                try:
                    await self._work()
                except PlatformError as exc:
                    self._ctx.metrics.retried(RetryReason.PLATFORM_UNAVAILABLE)
                    self._ctx.log.warning("trainer_waits", error=str(exc))
                    await asyncio.sleep(_PLATFORM_PAUSE_S)
        finally:
            for task in self._tasks.values():
                task.cancel()

    async def _work(self) -> None:
        state, version = await self._log.read()
        now_s = self._ctx.clock.monotonic()
        open_steps = [step.step for step in state.steps]
        self._outlook.observe(state.version, open_steps, now_s)
        slots = self._open_slots(state)
        await self._start(state, slots)
        self._move(len(slots))
        if self._runs or self._ready:
            await asyncio.sleep(_COMMIT_PAUSE_S)
        else:
            await self._watch.wait(
                name=self._trainer, version=version, timeout_s=_IDLE_WAIT_S
            )
        await self._commit()
        if now_s - self._swept_s > _SWEEP_INTERVAL_S:
            self._swept_s = now_s
            await self._log.sweep()

    def _open_slots(self, state: TrainerState) -> list[OpenSlot]:
        done = {(c.step, c.group, c.index) for c in self._ready}
        taken = done | self._runs.keys()
        missing = missing_slots(state)
        wanted = {(s.step, s.group, s.index) for s in missing}
        for key in [key for key in self._runs if key not in wanted]:
            self._cancel(key)
        return [s for s in missing if (s.step, s.group, s.index) not in taken]

    async def _start(self, state: TrainerState, slots: list[OpenSlot]) -> None:
        trainer = self._register_entry()
        idle = min(self._idle_slots(trainer), _STARTS_PER_LOOK)
        avoid: dict[int, frozenset[str]] = {}
        for slot in self._policy.order(slots)[: max(0, idle)]:
            group = await self._log.prompt(
                step=slot.step, page=slot.page, group=slot.group
            )
            run = SampleRun(
                ctx=self._ctx,
                dispatcher=self._dispatcher,
                policy=self._policy,
                weights=self._weights,
                trainer=trainer,
                slot=slot,
                group=group,
            )
            if slot.step not in avoid:
                avoid[slot.step] = self._stale_engines(
                    trainer, state.version, slot.step
                )
            self._launch(run, avoid[slot.step])

    def _move(self, waiting: int) -> None:
        trainer = self._register_entry()
        moves = self._policy.mitigations(
            [run.running for runs in self._runs.values() for run in runs],
            waiting=waiting,
            idle_slots=self._idle_slots(trainer),
            now_s=self._ctx.clock.monotonic(),
        )
        for move in moves:
            self._carry_out(trainer, move)

    def _carry_out(self, trainer: Trainer, move: Mitigation) -> None:
        """Starts another attempt from the last token of the first."""
        earlier = self._runs[move.slot][0]
        run = SampleRun(
            ctx=self._ctx,
            dispatcher=self._dispatcher,
            policy=self._policy,
            weights=self._weights,
            trainer=trainer,
            slot=earlier.slot,
            group=earlier.group,
            earlier=earlier,
        )
        hedge = move.kind is MitigationKind.HEDGE
        reason = RetryReason.HEDGE if hedge else RetryReason.RESUME
        self._ctx.metrics.retried(reason)
        self._ctx.tell(
            run.sample_id,
            "sample_moved",
            kind=move.kind.value,
            from_attempt=earlier.sample_id,
            avoid=move.avoid,
            tokens=earlier.spans.tokens,
        )
        if hedge:
            earlier.running.hedged = run.running.hedged = True
        else:
            self._cancel(move.slot)
        avoid = {move.avoid, *self._policy.slow_servers()} - {""}
        self._launch(run, frozenset(avoid))

    def _launch(self, run: SampleRun, avoid: frozenset[str]) -> None:
        self._runs.setdefault(run.running.slot, []).append(run)
        task = asyncio.create_task(self._produce(run, avoid))
        self._tasks[run] = task
        task.add_done_callback(functools.partial(self._ended, run))

    def _cancel(self, key: SlotKey) -> None:
        for run in self._runs.pop(key, []):
            self._tasks[run].cancel()

    def _ended(self, run: SampleRun, task: asyncio.Task[None]) -> None:
        self._tasks.pop(run, None)
        runs = self._runs.get(run.running.slot, [])
        if run in runs:
            runs.remove(run)
            if not runs:
                del self._runs[run.running.slot]
        if not task.cancelled() and task.exception() is not None:
            self._ctx.log.error(
                "sample_task_broke", error=repr(task.exception())
            )

    async def _produce(self, run: SampleRun, avoid: frozenset[str]) -> None:
        try:
            sample = await run.stream(avoid)
        except RefusedError as exc:
            self._ctx.metrics.refused(exc.reason)
            self._ctx.tell(
                run.sample_id, "sample_failed", reason=exc.reason.code
            )
            await asyncio.sleep(_FAILURE_PAUSE_S)
            return
        if sample is None:
            self._bill(
                run.sample_id,
                UsageOutcome.WAIVED,
                run.prompt_tokens,
                run.spans.tokens,
            )
            self._ctx.metrics.retried(RetryReason.SAMPLE_SPOILED)
            self._ctx.tell(run.sample_id, "sample_spoiled")
            return
        await self._keep(sample, run.prompt_tokens)
        self._won(run)

    def _won(self, run: SampleRun) -> None:
        """Cancels the other attempts at the slot."""
        seconds = self._ctx.clock.monotonic() - run.running.started_s
        self._duration_s = max(seconds, 0.9 * self._duration_s)
        self._policy.record_finished(seconds)
        for other in self._runs.get(run.running.slot, []):
            if other is not run:
                self._tasks[other].cancel()

    async def _keep(self, sample: Sample, prompt_tokens: int) -> None:
        """Keeps the payload in copies, then offers it for the commit."""
        digest, holders = await self._copies.keep(msgspec.json.encode(sample))
        if not holders:
            self._ctx.log.warning("payload_not_kept", digest=digest)
            return
        self._ready.append(
            CandidateSample(
                step=sample.step,
                group=sample.group,
                index=sample.index,
                digest=digest,
                holders=holders,
                oldest_version=min(span.version for span in sample.spans),
                tokens=sample.tokens,
                prompt_tokens=prompt_tokens,
            )
        )

    async def _commit(self) -> None:
        """Commits what is ready; on failure it stays ready."""
        batch = self._ready[:_MAX_BATCH]
        if not batch:
            return
        bound = self._register_entry().max_staleness_versions
        result: CommitResult | None = None

        def change(state: TrainerState) -> TrainerState:
            nonlocal result
            result = commit_samples(state, batch, max_staleness_versions=bound)
            return result.state

        state = await self._log.update(change)
        self._ready = self._ready[len(batch) :]
        if result is not None:
            self._account_for(result)
        await self._log.seal(state)

    def _account_for(self, result: CommitResult) -> None:
        for cand in result.committed:
            self._account_one(cand, "committed", UsageOutcome.RAN)
        for cand in result.stale:
            self._ctx.metrics.retried(RetryReason.SAMPLE_STALE)
            self._account_one(cand, "stale", UsageOutcome.WAIVED)
        for cand in result.duplicates:
            self._account_one(cand, "doubled", UsageOutcome.WAIVED)

    def _account_one(
        self, cand: CandidateSample, outcome: str, billed: UsageOutcome
    ) -> None:
        self._ctx.metrics.sample(trainer=self._trainer, outcome=outcome)
        sample_id = f"{self._trainer}.{cand.step}.{cand.group}.{cand.index}"
        self._bill(sample_id, billed, cand.prompt_tokens, cand.tokens)

    def _bill(
        self,
        sample_id: str,
        outcome: UsageOutcome,
        prompt_tokens: int,
        output_tokens: int,
    ) -> None:
        trainer = self._register_entry()
        self._ctx.bill(
            request_id=sample_id,
            client_account=trainer.client_account,
            service=trainer.service,
            outcome=outcome,
            prompt_tokens=prompt_tokens,
            output_tokens=output_tokens,
        )

    def _register_entry(self) -> Trainer:
        return self._ctx.view().trainers[self._trainer]

    def _idle_slots(self, trainer: Trainer) -> int:
        view = self._ctx.view()
        servers = len(view.live_servers_of(trainer.service))
        slots = view.services[trainer.service].slots_per_server * servers
        return max(1, slots) - len(self._tasks)

    def _stale_engines(
        self, trainer: Trainer, version: int, step: int
    ) -> frozenset[str]:
        """Returns engines on which a sample of the step would go stale."""
        gate = StalenessFilter(
            max_staleness_versions=trainer.max_staleness_versions
        )
        engines = {
            engine.name: self._weights.planner.version_of(engine)
            for engine in self._weights.engines()
        }
        rise = self._outlook.expected_rise(
            step, self._duration_s, self._ctx.clock.monotonic()
        )
        return gate.stale_engines(engines, version=version, rise=rise)
