"""An event loop on virtual time, and a clock that reads it."""

import asyncio
import datetime
import selectors
from collections.abc import Coroutine
from typing import Any

from endivespindle.core.clock import Clock

__all__ = ["LoopClock", "VirtualLoop", "run_virtual"]

_START = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
_WAIT_FOR_THREADS_S = 0.2
# Rounds of the loop after which time that stands still moves on, and by how
# much.
_MAX_ROUNDS = 10_000
_TICK_S = 1e-9


class _JumpingSelector(selectors.DefaultSelector):
    """Moves the loop's time forward where others would wait."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0
        self._rounds = 0

    def select(self, timeout=None):
        events = super().select(0)
        if events:
            return events
        if timeout is None:
            return super().select(_WAIT_FOR_THREADS_S)
        if timeout > 0:
            self._rounds = 0
            self.now_s += timeout
            return events
        # A loop that waits for a remainder too small to be added would run
        # without end.
        self._rounds += 1
        if self._rounds > _MAX_ROUNDS:
            self._rounds = 0
            self.now_s += _TICK_S
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
