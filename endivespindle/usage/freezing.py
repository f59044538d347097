"""Computes the freeze of a usage window and corrections of earlier ones."""

import collections

from endivespindle.schema.generated.stored import (
    IncludedPart,
    UsageLine,
    UsagePart,
    WindowFreeze,
)
from endivespindle.usage.windows import (
    NO_CORRECTION,
    Correction,
    add_lines,
    build_report,
    subtract_lines,
    sum_parts,
)

__all__ = ["freeze_window", "part_window"]

_Lines = dict[str, list[UsageLine]]
_Corrections = dict[str, list[Correction]]


def part_window(name: str) -> int:
    """Returns the window in the object name of a part."""
    return int(name.split("/")[0])


def freeze_window(
    *,
    window: int,
    window_s: float,
    epoch: int,
    parts: dict[str, UsagePart],
    earlier: list[WindowFreeze],
    chains: dict[str, str],
    oldest_window: int,
    token: str,
) -> WindowFreeze:
    """Returns the freeze of a window.

    Usage of earlier windows that was not reported yet is added as correction
    lines, each with the number of the window it corrects.

    Args:
        window: Window to freeze.
        window_s: Seconds in a window.
        epoch: Epoch of the lease held.
        parts: Flushed parts by name.
        earlier: Freezes of all windows that can still be corrected.
        chains: Last chain value by client account.
        oldest_window: Oldest window that can still be corrected.
        token: Unique token for the write.
    """
    lines: _Lines = collections.defaultdict(list)
    for line in sum_parts(_parts_of_window(parts, window)):
        lines[line.client_account].append(line)
    corrections: _Corrections = collections.defaultdict(list)
    for corrected_window in range(oldest_window, window):
        flushed = sum_parts(_parts_of_window(parts, corrected_window))
        for line in subtract_lines(
            flushed, _sum_reported(earlier, corrected_window)
        ):
            corrections[line.client_account].append(
                Correction(window=corrected_window, line=line)
            )
    return WindowFreeze(
        window=window,
        epoch=epoch,
        included=_list_newly_counted(parts, earlier, oldest_window, window),
        reports=[
            build_report(
                client_account=account,
                window=window,
                window_s=window_s,
                lines=lines[account],
                corrections=corrections[account],
                previous_chain=chains.get(account, ""),
            )
            for account in sorted(lines.keys() | corrections.keys())
        ],
        token=token,
    )


def _parts_of_window(
    parts: dict[str, UsagePart], window: int
) -> list[UsagePart]:
    return [part for name, part in parts.items() if part_window(name) == window]


def _sum_reported(earlier: list[WindowFreeze], window: int) -> list[UsageLine]:
    """Sums the reported lines of a window, including corrections."""
    lines = []
    for freeze in earlier:
        for report in freeze.reports:
            for line in report.lines:
                line_window = line.corrects
                if line_window == NO_CORRECTION:
                    line_window = freeze.window
                if line_window == window:
                    lines.append(
                        UsageLine(
                            client_account=report.client_account,
                            service=line.service,
                            outcome=line.outcome,
                            requests=line.requests,
                            prompt_tokens=line.prompt_tokens,
                            output_tokens=line.output_tokens,
                        )
                    )
    return add_lines(lines)


def _list_newly_counted(
    parts: dict[str, UsagePart],
    earlier: list[WindowFreeze],
    oldest_window: int,
    window: int,
) -> list[IncludedPart]:
    """Returns the parts with a newer sequence than any earlier freeze."""
    counted = {
        part.name: part.sequence
        for freeze in sorted(earlier, key=lambda f: f.window)
        for part in freeze.included
    }
    return [
        IncludedPart(name=name, sequence=part.sequence)
        for name, part in sorted(parts.items())
        if oldest_window <= part_window(name) <= window
        and part.sequence > counted.get(name, -1)
    ]
