"""Generates the completions of batch items from streams of events."""

import asyncio
import contextlib
import sys
from collections.abc import AsyncIterator, Callable

from endivespindle.batch.completion_memory import CompletionMemory
from endivespindle.batch.generation_speed import (
    baseline_event_interval_s,
    should_migrate,
    silence_timeout_s,
)
from endivespindle.batch.job import ItemPhase, ItemState
from endivespindle.batch.schedule import (
    MAX_START_DELAY_S,
    item_remaining_events,
    item_unread_tokens,
)
from endivespindle.core.clock import Clock
from endivespindle.core.reasons import Reason, RetryReason
from endivespindle.exceptions import BackendServerError
from endivespindle.runtime.attempts import open_attempt
from endivespindle.runtime.owned_job import OwnedJob
from endivespindle.runtime.telemetry import EventLog, NodeMetrics
from endivespindle.schema.generated.caller import RunState
from endivespindle.serving.calls import (
    ServerApi,
    ServerCall,
    ServerResponse,
    StreamEvent,
)
from endivespindle.serving.directory import ServerDirectory, ServerView
from endivespindle.serving.refusal_cause import refusal_cause

__all__ = ["CompletionRunner"]

# Pauses before an item is sent again, and before a server that did not run it
# is sent further items for the same model.
_BUSY_PAUSE_S = 0.1
_LOADING_PAUSE_S = 0.15
_FAILED_PAUSE_S = 0.05
# Pause of an item larger than the memory of the engines as configured; a server
# may have more.
_TOO_LARGE_PAUSE_S = 4.0
# Time for which an item whose completion broke off waits for a server that may
# go on with it; doubled with each time that it began anew, until it exceeds the
# longest pause of a failing server.
_RESUME_WAIT_S = 0.3
_MAX_RESUME_DOUBLINGS = 4
# Weight of the newest interval between two events in the moving average of a
# response.
_INTERVAL_SMOOTHING = 0.3
# Events between two checks for a faster server. Each check iterates over all
# servers of the service.
_EVENTS_PER_SPEED_CHECK = 4
_HTTP_UNPROCESSABLE = 422
_HTTP_INTERNAL_ERROR = 500
# Time within which the body of an error response must be complete.
_ERROR_BODY_TIMEOUT_S = 1.0


class _EventIntervals:
    """Moving average of the interval between the events of one response.

    Attributes:
        average_s: Average interval in seconds; 0 before the second event.
        events: Number of events received.
    """

    __slots__ = ("_clock", "_last_s", "average_s", "events")

    def __init__(self, *, clock: Clock):
        self._clock = clock
        self._last_s = clock.monotonic()
        self.average_s = 0.0
        self.events = 0

    def record_event(self) -> float:
        """Counts an event; returns the seconds since the previous one."""
        now_s = self._clock.monotonic()
        interval_s = now_s - self._last_s
        self._last_s = now_s
        self.events += 1
        if self.events > 1:
            previous_s = self.average_s or interval_s
            self.average_s = previous_s + _INTERVAL_SMOOTHING * (
                interval_s - previous_s
            )
        return interval_s


