"""Reads the entries of a journal of bench runs."""

import pathlib
from typing import Any

import msgspec

from endivespindle.core.decoding import decode_json

__all__ = [
    "Cost",
    "JournalContents",
    "PlayedDay",
    "RejectedEntry",
    "RunEntry",
    "read_journal",
]


class Cost(msgspec.Struct, frozen=True, array_like=True):
    """One price of a day.

    Attributes:
        name: What was paid for, with its unit.
        quantity: How much of it, in that unit.
        worth: Worth that it cost.
    """

    name: str
    quantity: float
    worth: float


class PlayedDay(msgspec.Struct, frozen=True, kw_only=True):
    """Result of one day.

    Attributes:
        name: Name of the day.
        worth: Worth of its service less all prices.
        broken_rules: Rules that were broken, with what was seen.
        costs: Prices taken off.
    """

    name: str
    worth: float = msgspec.field(name="G")
    broken_rules: dict[str, Any] = msgspec.field(name="rules")
    costs: list[Cost] = msgspec.field(name="prices")


class RunEntry(msgspec.Struct, frozen=True, kw_only=True):
    """One finished run of the bench.

    Attributes:
        entry_id: Identity of the entry.
        command: Verb of the bench, such as `score` or `hunt`.
        arguments: Its command line.
        commit: Commit of the program.
        is_trial: Whether the tree differed from the commit.
        site: Deployment; None if the run was of none.
        score: Score of a run that has one.
        figures: Further figures, among them whether the gate was passed.
        period: Start and end, in ISO 8601.
        days: Days that were played.
    """

    entry_id: str = msgspec.field(name="id")
    command: str = msgspec.field(name="cmd")
    arguments: list[str] = msgspec.field(name="argv")
    commit: str = msgspec.field(name="head")
    is_trial: bool = msgspec.field(name="dirty")
    is_finished: bool = msgspec.field(name="ok")
    site: str | None
    score: float | None
    figures: dict[str, float]
    period: list[str] = msgspec.field(name="at")
    days: list[PlayedDay]
    error: str | None = None


class RejectedEntry(msgspec.Struct, frozen=True, kw_only=True):
    """A file that is not the entry of a finished run."""

    path: str
    reason: str


class JournalContents(msgspec.Struct, frozen=True, kw_only=True):
    """Entries of a journal, oldest first, and the files left out."""

    entries: list[RunEntry]
    rejected: list[RejectedEntry]


def read_journal(folder: pathlib.Path) -> JournalContents:
    """Reads all entries of a journal.

    Args:
        folder: Folder with one JSON file for each entry.

    Raises:
        OSError: The folder cannot be read.
    """
    entries: list[RunEntry] = []
    rejected: list[RejectedEntry] = []
    for path in sorted(folder.iterdir()):
        if path.suffix != ".json":
            continue
        try:
            entry = decode_json(path.read_bytes(), type=RunEntry)
        except (msgspec.MsgspecError, UnicodeDecodeError) as exc:
            rejected.append(RejectedEntry(path=path.name, reason=str(exc)))
            continue
        if entry.is_finished:
            entries.append(entry)
        else:
            reason = entry.error or "the run did not finish"
            rejected.append(RejectedEntry(path=path.name, reason=reason))
    entries.sort(key=lambda entry: entry.period[0])
    return JournalContents(entries=entries, rejected=rejected)
