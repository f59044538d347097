"""Accepts, reads and ends batch jobs, whichever node owns them."""

import asyncio
import contextlib
import math
from collections.abc import Callable, Collection, Coroutine
from typing import Any

import msgspec

from endivespindle.batch.job_calls import may_access_job
from endivespindle.batch.ownership import preferred_owner
from endivespindle.batch.partial_completions import ItemSnapshot
from endivespindle.batch.progress import ItemResult, JobProgress
from endivespindle.batch.submission import BatchSubmission, item_places
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
from endivespindle.runtime.job_store import (
    CreateOutcome,
    JobHead,
    JobStore,
    StoredJob,
)
from endivespindle.runtime.owned_job import OwnedJob
from endivespindle.runtime.peer_client import (
    ItemSnapshots,
    JobOwnerUpdate,
    JobRelease,
    JobReply,
    JobReplyStatus,
    JobRequest,
    PeerClient,
)
from endivespindle.runtime.settings import NodeRole
from endivespindle.runtime.telemetry import EventLog
from endivespindle.schema.generated.caller import RunState

__all__ = ["JobService"]

# Size limit of a page of results, set by the callers' interface.
_PAGE_BYTES = 1_000_000
# A write whose response was lost may still be applied seconds later, so the
# creating node reads the job this many times, with this pause after each read.
_CREATION_CHECKS = 3
_CREATION_PAUSE_S = 0.25
# Interval at which the store is asked for the record of a prepared job: a third
# of the 3 s in which items of an ended job may still start.
_PREPARED_CHECK_INTERVAL_S = 1.0
# Retry-After while the store or the owner of a job cannot be reached.
_RETRY_AFTER_S = 0.5
# Age of the last ownership confirmation up to which the owner may report that
# there are no further results: less than the time after which all nodes must
# show a result that one node has shown.
_MAX_READ_CONFIRMATION_AGE_S = 0.8
# Time for which an owner that did not respond is not called again; otherwise
# each reader in turn would wait for its timeout.
_UNREACHABLE_S = 1.0
# Jobs of other nodes whose owner is cached.
_MAX_CACHED_OWNERS = 4096
# Time for which a node that did not accept a job is assigned no new one: about
# as long as the store rejects the calls of single nodes.
_ASSIGN_BACKOFF_S = 8.0
# Timeout for confirming ownership with the store while a peer waits for the
# response, which it does for 0.7 s. The store responds in a few milliseconds.
_CONFIRM_TIMEOUT_S = 0.6


