"""Crashes of servers by the requests that ran on them, as one VM knows them."""

import math
from collections.abc import Callable, Iterable, Sequence

import msgspec

from endivespindle.core.clock import Clock
from endivespindle.serving.crash_policy import (
    COINCIDENCE_S,
    CRASHES_TO_QUARANTINE,
    AttemptRule,
    attempt_rule,
    count_crashes,
)
from endivespindle.serving.loss_times import LossTimes, TimedLoss

__all__ = ["CrashEvidence", "CrashRecord", "ServerLoss"]

# A server that responds to a request sent this soon after a connection to it
# ended has not crashed: a restart takes longer.
_MIN_RESTART_S = 1.0
# Time for which requests that crashed fewer servers are remembered.
_SUSPECT_MEMORY_S = 900.0
# Time for which a request is remembered after its quarantine: if it crashes
# another server, the next quarantine is longer.
_QUARANTINED_MEMORY_S = 3600.0
_MAX_RECORDS = 2_000


class ServerLoss(msgspec.Struct, kw_only=True):
    """An attempt during which the connection to its server ended.

    Attributes:
        server: Name of the server.
        started_ms: Its incarnation.
        age_s: Seconds since the connection ended.
        has_survived: Whether the server responded to a later request, so that
            it did not crash.
    """

    server: str
    started_ms: int
    age_s: float
    has_survived: bool = False


class CrashRecord(msgspec.Struct, kw_only=True):
    """What is known of one request, as VMs exchange it.

    Attributes:
        digest: Digest of the request.
        losses: Attempts at different servers that were lost.
        completed_age_s: Seconds since a server last completed it; None if none
            did.
    """

    digest: str
    losses: list[ServerLoss] = []
    completed_age_s: float | None = None


class _Loss:
    __slots__ = ("has_survived", "lost_s")

    def __init__(self, lost_s: float):
        self.lost_s = lost_s
        self.has_survived = False


class _Record:
    """Losses by server and incarnation, and the position of the last change.

    Attributes:
        losses: Losses by server and incarnation.
        completed_s: Monotonic time at which a server last completed it.
        position: Number of its last change.
        reported_crashes: Crashes for which a quarantine was reported.
    """

    __slots__ = ("completed_s", "losses", "position", "reported_crashes")

    def __init__(self) -> None:
        self.losses: dict[tuple[str, int], _Loss] = {}
        self.completed_s = -math.inf
        self.position = 0
        self.reported_crashes = 0

    def open_losses(self) -> list[float]:
        """Returns the losses since a server last completed the request."""
        return [
            loss.lost_s
            for loss in self.losses.values()
            if not loss.has_survived and loss.lost_s > self.completed_s
        ]

    def last_change_s(self) -> float:
        times = [loss.lost_s for loss in self.losses.values()]
        return max(times, default=self.completed_s)


