"""Usage windows: numbering, sums of lines and hash-chained reports."""

import datetime
from collections.abc import Sequence

import msgspec

from endivespindle.core.digests import canonical_json, sha256_hex
from endivespindle.schema.generated.stored import (
    ReportLine,
    UsageLine,
    UsagePart,
    UsageReport,
)

__all__ = [
    "NO_CORRECTION",
    "Correction",
    "add_lines",
    "build_report",
    "chain_value",
    "subtract_lines",
    "sum_parts",
    "window_bounds",
    "window_number",
]

NO_CORRECTION = -1

_LineKey = tuple[str, str, str]


class Correction(msgspec.Struct, kw_only=True, frozen=True):
    """Usage of an earlier window that arrived after it was closed."""

    window: int
    line: UsageLine


def window_number(time: datetime.datetime, window_s: float) -> int:
    """Returns the number of the window that contains a time."""
    return int(time.timestamp() // window_s)


def window_bounds(
    window: int, window_s: float
) -> tuple[datetime.datetime, datetime.datetime]:
    """Returns the start and the end of a window in UTC."""
    start = datetime.datetime.fromtimestamp(window * window_s, datetime.UTC)
    return start, start + datetime.timedelta(seconds=window_s)


def add_lines(lines: list[UsageLine]) -> list[UsageLine]:
    """Sums lines by client account, service and outcome."""
    sums: dict[_LineKey, UsageLine] = {}
    for line in lines:
        old = sums.get(_line_key(line))
        sums[_line_key(line)] = (
            line if old is None else _combine(old, line, sign=1)
        )
    return [sums[key] for key in sorted(sums)]


def sum_parts(parts: list[UsagePart]) -> list[UsageLine]:
    """Sums the lines of parts by client account, service and outcome."""
    return add_lines([line for part in parts for line in part.lines])


def subtract_lines(
    flushed: list[UsageLine], reported: list[UsageLine]
) -> list[UsageLine]:
    """Returns the flushed usage that was not reported yet.

    Counts of parts only increase, so a difference is never negative; if one
    is, the list of parts was incomplete, and the line is left for the next
    window.
    """
    before = {_line_key(line): line for line in reported}
    unreported = []
    for line in flushed:
        old = before.get(_line_key(line))
        remaining = line if old is None else _combine(line, old, sign=-1)
        counts = (
            remaining.requests,
            remaining.prompt_tokens,
            remaining.output_tokens,
        )
        if min(counts) >= 0 and any(counts):
            unreported.append(remaining)
    return unreported


def build_report(
    *,
    client_account: str,
    window: int,
    window_s: float,
    lines: list[UsageLine],
    previous_chain: str,
    corrections: Sequence[Correction] = (),
) -> UsageReport:
    """Returns the report of one account with hash-chained lines."""
    start, end = window_bounds(window, window_s)
    chain = previous_chain
    report_lines = []
    items = [(line, NO_CORRECTION) for line in lines]
    items += [
        (correction.line, correction.window) for correction in corrections
    ]
    for number, (line, corrects) in enumerate(items, start=1):
        report_line = ReportLine(
            number=number,
            service=line.service,
            outcome=line.outcome,
            requests=line.requests,
            prompt_tokens=line.prompt_tokens,
            output_tokens=line.output_tokens,
            chain="",
            corrects=corrects,
        )
        chain = chain_value(
            report_line,
            client_account=client_account,
            window=window,
            previous=chain,
        )
        report_line.chain = chain
        report_lines.append(report_line)
    return UsageReport(
        client_account=client_account,
        window=window,
        start=start.isoformat(),
        end=end.isoformat(),
        previous_chain=previous_chain,
        lines=report_lines,
        chain=chain,
    )


def chain_value(
    line: ReportLine, *, client_account: str, window: int, previous: str
) -> str:
    """Returns the SHA-256 of a line and the previous chain value."""
    content = [
        previous,
        client_account,
        window,
        line.number,
        line.service,
        line.outcome,
        line.requests,
        line.prompt_tokens,
        line.output_tokens,
        line.corrects,
    ]
    return sha256_hex(canonical_json(content))


def _line_key(line: UsageLine) -> _LineKey:
    return (line.client_account, line.service, line.outcome)


def _combine(line: UsageLine, other: UsageLine, *, sign: int) -> UsageLine:
    return msgspec.structs.replace(
        line,
        requests=line.requests + sign * other.requests,
        prompt_tokens=line.prompt_tokens + sign * other.prompt_tokens,
        output_tokens=line.output_tokens + sign * other.output_tokens,
    )
