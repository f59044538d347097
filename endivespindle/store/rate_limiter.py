"""How many platform calls a VM may make, and which ones go first."""

import enum

import msgspec

from endivespindle.core.clock import Clock

__all__ = ["CallRateLimiter", "CallKind", "CallPriority"]

_BURST_S = 1.0
_URGENT_RESERVE = 0.25


class CallKind(enum.StrEnum):
    """What the platform counts a call as; a waiting watch is one read."""

    READ = "read"
    WRITE = "write"


class CallPriority(enum.StrEnum):
    """Which calls may use the last of the budget."""

    URGENT = "urgent"
    BULK = "bulk"


class _Bucket(msgspec.Struct, kw_only=True):
    rate_per_s: float
    burst: float
    tokens: float
    filled_s: float


class CallRateLimiter:
    """Token buckets of reads and writes, with a reserve for urgent calls.

    Bulk calls leave a quarter of a bucket untouched, so that a renewal or a
    withdrawn key never queues behind a flush.

    Args:
        clock: Clock of this VM.
        reads_per_s: Reads per second allowed.
        writes_per_s: Writes per second allowed.
    """

    __slots__ = ("_buckets", "_clock")

    def __init__(
        self, *, clock: Clock, reads_per_s: float, writes_per_s: float
    ):
        self._clock = clock
        self._buckets = {
            CallKind.READ: self._bucket(reads_per_s),
            CallKind.WRITE: self._bucket(writes_per_s),
        }

    def try_acquire(self, kind: CallKind, urgency: CallPriority) -> float:
        """Takes one call from the budget.

        Args:
            kind: What the platform counts it as.
            urgency: Whether it may use the reserve.

        Returns:
            0 if the call may be made now; else the seconds after which to
            ask again, and nothing was taken.
        """
        bucket = self._buckets[kind]
        self._fill(bucket)
        floor = 0.0
        if urgency is CallPriority.BULK:
            floor = bucket.burst * _URGENT_RESERVE
        missing = floor + 1.0 - bucket.tokens
        if missing > 0:
            return missing / bucket.rate_per_s
        bucket.tokens -= 1.0
        return 0.0

    def _bucket(self, rate_per_s: float) -> _Bucket:
        burst = max(2.0, rate_per_s * _BURST_S)
        return _Bucket(
            rate_per_s=rate_per_s,
            burst=burst,
            tokens=burst,
            filled_s=self._clock.monotonic(),
        )

    def _fill(self, bucket: _Bucket) -> None:
        now_s = self._clock.monotonic()
        gained = (now_s - bucket.filled_s) * bucket.rate_per_s
        bucket.tokens = min(bucket.burst, bucket.tokens + gained)
        bucket.filled_s = now_s
