"""Estimated contents of one backend server's prefix cache."""

import collections

from endivespindle.schema.generated.backend import CacheEvents

__all__ = ["PrefixCacheEstimate"]

_MAX_BLOCKS = 4096


class PrefixCacheEstimate:
    """Estimates the prefix cache of an engine from delayed, lossy events.

    The blocks of a prompt count as cached as soon as this VM sends it. A lost
    event may have been an eviction; engines evict the least recently used
    block first, so each lost event removes the oldest block of the estimate.
    A wrong estimate costs latency but never correctness.

    Args:
        max_blocks: Maximum number of blocks of the estimate.

    Attributes:
        sequence: Sequence number of the last applied event.
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
        """Adds the blocks of a prompt that was sent to the server."""
        for block in hashes:
            self._add_block(block)

    def apply_events(self, events: CacheEvents) -> None:
        """Applies cache events; those applied before are skipped."""
        for event in events.events:
            missed = event.sequence - self.sequence - 1
            if missed < 0:
                continue
            self._evict_oldest(missed)
            self.sequence = event.sequence
            if event.stored:
                self._add_block(event.prefix_hash)
            else:
                self._blocks.pop(event.prefix_hash, None)

    def reset(self) -> None:
        """Clears the estimate, as after a restart of the engine."""
        self._blocks.clear()
        self.sequence = 0

    def overlap(self, hashes: list[str]) -> int:
        """Returns how many leading blocks are estimated to be cached."""
        blocks = self._blocks
        count = 0
        for block in hashes:
            if block not in blocks:
                break
            count += 1
        return count

    def _add_block(self, block: str) -> None:
        self._blocks[block] = None
        self._blocks.move_to_end(block)
        if len(self._blocks) > self._max_blocks:
            self._blocks.popitem(last=False)

    def _evict_oldest(self, count: int) -> None:
        for _ in range(min(count, len(self._blocks))):
            self._blocks.popitem(last=False)
