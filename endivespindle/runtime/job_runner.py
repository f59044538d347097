"""Runs the batch jobs that this node owns."""

import asyncio
import contextlib
import math
import random
from collections.abc import AsyncIterator, Coroutine
from typing import Any

import msgspec

from endivespindle.batch.carry import CarriedTexts
from endivespindle.batch.job import ItemPhase, ItemState, JobState
from endivespindle.batch.listing import listing_delay
from endivespindle.batch.pace import best_pace, should_move
from endivespindle.batch.progress import JobProgress
from endivespindle.batch.schedule import hint_events, place_items
from endivespindle.core.clock import Clock
from endivespindle.core.reasons import Reason, RetryReason
from endivespindle.exceptions import (
    BackendServerError,
    ConflictError,
    PlatformError,
    RefusedError,
)
from endivespindle.runtime.forwarding import (
    Forwarder,
    ForwardPlan,
    open_attempt,
)
from endivespindle.runtime.job_store import JobStore, StoredJob
from endivespindle.runtime.telemetry import DecisionLog, NodeMetrics
from endivespindle.schema.generated.caller import RunState
from endivespindle.serving.calls import (
    Answer,
    ServerApi,
    ServerCall,
    StreamEvent,
)
from endivespindle.serving.directory import ServerDirectory, ServerView
from endivespindle.serving.in_force import ConfigInForce

__all__ = ["JobRunner", "OwnedJob"]

# Pause after a write of results failed.
_FLUSH_RETRY_S = 0.3
# Age of the last answer of the store beyond which the owner asks it again
# before it starts an item: half of the time in which an ended job's items may
# still start.
_ITEM_CONFIRM_S = 1.5
# While items wait, places are looked for at least this often, as loads told
# by answers lose their weight with time.
_LOOK_INTERVAL_S = 0.1
# Pauses before an item is sent again.
_BUSY_PAUSE_S = 0.1
_LOADING_PAUSE_S = 0.15
_FAILED_PAUSE_S = 0.05
# A stream that says nothing for this long comes from a server that fell
# silent: far over the pause of a weight change.
_SILENCE_S = 3.0
# Weight of the newest gap between two events in a text's moving average.
_PACE_SMOOTHING = 0.3
# Deadline of one attempt at a reward call, and pause between two.
_REWARD_DEADLINE_S = 2.0
_REWARD_PAUSE_S = 0.2
_REJECTED = 422
_SERVER_FAILED = 500


class OwnedJob:
    """A job that this node runs.

    Attributes:
        state: Its items and results.
        progress: The record as last written or read.
        version: Version of that record.
        confirmed_s: When the store was last asked and agreed.
        changed: Set whenever results were listed or the job ended.
        lost: Whether another node took it over.
    """

    __slots__ = (
        "changed",
        "confirmed_s",
        "fresh",
        "lock",
        "lost",
        "progress",
        "state",
        "tasks",
        "version",
    )

    def __init__(self, *, stored: StoredJob, confirmed_s: float):
        self.state = JobState(
            submission=stored.submission,
            results=stored.results,
            ended=stored.progress.ended,
        )
        self.progress: JobProgress = stored.progress
        self.version = stored.version
        self.confirmed_s = confirmed_s
        self.changed = asyncio.Event()
        self.fresh = asyncio.Event()
        self.lock = asyncio.Lock()
        self.lost = False
        self.tasks: set[asyncio.Task[None]] = set()

    @property
    def job_id(self) -> str:
        """Identity of the job."""
        return self.state.submission.job_id

    @property
    def is_open(self) -> bool:
        """Tells whether items may still be run."""
        return not (self.lost or self.state.ended or self.state.is_complete)

    def notify(self) -> None:
        """Wakes those who wait for a change."""
        self.changed.set()
        self.changed = asyncio.Event()

    def cancel_items(self) -> None:
        """Stops everything that runs for it."""
        for task in self.tasks:
            task.cancel()


