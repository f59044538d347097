"""Results of a batch job, at the positions where they are read."""

import enum

import msgspec

__all__ = ["ItemOutcome", "ItemResult", "JobProgress", "ResultPart"]


class ItemOutcome(enum.StrEnum):
    """How an item ended."""

    COMPLETE = "complete"
    TERMINATED = "terminated"


class ItemResult(msgspec.Struct, kw_only=True, frozen=True):
    """The result of one item.

    Attributes:
        item_id: Identity of the item.
        outcome: How it ended.
        text: Data of all its events, separated by line feeds.
        versions: Weight versions that generated it, in order.
        score: Signature of its reward call's answer.
    """

    item_id: str
    outcome: ItemOutcome
    text: str = ""
    versions: tuple[int, ...] = ()
    score: str = ""


class ResultPart(msgspec.Struct, kw_only=True, frozen=True):
    """A run of results that is kept in an object of its own."""

    name: str
    count: int


class JobProgress(msgspec.Struct, kw_only=True, frozen=True):
    """What changes of a batch job, under conditional update.

    Attributes:
        owner: Node that runs it, with its incarnation.
        token: Token of the write that made this record.
        ended: Whether its trainer ended it.
        parts: Objects that hold the first results, in order.
        results: Results after those, in order.
    """

    owner: str
    token: str = ""
    ended: bool = False
    parts: tuple[ResultPart, ...] = ()
    results: tuple[ItemResult, ...] = ()
