"""Policies for the start order of samples and for straggler mitigation."""

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

_SMOOTHING_FACTOR = 0.3
_PILOT_SAMPLES = 2


class MitigationKind(enum.StrEnum):
    """How a slow sample is continued on another engine."""

    MIGRATE = "migrate"
    HEDGE = "hedge"


class RunningSample(msgspec.Struct, kw_only=True):
    """An attempt at a sample on an engine.

    Attributes:
        slot: Step, group and index.
        server: Engine that runs it; empty until its first chunk.
        tokens: Tokens generated so far, including those of earlier attempts
            that it resumes.
        started_s: Time at which this attempt started.
        progress_s: Time of its last chunk, or of its start.
        moves: Number of earlier mitigations of the sample.
        hedged: Whether another attempt was started in parallel.
    """

    slot: SlotKey
    server: str
    tokens: int
    started_s: float
    progress_s: float
    moves: int = 0
    hedged: bool = False


class Mitigation(msgspec.Struct, kw_only=True, frozen=True):
    """A decision to continue a sample on another engine.

    Attributes:
        slot: Step, group and index.
        kind: Whether the current attempt is cancelled or runs on.
        avoid: Engine of the current attempt, which is not used again; empty
            if it is not known yet.
    """

    slot: SlotKey
    kind: MitigationKind
    avoid: str


class StragglerPolicy(abc.ABC):
    """Decides the start order of samples and the mitigation of stragglers."""

    __slots__ = ()

    @abc.abstractmethod
    def order(self, slots: list[OpenSlot]) -> list[OpenSlot]:
        """Returns open slots in the order in which to start them."""

    @abc.abstractmethod
    def mitigations(
        self,
        running: list[RunningSample],
        *,
        waiting: int,
        idle_slots: int,
        now_s: float,
    ) -> list[Mitigation]:
        """Returns the mitigations to apply now.

        Args:
            running: Attempts that run on engines.
            waiting: Number of slots without an attempt.
            idle_slots: Number of further requests that engines could run now.
            now_s: Current time in seconds.
        """

    def record_chunk(self, server: str, *, tokens: int, seconds: float) -> None:
        """Records how many tokens an engine generated in how many seconds."""
        del server, tokens, seconds

    def record_length(self, slot: SlotKey, tokens: int) -> None:
        """Records the length of a sample so far, or its final length."""
        del slot, tokens

    def record_finished(self, seconds: float) -> None:
        """Records the duration of a finished sample."""
        del seconds


class FirstComeFirstServed(StragglerPolicy):
    """Starts slots in the given order and mitigates no stragglers."""

    __slots__ = ()

    def order(self, slots: list[OpenSlot]) -> list[OpenSlot]:
        """Returns the slots in the given order."""
        return slots

    def mitigations(
        self,
        running: list[RunningSample],
        *,
        waiting: int,
        idle_slots: int,
        now_s: float,
    ) -> list[Mitigation]:
        """Returns no mitigations."""
        return []


class HedgeFromScratch(FirstComeFirstServed):
    """Hedges samples that take much longer than the median duration.

    Args:
        after_factor: Multiple of the median duration of finished samples
            after which a sample is hedged.
    """

    __slots__ = ("_after_factor", "_durations_s")

    def __init__(self, *, after_factor: float = 3.0):
        self._after_factor = after_factor
        self._durations_s: list[float] = []

    def record_finished(self, seconds: float) -> None:
        """Records the duration of a finished sample."""
        self._durations_s.append(seconds)

    def mitigations(
        self,
        running: list[RunningSample],
        *,
        waiting: int,
        idle_slots: int,
        now_s: float,
    ) -> list[Mitigation]:
        """Hedges late samples on idle slots, unless other slots wait."""
        if waiting or not self._durations_s:
            return []
        threshold_s = self._after_factor * statistics.median(self._durations_s)
        late = [
            run
            for run in running
            if not run.hedged and now_s - run.started_s > threshold_s
        ]
        return [
            Mitigation(
                slot=run.slot, kind=MitigationKind.HEDGE, avoid=run.server
            )
            for run in late[:idle_slots]
        ]


