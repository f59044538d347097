"""Reliable cancellation of asyncio tasks."""

import asyncio
from collections.abc import Iterable

__all__ = ["end_tasks"]

_REPEAT_S = 0.5


async def end_tasks(tasks: Iterable[asyncio.Task[None]]) -> None:
    """Cancels tasks repeatedly until all of them are done.

    A single cancellation can be lost: `asyncio.wait_for` of Python 3.11
    drops one that races with the result, and some libraries convert it into
    an exception of their own.
    """
    pending = list(tasks)
    while pending:
        for task in pending:
            task.cancel()
        await asyncio.wait(pending, timeout=_REPEAT_S)
        pending = [task for task in pending if not task.done()]
