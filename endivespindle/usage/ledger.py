"""What one VM has counted, by window and account."""

from endivespindle.schema.generated.stored import UsageLine

__all__ = ["UsageLedger"]


class UsageLedger:
    """Counts requests and tokens in absolute, rising figures."""

    __slots__ = ("_dirty", "_lines")

    def __init__(self) -> None:
        self._lines: dict[int, dict[tuple[str, str, str], UsageLine]] = {}
        self._dirty: set[int] = set()

    def add_request(
        self,
        *,
        window: int,
        client_account: str,
        service: str,
        outcome: str,
        prompt_tokens: int,
        output_tokens: int,
    ) -> None:
        """Adds one request."""
        lines = self._lines.setdefault(window, {})
        key = (client_account, service, outcome)
        line = lines.get(key)
        if line is None:
            line = lines[key] = UsageLine(
                client_account=client_account,
                service=service,
                outcome=outcome,
                requests=0,
                prompt_tokens=0,
                output_tokens=0,
            )
        line.requests += 1
        line.prompt_tokens += prompt_tokens
        line.output_tokens += output_tokens
        self._dirty.add(window)

    def dirty_windows(self) -> list[int]:
        """Returns the windows with figures that were not flushed."""
        return sorted(self._dirty)

    def lines(self, window: int) -> list[UsageLine]:
        """Returns a window's figures so far."""
        return list(self._lines.get(window, {}).values())

    def mark_flushed(self, window: int) -> None:
        """Notes that a window's figures were written."""
        self._dirty.discard(window)

    def mark_dirty(self, window: int) -> None:
        """Notes that a window's figures were not written after all."""
        self._dirty.add(window)

    def remove_window(self, window: int) -> None:
        """Drops a window that was closed and reported."""
        if window not in self._dirty:
            self._lines.pop(window, None)
