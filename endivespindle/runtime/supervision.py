"""Background tasks that go on after an unexpected error."""

import asyncio
import traceback
from collections.abc import Callable, Coroutine
from typing import Any

from endivespindle.runtime.telemetry import EventLog

__all__ = ["run_supervised"]

# Pause before a task runs again, doubled with each further failure.
_FIRST_PAUSE_S = 0.1
_MAX_PAUSE_S = 2.0


async def run_supervised(
    name: str, run: Callable[[], Coroutine[Any, Any, None]], *, log: EventLog
) -> None:
    """Runs a task until it returns, again after each error.

    A node whose watcher or flush ended by an error would go on with what it
    knew at that moment, and nothing would tell.

    Args:
        name: Name of the task in the log.
        run: Starts the task.
        log: Records each error.
    """
    pause_s = _FIRST_PAUSE_S
    while True:
        try:
            await run()
            return
        # Any error: the task must not end by one that nobody thought of.
        except Exception as exc:
            log.state_change(
                "task_failed",
                task=name,
                error=repr(exc)[:200],
                where=_last_frame(exc),
                pause_s=pause_s,
            )
        await asyncio.sleep(pause_s)
        pause_s = min(_MAX_PAUSE_S, 2 * pause_s)


def _last_frame(exc: Exception) -> str:
    """Returns the file and line that raised an error."""
    frames = traceback.extract_tb(exc.__traceback__)
    return f"{frames[-1].filename}:{frames[-1].lineno}" if frames else ""
