"""Identifiers of requests, writers and VM incarnations."""

import random
import secrets

__all__ = ["IdSource", "RandomIdSource", "SeededIdSource"]

_ID_BITS = 96


class IdSource:
    """Generator of unique identifiers."""

    __slots__ = ()

    def new(self, prefix: str) -> str:
        """Returns a new identifier that starts with the prefix."""
        raise NotImplementedError


class RandomIdSource(IdSource):
    """Generates identifiers from the operating system's entropy."""

    __slots__ = ()

    def new(self, prefix: str) -> str:
        """Returns a new identifier that starts with the prefix."""
        return f"{prefix}-{secrets.token_hex(_ID_BITS // 8)}"


class SeededIdSource(IdSource):
    """Generates the same sequence of identifiers for the same seed.

    Example:
        >>> SeededIdSource(seed=1).new("r") == SeededIdSource(seed=1).new("r")
        True
    """

    __slots__ = ("_rng",)

    def __init__(self, *, seed: int):
        self._rng = random.Random(seed)

    def new(self, prefix: str) -> str:
        """Returns the next identifier that starts with the prefix."""
        return f"{prefix}-{self._rng.getrandbits(_ID_BITS):024x}"
