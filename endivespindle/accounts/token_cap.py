"""Cap on the tokens per second of a client account."""

__all__ = ["TokenCap"]

_BURST_S = 2.0


class TokenCap:
    """Token bucket that is charged after a request has run.

    The tokens of a request are known only after it has run, so the balance
    may fall below zero; new requests then wait until it is refilled.

    Args:
        tokens_per_s: Refill rate.
        now_s: Monotonic time.

    Example:
        >>> cap = TokenCap(tokens_per_s=10.0, now_s=0.0)
        >>> cap.charge(30, now_s=0.0)
        >>> cap.wait_s(now_s=0.0)
        1.0
    """

    __slots__ = ("_balance", "_refilled_s", "tokens_per_s")

    def __init__(self, *, tokens_per_s: float, now_s: float):
        self.tokens_per_s = tokens_per_s
        self._refilled_s = now_s
        self._balance = tokens_per_s * _BURST_S

    def charge(self, tokens: float, *, now_s: float) -> None:
        """Subtracts tokens from the balance."""
        self._refill(now_s)
        self._balance -= tokens

    def wait_s(self, *, now_s: float) -> float:
        """Returns the seconds until a request may run; 0 if it may run now."""
        self._refill(now_s)
        return max(0.0, -self._balance / self.tokens_per_s)

    def _refill(self, now_s: float) -> None:
        refill = (now_s - self._refilled_s) * self.tokens_per_s
        self._refilled_s = now_s
        max_balance = self.tokens_per_s * _BURST_S
        self._balance = min(max_balance, self._balance + refill)
