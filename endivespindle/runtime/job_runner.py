"""Runs the batch jobs that this node owns."""

import asyncio
import contextlib
import math
import random
from collections.abc import Coroutine, Sequence
from typing import Any

import msgspec

from endivespindle.batch.carry import (
    CarriedTexts,
    TextCopy,
    copy_texts,
    take_texts,
)
from endivespindle.batch.job import ItemPhase, ItemState, JobState
from endivespindle.batch.listing import listing_delay
from endivespindle.batch.schedule import place_items
from endivespindle.core.clock import Clock
from endivespindle.exceptions import ConflictError, PlatformError
from endivespindle.runtime.forwarding import Forwarder
from endivespindle.runtime.job_store import JobStore, StoredJob
from endivespindle.runtime.owned_job import OwnedJob
from endivespindle.runtime.reward_calls import RewardCaller
from endivespindle.runtime.telemetry import DecisionLog, NodeMetrics
from endivespindle.runtime.completion_runner import CompletionRunner
from endivespindle.serving.calls import ServerApi
from endivespindle.serving.directory import ServerDirectory, ServerView
from endivespindle.serving.in_force import ConfigInForce

__all__ = ["JobRunner"]

# Pause after a write of results failed.
_FLUSH_RETRY_S = 0.3
# Age of the last answer of the store beyond which the owner asks it again
# before it starts an item: half of the time in which an ended job's items may
# still start.
_ITEM_CONFIRM_S = 1.5
# Age of that answer at which a request that no server has answered is dropped:
# a cut may hold it up, and it must not arrive after those 3 s.
_ITEM_HELD_S = 2.5
# Time between two looks for such requests.
_HELD_LOOK_S = 0.2
# While items wait, places are looked for at least this often, as loads told
# by answers lose their weight with time.
_LOOK_INTERVAL_S = 0.1
# Jobs lost whose texts are kept for their new owner; a node runs the steps of
# one or two trainers at a time.
_MAX_RELEASED = 4
# Pause before an item is sent again after its job could not be confirmed.
_UNCONFIRMED_PAUSE_S = 0.05


