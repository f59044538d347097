"""What commands print, and how they end."""

import enum
import sys
from typing import Any

import msgspec

from endivespindle.core.findings import Finding

__all__ = ["ExitCode", "print_findings", "print_json"]


class ExitCode(enum.IntEnum):
    """Exit codes of every command."""

    OK = 0
    FOUND = 1
    USAGE = 2
    UNREACHABLE = 3


def print_json(value: Any) -> None:
    """Prints a value as indented JSON."""
    text = msgspec.json.encode(value)
    print(msgspec.json.format(text, indent=2).decode())


def print_findings(
    findings: list[Finding], *, as_json: bool, source: str = ""
) -> None:
    """Prints findings, one a line, or as JSON."""
    prefix = f"{source}: " if source else ""
    if as_json:
        print_json(
            [
                {"file": source, "place": f.place, "message": f.message}
                for f in findings
            ]
        )
        return
    for finding in findings:
        print(f"{prefix}{finding}", file=sys.stderr)
