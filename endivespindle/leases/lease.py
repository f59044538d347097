"""State machine of the lease on one shard, as seen by one VM."""

import enum
from typing import Any

import msgspec
import transitions

from endivespindle.core.clock import Clock
from endivespindle.schema.generated.stored import Intent, LeaseRecord

__all__ = ["Lease", "LeaseState", "LeaseWrite"]

_CLOCK_DRIFT = 0.02


class LeaseState(enum.StrEnum):
    """State of a lease, as known to one VM.

    Attributes:
        WATCHING: Not held; the VM reads the lease object.
        ACQUIRING: A write that acquires the lease is pending.
        HELD: Acquired, no write is pending; `Lease.is_held` also checks
            the term.
        RENEWING: A write that renews the lease is pending.
        DOUBTFUL: The outcome of the pending write is unknown.
    """

    WATCHING = "watching"
    ACQUIRING = "acquiring"
    HELD = "held"
    RENEWING = "renewing"
    DOUBTFUL = "doubtful"


_TRANSITIONS: list[Any] = [
    ["acquire", "watching", "acquiring"],
    ["renew", "held", "renewing"],
    ["confirm", ["acquiring", "renewing", "doubtful"], "held"],
    ["keep", ["held", "renewing", "doubtful"], "held"],
    ["doubt", ["acquiring", "renewing", "doubtful"], "doubtful"],
    ["lose", "*", "watching"],
]

_MACHINE = transitions.Machine(
    model=None,
    states=[state.value for state in LeaseState],
    transitions=_TRANSITIONS,
    initial=LeaseState.WATCHING.value,
    auto_transitions=False,
)


class LeaseWrite(msgspec.Struct, kw_only=True, frozen=True):
    """Conditional update of the lease object, to be performed by the caller.

    Attributes:
        record: New value of the object.
        expect_version: Version that the object must still have; 0 creates
            it.
    """

    record: LeaseRecord
    expect_version: int


