"""Repeats a measurement, and prints figures and their slopes."""

import gc
import statistics
import time
from collections.abc import Callable

_REPEATS = 5


def cpu_us(work: Callable[[], object], *, repeats: int = _REPEATS) -> list:
    """Returns the processor time of each repeat, in microseconds."""
    times = []
    for _ in range(repeats):
        gc.collect()
        start = time.process_time_ns()
        work()
        times.append((time.process_time_ns() - start) / 1000)
    return times


def show(name: str, unit: str, values: list[float]) -> None:
    """Prints one line: median, lowest and highest."""
    median = statistics.median(values)
    print(
        f"{name:<52} {median:>10.4g} {unit:<22}"
        f" ({min(values):.4g} to {max(values):.4g})",
        flush=True,
    )


def slope(
    name: str, unit: str, sizes: list[int], make: Callable[[int], Callable]
) -> None:
    """Prints the cost at each size, and the slope between the ends."""
    rows = {size: cpu_us(make(size)) for size in sizes}
    for size, values in rows.items():
        show(f"{name}, {size}", "us", values)
    low, high = sizes[0], sizes[-1]
    pairs = zip(sorted(rows[low]), sorted(rows[high]), strict=True)
    show(
        f"{name}, slope",
        f"us/{unit}",
        [(b - a) / (high - low) for a, b in pairs],
    )
