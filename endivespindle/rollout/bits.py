"""Sets of small integers, encoded as hexadecimal bit masks."""

from collections.abc import Iterator

__all__ = ["add_bit", "has_bit", "is_full", "missing_bits", "remove_bit"]


def has_bit(bits: str, index: int) -> bool:
    """Returns whether an index is in the set.

    Example:
        >>> has_bit("a", 1), has_bit("a", 2)
        (True, False)
    """
    return bool(int(bits, 16) >> index & 1)


def add_bit(bits: str, index: int) -> str:
    """Returns the set with an index added."""
    return f"{int(bits, 16) | 1 << index:x}"


def remove_bit(bits: str, index: int) -> str:
    """Returns the set with an index removed."""
    return f"{int(bits, 16) & ~(1 << index):x}"


def is_full(bits: str, count: int) -> bool:
    """Returns whether the set is exactly the indices below a count."""
    return int(bits, 16) == (1 << count) - 1


def missing_bits(bits: str, count: int) -> Iterator[int]:
    """Yields the indices below a count that are not in the set."""
    mask = int(bits, 16)
    for index in range(count):
        if not mask >> index & 1:
            yield index
