"""Decoding of messages from other writers."""

import math
import re
from typing import Any, TypeVar, overload

import msgspec

__all__ = [
    "decode_json",
    "decode_msgpack",
    "parse_address",
    "parse_count",
    "parse_figure",
]

# Digits of a count that fits in 64 bits.
_MAX_DIGITS = 18

T = TypeVar("T")

# An IP address or a name, and a port.
_ADDRESS = re.compile(r"([0-9A-Za-z.:\[\]-]+):([0-9]{1,5})")
_MAX_PORT = 65_535


def parse_address(text: str) -> tuple[str, int] | None:
    """Parses a host and a port; None if it is malformed or out of range.

    Example:
        >>> parse_address("10.0.0.9:8080")
        ('10.0.0.9', 8080)
        >>> parse_address("10.0.0.9:99999")
    """
    match = _ADDRESS.fullmatch(text)
    if match is None or not 0 < int(match[2]) <= _MAX_PORT:
        return None
    return match[1], int(match[2])


def parse_count(text: str) -> int | None:
    """Parses a number of ASCII digits; None if it is malformed or too large.

    Example:
        >>> parse_count("12"), parse_count("²"), parse_count("9" * 5000)
        (12, None, None)
    """
    if len(text) > _MAX_DIGITS or not text.isascii() or not text.isdecimal():
        return None
    return int(text)


def parse_figure(text: str | None) -> float | None:
    """Parses a finite number of 0 or more; None if missing or malformed.

    Example:
        >>> parse_figure("2.5"), parse_figure("-1"), parse_figure("inf")
        (2.5, None, None)
    """
    try:
        value = float(text) if text else None
    except ValueError:
        return None
    return value if value is not None and 0 <= value < math.inf else None


def decode_json(data: bytes | str, *, type: type[T]) -> T:
    """Decodes a JSON document.

    `msgspec` itself raises errors of other kinds for a document that is nested
    too deeply or is not UTF-8.

    Raises:
        DecodeError: The document is malformed.

    Example:
        >>> decode_json(b"[1, 2]", type=list[int])
        [1, 2]
        >>> decode_json(b"[" * 5000, type=list)
        Traceback (most recent call last):
            ...
        msgspec.DecodeError: nested too deeply
    """
    try:
        return msgspec.json.decode(data, type=type)
    except RecursionError as exc:
        raise msgspec.DecodeError("nested too deeply") from exc
    except UnicodeDecodeError as exc:
        raise msgspec.DecodeError(str(exc)) from exc


@overload
def decode_msgpack(data: bytes, *, type: type[T]) -> T: ...


@overload
def decode_msgpack(data: bytes, *, type: Any) -> Any: ...


def decode_msgpack(data: bytes, *, type: Any) -> Any:
    """Decodes a MessagePack document.

    Raises:
        DecodeError: The document is malformed.
    """
    try:
        return msgspec.msgpack.decode(data, type=type)
    except RecursionError as exc:
        raise msgspec.DecodeError("nested too deeply") from exc
    except UnicodeDecodeError as exc:
        raise msgspec.DecodeError(str(exc)) from exc
