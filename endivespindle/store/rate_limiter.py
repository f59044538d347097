"""Rate limit for the platform calls of one VM, with two priorities."""

import enum

import msgspec

from endivespindle.core.clock import Clock

__all__ = ["CallRateLimiter", "CallKind", "CallPriority"]

_BURST_DURATION_S = 1.0
_URGENT_RESERVE_FRACTION = 0.25


class CallKind(enum.StrEnum):
    """How the platform counts a call; a watch that waits is one read."""

    READ = "read"
    WRITE = "write"


class CallPriority(enum.StrEnum):
    """Priority of a call; only urgent calls may use the reserve."""

    URGENT = "urgent"
    BULK = "bulk"


class _Bucket(msgspec.Struct, kw_only=True):
    rate_per_s: float
    burst: float
    tokens: float
    filled_s: float


class CallRateLimiter:
    """Token buckets for reads and writes, with a reserve for urgent calls.

    Bulk calls leave a quarter of a bucket to urgent ones, so that a lease
    renewal or the withdrawal of a key never queues behind a flush.

    Args:
        clock: Clock of this VM.
        reads_per_s: Allowed reads per second.
        writes_per_s: Allowed writes per second.
    """

    __slots__ = ("_buckets", "_clock")

    def __init__(
        self, *, clock: Clock, reads_per_s: float, writes_per_s: float
    ):
        self._clock = clock
        self._buckets = {
            CallKind.READ: self._new_bucket(reads_per_s),
            CallKind.WRITE: self._new_bucket(writes_per_s),
        }

    def try_acquire(self, kind: CallKind, priority: CallPriority) -> float:
        """Takes one token if the rate limit allows a call now.

        Args:
            kind: How the platform counts the call.
            priority: Whether the call may use the reserve.

        Returns:
            0 if the call may be made now; otherwise the seconds after which
            to try again, and no token was taken.
        """
        bucket = self._buckets[kind]
        self._refill(bucket)
        reserved = 0.0
        if priority is CallPriority.BULK:
            reserved = bucket.burst * _URGENT_RESERVE_FRACTION
        missing = reserved + 1.0 - bucket.tokens
        if missing > 0:
            return missing / bucket.rate_per_s
        bucket.tokens -= 1.0
        return 0.0

    def _new_bucket(self, rate_per_s: float) -> _Bucket:
        burst = max(2.0, rate_per_s * _BURST_DURATION_S)
        return _Bucket(
            rate_per_s=rate_per_s,
            burst=burst,
            tokens=burst,
            filled_s=self._clock.monotonic(),
        )

    def _refill(self, bucket: _Bucket) -> None:
        now_s = self._clock.monotonic()
        new_tokens = (now_s - bucket.filled_s) * bucket.rate_per_s
        bucket.tokens = min(bucket.burst, bucket.tokens + new_tokens)
        bucket.filled_s = now_s
