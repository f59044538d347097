"""Writes one VM's usage counts to the store as parts.

A part carries absolute counts and a sequence number.
"""

import msgspec

from endivespindle.schema.generated.stored import UsagePart
from endivespindle.usage.ledger import UsageLedger

__all__ = ["PartFlusher", "PutPart", "ReadPart"]


class PutPart(msgspec.Struct, kw_only=True, frozen=True):
    """Write a part if the stored version is `expect_version`."""

    name: str
    part: UsagePart
    expect_version: int


class ReadPart(msgspec.Struct, kw_only=True, frozen=True):
    """Read a part after a write whose outcome is unknown."""

    name: str


class _WriteState(msgspec.Struct, kw_only=True):
    """State of the writes of one window's part."""

    version: int = 0
    sequence: int = 0
    token: str = ""
    outcome_unknown: bool = False


class PartFlusher:
    """Decides which part to write or to read next.

    Args:
        ledger: Usage counts of this VM.
        vm: Name of this VM.
        incarnation: Incarnation of this VM. It is part of the object name,
            so that a restarted VM never overwrites its earlier part.
    """

    __slots__ = ("_incarnation", "_ledger", "_write_states", "_vm")

    def __init__(self, *, ledger: UsageLedger, vm: str, incarnation: str):
        self._ledger = ledger
        self._vm = vm
        self._incarnation = incarnation
        self._write_states: dict[int, _WriteState] = {}

    def pending_windows(self) -> list[int]:
        """Returns the windows to write, or with an unknown write outcome."""
        unknown = {
            w for w, p in self._write_states.items() if p.outcome_unknown
        }
        return sorted(unknown | set(self._ledger.dirty_windows()))

    def next_call(
        self, window: int, *, token: str
    ) -> PutPart | ReadPart | None:
        """Returns the next store call for a window, if any is needed.

        Args:
            window: Window to flush.
            token: Unique token for the write.
        """
        name = f"{window}/{self._vm}.{self._incarnation}"
        state = self._write_states.setdefault(window, _WriteState())
        if state.outcome_unknown:
            return ReadPart(name=name)
        if window not in self._ledger.dirty_windows():
            return None
        state.sequence += 1
        state.token = token
        self._ledger.mark_flushed(window)
        part = UsagePart(
            vm=self._vm,
            incarnation=self._incarnation,
            sequence=state.sequence,
            lines=[
                msgspec.structs.replace(line)
                for line in self._ledger.lines(window)
            ],
            token=token,
        )
        return PutPart(name=name, part=part, expect_version=state.version)

    def write_succeeded(self, window: int, version: int) -> None:
        """Records the version that the last write created."""
        self._write_states[window].version = version

    def write_failed(self, window: int) -> None:
        """Marks the window dirty: the last write did not take effect."""
        self._ledger.mark_dirty(window)

    def write_outcome_unknown(self, window: int) -> None:
        """Records that the last write may have taken effect."""
        self._write_states[window].outcome_unknown = True

    def resolve_write(
        self, window: int, stored: UsagePart | None, version: int
    ) -> None:
        """Resolves a write of unknown outcome.

        Args:
            window: Window that was written.
            stored: The part in the store; None if there is none.
            version: Version of the stored object.
        """
        state = self._write_states[window]
        state.outcome_unknown = False
        state.version = version
        if stored is None or stored.token != state.token:
            self._ledger.mark_dirty(window)

    def remove_before(self, window: int) -> None:
        """Drops older windows whose counts are all written."""
        kept = set(self.pending_windows())
        for old in [w for w in self._write_states if w < window]:
            if old not in kept:
                self._ledger.remove_window(old)
                del self._write_states[old]
