"""Streams that are checked also while nothing comes."""

import asyncio
from collections.abc import AsyncGenerator, Callable, Coroutine
from typing import TypeVar

__all__ = ["checked", "run_checked"]

T = TypeVar("T")


async def checked(
    chunks: AsyncGenerator[T, None],
    check: Callable[[], None],
    *,
    interval_s: float,
) -> AsyncGenerator[T, None]:
    """Passes chunks on, and checks before each and at least at an interval.

    Args:
        chunks: Closed at the end, however it ends.
        check: Raises to end the stream, also while it waits.
        interval_s: Longest time between checks, in seconds.
    """
    pending: asyncio.Future[T] | None = None
    try:
        while True:
            if pending is None:
                pending = asyncio.ensure_future(anext(chunks))
            await asyncio.wait({pending}, timeout=interval_s)
            if not pending.done():
                check()
                continue
            ended, pending = pending, None
            try:
                chunk = ended.result()
            except StopAsyncIteration:
                return
            check()
            yield chunk
    finally:
        if pending is not None:
            pending.cancel()
            await asyncio.gather(pending, return_exceptions=True)
        await chunks.aclose()


async def run_checked(
    work: Coroutine[None, None, T],
    check: Callable[[], None],
    *,
    interval_s: float,
) -> T:
    """Runs work, and checks at its end and at least at an interval.

    Args:
        work: Cancelled if a check raises.
        check: Raises to end the work.
        interval_s: Longest time between checks, in seconds.
    """
    task = asyncio.ensure_future(work)
    try:
        while not task.done():
            await asyncio.wait({task}, timeout=interval_s)
            check()
        return task.result()
    finally:
        if not task.done():
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
