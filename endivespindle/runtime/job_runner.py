"""Runs the batch jobs owned by this node."""

import asyncio
import contextlib
import functools
import math
import random
from collections.abc import Callable, Coroutine, Iterator, Sequence
from typing import Any

import msgspec

from endivespindle.batch.commit_delay import commit_delay_s
from endivespindle.batch.completion_memory import CompletionMemory
from endivespindle.batch.job import ItemPhase, ItemState, JobState
from endivespindle.batch.job_memory import JobMemory
from endivespindle.batch.partial_completions import (
    ItemSnapshot,
    PartialCompletionCache,
    limit_snapshots,
    restore_items,
    snapshot_items,
)
from endivespindle.batch.schedule import MAX_START_DELAY_S, place_items
from endivespindle.core.clock import Clock
from endivespindle.exceptions import ConflictError, PlatformError
from endivespindle.runtime.completion_runner import CompletionRunner
from endivespindle.runtime.forwarding import Forwarder
from endivespindle.runtime.job_store import JobHead, JobStore, StoredJob
from endivespindle.runtime.owned_job import OwnedJob
from endivespindle.runtime.reward_calls import RewardCaller
from endivespindle.runtime.supervision import run_supervised
from endivespindle.runtime.telemetry import EventLog, NodeMetrics
from endivespindle.serving.active_config import ActiveConfig
from endivespindle.serving.calls import ServerApi
from endivespindle.serving.configuration import RouteKind
from endivespindle.serving.directory import ServerDirectory, ServerView

__all__ = ["JobRunner"]

# Pause after a failed write of results.
_FLUSH_RETRY_S = 0.3
# Age of the last ownership confirmation above which the owner reads the store
# again before it starts an item: half of the 3 s in which items of an ended job
# may still start.
_MAX_CONFIRMATION_AGE_S = 1.5
# Age of the confirmation at which requests still awaiting a response are
# cancelled: a network partition may delay them, and they must not arrive after
# those 3 s.
_REQUEST_CANCEL_AGE_S = 2.5
# Interval at which such requests are checked for.
_REQUEST_CHECK_INTERVAL_S = 0.2
# Longest time between two placement rounds while items wait: the server loads
# reported by responses count for less as they age, which may free a slot.
_PLACEMENT_INTERVAL_S = MAX_START_DELAY_S
# Lost jobs whose partial completions are kept for the new owner. A node runs
# the steps of one or two trainers at a time.
_MAX_LOST_JOBS = 4
# Largest objects that one write of results fills: the results are encoded at
# once, and the last object, which is the record, is written again by the next.
_OBJECTS_PER_WRITE = 4
# Pause before an item is sent after ownership of its job was not confirmed.
_UNCONFIRMED_PAUSE_S = 0.05


