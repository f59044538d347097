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

    The server limits the requests of all VMs together. Each VM has a token
    bucket that is filled at its share of the rate. The bucket is empty at first
    and without a share, so that many VMs that were idle do not exceed the limit
    together when they send at once.

    A cold server is limited in the same way, by the rate that it bears.

    Args:
        clock: Clock of this VM.
        count_vms: Returns the number of VMs that may send requests. Without an
            assigned share each of them uses an equal part.
        cold_limit: Returns the requests per second from all VMs while the
            server is cold; None if there is no bound.
    """

    __slots__ = (
        "_burst",
        "_clock",
        "_cold_limit",
        "_cold_until_s",
        "_count_vms",
        "_filled_s",
        "_named_per_s",
        "_seen_s",
        "_share_per_s",
        "_share_seen_s",
        "_tokens",
        "_was_limited",
    )

    def __init__(
        self,
        *,
        clock: Clock,
        count_vms: Callable[[], int],
        cold_limit: Callable[[], float | None] = lambda: None,
    ):
        self._burst = 1.0
        self._clock = clock
        self._cold_limit = cold_limit
        self._cold_until_s = -math.inf
        self._count_vms = count_vms
        self._filled_s = clock.monotonic()
        self._seen_s = -math.inf
        self._share_per_s = 0.0
        self._share_seen_s = -math.inf
        self._tokens = 0.0
        self._was_limited = False
        self._named_per_s: float | None = None

    @property
    def limit_per_s(self) -> float | None:
        """Requests per second from all VMs; None without a limit."""
        if not self.is_cold():
            return self._named_per_s
        limits = (self._named_per_s, self._cold_limit())
        return min((x for x in limits if x is not None), default=None)

    def is_cold(self) -> bool:
        """Returns whether the server has said that it is cold now."""
        return self._clock.monotonic() < self._cold_until_s

    def record_cold(self, cold_for_s: float) -> bool:
        """Records for how much longer the server is cold.

        Returns:
            Whether it was not known to be cold.
        """
        now_s = self._clock.monotonic()
        was_cold = self.is_cold()
        if cold_for_s <= 0.0 or now_s + cold_for_s <= self._cold_until_s:
            return False
        if self.limit_per_s is None:
            self._tokens = 0.0
            self._filled_s = now_s
        self._cold_until_s = now_s + cold_for_s
        return not was_cold

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
        if limit_per_s == self._named_per_s:
            return False
        if self.limit_per_s is None:
            self._tokens = 0.0
            self._filled_s = now_s
        self._named_per_s = limit_per_s
        self._was_limited = True
        return True

    def assign_share(self, share_per_s: float, *, burst: float) -> None:
        """Sets the part of the limit that this VM may use.

        Args:
            share_per_s: Requests per second.
            burst: Requests that it may send at once after a pause.
        """
        self._fill()
        self._share_per_s = share_per_s
        self._burst = burst
        self._share_seen_s = self._clock.monotonic()
        self._tokens = min(self._tokens, burst)

    def is_reported(self) -> bool:
        """Returns whether other VMs are to be told of the limit or its end."""
        return self.limit_per_s is not None or (
            self._was_limited and self.evidence_age_s() < _LIFTED_REPORT_S
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
        self._fill()
        missing = 1 + reserved - self._tokens
        if missing <= 0.0:
            return 0.0
        rate_per_s, _ = self._rate_and_burst()
        return missing / rate_per_s if rate_per_s > 0.0 else math.inf

    def reserve_start(self) -> float:
        """Reserves the next start; returns the seconds until then."""
        delay_s = self.start_delay_s()
        if self.limit_per_s is not None and delay_s < math.inf:
            self._tokens -= 1.0
        return delay_s

    def _fill(self) -> None:
        now_s = self._clock.monotonic()
        rate_per_s, burst = self._rate_and_burst()
        filled = self._tokens + rate_per_s * (now_s - self._filled_s)
        self._tokens = min(burst, filled)
        self._filled_s = now_s

    def _rate_and_burst(self) -> tuple[float, float]:
        share_age_s = self._clock.monotonic() - self._share_seen_s
        if share_age_s <= _SHARE_MAX_AGE_S:
            return self._share_per_s, self._burst
        return (self.limit_per_s or 0.0) / max(1, self._count_vms()), 1.0