class _Pace:
    """Seconds between the events of one answer, as of late."""

    __slots__ = ("_clock", "_last_s", "average_s", "events")

    def __init__(self, *, clock: Clock):
        self._clock = clock
        self._last_s = clock.monotonic()
        self.average_s = 0.0
        self.events = 0

    def event(self) -> float:
        """Counts an event; returns the seconds since the one before."""
        now_s = self._clock.monotonic()
        gap_s = now_s - self._last_s
        self._last_s = now_s
        self.events += 1
        if self.events > 1:
            known = self.average_s or gap_s
            self.average_s = known + _PACE_SMOOTHING * (gap_s - known)
        return gap_s


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
        "_api",
        "_carried",
        "_clock",
        "_config",
        "_data_centre",
        "_directory",
        "_forwarder",
        "_log",
        "_metrics",
        "_rng",
        "_store",
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
        self._api = api
        self._forwarder = forwarder
        self._directory = directory
        self._config = config
        self._clock = clock
        self._rng = rng
        self._data_centre = data_centre
        self._log = log
        self._metrics = metrics
        self._wake = asyncio.Event()
        self._carried = CarriedTexts(clock=clock)
        self.owner_id = owner_id
        self.jobs: dict[str, OwnedJob] = {}

    async def expire(self, *, kept_s: float) -> None:
        """Removes jobs that are over and need not be kept any longer.

        Args:
            kept_s: Seconds after its submission for which a job is kept.
        """
        oldest_ms = _now_ms(self._clock) - kept_s * 1000
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

    def add(self, stored: StoredJob, *, asked_s: float) -> OwnedJob:
        """Begins to run a job that this node owns."""
        job = OwnedJob(stored=stored, confirmed_s=asked_s)
        self._set_engine(job)
        carried = self._carried.fill(job.state)
        if carried:
            self._log.decided("texts_carried", job_id=job.job_id, texts=carried)
        self.jobs[job.job_id] = job
        if job.is_open:
            asyncio.create_task(self._flush_results(job))
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

    def wanted(self) -> dict[str, int]:
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

    async def confirm(
        self, job: OwnedJob, *, max_age_s: float = _ITEM_CONFIRM_S
    ) -> bool:
        """Makes sure that this node still owns a job.

        Args:
            job: The job.
            max_age_s: Age of the store's last answer that is still enough.

        Returns:
            Whether the store confirmed it a moment ago.
        """
        if job.state.is_complete and not job.lost:
            return True
        if self._age_s(job) <= max_age_s:
            return not job.lost
        async with job.lock:
            if self._age_s(job) <= max_age_s:
                return not job.lost
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
        now_ms = _now_ms(self._clock)
        now_s = self._clock.monotonic()
        for job in open_jobs:
            for state in job.state.waiting():
                if job.state.is_over(state, now_ms=now_ms):
                    self._give_up(job, state, "max_wait")
        for job in open_jobs:
            for state in job.state.waiting():
                if state.is_whole and state.not_before_s <= now_s:
                    state.phase = ItemPhase.SCORING
                    self._start(job, self._score_again(job, state))
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
            self._start(job, self._run_item(job, state, placement.server))
        return any(job.state.waiting() for job in open_jobs)

    def _start(self, job: OwnedJob, coro: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coro)
        job.tasks.add(task)
        task.add_done_callback(job.tasks.discard)

    def _runs(self, job: OwnedJob, state: ItemState) -> bool:
        """Tells whether an item still belongs to an open job of this node."""
        return job.is_open and job.state.items.get(state.item.item_id) is state

    async def _score_again(self, job: OwnedJob, state: ItemState) -> None:
        """Lists an item whose text was whole before its job began."""
        try:
            await self._score(job, state)
        finally:
            if state.phase is ItemPhase.SCORING:
                state.phase = ItemPhase.WAITING
            self.wake()

    async def _run_item(
        self, job: OwnedJob, state: ItemState, view: ServerView
    ) -> None:
        """Generates an item's text, or a part of it, then its score."""
        try:
            if not await self.confirm(job):
                state.not_before_s = self._clock.monotonic() + _FAILED_PAUSE_S
                return
            if not self._runs(job, state):
                # The store told that the job was ended or has moved on.
                return
            await self._generate(job, state, view)
            if state.phase is ItemPhase.SCORING:
                await self._score(job, state)
        finally:
            if state.phase in (ItemPhase.GENERATING, ItemPhase.SCORING):
                state.phase = ItemPhase.WAITING
            self.wake()

    async def _generate(
        self, job: OwnedJob, state: ItemState, view: ServerView
    ) -> None:
        sub = job.state.submission
        if sub.single_version and state.versions != [
            view.versions.get(sub.model, 0)
        ]:
            state.forget_text()
        call = ServerCall(
            request_id=state.item.item_id,
            method="POST",
            target=state.item.path,
            host=sub.host,
            headers=list(state.item.headers.items()),
            body=state.item.body,
            client_account=sub.client_account,
            last_event_id=str(len(state.pieces)) if state.pieces else None,
        )
        begun_s = self._clock.monotonic()
        try:
            async with open_attempt(
                self._api, view, call, clock=self._clock, timeout_s=None
            ) as answer:
                outcome = await self._receive(job, state, view, answer)
        except BackendServerError as exc:
            outcome = exc.reason.code
            self._metrics.retried(RetryReason.RESUME)
        self._log.decided(
            "item_attempt",
            request_id=state.item.item_id,
            job_id=job.job_id,
            server=view.entry.name,
            events=len(state.pieces),
            versions=state.versions,
            load=round(view.load(), 1),
            seconds=round(self._clock.monotonic() - begun_s, 3),
            outcome=outcome,
        )
        if outcome == "whole":
            state.is_whole = True
            state.phase = ItemPhase.SCORING
        else:
            rest_s = self._clock.monotonic() + _FAILED_PAUSE_S
            state.not_before_s = max(state.not_before_s, rest_s)

    async def _receive(
        self,
        job: OwnedJob,
        state: ItemState,
        view: ServerView,
        answer: Answer,
    ) -> str:
        """Reads an answer; returns how it ended."""
        head = answer.head
        sub = job.state.submission
        if head.not_run:
            view.hold_model(sub.model, _LOADING_PAUSE_S)
            state.not_before_s = self._clock.monotonic() + _BUSY_PAUSE_S
            await answer.read()
            return "not_run"
        if head.status != 200:
            await answer.read()
            return self._failed(job, state, head.status)
        version = head.weight_version or 0
        if sub.model:
            view.answered_with(sub.model, version)
        if version < sub.min_version:
            return "stale_version"
        return await self._take_events(job, state, view, answer, version)

    async def _take_events(
        self,
        job: OwnedJob,
        state: ItemState,
        view: ServerView,
        answer: Answer,
        version: int,
    ) -> str:
        """Reads a text's events; returns how they ended."""
        sub = job.state.submission
        pace = _Pace(clock=self._clock)
        async for event in _unless_silent(answer):
            if event.weight_version is not None:
                version = event.weight_version
                view.answered_with(sub.model, version)
            if version < sub.min_version:
                # An order that was carried out late took old weights back.
                return "stale_version"
            if sub.single_version and state.versions not in ([], [version]):
                state.forget_text()
                return "version_changed"
            if not state.take(event, version):
                state.forget_text()
                return "out_of_order"
            gap_s = pace.event()
            if pace.events > 1:
                # The first event follows the prompt, not another event.
                view.saw_event(gap_s)
            if self._should_move(job, state, view, pace):
                self._metrics.retried(RetryReason.SERVER_SLOW)
                return "moved"
        return "whole" if state.pieces else "empty"

    def _should_move(
        self, job: OwnedJob, state: ItemState, view: ServerView, pace: _Pace
    ) -> bool:
        """Tells whether a text should go on at a faster server."""
        sub = job.state.submission
        if sub.single_version:
            return False
        others = [
            other
            for other in self._directory.open_servers(sub.service)
            if other is not view
            and not other.is_paused()
            and other.takes_model(sub.model)
            and other.versions.get(sub.model, 0) >= sub.min_version
            and other.load() < other.entry.slots
        ]
        return bool(others) and should_move(
            pace_s=pace.average_s,
            best_s=best_pace(others),
            done=pace.events,
            rest=hint_events(job.state, state),
        )

    def _failed(self, job: OwnedJob, state: ItemState, status: int) -> str:
        """Takes in an answer that is a failure."""
        if status == _REJECTED:
            self._give_up(job, state, "rejected")
            return "rejected"
        if status == _SERVER_FAILED:
            state.failures += 1
            if not job.state.may_fail_again(state):
                self._give_up(job, state, "failed")
        return f"status_{status}"

    def _give_up(self, job: OwnedJob, state: ItemState, reason: str) -> None:
        job.state.terminated(state)
        job.fresh.set()
        self._log.decided(
            "item_terminated",
            request_id=state.item.item_id,
            job_id=job.job_id,
            reason=reason,
            failures=state.failures,
            reward_failures=state.reward_failures,
        )

    async def _score(self, job: OwnedJob, state: ItemState) -> None:
        """Makes the reward call until it is answered, then lists the item."""
        score = ""
        reward = state.item.score
        while reward is not None and not score:
            if not await self.confirm(job) or not self._runs(job, state):
                # The text stays; another look follows once the store answers.
                state.not_before_s = self._clock.monotonic() + _REWARD_PAUSE_S
                return
            route = self._config.route(host=reward.host, path=reward.path)
            if route is None:
                self._give_up(job, state, "reward_route_gone")
                return
            call = ServerCall(
                request_id=reward.call_id,
                method="POST",
                target=reward.path,
                host=reward.host,
                headers=(),
                body=reward.body,
            )
            plan = ForwardPlan(
                service=self._config.choose_service(route, self._rng),
                may_repeat=True,
                max_attempts=1,
                target_latency_s=route.target_latency_s,
                deadline_s=self._clock.monotonic() + _REWARD_DEADLINE_S,
            )
            try:
                answer = await self._forwarder.forward(call, plan)
            except RefusedError as exc:
                await asyncio.sleep(
                    max(_REWARD_PAUSE_S, exc.retry_after_s or 0.0)
                )
            else:
                if 200 <= answer.head.status < 300:
                    score = answer.head.signature
                    break
                state.reward_failures += answer.head.status == _SERVER_FAILED
                bound = max(
                    job.state.submission.max_attempts, route.max_attempts
                )
                if state.reward_failures >= bound:
                    self._give_up(job, state, "reward_failed")
                    return
                await asyncio.sleep(_REWARD_PAUSE_S)
            if job.state.is_over(state, now_ms=_now_ms(self._clock)):
                self._give_up(job, state, "max_wait")
                return
        job.state.completed(state, score=score)
        job.fresh.set()

    async def _flush_results(self, job: OwnedJob) -> None:
        """Lists what is finished, several results with each write."""
        while job.is_open:
            await job.fresh.wait()
            begun_s = self._clock.monotonic()
            while job.is_open:
                delay_s = listing_delay(job.state, now_ms=_now_ms(self._clock))
                left_s = begun_s + delay_s - self._clock.monotonic()
                if left_s <= 0:
                    break
                job.fresh.clear()
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(job.fresh.wait(), left_s)
            job.fresh.clear()
            if not job.is_open:
                return
            try:
                async with job.lock:
                    await self._save(job)
            except PlatformError as exc:
                self._log.decided(
                    "results_not_listed", job_id=job.job_id, error=str(exc)
                )
                job.fresh.set()
                await asyncio.sleep(_FLUSH_RETRY_S)

    async def _save(
        self, job: OwnedJob, *, ended: bool = False, owner: str | None = None
    ) -> None:
        """Writes the record with what is fresh; the lock must be held."""
        if job.lost:
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
            job.cancel_items()
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
        job.cancel_items()
        job.state = state
        self._set_engine(job)
        job.progress = stored.progress
        job.version = stored.version
        job.notify()
        self.wake()

    def _lose(self, job: OwnedJob, owner_id: str) -> None:
        job.lost = True
        job.cancel_items()
        job.notify()
        job.fresh.set()
        self.jobs.pop(job.job_id, None)
        self._log.decided("job_lost", job_id=job.job_id, owner=owner_id)


async def _unless_silent(answer: Answer) -> AsyncIterator[StreamEvent]:
    """Yields events; a server that falls silent counts as lost."""
    events = answer.events()
    while True:
        try:
            async with asyncio.timeout(_SILENCE_S):
                event = await anext(events)
        except StopAsyncIteration:
            return
        except TimeoutError as exc:
            raise _silent() from exc
        yield event


def _silent() -> BackendServerError:
    return BackendServerError(
        "the server fell silent",
        ran=RunState.UNKNOWN,
        reason=Reason.BACKEND_LOST,
    )


def _now_ms(clock: Clock) -> int:
    return math.floor(clock.now().timestamp() * 1000)
