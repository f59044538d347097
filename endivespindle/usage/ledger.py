"""Usage counts of one VM by window and client account."""

from endivespindle.schema.generated.stored import UsageLine

__all__ = ["UsageLedger"]


class UsageLedger:
    """Counts requests and tokens; the counts are absolute and only increase."""

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
        """Adds one request with its tokens."""
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
        """Returns the windows with counts that were not flushed."""
        return sorted(self._dirty)

    def lines(self, window: int) -> list[UsageLine]:
        """Returns the lines of a window."""
        return list(self._lines.get(window, {}).values())

    def mark_flushed(self, window: int) -> None:
        """Marks the counts of a window as written."""
        self._dirty.discard(window)

    def mark_dirty(self, window: int) -> None:
        """Marks a window to be flushed again, after a failed write."""
        self._dirty.add(window)

    def remove_window(self, window: int) -> None:
        """Removes a closed and reported window unless it is dirty."""
        if window not in self._dirty:
            self._lines.pop(window, None)
