"""Flushes the usage of every VM; closes and reports usage windows."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec

from endivespindle.core.decoding import decode_json
from endivespindle.core.reasons import RetryReason
from endivespindle.exceptions import (
    AnswerLostError,
    ConflictError,
    PlatformError,
)
from endivespindle.node.context import NodeContext
from endivespindle.node.lease_keeper import LeaseKeeper
from endivespindle.node.receipts import ReceiptWriter
from endivespindle.schema.generated.stored import (
    UsageClosing,
    UsagePart,
    WindowFreeze,
)
from endivespindle.store.interfaces import UsageInterface
from endivespindle.store.object_store import ObjectStore
from endivespindle.store.update import read_object, update_object
from endivespindle.usage.closing import (
    CORRECTION_WINDOWS,
    CreateFreeze,
    DeleteParts,
    ListParts,
    ReadFreeze,
    ReadState,
    SaveState,
    SendReport,
    Wait,
    WindowCloser,
    merge_closing,
)
from endivespindle.usage.flushing import PartFlusher, PutPart, ReadPart

__all__ = [
    "CLOSING_KIND",
    "FREEZE_KIND",
    "PART_KIND",
    "UsageFlusher",
    "UsageRole",
]

PART_KIND = "usage-part"
FREEZE_KIND = "usage-window"
CLOSING_KIND = "usage-closing"
CLOSING_NAME = "state"

_REPORT_TIMEOUT_S = 1.5
_IDLE_FLUSH_INTERVAL_S = 1.0


class UsageFlusher:
    """Writes one VM's usage counts to the store at a fixed interval.

    Args:
        ctx: Shared state of the VM.
        store: The object API.
    """

    __slots__ = ("_ctx", "_flusher", "_lock", "_receipt_writer", "_store")

    def __init__(self, *, ctx: NodeContext, store: ObjectStore):
        self._ctx = ctx
        self._store = store
        self._lock = asyncio.Lock()
        self._flusher = PartFlusher(
            ledger=ctx.ledger,
            vm=ctx.settings.vm.name,
            incarnation=ctx.incarnation,
        )
        self._receipt_writer: ReceiptWriter | None = None
        if ctx.receipts is not None:
            self._receipt_writer = ReceiptWriter(
                book=ctx.receipts,
                folder=ctx.settings.data.folder,
                vm=f"{ctx.settings.vm.name}.{ctx.incarnation}",
            )

    async def run(self) -> None:
        """Flushes at a fixed interval until cancelled."""
        while True:
            interval_s = _IDLE_FLUSH_INTERVAL_S
            if self._ctx.register.view is not None:
                rules = self._ctx.view().register.rules
                interval_s = rules.usage_flush_interval_s
                await self.flush()
                self._discard_old_windows()
            await asyncio.sleep(interval_s)

    async def flush(self) -> bool:
        """Writes all pending receipts and usage counts.

        Returns:
            Whether all usage counts are written.
        """
        async with self._lock:
            await self._write_receipts()
            for window in self._flusher.pending_windows():
                try:
                    await self._flush_window(window)
                except PlatformError as exc:
                    self._ctx.metrics.count_retry(
                        RetryReason.PLATFORM_UNAVAILABLE
                    )
                    self._ctx.log.warning(
                        "flush_failed", window=window, error=str(exc)
                    )
            return not self._flusher.pending_windows()

    def _discard_old_windows(self) -> None:
        oldest = self._ctx.current_window() - CORRECTION_WINDOWS
        self._flusher.remove_before(oldest)
        if self._ctx.receipts is not None:
            self._ctx.receipts.remove_before(oldest)

    async def _write_receipts(self) -> None:
        if self._receipt_writer is None:
            return
        try:
            await self._receipt_writer.write()
        except OSError as exc:
            self._ctx.log.error("receipts_not_written", error=str(exc))

    async def _flush_window(self, window: int) -> None:
        token = self._ctx.ids.new("u")
        step = self._flusher.next_call(window, token=token)
        if isinstance(step, ReadPart):
            part, version = await read_object(
                self._store, kind=PART_KIND, name=step.name, cls=UsagePart
            )
            self._flusher.resolve_write(window, part, version)
            step = self._flusher.next_call(window, token=token)
        if isinstance(step, PutPart):
            await self._put_part(window, step)

    async def _put_part(self, window: int, step: PutPart) -> None:
        try:
            version = await self._store.put(
                kind=PART_KIND,
                name=step.name,
                value=msgspec.json.encode(step.part),
                expect_version=step.expect_version,
            )
        except (ConflictError, AnswerLostError):
            self._flusher.write_outcome_unknown(window)
            raise
        except PlatformError:
            self._flusher.write_failed(window)
            raise
        except BaseException:
            self._flusher.write_outcome_unknown(window)
            raise
        self._flusher.write_succeeded(window, version)


class UsageRole:
    """Executes the actions of the window closer, under a lease.

    Args:
        ctx: Shared state of the VM.
        store: The object API.
        usage: Interface that receives usage reports.
    """

    __slots__ = ("_closer", "_ctx", "_handlers", "_store", "_usage")

    def __init__(
        self, *, ctx: NodeContext, store: ObjectStore, usage: UsageInterface
    ):
        self._ctx = ctx
        self._store = store
        self._usage = usage
        self._closer: WindowCloser
        self._handlers: dict[type, Callable[[Any], Awaitable[None]]] = {
            ReadState: self._read_state,
            ListParts: self._list_parts,
            ReadFreeze: self._read_freeze,
            CreateFreeze: self._create_freeze,
            SaveState: self._save_state,
            DeleteParts: self._delete_parts,
            SendReport: self._send_report,
            Wait: self._wait,
        }

    async def run(self, keeper: LeaseKeeper) -> None:
        """Closes and reports due windows until the lease is lost."""
        rules = self._ctx.view().register.rules
        self._closer = WindowCloser(
            clock=self._ctx.clock,
            rng=self._ctx.rng,
            window_s=rules.usage_window_s,
            grace_s=rules.usage_grace_s,
            epoch=keeper.lease.epoch,
        )
        while keeper.lease.is_held():
            action = self._closer.next_action(
                may_send=keeper.lease.may_send(timeout_s=_REPORT_TIMEOUT_S),
                token=self._ctx.ids.new("f"),
            )
            try:
                await self._handlers[type(action)](action)
            except PlatformError as exc:
                self._ctx.metrics.count_retry(RetryReason.PLATFORM_UNAVAILABLE)
                self._ctx.log.warning("usage_step_failed", error=str(exc))
                await asyncio.sleep(self._closer.on_platform_error())

    async def _read_state(self, action: ReadState) -> None:
        del action
        state, _ = await read_object(
            self._store, kind=CLOSING_KIND, name=CLOSING_NAME, cls=UsageClosing
        )
        self._closer.on_state_read(state)

    async def _list_parts(self, action: ListParts) -> None:
        del action
        listed = await self._store.list_objects(kind=PART_KIND)
        self._closer.on_parts_listed(
            {
                obj.name: decode_json(obj.value, type=UsagePart)
                for obj in listed.objects
                if obj.value is not None
            }
        )

    async def _read_freeze(self, action: ReadFreeze) -> None:
        freeze, _ = await read_object(
            self._store,
            kind=FREEZE_KIND,
            name=str(action.window),
            cls=WindowFreeze,
        )
        self._closer.on_freeze_read(action.window, freeze)

    async def _create_freeze(self, action: CreateFreeze) -> None:
        freeze = action.freeze
        try:
            await self._store.put(
                kind=FREEZE_KIND,
                name=str(freeze.window),
                value=msgspec.json.encode(freeze),
                expect_version=0,
            )
        except (ConflictError, AnswerLostError):
            self._closer.on_freeze_create_result(freeze, created=False)
            return
        self._closer.on_freeze_create_result(freeze, created=True)
        self._ctx.log.info(
            "usage_window_closed",
            window=freeze.window,
            epoch=freeze.epoch,
            accounts=len(freeze.reports),
            parts=len(freeze.included),
        )

    async def _save_state(self, action: SaveState) -> None:
        state = await update_object(
            self._store,
            kind=CLOSING_KIND,
            name=CLOSING_NAME,
            initial=action.state,
            change=lambda stored: merge_closing(stored, action.state),
            ids=self._ctx.ids,
        )
        self._closer.on_state_saved(state)

    async def _delete_parts(self, action: DeleteParts) -> None:
        for name in action.names:
            obj = await self._store.get(kind=PART_KIND, name=name)
            if obj is None or obj.value is None:
                continue
            try:
                await self._store.delete(
                    kind=PART_KIND, name=name, expect_version=obj.version
                )
            except ConflictError:
                continue
        self._closer.on_parts_deleted()

    async def _send_report(self, action: SendReport) -> None:
        report = action.report
        try:
            await self._usage.report(report, timeout_s=_REPORT_TIMEOUT_S)
        except PlatformError as exc:
            self._ctx.metrics.count_retry(RetryReason.REPORT_UNTAKEN)
            self._ctx.log.warning(
                "report_untaken",
                client_account=report.client_account,
                window=report.window,
                error=str(exc),
            )
            self._closer.on_report_unconfirmed(report)
            return
        self._closer.on_report_accepted(report)
        self._ctx.log.info(
            "report_taken",
            client_account=report.client_account,
            window=report.window,
            chain=report.chain,
        )

    async def _wait(self, action: Wait) -> None:
        await asyncio.sleep(action.seconds)
