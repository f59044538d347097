"""A lease stored in one object of the platform's store."""

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
    """Reads and writes the object of a lease as its state machine requires.

    Args:
        lease: State machine that decides what to write.
        store: The object API.
        name: Name of the object.
        ids: Source of write tokens.
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
        """Acquires the lease if it is free, or renews it if it is held.

        Raises:
            PlatformError: The store could not be read.
        """
        async with self._lock:
            if self.lease.has_pending_write():
                await self._read()
            elif not self.lease.is_held():
                # A stale record can only delay the takeover: the conditional
                # update that acquires the lease fails unless it is current.
                await self._read(allow_stale=True)
            await self._write(None)

    async def record_intent(self, intent: Intent) -> None:
        """Stores an intent in the lease object, by conditional update.

        Args:
            intent: Intent of an operation that is to be sent.

        Raises:
            LeaseLostError: The lease is not held, or the intent could not be
                stored under it.
            PlatformError: The store could not be read.
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
        """Releases the lease if that is safe.

        Returns:
            Whether the release was stored.
        """
        write = self.lease.release_write(token=self._ids.new("l"))
        if write is None:
            return False
        try:
            await self._put(write)
        except PlatformError:
            # The successor waits for the lease to expire.
            return False
        return True

    async def _read(self, *, allow_stale: bool = False) -> None:
        record, version = await read_object(
            self._store,
            kind=LEASE_KIND,
            name=self.name,
            cls=LeaseRecord,
            allow_stale=allow_stale,
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
