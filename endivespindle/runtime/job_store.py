"""Reads and writes batch jobs in the platform's store."""

import enum

import msgspec

from endivespindle.batch.progress import ItemResult, JobProgress, ResultPart
from endivespindle.batch.submission import BatchItem, BatchSubmission
from endivespindle.core.decoding import decode_json
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
# Fraction of the largest value up to which one object is filled. The rest is
# for the envelope and for what is added before the next size check.
_MAX_FILL_FRACTION = 0.7


class CreateOutcome(enum.StrEnum):
    """Outcome of the creation of a job."""

    CREATED = "created"
    EXISTED = "existed"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class _Items(msgspec.Struct):
    items: list[BatchItem]


class _Results(msgspec.Struct):
    results: list[ItemResult]


class _JobRecord(msgspec.Struct, kw_only=True):
    """Stored object whose creation accepts a job.

    Attributes:
        submission: The job; without items if they are stored in parts.
        item_parts: Names of the objects with the items, in order.
    """

    submission: BatchSubmission
    item_parts: list[str] = []


class StoredJob(msgspec.Struct, kw_only=True, frozen=True):
    """A job as stored.

    Attributes:
        submission: The job as accepted.
        progress: Progress record: owner, results, and whether it was ended.
        results: All results, including those stored in parts.
        version: Version of the progress record; 0 if there is none yet.
    """

    submission: BatchSubmission
    progress: JobProgress
    results: list[ItemResult]
    version: int


class JobStore:
    """Reads and writes batch jobs.

    A job consists of a job record, a progress record, and parts for items or
    results that do not fit into one object.

    Args:
        store: Object store client.
        ids: Generates write tokens and the names of parts.
        value_bytes: Largest value that the store accepts, in bytes.
    """

    __slots__ = ("_ids", "_max_bytes", "_store")

    def __init__(self, *, store: ObjectStore, ids: IdSource, value_bytes: int):
        self._store = store
        self._ids = ids
        self._max_bytes = int(value_bytes * _MAX_FILL_FRACTION)

    async def create(self, submission: BatchSubmission) -> CreateOutcome:
        """Creates a job unless one with the same id exists.

        Returns:
            The outcome: `UNKNOWN` if the job may have been or may yet be
            created, `REFUSED` if it certainly was not.
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
            return await self._resolve_conflict(record)
        except AnswerLostError:
            return CreateOutcome.UNKNOWN
        except PlatformError:
            return CreateOutcome.REFUSED
        return CreateOutcome.CREATED

    async def _resolve_conflict(self, record: _JobRecord) -> CreateOutcome:
        """Returns whether this node or an earlier attempt created a job.

        The creation may have been sent on two paths to the store.
        """
        try:
            stored, _ = await read_object(
                self._store,
                kind=_JOB_KIND,
                name=record.submission.job_id,
                cls=_JobRecord,
            )
        except PlatformError:
            return CreateOutcome.EXISTED
        is_own = stored is not None and (
            stored.submission.first_owner,
            stored.submission.submitted_ms,
        ) == (record.submission.first_owner, record.submission.submitted_ms)
        return CreateOutcome.CREATED if is_own else CreateOutcome.EXISTED

    async def load(self, job_id: str) -> StoredJob | None:
        """Returns a job, or None if there is none.

        Raises:
            PlatformError: The store could not be read.
        """
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
        """Returns a job with its current progress.

        Args:
            submission: The job as accepted, which is not read again.

        Raises:
            PlatformError: The store could not be read.
        """
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
        """Writes the progress record if it still has the given version.

        After a conflict or a lost response, the record's write token shows
        whether this write took effect.

        Args:
            job_id: Identity of the job.
            progress: The new record.
            version: Expected version of the stored record; 0 for none.

        Returns:
            The record as written, and its version.

        Raises:
            ConflictError: Another writer changed the record.
            PlatformError: The record was not written, or the outcome of the
                write is unknown.
        """
        progress = msgspec.structs.replace(progress, token=self._ids.new("p"))
        value = msgspec.json.encode(progress)
        if len(value) > self._max_bytes:
            progress = await self._spill_results(job_id, progress)
            value = msgspec.json.encode(progress)
        try:
            new_version = await self._store.put(
                kind=_PROGRESS_KIND,
                name=job_id,
                value=value,
                expect_version=version,
            )
        except (AnswerLostError, ConflictError):
            current, new_version = await read_object(
                self._store, kind=_PROGRESS_KIND, name=job_id, cls=JobProgress
            )
            if current is None or current.token != progress.token:
                raise
        return progress, new_version

    async def discard(self, stored: StoredJob) -> None:
        """Deletes a job whose results are no longer available to callers.

        Raises:
            PlatformError: The job was not deleted completely; the call may be
                repeated.
        """
        job_id = stored.submission.job_id
        record = await self._store.get(kind=_JOB_KIND, name=job_id)
        parts = [ref.name for ref in stored.progress.parts]
        if record is not None and record.value is not None:
            job_record = decode_json(record.value, type=_JobRecord)
            parts += job_record.item_parts
        names = [(_PART_KIND, name) for name in parts]
        names += [(_PROGRESS_KIND, job_id), (_JOB_KIND, job_id)]
        for kind, name in names:
            obj = await self._store.get(kind=kind, name=name)
            if obj is not None:
                await self._store.delete(
                    kind=kind, name=name, expect_version=obj.version
                )

    async def _spill_items(self, submission: BatchSubmission) -> _JobRecord:
        """Writes the items into parts, before the job record is created.

        Returns:
            The job record, with the names of the parts.
        """
        parts: list[str] = []
        chunk: list[BatchItem] = []
        chunk_bytes = 0
        for item in submission.items:
            item_bytes = len(msgspec.json.encode(item))
            if chunk and chunk_bytes + item_bytes > self._max_bytes:
                parts.append(
                    await self._put_part(submission.job_id, _Items(chunk))
                )
                chunk, chunk_bytes = [], 0
            chunk.append(item)
            chunk_bytes += item_bytes
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
        """Writes a part under a unique name and returns the name."""
        name = self._ids.new(f"{job_id}.part")
        await self._store.put(
            kind=_PART_KIND,
            name=name,
            value=msgspec.json.encode(part),
            expect_version=0,
        )
        return name
