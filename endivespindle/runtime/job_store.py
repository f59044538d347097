"""Reads and writes batch jobs in the platform's store."""

import enum
import functools
from collections.abc import Iterator, Mapping, Sequence
from typing import TypeVar

import msgspec

from endivespindle.batch.progress import ItemResult, JobProgress, ResultPart
from endivespindle.batch.result_positions import (
    count_results,
    fragment_result,
    join_fragments,
    page,
    part_at,
    position_after,
)
from endivespindle.batch.submission import (
    BatchItem,
    BatchSubmission,
    item_places,
)
from endivespindle.core.decoding import decode_json
from endivespindle.core.ids import IdSource
from endivespindle.exceptions import (
    AnswerLostError,
    ConflictError,
    PlatformError,
    PlatformUnavailableError,
)
from endivespindle.runtime.result_cache import ResultCache
from endivespindle.store.object_store import ObjectStore
from endivespindle.store.update import read_object

__all__ = ["CreateOutcome", "JobHead", "JobStore", "StoredJob"]

_JOB_KIND = "jobs"
_PROGRESS_KIND = "job-progress"
_PART_KIND = "job-parts"
# Fraction of the largest value up to which one object is filled. The rest is
# for the envelope and for what is added before the next size check.
_MAX_FILL_FRACTION = 0.7
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


class _ResultId(msgspec.Struct):
    item_id: str


class _ResultIds(msgspec.Struct):
    """Results of which only the items are decoded."""

    results: list[_ResultId]


class _JobRecord(msgspec.Struct, kw_only=True):
    """Stored object whose creation accepts a job.

    Attributes:
        submission: The job; without items if they are stored in parts.
        item_parts: Names of the objects with the items, in order.
    """

    submission: BatchSubmission
    item_parts: list[str] = []


class JobHead(msgspec.Struct, kw_only=True, frozen=True):
    """A job as stored, without its items if these are stored in parts.

    Attributes:
        submission: The job as accepted.
        item_parts: Names of the objects with its items that were not read.
        progress: Progress record: owner, results, and whether it was ended.
        version: Version of the progress record; 0 if there is none yet.
    """

    submission: BatchSubmission
    item_parts: Sequence[str] = ()
    progress: JobProgress
    version: int


class StoredJob(msgspec.Struct, kw_only=True, frozen=True):
    """A job as stored, with all items.

    Attributes:
        submission: The job as accepted.
        progress: Progress record, whose parts are indexed.
        committed: Items with a result, in the order of their positions.
        version: Version of the progress record; 0 if there is none yet.
    """

    submission: BatchSubmission
    progress: JobProgress
    committed: list[str]
    version: int


