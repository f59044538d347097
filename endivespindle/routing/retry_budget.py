"""Retry budget as a token bucket."""

__all__ = ["RetryBudget"]

_BURST_RETRIES = 10.0


class RetryBudget:
    """Limits retries to a fraction of the requests.

    Each request adds a fraction of a token and each retry removes one, so
    that retries cannot multiply an overload. The capacity allows a small burst.

    Args:
        fraction: Retries allowed per request.

    Attributes:
        burst: Capacity of the bucket, in retries.

    Example:
        >>> budget = RetryBudget(fraction=0.5)
        >>> budget.deposit()
        >>> budget.try_withdraw()
        True
    """

    __slots__ = ("_fraction", "_tokens", "burst")

    def __init__(self, *, fraction: float):
        self._fraction = fraction
        self.burst = _BURST_RETRIES if fraction else 0.0
        self._tokens = self.burst

    def deposit(self) -> None:
        """Adds the fraction earned by the first attempt of a request."""
        self._tokens = min(self.burst, self._tokens + self._fraction)

    def try_withdraw(self) -> bool:
        """Removes the token of one retry; returns whether one was left."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
