"""Keeps the software versions of the services in the store."""

import abc
import asyncio
import contextlib
from collections.abc import Callable

from endivespindle.core.clock import Clock
from endivespindle.core.ids import IdSource
from endivespindle.exceptions import PlatformError
from endivespindle.runtime.telemetry import EventLog
from endivespindle.serving.directory import ServerDirectory
from endivespindle.serving.software_history import (
    SoftwareHistory,
    observe_software,
    sole_software,
)
from endivespindle.store.object_store import ObjectStore
from endivespindle.store.update import read_object, update_object

__all__ = ["SoftwareProof", "SoftwareRecorder", "StoredSoftwareProof"]

_KIND = "software-history"
_NAME = "services"
# Interval at which the writer looks for software versions without a server.
_CHECK_INTERVAL_S = 1.0
# Time after which a version without a server has left: entries lapse for a
# moment while the store is away.
_LEFT_AFTER_S = 5.0
# Pause after the store could not be reached.
_RETRY_PAUSE_S = 1.0
# Age up to which a gateway uses the record that it read: callers take many
# streams up at once.
_MAX_RECORD_AGE_S = 0.5
# Longest wait for the store before a stream is refused.
_READ_TIMEOUT_S = 0.5


class SoftwareRecorder:
    """Records which software versions serve, on each change.

    One VM writes; a release costs a few writes, and a stream none.

    Args:
        store: Object store.
        directory: Known backend servers.
        may_write: Returns whether this VM is the one that writes.
        is_first_start: Whether the fleet starts for the first time.
        clock: Clock of this VM.
        ids: Source of write tokens.
        log: Event log.
    """

    __slots__ = (
        "_absent_since_s",
        "_changed",
        "_clock",
        "_directory",
        "_history",
        "_ids",
        "_is_first_start",
        "_log",
        "_may_write",
        "_store",
    )

    def __init__(
        self,
        *,
        store: ObjectStore,
        directory: ServerDirectory,
        may_write: Callable[[], bool],
        is_first_start: bool,
        clock: Clock,
        ids: IdSource,
        log: EventLog,
    ):
        self._store = store
        self._directory = directory
        self._may_write = may_write
        self._is_first_start = is_first_start
        self._clock = clock
        self._ids = ids
        self._log = log
        self._history: SoftwareHistory | None = None
        self._absent_since_s: dict[tuple[str, str], float] = {}
        self._changed = asyncio.Event()

    def wake(self) -> None:
        """Makes a change of the servers known at once."""
        self._changed.set()

    async def run(self) -> None:
        """Writes each change of the software versions until cancelled."""
        while True:
            # Versions that left show by their absence only.
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), _CHECK_INTERVAL_S)
            self._changed.clear()
            if not self._may_write():
                # Another VM may write meanwhile.
                self._history = None
                continue
            if not len(self._directory):
                continue
            try:
                await self._update()
            except PlatformError as exc:
                self._log.event("software_not_recorded", error=str(exc))
                await asyncio.sleep(_RETRY_PAUSE_S)

    async def _update(self) -> None:
        if self._history is None:
            stored, _ = await read_object(
                self._store, kind=_KIND, name=_NAME, cls=SoftwareHistory
            )
            self._history = stored or SoftwareHistory()
        if self._observe(self._history) is self._history:
            return
        self._history = await update_object(
            self._store,
            kind=_KIND,
            name=_NAME,
            initial=SoftwareHistory(),
            change=self._observe,
            ids=self._ids,
        )
        self._log.event(
            "software_recorded",
            services={
                name: service.left_unix_s
                for name, service in self._history.services.items()
            },
        )

    def _observe(self, history: SoftwareHistory) -> SoftwareHistory:
        present = self._directory.present_software()
        return observe_software(
            history,
            present=present,
            absent=self._absent(history, present),
            now_unix_s=self._clock.now().timestamp(),
            is_first_start=self._is_first_start,
        )

    def _absent(
        self, history: SoftwareHistory, present: dict[str, set[str]]
    ) -> dict[str, list[str]]:
        """Returns the recorded versions without a server for long enough."""
        now_s = self._clock.monotonic()
        since_s: dict[tuple[str, str], float] = {}
        absent: dict[str, list[str]] = {}
        for service, recorded in history.services.items():
            for software in recorded.left_unix_s:
                if software in present.get(service, ()):
                    continue
                key = (service, software)
                since_s[key] = self._absent_since_s.get(key, now_s)
                if now_s - since_s[key] >= _LEFT_AFTER_S:
                    absent.setdefault(service, []).append(software)
        self._absent_since_s = since_s
        return absent


class SoftwareProof(abc.ABC):
    """Tells which software began the streams whose origin nobody knows."""

    __slots__ = ()

    @abc.abstractmethod
    async def sole_software(self, service: str) -> str | None:
        """Returns the only version that can have begun a stream of a service.

        Returns:
            None if there may have been several, or if it is not known.
        """


class StoredSoftwareProof(SoftwareProof):
    """Reads the record of the software versions when it is needed.

    Args:
        store: Object store.
        directory: Known backend servers.
        clock: Clock of this VM.
        log: Event log.
    """

    __slots__ = ("_clock", "_directory", "_log", "_read", "_read_s", "_store")

    def __init__(
        self,
        *,
        store: ObjectStore,
        directory: ServerDirectory,
        clock: Clock,
        log: EventLog,
    ):
        self._store = store
        self._directory = directory
        self._clock = clock
        self._log = log
        self._read: asyncio.Task[SoftwareHistory | None] | None = None
        self._read_s = 0.0

    async def sole_software(self, service: str) -> str | None:
        """Returns the only version that can have begun a stream of a service.

        Streams that are taken up together share one read of the store.
        """
        now_s = self._clock.monotonic()
        if self._read is None or now_s - self._read_s > _MAX_RECORD_AGE_S:
            self._read_s = now_s
            self._read = asyncio.create_task(self._read_history())
        history = await asyncio.shield(self._read)
        if history is None:
            return None
        return sole_software(
            history.services.get(service),
            known=self._directory.software_versions(service),
            now_unix_s=self._clock.now().timestamp(),
        )

    async def _read_history(self) -> SoftwareHistory | None:
        """Returns the record; None if it cannot be read."""
        try:
            async with asyncio.timeout(_READ_TIMEOUT_S):
                stored, _ = await read_object(
                    self._store, kind=_KIND, name=_NAME, cls=SoftwareHistory
                )
        except (PlatformError, TimeoutError) as exc:
            self._log.event("software_history_not_read", error=repr(exc))
            return None
        return stored
