"""Generates and commits the samples that a trainer requested."""

import asyncio
import functools

import msgspec

from endivespindle.core.reasons import RetryReason
from endivespindle.exceptions import PlatformError, RefusedError
from endivespindle.node.context import NodeContext
from endivespindle.node.delivery_log import DeliveryLog
from endivespindle.node.dispatch import Dispatcher
from endivespindle.node.lease_keeper import LeaseKeeper
from endivespindle.node.payload_replication import PayloadReplicator
from endivespindle.node.sample_attempt import SampleAttempt
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
from endivespindle.store.change_notifier import ChangeNotifier
from endivespindle.store.object_store import ObjectStore
from endivespindle.usage.billing import UsageOutcome

__all__ = ["TrainerRole"]

_COMMIT_INTERVAL_S = 0.05
_IDLE_WATCH_TIMEOUT_S = 1.0
_FAILURE_RETRY_DELAY_S = 0.1
_PLATFORM_RETRY_DELAY_S = 0.5
_SWEEP_INTERVAL_S = 60.0
_MAX_COMMIT_BATCH = 512
_MAX_STARTS_PER_ITERATION = 256


class TrainerRole:
    """Generates samples for one trainer while this VM holds the lease.

    Two VMs that run the role for the same trainer at once waste tokens but
    cause no error: a sample is delivered only if its commit to the trainer's
    state succeeds.

    Args:
        ctx: Shared state of the VM.
        store: The object API.
        dispatcher: Sends requests to engines.
        copies: Stores payloads.
        trainer: Name of the trainer.
        watch: Watches the trainers' states.
        weights: Tracks the weight versions that the engines serve.
    """

    __slots__ = (
        "_attempts",
        "_copies",
        "_ctx",
        "_dispatcher",
        "_expected_duration_s",
        "_last_sweep_s",
        "_log",
        "_outlook",
        "_policy",
        "_tasks",
        "_trainer",
        "_uncommitted",
        "_watch",
        "_weights",
    )

    def __init__(
        self,
        *,
        ctx: NodeContext,
        store: ObjectStore,
        dispatcher: Dispatcher,
        copies: PayloadReplicator,
        trainer: str,
        watch: ChangeNotifier,
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
        self._expected_duration_s = 0.0
        self._last_sweep_s = ctx.clock.monotonic()
        self._uncommitted: list[CandidateSample] = []
        self._attempts: dict[SlotKey, list[SampleAttempt]] = {}
        self._tasks: dict[SampleAttempt, asyncio.Task[None]] = {}

    async def run(self, keeper: LeaseKeeper) -> None:
        """Generates and commits until cancelled.

        Finished samples are not discarded when the lease expires: the commit
        decides whether they are still valid.
        """
        try:
            while keeper.lease.is_held():
                try:
                    await self._run_once()
                except PlatformError as exc:
                    self._ctx.metrics.count_retry(
                        RetryReason.PLATFORM_UNAVAILABLE
                    )
                    self._ctx.log.warning("trainer_waits", error=str(exc))
                    await asyncio.sleep(_PLATFORM_RETRY_DELAY_S)
        finally:
            for task in self._tasks.values():
                task.cancel()

    async def _run_once(self) -> None:
        state, version = await self._log.read()
        now_s = self._ctx.clock.monotonic()
        open_steps = [step.step for step in state.steps]
        self._outlook.observe(state.version, open_steps, now_s)
        slots = self._open_slots(state)
        await self._start_attempts(state, slots)
        self._move_stragglers(len(slots))
        if self._attempts or self._uncommitted:
            await asyncio.sleep(_COMMIT_INTERVAL_S)
        else:
            await self._watch.wait_for_change(
                name=self._trainer,
                version=version,
                timeout_s=_IDLE_WATCH_TIMEOUT_S,
            )
        await self._commit()
        if now_s - self._last_sweep_s > _SWEEP_INTERVAL_S:
            self._last_sweep_s = now_s
            await self._log.delete_unreferenced_pages()

    def _open_slots(self, state: TrainerState) -> list[OpenSlot]:
        finished = {(c.step, c.group, c.index) for c in self._uncommitted}
        started = finished | self._attempts.keys()
        missing = missing_slots(state)
        missing_keys = {(s.step, s.group, s.index) for s in missing}
        for key in [key for key in self._attempts if key not in missing_keys]:
            self._cancel(key)
        return [s for s in missing if (s.step, s.group, s.index) not in started]

    async def _start_attempts(
        self, state: TrainerState, slots: list[OpenSlot]
    ) -> None:
        trainer = self._register_entry()
        start_limit = min(self._idle_slots(trainer), _MAX_STARTS_PER_ITERATION)
        avoid: dict[int, frozenset[str]] = {}
        for slot in self._policy.order(slots)[: max(0, start_limit)]:
            group = await self._log.read_prompt_group(
                step=slot.step, page=slot.page, group=slot.group
            )
            attempt = SampleAttempt(
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
            self._launch(attempt, avoid[slot.step])

    def _move_stragglers(self, waiting: int) -> None:
        trainer = self._register_entry()
        moves = self._policy.mitigations(
            [
                attempt.running
                for attempts in self._attempts.values()
                for attempt in attempts
            ],
            waiting=waiting,
            idle_slots=self._idle_slots(trainer),
            now_s=self._ctx.clock.monotonic(),
        )
        for move in moves:
            self._start_move(trainer, move)

    def _start_move(self, trainer: Trainer, move: Mitigation) -> None:
        """Starts another attempt that resumes after the first one's tokens."""
        previous = self._attempts[move.slot][0]
        attempt = SampleAttempt(
            ctx=self._ctx,
            dispatcher=self._dispatcher,
            policy=self._policy,
            weights=self._weights,
            trainer=trainer,
            slot=previous.slot,
            group=previous.group,
            previous=previous,
        )
        is_hedge = move.kind is MitigationKind.HEDGE
        reason = RetryReason.HEDGE if is_hedge else RetryReason.RESUME
        self._ctx.metrics.count_retry(reason)
        self._ctx.record_event(
            attempt.sample_id,
            "sample_moved",
            kind=move.kind.value,
            from_attempt=previous.sample_id,
            avoid=move.avoid,
            tokens=previous.spans.tokens,
        )
        if is_hedge:
            previous.running.hedged = attempt.running.hedged = True
        else:
            self._cancel(move.slot)
        avoid = {move.avoid, *self._policy.slow_servers()} - {""}
        self._launch(attempt, frozenset(avoid))

    def _launch(self, attempt: SampleAttempt, avoid: frozenset[str]) -> None:
        self._attempts.setdefault(attempt.running.slot, []).append(attempt)
        task = asyncio.create_task(self._run_attempt(attempt, avoid))
        self._tasks[attempt] = task
        task.add_done_callback(
            functools.partial(self._on_attempt_done, attempt)
        )

    def _cancel(self, key: SlotKey) -> None:
        for attempt in self._attempts.pop(key, []):
            self._tasks[attempt].cancel()

    def _on_attempt_done(
        self, attempt: SampleAttempt, task: asyncio.Task[None]
    ) -> None:
        self._tasks.pop(attempt, None)
        attempts = self._attempts.get(attempt.running.slot, [])
        if attempt in attempts:
            attempts.remove(attempt)
            if not attempts:
                del self._attempts[attempt.running.slot]
        if not task.cancelled() and task.exception() is not None:
            self._ctx.log.error(
                "sample_task_failed", error=repr(task.exception())
            )

    async def _run_attempt(
        self, attempt: SampleAttempt, avoid: frozenset[str]
    ) -> None:
        try:
            sample = await attempt.stream(avoid)
        except RefusedError as exc:
            self._ctx.metrics.count_refusal(exc.reason)
            self._ctx.record_event(
                attempt.sample_id, "sample_failed", reason=exc.reason.code
            )
            await asyncio.sleep(_FAILURE_RETRY_DELAY_S)
            return
        if sample is None:
            self._bill(
                attempt.sample_id,
                UsageOutcome.WAIVED,
                attempt.prompt_tokens,
                attempt.spans.tokens,
            )
            self._ctx.metrics.count_retry(RetryReason.SAMPLE_SPOILED)
            self._ctx.record_event(attempt.sample_id, "sample_spoiled")
            return
        await self._store_payload(sample, attempt.prompt_tokens)
        self._record_success(attempt)

    def _record_success(self, attempt: SampleAttempt) -> None:
        """Records a success and cancels the other attempts at the slot."""
        seconds = self._ctx.clock.monotonic() - attempt.running.started_s
        self._expected_duration_s = max(
            seconds, 0.9 * self._expected_duration_s
        )
        self._policy.record_finished(seconds)
        for other in self._attempts.get(attempt.running.slot, []):
            if other is not attempt:
                self._tasks[other].cancel()

    async def _store_payload(self, sample: Sample, prompt_tokens: int) -> None:
        """Stores replicas of the payload and queues the sample for commit."""
        digest, holders = await self._copies.store(msgspec.json.encode(sample))
        if not holders:
            self._ctx.log.warning("payload_not_kept", digest=digest)
            return
        self._uncommitted.append(
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
        """Commits the queued samples; on failure they stay queued."""
        batch = self._uncommitted[:_MAX_COMMIT_BATCH]
        if not batch:
            return
        max_staleness = self._register_entry().max_staleness_versions
        result: CommitResult | None = None

        def change(state: TrainerState) -> TrainerState:
            nonlocal result
            result = commit_samples(
                state, batch, max_staleness_versions=max_staleness
            )
            return result.state

        state = await self._log.update(change)
        self._uncommitted = self._uncommitted[len(batch) :]
        if result is not None:
            self._record_outcomes(result)
        await self._log.seal(state)

    def _record_outcomes(self, result: CommitResult) -> None:
        for candidate in result.committed:
            self._record_outcome(candidate, "committed", UsageOutcome.RAN)
        for candidate in result.stale:
            self._ctx.metrics.count_retry(RetryReason.SAMPLE_STALE)
            self._record_outcome(candidate, "stale", UsageOutcome.WAIVED)
        for candidate in result.duplicates:
            self._record_outcome(candidate, "doubled", UsageOutcome.WAIVED)

    def _record_outcome(
        self, candidate: CandidateSample, outcome: str, billed: UsageOutcome
    ) -> None:
        self._ctx.metrics.count_sample(trainer=self._trainer, outcome=outcome)
        sample_id = (
            f"{self._trainer}.{candidate.step}.{candidate.group}"
            f".{candidate.index}"
        )
        self._bill(sample_id, billed, candidate.prompt_tokens, candidate.tokens)

    def _bill(
        self,
        sample_id: str,
        outcome: UsageOutcome,
        prompt_tokens: int,
        output_tokens: int,
    ) -> None:
        trainer = self._register_entry()
        self._ctx.record_usage(
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
        servers = len(self._ctx.available_servers(trainer.service))
        slots = view.services[trainer.service].slots_per_server * servers
        return max(1, slots) - len(self._tasks)

    def _stale_engines(
        self, trainer: Trainer, version: int, step: int
    ) -> frozenset[str]:
        """Returns engines on which a sample of the step would become stale."""
        gate = StalenessFilter(
            max_staleness_versions=trainer.max_staleness_versions
        )
        engines = {
            engine.name: self._weights.planner.version_of(engine)
            for engine in self._weights.engines()
        }
        rise = self._outlook.expected_rise(
            step, self._expected_duration_s, self._ctx.clock.monotonic()
        )
        return gate.stale_engines(engines, version=version, rise=rise)