class JobStore:
    """Reads and writes batch jobs.

    A job consists of a job record, a progress record, and parts for items or
    results that do not fit into one object. Results in parts are read when a
    caller asks for them: together, those of a job may exceed the memory of a
    process.

    Args:
        store: Object store client.
        ids: Generates write tokens and the names of parts.
        value_bytes: Largest value that the store accepts, in bytes.
        cache_bytes: Results in parts that are kept in memory, in bytes.
    """

    __slots__ = ("_cache", "_ids", "_max_bytes", "_store")

    def __init__(
        self,
        *,
        store: ObjectStore,
        ids: IdSource,
        value_bytes: int,
        cache_bytes: int = 0,
    ):
        self._store = store
        self._ids = ids
        self._max_bytes = int(value_bytes * _MAX_FILL_FRACTION)
        self._cache = ResultCache(max_bytes=cache_bytes)

    @property
    def max_bytes(self) -> int:
        """Encoded size up to which one object is filled, in bytes."""
        return self._max_bytes

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

    async def find(self, job_id: str) -> JobHead | None:
        """Returns a job without the items in parts, or None if there is none.

        Raises:
            PlatformError: The store could not be read.
        """
        record, _ = await read_object(
            self._store, kind=_JOB_KIND, name=job_id, cls=_JobRecord
        )
        if record is None:
            return None
        progress, version = await self.read_progress(record.submission)
        return JobHead(
            submission=record.submission,
            item_parts=record.item_parts,
            progress=progress,
            version=version,
        )

    async def complete(self, head: JobHead) -> StoredJob:
        """Returns a job with all its items.

        Raises:
            PlatformError: The store could not be read.
        """
        submission = head.submission
        if head.item_parts:
            items: list[BatchItem] = []
            for name in head.item_parts:
                part, _ = await read_object(
                    self._store, kind=_PART_KIND, name=name, cls=_Items
                )
                items += part.items if part else []
            submission = msgspec.structs.replace(submission, items=items)
        return await self._index(submission, head.progress, head.version)

    async def load(self, job_id: str) -> StoredJob | None:
        """Returns a job, or None if there is none.

        Raises:
            PlatformError: The store could not be read.
        """
        head = await self.find(job_id)
        return None if head is None else await self.complete(head)

    async def refresh(self, submission: BatchSubmission) -> StoredJob:
        """Returns a job with its current progress.

        Args:
            submission: The job as accepted, which is not read again.

        Raises:
            PlatformError: The store could not be read.
        """
        progress, version = await self.read_progress(submission)
        return await self._index(submission, progress, version)

    async def read_progress(
        self, submission: BatchSubmission
    ) -> tuple[JobProgress, int]:
        """Returns the progress record of a job, and its version.

        Raises:
            PlatformError: The store could not be read.
        """
        progress, version = await read_object(
            self._store,
            kind=_PROGRESS_KIND,
            name=submission.job_id,
            cls=JobProgress,
        )
        return progress or JobProgress(owner=submission.first_owner), version

    async def read_results(
        self,
        progress: JobProgress,
        *,
        committed: int,
        after: int,
        max_bytes: int,
    ) -> list[ItemResult]:
        """Returns one page of a job's results.

        Args:
            progress: Progress record of the job, whose parts are indexed.
            committed: Number of results that it refers to.
            after: Position of the first result of the page, from 0.
            max_bytes: Maximum encoded size of the page's results; the first
                one is returned whatever its size.

        Raises:
            PlatformError: The store could not be read.
        """
        parts = progress.parts
        index = part_at(parts, after)
        if index == len(parts):
            tail = [result.item_id for result in progress.results]
            first = committed - count_results(tail)
            entries = _skip_results(progress.results, after - first)
            return _page(entries, max_bytes=max_bytes)
        entries = await self._read_part(parts[index].name)
        results = list(_skip_results(entries, after - parts[index].first))
        for part in parts[index + 1 :]:
            if _exceeds(results, max_bytes=max_bytes):
                # The next part may go on with the last result.
                return _page(results, max_bytes=max_bytes, is_open=True)
            results += await self._read_part(part.name)
        return _page([*results, *progress.results], max_bytes=max_bytes)

    async def read_record_results(
        self, submission: BatchSubmission, *, version: int
    ) -> Sequence[ItemResult]:
        """Returns the results in the progress record of a job.

        Args:
            submission: The job.
            version: Version that the record must have.

        Raises:
            PlatformError: The store could not be read, or the record has
                another version.
        """
        name = f"{submission.job_id}@{version}"

        async def read() -> Sequence[ItemResult]:
            progress, found = await self.read_progress(submission)
            if found != version:
                raise PlatformUnavailableError(f"{name}: version {found}")
            return progress.results

        return await self._cache.get(name, read)

    async def _read_part(self, name: str) -> Sequence[ItemResult]:
        """Returns the entries of a part.

        Raises:
            PlatformError: The store could not be read.
        """

        async def read() -> Sequence[ItemResult]:
            read_part = functools.partial(
                read_object,
                self._store,
                kind=_PART_KIND,
                name=name,
                cls=_Results,
            )
            # A part never changes, but may have been written a moment ago.
            part, _ = await read_part(allow_stale=True)
            if part is None:
                part, _ = await read_part()
            if part is None:
                raise PlatformUnavailableError(f"{_PART_KIND}/{name}: missing")
            return part.results

        return await self._cache.get(name, read)

    async def _index(
        self, submission: BatchSubmission, progress: JobProgress, version: int
    ) -> StoredJob:
        """Indexes the parts that a node of an earlier version referred to.

        Raises:
            PlatformError: The store could not be read.
        """
        items = submission.items
        places = item_places(submission)
        parts: list[ResultPart] = []
        committed: list[str] = []
        for ref in progress.parts:
            if ref.is_indexed(total=len(items)):
                names = [items[place].item_id for place in ref.items]
            else:
                part, _ = await read_object(
                    self._store,
                    kind=_PART_KIND,
                    name=ref.name,
                    cls=_ResultIds,
                )
                names = [r.item_id for r in part.results] if part else []
                ref = _indexed_part(ref.name, names, places, parts)
            parts.append(ref)
            committed += names
        committed += [result.item_id for result in progress.results]
        return StoredJob(
            submission=submission,
            progress=msgspec.structs.replace(progress, parts=tuple(parts)),
            committed=_without_repeats(committed),
            version=version,
        )

    async def save(
        self,
        job_id: str,
        progress: JobProgress,
        *,
        version: int,
        places: Mapping[str, int],
        max_bytes: int | None = None,
    ) -> tuple[JobProgress, int]:
        """Writes the progress record if it still has the given version.

        After a conflict or a lost response, the record's write token shows
        whether this write took effect.

        Args:
            job_id: Identity of the job.
            progress: The new record.
            version: Expected version of the stored record; 0 for none.
            places: Place of each item in the submission, by its identity.
            max_bytes: Size of the texts in the record above which results are
                moved into parts; None if only the size of the record counts.

        Returns:
            The record as written, and its version.

        Raises:
            ConflictError: Another writer changed the record.
            PlatformError: The record was not written, or the outcome of the
                write is unknown.
        """
        progress = msgspec.structs.replace(progress, token=self._ids.new("p"))
        value = msgspec.json.encode(progress)
        while progress.results and (
            len(value) > self._max_bytes
            or (max_bytes is not None and _text_bytes(progress) > max_bytes)
        ):
            progress = await self._spill_results(job_id, progress, places)
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

    async def discard(self, job_id: str, progress: JobProgress) -> None:
        """Deletes a job whose results are no longer available to callers.

        Raises:
            PlatformError: The job was not deleted completely; the call may be
                repeated.
        """
        record = await self._store.get(kind=_JOB_KIND, name=job_id)
        parts = [ref.name for ref in progress.parts]
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
        self,
        job_id: str,
        progress: JobProgress,
        places: Mapping[str, int],
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
            for fragment in fragment_result(result, max_bytes=self._max_bytes)
        ]
        chunks = list(_chunks(fragments, max_bytes=self._max_bytes))
        # What is left over stays in the record: each part is read one by one.
        rest = chunks.pop() if len(chunks) > 1 else []
        parts = list(progress.parts)
        for chunk in chunks:
            name = await self._put_part(job_id, _Results(chunk))
            self._cache.put(name, chunk)
            names = [fragment.item_id for fragment in chunk]
            parts.append(_indexed_part(name, names, places, parts))
        return msgspec.structs.replace(
            progress, parts=tuple(parts), results=tuple(rest)
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


def _text_bytes(progress: JobProgress) -> int:
    return sum(len(result.text) for result in progress.results)


def _indexed_part(
    name: str,
    item_ids: Sequence[str],
    places: Mapping[str, int],
    parts: Sequence[ResultPart],
) -> ResultPart:
    """Returns the reference to a part.

    Args:
        name: Name of the part.
        item_ids: Item of each of its entries.
        places: Place of each item in the submission, by its identity.
        parts: Indexed parts before it.
    """
    items = tuple(places.get(item_id, -1) for item_id in item_ids)
    first = position_after(parts, item=items[0] if items else None)
    return ResultPart(name=name, count=len(items), first=first, items=items)


def _skip_results(
    entries: Sequence[ItemResult], count: int
) -> Sequence[ItemResult]:
    """Returns the entries after those of the first `count` results."""
    if count <= 0:
        return entries
    for index in range(1, len(entries)):
        count -= entries[index].item_id != entries[index - 1].item_id
        if count == 0:
            return entries[index:]
    return ()


def _exceeds(entries: Sequence[ItemResult], *, max_bytes: int) -> bool:
    """Returns whether entries hold a whole result and exceed a page."""
    return (
        count_results([entry.item_id for entry in entries]) > 1
        and sum(len(msgspec.json.encode(entry)) for entry in entries)
        > max_bytes
    )


def _page(
    entries: Sequence[ItemResult], *, max_bytes: int, is_open: bool = False
) -> list[ItemResult]:
    """Returns the page of results that begins with the first entry.

    Args:
        entries: Entries of consecutive results.
        max_bytes: Maximum encoded size of the page.
        is_open: Whether the last result may have further entries.
    """
    results = join_fragments(entries)
    if is_open:
        results.pop()
    return list(page(results, after=0, max_bytes=max_bytes))


def _without_repeats(item_ids: Sequence[str]) -> list[str]:
    """Returns identities of entries with one for each result."""
    return [
        item_id
        for index, item_id in enumerate(item_ids)
        if not index or item_ids[index - 1] != item_id
    ]
