"""A batch job on the node that runs it."""

import enum
import sys
from collections.abc import Mapping, Sequence

import msgspec

from endivespindle.batch.progress import (
    ItemFailures,
    ItemOutcome,
    ItemResult,
)
from endivespindle.batch.submission import (
    BatchItem,
    BatchSubmission,
    item_places,
)
from endivespindle.serving.calls import StreamEvent

__all__ = ["ItemPhase", "ItemState", "JobState"]


# Memory of an item besides its body, in bytes.
_ITEM_BYTES = 2000


class ItemPhase(enum.StrEnum):
    """Processing phase of an item."""

    WAITING = "waiting"
    GENERATING = "generating"
    SCORING = "scoring"
    ENDED = "ended"


class ItemState:
    """One item and its completion so far.

    Attributes:
        item: The item.
        phase: Processing phase.
        chunks: Data of the events received, in order; a single one with the
            whole text once the completion is fully generated.
        text_bytes: Memory of `chunks`, in bytes.
        versions: Weight versions that generated them, in order.
        server: Name of the server that generated the last of them.
        software: Software version of the servers that generated them.
        failures: Number of responses with status 500.
        recorded_failures: Number of them that the store has acknowledged.
        reward_failures: Number of responses with status 500 to its reward
            call.
        not_before_s: Monotonic time before which the item is not retried.
        restarts: Number of times that its generation began anew.
        resume_until_s: Monotonic time until which it waits for a server that
            may go on with its completion.
        is_generated: Whether the completion is fully generated, so that only
            the score is missing.
        is_displaced: Whether the completion was given up for lack of memory
            while it was generated.
    """

    __slots__ = (
        "chunks",
        "failures",
        "is_displaced",
        "is_generated",
        "item",
        "not_before_s",
        "phase",
        "recorded_failures",
        "restarts",
        "resume_until_s",
        "reward_failures",
        "server",
        "software",
        "text_bytes",
        "versions",
    )

    def __init__(self, *, item: BatchItem):
        self.item = item
        self.phase = ItemPhase.WAITING
        self.chunks: list[str] = []
        self.text_bytes = 0
        self.versions: list[int] = []
        self.server = ""
        self.software = ""
        self.failures = 0
        self.recorded_failures = 0
        self.reward_failures = 0
        self.not_before_s = 0.0
        self.restarts = 0
        self.resume_until_s = 0.0
        self.is_generated = False
        self.is_displaced = False

    def resume_from(self, earlier: "ItemState") -> None:
        """Copies the completion that the item had in an earlier job."""
        self.restore(
            chunks=earlier.chunks,
            versions=earlier.versions,
            is_generated=earlier.is_generated,
            server=earlier.server,
            software=earlier.software,
        )

    def restore(
        self,
        *,
        chunks: Sequence[str],
        versions: Sequence[int],
        is_generated: bool,
        server: str,
        software: str,
    ) -> None:
        """Replaces the completion by one that was generated before."""
        self.chunks = list(chunks)
        self.text_bytes = sum(sys.getsizeof(chunk) for chunk in chunks)
        self.versions = list(versions)
        self.server = server
        self.software = software
        if is_generated:
            self.finish_completion()

    def finish_completion(self) -> None:
        """Marks the completion as fully generated, and joins its events."""
        self.is_generated = True
        self.chunks = ["\n".join(self.chunks)]
        self.text_bytes = sys.getsizeof(self.chunks[0])

    @property
    def held_bytes(self) -> int:
        """Memory of the item and its completion, in bytes."""
        return self.text_bytes + len(self.item.body) + _ITEM_BYTES

    def may_resume_at(self, software: str) -> bool:
        """Returns whether servers of a software version may go on with it.

        Streams of two versions do not fit together, and servers do not check
        this.
        """
        return not self.chunks or self.software == software

    def append_event(
        self, event: StreamEvent, version: int, *, software: str = ""
    ) -> bool:
        """Appends an event to the completion.

        Args:
            event: The event.
            version: Weight version that generated it.
            software: Software version of the server that generated it.

        Returns:
            Whether the event was appended; False if it is not the next one.
        """
        if event.event_id != len(self.chunks) + 1:
            return False
        self.chunks.append(event.data)
        self.text_bytes += sys.getsizeof(event.data)
        self.software = software
        if not self.versions or self.versions[-1] != version:
            self.versions.append(version)
        return True

    def discard_completion(self) -> None:
        """Discards the completion, so that generation starts again."""
        self.restarts += 1
        self.chunks.clear()
        self.text_bytes = 0
        self.versions.clear()
        self.software = ""
        self.is_generated = False


