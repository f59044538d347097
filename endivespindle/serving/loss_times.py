"""Lost connections to servers, in the order of their times."""

import bisect
import math
from collections.abc import Iterator

import msgspec

__all__ = ["LossTimes", "TimedLoss"]


class TimedLoss(msgspec.Struct, kw_only=True, frozen=True, order=True):
    """A lost connection; ordered by time.

    Attributes:
        lost_s: Monotonic time of the loss, in seconds.
        server: Name of the server.
        started_ms: Its incarnation.
        digest: Digest of the request that ran there.
    """

    lost_s: float
    server: str = ""
    started_ms: int = 0
    digest: str = ""


class LossTimes:
    """Finds the losses around a moment without looking at all of them."""

    __slots__ = ("_losses",)

    def __init__(self) -> None:
        self._losses: list[TimedLoss] = []

    def __len__(self) -> int:
        return len(self._losses)

    def add(self, loss: TimedLoss) -> None:
        """Adds a loss."""
        bisect.insort(self._losses, loss)

    def discard(self, loss: TimedLoss) -> None:
        """Removes a loss if it is known."""
        index = bisect.bisect_left(self._losses, loss)
        if index < len(self._losses) and self._losses[index] == loss:
            del self._losses[index]

    def around(
        self, time_s: float, *, tolerance_s: float
    ) -> Iterator[TimedLoss]:
        """Yields the losses at most a tolerance before or after a time."""
        first = bisect.bisect_left(
            self._losses, TimedLoss(lost_s=time_s - tolerance_s)
        )
        last = bisect.bisect_left(
            self._losses,
            TimedLoss(lost_s=math.nextafter(time_s + tolerance_s, math.inf)),
        )
        yield from self._losses[first:last]
