"""Summaries of bench runs by commit and site."""

import collections
import statistics
from collections.abc import Iterable, Sequence

import msgspec

from endivespindle.report.entries import PlayedDay, RunEntry

__all__ = ["RunSummary", "last_commits", "summarize"]

_SCORE_COMMAND = "score"
_HUNT_COMMAND = "hunt"
# Score of a few days only; not comparable with a whole one.
_QUICK_FLAG = "--quick"


class RunSummary(msgspec.Struct, frozen=True, kw_only=True):
    """What the runs of one commit on one site showed.

    Attributes:
        commit: Commit of the program.
        is_trial: Whether the tree differed from that commit.
        site: Deployment.
        score: Newest whole score; None if there is none.
        gate_passed: Whether that score passed the gate.
        days: Number of days played, in runs of any kind.
        days_hunted: Number of those in hunts.
        broken_rules: Number of days by broken rule.
        mean_worth: Mean worth of the days; None without days.
        lowest_worth: Lowest worth of a day; None without days.
        lowest_day: Name of that day.
        highest_cost: Price that cost most over all days; empty if none did.
        highest_cost_worth: Worth that it cost a day, on average.
    """

    commit: str
    is_trial: bool
    site: str
    score: float | None
    gate_passed: bool | None
    days: int
    days_hunted: int
    broken_rules: dict[str, int]
    mean_worth: float | None
    lowest_worth: float | None
    lowest_day: str
    highest_cost: str
    highest_cost_worth: float


def summarize(entries: Iterable[RunEntry]) -> list[RunSummary]:
    """Returns a summary for each commit and site, oldest commit first.

    Args:
        entries: Finished runs, oldest first; those of no site are left out.
    """
    groups: dict[tuple[str, bool, str], list[RunEntry]] = {}
    for entry in entries:
        if entry.site is not None:
            key = (entry.commit, entry.is_trial, entry.site)
            groups.setdefault(key, []).append(entry)
    order: dict[str, int] = {}
    for commit, _, _ in groups:
        order.setdefault(commit, len(order))
    return [
        _summarize_group(*key, group)
        for key, group in sorted(
            groups.items(), key=lambda item: order[item[0][0]]
        )
    ]


def last_commits(
    summaries: Sequence[RunSummary], count: int
) -> list[RunSummary]:
    """Returns the summaries of the newest commits."""
    commits = list(dict.fromkeys(summary.commit for summary in summaries))
    kept = set(commits[-count:]) if count > 0 else set()
    return [summary for summary in summaries if summary.commit in kept]


def _summarize_group(
    commit: str, is_trial: bool, site: str, group: Sequence[RunEntry]
) -> RunSummary:
    days = [day for entry in group for day in entry.days]
    scored = [
        entry
        for entry in group
        if entry.command == _SCORE_COMMAND
        and entry.score is not None
        and _QUICK_FLAG not in entry.arguments
    ]
    newest = scored[-1] if scored else None
    gate = newest.figures.get("gate") if newest else None
    lowest = min(days, key=lambda day: day.worth, default=None)
    cost, cost_worth = _highest_cost(days)
    return RunSummary(
        commit=commit,
        is_trial=is_trial,
        site=site,
        score=newest.score if newest else None,
        gate_passed=None if gate is None else bool(gate),
        days=len(days),
        days_hunted=sum(
            len(entry.days) for entry in group if entry.command == _HUNT_COMMAND
        ),
        broken_rules=_count_broken_rules(days),
        mean_worth=statistics.fmean(d.worth for d in days) if days else None,
        lowest_worth=lowest.worth if lowest else None,
        lowest_day=lowest.name if lowest else "",
        highest_cost=cost,
        highest_cost_worth=cost_worth,
    )


def _count_broken_rules(days: Iterable[PlayedDay]) -> dict[str, int]:
    counts = collections.Counter(
        rule for day in days for rule in day.broken_rules
    )
    return dict(sorted(counts.items()))


def _highest_cost(days: Sequence[PlayedDay]) -> tuple[str, float]:
    totals: dict[str, float] = {}
    for day in days:
        for cost in day.costs:
            totals[cost.name] = totals.get(cost.name, 0.0) + cost.worth
    name = max(totals, key=lambda key: totals[key], default="")
    if not name or totals[name] <= 0.0:
        return "", 0.0
    return name, totals[name] / len(days)
