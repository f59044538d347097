"""The rollout interface for trainers."""

import asyncio
import contextlib
from collections.abc import Iterator

from aiohttp import web

from endivespindle.capacity.demand import DemandMeter
from endivespindle.core.decoding import decode_json
from endivespindle.core.reasons import Reason, RetryReason
from endivespindle.exceptions import PlatformError, RefusedError
from endivespindle.gateway.callers import decode_body, read_body, resolve_key
from endivespindle.gateway.errors import json_response
from endivespindle.node.context import NodeContext
from endivespindle.node.delivery_log import DeliveryLog
from endivespindle.node.payload_replication import PayloadReplicator
from endivespindle.rollout.delivery import (
    OfferResult,
    acknowledge,
    check_cursor,
    declare_version,
    missing_slots,
    offer,
    reopen_lost_slot,
    return_sample,
)
from endivespindle.rollout.submission import split_step
from endivespindle.schema.generated.register import Trainer
from endivespindle.schema.generated.rollout import (
    Acknowledgement,
    DeliveredSample,
    LostSample,
    Sample,
    SampleBatch,
    SampleReturn,
    StepSubmission,
    VersionDeclaration,
)
from endivespindle.schema.generated.stored import DeliveryEntry, TrainerState
from endivespindle.store.change_notifier import ChangeNotifier
from endivespindle.store.object_store import ObjectStore

__all__ = ["RolloutHandler"]

_DEFAULT_LIMIT = 64
_MAX_LIMIT = 256
_MAX_WAIT_S = 20.0


