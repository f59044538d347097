"""A batch job on the node that runs it."""

import enum
from collections.abc import Sequence

import msgspec

from endivespindle.batch.progress import ItemOutcome, ItemResult
from endivespindle.batch.submission import BatchItem, BatchSubmission
from endivespindle.serving.calls import StreamEvent

__all__ = ["ItemPhase", "ItemState", "JobState", "page"]


class ItemPhase(enum.StrEnum):
    """Where an item stands."""

    WAITING = "waiting"
    GENERATING = "generating"
    SCORING = "scoring"
    ENDED = "ended"


class ItemState:
    """One item and the text that it has so far.

    Attributes:
        item: The item.
        phase: Where it stands.
        pieces: Data of the events received, in order.
        versions: Weight versions that generated them, in order.
        server: Name of the server that generated the last of them.
        failures: Answers of 500 so far.
        reward_failures: Answers of 500 to its reward call so far.
        not_before_s: Monotonic time before which it is not tried again.
        is_whole: Whether the text is whole, so that only its score is left.
    """

    __slots__ = (
        "failures",
        "is_generated",
        "item",
        "not_before_s",
        "phase",
        "chunks",
        "reward_failures",
        "server",
        "versions",
    )

    def __init__(self, *, item: BatchItem):
        self.item = item
        self.phase = ItemPhase.WAITING
        self.chunks: list[str] = []
        self.versions: list[int] = []
        self.server = ""
        self.failures = 0
        self.reward_failures = 0
        self.not_before_s = 0.0
        self.is_generated = False

    def resume_from(self, text: "ItemState") -> None:
        """Takes over the text that the item had in an earlier job."""
        self.chunks = list(text.chunks)
        self.versions = list(text.versions)
        self.is_generated = text.is_generated
        self.server = text.server

    def append_event(self, event: StreamEvent, version: int) -> bool:
        """Takes in an event; tells whether it is the one that follows."""
        if event.event_id != len(self.chunks) + 1:
            return False
        self.chunks.append(event.data)
        if not self.versions or self.versions[-1] != version:
            self.versions.append(version)
        return True

    def discard_completion(self) -> None:
        """Starts the text anew."""
        self.chunks.clear()
        self.versions.clear()
        self.is_generated = False


class JobState:
    """A batch job, its items, and its results.

    Results are kept in the order in which they are listed. Those that the
    store has not acknowledged are not shown to anybody.

    Args:
        submission: The job as accepted.
        results: Results listed so far.
        ended: Whether the job was ended.

    Attributes:
        submission: The job as accepted.
        ended: Whether the job was ended.
        items: Items that are not listed yet, by identity.
        tokens_per_event: Tokens that an event of this job's engines holds.
    """

    __slots__ = (
        "_finished",
        "_uncommitted",
        "_committed",
        "ended",
        "items",
        "submission",
        "tokens_per_event",
    )

    def __init__(
        self,
        *,
        submission: BatchSubmission,
        results: Sequence[ItemResult] = (),
        ended: bool = False,
    ):
        self.submission = submission
        self.ended = ended
        self.tokens_per_event = 1
        self._committed = list(results)
        self._uncommitted: list[ItemResult] = []
        self._finished: dict[str, ItemState] = {}
        done = {result.item_id for result in results}
        self.items = {
            item.item_id: ItemState(item=item)
            for item in submission.items
            if item.item_id not in done
        }

    @property
    def total(self) -> int:
        """Number of items."""
        return len(self.submission.items)

    @property
    def committed(self) -> Sequence[ItemResult]:
        """Results that the store acknowledged, in order."""
        return self._committed

    @property
    def uncommitted(self) -> Sequence[ItemResult]:
        """Results that the store has not acknowledged, in order."""
        return self._uncommitted

    @property
    def is_complete(self) -> bool:
        """Tells whether every item is listed."""
        return len(self._committed) == self.total

    def count_complete_groups(self) -> tuple[int, int]:
        """Returns the groups that are whole as listed, and with what is fresh.

        A group that a terminated item belongs to counts as whole, too: all
        its items are listed.
        """
        left: dict[str, int] = {}
        for item in self.submission.items:
            left[item.group] = left.get(item.group, 0) + 1
        groups = {i.item_id: i.group for i in self.submission.items}
        for result in self._committed:
            left[groups[result.item_id]] -= 1
        before = sum(count == 0 for count in left.values())
        for result in self._uncommitted:
            left[groups[result.item_id]] -= 1
        return before, sum(count == 0 for count in left.values())

    def items_of_incomplete_groups(self) -> list[ItemState]:
        """Returns the items with a text whose groups are not whole."""
        states = {**self._finished, **self.items}
        open_groups = {state.item.group for state in self.items.values()}
        return [s for s in states.values() if s.item.group in open_groups]

    def waiting(self) -> list[ItemState]:
        """Returns the items that could be sent to a server."""
        if self.ended:
            return []
        return [
            state
            for state in self.items.values()
            if state.phase is ItemPhase.WAITING
        ]

    def body(self, item_id: str) -> bytes | None:
        """Returns the body of an item, listed or not; None if unknown."""
        for item in self.submission.items:
            if item.item_id == item_id:
                return item.body
        return None

    def complete_item(self, state: ItemState, *, score: str) -> None:
        """Records the whole text of an item."""
        self._record(
            state,
            ItemResult(
                item_id=state.item.item_id,
                outcome=ItemOutcome.COMPLETE,
                text="\n".join(state.chunks),
                versions=tuple(dict.fromkeys(state.versions)),
                score=score,
            ),
        )

    def terminate_item(self, state: ItemState) -> None:
        """Records that an item was given up."""
        self._record(
            state,
            ItemResult(
                item_id=state.item.item_id, outcome=ItemOutcome.TERMINATED
            ),
        )

    def mark_committed(self, count: int) -> None:
        """Notes that the store holds the first of the fresh results."""
        for result in self._uncommitted[:count]:
            state = self.items.pop(result.item_id, None)
            if state is not None and state.is_generated:
                self._finished[result.item_id] = state
        self._committed += self._uncommitted[:count]
        del self._uncommitted[:count]

    def has_timed_out(self, *, age_s: float) -> bool:
        """Tells whether items have waited as long as they may.

        Args:
            age_s: Seconds since the job was submitted, at least.
        """
        return age_s >= self.submission.max_wait_s > 0

    def may_retry(self, state: ItemState) -> bool:
        """Tells whether a failed item may be sent once more."""
        return state.failures < max(1, self.submission.max_attempts)

    def _record(self, state: ItemState, result: ItemResult) -> None:
        if state.phase is ItemPhase.ENDED:
            return
        state.phase = ItemPhase.ENDED
        self._uncommitted.append(result)


def page(
    results: Sequence[ItemResult], *, after: int, max_bytes: int
) -> Sequence[ItemResult]:
    """Returns results from a position on, at least one and not too large.

    Args:
        results: All results.
        after: Position of the first one wanted, from 0.
        max_bytes: Largest answer, by the size of its texts.
    """
    size = 0
    end = after
    for result in results[after:]:
        size += len(msgspec.json.encode(result))
        if size > max_bytes and end > after:
            break
        end += 1
    return results[after:end]
