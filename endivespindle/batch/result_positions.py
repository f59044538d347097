"""Positions of a job's results in the objects that hold them."""

import bisect
import itertools
from collections.abc import Iterable, Sequence

import msgspec

from endivespindle.batch.progress import ItemResult, ResultPart

__all__ = [
    "count_results",
    "fragment_result",
    "join_fragments",
    "page",
    "part_at",
    "position_after",
]

# Largest encoding of one character of a text: an escaped control character.
_MAX_CHARACTER_BYTES = 6


def count_results(entries: Sequence[object]) -> int:
    """Returns the number of results that consecutive entries stand for.

    Args:
        entries: The item of each entry, in any form that can be compared.
    """
    return len(entries) - sum(a == b for a, b in itertools.pairwise(entries))


def position_after(
    parts: Sequence[ResultPart], *, item: int | None = None
) -> int:
    """Returns the position of the entry that follows some parts.

    Args:
        parts: Indexed parts.
        item: Place of that entry's item in the submission. If it is the item of
            the last entry, the two are fragments of one result.
    """
    if not parts:
        return 0
    last = parts[-1]
    position = last.first + count_results(last.items)
    return position - (bool(last.items) and last.items[-1] == item)


def part_at(parts: Sequence[ResultPart], position: int) -> int:
    """Returns the index of the part with the first entry of a result.

    Args:
        parts: Indexed parts.
        position: Position of the result.

    Returns:
        The index; the number of parts if none holds the result.
    """
    index = bisect.bisect_left(parts, position, key=lambda part: part.first)
    if index and position_after(parts[:index]) > position:
        return index - 1
    return index


def fragment_result(result: ItemResult, *, max_bytes: int) -> list[ItemResult]:
    """Returns a result as consecutive results with a part of its text each.

    Args:
        result: The result.
        max_bytes: Encoded size up to which it is not divided.
    """
    if len(msgspec.json.encode(result)) <= max_bytes:
        return [result]
    length = max(1, max_bytes // _MAX_CHARACTER_BYTES)
    return [
        msgspec.structs.replace(result, text=result.text[i : i + length])
        for i in range(0, len(result.text), length)
    ]


def join_fragments(results: Iterable[ItemResult]) -> list[ItemResult]:
    """Joins what `fragment_result` has divided."""
    joined: list[ItemResult] = []
    for _, group in itertools.groupby(results, key=lambda r: r.item_id):
        fragments = list(group)
        joined.append(
            msgspec.structs.replace(
                fragments[0], text="".join(f.text for f in fragments)
            )
            if len(fragments) > 1
            else fragments[0]
        )
    return joined


def page(
    results: Sequence[ItemResult], *, after: int, max_bytes: int
) -> Sequence[ItemResult]:
    """Returns one page of results.

    The page has at least one result, if there is any after the position.

    Args:
        results: All results.
        after: Position of the first result of the page, from 0.
        max_bytes: Maximum encoded size of the page's results.
    """
    size = 0
    end = after
    for result in results[after:]:
        size += len(msgspec.json.encode(result))
        if size > max_bytes and end > after:
            break
        end += 1
    return results[after:end]
