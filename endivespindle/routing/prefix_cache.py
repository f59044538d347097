"""What is believed to be in one backend server's prefix cache."""

import collections

from endivespindle.schema.generated.backend import CacheEvents

__all__ = ["PrefixCacheEstimate"]

_MAX_BLOCKS = 4096


class PrefixCacheEstimate:
    """Follows an engine's cache through events that come late and with gaps.

    What this VM sends there counts as cached at once. An event that was lost
    may have been the drop of a block; engines drop the least recently used
    first, so that for each lost event the oldest believed block is forgotten.
    A wrong belief costs time, never a wrong answer.

    Args:
        max_blocks: Most blocks believed at once.
    """

    __slots__ = ("_blocks", "_max_blocks", "sequence")

    def __init__(self, *, max_blocks: int = _MAX_BLOCKS):
        self._blocks: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._max_blocks = max_blocks
        self.sequence = 0

    def __len__(self) -> int:
        return len(self._blocks)

    def add_prompt(self, hashes: list[str]) -> None:
        """Takes a prompt sent there as cached."""
        for block in hashes:
            self._believe(block)

    def apply_events(self, events: CacheEvents) -> None:
        """Takes in the next events."""
        for event in events.events:
            lost = event.sequence - self.sequence - 1
            if lost < 0:
                continue
            self._forget(lost)
            self.sequence = event.sequence
            if event.stored:
                self._believe(event.prefix_hash)
            else:
                self._blocks.pop(event.prefix_hash, None)

    def reset(self) -> None:
        """Forgets everything, as after the engine's restart."""
        self._blocks.clear()
        self.sequence = 0

    def overlap(self, hashes: list[str]) -> int:
        """Returns how many leading blocks are believed to be cached."""
        blocks = self._blocks
        count = 0
        for block in hashes:
            if block not in blocks:
                break
            count += 1
        return count

    def _believe(self, block: str) -> None:
        self._blocks[block] = None
        self._blocks.move_to_end(block)
        if len(self._blocks) > self._max_blocks:
            self._blocks.popitem(last=False)

    def _forget(self, count: int) -> None:
        for _ in range(min(count, len(self._blocks))):
            self._blocks.popitem(last=False)
