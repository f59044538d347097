"""A lease kept in one object of the store."""

import asyncio

import msgspec

from endivespindle.core.digests import canonical_json
from endivespindle.core.ids import IdSource
from endivespindle.exceptions import (
    AnswerLostError,
    ConflictError,
    LeaseLostError,
    PlatformError,
    PlatformUnavailableError,
)
from endivespindle.leases.lease import Lease, LeaseWrite
from endivespindle.schema.generated.stored import Intent, LeaseRecord
from endivespindle.store.object_store import ObjectStore
from endivespindle.store.update import read_object

__all__ = ["LEASE_KIND", "StoredLease"]

LEASE_KIND = "lease"


class StoredLease:
    """Carries out the reads and writes that a lease asks for.

    Args:
        lease: Decides what to write.
        store: The object API.
        name: Name of the object.
        ids: Source of writers' tokens.
    """

    __slots__ = ("_ids", "_lock", "_store", "lease", "name")

    def __init__(
        self, *, lease: Lease, store: ObjectStore, name: str, ids: IdSource
    ):
        self.lease = lease
        self.name = name
        self._store = store
        self._ids = ids
        self._lock = asyncio.Lock()

    async def acquire_or_renew(self) -> None:
        """Renews the lease, or takes it if it is free.

        Raises:
            PlatformError: The store could not be reached.
        """
        async with self._lock:
            if self.lease.has_pending_write():
                await self._read()
            elif not self.lease.is_held():
                # An old record only delays the take-over: the update that
                # takes the lease fails unless the record is the newest.
                await self._read(stale=True)
            await self._write(None)

    async def record_intent(self, intent: Intent) -> None:
        """Writes an intent under the lease's own conditional update.

        Raises:
            LeaseLostError: The lease does not hold.
        """
        async with self._lock:
            if not self.lease.is_held():
                raise LeaseLostError(self.name)
            if self.lease.has_pending_write():
                await self._read()
            await self._write(intent)
        if not self.lease.is_held() or not self.lease.has_recorded(intent):
            raise LeaseLostError(self.name)

    async def release(self) -> bool:
        """Gives the lease up if that is safe; tells whether it was written."""
        write = self.lease.release_write(token=self._ids.new("l"))
        if write is None:
            return False
        try:
            await self._put(write)
        except PlatformError:
            # The successor waits the term out.
            return False
        return True

    async def _read(self, *, stale: bool = False) -> None:
        record, version = await read_object(
            self._store,
            kind=LEASE_KIND,
            name=self.name,
            cls=LeaseRecord,
            stale=stale,
        )
        self.lease.observe(record, version)

    async def _write(self, intent: Intent | None) -> None:
        write = self.lease.next_write(token=self._ids.new("l"), intent=intent)
        if write is None:
            return
        try:
            self.lease.write_succeeded(await self._put(write))
        except (ConflictError, AnswerLostError):
            self.lease.write_outcome_unknown()
            await self._read()
        except PlatformUnavailableError:
            self.lease.write_failed()

    async def _put(self, write: LeaseWrite) -> int:
        return await self._store.put(
            kind=LEASE_KIND,
            name=self.name,
            value=canonical_json(msgspec.to_builtins(write.record)),
            expect_version=write.expect_version,
        )
