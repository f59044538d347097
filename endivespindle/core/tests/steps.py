"""Counts state machine steps for the soak test's report."""

import atexit
import itertools

__all__ = ["count_step"]

_steps = itertools.count()


def count_step() -> None:
    """Counts one step; each rule of a state machine calls it."""
    next(_steps)


@atexit.register
def _report() -> None:
    print(f"steps counted: {next(_steps)}", flush=True)
