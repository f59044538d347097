"""The request rate that a backend server accepts, as one VM applies it."""

import math
from collections.abc import Callable

from endivespindle.core.clock import Clock

__all__ = ["ServerRateLimit"]

# Age from which an assigned share is no longer used: assignments arrive several
# times a second, and the demand of other VMs has changed since.
_SHARE_MAX_AGE_S = 2.0
# Least limit that is applied: a server that gets no requests cannot name a
# higher one.
_MIN_LIMIT_PER_S = 0.25
# Time for which a limit that was lifted is reported to other VMs.
_LIFTED_REPORT_S = 10.0


class ServerRateLimit:
    """The limit that a server named last, and this VM's share of it.

    The server limits the requests of all VMs together. A VM spaces its requests
    evenly at its share and saves none, so that many VMs that were idle do not
    exceed the limit together when they send at once.

    Args:
        clock: Clock of this VM.
        count_vms: Returns the number of VMs that may send requests. Without an
            assigned share each of them uses an equal part.

    Attributes:
        limit_per_s: Requests per second from all VMs; None without a limit.
    """

    __slots__ = (
        "_clock",
        "_count_vms",
        "_last_start_s",
        "_seen_s",
        "_share_per_s",
        "_share_seen_s",
        "limit_per_s",
    )

    def __init__(self, *, clock: Clock, count_vms: Callable[[], int]):
        self._clock = clock
        self._count_vms = count_vms
        self._last_start_s = -math.inf
        self._seen_s = -math.inf
        self._share_per_s = 0.0
        self._share_seen_s = -math.inf
        self.limit_per_s: float | None = None

    def record(self, limit_per_s: float | None, *, age_s: float = 0.0) -> bool:
        """Records what a response said, unless a newer one is known.

        Args:
            limit_per_s: Limit it named; None if it named none.
            age_s: Seconds since the response was received.

        Returns:
            Whether the limit changed.
        """
        now_s = self._clock.monotonic()
        if now_s - age_s < self._seen_s:
            return False
        self._seen_s = now_s - age_s
        if limit_per_s is not None:
            limit_per_s = max(_MIN_LIMIT_PER_S, limit_per_s)
        if limit_per_s == self.limit_per_s:
            return False
        if self.limit_per_s is None:
            self._last_start_s = now_s
        self.limit_per_s = limit_per_s
        return True

    def assign_share(self, share_per_s: float) -> None:
        """Sets the part of the limit that this VM may use.

        A VM that had no share does not begin with a request it has saved.
        """
        now_s = self._clock.monotonic()
        if self._rate_per_s() <= 0.0:
            self._last_start_s = max(self._last_start_s, now_s)
        self._share_per_s = share_per_s
        self._share_seen_s = now_s

    def is_reported(self) -> bool:
        """Returns whether other VMs are to be told of the limit or its end."""
        return (
            self.limit_per_s is not None
            or self.evidence_age_s() < _LIFTED_REPORT_S
            and self._last_start_s > -math.inf
        )

    def evidence_age_s(self) -> float:
        """Returns the age of the newest response, in seconds."""
        return self._clock.monotonic() - self._seen_s

    def start_delay_s(self, *, reserved: int = 0) -> float:
        """Returns the seconds until a request may be sent; may be infinite.

        Args:
            reserved: Requests that will be sent before it.
        """
        if self.limit_per_s is None:
            return 0.0
        rate_per_s = self._rate_per_s()
        if rate_per_s <= 0.0:
            return math.inf
        next_s = self._last_start_s + 1 / rate_per_s
        wait_s = max(0.0, next_s - self._clock.monotonic())
        return wait_s + reserved / rate_per_s

    def reserve_start(self) -> float:
        """Reserves the next start; returns the seconds until then."""
        delay_s = self.start_delay_s()
        if self.limit_per_s is not None and delay_s < math.inf:
            self._last_start_s = self._clock.monotonic() + delay_s
        return delay_s

    def _rate_per_s(self) -> float:
        share_age_s = self._clock.monotonic() - self._share_seen_s
        if share_age_s <= _SHARE_MAX_AGE_S:
            return self._share_per_s
        return (self.limit_per_s or 0.0) / max(1, self._count_vms())
