"""One watch for each kind, shared by everything on a VM that waits."""

import asyncio
import contextlib
import random
from collections.abc import Iterable

from endivespindle.exceptions import PlatformError
from endivespindle.store.circuit_breaker import backoff_s
from endivespindle.store.object_store import ObjectStore, StoredObject

__all__ = ["ChangeNotifier"]

_UNKNOWN = -1


class ChangeNotifier:
    """Follows a kind while somebody waits, and wakes those concerned.

    A watch resumes from the version that the last one ended with, never from
    an object's own: changes of other objects of the kind would end it at
    once, again and again. Lost changes are made up for by listing.

    Args:
        store: The object API.
        kind: Kind watched.
        wait_s: Seconds for which one watch call waits.
        rng: Source of jitter.
    """

    __slots__ = (
        "_after",
        "_kind",
        "_news",
        "_rng",
        "_seen",
        "_store",
        "_wait_s",
        "_waiters",
        "_wanted",
    )

    def __init__(
        self,
        *,
        store: ObjectStore,
        kind: str,
        wait_s: float,
        rng: random.Random,
    ):
        self._store = store
        self._kind = kind
        self._wait_s = wait_s
        self._rng = rng
        self._after = _UNKNOWN
        self._seen: dict[str, int] = {}
        self._news = asyncio.Event()
        self._wanted = asyncio.Event()
        self._waiters = 0

    async def run(self) -> None:
        """Watches whenever somebody waits, for as long as the VM runs."""
        failures = 0
        while True:
            await self._wanted.wait()
            try:
                await self._step()
                failures = 0
            except PlatformError:
                failures += 1
                self._after = _UNKNOWN
                await asyncio.sleep(backoff_s(failures, rng=self._rng))

    async def wait_for_change(
        self, *, name: str, version: int, timeout_s: float
    ) -> None:
        """Waits until an object is newer than a version, or for a while.

        Args:
            name: Name of the object.
            version: Version already known.
            timeout_s: Seconds after which to return anyway.
        """
        self._waiters += 1
        self._wanted.set()
        try:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(timeout_s):
                    while self._seen.get(name, 0) <= version:
                        await self._news.wait()
        finally:
            self._waiters -= 1
            if not self._waiters:
                self._wanted.clear()

    async def _step(self) -> None:
        if self._after == _UNKNOWN:
            listed = await self._store.list_objects(kind=self._kind)
            self._after = listed.version
            self._note(listed.objects)
            return
        events = await self._store.watch(
            kind=self._kind, after=self._after, wait_s=self._wait_s
        )
        self._after = _UNKNOWN if events.lost else events.version
        self._note(events.objects)

    def _note(self, objects: Iterable[StoredObject]) -> None:
        for obj in objects:
            self._seen[obj.name] = max(obj.version, self._seen.get(obj.name, 0))
        self._news.set()
        self._news = asyncio.Event()
