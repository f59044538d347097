"""An event loop on virtual time, and a clock that reads it."""

import asyncio
import datetime
import math
import selectors
from collections.abc import Coroutine
from typing import Any

from endivespindle.core.clock import Clock

__all__ = ["LoopClock", "VirtualLoop", "run_virtual"]

_START = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
_WAIT_FOR_THREADS_S = 0.2


class _JumpingSelector(selectors.DefaultSelector):
    """Moves the loop's time forward where others would wait."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout=None):
        events = super().select(0)
        if events:
            return events
        if timeout is None:
            return super().select(_WAIT_FOR_THREADS_S)
        # Time that stands still lets a loop that waits for a remainder too
        # small to be added run without end.
        self.now_s = max(
            self.now_s + timeout, math.nextafter(self.now_s, math.inf)
        )
        return events


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs timers at once, in the order of their times."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        return self._jumping.now_s


class LoopClock(Clock):
    """Reads the time of an event loop."""

    __slots__ = ("_loop",)

    def __init__(self, *, loop: asyncio.AbstractEventLoop):
        self._loop = loop

    def monotonic(self) -> float:
        return self._loop.time()

    def now(self) -> datetime.datetime:
        return _START + datetime.timedelta(seconds=self._loop.time())


def run_virtual(main: Coroutine[Any, Any, Any]) -> Any:
    """Runs a coroutine on virtual time and ends what it left running."""
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(main)
    finally:
        left = asyncio.all_tasks(loop)
        for task in left:
            task.cancel()
        loop.run_until_complete(asyncio.gather(*left, return_exceptions=True))
        loop.run_until_complete(loop.shutdown_asyncgens())
        asyncio.set_event_loop(None)
        loop.close()
