"""Generates the texts of a batch job's items, event by event."""

import asyncio
from collections.abc import AsyncIterator

from endivespindle.batch.job import ItemPhase, ItemState
from endivespindle.batch.pace import best_pace, should_move, silence_limit_s
from endivespindle.batch.schedule import hint_events
from endivespindle.core.clock import Clock
from endivespindle.core.reasons import Reason, RetryReason
from endivespindle.exceptions import BackendServerError
from endivespindle.runtime.forwarding import open_attempt
from endivespindle.runtime.owned_job import OwnedJob
from endivespindle.runtime.telemetry import DecisionLog, NodeMetrics
from endivespindle.schema.generated.caller import RunState
from endivespindle.serving.calls import (
    Answer,
    ServerApi,
    ServerCall,
    StreamEvent,
)
from endivespindle.serving.directory import ServerDirectory, ServerView

__all__ = ["CompletionRunner"]

# Pauses before an item is sent again.
_BUSY_PAUSE_S = 0.1
_LOADING_PAUSE_S = 0.15
_FAILED_PAUSE_S = 0.05
# Weight of the newest gap between two events in a text's moving average.
_PACE_SMOOTHING = 0.3
# Events between two looks for a faster server, each of which goes through all
# servers of the service.
_EVENTS_PER_LOOK = 4
_REJECTED = 422
_SERVER_FAILED = 500


class _Pace:
    """Seconds between the events of one answer, as of late."""

    __slots__ = ("_clock", "_last_s", "average_s", "events")

    def __init__(self, *, clock: Clock):
        self._clock = clock
        self._last_s = clock.monotonic()
        self.average_s = 0.0
        self.events = 0

    def event(self) -> float:
        """Counts an event; returns the seconds since the one before."""
        now_s = self._clock.monotonic()
        gap_s = now_s - self._last_s
        self._last_s = now_s
        self.events += 1
        if self.events > 1:
            known = self.average_s or gap_s
            self.average_s = known + _PACE_SMOOTHING * (gap_s - known)
        return gap_s


