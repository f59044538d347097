"""Texts of groups that a trainer may ask for again."""

from endivespindle.batch.job import ItemState, JobState
from endivespindle.core.clock import Clock

__all__ = ["CarriedTexts"]

# Texts kept; a step has some dozen items that may come again.
_MAX_TEXTS = 512
# Time for which a text is kept: its versions are too old for later steps.
_KEPT_S = 60.0


class CarriedTexts:
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
        for state in job.unfinished_groups():
            if state.pieces:
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
            if text is None or kept_s < oldest_s or state.pieces:
                continue
            fits = min(text.versions, default=0) >= sub.min_version
            if sub.single_version:
                fits = fits and len(set(text.versions)) == 1
            if fits and text.item.body == state.item.body:
                state.go_on_from(text)
                used += 1
        return used
