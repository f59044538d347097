"""Keeps quarantined requests in the store, beyond a restart of all VMs."""

import asyncio
from collections.abc import Callable

import msgspec

from endivespindle.core.clock import Clock
from endivespindle.core.ids import IdSource
from endivespindle.exceptions import PlatformError
from endivespindle.runtime.telemetry import EventLog
from endivespindle.serving.crash_evidence import CrashEvidence, CrashRecord
from endivespindle.store.object_store import ObjectStore
from endivespindle.store.update import read_object, update_object

__all__ = ["QuarantineStore"]

_KIND = "crash-evidence"
_NAME = "quarantined"
# Time between two looks at the evidence; bounds the writes per second.
_INTERVAL_S = 0.5
# Pause after the store could not be reached.
_RETRY_PAUSE_S = 2.0
# A record takes some 300 bytes, and an object holds up to a megabyte.
_MAX_RECORDS = 500


class _StoredEvidence(msgspec.Struct, kw_only=True):
    """Quarantined requests; the ages hold at `saved_unix_s`."""

    saved_unix_s: float = 0.0
    records: list[CrashRecord] = []
    token: str = ""


class QuarantineStore:
    """Reads quarantined requests at the start and writes each change.

    Quarantines are rare, and one object holds them all: a start costs one read,
    and a change one write.

    Args:
        store: Object store.
        evidence: Crashes known to this VM.
        may_write: Returns whether this VM is the one that writes.
        clock: Clock of this VM.
        ids: Source of write tokens.
        log: Event log.
    """

    __slots__ = (
        "_clock",
        "_evidence",
        "_ids",
        "_log",
        "_may_write",
        "_saved",
        "_store",
    )

    def __init__(
        self,
        *,
        store: ObjectStore,
        evidence: CrashEvidence,
        may_write: Callable[[], bool],
        clock: Clock,
        ids: IdSource,
        log: EventLog,
    ):
        self._store = store
        self._evidence = evidence
        self._may_write = may_write
        self._clock = clock
        self._ids = ids
        self._log = log
        self._saved: dict[str, int] | None = None

    async def run(self) -> None:
        """Keeps the object and the evidence in step until cancelled."""
        while True:
            pause_s = _INTERVAL_S
            try:
                if self._saved is None:
                    await self._read()
                elif self._may_write() and self._saved != self._quarantined():
                    await self._write()
            except PlatformError as exc:
                self._log.event("quarantines_not_stored", error=str(exc))
                pause_s = _RETRY_PAUSE_S
            await asyncio.sleep(pause_s)

    async def _read(self) -> None:
        stored, _ = await read_object(
            self._store, kind=_KIND, name=_NAME, cls=_StoredEvidence
        )
        stored = stored or _StoredEvidence()
        self._evidence.merge(self._with_current_ages(stored))
        self._saved = _crashes_by_digest(stored.records)

    async def _write(self) -> None:
        written = await update_object(
            self._store,
            kind=_KIND,
            name=_NAME,
            initial=_StoredEvidence(),
            change=self._replace,
            ids=self._ids,
        )
        self._saved = _crashes_by_digest(written.records)

    def _replace(self, stored: _StoredEvidence) -> _StoredEvidence:
        """Returns what this VM knows, including what another one stored."""
        self._evidence.merge(self._with_current_ages(stored))
        records = self._evidence.quarantined()[-_MAX_RECORDS:]
        if _crashes_by_digest(records) == _crashes_by_digest(stored.records):
            return stored
        return _StoredEvidence(
            saved_unix_s=self._clock.now().timestamp(), records=records
        )

    def _quarantined(self) -> dict[str, int]:
        return _crashes_by_digest(self._evidence.quarantined()[-_MAX_RECORDS:])

    def _with_current_ages(self, stored: _StoredEvidence) -> list[CrashRecord]:
        age_s = max(0.0, self._clock.now().timestamp() - stored.saved_unix_s)
        for record in stored.records:
            for loss in record.losses:
                loss.age_s += age_s
            if record.completed_age_s is not None:
                record.completed_age_s += age_s
        return stored.records


def _crashes_by_digest(records: list[CrashRecord]) -> dict[str, int]:
    return {record.digest: len(record.losses) for record in records}
