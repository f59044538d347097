"""Writes one VM's figures as parts, absolute and numbered."""

import msgspec

from endivespindle.schema.generated.stored import UsagePart
from endivespindle.usage.ledger import UsageLedger

__all__ = ["PartFlusher", "PutPart", "ReadPart"]


class PutPart(msgspec.Struct, kw_only=True, frozen=True):
    """Write a part if it still has a version."""

    name: str
    part: UsagePart
    expect_version: int


class ReadPart(msgspec.Struct, kw_only=True, frozen=True):
    """Read a part to settle a write whose outcome is in doubt."""

    name: str


class _WriteState(msgspec.Struct, kw_only=True):
    """How far one window's part was written."""

    version: int = 0
    sequence: int = 0
    token: str = ""
    doubtful: bool = False


class PartFlusher:
    """Decides which part to write or to read next.

    Args:
        ledger: Figures of this VM.
        vm: Name of this VM.
        incarnation: Its incarnation, so that a restarted VM never writes the
            part of its former life.
    """

    __slots__ = ("_incarnation", "_ledger", "_write_states", "_vm")

    def __init__(self, *, ledger: UsageLedger, vm: str, incarnation: str):
        self._ledger = ledger
        self._vm = vm
        self._incarnation = incarnation
        self._write_states: dict[int, _WriteState] = {}

    def pending_windows(self) -> list[int]:
        """Returns the windows that are not written, or in doubt."""
        doubtful = {w for w, p in self._write_states.items() if p.doubtful}
        return sorted(doubtful | set(self._ledger.dirty_windows()))

    def next_call(
        self, window: int, *, token: str
    ) -> PutPart | ReadPart | None:
        """Returns the call that a window needs now, if any.

        Args:
            window: Window to flush.
            token: Token for a write, never used before.
        """
        name = f"{window}/{self._vm}.{self._incarnation}"
        progress = self._write_states.setdefault(window, _WriteState())
        if progress.doubtful:
            return ReadPart(name=name)
        if window not in self._ledger.dirty_windows():
            return None
        progress.sequence += 1
        progress.token = token
        self._ledger.mark_flushed(window)
        part = UsagePart(
            vm=self._vm,
            incarnation=self._incarnation,
            sequence=progress.sequence,
            lines=[
                msgspec.structs.replace(line)
                for line in self._ledger.lines(window)
            ],
            token=token,
        )
        return PutPart(name=name, part=part, expect_version=progress.version)

    def write_succeeded(self, window: int, version: int) -> None:
        """Notes that the last write took effect."""
        self._write_states[window].version = version

    def write_failed(self, window: int) -> None:
        """Notes that the last write did not take effect."""
        self._ledger.mark_dirty(window)

    def write_outcome_unknown(self, window: int) -> None:
        """Notes that the last write may have taken effect."""
        self._write_states[window].doubtful = True

    def resolve_write(self, window: int, held: UsagePart | None, version: int) -> None:
        """Takes in a part as it stands after a doubtful write."""
        progress = self._write_states[window]
        progress.doubtful = False
        progress.version = version
        if held is None or held.token != progress.token:
            self._ledger.mark_dirty(window)

    def remove_before(self, window: int) -> None:
        """Drops older windows whose figures are all written."""
        kept = set(self.pending_windows())
        for old in [w for w in self._write_states if w < window]:
            if old not in kept:
                self._ledger.remove_window(old)
                del self._write_states[old]
