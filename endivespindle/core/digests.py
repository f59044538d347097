"""Canonical encoding, digests and rendezvous hashing."""

import hashlib
import hmac
from typing import Any

import msgspec
import xxhash

__all__ = ["canonical_json", "keyed_hash", "rendezvous_rank", "sha256_hex"]

_ENCODER = msgspec.json.Encoder(order="sorted")


def canonical_json(value: Any) -> bytes:
    """Returns the canonical JSON encoding: sorted keys, no whitespace."""
    return _ENCODER.encode(value)


def sha256_hex(data: bytes) -> str:
    """Returns the SHA-256 digest in hexadecimal."""
    return hashlib.sha256(data).hexdigest()


def keyed_hash(secret: str, data: str) -> str:
    """Returns the HMAC-SHA256 of a string in hexadecimal."""
    return hmac.new(secret.encode(), data.encode(), hashlib.sha256).hexdigest()


def rendezvous_rank(key: str, members: list[str]) -> list[str]:
    """Ranks members for a key by rendezvous (highest random weight) hashing.

    Removing a member moves only the keys that were assigned to it.

    Args:
        key: Key to be placed.
        members: Names of the candidates.

    Returns:
        The members in order of preference, the preferred one first.

    Example:
        >>> rank = rendezvous_rank("shard", ["a", "b", "c"])
        >>> sorted(rank)
        ['a', 'b', 'c']

    References:
        Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit
        Rates", IEEE/ACM Transactions on Networking 6(1), 1998.
    """
    return sorted(
        members,
        key=lambda member: (_weight(key, member), member),
        reverse=True,
    )


def _weight(key: str, member: str) -> int:
    return xxhash.xxh64_intdigest(f"{key}\0{member}".encode())
