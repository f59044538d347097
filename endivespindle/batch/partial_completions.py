"""Reuse of completions after their job has ended or changed its owner."""

from collections.abc import Iterable

import msgspec

from endivespindle.batch.job import ItemState, JobState
from endivespindle.batch.progress import ItemOutcome
from endivespindle.core.clock import Clock

__all__ = [
    "ItemSnapshot",
    "PartialCompletionCache",
    "restore_items",
    "snapshot_items",
]

# Completions kept; a step leaves some dozen items that may be submitted again.
_MAX_COMPLETIONS = 512
# Time to live of a completion. After it, the weight versions that generated
# the completion are too old for later steps.
_TTL_S = 60.0


class PartialCompletionCache:
    """Keeps the completions of an ended job's incomplete groups.

    Load pattern: a step ends once most of its groups are complete. The others
    are submitted again with the next step, where their longest completions
    would start from the beginning. A completion is resumed instead if every
    weight version that generated it is new enough for the new job.

    Args:
        clock: Clock of this VM.
    """

    __slots__ = ("_clock", "_completions")

    def __init__(self, *, clock: Clock):
        self._clock = clock
        self._completions: dict[str, tuple[float, ItemState]] = {}

    def store(self, job: JobState) -> None:
        """Stores the completions of an ended job's incomplete groups."""
        now_s = self._clock.monotonic()
        for state in job.items_of_incomplete_groups():
            if state.chunks:
                self._completions.pop(state.item.item_id, None)
                self._completions[state.item.item_id] = (now_s, state)
        while len(self._completions) > _MAX_COMPLETIONS:
            self._completions.pop(next(iter(self._completions)))

    def restore(self, job: JobState) -> int:
        """Moves the completions that a new job may use into it.

        Returns:
            The number of completions restored.
        """
        oldest_s = self._clock.monotonic() - _TTL_S
        sub = job.submission
        used = 0
        for item_id, state in job.items.items():
            stored_s, cached = self._completions.pop(item_id, (0.0, None))
            if cached is None or stored_s < oldest_s or state.chunks:
                continue
            is_usable = min(cached.versions, default=0) >= sub.min_version
            if sub.single_version:
                is_usable = is_usable and len(set(cached.versions)) == 1
            if is_usable and cached.item.body == state.item.body:
                state.resume_from(cached)
                used += 1
        return used


class ItemSnapshot(msgspec.Struct, kw_only=True, frozen=True):
    """Generation progress of an uncommitted item, sent to a new job owner.

    Attributes:
        item_id: Identity of the item.
        pieces: Data of the events received, in order.
        versions: Weight versions that generated them, in order.
        server: Name of the server that generated the last of them.
        software: Software version of the servers that generated them.
        is_whole: Whether the completion is fully generated.
        is_terminated: Whether the item was terminated; unknown to earlier
            versions, which run it again.
        failures: Number of responses with status 500.
        reward_failures: Number of responses with status 500 to its reward
            call.
    """

    item_id: str
    pieces: list[str]
    versions: list[int]
    server: str
    is_whole: bool
    failures: int
    reward_failures: int
    software: str = ""
    is_terminated: bool = False


def snapshot_items(job: JobState) -> list[ItemSnapshot]:
    """Returns the generation progress of a job's uncommitted items.

    Load pattern: the store rejects the requests of a third of the nodes for
    seconds, or nodes restart one after the other. Each of their steps has some
    dozen completions in progress, which would start from the beginning at the
    new owner and end after the step is due.
    """
    terminated = {
        result.item_id
        for result in job.uncommitted
        if result.outcome is ItemOutcome.TERMINATED
    }
    return [
        ItemSnapshot(
            item_id=state.item.item_id,
            pieces=state.chunks,
            versions=state.versions,
            server=state.server,
            software=state.software,
            is_whole=state.is_generated,
            failures=state.failures,
            reward_failures=state.reward_failures,
            is_terminated=state.item.item_id in terminated,
        )
        for state in job.items.values()
        if state.chunks
        or state.failures
        or state.reward_failures
        or state.item.item_id in terminated
    ]


def restore_items(job: JobState, snapshots: Iterable[ItemSnapshot]) -> int:
    """Applies the previous owner's snapshots to a job.

    Failures count whether or not there is a completion.

    Returns:
        The number of completions used.
    """
    used = 0
    for snapshot in snapshots:
        state = job.items.get(snapshot.item_id)
        if state is None:
            continue
        state.failures = max(state.failures, snapshot.failures)
        state.reward_failures = max(
            state.reward_failures, snapshot.reward_failures
        )
        if snapshot.is_terminated:
            job.terminate_item(state)
            continue
        if len(state.chunks) >= len(snapshot.pieces):
            continue
        state.chunks = list(snapshot.pieces)
        state.versions = list(snapshot.versions)
        state.server = snapshot.server
        state.software = snapshot.software
        state.is_generated = snapshot.is_whole
        used += 1
    return used
