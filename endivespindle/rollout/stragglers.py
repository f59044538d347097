"""Which samples start next, and which move to another engine."""

import abc
import enum
import statistics

import msgspec

from endivespindle.rollout.delivery import OpenSlot

__all__ = [
    "FirstComeFirstServed",
    "HedgeFromScratch",
    "LongestGroupFirst",
    "Mitigation",
    "MitigationKind",
    "RunningSample",
    "SlotKey",
    "StragglerPolicy",
]

SlotKey = tuple[int, int, int]

_SMOOTHING = 0.3
_PILOTS = 2


class MitigationKind(enum.StrEnum):
    """How a sample goes on elsewhere."""

    MIGRATE = "migrate"
    HEDGE = "hedge"


class RunningSample(msgspec.Struct, kw_only=True):
    """An attempt at a sample on an engine.

    Attributes:
        slot: Step, group and index.
        server: Engine that runs it; empty until its first chunk.
        tokens: Tokens so far.
        started_s: Time at which this attempt started.
        progress_s: Time of its last chunk, or of its start.
        moves: How often the sample moved before.
        hedged: Whether another attempt at the slot runs.
    """

    slot: SlotKey
    server: str
    tokens: int
    started_s: float
    progress_s: float
    moves: int = 0
    hedged: bool = False


class Mitigation(msgspec.Struct, kw_only=True, frozen=True):
    """An order to let a sample go on, on another engine."""

    slot: SlotKey
    kind: MitigationKind
    avoid: str


class StragglerPolicy(abc.ABC):
    """Decides the order of starts, and moves of slow samples."""

    __slots__ = ()

    @abc.abstractmethod
    def order(self, slots: list[OpenSlot]) -> list[OpenSlot]:
        """Returns slots of the same urgency in the order of their start."""

    @abc.abstractmethod
    def mitigations(
        self,
        running: list[RunningSample],
        *,
        waiting: int,
        idle_slots: int,
        now_s: float,
    ) -> list[Mitigation]:
        """Returns the samples that move now.

        Args:
            running: Attempts on engines.
            waiting: Slots that wait for their start.
            idle_slots: Requests that engines could take at once besides.
            now_s: Time of the decision.
        """

    def record_chunk(self, server: str, *, tokens: int, seconds: float) -> None:
        """Takes in how long an engine took for some tokens."""
        del server, tokens, seconds

    def record_length(self, slot: SlotKey, tokens: int) -> None:
        """Takes in how long a sample is so far, or became."""
        del slot, tokens

    def record_finished(self, seconds: float) -> None:
        """Takes in how long a finished sample took."""
        del seconds


class FirstComeFirstServed(StragglerPolicy):
    """Starts slots in their order and never moves one."""

    __slots__ = ()

    def order(self, slots: list[OpenSlot]) -> list[OpenSlot]:
        """Returns the slots as they are."""
        return slots

    def mitigations(
        self,
        running: list[RunningSample],
        *,
        waiting: int,
        idle_slots: int,
        now_s: float,
    ) -> list[Mitigation]:
        """Returns nothing."""
        return []


class HedgeFromScratch(FirstComeFirstServed):
    """Doubles any sample that takes much longer than the median did.

    Args:
        after_factor: Multiple of the median duration.
    """

    __slots__ = ("_after_factor", "_durations_s")

    def __init__(self, *, after_factor: float = 3.0):
        self._after_factor = after_factor
        self._durations_s: list[float] = []

    def record_finished(self, seconds: float) -> None:
        """Takes in how long a finished sample took."""
        self._durations_s.append(seconds)

    def mitigations(
        self,
        running: list[RunningSample],
        *,
        waiting: int,
        idle_slots: int,
        now_s: float,
    ) -> list[Mitigation]:
        """Returns a hedge for each late sample while slots are idle."""
        if waiting or not self._durations_s:
            return []
        late_s = self._after_factor * statistics.median(self._durations_s)
        late = [
            run
            for run in running
            if not run.hedged and now_s - run.started_s > late_s
        ]
        return [
            Mitigation(
                slot=run.slot, kind=MitigationKind.HEDGE, avoid=run.server
            )
            for run in late[:idle_slots]
        ]


