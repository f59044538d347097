"""Reads and writes batch jobs in the platform's store."""

import enum
import itertools
from collections.abc import Iterable, Iterator, Sequence
from typing import TypeVar

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
# Largest encoding of one character of a text: an escaped control character.
_MAX_CHARACTER_BYTES = 6
_SEPARATOR_BYTES = 1

T = TypeVar("T", bound=msgspec.Struct)


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
        results = _join_fragments(results)
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
        while progress.results and len(value) > self._max_bytes:
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
        parts = [
            await self._put_part(submission.job_id, _Items(chunk))
            for chunk in _chunks(submission.items, max_bytes=self._max_bytes)
        ]
        return _JobRecord(
            submission=msgspec.structs.replace(submission, items=[]),
            item_parts=parts,
        )

    async def _spill_results(
        self, job_id: str, progress: JobProgress
    ) -> JobProgress:
        """Moves results of a progress record into parts that they fill.

        Load pattern: the results of a whole step gather while the store is out
        of reach, and exceed the largest value together.

        Returns:
            The progress record, with references to the parts.
        """
        fragments = [
            fragment
            for result in progress.results
            for fragment in _fragments(result, max_bytes=self._max_bytes)
        ]
        chunks = list(_chunks(fragments, max_bytes=self._max_bytes))
        # What is left over stays in the record: each part is read one by one.
        rest = chunks.pop() if len(chunks) > 1 else []
        refs = [
            ResultPart(
                name=await self._put_part(job_id, _Results(chunk)),
                count=len(chunk),
            )
            for chunk in chunks
        ]
        return msgspec.structs.replace(
            progress, parts=(*progress.parts, *refs), results=tuple(rest)
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


def _chunks(entries: Sequence[T], *, max_bytes: int) -> Iterator[list[T]]:
    """Yields consecutive entries whose encoding has at most a given size.

    An entry that is larger than that has a chunk of its own.
    """
    chunk: list[T] = []
    chunk_bytes = 0
    for entry in entries:
        entry_bytes = len(msgspec.json.encode(entry)) + _SEPARATOR_BYTES
        if chunk and chunk_bytes + entry_bytes > max_bytes:
            yield chunk
            chunk, chunk_bytes = [], 0
        chunk.append(entry)
        chunk_bytes += entry_bytes
    if chunk:
        yield chunk


def _fragments(result: ItemResult, *, max_bytes: int) -> list[ItemResult]:
    """Returns a result as consecutive results with a part of its text each."""
    if len(msgspec.json.encode(result)) <= max_bytes:
        return [result]
    length = max(1, max_bytes // _MAX_CHARACTER_BYTES)
    return [
        msgspec.structs.replace(result, text=result.text[i : i + length])
        for i in range(0, len(result.text), length)
    ]


def _join_fragments(results: Iterable[ItemResult]) -> list[ItemResult]:
    """Joins what `_fragments` has divided."""
    joined: list[ItemResult] = []
    for _, group in itertools.groupby(results, key=lambda r: r.item_id):
        fragments = list(group)
        joined.append(
            msgspec.structs.replace(
                fragments[0], text="".join(f.text for f in fragments)
            )
            if len(fragments) > 1
            else fragments[0]
        )
    return joined
