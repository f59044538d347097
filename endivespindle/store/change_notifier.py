"""One watch per kind, shared by all tasks of a VM that wait for changes."""

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
    """Watches a kind while tasks wait, and wakes them on changes.

    A watch resumes from the store version at which the last one ended, never
    from the version of an object: changes to other objects of the kind would
    end it immediately, again and again. If the store no longer has all
    changes, the kind is listed again.

    Args:
        store: The object API.
        kind: Kind to watch.
        wait_s: Seconds for which one watch call waits.
        rng: Source of the jitter.
    """

    __slots__ = (
        "_changed",
        "_has_waiters",
        "_kind",
        "_rng",
        "_store",
        "_versions",
        "_wait_s",
        "_waiters",
        "_watch_version",
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
        self._watch_version = _UNKNOWN
        self._versions: dict[str, int] = {}
        self._changed = asyncio.Event()
        self._has_waiters = asyncio.Event()
        self._waiters = 0

    async def run(self) -> None:
        """Watches while any task waits; runs until cancelled."""
        failures = 0
        while True:
            await self._has_waiters.wait()
            try:
                await self._list_or_watch()
                failures = 0
            except PlatformError:
                failures += 1
                self._watch_version = _UNKNOWN
                await asyncio.sleep(backoff_s(failures, rng=self._rng))

    async def wait_for_change(
        self, *, name: str, version: int, timeout_s: float
    ) -> None:
        """Waits until an object has a newer version, or for a timeout.

        Args:
            name: Name of the object.
            version: Last known version of the object.
            timeout_s: Seconds after which to return without a change.
        """
        self._waiters += 1
        self._has_waiters.set()
        try:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(timeout_s):
                    while self._versions.get(name, 0) <= version:
                        await self._changed.wait()
        finally:
            self._waiters -= 1
            if not self._waiters:
                self._has_waiters.clear()

    async def _list_or_watch(self) -> None:
        if self._watch_version == _UNKNOWN:
            listed = await self._store.list_objects(kind=self._kind)
            self._watch_version = listed.version
            self._record_versions(listed.objects)
            return
        events = await self._store.watch(
            kind=self._kind, after=self._watch_version, wait_s=self._wait_s
        )
        self._watch_version = _UNKNOWN if events.lost else events.version
        self._record_versions(events.objects)

    def _record_versions(self, objects: Iterable[StoredObject]) -> None:
        for obj in objects:
            self._versions[obj.name] = max(
                obj.version, self._versions.get(obj.name, 0)
            )
        self._changed.set()
        self._changed = asyncio.Event()
