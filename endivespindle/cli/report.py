"""Shows recorded bench runs and soak runs by commit and site."""

import pathlib
import sys

from rich.console import Console

from endivespindle.cli.output import ExitCode
from endivespindle.report.entries import RejectedEntry, read_journal
from endivespindle.report.soak import read_results, summarize_soak
from endivespindle.report.summary import last_commits, summarize
from endivespindle.report.tables import (
    RUN_COLUMNS,
    SOAK_COLUMNS,
    markdown_table,
    run_rows,
    soak_rows,
    terminal_table,
)

__all__ = ["report"]

_ALL_COMMITS = 1_000_000


def report(
    journal: pathlib.Path,
    /,
    *,
    site: str | None = None,
    last: int = _ALL_COMMITS,
    soak: pathlib.Path | None = None,
    svg: pathlib.Path | None = None,
    page: pathlib.Path | None = None,
) -> int:
    """Prints recorded runs by commit and site.

    Entries that are no finished run are named on standard error and left out.

    Args:
        journal: Folder with the entries of bench runs.
        site: Only runs on this deployment.
        last: Only this many newest commits.
        soak: File with the results of soak runs, one JSON object a line.
        svg: Where to write a plot of the mean worth by commit.
        page: Where to write the tables as Markdown.
    """
    contents = read_journal(journal)
    _print_rejected(contents.rejected)
    summaries = summarize(
        entry for entry in contents.entries if site in (None, entry.site)
    )
    summaries = last_commits(summaries, last)
    tables = [("Bench runs", RUN_COLUMNS, run_rows(summaries))]
    if soak is not None:
        results, rejected = read_results(soak)
        _print_rejected(rejected)
        rows = soak_rows(summarize_soak(results))
        tables.append(("Soak runs", SOAK_COLUMNS, rows))
    console = Console()
    for table in tables:
        console.print(terminal_table(*table))
    if page is not None:
        text = "\n".join(
            f"## {title}\n\n{markdown_table(columns, rows)}"
            for title, columns, rows in tables
        )
        page.write_text(f"# Recorded runs by commit and site\n\n{text}")
    if svg is not None:
        # The plotting library is imported for this option only.
        from endivespindle.report.plots import plot_worth

        svg.write_bytes(plot_worth(summaries))
    return ExitCode.OK if summaries else ExitCode.FOUND


def _print_rejected(rejected: list[RejectedEntry]) -> None:
    for entry in rejected:
        print(f"left out: {entry.path}: {entry.reason}", file=sys.stderr)