class Lease:
    """Decides whether a VM holds a lease and may send operations under it.

    Clocks are never compared across VMs. A holder measures its term from
    before it sends the write that acquires or renews the lease. A successor
    waits, from when it first read an object version that has not changed
    since, for the full term plus the longest send deadline, with a margin
    for clock drift.

    If the response to a renewal is lost, the term of the previous renewal
    still applies: no other VM can acquire the lease within that term.

    The caller performs the write that `next_write` returns and reports its
    outcome with `write_succeeded`, `write_failed` or `write_outcome_unknown`.
    An unknown outcome is resolved by `observe`.

    Args:
        holder: Name of this VM, including its incarnation.
        clock: Clock of this VM.
        term_s: Seconds for which a renewal is valid.
        max_send_s: Longest send deadline of an operation under this lease,
            in seconds. A successor waits this long in addition to the term.
            Needed where the platform checks no fencing numbers.

    Attributes:
        state: Value of the current `LeaseState`.
    """

    __slots__ = (
        "_clock",
        "_done_intent_ids",
        "_first_seen_s",
        "_holder",
        "_max_send_s",
        "_pending",
        "_pending_sent_s",
        "_record",
        "_release_allowed_at_s",
        "_term_s",
        "_valid_until_s",
        "_version",
        "state",
    )

    def __init__(
        self,
        *,
        holder: str,
        clock: Clock,
        term_s: float,
        max_send_s: float = 0.0,
    ):
        self._holder = holder
        self._clock = clock
        self._term_s = term_s
        self._max_send_s = max_send_s
        self._record: LeaseRecord | None = None
        self._version = -1
        self._first_seen_s = clock.monotonic()
        self._pending: LeaseWrite | None = None
        self._pending_sent_s = 0.0
        self._valid_until_s = -1.0
        self._release_allowed_at_s = -1.0
        self._done_intent_ids: set[str] = set()
        self.state = LeaseState.WATCHING.value

    @property
    def holder(self) -> str:
        """Holder in the last known record; empty if there is none."""
        return self._record.holder if self._record else ""

    @property
    def epoch(self) -> int:
        """Epoch in the last known record: the fencing number while held."""
        return self._record.epoch if self._record else 0

    @property
    def intents(self) -> list[Intent]:
        """Intents in the last known record, whichever holder wrote them."""
        recorded = self._record.intents if self._record else []
        return [
            msgspec.structs.replace(
                intent,
                done=intent.done or intent.intent_id in self._done_intent_ids,
            )
            for intent in recorded
        ]

    def has_recorded(self, intent: Intent) -> bool:
        """Returns whether the last known record contains an intent."""
        return any(i.intent_id == intent.intent_id for i in self.intents)

    def observe(self, record: LeaseRecord | None, version: int) -> None:
        """Updates the state from a read of the lease object.

        Reads older than the last one are ignored. If the read shows the
        pending write, that write took effect.

        Args:
            record: Value of the object; None if it does not exist.
            version: Version of the object; 0 if it does not exist.
        """
        if version < self._version:
            return
        if self._is_pending_write(record):
            self.write_succeeded(version)
            return
        if version == self._version:
            if self._pending is not None:
                self._discard_pending()
            return
        is_own_epoch = self._is_own_epoch(record)
        self._set_record(record, version)
        if is_own_epoch:
            self._discard_pending()
        else:
            self._lose()

    def is_held(self) -> bool:
        """Returns whether this VM holds the lease at this moment."""
        return self._clock.monotonic() < self._valid_until_s

    def remaining_s(self) -> float:
        """Returns the seconds until the lease expires."""
        return max(0.0, self._valid_until_s - self._clock.monotonic())

    def may_send(self, *, timeout_s: float) -> bool:
        """Returns whether an operation with a timeout may be sent now.

        Must be called directly before the send, after the intent has been
        written. Once it returns True, the lease cannot be released until the
        request can no longer arrive.

        Args:
            timeout_s: Timeout of the request, in seconds. It must end within
                the term.
        """
        if not self.is_held() or timeout_s > self.remaining_s():
            return False
        release_allowed_at_s = (
            self._clock.monotonic() + timeout_s + self._max_send_s
        )
        self._release_allowed_at_s = max(
            self._release_allowed_at_s, release_allowed_at_s
        )
        return True

    def may_acquire(self) -> bool:
        """Returns whether this VM may try to acquire the lease."""
        if self.state != LeaseState.WATCHING.value or self._version < 0:
            return False
        record = self._record
        if record is None or not record.holder:
            return True
        if record.holder == self._holder:
            # If holders are named without an incarnation, the record is of
            # an earlier process of this VM, which no longer runs.
            return True
        elapsed_s = self._clock.monotonic() - self._first_seen_s
        min_wait_s = (record.term_s + self._max_send_s) * (1 + _CLOCK_DRIFT)
        return elapsed_s >= min_wait_s

    def next_write(
        self, *, token: str, intent: Intent | None = None
    ) -> LeaseWrite | None:
        """Returns the write that acquires or renews the lease.

        Args:
            token: Token of this write; must be unique.
            intent: Intent to record; replaces the last one for its subject.

        Returns:
            The write, which is then pending; None if another one is pending
            or the lease may not be acquired yet.
        """
        if self._pending is not None:
            return None
        if self.is_held():
            self._trigger("renew")
            epoch = self.epoch
        else:
            self._lose()
            if not self.may_acquire():
                return None
            self._trigger("acquire")
            epoch = self.epoch + 1
        renewal = self._record.renewal + 1 if self._record else 1
        self._pending_sent_s = self._clock.monotonic()
        self._pending = LeaseWrite(
            record=LeaseRecord(
                holder=self._holder,
                epoch=epoch,
                renewal=renewal,
                term_s=self._term_s,
                token=token,
                intents=self._next_intents(intent),
            ),
            expect_version=max(0, self._version),
        )
        return self._pending

    def write_succeeded(self, version: int) -> None:
        """Records that the pending write took effect.

        Args:
            version: New version of the object.
        """
        if self._pending is None:
            return
        self._set_record(self._pending.record, version)
        self._pending = None
        self._valid_until_s = self._pending_sent_s + self._term_s
        self._trigger("confirm")

    def write_failed(self) -> None:
        """Records that the pending write did not reach the store."""
        if self._pending is not None:
            self._discard_pending()

    def write_outcome_unknown(self) -> None:
        """Records that the pending write may have taken effect.

        A conflict counts as an unknown outcome too: a client library may
        have retried a write after losing the response to its first attempt.
        """
        if self._pending is not None:
            self._trigger("doubt")

    def has_pending_write(self) -> bool:
        """Returns whether a write is pending.

        If its outcome is unknown, the object must be read to resolve it.
        """
        return self._pending is not None

    def mark_done(self, intent_id: str) -> None:
        """Marks an intent as confirmed by the platform.

        The next write stores the mark. If this VM crashes before that, its
        successor reissues the same operation.
        """
        self._done_intent_ids.add(intent_id)

    def release_write(self, *, token: str) -> LeaseWrite | None:
        """Returns the write that releases the lease.

        The lease is kept while an operation that was allowed may still
        arrive at the platform; a successor then waits for the lease to
        expire.

        Args:
            token: Token of this write; must be unique.

        Returns:
            The write; None if the lease is not held, a write is pending or
            an operation may still arrive.
        """
        if not self.is_held() or self._pending is not None:
            return None
        if self._clock.monotonic() < self._release_allowed_at_s:
            return None
        assert self._record is not None
        record = msgspec.structs.replace(
            self._record, holder="", token=token, intents=self.intents
        )
        self._lose()
        return LeaseWrite(record=record, expect_version=self._version)

    def _next_intents(self, intent: Intent | None) -> list[Intent]:
        recorded = self.intents
        if intent is None:
            return recorded
        return [i for i in recorded if i.subject != intent.subject] + [intent]

    def _is_pending_write(self, record: LeaseRecord | None) -> bool:
        if self._pending is None or record is None:
            return False
        return record.token == self._pending.record.token

    def _is_own_epoch(self, record: LeaseRecord | None) -> bool:
        """Returns whether a record is an earlier write of this epoch.

        Such a write reached the store late.
        """
        old = self._record
        if old is None or record is None:
            return False
        return (
            old.holder == record.holder == self._holder
            and old.epoch == record.epoch
        )

    def _set_record(self, record: LeaseRecord | None, version: int) -> None:
        self._record = record
        self._version = version
        self._first_seen_s = self._clock.monotonic()
        recorded = record.intents if record else []
        self._done_intent_ids &= {i.intent_id for i in recorded if not i.done}

    def _discard_pending(self) -> None:
        """Discards the pending write; keeps the lease within its term."""
        self._pending = None
        if self.is_held():
            self._trigger("keep")
        else:
            self._lose()

    def _lose(self) -> None:
        self._pending = None
        self._valid_until_s = -1.0
        self._trigger("lose")

    def _trigger(self, event: str) -> None:
        """Applies one transition of the state machine."""
        _MACHINE.events[event].trigger(self)
