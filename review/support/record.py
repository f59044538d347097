"""Record of what a case sent, received and ran."""

import pathlib
import time

__all__ = ["Record"]


class Record:
    """Writes one line for each thing seen, with the seconds since the start.

    Args:
        path: File that is written anew.
    """

    def __init__(self, path: pathlib.Path):
        self._start_s = time.monotonic()
        self._file = path.open("w", encoding="utf-8")

    def now_s(self) -> float:
        """Returns the seconds since the start of the case."""
        return time.monotonic() - self._start_s

    def write(self, who: str, what: str) -> None:
        """Writes one line."""
        self._file.write(f"{self.now_s():9.3f} {who:10} {what}\n")
        self._file.flush()

    def close(self) -> None:
        """Closes the file."""
        self._file.close()
