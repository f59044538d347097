"""Runs the script of a case and turns its outcome into an exit code."""

import asyncio
import logging
import os
import pathlib
import sys
import traceback
from collections.abc import Awaitable, Callable

__all__ = ["HELD", "BROKEN", "run_case"]

HELD = 0
BROKEN = 1
_COULD_NOT_RUN = 2
_LIMIT_S = 115.0


def run_case(
    play: Callable[[pathlib.Path, bool], Awaitable[int]], script: str
) -> None:
    """Runs a case and exits with its code.

    Args:
        play: Gets the file for the record, and whether the disruption comes;
            returns `HELD` or `BROKEN`.
        script: Path of the script, beside which the record is written.
    """
    record = pathlib.Path(script).resolve().parent / "record.txt"
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    # Stand-ins lose connections all the time.
    logging.getLogger("aiohttp.server").setLevel(logging.CRITICAL)
    try:
        code = asyncio.run(_limited(play(record, has_trouble)))
    except Exception:
        sys.stderr.write(traceback.format_exc())
        code = _COULD_NOT_RUN
    names = {HELD: "held", BROKEN: "broken", _COULD_NOT_RUN: "could not run"}
    sys.stdout.write(f"{names[code]}\n")
    sys.exit(code)


async def _limited(play: Awaitable[int]) -> int:
    async with asyncio.timeout(_LIMIT_S):
        return await play
