"""Answers callers and peers about batch jobs, whoever runs them."""

import asyncio
import contextlib
import math
from collections.abc import Coroutine
from typing import Any

import msgspec

from endivespindle.batch.carry import TextCopy
from endivespindle.batch.job import page
from endivespindle.batch.ownership import preferred_owner
from endivespindle.batch.progress import JobProgress
from endivespindle.batch.submission import BatchSubmission
from endivespindle.core.clock import Clock
from endivespindle.core.reasons import Reason
from endivespindle.exceptions import (
    ConflictError,
    PeerError,
    PlatformError,
    RefusedError,
)
from endivespindle.runtime.fleet_view import FleetView, NodeRecord
from endivespindle.runtime.job_runner import JobRunner
from endivespindle.runtime.job_store import CreateOutcome, JobStore, StoredJob
from endivespindle.runtime.owned_job import OwnedJob
from endivespindle.runtime.peer_calls import (
    JobAsk,
    JobNews,
    JobRelease,
    JobReply,
    JobTexts,
    PeerCalls,
    ReadState,
)
from endivespindle.runtime.settings import NodeRole
from endivespindle.runtime.telemetry import DecisionLog
from endivespindle.schema.generated.caller import RunState

__all__ = ["JobService"]

# Largest page of results, as the callers' interface bounds it.
_PAGE_BYTES = 1_000_000
# A write whose answer was lost may be done seconds later; its creator looks
# this many times whether it was.
_CREATION_LOOKS = 3
_CREATION_PAUSE_S = 0.25
# Retry-After while the store or the owner of a job cannot be reached.
_RETRY_AFTER_S = 0.5
# Age of the store's last answer up to which the owner says that there is
# nothing more to read: under the time after which all nodes must show what one
# has shown.
_READ_CONFIRM_S = 0.8
# Time for which an owner that did not answer is not asked again; readers would
# wait for it, one after the other.
_SILENT_S = 1.0
# Jobs of other nodes whose owner is remembered.
_MAX_KNOWN = 4096
# Time for which no new job is given to a node that did not take one: about
# as long as the store turns single nodes away.
_AVOID_S = 8.0
# Time in which the store must answer a node that is asked for a job or given
# one; its answer takes some milliseconds, and the node that asks waits 0.7 s.
_ANSWER_CONFIRM_S = 0.6


