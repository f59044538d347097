"""Keeps one request from servers if it crashes them, and logs why."""

import contextlib
import http
from collections.abc import Iterator

from endivespindle.core.reasons import Reason
from endivespindle.exceptions import BackendServerError
from endivespindle.runtime.telemetry import EventLog
from endivespindle.serving.attempt_guard import AttemptGuard
from endivespindle.serving.calls import ResponseHead, ServerCall
from endivespindle.serving.directory import ServerView
from endivespindle.serving.request_digest import request_digest

__all__ = ["RequestGuard"]


class RequestGuard:
    """Asks the guard before each attempt of a request and tells it the outcome.

    Args:
        call: The request.
        guard: Guard of this VM; None for a request that belongs to an accepted
            job, which is sent again whatever happened to servers.
        log: Event log.
    """

    __slots__ = ("_call", "_digest", "_guard", "_log")

    def __init__(
        self, *, call: ServerCall, guard: AttemptGuard | None, log: EventLog
    ):
        self._call = call
        self._digest = request_digest(call)
        self._guard = guard
        self._log = log

    def retry_after_s(self, *, is_started: bool = False) -> float | None:
        """Returns the seconds for which the request is kept from servers.

        Args:
            is_started: Whether the caller has received part of the response.

        Returns:
            None if it may be sent now.
        """
        if self._guard is None:
            return None
        retry_after_s = self._guard.retry_after_s(
            self._digest, is_started=is_started
        )
        if retry_after_s is not None:
            self._log.event(
                "request_withheld",
                request_id=self._call.request_id,
                digest=self._digest,
                crashes=self._guard.crashes(self._digest),
                retry_after_s=round(retry_after_s, 2),
            )
        return retry_after_s

    def may_hedge(self) -> bool:
        """Returns whether the request may run on two servers at once."""
        return self._guard is None or self._guard.may_hedge(self._digest)

    @contextlib.contextmanager
    def attempt(self, view: ServerView) -> Iterator[None]:
        """Covers an attempt; logs its failure and records a lost connection.

        Args:
            view: Server that the request is sent to.
        """
        with contextlib.ExitStack() as stack:
            if self._guard is not None:
                stack.enter_context(self._guard.attempt(self._digest))
            try:
                yield
            except BackendServerError as exc:
                self._record_failure(view, exc)
                raise

    def record_response(self, head: ResponseHead) -> None:
        """Records a complete response; only a success shows that it ran.

        A server that fails requests may do so before it runs them.
        """
        if self._guard is None or head.not_run:
            return
        if head.status < http.HTTPStatus.INTERNAL_SERVER_ERROR:
            self._guard.record_completion(self._digest)

    def _record_failure(
        self, view: ServerView, exc: BackendServerError
    ) -> None:
        self._log.event(
            "attempt_failed",
            request_id=self._call.request_id,
            digest=self._digest,
            server=view.entry.name,
            started_ms=view.entry.started_ms,
            ran=exc.ran.value,
            reason=exc.reason.code,
            error=str(exc),
        )
        if self._guard is not None and exc.reason is Reason.BACKEND_LOST:
            self._guard.record_loss(
                self._digest,
                server=view.entry.name,
                started_ms=view.entry.started_ms,
            )