class CompletionRunner:
    """Runs items at backend servers and takes in what they generate.

    Args:
        api: Speaks to backend servers.
        directory: Backend servers known.
        clock: Clock of this VM.
        log: Where decisions are written.
        metrics: Counters.
    """

    __slots__ = ("_api", "_clock", "_directory", "_log", "_metrics")

    def __init__(
        self,
        *,
        api: ServerApi,
        directory: ServerDirectory,
        clock: Clock,
        log: DecisionLog,
        metrics: NodeMetrics,
    ):
        self._api = api
        self._directory = directory
        self._clock = clock
        self._log = log
        self._metrics = metrics

    async def run(
        self, job: OwnedJob, state: ItemState, view: ServerView
    ) -> None:
        """Generates the rest of an item's text at a server.

        Afterwards the item waits for its score, waits to be sent again, or
        was given up.
        """
        sub = job.state.submission
        if sub.single_version and state.versions != [
            view.versions.get(sub.model, 0)
        ]:
            state.forget_text()
        call = ServerCall(
            request_id=state.item.item_id,
            method="POST",
            target=state.item.path,
            host=sub.host,
            headers=list(state.item.headers.items()),
            body=state.item.body,
            client_account=sub.client_account,
            last_event_id=str(len(state.pieces)) if state.pieces else None,
        )
        begun_s = self._clock.monotonic()
        try:
            with job.awaiting_response() as answered:
                async with open_attempt(
                    self._api,
                    view,
                    call,
                    clock=self._clock,
                    timeout_s=None,
                    head_timeout_s=silence_limit_s(
                        may_wait=view.load() >= view.entry.slots,
                        is_loading=not view.takes_model(sub.model),
                    ),
                ) as answer:
                    answered()
                    outcome = await self._receive(job, state, view, answer)
        except BackendServerError as exc:
            outcome = exc.reason.code
            self._metrics.retried(RetryReason.RESUME)
        self._log.decided(
            "item_attempt",
            request_id=state.item.item_id,
            job_id=job.job_id,
            server=view.entry.name,
            events=len(state.pieces),
            versions=state.versions,
            load=round(view.load(), 1),
            seconds=round(self._clock.monotonic() - begun_s, 3),
            outcome=outcome,
        )
        if outcome == "whole":
            state.is_whole = True
            state.phase = ItemPhase.SCORING
        elif outcome != "moved":
            rest_s = self._clock.monotonic() + _FAILED_PAUSE_S
            state.not_before_s = max(state.not_before_s, rest_s)

    async def _receive(
        self,
        job: OwnedJob,
        state: ItemState,
        view: ServerView,
        answer: Answer,
    ) -> str:
        """Reads an answer; returns how it ended."""
        head = answer.head
        sub = job.state.submission
        if head.not_run:
            view.hold_model(sub.model, _LOADING_PAUSE_S)
            state.not_before_s = self._clock.monotonic() + _BUSY_PAUSE_S
            await answer.read()
            return "not_run"
        if head.status != 200:
            await answer.read()
            return self._failed(job, state, head.status)
        version = head.weight_version
        if version is not None:
            view.answered_with(sub.model, version)
            if version < sub.min_version:
                return "stale_version"
        # An answer that only tells that the text has ended names no version.
        return await self._take_events(job, state, view, answer, version)

    async def _take_events(
        self,
        job: OwnedJob,
        state: ItemState,
        view: ServerView,
        answer: Answer,
        version: int | None,
    ) -> str:
        """Reads a text's events; returns how they ended."""
        sub = job.state.submission
        pace = _Pace(clock=self._clock)
        async for event in self._unless_silent(answer, view, sub.model):
            if event.weight_version is not None:
                version = event.weight_version
                view.answered_with(sub.model, version)
            if version is None:
                return "version_unknown"
            if version < sub.min_version:
                # An order that was carried out late took old weights back.
                return "stale_version"
            if sub.single_version and state.versions not in ([], [version]):
                state.forget_text()
                return "version_changed"
            if not state.take(event, version):
                state.forget_text()
                return "out_of_order"
            gap_s = pace.event()
            if pace.events > 1:
                # The first event follows the prompt, not another event.
                view.saw_event(gap_s)
            if self._should_move(job, state, view, pace):
                self._metrics.retried(RetryReason.SERVER_SLOW)
                return "moved"
        return "whole" if state.pieces else "empty"

    def _should_move(
        self, job: OwnedJob, state: ItemState, view: ServerView, pace: _Pace
    ) -> bool:
        """Tells whether a text should go on at a faster server."""
        sub = job.state.submission
        if sub.single_version or pace.events % _EVENTS_PER_LOOK:
            return False
        others = [
            other
            for other in self._directory.open_servers(sub.service)
            if other is not view
            and not other.is_paused()
            and other.takes_model(sub.model)
            and other.versions.get(sub.model, 0) >= sub.min_version
            and other.load() < other.entry.slots
        ]
        return bool(others) and should_move(
            pace_s=pace.average_s,
            server_pace_s=view.pace_s,
            best_s=best_pace(others),
            done=pace.events,
            rest=hint_events(job.state, state),
        )

    def _failed(self, job: OwnedJob, state: ItemState, status: int) -> str:
        """Takes in an answer that is a failure."""
        if status == _REJECTED:
            job.terminate_item(state, reason="rejected", log=self._log)
            return "rejected"
        if status == _SERVER_FAILED:
            state.failures += 1
            if not job.state.may_fail_again(state):
                job.terminate_item(state, reason="failed", log=self._log)
        return f"status_{status}"

    async def _unless_silent(
        self, answer: Answer, view: ServerView, model: str
    ) -> AsyncIterator[StreamEvent]:
        """Yields events; a server that falls silent counts as lost."""
        events = answer.events()
        has_begun = False
        while True:
            limit_s = silence_limit_s(
                may_wait=not has_begun, is_loading=not view.takes_model(model)
            )
            try:
                async with asyncio.timeout(limit_s):
                    event = await anext(events)
            except StopAsyncIteration:
                return
            except TimeoutError as exc:
                raise BackendServerError(
                    "the server fell silent",
                    ran=RunState.UNKNOWN,
                    reason=Reason.BACKEND_SILENT,
                ) from exc
            has_begun = True
            yield event