class RolloutHandler:
    """Serves submit, pull, acknowledge, return and declare for trainers.

    Any VM serves any trainer: what must be agreed stands in one object.

    Args:
        ctx: Shared state of the VM.
        store: The object API.
        copies: Finds and drops payloads.
        meter: Counts demand.
        watch: Watches the trainers' states.
    """

    __slots__ = ("_copies", "_ctx", "_logs", "_meter", "_store", "_watch")

    def __init__(
        self,
        *,
        ctx: NodeContext,
        store: ObjectStore,
        copies: PayloadReplicator,
        meter: DemandMeter,
        watch: ChangeNotifier,
    ):
        self._ctx = ctx
        self._store = store
        self._copies = copies
        self._logs: dict[str, DeliveryLog] = {}
        self._meter = meter
        self._watch = watch

    async def submit(self, req: web.Request) -> web.Response:
        """Takes groups of a step; a repeat changes nothing."""
        trainer = self._trainer(req)
        step = decode_body(await read_body(self._ctx, req), StepSubmission)
        split = split_step(step)
        with _platform_refusals():
            await self._log(trainer).submit(split)
        for group in step.groups:
            self._meter.add(trainer.service, group.samples * group.max_tokens)
        return json_response({"step": step.step, "groups": len(step.groups)})

    async def declare(self, req: web.Request) -> web.Response:
        """Takes the trainer's newest weight version."""
        trainer = self._trainer(req)
        said = decode_body(await read_body(self._ctx, req), VersionDeclaration)
        with _platform_refusals():
            state = await self._log(trainer).update(
                lambda state: declare_version(state, said.version)
            )
        return json_response({"version": state.version})

    async def acknowledge(self, req: web.Request) -> web.Response:
        """Moves the trainer's cursor."""
        trainer = self._trainer(req)
        ack = decode_body(await read_body(self._ctx, req), Acknowledgement)
        log = self._log(trainer)
        with _platform_refusals():
            before, _ = await log.read()
            check_cursor(before, ack.cursor)
            taken = await log.entries_after(before, 0, ack.cursor)
            state = await log.update(
                lambda state: acknowledge(state, ack.cursor)
            )
        await self._copies.drop([e for e in taken if e.cursor <= ack.cursor])
        return json_response({"cursor": state.acked})

    async def return_sample(self, req: web.Request) -> web.Response:
        """Opens the slot of a lost sample that the trainer does not hold."""
        trainer = self._trainer(req)
        said = decode_body(await read_body(self._ctx, req), SampleReturn)
        log = self._log(trainer)
        with _platform_refusals():
            before, _ = await log.read()
            check_cursor(before, said.cursor)
            if said.cursor in before.voided:
                return json_response({"cursor": said.cursor})
            found = await log.entries_after(before, said.cursor - 1, 1)
            if not found or found[0].cursor != said.cursor:
                raise RefusedError(Reason.ALREADY_ACKNOWLEDGED)
            await log.update(lambda state: return_sample(state, found[0]))
        self._tell_reopened(trainer, found[0], "returned")
        return json_response({"cursor": said.cursor})

    async def pull(self, req: web.Request) -> web.Response:
        """Returns samples after a cursor, waiting a while for some."""
        trainer = self._trainer(req)
        cursor = int(_query_number(req, "cursor", 0))
        limit = int(_query_number(req, "limit", _DEFAULT_LIMIT))
        wait_s = min(_query_number(req, "wait_s", 0.0), _MAX_WAIT_S)
        deadline_s = self._ctx.clock.monotonic() + wait_s
        with _platform_refusals():
            while True:
                batch, version = await self._batch(
                    trainer, cursor, min(max(1, limit), _MAX_LIMIT)
                )
                remaining_s = deadline_s - self._ctx.clock.monotonic()
                if batch.samples or batch.lost or remaining_s <= 0:
                    return json_response(batch)
                await self._watch.wait_for_change(
                    name=trainer.name, version=version, timeout_s=remaining_s
                )

    async def _batch(
        self, trainer: Trainer, cursor: int, limit: int
    ) -> tuple[SampleBatch, int]:
        """Records what can be had as offered, and returns it."""
        log = self._log(trainer)
        state, version = await log.read()
        check_cursor(state, cursor)
        entries = await log.entries_after(state, cursor, limit)
        payloads, lost = await self._collect(trainer, state, entries)
        result: OfferResult | None = None

        def change(state: TrainerState) -> TrainerState:
            nonlocal result
            result = offer(
                state,
                entries[: len(payloads)],
                max_staleness_versions=trainer.max_staleness_versions,
            )
            return result.state

        state = await log.update(change)
        assert result is not None
        for entry in result.stale:
            self._ctx.metrics.count_retry(RetryReason.SAMPLE_STALE)
            self._tell_reopened(trainer, entry, "stale")
        cursors = [entry.cursor for entry in entries[: len(payloads)]]
        by_cursor = dict(zip(cursors, payloads, strict=True))
        samples = [
            DeliveredSample(
                cursor=entry.cursor,
                sample=decode_json(by_cursor[entry.cursor], type=Sample),
            )
            for entry in result.entries
        ]
        last = samples[-1].cursor if samples else max(cursor, state.acked)
        batch = SampleBatch(
            samples=samples,
            next_cursor=last,
            version=state.version,
            pending=len(missing_slots(state)),
            lost=lost,
        )
        return batch, version

    async def _collect(
        self,
        trainer: Trainer,
        state: TrainerState,
        entries: list[DeliveryEntry],
    ) -> tuple[list[bytes], LostSample | None]:
        """Fetches payloads up to the first one that cannot be had.

        A lost one that was never handed out gets its slot opened; one that
        was is named to the trainer, which alone knows whether it holds it.
        """
        found = await asyncio.gather(*(self._copies.fetch(e) for e in entries))
        await self._reopen(
            trainer,
            [
                entry
                for entry, fetched in zip(entries, found, strict=True)
                if fetched.lost and entry.cursor > state.offered
            ],
        )
        payloads: list[bytes] = []
        for entry, fetched in zip(entries, found, strict=True):
            if fetched.payload is None:
                known = fetched.lost and entry.cursor <= state.offered
                return payloads, _lost(entry) if known else None
            payloads.append(fetched.payload)
        return payloads, None

    async def _reopen(
        self, trainer: Trainer, entries: list[DeliveryEntry]
    ) -> None:
        """Opens the slots of lost samples, all in one update."""
        if not entries:
            return

        def change(state: TrainerState) -> TrainerState:
            for entry in entries:
                state = reopen_lost_slot(state, entry=entry)
            return state

        await self._log(trainer).update(change)
        for entry in entries:
            self._ctx.metrics.count_retry(RetryReason.PAYLOAD_LOST)
            self._tell_reopened(trainer, entry, "payload_lost")

    def _tell_reopened(
        self, trainer: Trainer, entry: DeliveryEntry, reason: str
    ) -> None:
        sample_id = f"{trainer.name}.{entry.step}.{entry.group}.{entry.index}"
        self._ctx.record_event(
            sample_id, "slot_reopened", reason=reason, cursor=entry.cursor
        )

    def _log(self, trainer: Trainer) -> DeliveryLog:
        log = self._logs.get(trainer.name)
        if log is None:
            log = self._logs[trainer.name] = DeliveryLog(
                store=self._store, trainer=trainer.name, ids=self._ctx.ids
            )
        return log

    def _trainer(self, req: web.Request) -> Trainer:
        """Returns the trainer named, if the key's account owns it."""
        record = resolve_key(self._ctx, req)
        trainer = self._ctx.view().trainers.get(req.match_info["trainer"])
        if trainer is None:
            raise RefusedError(Reason.TRAINER_UNKNOWN)
        if trainer.client_account != record.client_account:
            raise RefusedError(Reason.WRONG_ACCOUNT)
        return trainer


@contextlib.contextmanager
def _platform_refusals() -> Iterator[None]:
    """Turns failures of the platform into refusals.

    Every change of a trainer's state is idempotent, so that coming again is
    safe whether or not this one took effect.
    """
    try:
        yield
    except PlatformError as exc:
        raise RefusedError(
            Reason.PLATFORM_UNAVAILABLE, retry_after_s=1.0
        ) from exc


def _lost(entry: DeliveryEntry) -> LostSample:
    return LostSample(
        cursor=entry.cursor,
        step=entry.step,
        group=entry.group,
        index=entry.index,
    )


def _query_number(req: web.Request, name: str, default: float) -> float:
    try:
        value = float(req.query.get(name, default))
    except ValueError as exc:
        raise RefusedError(Reason.MALFORMED, name) from exc
    if not 0 <= value < 1e15:
        raise RefusedError(Reason.MALFORMED, name)
    return value