class LongestGroupFirst(StragglerPolicy):
    """Starts long groups early and migrates samples off slow engines.

    The first two samples of each group are pilots: they start first, fill the
    prefix cache and predict the length of the other samples of the group.
    Those start in order of the longest sample of their group so far.

    A sample on a slow engine resumes from its last token on another engine
    when one has an idle slot, longest sample first. It frees its own slot for
    a sample that may be short, and no token is generated twice.

    A stalled sample is migrated after a timeout. After half of it, when it is
    too early to abandon the engine, the sample may be hedged: a second attempt
    resumes from the last token while the first one continues.

    Args:
        slow_factor: Fraction of the median speed below which an engine is
            slow.
        stall_timeout_s: Seconds without a chunk after which a sample is
            migrated.
        max_moves: Maximum number of mitigations of one sample.
        max_hedge_fraction: Hedges allowed per finished sample.
    """

    __slots__ = (
        "_finished_samples",
        "_hedges",
        "_lengths",
        "_max_hedge_fraction",
        "_max_moves",
        "_slow_factor",
        "_stall_timeout_s",
        "_tokens_per_s",
    )

    def __init__(
        self,
        *,
        slow_factor: float = 0.6,
        stall_timeout_s: float = 5.0,
        max_moves: int = 3,
        max_hedge_fraction: float = 0.02,
    ):
        self._slow_factor = slow_factor
        self._stall_timeout_s = stall_timeout_s
        self._max_moves = max_moves
        self._max_hedge_fraction = max_hedge_fraction
        self._tokens_per_s: dict[str, float] = {}
        self._lengths: dict[tuple[int, int], dict[int, int]] = {}
        self._finished_samples = 0
        self._hedges = 0

    def record_chunk(self, server: str, *, tokens: int, seconds: float) -> None:
        """Updates the moving average of an engine's generation speed."""
        if seconds <= 0:
            return
        tokens_per_s = tokens / seconds
        average = self._tokens_per_s.setdefault(server, tokens_per_s)
        self._tokens_per_s[server] = average + _SMOOTHING_FACTOR * (
            tokens_per_s - average
        )

    def record_length(self, slot: SlotKey, tokens: int) -> None:
        """Records a sample's length and forgets steps before the last two."""
        step, group, index = slot
        self._lengths.setdefault((step, group), {})[index] = tokens
        for key in [key for key in self._lengths if key[0] < step - 2]:
            del self._lengths[key]

    def record_finished(self, seconds: float) -> None:
        """Counts a finished sample, which adds to the hedge budget."""
        del seconds
        self._finished_samples += 1

    def order(self, slots: list[OpenSlot]) -> list[OpenSlot]:
        """Orders pilots first, then samples of the longest groups first."""
        return sorted(slots, key=self._start_priority)

    def mitigations(
        self,
        running: list[RunningSample],
        *,
        waiting: int,
        idle_slots: int,
        now_s: float,
    ) -> list[Mitigation]:
        """Mitigates stalled samples, and slow ones while slots are idle."""
        mitigations: list[Mitigation] = []
        slow = self._slow_servers()
        del waiting
        remaining_slots = idle_slots
        by_length = sorted(running, key=lambda run: (-run.tokens, run.slot))
        for run in by_length:
            stalled_s = now_s - run.progress_s
            may_mitigate = run.moves < self._max_moves and not run.hedged
            if not may_mitigate:
                continue
            if stalled_s > self._stall_timeout_s:
                mitigations.append(
                    _make_mitigation(run, MitigationKind.MIGRATE)
                )
            elif remaining_slots > 0 and run.server in slow:
                mitigations.append(
                    _make_mitigation(run, MitigationKind.MIGRATE)
                )
                remaining_slots -= 1
            elif (
                remaining_slots > 0
                and stalled_s > self._stall_timeout_s / 2
                and self._try_acquire_hedge()
            ):
                mitigations.append(_make_mitigation(run, MitigationKind.HEDGE))
                remaining_slots -= 1
        return mitigations

    def slow_servers(self) -> frozenset[str]:
        """Returns engines whose speed is below `slow_factor` of the median."""
        return frozenset(self._slow_servers())

    def _slow_servers(self) -> set[str]:
        if len(self._tokens_per_s) < 2:
            return set()
        min_tokens_per_s = self._slow_factor * statistics.median(
            self._tokens_per_s.values()
        )
        return {
            name
            for name, tokens_per_s in self._tokens_per_s.items()
            if tokens_per_s < min_tokens_per_s
        }

    def _start_priority(self, slot: OpenSlot) -> tuple[int, int, int, int, int]:
        if slot.index < _PILOT_SAMPLES:
            return slot.step, 0, slot.index, slot.group, 0
        lengths = self._lengths.get((slot.step, slot.group), {})
        longest = max(lengths.values(), default=0)
        return slot.step, 1, -longest, slot.group, slot.index

    def _try_acquire_hedge(self) -> bool:
        allowed = 1 + self._max_hedge_fraction * self._finished_samples
        if self._hedges + 1 > allowed:
            return False
        self._hedges += 1
        return True


def _make_mitigation(run: RunningSample, kind: MitigationKind) -> Mitigation:
    return Mitigation(slot=run.slot, kind=kind, avoid=run.server)