class JobService:
    """Accepts, reads and ends batch jobs.

    Requests for a job are answered by its owner. If the owner does not
    respond, the node that needs the response takes the job over.

    Args:
        runner: Runs the jobs owned by this node.
        store: Reads and writes jobs in the platform's store.
        fleet: Known nodes.
        peers: Client for other nodes.
        clock: Clock of this VM.
        log: Decision log.
        reaching: Returns the names of the nodes that are known to reach the
            servers of a service while this one does not; empty if this node
            does.

    Attributes:
        draining: Whether this node is shutting down and accepts no more jobs.
    """

    __slots__ = (
        "_clock",
        "_fleet",
        "_last_failure_s",
        "_log",
        "_no_assignment_until_s",
        "_owner_ids",
        "_peers",
        "_reaching",
        "_runner",
        "_store",
        "_takeover_locks",
        "_tasks",
        "draining",
    )

    def __init__(
        self,
        *,
        runner: JobRunner,
        store: JobStore,
        fleet: FleetView,
        peers: PeerClient,
        clock: Clock,
        log: EventLog,
        reaching: Callable[[str], Collection[str]] = lambda service: (),
    ):
        self._reaching = reaching
        self._runner = runner
        self._store = store
        self._fleet = fleet
        self._peers = peers
        self._clock = clock
        self._log = log
        self._owner_ids: dict[str, str] = {}
        self._no_assignment_until_s: dict[str, float] = {}
        self._last_failure_s: dict[str, float] = {}
        self._takeover_locks: dict[str, asyncio.Lock] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self.draining = False

    async def submit(self, submission: BatchSubmission) -> None:
        """Accepts a job; does nothing if it was accepted before.

        Raises:
            RefusedError: The job was not accepted, or the outcome of its
                creation is unknown.
        """
        job_id = submission.job_id
        if job_id in self._runner.jobs or job_id in self._owner_ids:
            return
        asked_s = self._clock.monotonic()
        owner = self._choose_owner(submission)
        submission = msgspec.structs.replace(
            submission, first_owner=owner.owner_id
        )
        outcome = await self._store.create(submission)
        if outcome is CreateOutcome.UNKNOWN:
            self._spawn(self._prepare(submission, owner))
            outcome = await self._resolve_creation(submission)
        self._log.event(
            "job_submitted",
            request_id=job_id,
            items=len(submission.items),
            step=submission.step,
            model=submission.model,
            min_version=submission.min_version,
            owner=owner.name,
            outcome=outcome.value,
        )
        if outcome is CreateOutcome.REFUSED:
            raise RefusedError(
                Reason.PLATFORM_UNAVAILABLE, retry_after_s=_RETRY_AFTER_S
            )
        if outcome is CreateOutcome.UNKNOWN:
            raise RefusedError(Reason.DEADLINE_UNKNOWN, ran=RunState.UNKNOWN)
        if outcome is CreateOutcome.CREATED:
            self._start_job(submission, owner, asked_s)

    def accept_preparation(self, submission: BatchSubmission) -> None:
        """Generates the completions of a job whose creation is unknown."""
        if not self.draining and self._runner.prepare(_new_job(submission)):
            self._spawn(self._resolve_prepared(submission.job_id))

    async def _resolve_prepared(self, job_id: str) -> None:
        """Reads a prepared job from the store until its state is known.

        Load pattern: the store creates a job seconds after the submitting node
        has given up. The job may then be accepted, taken over and ended at
        other nodes while this one does not respond to them.

        Args:
            job_id: ID of the job.
        """
        while self._runner.is_prepared(job_id):
            asked_s = self._clock.monotonic()
            try:
                head = await self._store.find(job_id)
            except PlatformError:
                head = None
            if not self._runner.is_prepared(job_id):
                return
            if head is not None:
                owner_id = head.progress.owner
                self._cache_owner(job_id, owner_id)
                if owner_id == self._runner.owner_id:
                    await self._take_over(head, asked_s=asked_s)
                # Does nothing if the job is owned by this node now.
                self._runner.drop_prepared(job_id)
                return
            await asyncio.sleep(_PREPARED_CHECK_INTERVAL_S)

    async def accept_assignment(self, submission: BatchSubmission) -> bool:
        """Starts running a job that another node assigned to this one.

        Returns:
            Whether this node runs the job. It does not if the store cannot
            confirm its ownership now: the assignment may be seconds old, and
            no result could be committed. Nor does it while only other nodes
            reach the servers.
        """
        if self.draining or submission.first_owner != self._runner.owner_id:
            return False
        if self._reaching(submission.service):
            return False
        job = self._runner.jobs.get(submission.job_id)
        if job is None:
            job = self._runner.add(_new_job(submission), asked_s=-math.inf)
        try:
            async with asyncio.timeout(_CONFIRM_TIMEOUT_S):
                return await self._runner.confirm_ownership(job)
        except TimeoutError:
            return False

    def release(self, release: JobRelease) -> ItemSnapshots:
        """Releases a job to the node that took it over."""
        snapshots = self._runner.release(
            release.job_id, owner_id=release.owner_id, version=release.version
        )
        self._cache_owner(release.job_id, release.owner_id)
        return ItemSnapshots(texts=snapshots)

    async def query(self, req: JobRequest) -> JobReply:
        """Reads or ends a job, at its owner or after taking it over.

        Returns:
            The reply; only the client account of the job, and nothing is done,
            if that is not the caller's.

        Raises:
            RefusedError: Neither the store nor an owner could confirm the
                state of the job.
        """
        job = self._runner.jobs.get(req.job_id)
        if job is not None:
            reply = await self.answer_as_owner(req)
            if reply.state is JobReplyStatus.OK:
                return reply
        unsure = ""
        owner = self._fleet.find_owner(self._owner_ids.get(req.job_id, ""))
        if owner is not None and self._is_reachable(owner):
            reply = await self._query_peer(owner, req)
            if reply.state is JobReplyStatus.OK:
                return reply
            if reply.state is JobReplyStatus.UNSURE:
                unsure = owner.owner_id
        return await self._query_stored_owner(req, unsure)

    async def answer_as_owner(self, req: JobRequest) -> JobReply:
        """Reads or ends a job if this node owns it and the caller may."""
        job = self._runner.jobs.get(req.job_id)
        if job is None and req.stored_owner == self._runner.owner_id:
            job = await self._adopt(req.job_id)
        if job is None or job.is_lost:
            return JobReply(state=JobReplyStatus.NOT_OWNER)
        if not _may_access(job.state.submission, req):
            return _foreign_reply(job.state.submission)
        if req.end:
            return await self._end(job)
        if req.item_id:
            return await self._read_body(job, req.item_id)
        await self._wait_for_result(job, req)
        # Committed results never change, but the absence of further results
        # must be confirmed.
        has_more = len(job.state.committed) > req.after
        if not has_more and not await self._confirm_for_read(job):
            return JobReply(
                state=JobReplyStatus.NOT_OWNER
                if job.is_lost
                else JobReplyStatus.UNSURE
            )
        results = await self._read_results(job, req.after)
        if results is None:
            return JobReply(state=JobReplyStatus.UNSURE)
        reply = self._reply(job)
        reply.results = results
        return reply

    async def _read_results(
        self, job: OwnedJob, after: int
    ) -> list[ItemResult] | None:
        """Returns a page of committed results; None if it cannot be read."""
        try:
            async with asyncio.timeout(_CONFIRM_TIMEOUT_S):
                progress = job.progress
                if job.is_record_released:
                    results = await self._store.read_record_results(
                        job.state.submission, version=job.version
                    )
                    progress = msgspec.structs.replace(
                        progress, results=tuple(results)
                    )
                return await self._store.read_results(
                    progress,
                    committed=len(job.state.committed),
                    after=after,
                    max_bytes=_PAGE_BYTES,
                )
        except (PlatformError, TimeoutError) as exc:
            self._log.event(
                "results_not_read",
                job_id=job.job_id,
                after=after,
                error=repr(exc),
            )
            return None

    async def _read_body(self, job: OwnedJob, item_id: str) -> JobReply:
        """Returns the reply with the request body of an item."""
        body = job.state.body(item_id)
        if job.state.is_released:
            try:
                async with asyncio.timeout(_CONFIRM_TIMEOUT_S):
                    stored = await self._store.load(job.job_id)
            except (PlatformError, TimeoutError):
                return JobReply(state=JobReplyStatus.UNSURE)
            items = stored.submission.items if stored is not None else []
            body = next((i.body for i in items if i.item_id == item_id), None)
        return self._reply(job, body=body)

    async def _confirm_for_read(self, job: OwnedJob) -> bool:
        """Confirms ownership within the time that a peer waits for a read."""
        try:
            async with asyncio.timeout(_CONFIRM_TIMEOUT_S):
                return await self._runner.confirm_ownership(
                    job, max_age_s=_MAX_READ_CONFIRMATION_AGE_S
                )
        except TimeoutError:
            return False

    def apply_owner_update(self, update: JobOwnerUpdate) -> None:
        """Records the owner of a job; takes the job over if requested."""
        self._cache_owner(update.job_id, update.owner_id)
        if update.adopt:
            self._spawn(self._handle_handover(update))

    async def hand_over_all(self) -> None:
        """Hands every open job over to a peer before this node shuts down."""
        peers = self._fleet.peers(NodeRole.GATEWAY)
        jobs = [job for job in self._runner.jobs.values() if job.is_open]
        if not peers:
            return
        await asyncio.gather(
            *(
                self._hand_over(job, peers[index % len(peers)])
                for index, job in enumerate(jobs)
            )
        )

    async def hand_over_unreached(self) -> None:
        """Hands over open jobs whose servers only other nodes reach.

        Load pattern: the owner of a step of some hundred items is cut off from
        the servers. Other nodes pass single items on for it, but leave less
        room than the servers have.
        """
        nodes = {n.name: n for n in self._fleet.peers(NodeRole.GATEWAY)}
        for job in list(self._runner.jobs.values()):
            sub = job.state.submission
            service = job.state.service
            names = [n for n in self._reaching(service) if n in nodes]
            if not names or not job.is_open or job.is_provisional:
                continue
            owner = preferred_owner(
                sub, {name: nodes[name].cpu for name in names}, default=names[0]
            )
            self._log.event(
                "job_owner_cut_off",
                job_id=job.job_id,
                service=service,
                owner=owner,
                candidates=sorted(names),
            )
            await self._hand_over(job, nodes[owner])

    async def _hand_over(self, job: OwnedJob, peer: NodeRecord) -> None:
        """Makes a peer the owner of an open job, and tells it."""
        try:
            await self._runner.hand_over(job, peer.owner_id)
        except PlatformError as exc:
            self._log.state_change(
                "job_not_handed_over", job_id=job.job_id, error=str(exc)
            )
            return
        self._cache_owner(job.job_id, peer.owner_id)
        update = JobOwnerUpdate(
            job_id=job.job_id,
            owner_id=peer.owner_id,
            adopt=True,
            owner_before=self._runner.owner_id,
        )
        with contextlib.suppress(PeerError):
            # If the update is lost, the peer takes the job over at the first
            # request for it.
            await self._peers.post(peer, "/jobs/news", update)

    def _choose_owner(self, submission: BatchSubmission) -> NodeRecord:
        """Returns the node that should own a new job."""
        me = self._fleet.local_node
        now_s = self._clock.monotonic()
        nodes = {
            node.name: node
            for node in self._fleet.peers(NodeRole.GATEWAY)
            if self._no_assignment_until_s.get(node.owner_id, 0.0) <= now_s
        }
        reaching = [n for n in self._reaching(submission.service) if n in nodes]
        if reaching:
            nodes = {name: nodes[name] for name in reaching}
        else:
            nodes[me.name] = me
        cpu = {name: node.cpu for name, node in nodes.items()}
        default = me.name if me.name in nodes else reaching[0]
        return nodes[preferred_owner(submission, cpu, default=default)]

    def _start_job(
        self, submission: BatchSubmission, owner: NodeRecord, asked_s: float
    ) -> None:
        """Starts an accepted job at its owner and informs the peers."""
        if owner.owner_id == self._runner.owner_id:
            self._runner.add(_new_job(submission), asked_s=asked_s)
        else:
            self._cache_owner(submission.job_id, owner.owner_id)
            self._spawn(self._assign(submission, owner))
        update = JobOwnerUpdate(
            job_id=submission.job_id, owner_id=owner.owner_id
        )
        for peer in self._fleet.peers(NodeRole.GATEWAY):
            if peer.owner_id != owner.owner_id:
                self._spawn(self._send_owner_update(peer, update))

    async def _prepare(
        self, submission: BatchSubmission, owner: NodeRecord
    ) -> None:
        """Lets a job's owner generate before the job is known to be created."""
        if owner.owner_id == self._runner.owner_id:
            self.accept_preparation(submission)
            return
        with contextlib.suppress(PeerError):
            # Without it, generation starts once the job is created.
            await self._peers.post(owner, "/jobs/prepare", submission)

    async def _assign(
        self, submission: BatchSubmission, owner: NodeRecord
    ) -> None:
        """Assigns a new job to its owner, or takes it over if that fails."""
        try:
            await self._peers.post(owner, "/jobs/assign", submission)
        except PeerError as exc:
            now_s = self._clock.monotonic()
            self._no_assignment_until_s[owner.owner_id] = (
                now_s + _ASSIGN_BACKOFF_S
            )
            self._last_failure_s[owner.owner_id] = now_s
            self._log.event(
                "job_not_assigned",
                job_id=submission.job_id,
                owner=owner.name,
                error=str(exc),
            )
            await self._take_over(
                JobHead(
                    submission=submission,
                    progress=JobProgress(owner=submission.first_owner),
                    version=0,
                ),
                asked_s=self._clock.monotonic(),
            )

    async def _send_owner_update(
        self, peer: NodeRecord, update: JobOwnerUpdate
    ) -> None:
        with contextlib.suppress(PeerError):
            # A peer without the update reads the owner from the store.
            await self._peers.post(peer, "/jobs/news", update)

    async def _resolve_creation(
        self, submission: BatchSubmission
    ) -> CreateOutcome:
        """Checks whether a creation whose response was lost took effect."""
        for _ in range(_CREATION_CHECKS):
            try:
                if await self._store.find(submission.job_id) is not None:
                    return CreateOutcome.CREATED
            except PlatformError as exc:
                self._log.event(
                    "creation_in_doubt",
                    request_id=submission.job_id,
                    error=str(exc),
                )
            await asyncio.sleep(_CREATION_PAUSE_S)
        return CreateOutcome.UNKNOWN

    async def _query_peer(self, owner: NodeRecord, req: JobRequest) -> JobReply:
        try:
            return await self._peers.ask(owner, req)
        except PeerError as exc:
            self._last_failure_s[owner.owner_id] = self._clock.monotonic()
            self._log.event(
                "job_owner_unreached",
                job_id=req.job_id,
                owner=owner.name,
                error=str(exc),
            )
            return JobReply(state=JobReplyStatus.NOT_OWNER)

    async def _query_stored_owner(
        self, req: JobRequest, unsure: str
    ) -> JobReply:
        """Reads a job's owner from the store, then queries or replaces it.

        Args:
            req: The request.
            unsure: Owner that could not confirm the job just now; empty if
                there is none.

        Returns:
            The reply of the job's owner.

        Raises:
            RefusedError: The store could not be read, or no owner replied.
        """
        asked_s = self._clock.monotonic()
        try:
            head = await self._store.find(req.job_id)
        except PlatformError as exc:
            raise _unavailable_error() from exc
        if head is None:
            return JobReply(state=JobReplyStatus.MISSING)
        if not _may_access(head.submission, req):
            return _foreign_reply(head.submission)
        owner_id = head.progress.owner
        self._cache_owner(req.job_id, owner_id)
        owner = self._fleet.find_owner(owner_id)
        if (
            owner is not None
            and owner_id not in (unsure, self._runner.owner_id)
            and self._is_reachable(owner)
        ):
            reply = await self._query_peer(
                owner,
                msgspec.structs.replace(req, stored_owner=owner_id),
            )
            if reply.state is JobReplyStatus.OK:
                return reply
        if not await self._take_over(head, asked_s=asked_s):
            raise _unavailable_error()
        reply = await self.answer_as_owner(req)
        if reply.state is not JobReplyStatus.OK:
            raise _unavailable_error()
        return reply

    def _is_reachable(self, owner: NodeRecord) -> bool:
        """Returns whether an owner has not failed to respond recently."""
        last_failure_s = self._last_failure_s.get(owner.owner_id, -math.inf)
        return self._clock.monotonic() - last_failure_s >= _UNREACHABLE_S

    async def _handle_handover(self, update: JobOwnerUpdate) -> None:
        asked_s = self._clock.monotonic()
        try:
            head = await self._store.find(update.job_id)
            if head is not None:
                await self._take_over(
                    head, asked_s=asked_s, owner_before=update.owner_before
                )
        except PlatformError as exc:
            self._log.state_change(
                "job_not_adopted", job_id=update.job_id, error=str(exc)
            )

    async def _adopt(self, job_id: str) -> OwnedJob | None:
        """Adopts a job that the store names this node as the owner of.

        Load pattern: the trainer and others read a job at all nodes while it is
        handed over. One of them asks the new owner before the old one has told
        it, and would take the job over instead, in whatever state it is itself.

        Args:
            job_id: ID of the job.

        Returns:
            The job; None if the store names another owner or cannot be read.
        """
        asked_s = self._clock.monotonic()
        try:
            async with asyncio.timeout(_CONFIRM_TIMEOUT_S):
                head = await self._store.find(job_id)
                if (
                    head is not None
                    and head.progress.owner == self._runner.owner_id
                ):
                    await self._take_over(head, asked_s=asked_s)
        except (PlatformError, TimeoutError) as exc:
            self._log.event("job_not_adopted", job_id=job_id, error=repr(exc))
        return self._runner.jobs.get(job_id)

    async def _take_over(
        self, head: JobHead, *, asked_s: float, owner_before: str = ""
    ) -> bool:
        """Makes this node the owner of a job.

        Args:
            head: The job as stored.
            asked_s: Monotonic time at which the job was read.
            owner_before: Node that ran the job, if the record already names
                this node as the owner.

        Returns:
            Whether this node owns the job now.
        """
        job_id = head.submission.job_id
        lock = self._takeover_locks.setdefault(job_id, asyncio.Lock())
        try:
            async with lock:
                return await self._become_owner(head, asked_s, owner_before)
        finally:
            if not lock.locked():
                self._takeover_locks.pop(job_id, None)

    async def _become_owner(
        self, head: JobHead, asked_s: float, owner_before: str
    ) -> bool:
        job_id = head.submission.job_id
        if job_id in self._runner.jobs:
            return True
        if self.draining:
            return False
        try:
            stored = await self._store.complete(head)
        except PlatformError as exc:
            self._log.event("job_not_taken_over", job_id=job_id, error=str(exc))
            return False
        old_owner = stored.progress.owner
        if old_owner == self._runner.owner_id:
            owner_before = owner_before or stored.progress.owner_before
        else:
            owner_before = owner_before or old_owner
            progress = msgspec.structs.replace(
                stored.progress,
                owner=self._runner.owner_id,
                owner_before=old_owner,
            )
            asked_s = self._clock.monotonic()
            try:
                progress, version = await self._store.save(
                    job_id,
                    progress,
                    version=stored.version,
                    places=item_places(stored.submission),
                )
            except PlatformError as exc:
                self._log.event(
                    "job_not_taken_over", job_id=job_id, error=str(exc)
                )
                return False
            stored = msgspec.structs.replace(
                stored, progress=progress, version=version
            )
        snapshots = await self._fetch_snapshots(owner_before, stored)
        self._log.event(
            "job_taken_over",
            job_id=job_id,
            owner_before=owner_before,
            listed=len(stored.committed),
            texts=len(snapshots),
            version=stored.version,
        )
        self._runner.add(stored, asked_s=asked_s, snapshots=snapshots)
        return True

    async def _fetch_snapshots(
        self, owner_id: str, stored: StoredJob
    ) -> list[ItemSnapshot]:
        """Returns the item progress at the previous owner.

        Empty if that node is this one, has stopped or does not respond.
        """
        owner = self._fleet.find_owner(owner_id)
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
            self._last_failure_s[owner_id] = self._clock.monotonic()
            self._log.event(
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
                    return JobReply(state=JobReplyStatus.NOT_OWNER)
            except PlatformError:
                return JobReply(state=JobReplyStatus.UNSURE)
            if job.state.ended:
                return self._reply(job)
        return JobReply(state=JobReplyStatus.UNSURE)

    async def _wait_for_result(self, job: OwnedJob, req: JobRequest) -> None:
        deadline_s = self._clock.monotonic() + req.wait_s
        while len(job.state.committed) <= req.after and job.is_open:
            remaining_s = deadline_s - self._clock.monotonic()
            if remaining_s <= 0:
                return
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(job.changed.wait(), remaining_s)

    def _reply(self, job: OwnedJob, *, body: bytes | None = None) -> JobReply:
        return JobReply(
            state=JobReplyStatus.OK,
            client_account=job.state.submission.client_account,
            total=job.state.total,
            body=body,
        )

    def _cache_owner(self, job_id: str, owner_id: str) -> None:
        self._owner_ids.pop(job_id, None)
        self._owner_ids[job_id] = owner_id
        if len(self._owner_ids) > _MAX_CACHED_OWNERS:
            self._owner_ids.pop(next(iter(self._owner_ids)))

    def _spawn(self, coro: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _new_job(submission: BatchSubmission) -> StoredJob:
    """Returns a job that has no progress record yet."""
    return StoredJob(
        submission=submission,
        progress=JobProgress(owner=submission.first_owner),
        committed=[],
        version=0,
    )


def _may_access(submission: BatchSubmission, req: JobRequest) -> bool:
    return may_access_job(
        job_account=submission.client_account,
        caller_account=req.client_account,
    )


def _foreign_reply(submission: BatchSubmission) -> JobReply:
    """Returns the reply to a caller of another client account."""
    return JobReply(
        state=JobReplyStatus.OK, client_account=submission.client_account
    )


def _unavailable_error() -> RefusedError:
    return RefusedError(
        Reason.PLATFORM_UNAVAILABLE, retry_after_s=_RETRY_AFTER_S
    )