class CompletionRunner:
    """Sends items to backend servers and receives their completions.

    Args:
        api: Client for backend servers.
        directory: Known backend servers.
        clock: Clock of this VM.
        log: Decision log.
        metrics: Counters.
        memory: Memory of the completions.
    """

    __slots__ = (
        "_api",
        "_clock",
        "_directory",
        "_log",
        "_memory",
        "_metrics",
    )

    def __init__(
        self,
        *,
        api: ServerApi,
        directory: ServerDirectory,
        clock: Clock,
        log: EventLog,
        metrics: NodeMetrics,
        memory: CompletionMemory,
    ):
        self._memory = memory
        self._api = api
        self._directory = directory
        self._clock = clock
        self._log = log
        self._metrics = metrics

    async def run(
        self, job: OwnedJob, state: ItemState, view: ServerView
    ) -> None:
        """Generates the rest of an item's completion on a server.

        Afterwards the item is ready for its reward call, waits to be sent
        again, or has been terminated.
        """
        sub = job.state.submission
        if sub.single_version and state.versions != [
            view.versions.get(sub.model, 0)
        ]:
            state.discard_completion()
        if not state.may_resume_at(view.entry.software):
            self._log.event(
                "completion_discarded",
                request_id=state.item.item_id,
                events=len(state.chunks),
                software=state.software,
                server=view.entry.name,
                server_software=view.entry.software,
            )
            state.discard_completion()
        call = ServerCall(
            request_id=state.item.item_id,
            method="POST",
            target=state.item.path,
            host=sub.host,
            headers=list(state.item.headers.items()),
            body=state.item.body,
            client_account=sub.client_account,
            last_event_id=str(len(state.chunks)) if state.chunks else None,
        )
        if view.rate_limit.start_delay_s() > MAX_START_DELAY_S:
            # Several items were placed on the server's next start.
            state.not_before_s = self._clock.monotonic() + MAX_START_DELAY_S
            return
        delay_s = view.rate_limit.reserve_start()
        if delay_s:
            await asyncio.sleep(delay_s)
        start_s = self._clock.monotonic()
        outcome = "cancelled"
        prompt = view.prompts.add(
            item_unread_tokens(state, is_prefix_cached=False)
        )
        try:
            with job.awaiting_response() as mark_answered:
                async with open_attempt(
                    self._api,
                    view,
                    call,
                    clock=self._clock,
                    timeout_s=None,
                    head_timeout_s=silence_timeout_s(
                        may_wait=view.load() >= view.entry.slots,
                        is_loading=not view.models.accepts(sub.model),
                    ),
                ) as resp:
                    mark_answered()
                    outcome = await self._receive_response(
                        job,
                        state,
                        view,
                        resp,
                        on_event=lambda: view.prompts.remove(prompt),
                    )
        except BackendServerError as exc:
            outcome = exc.reason.code
            self._metrics.count_retry(RetryReason.RESUME)
        finally:
            view.prompts.remove(prompt)
            # Also when the job changes its owner, which cancels the attempt.
            self._log.event(
                "item_attempt",
                request_id=state.item.item_id,
                job_id=job.job_id,
                server=view.entry.name,
                software=view.entry.software,
                resumed_after=call.last_event_id,
                events=len(state.chunks),
                versions=state.versions,
                load=round(view.load(), 1),
                seconds=round(self._clock.monotonic() - start_s, 3),
                outcome=outcome,
            )
        if outcome == "whole":
            state.finish_completion()
            state.phase = ItemPhase.SCORING
        elif outcome != "moved":
            now_s = self._clock.monotonic()
            state.not_before_s = max(
                state.not_before_s, now_s + _FAILED_PAUSE_S
            )
            wait_s = _RESUME_WAIT_S * 2 ** min(
                state.restarts, _MAX_RESUME_DOUBLINGS
            )
            state.resume_until_s = now_s + wait_s

    async def _receive_response(
        self,
        job: OwnedJob,
        state: ItemState,
        view: ServerView,
        resp: ServerResponse,
        *,
        on_event: Callable[[], None],
    ) -> str:
        """Reads a response; returns the outcome for the log."""
        head = resp.head
        sub = job.state.submission
        if head.not_run:
            now_s = self._clock.monotonic()
            self._log.event(
                "item_refused",
                request_id=state.item.item_id,
                server=view.entry.name,
                status=head.status,
                cause=refusal_cause(head, slots=view.entry.slots).value,
                running=head.load.running if head.load else None,
                waiting=head.load.waiting if head.load else None,
                versions=view.versions,
            )
            if job.state.exceeds_cache(state):
                state.not_before_s = now_s + _TOO_LARGE_PAUSE_S
                await _discard_body(resp)
                return "too_large"
            view.models.refuse(sub.model, _LOADING_PAUSE_S)
            state.not_before_s = now_s + _BUSY_PAUSE_S
            await _discard_body(resp)
            return "not_run"
        if head.status != 200:
            await _discard_body(resp)
            return self._handle_failure(job, state, head.status)
        if not head.may_be_stream:
            await _discard_body(resp)
            return "no_stream"
        view.models.confirm(sub.model)
        version = head.weight_version
        if version is not None:
            view.record_version(sub.model, version)
            if version < sub.min_version:
                return "stale_version"
        # A response without events, which only confirms that the completion has
        # ended, names no version.
        return await self._receive_events(
            job, state, view, resp, version, on_event=on_event
        )

    async def _receive_events(
        self,
        job: OwnedJob,
        state: ItemState,
        view: ServerView,
        resp: ServerResponse,
        version: int | None,
        *,
        on_event: Callable[[], None],
    ) -> str:
        """Reads the events of a response; returns the outcome for the log."""
        sub = job.state.submission
        intervals = _EventIntervals(clock=self._clock)
        async for event in self._events_with_timeout(resp, view, sub.model):
            if event.weight_version is not None:
                version = event.weight_version
                view.record_version(sub.model, version)
            if version is None:
                return "version_unknown"
            outcome = _check_event(job, state, version)
            if outcome:
                return outcome
            software = view.entry.software
            if not state.append_event(event, version, software=software):
                state.discard_completion()
                return "out_of_order"
            self._memory.add(sys.getsizeof(event.data))
            on_event()
            interval_s = intervals.record_event()
            if intervals.events > 1:
                # The first interval includes queueing and prefill.
                view.record_event_interval(interval_s)
            if self._should_migrate(job, state, view, intervals):
                self._metrics.count_retry(RetryReason.SERVER_SLOW)
                return "moved"
        if state.is_displaced:
            return "displaced"
        return "whole" if state.chunks else "empty"

    def _should_migrate(
        self,
        job: OwnedJob,
        state: ItemState,
        view: ServerView,
        intervals: _EventIntervals,
    ) -> bool:
        """Returns whether a completion should migrate to a faster server."""
        sub = job.state.submission
        if sub.single_version or intervals.events % _EVENTS_PER_SPEED_CHECK:
            return False
        others = [
            other
            for other in self._directory.available_servers(job.state.service)
            if other is not view
            and other.entry.software == view.entry.software
            and not other.is_paused()
            and other.models.accepts(sub.model)
            and other.versions.get(sub.model, 0) >= sub.min_version
            and other.load() < other.entry.slots
            and not other.rate_limit.start_delay_s()
        ]
        return bool(others) and should_migrate(
            interval_s=intervals.average_s,
            server_interval_s=view.event_interval_s,
            baseline_interval_s=baseline_event_interval_s(others),
            received_events=intervals.events,
            remaining_events=item_remaining_events(job.state, state),
        )

    def _handle_failure(
        self, job: OwnedJob, state: ItemState, status: int
    ) -> str:
        """Records a failed response; returns the outcome for the log."""
        if status == _HTTP_UNPROCESSABLE:
            job.terminate_item(state, reason="rejected", log=self._log)
            return "rejected"
        if status == _HTTP_INTERNAL_ERROR:
            job.record_failure(state)
            if not job.state.may_retry(state):
                job.terminate_item(state, reason="failed", log=self._log)
        return f"status_{status}"

    async def _events_with_timeout(
        self, resp: ServerResponse, view: ServerView, model: str
    ) -> AsyncIterator[StreamEvent]:
        """Yields the events of a response, each awaited with a timeout.

        Raises:
            BackendServerError: No event arrived within the timeout, or the
                response broke off.
        """
        events = resp.events()
        has_begun = False
        while True:
            limit_s = silence_timeout_s(
                may_wait=not has_begun,
                is_loading=not view.models.accepts(model),
            )
            try:
                async with asyncio.timeout(limit_s):
                    event = await anext(events)
            except StopAsyncIteration:
                return
            except TimeoutError as exc:
                raise BackendServerError(
                    "no event arrived within the timeout",
                    ran=RunState.UNKNOWN,
                    reason=Reason.BACKEND_SILENT,
                ) from exc
            has_begun = True
            yield event


def _check_event(job: OwnedJob, state: ItemState, version: int) -> str:
    """Returns why a completion cannot take a further event.

    Args:
        job: The job.
        state: The item; its completion is discarded if it cannot go on.
        version: Weight version that generated the event.

    Returns:
        The outcome for the log; empty if the event may be appended.
    """
    sub = job.state.submission
    if state.is_displaced:
        return "displaced"
    if version < sub.min_version:
        # A load order executed late has restored old weights.
        return "stale_version"
    if sub.single_version and state.versions not in ([], [version]):
        state.discard_completion()
        return "version_changed"
    if len(state.chunks) >= max(1, state.item.tokens):
        # Each event holds a token at least.
        state.discard_completion()
        return "too_long"
    return ""


async def _discard_body(resp: ServerResponse) -> None:
    """Reads the body of an error response, so that its connection is kept.

    A body that does not end in time is abandoned with its connection.
    """
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(_ERROR_BODY_TIMEOUT_S):
            await resp.read()
