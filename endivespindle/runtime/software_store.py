"""Keeps the software versions of the services in the store."""

import abc
import asyncio
import contextlib
import math
from collections.abc import Callable

import msgspec

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
from endivespindle.serving.stream_origins import STREAM_MEMORY_S
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
# Shortest interval between two reads of the record by a gateway: callers take
# many streams up at once.
_MIN_READ_INTERVAL_S = 0.1
# Longest wait for the store before a stream is refused.
_READ_TIMEOUT_S = 0.5
# Longest wait for the store before the first event of a stream, once for each
# software version.
_RECORD_TIMEOUT_S = 0.3
# Time for which a version counts as recorded, and as not recorded after a
# failure. The record drops a version some time after its last server.
_RECORDED_S = STREAM_MEMORY_S / 2
_NOT_RECORDED_S = 1.0


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

    @abc.abstractmethod
    async def ensure_recorded(self, service: str, software: str) -> bool:
        """Makes sure that other VMs know that a version may begin streams.

        Returns:
            Whether they do; not if the store cannot be reached.
        """


class StoredSoftwareProof(SoftwareProof):
    """Reads the record of the software versions when it is needed.

    A gateway adds a version that it begins streams at before the first event
    reaches a caller, so that the record holds it however late the VM that
    writes the others notices, and whatever a VM that reads it has missed.

    Args:
        store: Object store.
        directory: Known backend servers.
        is_first_start: Whether the fleet starts for the first time.
        clock: Clock of this VM.
        ids: Source of write tokens.
        log: Event log.
    """

    __slots__ = (
        "_clock",
        "_directory",
        "_ids",
        "_is_first_start",
        "_log",
        "_next_read",
        "_read_s",
        "_recorded",
        "_recording",
        "_store",
    )

    def __init__(
        self,
        *,
        store: ObjectStore,
        directory: ServerDirectory,
        is_first_start: bool,
        clock: Clock,
        ids: IdSource,
        log: EventLog,
    ):
        self._store = store
        self._directory = directory
        self._is_first_start = is_first_start
        self._clock = clock
        self._ids = ids
        self._log = log
        self._next_read: asyncio.Task[SoftwareHistory | None] | None = None
        self._read_s = -math.inf
        # Outcome and its end, by service and version.
        self._recorded: dict[tuple[str, str], tuple[bool, float]] = {}
        self._recording: dict[tuple[str, str], asyncio.Task[bool]] = {}

    async def sole_software(self, service: str) -> str | None:
        """Returns the only version that can have begun a stream of a service.

        Streams that are taken up together share one read of the store, which
        begins after the last of them arrived: a version may have begun one of
        them just before.
        """
        if self._next_read is None:
            self._next_read = asyncio.create_task(self._read_next())
        history = await asyncio.shield(self._next_read)
        if history is None:
            return None
        return sole_software(
            history.services.get(service),
            known=self._directory.software_versions(service),
            now_unix_s=self._clock.now().timestamp(),
        )

    async def ensure_recorded(self, service: str, software: str) -> bool:
        """Makes sure that other VMs know that a version may begin streams."""
        key = (service, software)
        is_recorded, until_s = self._recorded.get(key, (False, 0.0))
        if self._clock.monotonic() < until_s:
            return is_recorded
        task = self._recording.get(key)
        if task is None:
            task = asyncio.create_task(self._record(service, software))
            self._recording[key] = task
            task.add_done_callback(lambda done: self._recording.pop(key, None))
        return await asyncio.shield(task)

    async def _record(self, service: str, software: str) -> bool:
        def add(history: SoftwareHistory) -> SoftwareHistory:
            return observe_software(
                history,
                present={service: [software]},
                absent={},
                now_unix_s=self._clock.now().timestamp(),
                is_first_start=self._is_first_start,
            )

        try:
            async with asyncio.timeout(_RECORD_TIMEOUT_S):
                await update_object(
                    self._store,
                    kind=_KIND,
                    name=_NAME,
                    initial=SoftwareHistory(),
                    change=add,
                    ids=self._ids,
                )
        except (PlatformError, TimeoutError, msgspec.MsgspecError) as exc:
            self._log.event(
                "software_not_confirmed",
                service=service,
                software=software,
                error=repr(exc),
            )
            self._remember(service, software, False, _NOT_RECORDED_S)
            return False
        self._remember(service, software, True, _RECORDED_S)
        self._log.event(
            "software_confirmed", service=service, software=software
        )
        return True

    def _remember(
        self, service: str, software: str, is_recorded: bool, time_s: float
    ) -> None:
        until_s = self._clock.monotonic() + time_s
        self._recorded[service, software] = (is_recorded, until_s)

    async def _read_next(self) -> SoftwareHistory | None:
        """Reads the record once the interval to the last read has passed."""
        wait_s = self._read_s + _MIN_READ_INTERVAL_S - self._clock.monotonic()
        if wait_s > 0.0:
            await asyncio.sleep(wait_s)
        self._read_s = self._clock.monotonic()
        self._next_read = None
        return await self._read_history()

    async def _read_history(self) -> SoftwareHistory | None:
        """Returns the record; None if it cannot be read."""
        try:
            async with asyncio.timeout(_READ_TIMEOUT_S):
                stored, _ = await read_object(
                    self._store, kind=_KIND, name=_NAME, cls=SoftwareHistory
                )
        except (PlatformError, TimeoutError, msgspec.MsgspecError) as exc:
            self._log.event("software_history_not_read", error=repr(exc))
            return None
        return stored