class LongestGroupFirst(StragglerPolicy):
    """Starts long groups early, and carries slow samples elsewhere.

    The first two samples of each group are its pilots: they fill the prefix
    cache and tell how long their siblings may become. Later samples of the
    groups that look longest start first. A sample on a slow engine goes on
    from its last token on another one as soon as that has an idle slot, the
    longest first, and leaves its own slot to one that may be short; no token
    is made twice. Only a silent sample is doubled, with the same
    resumption, when it is too early to give its engine up.

    Args:
        slow_factor: Fraction of the median speed under which an engine is
            slow.
        silent_s: Seconds without a chunk after which a sample moves.
        max_moves: Moves of one sample.
        max_hedge_fraction: Hedges allowed per sample finished.
    """

    __slots__ = (
        "_finished",
        "_hedges",
        "_lengths",
        "_max_hedge_fraction",
        "_max_moves",
        "_silent_s",
        "_slow_factor",
        "_speeds",
    )

    def __init__(
        self,
        *,
        slow_factor: float = 0.6,
        silent_s: float = 5.0,
        max_moves: int = 3,
        max_hedge_fraction: float = 0.02,
    ):
        self._slow_factor = slow_factor
        self._silent_s = silent_s
        self._max_moves = max_moves
        self._max_hedge_fraction = max_hedge_fraction
        self._speeds: dict[str, float] = {}
        self._lengths: dict[tuple[int, int], dict[int, int]] = {}
        self._finished = 0
        self._hedges = 0

    def record_chunk(self, server: str, *, tokens: int, seconds: float) -> None:
        """Takes in how long an engine took for some tokens."""
        if seconds <= 0:
            return
        speed = tokens / seconds
        held = self._speeds.setdefault(server, speed)
        self._speeds[server] = held + _SMOOTHING * (speed - held)

    def record_length(self, slot: SlotKey, tokens: int) -> None:
        """Takes in how long a sample is so far, or became."""
        step, group, index = slot
        self._lengths.setdefault((step, group), {})[index] = tokens
        for key in [key for key in self._lengths if key[0] < step - 2]:
            del self._lengths[key]

    def record_finished(self, seconds: float) -> None:
        """Counts a sample finished, which earns a part of a hedge."""
        del seconds
        self._finished += 1

    def order(self, slots: list[OpenSlot]) -> list[OpenSlot]:
        """Returns pilots first, then siblings of the longest group first."""
        return sorted(slots, key=self._start_rank)

    def mitigations(
        self,
        running: list[RunningSample],
        *,
        waiting: int,
        idle_slots: int,
        now_s: float,
    ) -> list[Mitigation]:
        """Returns silent samples, and slow ones while slots are idle."""
        found: list[Mitigation] = []
        slow = self._slow_servers()
        del waiting
        spare = idle_slots
        ranked = sorted(running, key=lambda run: (-run.tokens, run.slot))
        for run in ranked:
            silent_s = now_s - run.progress_s
            movable = run.moves < self._max_moves and not run.hedged
            if not movable:
                continue
            if silent_s > self._silent_s:
                found.append(_move(run, MitigationKind.MIGRATE))
            elif spare > 0 and run.server in slow:
                found.append(_move(run, MitigationKind.MIGRATE))
                spare -= 1
            elif spare > 0 and silent_s > self._silent_s / 2 and self._hedge():
                found.append(_move(run, MitigationKind.HEDGE))
                spare -= 1
        return found

    def slow_servers(self) -> frozenset[str]:
        """Returns engines far slower than the median."""
        return frozenset(self._slow_servers())

    def _slow_servers(self) -> set[str]:
        if len(self._speeds) < 2:
            return set()
        limit = self._slow_factor * statistics.median(self._speeds.values())
        return {name for name, speed in self._speeds.items() if speed < limit}

    def _start_rank(self, slot: OpenSlot) -> tuple[int, int, int, int, int]:
        if slot.index < _PILOTS:
            return slot.step, 0, slot.index, slot.group, 0
        lengths = self._lengths.get((slot.step, slot.group), {})
        longest = max(lengths.values(), default=0)
        return slot.step, 1, -longest, slot.group, slot.index

    def _hedge(self) -> bool:
        allowed = 1 + self._max_hedge_fraction * self._finished
        if self._hedges + 1 > allowed:
            return False
        self._hedges += 1
        return True


def _move(run: RunningSample, kind: MitigationKind) -> Mitigation:
    return Mitigation(slot=run.slot, kind=kind, avoid=run.server)