class JobState:
    """A batch job, its items, and the order of its results.

    Results keep the order in which they are committed, that is, acknowledged
    by the store. Readers see committed results only, which they read from the
    store: their texts are not held here.

    Args:
        submission: The job as accepted.
        committed: Items with a committed result, in order.
        failures: Failures recorded so far, by item.
        ended: Whether the job was ended.

    Attributes:
        submission: The job as accepted.
        service: Service whose servers run its items.
        ended: Whether the job was ended.
        is_released: Whether the bodies of its items are no longer held.
        items: Items without a committed result, by identity.
        places: Place of each item in the submission, by identity.
        tokens_per_event: Tokens per stream event of the job's engines.
        generated_bytes: Memory of the completions generated here, in bytes.
        generated_items: Number of these completions.
        cache_tokens: Capacity of the KV cache of the job's engines, in tokens;
            0 if it is not known.
    """

    __slots__ = (
        "_committed",
        "_complete_groups",
        "_generated",
        "_missing",
        "_uncommitted",
        "cache_tokens",
        "ended",
        "generated_bytes",
        "generated_items",
        "is_released",
        "items",
        "places",
        "service",
        "submission",
        "tokens_per_event",
    )

    def __init__(
        self,
        *,
        submission: BatchSubmission,
        committed: Sequence[str] = (),
        failures: Mapping[str, ItemFailures] | None = None,
        ended: bool = False,
    ):
        self.submission = submission
        self.service = submission.service
        self.ended = ended
        self.is_released = False
        self.tokens_per_event = 1
        self.cache_tokens = 0
        self.generated_bytes = 0
        self.generated_items = 0
        self._committed: list[str] = []
        self._uncommitted: list[ItemResult] = []
        self._generated: dict[str, ItemState] = {}
        self.items = {
            item.item_id: ItemState(item=item) for item in submission.items
        }
        self.places = item_places(submission)
        self._missing: dict[str, int] = {}
        for item in submission.items:
            self._missing[item.group] = self._missing.get(item.group, 0) + 1
        self._complete_groups = 0
        self._commit(committed)
        for item_id, known in (failures or {}).items():
            state = self.items.get(item_id)
            if state is not None:
                state.failures = state.recorded_failures = known.failures
                state.reward_failures = known.reward_failures

    @property
    def total(self) -> int:
        """Number of items."""
        return len(self.submission.items)

    @property
    def committed(self) -> Sequence[str]:
        """Items with a result that the store acknowledged, in order."""
        return self._committed

    @property
    def uncommitted(self) -> Sequence[ItemResult]:
        """Results that the store has not acknowledged, in order."""
        return self._uncommitted

    @property
    def is_complete(self) -> bool:
        """Whether every item has a committed result."""
        return len(self._committed) == self.total

    def count_complete_groups(self) -> tuple[int, int]:
        """Returns the number of complete groups.

        A group is complete once all of its items have a result; terminated
        items count as well.

        Returns:
            The number by committed results alone, and the number with
            uncommitted results included.
        """
        ended: dict[str, int] = {}
        for result in self._uncommitted:
            group = self._group(result.item_id)
            ended[group] = ended.get(group, 0) + 1
        added = sum(
            count == self._missing[group] for group, count in ended.items()
        )
        return self._complete_groups, self._complete_groups + added

    def items_of_incomplete_groups(self) -> list[ItemState]:
        """Returns the items of groups that are not complete yet."""
        states = {**self._generated, **self.items}
        incomplete = {state.item.group for state in self.items.values()}
        return [s for s in states.values() if s.item.group in incomplete]

    @property
    def uncommitted_bytes(self) -> int:
        """Size of the results that the store has not acknowledged, in bytes."""
        return sum(len(result.text) for result in self._uncommitted)

    def next_batch(self, *, max_bytes: int) -> list[ItemResult]:
        """Returns the uncommitted results to write next.

        Failed items come first: a new owner must know of them.

        Args:
            max_bytes: Size of the texts beyond which a batch ends, in bytes.
        """
        self._uncommitted.sort(
            key=lambda result: result.outcome is not ItemOutcome.TERMINATED
        )
        batch: list[ItemResult] = []
        for result in self._uncommitted:
            max_bytes -= len(result.text)
            if batch and max_bytes < 0:
                break
            batch.append(result)
        return batch

    def expected_bytes(self) -> int:
        """Returns the memory that a completion is expected to reach.

        Until one is generated, this is the largest one so far.
        """
        if self.generated_items:
            return self.generated_bytes // self.generated_items
        return max((s.text_bytes for s in self.items.values()), default=0)

    @property
    def kept_bytes(self) -> int:
        """Memory of committed completions of incomplete groups, in bytes."""
        return sum(state.held_bytes for state in self._generated.values())

    def drop_kept(self) -> None:
        """Forgets committed completions; later jobs generate them again."""
        self._generated.clear()

    def waiting(self) -> list[ItemState]:
        """Returns the items that could be sent to a server.

        A failed item waits until the store has acknowledged its failure: the
        next owner must know of it if this node is killed.
        """
        if self.ended:
            return []
        return [
            state
            for state in self.items.values()
            if state.phase is ItemPhase.WAITING
            and state.failures <= state.recorded_failures
        ]

    def body(self, item_id: str) -> bytes | None:
        """Returns the request body of an item.

        None if the item is unknown, or the bodies are no longer held.
        """
        if self.is_released:
            return None
        for item in self.submission.items:
            if item.item_id == item_id:
                return item.body
        return None

    def release_items(self) -> None:
        """Forgets what is only needed to run the items of a job.

        Their identities and groups remain.
        """
        self.is_released = True
        self.submission = msgspec.structs.replace(
            self.submission,
            items=[
                BatchItem(
                    item_id=item.item_id,
                    path="",
                    headers={},
                    body=b"",
                    tokens=item.tokens,
                    group=item.group,
                )
                for item in self.submission.items
            ],
        )
        self.items = {}
        self._generated = {}
        self._uncommitted = []

    def complete_item(self, state: ItemState, *, score: str) -> None:
        """Records the result of an item whose completion is generated.

        Args:
            state: The item.
            score: Signature of the response to its reward call.
        """
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
        """Records that an item is terminated without a completion."""
        self._record(
            state,
            ItemResult(
                item_id=state.item.item_id, outcome=ItemOutcome.TERMINATED
            ),
        )

    @property
    def has_final_failures(self) -> bool:
        """Whether failures are left that the next owner must know of."""
        return any(
            result.outcome is ItemOutcome.TERMINATED
            for result in self._uncommitted
        ) or any(
            state.failures > state.recorded_failures
            for state in self.items.values()
        )

    def count_failures(self) -> dict[str, ItemFailures]:
        """Returns the failures of the items without a result, by item."""
        return {
            item_id: ItemFailures(
                failures=state.failures, reward_failures=state.reward_failures
            )
            for item_id, state in self.items.items()
            if state.phase is not ItemPhase.ENDED
            and (state.failures or state.reward_failures)
        }

    def mark_recorded(self, failures: Mapping[str, ItemFailures]) -> None:
        """Marks failures as acknowledged by the store."""
        for item_id, known in failures.items():
            state = self.items.get(item_id)
            if state is not None:
                state.recorded_failures = known.failures

    def mark_committed(self, count: int) -> None:
        """Marks the first uncommitted results as committed."""
        item_ids = [result.item_id for result in self._uncommitted[:count]]
        del self._uncommitted[:count]
        self._generated |= {
            item_id: self.items[item_id]
            for item_id in item_ids
            if item_id in self.items and self.items[item_id].is_generated
        }
        self._commit(item_ids)

    def _commit(self, item_ids: Sequence[str]) -> None:
        """Counts items as committed, and forgets their completions.

        Those of incomplete groups are kept: a later job may ask for them again.
        """
        self._committed += item_ids
        has_complete_group = False
        for item_id in item_ids:
            self.items.pop(item_id, None)
            if item_id not in self.places:
                continue
            group = self._group(item_id)
            self._missing[group] -= 1
            if not self._missing[group]:
                self._complete_groups += 1
                has_complete_group = True
        if has_complete_group:
            self._generated = {
                item_id: state
                for item_id, state in self._generated.items()
                if self._missing[state.item.group]
            }

    def _group(self, item_id: str) -> str:
        return self.submission.items[self.places[item_id]].group

    def has_timed_out(self, *, age_s: float) -> bool:
        """Returns whether the job's items have reached their maximum wait.

        Args:
            age_s: Lower bound of the seconds since the job was submitted.
        """
        return age_s >= self.submission.max_wait_s > 0

    def exceeds_cache(self, state: ItemState) -> bool:
        """Returns whether an item needs more memory than an engine has.

        Servers refuse such an item as if they were full, which says nothing
        about their room for others.
        """
        return 0 < self.cache_tokens < state.item.tokens

    def may_retry(self, state: ItemState) -> bool:
        """Returns whether a failed item may be sent again."""
        return state.failures < max(1, self.submission.max_attempts)

    def _record(self, state: ItemState, result: ItemResult) -> None:
        if state.phase is ItemPhase.ENDED:
            return
        state.phase = ItemPhase.ENDED
        self._uncommitted.append(result)
