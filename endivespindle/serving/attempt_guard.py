"""Keeps requests that crash servers from being sent to further ones."""

import contextlib
from collections.abc import Iterator

from endivespindle.serving.crash_evidence import CrashEvidence

__all__ = ["AttemptGuard"]

# Retry delay of a request that waits for the outcome of its repeat, in seconds.
_EXCLUSIVE_RETRY_AFTER_S = 0.5


class AttemptGuard:
    """Decides by the crashes under a request whether an attempt may start.

    Args:
        evidence: Crashes known to this VM.
    """

    __slots__ = ("_evidence", "_running")

    def __init__(self, *, evidence: CrashEvidence):
        self._evidence = evidence
        self._running: dict[str, int] = {}

    def retry_after_s(
        self, digest: str, *, is_started: bool = False
    ) -> float | None:
        """Returns the seconds until an attempt may start.

        Args:
            digest: Digest of the request.
            is_started: Whether the caller has received part of the response,
                which would end as broken.

        Returns:
            None if it may start now.
        """
        rule, wait_s = self._evidence.rule(digest)
        if is_started and not rule.is_quarantined:
            return None
        if wait_s > 0.0:
            return wait_s
        if rule.is_exclusive and digest in self._running:
            return _EXCLUSIVE_RETRY_AFTER_S
        return None

    def may_hedge(self, digest: str) -> bool:
        """Returns whether a request may run on two servers at once."""
        rule, _ = self._evidence.rule(digest)
        return rule.may_hedge

    def crashes(self, digest: str) -> int:
        """Returns how many servers crashed under a request in a row."""
        return self._evidence.crashes(digest)

    @contextlib.contextmanager
    def attempt(self, digest: str) -> Iterator[None]:
        """Counts a running attempt."""
        self._running[digest] = self._running.get(digest, 0) + 1
        try:
            yield
        finally:
            self._running[digest] -= 1
            if not self._running[digest]:
                del self._running[digest]

    def record_loss(self, digest: str, *, server: str, started_ms: int) -> None:
        """Records that the connection to a server ended during an attempt."""
        self._evidence.record_loss(digest, server=server, started_ms=started_ms)

    def record_completion(self, digest: str) -> None:
        """Records that a server completed the request."""
        self._evidence.record_completion(digest)
