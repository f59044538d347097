"""Batch jobs in the platform's store."""

import enum

import msgspec

from endivespindle.batch.progress import ItemResult, JobProgress, ResultPart
from endivespindle.batch.submission import BatchItem, BatchSubmission
from endivespindle.core.ids import IdSource
from endivespindle.exceptions import (
    AnswerLostError,
    ConflictError,
    PlatformError,
)
from endivespindle.store.object_store import ObjectStore
from endivespindle.store.update import read_object

__all__ = ["CreateOutcome", "JobStore", "StoredJob"]

_JOB_KIND = "jobs"
_PROGRESS_KIND = "job-progress"
_PART_KIND = "job-parts"
# Share of the largest value that one object may fill: the rest is for the
# envelope and for what is added before the next look.
_FILL = 0.7


class CreateOutcome(enum.StrEnum):
    """How the creation of a job ended."""

    CREATED = "created"
    EXISTED = "existed"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class _Items(msgspec.Struct):
    items: list[BatchItem]


class _Results(msgspec.Struct):
    results: list[ItemResult]


class _JobRecord(msgspec.Struct, kw_only=True):
    """The one object whose creation accepts a job.

    Attributes:
        submission: The job; without items if these are kept in parts.
        item_parts: Objects that hold the items, in order.
    """

    submission: BatchSubmission
    item_parts: list[str] = []


class StoredJob(msgspec.Struct, kw_only=True, frozen=True):
    """A job as the store holds it.

    Attributes:
        submission: The job as accepted.
        progress: Its owner, results and end.
        results: All results, those in parts included.
        version: Version of the progress; 0 if there is no record yet.
    """

    submission: BatchSubmission
    progress: JobProgress
    results: list[ItemResult]
    version: int


class JobStore:
    """Reads and writes jobs.

    Args:
        store: The object API.
        ids: Source of writers' tokens.
        value_bytes: Largest value the store takes.
    """

    __slots__ = ("_ids", "_max_bytes", "_store")

    def __init__(self, *, store: ObjectStore, ids: IdSource, value_bytes: int):
        self._store = store
        self._ids = ids
        self._max_bytes = int(value_bytes * _FILL)

    async def create(self, submission: BatchSubmission) -> CreateOutcome:
        """Accepts a job, if no job of its identity was accepted before.

        Returns:
            Whether it was created; `UNKNOWN` if it may be or become so, and
            `REFUSED` if it certainly is not.
        """
        record = _JobRecord(submission=submission)
        value = msgspec.json.encode(record)
        if len(value) > self._max_bytes:
            try:
                record = await self._spill_items(submission)
            except PlatformError:
                return CreateOutcome.REFUSED
            value = msgspec.json.encode(record)
        try:
            await self._store.put(
                kind=_JOB_KIND,
                name=submission.job_id,
                value=value,
                expect_version=0,
            )
        except ConflictError:
            return CreateOutcome.EXISTED
        except AnswerLostError:
            return CreateOutcome.UNKNOWN
        except PlatformError:
            return CreateOutcome.REFUSED
        return CreateOutcome.CREATED

    async def load(self, job_id: str) -> StoredJob | None:
        """Returns a job, or None if there is none."""
        record, _ = await read_object(
            self._store, kind=_JOB_KIND, name=job_id, cls=_JobRecord
        )
        if record is None:
            return None
        submission = record.submission
        if record.item_parts:
            items: list[BatchItem] = []
            for name in record.item_parts:
                part, _ = await read_object(
                    self._store, kind=_PART_KIND, name=name, cls=_Items
                )
                items += part.items if part else []
            submission = msgspec.structs.replace(submission, items=items)
        return await self.refresh(submission)

    async def refresh(self, submission: BatchSubmission) -> StoredJob:
        """Returns a job whose submission is known."""
        progress, version = await read_object(
            self._store,
            kind=_PROGRESS_KIND,
            name=submission.job_id,
            cls=JobProgress,
        )
        if progress is None:
            progress = JobProgress(owner=submission.first_owner)
        results: list[ItemResult] = []
        for ref in progress.parts:
            part, _ = await read_object(
                self._store, kind=_PART_KIND, name=ref.name, cls=_Results
            )
            results += part.results if part else []
        results += progress.results
        return StoredJob(
            submission=submission,
            progress=progress,
            results=results,
            version=version,
        )

    async def save(
        self, job_id: str, progress: JobProgress, *, version: int
    ) -> tuple[JobProgress, int]:
        """Writes progress if it still has a version.

        Returns:
            The record as written, and its version.

        Raises:
            ConflictError: Somebody else wrote it.
            PlatformError: It was not written, or may not have been.
        """
        progress = msgspec.structs.replace(progress, token=self._ids.new("p"))
        value = msgspec.json.encode(progress)
        if len(value) > self._max_bytes:
            progress = await self._spill_results(job_id, progress)
            value = msgspec.json.encode(progress)
        try:
            new = await self._store.put(
                kind=_PROGRESS_KIND,
                name=job_id,
                value=value,
                expect_version=version,
            )
        except (AnswerLostError, ConflictError):
            held, new = await read_object(
                self._store, kind=_PROGRESS_KIND, name=job_id, cls=JobProgress
            )
            if held is None or held.token != progress.token:
                raise
        return progress, new

    async def discard(self, stored: StoredJob) -> None:
        """Removes a job that nobody may ask for any more.

        Raises:
            PlatformError: A part of it is left; it may be tried again.
        """
        job_id = stored.submission.job_id
        record = await self._store.get(kind=_JOB_KIND, name=job_id)
        parts = [ref.name for ref in stored.progress.parts]
        if record is not None and record.value is not None:
            held = msgspec.json.decode(record.value, type=_JobRecord)
            parts += held.item_parts
        names = [(_PART_KIND, name) for name in parts]
        names += [(_PROGRESS_KIND, job_id), (_JOB_KIND, job_id)]
        for kind, name in names:
            obj = await self._store.get(kind=kind, name=name)
            if obj is not None:
                await self._store.delete(
                    kind=kind, name=name, expect_version=obj.version
                )

    async def _spill_items(self, submission: BatchSubmission) -> _JobRecord:
        """Writes the items into parts, before the job itself is created."""
        parts: list[str] = []
        chunk: list[BatchItem] = []
        size = 0
        for item in submission.items:
            weight = len(msgspec.json.encode(item))
            if chunk and size + weight > self._max_bytes:
                parts.append(
                    await self._put_part(submission.job_id, _Items(chunk))
                )
                chunk, size = [], 0
            chunk.append(item)
            size += weight
        parts.append(await self._put_part(submission.job_id, _Items(chunk)))
        return _JobRecord(
            submission=msgspec.structs.replace(submission, items=[]),
            item_parts=parts,
        )

    async def _spill_results(
        self, job_id: str, progress: JobProgress
    ) -> JobProgress:
        name = await self._put_part(job_id, _Results(list(progress.results)))
        ref = ResultPart(name=name, count=len(progress.results))
        return msgspec.structs.replace(
            progress, parts=(*progress.parts, ref), results=()
        )

    async def _put_part(self, job_id: str, part: msgspec.Struct) -> str:
        """Writes a part under a name that nobody else uses."""
        name = self._ids.new(f"{job_id}.part")
        await self._store.put(
            kind=_PART_KIND,
            name=name,
            value=msgspec.json.encode(part),
            expect_version=0,
        )
        return name
