"""Plans which engines swap their weights next."""

import collections
import random

import msgspec

from endivespindle.core.clock import Clock

__all__ = ["EngineVersion", "SwapLimits", "SwapPlanner"]

# Backoff before a failed swap is ordered again.
_INITIAL_BACKOFF_S = 0.5
_MAX_BACKOFF_S = 15.0
_BACKOFF_FACTOR = 2.0
# Durations of successful swaps that are kept to derive the timeout.
_DURATION_SAMPLES = 8
# Margin of the timeout over the longest of these durations.
_TIMEOUT_MARGIN_S = 2.0


class EngineVersion(msgspec.Struct, kw_only=True, frozen=True):
    """An engine and the weight version in its load report."""

    name: str
    version: int


class SwapLimits(msgspec.Struct, kw_only=True, frozen=True):
    """Limits on concurrent swaps.

    Attributes:
        max_fraction: Largest fraction of the engines that may swap at once,
            as long as the others are fresh enough to start samples.
        max_fetches: Concurrent fetches from the weight store for this
            trainer; 0 means no limit.
        swap_timeout_s: Longest time in seconds until an unconfirmed swap
            counts as failed.
        max_staleness_versions: Number of versions by which an engine may lag
            behind for the trainer to accept its samples.
    """

    max_fraction: float = 0.5
    max_fetches: int = 0
    swap_timeout_s: float = 10.0
    max_staleness_versions: int = 4


class _SwapState(msgspec.Struct, kw_only=True):
    """Last swap ordered of one engine, and the observed versions."""

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
        """Returns whether a chunk later than the report contradicts it."""
        if self.reported_s is None or self.chunk_s <= self.reported_s:
            return False
        return self.chunk_version < min(self.ordered, reported)


class SwapPlanner:
    """Plans swaps of one trainer's weights and determines their outcome.

    The response to an order proves nothing. A swap has succeeded once a chunk
    carries the version, or the load report does and no later chunk
    contradicts it. It fails after a timeout, or when a chunk contradicts the
    report, and is ordered again after an exponential backoff. The timeout
    follows from the slowest of the most recent successful swaps.

    Args:
        clock: Clock of this VM.
        rng: Source of jitter.
        limits: Limits on concurrent swaps.

    Attributes:
        failed: Number of failed swaps.
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
        """Records the weight version of an engine's newest chunk."""
        swap = self._state_of(name)
        swap.chunk_version = version
        swap.chunk_s = self._clock.monotonic()
        if version >= swap.ordered:
            swap.failures = 0

    def record_refusal(self, name: str) -> None:
        """Records that an order was refused or could not be sent."""
        swap = self._state_of(name)
        if swap.pending:
            self._fail(swap)

    def version_of(self, engine: EngineVersion) -> int:
        """Returns the weight version that an engine is believed to serve.

        A report of the ordered version counts until a later chunk contradicts
        it.
        """
        swap = self._state_of(engine.name)
        if swap.is_contradicted(engine.version):
            return swap.chunk_version
        if swap.reported_s is None and swap.chunk_s > swap.ordered_s:
            return max(engine.version, swap.chunk_version)
        return engine.version

    def plan(self, engines: list[EngineVersion], *, version: int) -> list[str]:
        """Returns the engines to order a version on now, the stalest first.

        Args:
            engines: Engines of one service.
            version: Weight version wanted.
        """
        now_s = self._clock.monotonic()
        versions = {engine.name: self.version_of(engine) for engine in engines}
        for engine in engines:
            self._check_outcome(engine, now_s)
        pending = sum(self._state_of(name).pending for name in versions)
        behind = [
            name
            for name in versions
            if versions[name] < version
            and not self._state_of(name).pending
            and self._state_of(name).retry_at_s <= now_s
        ]
        behind.sort(key=lambda name: (versions[name], name))
        count = self._allowed(list(versions.values()), version) - pending
        chosen = behind[: max(0, count)]
        for name in chosen:
            swap = self._state_of(name)
            swap.ordered, swap.ordered_s = version, now_s
            swap.pending = True
            swap.is_failed = False
            swap.reported_s = None
        return chosen

    def _allowed(self, versions: list[int], version: int) -> int:
        """Returns how many engines may swap at once.

        Engines beyond the trainer's staleness limit are of no use to it, so
        they are not kept from swapping to preserve capacity.
        """
        limits = self._limits
        too_stale = sum(
            v < version - limits.max_staleness_versions for v in versions
        )
        count = max(1, int(len(versions) * limits.max_fraction), too_stale)
        if limits.max_fetches:
            count = min(count, limits.max_fetches)
        return count

    def _check_outcome(self, engine: EngineVersion, now_s: float) -> None:
        swap = self._state_of(engine.name)
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
        """Returns the time after which a pending swap counts as failed."""
        max_timeout_s = self._limits.swap_timeout_s
        if len(self._durations_s) < _DURATION_SAMPLES // 2:
            return max_timeout_s
        return min(max_timeout_s, max(self._durations_s) + _TIMEOUT_MARGIN_S)

    def _fail(self, swap: _SwapState) -> None:
        self.failed += 1
        backoff_s = _INITIAL_BACKOFF_S * _BACKOFF_FACTOR**swap.failures
        swap.pending = False
        swap.is_failed = True
        swap.failures += 1
        swap.retry_at_s = self._clock.monotonic() + self._rng.uniform(
            0.5, 1.0
        ) * min(_MAX_BACKOFF_S, backoff_s)

    def _state_of(self, name: str) -> _SwapState:
        return self._swaps.setdefault(name, _SwapState())