class JobService:
    """Accepts, reads and ends jobs.

    Args:
        runner: Runs the jobs that this node owns.
        store: Jobs in the store.
        fleet: Nodes known.
        peers: Calls other nodes.
        clock: Clock of this VM.
        log: Where decisions are written.
    """

    __slots__ = (
        "_avoided",
        "_clock",
        "_fleet",
        "_known",
        "_log",
        "_peers",
        "_runner",
        "_store",
        "_taking",
        "_tasks",
        "_unreached",
        "draining",
    )

    def __init__(
        self,
        *,
        runner: JobRunner,
        store: JobStore,
        fleet: FleetView,
        peers: PeerCalls,
        clock: Clock,
        log: DecisionLog,
    ):
        self._runner = runner
        self._store = store
        self._fleet = fleet
        self._peers = peers
        self._clock = clock
        self._log = log
        self._known: dict[str, str] = {}
        self._avoided: dict[str, float] = {}
        self._unreached: dict[str, float] = {}
        self._taking: dict[str, asyncio.Lock] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self.draining = False

    async def submit(self, submission: BatchSubmission) -> None:
        """Accepts a job, once.

        Raises:
            RefusedError: It was not accepted, or nobody knows.
        """
        job_id = submission.job_id
        if job_id in self._runner.jobs or job_id in self._known:
            return
        asked_s = self._clock.monotonic()
        owner = self._choose_owner(submission)
        submission = msgspec.structs.replace(
            submission, first_owner=owner.owner_id
        )
        created = await self._store.create(submission)
        if created is CreateOutcome.UNKNOWN:
            created = await self._settle_creation(submission)
        self._log.decided(
            "job_submitted",
            request_id=job_id,
            items=len(submission.items),
            step=submission.step,
            model=submission.model,
            min_version=submission.min_version,
            owner=owner.name,
            outcome=created.value,
        )
        if created is CreateOutcome.REFUSED:
            raise RefusedError(
                Reason.PLATFORM_UNAVAILABLE, retry_after_s=_RETRY_AFTER_S
            )
        if created is CreateOutcome.UNKNOWN:
            raise RefusedError(Reason.DEADLINE_UNKNOWN, ran=RunState.UNKNOWN)
        if created is CreateOutcome.CREATED:
            self._begin(submission, owner, asked_s)

    async def accept_assignment(self, submission: BatchSubmission) -> bool:
        """Begins to run a job that another node accepted for this one.

        Returns:
            Whether it does; not if it cannot ask the store just now, as the
            message may be seconds old and no result could be listed.
        """
        if self.draining or submission.first_owner != self._runner.owner_id:
            return False
        job = self._runner.jobs.get(submission.job_id)
        if job is None:
            job = self._runner.add(_new_job(submission), asked_s=-math.inf)
        try:
            async with asyncio.timeout(_ANSWER_CONFIRM_S):
                return await self._runner.confirm_ownership(job)
        except TimeoutError:
            return False

    def release(self, release: JobRelease) -> JobTexts:
        """Gives a job up to the node that took it over."""
        texts = self._runner.release(
            release.job_id, owner_id=release.owner_id, version=release.version
        )
        self._remember(release.job_id, release.owner_id)
        return JobTexts(texts=texts)

    async def ask(self, ask: JobAsk) -> JobReply:
        """Answers for a job, from its owner wherever that is.

        Raises:
            RefusedError: Nobody can be sure.
        """
        job = self._runner.jobs.get(ask.job_id)
        if job is not None:
            reply = await self.answer_as_owner(ask)
            if reply.state is ReadState.OK:
                return reply
        tried = ""
        owner = self._fleet.owner(self._known.get(ask.job_id, ""))
        if owner is not None and self._is_reachable(owner):
            tried = owner.owner_id
            reply = await self._ask_peer(owner, ask)
            if reply.state is ReadState.OK:
                return reply
        return await self._from_store(ask, tried)

    async def answer_as_owner(self, ask: JobAsk) -> JobReply:
        """Answers for a job as its owner, if this node is."""
        job = self._runner.jobs.get(ask.job_id)
        if job is None or job.is_lost:
            return JobReply(state=ReadState.NOT_OWNER)
        if ask.end:
            return await self._end(job)
        if ask.item_id:
            return self._reply(job, body=job.state.body(ask.item_id))
        await self._wait_for_result(job, ask)
        # What is listed stays true; that there is no more must be confirmed.
        more = len(job.state.listed) > ask.after
        if not more and not await self._confirm_to_reader(job):
            return JobReply(
                state=ReadState.NOT_OWNER if job.is_lost else ReadState.UNSURE
            )
        results = page(job.state.listed, after=ask.after, max_bytes=_PAGE_BYTES)
        reply = self._reply(job)
        reply.results = list(results)
        return reply

    async def _confirm_to_reader(self, job: OwnedJob) -> bool:
        """Confirms a job in the time for which a reader's node waits."""
        try:
            async with asyncio.timeout(_ANSWER_CONFIRM_S):
                return await self._runner.confirm_ownership(
                    job, max_age_s=_READ_CONFIRM_S
                )
        except TimeoutError:
            return False

    def apply_owner_update(self, news: JobNews) -> None:
        """Takes in who runs a job; takes it over if asked to."""
        self._remember(news.job_id, news.owner_id)
        if news.adopt:
            self._spawn(self._adopt(news))

    async def hand_over_all(self) -> None:
        """Gives every open job to a peer, before this node goes."""
        peers = self._fleet.peers(NodeRole.GATEWAY)
        jobs = [job for job in self._runner.jobs.values() if job.is_open]
        if not peers:
            return
        for place, job in enumerate(jobs):
            peer = peers[place % len(peers)]
            try:
                await self._runner.hand_over(job, peer.owner_id)
            except PlatformError as exc:
                self._log.state(
                    "job_not_handed_over", job_id=job.job_id, error=str(exc)
                )
                continue
            self._remember(job.job_id, peer.owner_id)
            news = JobNews(
                job_id=job.job_id,
                owner_id=peer.owner_id,
                adopt=True,
                owner_before=self._runner.owner_id,
            )
            with contextlib.suppress(PeerError):
                # The peer takes it over when it is first asked for it.
                await self._peers.post(peer, "/jobs/news", news)

    def _choose_owner(self, submission: BatchSubmission) -> NodeRecord:
        """Returns the node that is to run a new job."""
        me = self._fleet.me
        now_s = self._clock.monotonic()
        nodes = {
            node.name: node
            for node in self._fleet.peers(NodeRole.GATEWAY)
            if self._avoided.get(node.owner_id, 0.0) <= now_s
        }
        nodes[me.name] = me
        cpu = {name: node.cpu for name, node in nodes.items()}
        return nodes[preferred_owner(submission, cpu, default=me.name)]

    def _begin(
        self, submission: BatchSubmission, owner: NodeRecord, asked_s: float
    ) -> None:
        """Has an accepted job run, and tells the peers where."""
        if owner.owner_id == self._runner.owner_id:
            self._runner.add(_new_job(submission), asked_s=asked_s)
        else:
            self._remember(submission.job_id, owner.owner_id)
            self._spawn(self._assign(submission, owner))
        news = JobNews(job_id=submission.job_id, owner_id=owner.owner_id)
        for peer in self._fleet.peers(NodeRole.GATEWAY):
            if peer.owner_id != owner.owner_id:
                self._spawn(self._tell(peer, news))

    async def _assign(
        self, submission: BatchSubmission, owner: NodeRecord
    ) -> None:
        """Gives a new job to its owner, or runs it here."""
        try:
            await self._peers.post(owner, "/jobs/assign", submission)
        except PeerError as exc:
            now_s = self._clock.monotonic()
            self._avoided[owner.owner_id] = now_s + _AVOID_S
            self._unreached[owner.owner_id] = now_s
            self._log.decided(
                "job_not_assigned",
                job_id=submission.job_id,
                owner=owner.name,
                error=str(exc),
            )
            await self._take_over(
                _new_job(submission), asked_s=self._clock.monotonic()
            )

    async def _tell(self, peer: NodeRecord, news: JobNews) -> None:
        with contextlib.suppress(PeerError):
            # A peer that was not told looks into the store.
            await self._peers.post(peer, "/jobs/news", news)

    async def _settle_creation(self, submission: BatchSubmission) -> CreateOutcome:
        """Looks whether a write whose answer was lost took effect."""
        for _ in range(_CREATION_LOOKS):
            try:
                if await self._store.load(submission.job_id) is not None:
                    return CreateOutcome.CREATED
            except PlatformError as exc:
                self._log.decided(
                    "creation_in_doubt",
                    request_id=submission.job_id,
                    error=str(exc),
                )
            await asyncio.sleep(_CREATION_PAUSE_S)
        return CreateOutcome.UNKNOWN

    async def _ask_peer(self, owner: NodeRecord, ask: JobAsk) -> JobReply:
        try:
            return await self._peers.ask(owner, ask)
        except PeerError as exc:
            self._unreached[owner.owner_id] = self._clock.monotonic()
            self._log.decided(
                "job_owner_unreached",
                job_id=ask.job_id,
                owner=owner.name,
                error=str(exc),
            )
            return JobReply(state=ReadState.NOT_OWNER)

    async def _from_store(self, ask: JobAsk, tried: str) -> JobReply:
        """Looks a job up, then asks its owner or becomes it.

        Args:
            ask: What is asked.
            tried: Owner that did not answer this very call.
        """
        asked_s = self._clock.monotonic()
        try:
            stored = await self._store.load(ask.job_id)
        except PlatformError as exc:
            raise _unsure() from exc
        if stored is None:
            return JobReply(state=ReadState.MISSING)
        owner_id = stored.progress.owner
        self._remember(ask.job_id, owner_id)
        owner = self._fleet.owner(owner_id)
        if (
            owner is not None
            and owner_id not in (tried, self._runner.owner_id)
            and self._is_reachable(owner)
        ):
            reply = await self._ask_peer(owner, ask)
            if reply.state is ReadState.OK:
                return reply
        if not await self._take_over(stored, asked_s=asked_s):
            raise _unsure()
        reply = await self.answer_as_owner(ask)
        if reply.state is not ReadState.OK:
            raise _unsure()
        return reply

    def _is_reachable(self, owner: NodeRecord) -> bool:
        """Tells whether an owner has not just left a call unanswered."""
        silent_s = self._unreached.get(owner.owner_id, -math.inf)
        return self._clock.monotonic() - silent_s >= _SILENT_S

    async def _adopt(self, news: JobNews) -> None:
        asked_s = self._clock.monotonic()
        try:
            stored = await self._store.load(news.job_id)
            if stored is not None:
                await self._take_over(
                    stored, asked_s=asked_s, owner_before=news.owner_before
                )
        except PlatformError as exc:
            self._log.state(
                "job_not_adopted", job_id=news.job_id, error=str(exc)
            )

    async def _take_over(
        self, stored: StoredJob, *, asked_s: float, owner_before: str = ""
    ) -> bool:
        """Becomes the owner of a job; tells whether this node is now.

        Args:
            stored: The job as the store holds it.
            asked_s: When the store was asked for it.
            owner_before: Node that ran it, if the record says no more.
        """
        job_id = stored.submission.job_id
        lock = self._taking.setdefault(job_id, asyncio.Lock())
        try:
            async with lock:
                return await self._become_owner(stored, asked_s, owner_before)
        finally:
            if not lock.locked():
                self._taking.pop(job_id, None)

    async def _become_owner(
        self, stored: StoredJob, asked_s: float, owner_before: str
    ) -> bool:
        job_id = stored.submission.job_id
        if job_id in self._runner.jobs:
            return True
        if self.draining:
            return False
        old = stored.progress.owner
        if old != self._runner.owner_id:
            progress = msgspec.structs.replace(
                stored.progress, owner=self._runner.owner_id
            )
            asked_s = self._clock.monotonic()
            try:
                progress, version = await self._store.save(
                    job_id, progress, version=stored.version
                )
            except PlatformError as exc:
                self._log.decided(
                    "job_not_taken_over", job_id=job_id, error=str(exc)
                )
                return False
            stored = msgspec.structs.replace(
                stored, progress=progress, version=version
            )
        texts = await self._texts_of(owner_before or old, stored)
        self._log.decided(
            "job_taken_over",
            job_id=job_id,
            owner_before=owner_before or old,
            listed=len(stored.results),
            texts=len(texts),
            version=stored.version,
        )
        self._runner.add(stored, asked_s=asked_s, texts=texts)
        return True

    async def _texts_of(
        self, owner_id: str, stored: StoredJob
    ) -> list[TextCopy]:
        """Returns what the owner before has, if it still runs and answers."""
        owner = self._fleet.owner(owner_id)
        if (
            owner is None
            or owner_id == self._runner.owner_id
            or not self._is_reachable(owner)
        ):
            return []
        release = JobRelease(
            job_id=stored.submission.job_id,
            owner_id=self._runner.owner_id,
            version=stored.version,
        )
        try:
            return await self._peers.release(owner, release)
        except PeerError as exc:
            self._unreached[owner_id] = self._clock.monotonic()
            self._log.decided(
                "texts_not_released",
                job_id=release.job_id,
                owner=owner.name,
                error=str(exc),
            )
            return []

    async def _end(self, job: OwnedJob) -> JobReply:
        for _ in range(3):
            try:
                await self._runner.end(job)
            except ConflictError:
                if job.is_lost:
                    return JobReply(state=ReadState.NOT_OWNER)
            except PlatformError:
                return JobReply(state=ReadState.UNSURE)
            if job.state.ended:
                return self._reply(job)
        return JobReply(state=ReadState.UNSURE)

    async def _wait_for_result(self, job: OwnedJob, ask: JobAsk) -> None:
        deadline_s = self._clock.monotonic() + ask.wait_s
        while len(job.state.listed) <= ask.after and job.is_open:
            left_s = deadline_s - self._clock.monotonic()
            if left_s <= 0:
                return
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(job.changed.wait(), left_s)

    def _reply(self, job: OwnedJob, *, body: bytes | None = None) -> JobReply:
        return JobReply(
            state=ReadState.OK,
            client_account=job.state.submission.client_account,
            total=job.state.total,
            body=body,
        )

    def _remember(self, job_id: str, owner_id: str) -> None:
        self._known.pop(job_id, None)
        self._known[job_id] = owner_id
        if len(self._known) > _MAX_KNOWN:
            self._known.pop(next(iter(self._known)))

    def _spawn(self, coro: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _new_job(submission: BatchSubmission) -> StoredJob:
    """Returns a job that has no record of its progress yet."""
    return StoredJob(
        submission=submission,
        progress=JobProgress(owner=submission.first_owner),
        results=[],
        version=0,
    )


def _unsure() -> RefusedError:
    return RefusedError(
        Reason.PLATFORM_UNAVAILABLE, retry_after_s=_RETRY_AFTER_S
    )
