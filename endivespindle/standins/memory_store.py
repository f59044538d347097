"""An object store in memory that can be told to misbehave."""

import asyncio
import collections
import itertools

from endivespindle.exceptions import (
    AnswerLostError,
    ConflictError,
    PlatformUnavailableError,
)
from endivespindle.standins.faults import PlatformFaults
from endivespindle.store.object_store import (
    ObjectList,
    ObjectStore,
    StoredObject,
    WatchEvents,
)

__all__ = ["MemoryObjectStore"]

_MAX_VALUE_BYTES = 1_048_576
_HISTORY_LENGTH = 4096
_LEAST_WAIT_S = 1e-6
_KIND_HISTORY_LENGTH = 512


class MemoryObjectStore(ObjectStore):
    """Keeps objects in memory; the faults are shared with its owner.

    Attributes:
        faults: How it misbehaves just now.
        reads: Reads counted, watches included.
        writes: Writes counted.
        log: Every write that took effect, oldest first.
    """

    __slots__ = (
        "_changed",
        "_floors",
        "_history",
        "_objects",
        "_version",
        "faults",
        "log",
        "reads",
        "writes",
    )

    def __init__(self, *, faults: PlatformFaults | None = None):
        self.faults = faults or PlatformFaults()
        self.reads = 0
        self.writes = 0
        self.log: list[StoredObject] = []
        self._objects: dict[tuple[str, str], StoredObject] = {}
        self._version = 0
        self._history: dict[str, collections.deque[StoredObject]] = {}
        self._floors: dict[str, int] = {}
        self._changed: dict[str, asyncio.Event] = {}

    async def get(self, *, kind: str, name: str) -> StoredObject | None:
        """Returns an object, or None if there is none."""
        self.reads += 1
        await self._disturb()
        return self._objects.get((kind, name))

    async def list_objects(self, *, kind: str, prefix: str = "") -> ObjectList:
        """Returns the objects of a kind whose names start with a prefix."""
        self.reads += 1
        await self._disturb()
        objects = [
            obj
            for obj in self._objects.values()
            if obj.kind == kind and obj.name.startswith(prefix)
        ]
        return ObjectList(version=self._version, objects=objects)

    async def put(
        self, *, kind: str, name: str, value: bytes, expect_version: int
    ) -> int:
        """Writes an object if it still has a version."""
        self.writes += 1
        await self._disturb()
        if len(value) > _MAX_VALUE_BYTES:
            raise ConflictError(f"{kind}/{name}: value over a megabyte")
        self._expect(kind, name, expect_version)
        version = self._apply(kind, name, value)
        self._maybe_lose_answer()
        return version

    async def delete(
        self, *, kind: str, name: str, expect_version: int
    ) -> None:
        """Deletes an object if it still has a version."""
        self.writes += 1
        await self._disturb()
        self._expect(kind, name, expect_version)
        self._apply(kind, name, None)
        self._maybe_lose_answer()

    async def watch(
        self, *, kind: str, after: int, wait_s: float
    ) -> WatchEvents:
        """Waits for changes of a kind after a version."""
        self.reads += 1
        await self._disturb()
        loop = asyncio.get_running_loop()
        deadline = loop.time() + wait_s
        while True:
            if after < self._floors.get(kind, 0):
                return WatchEvents(version=self._version, objects=[], lost=True)
            found = self._changes(kind, after)
            remaining = deadline - loop.time()
            if found or remaining <= _LEAST_WAIT_S:
                return WatchEvents(version=self._version, objects=found)
            await self._wait_for_change(kind, remaining)
            await self._disturb()

    def _changes(self, kind: str, after: int) -> list[StoredObject]:
        """Returns a kind's changes after a version, oldest first."""
        newer = itertools.takewhile(
            lambda obj: obj.version > after,
            reversed(self._history.get(kind, ())),
        )
        return list(newer)[::-1]

    async def _wait_for_change(self, kind: str, timeout_s: float) -> None:
        changed = self._changed.setdefault(kind, asyncio.Event())
        try:
            await asyncio.wait_for(changed.wait(), timeout_s)
        except TimeoutError:
            return

    async def _disturb(self) -> None:
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        if self.faults.down:
            raise PlatformUnavailableError("the platform is down")

    def _expect(self, kind: str, name: str, version: int) -> None:
        obj = self._objects.get((kind, name))
        held = obj.version if obj else 0
        if held != version:
            raise ConflictError(f"{kind}/{name}: {held}, not {version}")

    def _apply(self, kind: str, name: str, value: bytes | None) -> int:
        self._version += 1
        obj = StoredObject(
            kind=kind, name=name, version=self._version, value=value
        )
        if value is None:
            self._objects.pop((kind, name), None)
        else:
            self._objects[kind, name] = obj
        self.log.append(obj)
        del self.log[:-_HISTORY_LENGTH]
        self._remember(obj)
        return self._version

    def _remember(self, obj: StoredObject) -> None:
        history = self._history.setdefault(obj.kind, collections.deque())
        history.append(obj)
        if len(history) > _KIND_HISTORY_LENGTH:
            self._floors[obj.kind] = history.popleft().version
        changed = self._changed.pop(obj.kind, None)
        if changed is not None:
            changed.set()

    def _maybe_lose_answer(self) -> None:
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            raise AnswerLostError("the answer was lost")
