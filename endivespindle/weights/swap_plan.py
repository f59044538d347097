"""Which engines are ordered to swap their weights next."""

import collections
import random

import msgspec

from endivespindle.core.clock import Clock

__all__ = ["EngineVersion", "SwapLimits", "SwapPlanner"]

_INITIAL_BACKOFF_S = 0.5
_MAX_BACKOFF_S = 15.0
_BACKOFF_FACTOR = 2.0
_DURATION_SAMPLES = 8
_TIMEOUT_MARGIN_S = 2.0


class EngineVersion(msgspec.Struct, kw_only=True, frozen=True):
    """An engine and the version that its load report names."""

    name: str
    version: int


class SwapLimits(msgspec.Struct, kw_only=True, frozen=True):
    """How many swaps may be on their way at once.

    Attributes:
        max_fraction: Largest fraction of the engines, as long as the others
            are fresh enough to start samples.
        max_fetches: Fetches that the weight store carries at once for this
            trainer; 0 sets no bound.
        swap_timeout_s: Seconds after which a swap that was not seen counts
            as failed, at the latest.
        max_staleness_versions: Oldest version that the trainer takes.
    """

    max_fraction: float = 0.5
    max_fetches: int = 0
    swap_timeout_s: float = 10.0
    max_staleness_versions: int = 4


class _SwapState(msgspec.Struct, kw_only=True):
    """What was ordered of one engine, and what it was seen to do."""

    ordered: int = 0
    ordered_s: float = 0.0
    pending: bool = False
    is_failed: bool = False
    failures: int = 0
    retry_at_s: float = 0.0
    reported_s: float | None = None
    chunk_version: int = 0
    chunk_s: float = -1.0

    def is_contradicted(self, reported: int) -> bool:
        """Tells whether a chunk after the report contradicts it."""
        if self.reported_s is None or self.chunk_s <= self.reported_s:
            return False
        return self.chunk_version < min(self.ordered, reported)


class SwapPlanner:
    """Plans swaps of one trainer's weights, and judges whether they worked.

    The answer to an order proves nothing. A swap worked once a chunk names
    the version, or the load report does and no later chunk contradicts it; it
    failed once neither did in time, and is then ordered again after a pause
    that grows. How long to
    wait follows from the slowest of the last swaps that worked.

    Args:
        clock: Clock of this VM.
        rng: Source of jitter.
        limits: How many swaps may be on their way at once.
    """

    __slots__ = (
        "_clock",
        "_durations_s",
        "_limits",
        "_rng",
        "_swaps",
        "failed",
    )

    def __init__(self, *, clock: Clock, rng: random.Random, limits: SwapLimits):
        self._clock = clock
        self._rng = rng
        self._limits = limits
        self._swaps: dict[str, _SwapState] = {}
        self._durations_s: collections.deque[float] = collections.deque(
            maxlen=_DURATION_SAMPLES
        )
        self.failed = 0

    def record_chunk_version(self, name: str, version: int) -> None:
        """Takes in the version that an engine's newest chunk names."""
        swap = self._swap(name)
        swap.chunk_version = version
        swap.chunk_s = self._clock.monotonic()
        if version >= swap.ordered:
            swap.failures = 0

    def record_refusal(self, name: str) -> None:
        """Takes in that an order was refused or could not be sent."""
        swap = self._swap(name)
        if swap.pending:
            self._fail(swap)

    def version_of(self, engine: EngineVersion) -> int:
        """Returns the version that an engine can be trusted to hold.

        A report of the version ordered counts until a chunk that came after
        it contradicts it.
        """
        swap = self._swap(engine.name)
        if swap.is_contradicted(engine.version):
            return swap.chunk_version
        if swap.reported_s is None and swap.chunk_s > swap.ordered_s:
            return max(engine.version, swap.chunk_version)
        return engine.version

    def plan(self, engines: list[EngineVersion], *, version: int) -> list[str]:
        """Returns the engines to order a version on now, the stalest first.

        Args:
            engines: Engines of one service.
            version: Version wanted.
        """
        now_s = self._clock.monotonic()
        held = {engine.name: self.version_of(engine) for engine in engines}
        for engine in engines:
            self._check_outcome(engine, now_s)
        pending = sum(self._swap(name).pending for name in held)
        behind = [
            name
            for name in held
            if held[name] < version
            and not self._swap(name).pending
            and self._swap(name).retry_at_s <= now_s
        ]
        behind.sort(key=lambda name: (held[name], name))
        count = self._allowed(list(held.values()), version) - pending
        chosen = behind[: max(0, count)]
        for name in chosen:
            swap = self._swap(name)
            swap.ordered, swap.ordered_s = version, now_s
            swap.pending = True
            swap.is_failed = False
            swap.reported_s = None
        return chosen

    def _allowed(self, held: list[int], version: int) -> int:
        """Returns how many engines may swap at once.

        Engines over the trainer's bound are no use to it as they are, so
        that they are not held back for the sake of capacity.
        """
        limits = self._limits
        useless = sum(
            at < version - limits.max_staleness_versions for at in held
        )
        count = max(1, int(len(held) * limits.max_fraction), useless)
        if limits.max_fetches:
            count = min(count, limits.max_fetches)
        return count

    def _check_outcome(self, engine: EngineVersion, now_s: float) -> None:
        swap = self._swap(engine.name)
        if engine.version >= swap.ordered and swap.reported_s is None:
            swap.reported_s = now_s
        contradicted = swap.is_contradicted(engine.version)
        if not swap.pending:
            if contradicted and not swap.is_failed:
                self._fail(swap)
            return
        confirmed = (
            swap.chunk_s > swap.ordered_s and swap.chunk_version >= swap.ordered
        )
        if confirmed or (engine.version >= swap.ordered and not contradicted):
            swap.pending = False
            self._durations_s.append(now_s - swap.ordered_s)
        elif contradicted or now_s - swap.ordered_s > self._timeout_s():
            self._fail(swap)

    def _timeout_s(self) -> float:
        """Returns how long a swap may take before it counts as failed."""
        latest_s = self._limits.swap_timeout_s
        if len(self._durations_s) < _DURATION_SAMPLES // 2:
            return latest_s
        return min(latest_s, max(self._durations_s) + _TIMEOUT_MARGIN_S)

    def _fail(self, swap: _SwapState) -> None:
        self.failed += 1
        pause_s = _INITIAL_BACKOFF_S * _BACKOFF_FACTOR**swap.failures
        swap.pending = False
        swap.is_failed = True
        swap.failures += 1
        swap.retry_at_s = self._clock.monotonic() + self._rng.uniform(
            0.5, 1.0
        ) * min(_MAX_BACKOFF_S, pause_s)

    def _swap(self, name: str) -> _SwapState:
        return self._swaps.setdefault(name, _SwapState())
