"""Hashes of a prompt's prefix blocks."""

import xxhash

__all__ = ["prefix_hashes"]

_BLOCK_WORDS = 16
_MAX_BLOCKS = 64


def prefix_hashes(prompt: str) -> list[str]:
    """Returns a hash for each prefix of the prompt, in steps of one block.

    Hashes of shorter prefixes come first. Two prompts share as many hashes as
    leading blocks.

    Example:
        >>> a = prefix_hashes("x " * 32 + "a " * 16)
        >>> b = prefix_hashes("x " * 32 + "b " * 16)
        >>> [s == t for s, t in zip(a, b)]
        [True, True, False]
    """
    words = prompt.split()[: _BLOCK_WORDS * _MAX_BLOCKS]
    state = xxhash.xxh64()
    hashes = []
    for start in range(0, len(words), _BLOCK_WORDS):
        state.update(
            " ".join(words[start : start + _BLOCK_WORDS]).encode() + b"\0"
        )
        hashes.append(state.hexdigest())
    return hashes
