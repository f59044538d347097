"""Reuse of completions after their job has ended or changed its owner."""

import sys
from collections.abc import Iterable, Sequence

import msgspec

from endivespindle.batch.job import ItemState, JobState
from endivespindle.batch.progress import ItemOutcome
from endivespindle.core.clock import Clock

__all__ = [
    "ItemSnapshot",
    "PartialCompletionCache",
    "limit_snapshots",
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
        max_bytes: Most memory for completions, in bytes; the oldest are dropped
            beyond it.

    Attributes:
        held_bytes: Memory of the completions that are kept now, in bytes.
    """

    __slots__ = ("_clock", "_completions", "_max_bytes", "held_bytes")

    def __init__(self, *, clock: Clock, max_bytes: int):
        self._clock = clock
        self._max_bytes = max_bytes
        self._completions: dict[str, tuple[float, int, ItemState]] = {}
        self.held_bytes = 0

    def store(self, job: JobState) -> None:
        """Stores the completions of an ended job's incomplete groups."""
        now_s = self._clock.monotonic()
        for state in job.items_of_incomplete_groups():
            if state.chunks:
                self._pop(state.item.item_id)
                size = state.held_bytes
                self._completions[state.item.item_id] = (now_s, size, state)
                self.held_bytes += size
        while (
            len(self._completions) > _MAX_COMPLETIONS
            or self.held_bytes > self._max_bytes
        ):
            self._pop(next(iter(self._completions)))

    def restore(self, job: JobState) -> int:
        """Moves the completions that a new job may use into it.

        Returns:
            The number of completions restored.
        """
        oldest_s = self._clock.monotonic() - _TTL_S
        sub = job.submission
        used = 0
        for item_id, state in job.items.items():
            stored_s, cached = self._pop(item_id)
            if cached is None or stored_s < oldest_s or state.chunks:
                continue
            is_usable = min(cached.versions, default=0) >= sub.min_version
            if sub.single_version:
                is_usable = is_usable and len(set(cached.versions)) == 1
            if is_usable and cached.item.body == state.item.body:
                state.resume_from(cached)
                used += 1
        return used

    def _pop(self, item_id: str) -> tuple[float, ItemState | None]:
        stored_s, size, state = self._completions.pop(item_id, (0.0, 0, None))
        self.held_bytes -= size
        return stored_s, state


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


def limit_snapshots(
    snapshots: Sequence[ItemSnapshot], *, max_bytes: int
) -> list[ItemSnapshot]:
    """Returns snapshots without the completions that exceed a size.

    Load pattern: a node takes over a job with some hundred long completions.
    Both nodes hold all that is sent several times over while it is encoded,
    sent and decoded. Whole completions are kept first, then the longest.

    Args:
        snapshots: Snapshots of a job's items.
        max_bytes: Most memory for the completions, in bytes.
    """
    sizes = {s.item_id: sum(map(sys.getsizeof, s.pieces)) for s in snapshots}
    limited = []
    for snapshot in sorted(
        snapshots, key=lambda s: (not s.is_whole, -sizes[s.item_id])
    ):
        max_bytes -= sizes[snapshot.item_id]
        if max_bytes < 0:
            snapshot = msgspec.structs.replace(
                snapshot, pieces=[], versions=[], is_whole=False
            )
        limited.append(snapshot)
    return limited


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
        if state.is_generated or (
            not snapshot.is_whole and len(state.chunks) >= len(snapshot.pieces)
        ):
            continue
        state.restore(
            chunks=snapshot.pieces,
            versions=snapshot.versions,
            is_generated=snapshot.is_whole,
            server=snapshot.server,
            software=snapshot.software,
        )
        used += 1
    return used
