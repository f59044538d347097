"""Tables of summaries, for the terminal and as Markdown."""

from collections.abc import Sequence

from rich.table import Table

from endivespindle.report.soak import SoakSummary
from endivespindle.report.summary import RunSummary

__all__ = [
    "RUN_COLUMNS",
    "SOAK_COLUMNS",
    "markdown_table",
    "run_rows",
    "soak_rows",
    "terminal_table",
]

RUN_COLUMNS: tuple[str, ...] = (
    "commit",
    "site",
    "score",
    "gate",
    "days",
    "hunted",
    "rules broken",
    "mean worth",
    "lowest worth",
    "highest price a day",
)
SOAK_COLUMNS: tuple[str, ...] = ("commit", "seeds", "faults", "broken seeds")
_SHORT_COMMIT = 7
# Mark of runs on a tree that differed from its commit.
_TRIAL_MARK = " (trial)"


def run_rows(summaries: Sequence[RunSummary]) -> list[tuple[str, ...]]:
    """Returns the cells of each summary, by `RUN_COLUMNS`."""
    return [
        (
            summary.commit[:_SHORT_COMMIT]
            + (_TRIAL_MARK if summary.is_trial else ""),
            summary.site,
            _number(summary.score),
            {True: "passed", False: "failed", None: ""}[summary.gate_passed],
            str(summary.days),
            str(summary.days_hunted),
            ", ".join(
                f"{rule} {days}" for rule, days in summary.broken_rules.items()
            )
            or "0",
            _number(summary.mean_worth),
            f"{_number(summary.lowest_worth)} {summary.lowest_day}".strip(),
            f"{summary.highest_cost} {summary.highest_cost_worth:.3f}"
            if summary.highest_cost
            else "",
        )
        for summary in summaries
    ]


def soak_rows(summaries: Sequence[SoakSummary]) -> list[tuple[str, ...]]:
    """Returns the cells of each summary, by `SOAK_COLUMNS`."""
    return [
        (
            summary.commit[:_SHORT_COMMIT],
            str(summary.seeds),
            str(summary.faults),
            ", ".join(map(str, summary.broken_seeds)) or "none",
        )
        for summary in summaries
    ]


def terminal_table(
    title: str, columns: Sequence[str], rows: Sequence[Sequence[str]]
) -> Table:
    """Returns a table that `rich` prints."""
    table = Table(title=title, title_justify="left")
    for column in columns:
        table.add_column(column)
    for row in rows:
        table.add_row(*row)
    return table


def markdown_table(
    columns: Sequence[str], rows: Sequence[Sequence[str]]
) -> str:
    """Returns a table in Markdown."""
    lines = [columns, ["---"] * len(columns), *rows]
    return "".join(f"| {' | '.join(line)} |\n" for line in lines)


def _number(value: float | None) -> str:
    return "" if value is None else f"{value:.3f}"
