"""Attempts of a request at backend servers."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

from endivespindle.core.clock import Clock
from endivespindle.core.reasons import Reason
from endivespindle.exceptions import BackendServerError
from endivespindle.runtime.forward_plan import ForwardedResponse
from endivespindle.runtime.request_guard import RequestGuard
from endivespindle.schema.generated.caller import RunState
from endivespindle.serving.calls import ServerApi, ServerCall, ServerResponse
from endivespindle.serving.directory import ServerView

__all__ = ["AttemptSummary", "open_attempt", "record_outrun"]

_STATUS_SERVER_ERROR = 500
# A response with this status comes from another server.
_STATUS_MISDIRECTED = 421


@contextlib.asynccontextmanager
async def open_attempt(
    api: ServerApi,
    view: ServerView,
    call: ServerCall,
    *,
    clock: Clock,
    timeout_s: float | None,
    head_timeout_s: float | None = None,
) -> AsyncIterator[ServerResponse]:
    """Sends a request and records what its response tells of the server.

    A server that left after it was chosen gets no request.

    Args:
        api: Client for backend servers.
        view: Server to send the request to.
        call: The request.
        clock: Clock of this VM.
        timeout_s: Timeout of the complete exchange, in seconds.
        head_timeout_s: Timeout until the response head is received, in seconds.

    Raises:
        BackendServerError: The server did not respond, timed out, or no longer
            accepts requests.
    """
    if not view.accepts_requests():
        raise BackendServerError(
            f"the server is {view.availability.value}"
            f"{' in an evacuated data centre' * view.is_evacuated}",
            ran=RunState.NOT_RUN,
            reason=Reason.BACKEND_EVACUATED
            if view.is_evacuated
            else Reason.BACKEND_LEAVING,
        )
    start_s = clock.monotonic()
    view.begin_request()
    failed = False
    duration_s = None
    try:
        async with contextlib.AsyncExitStack() as stack:
            try:
                async with asyncio.timeout(head_timeout_s):
                    response = await stack.enter_async_context(
                        api.send(view.entry, call, timeout_s=timeout_s)
                    )
            except TimeoutError as exc:
                raise BackendServerError(
                    "timed out before the response head",
                    ran=RunState.UNKNOWN,
                    reason=Reason.BACKEND_SILENT,
                ) from exc
            if response.head.leaving:
                view.announce_leaving()
            if response.head.status != _STATUS_MISDIRECTED:
                view.record_response(sent_s=start_s)
                view.record_limit(response.head.limit_per_s)
                if response.head.cold_for_s is not None:
                    view.record_cold(response.head.cold_for_s)
            if response.head.load is not None:
                view.record_load(
                    running=response.head.load.running,
                    waiting=response.head.load.waiting,
                    pace=response.head.load.pace,
                )
            failed = response.head.status == _STATUS_SERVER_ERROR
            yield response
            if not response.head.not_run:
                duration_s = clock.monotonic() - start_s
    except BackendServerError as exc:
        failed = exc.is_server_failure
        raise
    finally:
        view.end_request(
            failed=failed, duration_s=duration_s, started_s=start_s
        )


class AttemptSummary:
    """Outcome of a request's attempts so far."""

    __slots__ = (
        "failed_response",
        "guard",
        "last_reason",
        "not_run_count",
        "retry_after_s",
        "run_state",
        "sent_count",
        "started_views",
        "tried_servers",
    )

    def __init__(self, *, guard: RequestGuard) -> None:
        self.guard = guard
        self.retry_after_s: float | None = None
        self.started_views: dict[
            asyncio.Task[ForwardedResponse], ServerView
        ] = {}
        self.tried_servers: set[str] = set()
        self.sent_count = 0
        self.not_run_count = 0
        self.run_state = RunState.NOT_RUN
        self.last_reason = Reason.NO_BACKEND_SERVER
        self.failed_response: ForwardedResponse | None = None


def record_outrun(
    attempts: AttemptSummary,
    *,
    winner: asyncio.Task[ForwardedResponse],
    pending: set[asyncio.Task[ForwardedResponse]],
) -> None:
    """Records the servers that a later attempt has outrun."""
    for task, view in attempts.started_views.items():
        if task is winner:
            return
        if task in pending:
            view.record_silence()