class JobRunner:
    """Places items, receives their texts, and lists their results.

    Args:
        store: Jobs in the store.
        api: Speaks to backend servers.
        forwarder: Sends reward calls.
        directory: Backend servers known.
        config: Configuration in force.
        clock: Clock of this VM.
        rng: Source of draws.
        owner_id: Name of this node as an owner.
        data_centre: Data centre of this VM.
        log: Where decisions are written.
        metrics: Counters.
    """

    __slots__ = (
        "_carried",
        "_clock",
        "_config",
        "_data_centre",
        "_directory",
        "_log",
        "_released",
        "_rewards",
        "_rng",
        "_store",
        "_tasks",
        "_texts",
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
        config: ConfigInForce,
        clock: Clock,
        rng: random.Random,
        owner_id: str,
        data_centre: str,
        log: DecisionLog,
        metrics: NodeMetrics,
    ):
        self._store = store
        self._directory = directory
        self._config = config
        self._clock = clock
        self._rng = rng
        self._data_centre = data_centre
        self._log = log
        self._texts = CompletionRunner(
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
            held_s=_ITEM_HELD_S,
            clock=clock,
            rng=rng,
            log=log,
        )
        self._released: dict[str, JobState] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._wake = asyncio.Event()
        self._carried = CarriedTexts(clock=clock)
        self.owner_id = owner_id
        self.jobs: dict[str, OwnedJob] = {}

    async def remove_expired(self, *, retention_s: float) -> None:
        """Removes jobs that are over and need not be kept any longer.

        Args:
            retention_s: Seconds after its submission for which a job is kept.
        """
        oldest_ms = _now_ms(self._clock) - retention_s * 1000
        for job in list(self.jobs.values()):
            if job.is_open or job.state.submission.submitted_ms > oldest_ms:
                continue
            try:
                stored = await self._store.refresh(job.state.submission)
                if stored.progress.owner == self.owner_id:
                    await self._store.discard(stored)
            except PlatformError as exc:
                self._log.decided(
                    "job_not_removed", job_id=job.job_id, error=str(exc)
                )
                continue
            self.jobs.pop(job.job_id, None)
            self._log.decided("job_removed", job_id=job.job_id)

    def wake(self) -> None:
        """Looks for places as soon as the loop is free."""
        self._wake.set()

    def add(
        self,
        stored: StoredJob,
        *,
        asked_s: float,
        texts: Sequence[TextCopy] = (),
    ) -> OwnedJob:
        """Begins to run a job that this node owns.

        Args:
            stored: The job as the store holds it.
            asked_s: When the store was asked for it.
            texts: What its owner before had of it.
        """
        job = OwnedJob(
            stored=stored,
            confirmed_s=asked_s,
            first_seen_s=self._clock.monotonic(),
        )
        carried = take_texts(job.state, texts)
        carried += self._carried.fill(job.state)
        if carried:
            self._log.decided("texts_carried", job_id=job.job_id, texts=carried)
        self.jobs[job.job_id] = job
        if job.is_open:
            self._spawn(self._flush_results(job))
            self._spawn(self._drop_held_requests(job))
        self.wake()
        return job

    async def run(self) -> None:
        """Places items for as long as the node runs."""
        while True:
            waiting = self._place()
            timeout_s = _LOOK_INTERVAL_S if waiting else None
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._wake.wait(), timeout_s)
            self._wake.clear()

    def slot_demand(self) -> dict[str, int]:
        """Returns the places that open jobs want, by service."""
        services: dict[str, int] = {}
        for job in self.jobs.values():
            if not job.is_open:
                continue
            places = sum(
                state.phase in (ItemPhase.WAITING, ItemPhase.GENERATING)
                for state in job.state.items.values()
            )
            service = job.state.submission.service
            services[service] = services.get(service, 0) + places
        return services

    async def confirm_ownership(
        self, job: OwnedJob, *, max_age_s: float = _ITEM_CONFIRM_S
    ) -> bool:
        """Makes sure that this node still owns a job.

        Args:
            job: The job.
            max_age_s: Age of the store's last answer that is still enough.

        Returns:
            Whether the store confirmed it a moment ago.
        """
        if job.state.is_complete and not job.is_lost:
            return True
        if self._age_s(job) <= max_age_s:
            return not job.is_lost
        async with job.lock:
            if self._age_s(job) <= max_age_s:
                return not job.is_lost
            asked_s = self._clock.monotonic()
            try:
                stored = await self._store.refresh(job.state.submission)
            except PlatformError:
                return False
            if stored.progress.owner != self.owner_id:
                self._lose(job, stored.progress.owner)
                return False
            if stored.version != job.version:
                self._rejoin(job, stored)
            job.confirmed_s = asked_s
            return True

    async def end(self, job: OwnedJob) -> None:
        """Ends a job.

        Raises:
            PlatformError: The store did not acknowledge it.
        """
        async with job.lock:
            if not job.state.ended:
                await self._save(job, ended=True)
        self._log.decided("job_ended", job_id=job.job_id, version=job.version)

    async def hand_over(self, job: OwnedJob, owner_id: str) -> None:
        """Gives a job to another node.

        Raises:
            PlatformError: The store did not acknowledge it.
        """
        async with job.lock:
            await self._save(job, owner=owner_id)
            self._lose(job, owner_id)

    def release(
        self, job_id: str, *, owner_id: str, version: int
    ) -> list[TextCopy]:
        """Gives a job up to the node that took it over.

        Args:
            job_id: Identity of the job.
            owner_id: Node that took it over.
            version: Version of the record that made it the owner.

        Returns:
            What this node has of the items that are not listed.
        """
        job = self.jobs.get(job_id)
        if job is not None:
            if version <= job.version:
                # The message is older than what this node knows.
                return []
            self._lose(job, owner_id)
        state = self._released.pop(job_id, None)
        return copy_texts(state) if state is not None else []

    def _spawn(self, coro: Coroutine[Any, Any, None]) -> None:
        """Starts something that ends by itself once its job is over."""
        task = asyncio.create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _set_engine(self, job: OwnedJob) -> None:
        spec = self._config.service(job.state.submission.service)
        if spec is not None and spec.engine is not None:
            job.state.tokens_per_event = spec.engine.tokens_per_event

    def _age_s(self, job: OwnedJob) -> float:
        return self._clock.monotonic() - job.confirmed_s

    def _place(self) -> bool:
        """Sends what finds a place; tells whether items are left waiting."""
        open_jobs = [job for job in self.jobs.values() if job.is_open]
        by_id = {job.job_id: job for job in open_jobs}
        now_s = self._clock.monotonic()
        for job in open_jobs:
            self._set_engine(job)
            if job.state.is_over(age_s=job.min_age_s(self._clock)):
                for state in job.state.waiting():
                    job.terminate_item(state, reason="max_wait", log=self._log)
        for job in open_jobs:
            for state in job.state.waiting():
                if state.is_whole and state.not_before_s <= now_s:
                    state.phase = ItemPhase.SCORING
                    job.spawn(self._score_again(job, state))
        services = {job.state.submission.service for job in open_jobs}
        placed = place_items(
            [job.state for job in open_jobs],
            {name: self._directory.open_servers(name) for name in services},
            data_centre=self._data_centre,
            now_s=now_s,
            rng=self._rng,
        )
        for placement in placed:
            job = by_id[placement.job.submission.job_id]
            state = placement.state
            state.phase = ItemPhase.GENERATING
            state.server = placement.server.entry.name
            job.spawn(self._run_item(job, state, placement.server))
        return any(job.state.waiting() for job in open_jobs)

    async def _score_again(self, job: OwnedJob, state: ItemState) -> None:
        """Lists an item whose text was whole before its job began."""
        try:
            await self._rewards.score(job, state)
        finally:
            if state.phase is ItemPhase.SCORING:
                state.phase = ItemPhase.WAITING
            self.wake()

    async def _run_item(
        self, job: OwnedJob, state: ItemState, view: ServerView
    ) -> None:
        """Generates an item's text, or a part of it, then its score."""
        try:
            if not await self.confirm_ownership(job):
                state.not_before_s = (
                    self._clock.monotonic() + _UNCONFIRMED_PAUSE_S
                )
                return
            if not job.may_run(state):
                # The store told that the job was ended or has moved on.
                return
            await self._texts.run(job, state, view)
            if state.phase is ItemPhase.SCORING:
                await self._rewards.score(job, state)
        finally:
            if state.phase in (ItemPhase.GENERATING, ItemPhase.SCORING):
                state.phase = ItemPhase.WAITING
            self.wake()

    async def _drop_held_requests(self, job: OwnedJob) -> None:
        """Drops requests that may arrive after the end of their job."""
        while job.is_open:
            await asyncio.sleep(_HELD_LOOK_S)
            if not job.unanswered_tasks or self._age_s(job) <= _ITEM_CONFIRM_S:
                continue
            left_s = max(0.0, _ITEM_HELD_S - self._age_s(job))
            confirmed = False
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    confirmed = await self.confirm_ownership(job)
            if (
                job.unanswered_tasks
                and not confirmed
                and self._age_s(job) >= _ITEM_HELD_S
            ):
                self._log.decided(
                    "requests_dropped",
                    job_id=job.job_id,
                    requests=len(job.unanswered_tasks),
                    confirmed_age_s=round(self._age_s(job), 2),
                )
                job.cancel_unanswered()

    async def _flush_results(self, job: OwnedJob) -> None:
        """Lists what is finished, several results with each write."""
        while job.is_open:
            await job.flush_needed.wait()
            begun_s = self._clock.monotonic()
            while job.is_open:
                delay_s = listing_delay(job.state, now_ms=_now_ms(self._clock))
                left_s = begun_s + delay_s - self._clock.monotonic()
                if left_s <= 0:
                    break
                job.flush_needed.clear()
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(job.flush_needed.wait(), left_s)
            job.flush_needed.clear()
            if not job.is_open:
                return
            try:
                async with job.lock:
                    await self._save(job)
            except PlatformError as exc:
                self._log.decided(
                    "results_not_listed", job_id=job.job_id, error=str(exc)
                )
                job.flush_needed.set()
                await asyncio.sleep(_FLUSH_RETRY_S)

    async def _save(
        self, job: OwnedJob, *, ended: bool = False, owner: str | None = None
    ) -> None:
        """Writes the record with what is fresh; the lock must be held."""
        if job.is_lost:
            raise ConflictError(f"job {job.job_id} has another owner")
        fresh = list(job.state.fresh)
        new = msgspec.structs.replace(
            job.progress,
            owner=owner or self.owner_id,
            ended=job.progress.ended or ended,
            results=(*job.progress.results, *fresh),
        )
        asked_s = self._clock.monotonic()
        try:
            job.progress, job.version = await self._store.save(
                job.job_id, new, version=job.version
            )
        except ConflictError:
            stored = await self._store.refresh(job.state.submission)
            if stored.progress.owner != self.owner_id:
                self._lose(job, stored.progress.owner)
            else:
                self._rejoin(job, stored)
                job.confirmed_s = asked_s
            raise
        job.confirmed_s = asked_s
        job.state.acknowledged(len(fresh))
        job.state.ended = job.progress.ended
        if job.state.ended:
            self._carried.keep(job.state)
            job.cancel_tasks()
        job.notify()
        self._log.decided(
            "results_listed",
            job_id=job.job_id,
            listed=len(job.state.listed),
            total=job.state.total,
            version=job.version,
        )

    def _rejoin(self, job: OwnedJob, stored: StoredJob) -> None:
        """Goes on from a record that was written late or by an ender."""
        state = JobState(
            submission=stored.submission,
            results=stored.results,
            ended=stored.progress.ended,
        )
        job.cancel_tasks()
        job.state = state
        job.progress = stored.progress
        job.version = stored.version
        job.notify()
        self.wake()

    def _lose(self, job: OwnedJob, owner_id: str) -> None:
        job.is_lost = True
        if job.is_unfinished:
            self._released[job.job_id] = job.state
        while len(self._released) > _MAX_RELEASED:
            self._released.pop(next(iter(self._released)))
        job.cancel_tasks()
        job.notify()
        job.flush_needed.set()
        self.jobs.pop(job.job_id, None)
        self._log.decided("job_lost", job_id=job.job_id, owner=owner_id)


def _now_ms(clock: Clock) -> int:
    return math.floor(clock.now().timestamp() * 1000)
