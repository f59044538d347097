"""Retry budgets: retries as a fraction of requests."""

__all__ = ["RetryBudget"]

_BURST_RETRIES = 10.0


class RetryBudget:
    """Allows retries as a fraction of the requests made.

    Each request earns a fraction of a retry, up to a small burst, so that
    retries cannot multiply an overload.

    Args:
        fraction: Retries allowed per request.

    Attributes:
        burst: Retries that may follow each other at once.

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
        """Counts a first attempt."""
        self._tokens = min(self.burst, self._tokens + self._fraction)

    def try_withdraw(self) -> bool:
        """Takes one retry if the budget has one left."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
