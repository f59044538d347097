"""Results of batch jobs that a process has read from the store."""

import asyncio
import sys
from collections.abc import Awaitable, Callable, Sequence

from endivespindle.batch.progress import ItemResult

__all__ = ["ResultCache"]

# Objects that are read and decoded at a time.
_MAX_READS = 2
# Memory of an entry besides its text, in bytes.
_ENTRY_BYTES = 400


class ResultCache:
    """Keeps the entries of result objects, which never change.

    Load pattern: a trainer reads a job from its start while its results are
    committed, and other clients read it from any position. All results of a job
    may exceed the memory of the process, so that the objects read least
    recently are dropped.

    Args:
        max_bytes: Most memory for the entries that are kept, in bytes.

    Attributes:
        held_bytes: Memory of the entries that are kept now, in bytes.
    """

    __slots__ = ("_entries", "_max_bytes", "_reads", "held_bytes")

    def __init__(self, *, max_bytes: int):
        self._max_bytes = max_bytes
        self._entries: dict[str, Sequence[ItemResult]] = {}
        self._reads = asyncio.Semaphore(_MAX_READS)
        self.held_bytes = 0

    async def get(
        self,
        name: str,
        read: Callable[[], Awaitable[Sequence[ItemResult]]],
    ) -> Sequence[ItemResult]:
        """Returns the entries of an object, which is read if it is not kept.

        Args:
            name: Name of the object.
            read: Reads the object; its errors are passed on.
        """
        entries = self._use(name)
        if entries is not None:
            return entries
        async with self._reads:
            # It may have been read meanwhile.
            entries = self._use(name)
            if entries is None:
                entries = await read()
                self.put(name, entries)
        return entries

    def put(self, name: str, entries: Sequence[ItemResult]) -> None:
        """Keeps the entries of an object as those used most recently."""
        self._drop(name)
        self._entries[name] = entries
        self.held_bytes += _size(entries)
        while self.held_bytes > self._max_bytes:
            self._drop(next(iter(self._entries)))

    def _use(self, name: str) -> Sequence[ItemResult] | None:
        entries = self._entries.pop(name, None)
        if entries is not None:
            self._entries[name] = entries
        return entries

    def _drop(self, name: str) -> None:
        entries = self._entries.pop(name, None)
        if entries is not None:
            self.held_bytes -= _size(entries)


def _size(entries: Sequence[ItemResult]) -> int:
    return sum(_ENTRY_BYTES + sys.getsizeof(entry.text) for entry in entries)
