"""Results of soak runs."""

import pathlib
from collections.abc import Iterable

import msgspec

from endivespindle.core.decoding import decode_json
from endivespindle.report.entries import RejectedEntry

__all__ = ["SeedResult", "SoakSummary", "read_results", "summarize_soak"]


class SeedResult(msgspec.Struct, frozen=True, kw_only=True):
    """Result of one seed.

    Attributes:
        commit: Commit of the program.
        seed: Seed of the run.
        seconds: Time during which faults were started, in seconds.
        faults: Number of faults.
        broken: What was broken, one text each.
    """

    commit: str
    seed: int
    seconds: float
    faults: int
    broken: list[str]


class SoakSummary(msgspec.Struct, frozen=True, kw_only=True):
    """Results of all seeds of one commit.

    Attributes:
        commit: Commit of the program.
        seeds: Number of seeds.
        faults: Number of faults in them.
        broken_seeds: Seeds in which anything was broken.
    """

    commit: str
    seeds: int
    faults: int
    broken_seeds: list[int]


def read_results(
    path: pathlib.Path,
) -> tuple[list[SeedResult], list[RejectedEntry]]:
    """Reads a file with one JSON object for each seed.

    Returns:
        The results, and the lines that are none.

    Raises:
        OSError: The file cannot be read.
    """
    results: list[SeedResult] = []
    rejected: list[RejectedEntry] = []
    for number, line in enumerate(path.read_bytes().splitlines(), start=1):
        try:
            results.append(decode_json(line, type=SeedResult))
        except (msgspec.MsgspecError, UnicodeDecodeError) as exc:
            place = f"{path.name}:{number}"
            rejected.append(RejectedEntry(path=place, reason=str(exc)))
    return results, rejected


def summarize_soak(results: Iterable[SeedResult]) -> list[SoakSummary]:
    """Returns a summary for each commit, in the order of its first seed."""
    groups: dict[str, list[SeedResult]] = {}
    for result in results:
        groups.setdefault(result.commit, []).append(result)
    return [
        SoakSummary(
            commit=commit,
            seeds=len(group),
            faults=sum(result.faults for result in group),
            broken_seeds=sorted(r.seed for r in group if r.broken),
        )
        for commit, group in groups.items()
    ]
