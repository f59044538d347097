"""Texts that outlive the job or the owner they were generated for."""

from collections.abc import Iterable

import msgspec

from endivespindle.batch.job import ItemState, JobState
from endivespindle.core.clock import Clock

__all__ = [
    "PartialCompletionCache",
    "ItemSnapshot",
    "snapshot_items",
    "restore_items",
]

# Texts kept; a step has some dozen items that may come again.
_MAX_TEXTS = 512
# Time for which a text is kept: its versions are too old for later steps.
_KEPT_S = 60.0


class PartialCompletionCache:
    """Keeps the texts of an ended job's groups that are not whole.

    The load pattern answered: a step ends once most groups are whole; the
    others come again in the next step, and their longest texts would start
    anew. A text goes on where it was, if every version that generated it is
    new enough for the job that asks for it.

    Args:
        clock: Clock of this VM.
    """

    __slots__ = ("_clock", "_texts")

    def __init__(self, *, clock: Clock):
        self._clock = clock
        self._texts: dict[str, tuple[float, ItemState]] = {}

    def keep(self, job: JobState) -> None:
        """Keeps what a job that ended has of its unfinished groups."""
        now_s = self._clock.monotonic()
        for state in job.items_of_incomplete_groups():
            if state.chunks:
                self._texts.pop(state.item.item_id, None)
                self._texts[state.item.item_id] = (now_s, state)
        while len(self._texts) > _MAX_TEXTS:
            self._texts.pop(next(iter(self._texts)))

    def fill(self, job: JobState) -> int:
        """Gives a new job the texts it may use; returns how many."""
        oldest_s = self._clock.monotonic() - _KEPT_S
        sub = job.submission
        used = 0
        for item_id, state in job.items.items():
            kept_s, text = self._texts.pop(item_id, (0.0, None))
            if text is None or kept_s < oldest_s or state.chunks:
                continue
            fits = min(text.versions, default=0) >= sub.min_version
            if sub.single_version:
                fits = fits and len(set(text.versions)) == 1
            if fits and text.item.body == state.item.body:
                state.resume_from(text)
                used += 1
        return used


class ItemSnapshot(msgspec.Struct, kw_only=True, frozen=True):
    """What an owner has of one item that is not listed.

    Attributes:
        item_id: Identity of the item.
        pieces: Data of the events received, in order.
        versions: Weight versions that generated them, in order.
        server: Name of the server that generated the last of them.
        is_whole: Whether the text is whole.
        failures: Answers of 500 so far.
        reward_failures: Answers of 500 to its reward call so far.
    """

    item_id: str
    pieces: list[str]
    versions: list[int]
    server: str
    is_whole: bool
    failures: int
    reward_failures: int


def snapshot_items(job: JobState) -> list[ItemSnapshot]:
    """Returns what a job has of items that are not listed.

    The load pattern answered: the store turns a third of the nodes away for
    seconds, or nodes restart one after the other. Each of their steps has
    some dozen texts under way, which would start anew at the next owner and
    end after the step is due.
    """
    return [
        ItemSnapshot(
            item_id=state.item.item_id,
            pieces=state.chunks,
            versions=state.versions,
            server=state.server,
            is_whole=state.is_generated,
            failures=state.failures,
            reward_failures=state.reward_failures,
        )
        for state in job.items.values()
        if state.chunks or state.failures or state.reward_failures
    ]


def restore_items(job: JobState, texts: Iterable[ItemSnapshot]) -> int:
    """Gives a job what its owner before had; returns the texts used."""
    used = 0
    for text in texts:
        state = job.items.get(text.item_id)
        if state is None or len(state.chunks) >= len(text.pieces):
            continue
        state.chunks = list(text.pieces)
        state.versions = list(text.versions)
        state.server = text.server
        state.is_generated = text.is_whole
        state.failures = text.failures
        state.reward_failures = text.reward_failures
        used += 1
    return used
