"""A lease on one shard, as one VM sees it."""

import enum
from typing import Any

import msgspec
import transitions

from endivespindle.core.clock import Clock
from endivespindle.schema.generated.stored import Intent, LeaseRecord

__all__ = ["Lease", "LeaseState", "LeaseWrite"]

_CLOCK_DRIFT = 0.02


class LeaseState(enum.StrEnum):
    """What a VM knows of a lease."""

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
    """A conditional update that the lease asks for."""

    record: LeaseRecord
    expect_version: int


class Lease:
    """Decides when a VM holds a lease, and when it may act under it.

    No clock is compared across VMs. A holder measures its term from before
    it sent a renewal. A successor waits, from its own first sight of a
    version of the object that does not change, for the whole term and for
    the longest send, with an allowance for drift.

    A renewal whose answer was lost leaves the term of the one before it
    untouched: nobody else can hold the lease within that term.

    The caller performs the write that `next_write` returns and reports its
    outcome with `write_succeeded`, `write_failed` or `write_outcome_unknown`.
    An unknown outcome is resolved by `observe`.

    Args:
        holder: Name of this VM and its incarnation.
        clock: Clock of this VM.
        term_s: Seconds for which a renewal holds.
        max_send_s: Longest send deadline of an act under this lease; a
            successor waits it out where the far side checks no fencing
            number.
    """

    __slots__ = (
        "_clock",
        "_done",
        "_first_seen_s",
        "_holder",
        "_max_send_s",
        "_pending",
        "_pending_sent_s",
        "_quiet_at_s",
        "_record",
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
        self._quiet_at_s = -1.0
        self._done: set[str] = set()
        self.state = LeaseState.WATCHING.value

    @property
    def holder(self) -> str:
        """Holder of the record last seen; empty if there is none."""
        return self._record.holder if self._record else ""

    @property
    def epoch(self) -> int:
        """Epoch of the record last seen: the fencing number when held."""
        return self._record.epoch if self._record else 0

    @property
    def intents(self) -> list[Intent]:
        """The acts recorded, whoever recorded them."""
        recorded = self._record.intents if self._record else []
        return [
            msgspec.structs.replace(
                intent, done=intent.done or intent.intent_id in self._done
            )
            for intent in recorded
        ]

    def has_recorded(self, intent: Intent) -> bool:
        """Tells whether an act stands in the record last seen."""
        return any(i.intent_id == intent.intent_id for i in self.intents)

    def observe(self, record: LeaseRecord | None, version: int) -> None:
        """Takes in a fresh read of the object.

        Args:
            record: Its value; None if there is none.
            version: Its version; 0 if there is none.
        """
        if version < self._version:
            return
        if self._is_pending_write(record):
            self.write_succeeded(version)
            return
        if version == self._version:
            if self._pending is not None:
                self._drop_pending()
            return
        own = self._is_own_epoch(record)
        self._take(record, version)
        if own:
            self._drop_pending()
        else:
            self._lose()

    def is_held(self) -> bool:
        """Tells whether the lease holds at this moment."""
        return self._clock.monotonic() < self._valid_until_s

    def remaining_s(self) -> float:
        """Returns the seconds for which the lease still holds."""
        return max(0.0, self._valid_until_s - self._clock.monotonic())

    def may_send(self, *, timeout_s: float) -> bool:
        """Tells whether an act that ends within a timeout may be sent now.

        To be called directly before the send, after the intent was written.
        A send that was allowed keeps the lease from being released early.
        """
        if not self.is_held() or timeout_s > self.remaining_s():
            return False
        quiet_at_s = self._clock.monotonic() + timeout_s + self._max_send_s
        self._quiet_at_s = max(self._quiet_at_s, quiet_at_s)
        return True

    def may_acquire(self) -> bool:
        """Tells whether this VM may try to take the lease."""
        if self.state != LeaseState.WATCHING.value or self._version < 0:
            return False
        record = self._record
        if record is None or not record.holder:
            return True
        if record.holder == self._holder:
            # A holder named by its VM alone is an earlier process of it,
            # which is gone.
            return True
        waited_s = self._clock.monotonic() - self._first_seen_s
        wait_s = (record.term_s + self._max_send_s) * (1 + _CLOCK_DRIFT)
        return waited_s >= wait_s

    def next_write(
        self, *, token: str, intent: Intent | None = None
    ) -> LeaseWrite | None:
        """Returns the update that acquires or renews, if one is due.

        Args:
            token: Token of this write, never used before.
            intent: Act to record in place of the last one for its subject.
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
        """Reports that the pending write took effect."""
        if self._pending is None:
            return
        self._take(self._pending.record, version)
        self._pending = None
        self._valid_until_s = self._pending_sent_s + self._term_s
        self._trigger("confirm")

    def write_failed(self) -> None:
        """Reports that the pending write did not reach the store."""
        if self._pending is not None:
            self._drop_pending()

    def write_outcome_unknown(self) -> None:
        """Reports that the pending write may have taken effect.

        A conflict is a doubt too: a client library may have repeated a
        write whose first answer it lost.
        """
        if self._pending is not None:
            self._trigger("doubt")

    def has_pending_write(self) -> bool:
        """Tells whether the object must be read to settle a write."""
        return self._pending is not None

    def mark_done(self, intent_id: str) -> None:
        """Notes that the far side confirmed an act; the next write says so.

        If this VM dies before that, its successor repeats the same act.
        """
        self._done.add(intent_id)

    def release_write(self, *, token: str) -> LeaseWrite | None:
        """Returns the update that gives the lease up, if that is safe.

        While a send that was allowed may still arrive at its far side the
        lease is kept, and the successor waits it out.
        """
        if not self.is_held() or self._pending is not None:
            return None
        if self._clock.monotonic() < self._quiet_at_s:
            return None
        assert self._record is not None
        record = msgspec.structs.replace(
            self._record, holder="", token=token, intents=self.intents
        )
        self._lose()
        return LeaseWrite(record=record, expect_version=self._version)

    def _next_intents(self, intent: Intent | None) -> list[Intent]:
        kept = self.intents
        if intent is None:
            return kept
        return [i for i in kept if i.subject != intent.subject] + [intent]

    def _is_pending_write(self, record: LeaseRecord | None) -> bool:
        if self._pending is None or record is None:
            return False
        return record.token == self._pending.record.token

    def _is_own_epoch(self, record: LeaseRecord | None) -> bool:
        """Tells whether an earlier write of this epoch arrived late."""
        old = self._record
        if old is None or record is None:
            return False
        return (
            old.holder == record.holder == self._holder
            and old.epoch == record.epoch
        )

    def _take(self, record: LeaseRecord | None, version: int) -> None:
        self._record = record
        self._version = version
        self._first_seen_s = self._clock.monotonic()
        recorded = record.intents if record else []
        self._done &= {i.intent_id for i in recorded if not i.done}

    def _drop_pending(self) -> None:
        """Goes on without the pending write, if the term still runs."""
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
        """Follows one edge of the state table."""
        _MACHINE.events[event].trigger(self)
