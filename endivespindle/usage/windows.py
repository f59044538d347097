"""Windows of usage: numbering, sums and reports chained by hash."""

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
    """Figures of an earlier window that came after it was closed."""

    window: int
    line: UsageLine


def window_number(at: datetime.datetime, window_s: float) -> int:
    """Returns the number of the window that holds a moment."""
    return int(at.timestamp() // window_s)


def window_bounds(
    window: int, window_s: float
) -> tuple[datetime.datetime, datetime.datetime]:
    """Returns the start and the end of a window."""
    start = datetime.datetime.fromtimestamp(window * window_s, datetime.UTC)
    return start, start + datetime.timedelta(seconds=window_s)


def add_lines(lines: list[UsageLine]) -> list[UsageLine]:
    """Returns one summed line for each account, service and outcome."""
    sums: dict[_LineKey, UsageLine] = {}
    for line in lines:
        old = sums.get(_line_key(line))
        sums[_line_key(line)] = line if old is None else _combine(old, line, sign=1)
    return [sums[key] for key in sorted(sums)]


def sum_parts(parts: list[UsagePart]) -> list[UsageLine]:
    """Returns the summed lines of parts."""
    return add_lines([line for part in parts for line in part.lines])


def subtract_lines(
    found: list[UsageLine], reported: list[UsageLine]
) -> list[UsageLine]:
    """Returns what is found beyond what was reported.

    Figures of parts only rise, so that a difference is never negative; if
    one is, the list was not whole, and the line waits for the next window.
    """
    before = {_line_key(line): line for line in reported}
    rest = []
    for line in found:
        old = before.get(_line_key(line))
        left = line if old is None else _combine(line, old, sign=-1)
        figures = (left.requests, left.prompt_tokens, left.output_tokens)
        if min(figures) >= 0 and any(figures):
            rest.append(left)
    return rest


def build_report(
    *,
    client_account: str,
    window: int,
    window_s: float,
    lines: list[UsageLine],
    previous_chain: str,
    corrections: Sequence[Correction] = (),
) -> UsageReport:
    """Returns the report of one account, its lines chained by hash."""
    start, end = window_bounds(window, window_s)
    chain = previous_chain
    report_lines = []
    items = [(line, NO_CORRECTION) for line in lines]
    items += [(late.line, late.window) for late in corrections]
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
    """Returns the SHA-256 over a line and the chain value before it."""
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
