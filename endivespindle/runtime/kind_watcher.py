"""Keeps a local copy of one kind of objects in step with the store."""

import asyncio
import random
from collections.abc import Callable

from endivespindle.core.clock import Clock
from endivespindle.exceptions import PlatformError
from endivespindle.runtime.telemetry import DecisionLog
from endivespindle.store.object_store import ObjectStore, StoredObject

__all__ = ["KindWatcher"]

# Pause after a failed call, doubled up to the longest one: a cut that heals
# must be noticed well within the bound on configuration, 2 s.
_FIRST_PAUSE_S = 0.1
_MAX_PAUSE_S = 0.5


class KindWatcher:
    """Lists a kind once, then follows its changes.

    Args:
        store: The object API.
        kind: Kind to follow.
        wait_s: Seconds for which one watch call waits; also the age that a
            confirmation may reach.
        clock: Clock of this VM.
        rng: Source of jitter.
        log: Where lost and regained contact is noted.
        on_list: Called with all objects after a list.
        on_change: Called with each changed object; removed ones have no
            value.
        on_confirmed: Called after each answer with the version reached and
            the time as of which it is known to be the newest.
        coalesce_s: Seconds to rest after changes before the next call.
    """

    __slots__ = (
        "_clock",
        "_kind",
        "_log",
        "_on_change",
        "_on_confirmed",
        "_on_list",
        "_reached",
        "_rng",
        "_settle_s",
        "_store",
        "_version",
        "_wait_s",
    )

    def __init__(
        self,
        *,
        store: ObjectStore,
        kind: str,
        wait_s: float,
        clock: Clock,
        rng: random.Random,
        log: DecisionLog,
        on_list: Callable[[list[StoredObject]], None],
        on_change: Callable[[StoredObject], None],
        on_confirmed: Callable[[int, float], None] | None = None,
        coalesce_s: float = 0.0,
    ):
        self._store = store
        self._kind = kind
        self._wait_s = wait_s
        self._clock = clock
        self._rng = rng
        self._log = log
        self._on_list = on_list
        self._on_change = on_change
        self._on_confirmed = on_confirmed
        self._settle_s = coalesce_s
        self._version: int | None = None
        self._reached = False

    async def run(self) -> None:
        """Follows the kind for as long as the node runs."""
        pause_s = _FIRST_PAUSE_S
        while True:
            asked_s = self._clock.monotonic()
            try:
                asked_s -= await self._step()
            except PlatformError as exc:
                if self._reached:
                    self._log.state(
                        "store_lost", kind=self._kind, error=str(exc)
                    )
                self._reached = False
                await asyncio.sleep(self._rng.uniform(pause_s / 2, pause_s))
                pause_s = min(_MAX_PAUSE_S, 2 * pause_s)
                continue
            if not self._reached:
                self._log.state(
                    "store_reached", kind=self._kind, version=self._version
                )
            self._reached = True
            pause_s = _FIRST_PAUSE_S
            if self._on_confirmed is not None and self._version is not None:
                self._on_confirmed(self._version, asked_s)

    async def _step(self) -> float:
        """Lists or watches once; returns the seconds the answer lags."""
        if self._version is None:
            listed = await self._store.list_objects(kind=self._kind)
            self._on_list(listed.objects)
            self._version = listed.version
            return listed.lag_s
        events = await self._store.watch(
            kind=self._kind, after=self._version, wait_s=self._wait_s
        )
        if events.lost:
            self._log.state("history_lost", kind=self._kind)
            self._version = None
            return await self._step()
        for obj in events.objects:
            self._on_change(obj)
        if events.objects and self._settle_s:
            # What changes within a moment comes with one answer.
            await asyncio.sleep(self._settle_s)
        # A relay may be behind what was read from the store itself.
        self._version = max(self._version, events.version)
        return events.lag_s