class CrashEvidence:
    """Remembers under which requests servers crashed.

    A lost connection may also be due to a reset, a partition or a broken
    response. A loss counts until its server responds to a later request, and
    all losses of a request are void once any server completed it. A loss does
    not count either if servers that the request was not sent to were lost at
    the same moment and have not responded since. Records of other VMs are
    merged.

    Args:
        clock: Clock of this VM.
        on_quarantine: Called with the digest of a request and the number of
            servers that crashed under it, when that reaches the limit or
            exceeds it further.

    Attributes:
        position: Number of the last change.
    """

    __slots__ = (
        "_clock",
        "_digests_by_server",
        "_loss_times",
        "_on_quarantine",
        "_records",
        "position",
    )

    def __init__(
        self,
        *,
        clock: Clock,
        on_quarantine: Callable[[str, int], None] = lambda digest, crashes: (
            None
        ),
    ):
        self._clock = clock
        self._on_quarantine = on_quarantine
        self._records: dict[str, _Record] = {}
        self._digests_by_server: dict[tuple[str, int], set[str]] = {}
        self._loss_times = LossTimes()
        self.position = 0

    def __len__(self) -> int:
        return len(self._records)

    def crashes(self, digest: str) -> int:
        """Returns how many servers crashed under a request in a row."""
        return count_crashes(self._crash_times(digest))

    def rule(self, digest: str) -> tuple[AttemptRule, float]:
        """Returns how a request may be sent, and the seconds until then."""
        times = self._crash_times(digest)
        rule = attempt_rule(count_crashes(times))
        if not times:
            return rule, 0.0
        wait_s = max(times) + rule.pause_s - self._clock.monotonic()
        return rule, max(0.0, wait_s)

    def record_loss(self, digest: str, *, server: str, started_ms: int) -> int:
        """Records that the connection to a server ended during an attempt.

        Returns:
            Number of servers that crashed under the request in a row.
        """
        loss = ServerLoss(server=server, started_ms=started_ms, age_s=0.0)
        self.merge([CrashRecord(digest=digest, losses=[loss])])
        return self.crashes(digest)

    def record_completion(self, digest: str) -> None:
        """Records that a server completed a request."""
        record = self._records.get(digest)
        if record is None or not record.open_losses():
            return
        record.completed_s = self._clock.monotonic()
        self._touch(record)

    def record_response(
        self, server: str, started_ms: int, *, sent_s: float
    ) -> None:
        """Records that a server responded to a request.

        Args:
            server: Name of the server.
            started_ms: Its incarnation.
            sent_s: Monotonic time at which the request was sent.
        """
        key = (server, started_ms)
        for digest in self._digests_by_server.get(key, ()):
            lost_s = self._records[digest].losses[key].lost_s
            if lost_s < sent_s <= lost_s + _MIN_RESTART_S:
                self._mark_survived(digest, key)

    def changes_since(
        self, position: int, *, limit: int
    ) -> tuple[list[CrashRecord], int]:
        """Returns the records that changed after a position.

        Args:
            position: Position up to which the changes are known.
            limit: Maximum number of records.

        Returns:
            The oldest changes, and the position up to which they reach.
        """
        if position >= self.position:
            return [], self.position
        changed = sorted(
            (record.position, digest)
            for digest, record in self._records.items()
            if record.position > position
        )
        reached = self.position
        if len(changed) > limit:
            changed = changed[:limit]
            reached = changed[-1][0]
        return [
            self._export(digest, self._records[digest]) for _, digest in changed
        ], reached

    def quarantined(self) -> list[CrashRecord]:
        """Returns the records of requests that crashed too many servers."""
        return [
            self._export(digest, record)
            for digest, record in self._records.items()
            if self.crashes(digest) >= CRASHES_TO_QUARANTINE
        ]

    def merge(self, records: Iterable[CrashRecord]) -> None:
        """Merges what another VM knows."""
        now_s = self._clock.monotonic()
        for other in records:
            self._merge_record(other, now_s)
            self._report_quarantine(other.digest)
        self._evict(now_s)

    def _merge_record(self, other: CrashRecord, now_s: float) -> None:
        for loss in other.losses:
            key = (loss.server, loss.started_ms)
            self._add_loss(other.digest, key, now_s - loss.age_s)
            if loss.has_survived:
                self._mark_survived(other.digest, key)
        record = self._records.get(other.digest)
        if record is None or other.completed_age_s is None:
            return
        completed_s = now_s - other.completed_age_s
        losses = record.open_losses()
        if not losses or completed_s <= min(losses):
            return
        record.completed_s = max(record.completed_s, completed_s)
        self._touch(record)

    def _add_loss(
        self, digest: str, key: tuple[str, int], lost_s: float
    ) -> None:
        record = self._records.get(digest)
        if record is None:
            record = self._records[digest] = _Record()
        if key not in record.losses:
            record.losses[key] = _Loss(lost_s)
            self._digests_by_server.setdefault(key, set()).add(digest)
            self._loss_times.add(_timed_loss(digest, key, lost_s))
            self._touch(record)

    def _mark_survived(self, digest: str, key: tuple[str, int]) -> None:
        """Records that a server responded after a loss.

        The loss no longer excuses other requests lost at the same moment.
        """
        record = self._records[digest]
        loss = record.losses[key]
        if loss.has_survived:
            return
        loss.has_survived = True
        self._touch(record)
        for other in self._loss_times.around(
            loss.lost_s, tolerance_s=COINCIDENCE_S
        ):
            self._report_quarantine(other.digest)

    def _report_quarantine(self, digest: str) -> None:
        """Reports a request whose crashes have risen to the limit or above."""
        record = self._records.get(digest)
        if record is None:
            return
        crashes = self.crashes(digest)
        is_risen = crashes > record.reported_crashes
        record.reported_crashes = crashes
        if is_risen and crashes >= CRASHES_TO_QUARANTINE:
            self._on_quarantine(digest, crashes)

    def _crash_times(self, digest: str) -> list[float]:
        """Returns when servers crashed under a request in a row."""
        record = self._records.get(digest)
        if record is None:
            return []
        losses = record.open_losses()
        if len(losses) <= 1:
            return losses
        return [
            lost_s for lost_s in losses if not self._has_other(record, lost_s)
        ]

    def _has_other(self, record: _Record, lost_s: float) -> bool:
        """Returns whether another server was lost at the same moment.

        A server that has responded since was not.

        Load pattern: most servers of a service crash at once, again and again,
        while others break off responses.
        """
        return any(
            (loss.server, loss.started_ms) not in record.losses
            and not self._has_survived(loss)
            for loss in self._loss_times.around(
                lost_s, tolerance_s=COINCIDENCE_S
            )
        )

    def _has_survived(self, loss: TimedLoss) -> bool:
        key = (loss.server, loss.started_ms)
        return self._records[loss.digest].losses[key].has_survived

    def _touch(self, record: _Record) -> None:
        self.position += 1
        record.position = self.position

    def _export(self, digest: str, record: _Record) -> CrashRecord:
        now_s = self._clock.monotonic()
        completed_age_s = None
        if record.completed_s > -math.inf:
            completed_age_s = now_s - record.completed_s
        return CrashRecord(
            digest=digest,
            losses=[
                ServerLoss(
                    server=server,
                    started_ms=started_ms,
                    age_s=now_s - loss.lost_s,
                    has_survived=loss.has_survived,
                )
                for (server, started_ms), loss in record.losses.items()
            ],
            completed_age_s=completed_age_s,
        )

    def _evict(self, now_s: float) -> None:
        """Removes old records, and beyond the bound the least telling ones."""
        if len(self._records) <= _MAX_RECORDS:
            oldest = next(iter(self._records), None)
            if oldest is None or not self._has_expired(oldest, now_s):
                return
        kept = [
            digest
            for digest in self._records
            if not self._has_expired(digest, now_s)
        ]
        if len(kept) > _MAX_RECORDS:
            kept = self._most_telling(kept)
        for digest in self._records.keys() - set(kept):
            self._remove(digest)

    def _has_expired(self, digest: str, now_s: float) -> bool:
        record = self._records[digest]
        crashes = self.crashes(digest)
        memory_s = _SUSPECT_MEMORY_S
        if crashes >= CRASHES_TO_QUARANTINE:
            memory_s = attempt_rule(crashes).pause_s + _QUARANTINED_MEMORY_S
        return now_s - record.last_change_s() > memory_s

    def _most_telling(self, digests: Sequence[str]) -> list[str]:
        """Returns the records to keep, with room for some further ones."""

        def rank(digest: str) -> tuple[int, float]:
            record = self._records[digest]
            return self.crashes(digest), record.last_change_s()

        ranked = sorted(digests, key=rank, reverse=True)
        return ranked[: _MAX_RECORDS * 3 // 4]

    def _remove(self, digest: str) -> None:
        record = self._records.pop(digest)
        for key, loss in record.losses.items():
            self._loss_times.discard(_timed_loss(digest, key, loss.lost_s))
            digests = self._digests_by_server[key]
            digests.discard(digest)
            if not digests:
                del self._digests_by_server[key]


def _timed_loss(digest: str, key: tuple[str, int], lost_s: float) -> TimedLoss:
    server, started_ms = key
    return TimedLoss(
        lost_s=lost_s, server=server, started_ms=started_ms, digest=digest
    )
