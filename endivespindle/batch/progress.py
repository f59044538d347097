"""Results and progress of a batch job, as kept in the store."""

import enum

import msgspec

__all__ = [
    "ItemFailures",
    "ItemOutcome",
    "ItemResult",
    "JobProgress",
    "ResultPart",
]


class ItemOutcome(enum.StrEnum):
    """How an item ended."""

    COMPLETE = "complete"
    TERMINATED = "terminated"


class ItemResult(msgspec.Struct, kw_only=True, frozen=True):
    """The result of one item.

    Attributes:
        item_id: Identity of the item.
        outcome: How it ended.
        text: Completion: the data of all events, separated by line feeds.
        versions: Weight versions that generated the completion, in order.
        score: Signature of the response to its reward call.
    """

    item_id: str
    outcome: ItemOutcome
    text: str = ""
    versions: tuple[int, ...] = ()
    score: str = ""


class ItemFailures(msgspec.Struct, kw_only=True, frozen=True):
    """How often an item without a result has failed.

    Attributes:
        failures: Number of responses with status 500.
        reward_failures: Number of responses with status 500 to its reward
            call.
    """

    failures: int = 0
    reward_failures: int = 0


class ResultPart(msgspec.Struct, kw_only=True, frozen=True):
    """Reference to an object that holds consecutive results.

    A result that does not fit into one object is divided into fragments, which
    are entries of their own.

    Attributes:
        name: Name of the object.
        count: Number of entries in it.
        first: Position of its first entry's result in the job.
        items: Place of each entry's item in the submission. A node of an
            earlier version leaves out `first` and `items`.
    """

    name: str
    count: int
    first: int = -1
    items: tuple[int, ...] = ()

    def is_indexed(self, *, total: int) -> bool:
        """Returns whether it tells what it holds of a job's `total` items."""
        return (
            self.first >= 0
            and len(self.items) == self.count
            and all(0 <= place < total for place in self.items)
        )


class JobProgress(msgspec.Struct, kw_only=True, frozen=True):
    """Mutable record of a batch job, written by conditional updates.

    Attributes:
        owner: Node that runs the job, with its incarnation.
        owner_before: Node that ran it before, which may still hold its texts;
            empty if there was none.
        token: Unique token of the write that created this record.
        ended: Whether the trainer ended the job.
        parts: Objects that hold the first results, in order.
        results: Results after those in `parts`, in order.
        failures: Items without a result that failed, by identity. A node of an
            earlier version leaves it out when it writes the record.
    """

    owner: str
    owner_before: str = ""
    token: str = ""
    ended: bool = False
    parts: tuple[ResultPart, ...] = ()
    results: tuple[ItemResult, ...] = ()
    failures: dict[str, ItemFailures] = {}