class JobRunner:
    """Places items, receives their completions and commits their results.

    Args:
        store: Reads and writes jobs in the platform's store.
        api: Client for backend servers.
        forwarder: Sends reward calls.
        directory: Known backend servers.
        config: Active configuration.
        clock: Clock of this VM.
        rng: Random source.
        owner_id: Identity of this node as a job owner.
        data_centre: Data centre of this VM.
        log: Decision log.
        metrics: Counters.
        memory: Limits of what the jobs hold.
        prompt_tokens_per_s: Prompt tokens that a server reads in a second; None
            if the length of prompts does not count.

    Attributes:
        jobs: Jobs owned by this node, by job id.
        owner_id: Identity of this node as a job owner.
    """

    __slots__ = (
        "_clock",
        "_completion_memory",
        "_completions",
        "_config",
        "_data_centre",
        "_directory",
        "_log",
        "_is_memory_full",
        "_lost_snapshots",
        "_memory",
        "_partial_completions",
        "_prompt_tokens_per_s",
        "_provisional",
        "_rewards",
        "_rng",
        "_store",
        "_tasks",
        "_wake",
        "jobs",
        "owner_id",
    )

    def __init__(
        self,
        *,
        store: JobStore,
        api: ServerApi,
        forwarder: Forwarder,
        directory: ServerDirectory,
        config: ActiveConfig,
        clock: Clock,
        rng: random.Random,
        owner_id: str,
        data_centre: str,
        log: EventLog,
        metrics: NodeMetrics,
        memory: JobMemory,
        prompt_tokens_per_s: float | None = None,
    ):
        self._prompt_tokens_per_s = prompt_tokens_per_s
        self._store = store
        self._directory = directory
        self._config = config
        self._clock = clock
        self._rng = rng
        self._data_centre = data_centre
        self._log = log
        self._completion_memory = CompletionMemory(
            max_bytes=memory.completion_bytes,
            items=self._items_without_result,
        )
        self._is_memory_full = False
        self._completions = CompletionRunner(
            memory=self._completion_memory,
            api=api,
            directory=directory,
            clock=clock,
            log=log,
            metrics=metrics,
        )
        self._rewards = RewardCaller(
            forwarder=forwarder,
            config=config,
            confirm=self.confirm_ownership,
            cancel_age_s=_REQUEST_CANCEL_AGE_S,
            clock=clock,
            rng=rng,
            log=log,
        )
        self._memory = memory
        self._lost_snapshots: dict[str, list[ItemSnapshot]] = {}
        self._provisional: dict[str, OwnedJob] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._wake = asyncio.Event()
        self._partial_completions = PartialCompletionCache(
            clock=clock, max_bytes=memory.kept_bytes
        )
        self.owner_id = owner_id
        self.jobs: dict[str, OwnedJob] = {}

    async def remove_expired(self, *, retention_s: float) -> None:
        """Removes finished jobs whose retention time has passed.

        Args:
            retention_s: Seconds after its submission for which a job is kept.
        """
        oldest_ms = _now_ms(self._clock) - retention_s * 1000
        for job in list(self.jobs.values()):
            if job.is_open or job.state.submission.submitted_ms > oldest_ms:
                continue
            try:
                progress, _ = await self._store.read_progress(
                    job.state.submission
                )
                if progress.owner == self.owner_id:
                    await self._store.discard(job.job_id, progress)
            except PlatformError as exc:
                self._log.event(
                    "job_not_removed", job_id=job.job_id, error=str(exc)
                )
                continue
            self.jobs.pop(job.job_id, None)
            self._log.event("job_removed", job_id=job.job_id)

    def wake(self) -> None:
        """Schedules a placement round without waiting for the interval."""
        self._wake.set()

    def add(
        self,
        stored: StoredJob,
        *,
        asked_s: float,
        snapshots: Sequence[ItemSnapshot] = (),
    ) -> OwnedJob:
        """Starts running a job owned by this node.

        Args:
            stored: The job as stored.
            asked_s: Monotonic time at which the read or write that confirmed
                ownership was sent.
            snapshots: Progress of its items at the previous owner.

        Returns:
            The job as run here.
        """
        job = self._adopt_provisional(stored, asked_s=asked_s)
        if job is None:
            job = self._open_job(stored, asked_s=asked_s, snapshots=snapshots)
        self.jobs[job.job_id] = job
        self._release_finished(job)
        if job.is_open:
            self._spawn(
                "result_flush", functools.partial(self._flush_results, job)
            )
            self._spawn(
                "request_cancelling",
                functools.partial(self._cancel_unconfirmed_requests, job),
            )
        self.wake()
        return job

    def prepare(self, stored: StoredJob) -> bool:
        """Generates the completions of a job whose creation is unknown.

        Load pattern: the store is down for seconds while steps arrive, and
        their texts take most of the time until they are due. Nothing is scored
        or listed before the job is known to be created. Generation stops when
        the results would be late anyway.

        Args:
            stored: The job as submitted.

        Returns:
            Whether generation begins; False for a job that is known here.
        """
        job_id = stored.submission.job_id
        if job_id in self.jobs or job_id in self._provisional:
            return False
        now_s = self._clock.monotonic()
        job = self._open_job(stored, asked_s=now_s)
        job.provisional_until_s = now_s + stored.submission.due_s
        self._provisional[job_id] = job
        self._log.event(
            "job_prepared",
            job_id=job_id,
            items=len(stored.submission.items),
            step=stored.submission.step,
        )
        self.wake()
        return True

    def is_prepared(self, job_id: str) -> bool:
        """Returns whether a job is prepared that is not known to be created."""
        return job_id in self._provisional

    def drop_prepared(self, job_id: str) -> None:
        """Stops a prepared job that is run by another node, or was ended."""
        job = self._provisional.pop(job_id, None)
        if job is not None:
            self._drop_provisional(job)
            self._keep_lost_snapshots(job)

    def _open_job(
        self,
        stored: StoredJob,
        *,
        asked_s: float,
        snapshots: Sequence[ItemSnapshot] = (),
    ) -> OwnedJob:
        job = OwnedJob(
            stored=stored,
            confirmed_s=asked_s,
            first_seen_s=self._clock.monotonic(),
        )
        restored = restore_items(job.state, snapshots)
        if job.state.has_final_failures:
            job.flush_needed.set()
        restored += self._partial_completions.restore(job.state)
        if restored:
            self._log.event(
                "completions_restored", job_id=job.job_id, texts=restored
            )
        return job

    def _adopt_provisional(
        self, stored: StoredJob, *, asked_s: float
    ) -> OwnedJob | None:
        """Returns the prepared job with a new identity in the store.

        Returns:
            The job; None if none was prepared, or if it ran elsewhere, in which
            case the completions generated here are kept for it.
        """
        job = self._provisional.pop(stored.submission.job_id, None)
        if job is None:
            return None
        if stored.version or stored.committed or stored.progress.ended:
            self._drop_provisional(job)
            return None
        job.adopt(stored, confirmed_s=asked_s)
        return job

    def _drop_provisional(self, job: OwnedJob) -> None:
        """Stops a prepared job; its completions are kept for a while."""
        job.is_lost = True
        job.cancel_tasks()
        self._partial_completions.store(job.state)
        self._log.event("job_not_confirmed", job_id=job.job_id)

    def _drop_expired_provisional(self) -> None:
        now_s = self._clock.monotonic()
        for job_id, job in list(self._provisional.items()):
            if (job.provisional_until_s or 0.0) <= now_s:
                del self._provisional[job_id]
                self._drop_provisional(job)

    async def run(self) -> None:
        """Places items on backend servers until cancelled."""
        while True:
            waiting = self._place_items()
            timeout_s = _PLACEMENT_INTERVAL_S if waiting else None
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._wake.wait(), timeout_s)
            self._wake.clear()

    def slot_demand(self) -> dict[str, int]:
        """Returns the number of slots that open jobs need, by service."""
        services: dict[str, int] = {}
        for job in self.jobs.values():
            if not job.is_open:
                continue
            slots = sum(
                state.phase in (ItemPhase.WAITING, ItemPhase.GENERATING)
                for state in job.state.items.values()
            )
            service = job.state.service
            services[service] = services.get(service, 0) + slots
        return services

    async def confirm_ownership(
        self, job: OwnedJob, *, max_age_s: float = _MAX_CONFIRMATION_AGE_S
    ) -> bool:
        """Confirms that this node still owns a job.

        Reads the store only if the last confirmation is too old. A complete
        job needs no confirmation, as its results no longer change.

        Args:
            job: The job.
            max_age_s: Greatest age of the last confirmation that suffices, in
                seconds.

        Returns:
            Whether ownership was confirmed recently enough.
        """
        if job.provisional_until_s is not None:
            return self._clock.monotonic() < job.provisional_until_s
        if job.state.is_complete and not job.is_lost:
            return True
        if self._confirmation_age_s(job) <= max_age_s:
            return not job.is_lost
        async with job.lock:
            if self._confirmation_age_s(job) <= max_age_s:
                return not job.is_lost
            asked_s = self._clock.monotonic()
            try:
                progress, version = await self._store.read_progress(
                    job.state.submission
                )
                if progress.owner != self.owner_id:
                    self._handle_lost_job(job, progress.owner)
                    return False
                if version != job.version:
                    stored = await self._store.complete(
                        JobHead(
                            submission=job.state.submission,
                            progress=progress,
                            version=version,
                        )
                    )
                    self._reload(job, stored)
            except PlatformError:
                return False
            job.confirmed_s = asked_s
            return True

    async def end(self, job: OwnedJob) -> None:
        """Ends a job.

        Raises:
            ConflictError: Another node wrote the record, or owns the job.
            PlatformError: The store did not acknowledge the write.
        """
        async with job.lock:
            if not job.state.ended:
                await self._save(job, ended=True)
        self._log.event("job_ended", job_id=job.job_id, version=job.version)

    async def hand_over(self, job: OwnedJob, owner_id: str) -> None:
        """Makes another node the owner of a job.

        Args:
            job: The job.
            owner_id: Identity of the new owner.

        Raises:
            ConflictError: Another node wrote the record, or owns the job.
            PlatformError: The store did not acknowledge the write.
        """
        async with job.lock:
            await self._save(job, owner=owner_id)
            self._handle_lost_job(job, owner_id)

    def release(
        self, job_id: str, *, owner_id: str, version: int
    ) -> list[ItemSnapshot]:
        """Releases a job to the node that took it over.

        Args:
            job_id: Identity of the job.
            owner_id: Node that took it over.
            version: Version of the record that made that node the owner.

        Returns:
            Progress of the items whose results are not committed; empty if
            the release is outdated or the job is not known here.
        """
        job = self.jobs.get(job_id)
        if job is not None:
            if version <= job.version:
                # A delayed message: this node has read a newer record since.
                return []
            self._handle_lost_job(job, owner_id)
        prepared = self._provisional.pop(job_id, None)
        if prepared is not None:
            self._drop_provisional(prepared)
            if job_id not in self._lost_snapshots:
                self._keep_lost_snapshots(prepared)
        return self._lost_snapshots.pop(job_id, [])

    def _spawn(
        self, name: str, run: Callable[[], Coroutine[Any, Any, None]]
    ) -> None:
        """Starts a background task that returns once its job is not open."""
        task = asyncio.create_task(run_supervised(name, run, log=self._log))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _follow_route(self, job: OwnedJob) -> None:
        """Moves a job to a service that its route names.

        A job whose route was removed stays with its service.
        """
        sub = job.state.submission
        path = sub.path.partition("?")[0]
        route = self._config.route(host=sub.host, path=path)
        if route is None or route.kind is not RouteKind.BATCH:
            return
        if any(s.service == job.state.service for s in route.services):
            return
        service = self._config.choose_service(route, self._rng)
        self._log.event(
            "job_service_changed",
            job_id=job.job_id,
            service_before=job.state.service,
            service=service,
            config=self._config.version,
        )
        job.state.service = service

    def _apply_engine_spec(self, job: OwnedJob) -> None:
        spec = self._config.service(job.state.service)
        if spec is not None and spec.engine is not None:
            job.state.tokens_per_event = spec.engine.tokens_per_event
            job.state.cache_tokens = spec.engine.cache_tokens

    def _confirmation_age_s(self, job: OwnedJob) -> float:
        return self._clock.monotonic() - job.confirmed_s

    def _place_items(self) -> bool:
        """Starts items for which a server has a free slot.

        Also starts the reward calls of completions that are fully generated,
        and terminates the items of jobs that have timed out.

        Returns:
            Whether items are left waiting.
        """
        self._drop_expired_provisional()
        open_jobs = [
            job
            for job in (*self.jobs.values(), *self._provisional.values())
            if job.is_open
        ]
        by_id = {job.job_id: job for job in open_jobs}
        now_s = self._clock.monotonic()
        for job in open_jobs:
            self._follow_route(job)
            self._apply_engine_spec(job)
            if job.state.has_timed_out(age_s=job.min_age_s(self._clock)):
                for state in job.state.waiting():
                    job.terminate_item(state, reason="max_wait", log=self._log)
        for job in open_jobs:
            for state in job.state.waiting():
                if (
                    state.is_generated
                    and state.not_before_s <= now_s
                    and not job.is_provisional
                ):
                    state.phase = ItemPhase.SCORING
                    job.spawn(self._score_generated_item(job, state))
        services = {job.state.service for job in open_jobs}
        placements = place_items(
            [job.state for job in open_jobs],
            {
                name: self._directory.available_servers(name)
                for name in services
            },
            data_centre=self._data_centre,
            now_s=now_s,
            rng=self._rng,
            prompt_tokens_per_s=self._prompt_tokens_per_s,
        )
        self._completion_memory.count()
        expected_bytes = {
            job.job_id: job.state.expected_bytes() for job in open_jobs
        }
        is_full = False
        for placement in placements:
            job = by_id[placement.job.submission.job_id]
            state = placement.state
            if not self._completion_memory.begin(
                state, expected_bytes=expected_bytes[job.job_id]
            ):
                is_full = True
                break
            state.phase = ItemPhase.GENERATING
            state.server = placement.server.entry.name
            job.spawn(self._run_item(job, state, placement.server))
        if placements:
            self._log_memory_state(is_full=is_full)
        return any(job.state.waiting() for job in open_jobs)

    def _items_without_result(self) -> Iterator[ItemState]:
        """Yields the items of open jobs whose results are not stored."""
        for job in (*self.jobs.values(), *self._provisional.values()):
            if job.is_open:
                yield from job.state.items.values()

    def _log_memory_state(self, *, is_full: bool) -> None:
        """Logs whether items wait for memory, if that has changed."""
        if is_full == self._is_memory_full:
            return
        self._is_memory_full = is_full
        self._log.event(
            "completion_memory",
            outcome="full" if is_full else "free",
            held_bytes=self._completion_memory.held_bytes,
            max_bytes=self._completion_memory.max_bytes,
        )

    async def _score_generated_item(
        self, job: OwnedJob, state: ItemState
    ) -> None:
        """Makes the reward call of a completion that is already generated."""
        try:
            await self._rewards.score(job, state)
        finally:
            if state.phase is ItemPhase.SCORING:
                state.phase = ItemPhase.WAITING
            self.wake()

    async def _run_item(
        self, job: OwnedJob, state: ItemState, view: ServerView
    ) -> None:
        """Generates a completion or part of it, then makes the reward call."""
        try:
            await self._generate_item(job, state, view)
        finally:
            self._completion_memory.end(state)
            if state.phase in (ItemPhase.GENERATING, ItemPhase.SCORING):
                state.phase = ItemPhase.WAITING
            self.wake()

    async def _generate_item(
        self, job: OwnedJob, state: ItemState, view: ServerView
    ) -> None:
        """Generates a completion and makes its reward call."""
        if not await self.confirm_ownership(job):
            state.not_before_s = self._clock.monotonic() + _UNCONFIRMED_PAUSE_S
            return
        if not job.may_run(state):
            # The confirmation found the job ended or its record changed.
            return
        model = job.state.submission.model
        view.models.begin_request(model)
        try:
            await self._completions.run(job, state, view)
        finally:
            view.models.end_request(model)
            self._completion_memory.end(state)
        if state.is_generated:
            job.state.generated_bytes += state.text_bytes
            job.state.generated_items += 1
        if state.phase is ItemPhase.SCORING and not job.is_provisional:
            await self._rewards.score(job, state)

    async def _cancel_unconfirmed_requests(self, job: OwnedJob) -> None:
        """Cancels requests that might arrive after the end of their job."""
        while job.is_open:
            await asyncio.sleep(_REQUEST_CHECK_INTERVAL_S)
            if (
                not job.unanswered_tasks
                or self._confirmation_age_s(job) <= _MAX_CONFIRMATION_AGE_S
            ):
                continue
            remaining_s = max(
                0.0, _REQUEST_CANCEL_AGE_S - self._confirmation_age_s(job)
            )
            confirmed = False
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(remaining_s):
                    confirmed = await self.confirm_ownership(job)
            if (
                job.unanswered_tasks
                and not confirmed
                and self._confirmation_age_s(job) >= _REQUEST_CANCEL_AGE_S
            ):
                self._log.event(
                    "requests_dropped",
                    job_id=job.job_id,
                    requests=len(job.unanswered_tasks),
                    confirmed_age_s=round(self._confirmation_age_s(job), 2),
                )
                job.cancel_unanswered()

    async def _flush_results(self, job: OwnedJob) -> None:
        """Commits results, several with each write."""
        while job.is_open:
            await job.flush_needed.wait()
            start_s = self._clock.monotonic()
            while job.is_open:
                delay_s = commit_delay_s(
                    job.state,
                    now_ms=_now_ms(self._clock),
                    max_bytes=self._store.max_bytes,
                )
                remaining_s = start_s + delay_s - self._clock.monotonic()
                if remaining_s <= 0:
                    break
                job.flush_needed.clear()
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(job.flush_needed.wait(), remaining_s)
            job.flush_needed.clear()
            if not job.is_open:
                return
            try:
                async with job.lock:
                    await self._save(job)
                if job.state.uncommitted:
                    job.flush_needed.set()
            except PlatformError as exc:
                self._log.event(
                    "results_not_listed", job_id=job.job_id, error=str(exc)
                )
                job.flush_needed.set()
                await asyncio.sleep(_FLUSH_RETRY_S)

    async def _save(
        self, job: OwnedJob, *, ended: bool = False, owner: str | None = None
    ) -> None:
        """Writes the record with the uncommitted results.

        The caller must hold the lock of the job.

        Args:
            job: The job.
            ended: Whether to mark the job as ended.
            owner: New owner; None for this node.

        Raises:
            ConflictError: Another node wrote the record, or owns the job.
            PlatformError: The store did not acknowledge the write.
        """
        if job.is_lost:
            raise ConflictError(f"job {job.job_id} is owned by another node")
        if job.is_record_released:
            job.restore_record(
                await self._store.read_record_results(
                    job.state.submission, version=job.version
                )
            )
        uncommitted = job.state.next_batch(
            max_bytes=self._store.max_bytes * _OBJECTS_PER_WRITE
        )
        failures = job.state.count_failures()
        new = msgspec.structs.replace(
            job.progress,
            owner=owner or self.owner_id,
            owner_before=self.owner_id if owner else job.progress.owner_before,
            ended=job.progress.ended or ended,
            results=(*job.progress.results, *uncommitted),
            failures=failures,
        )
        asked_s = self._clock.monotonic()
        try:
            job.progress, job.version = await self._store.save(
                job.job_id,
                new,
                version=job.version,
                places=job.state.places,
                max_bytes=self._memory.record_bytes
                // max(1, sum(j.is_open for j in self.jobs.values())),
            )
        except ConflictError:
            stored = await self._store.refresh(job.state.submission)
            if stored.progress.owner != self.owner_id:
                self._handle_lost_job(job, stored.progress.owner)
            else:
                self._reload(job, stored)
                job.confirmed_s = asked_s
            raise
        job.confirmed_s = asked_s
        job.state.mark_committed(len(uncommitted))
        self._drop_kept_completions()
        job.state.mark_recorded(failures)
        if failures:
            self.wake()
        job.state.ended = job.progress.ended
        if job.state.ended:
            self._partial_completions.store(job.state)
            job.cancel_tasks()
        self._release_finished(job)
        job.notify()
        self._log.event(
            "results_listed",
            job_id=job.job_id,
            listed=len(job.state.committed),
            total=job.state.total,
            version=job.version,
        )

    def _reload(self, job: OwnedJob, stored: StoredJob) -> None:
        """Continues from a stored record that is newer than the one here.

        The record stems from a delayed write of this node, or from another
        node that ended the job.
        """
        state = JobState(
            submission=stored.submission,
            committed=stored.committed,
            failures=stored.progress.failures,
            ended=stored.progress.ended,
        )
        state.service = job.state.service
        restore_items(state, snapshot_items(job.state))
        job.cancel_tasks()
        job.state = state
        job.progress = stored.progress
        job.version = stored.version
        job.is_record_released = False
        self._release_finished(job)
        if state.has_final_failures:
            job.flush_needed.set()
        job.notify()
        self.wake()

    def _handle_lost_job(self, job: OwnedJob, owner_id: str) -> None:
        job.is_lost = True
        if job.is_unfinished:
            self._keep_lost_snapshots(job)
        job.cancel_tasks()
        job.notify()
        job.flush_needed.set()
        self.jobs.pop(job.job_id, None)
        self._log.event("job_lost", job_id=job.job_id, owner=owner_id)

    def _keep_lost_snapshots(self, job: OwnedJob) -> None:
        """Keeps the completions of a job for the node that takes it over."""
        self._lost_snapshots[job.job_id] = limit_snapshots(
            snapshot_items(job.state), max_bytes=self._memory.snapshot_bytes
        )
        while len(self._lost_snapshots) > _MAX_LOST_JOBS:
            self._lost_snapshots.pop(next(iter(self._lost_snapshots)))

    def _release_finished(self, job: OwnedJob) -> None:
        """Forgets what a finished job holds.

        Its results in the progress record are kept as long as those of all jobs
        fit into the memory, as its trainer may read them yet.
        """
        if not job.is_unfinished and not job.state.is_released:
            job.state.release_items()
        held_bytes = sum(j.record_bytes for j in self.jobs.values())
        for other in self.jobs.values():
            if held_bytes <= self._memory.record_bytes:
                return
            if other.record_bytes and not other.is_unfinished:
                held_bytes -= other.record_bytes
                other.release_record()

    def _drop_kept_completions(self) -> None:
        """Keeps the completions of committed results within their limit."""
        held_bytes = sum(job.state.kept_bytes for job in self.jobs.values())
        for job in self.jobs.values():
            if held_bytes <= self._memory.kept_bytes:
                return
            held_bytes -= job.state.kept_bytes
            job.state.drop_kept()


def _now_ms(clock: Clock) -> int:
    return math.floor(clock.now().timestamp() * 1000)
