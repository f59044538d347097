"""Decoding of documents in which single values may be nested too deeply."""

import re
from typing import TypeVar

import msgspec

from endivespindle.core.decoding import decode_json

__all__ = ["decode_tolerantly", "replace_deep_values"]

T = TypeVar("T")

# Levels that a value may have: a good part of what the decoder bears.
_MAX_LEVELS = 100
# Strings, which may contain brackets, and brackets.
_TOKEN = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"|[\[{]|[\]}]', re.DOTALL)
_OPENING = b"[{"


def decode_tolerantly(data: bytes, *, type: type[T], level: int) -> T:
    """Decodes a JSON document that holds values of several writers.

    A value that is nested too deeply is decoded as null, and the others hold.

    Args:
        data: JSON document.
        type: Type of the document.
        level: Number of arrays and objects around each of the values.

    Raises:
        DecodeError: The document is malformed elsewhere.
    """
    try:
        return decode_json(data, type=type)
    except msgspec.MsgspecError:
        return decode_json(replace_deep_values(data, level=level), type=type)


def replace_deep_values(data: bytes, *, level: int) -> bytes:
    """Replaces values that are nested too deeply with null.

    Args:
        data: JSON document.
        level: Number of arrays and objects around the values that are replaced
            as a whole.

    Returns:
        The document; brackets that do not match are left to the decoder.

    Example:
        >>> replace_deep_values(b'{"a":1,"b":' + b"[" * 200 + b"]" * 200 + b"}",
        ...                     level=1)
        b'{"a":1,"b":null}'
    """
    parts = []
    kept_to = start = depth = deepest = 0
    for match in _TOKEN.finditer(data):
        token = match[0]
        if token[:1] == b'"':
            continue
        if token in _OPENING:
            if depth == level:
                start, deepest = match.start(), depth
            depth += 1
            deepest = max(deepest, depth)
            continue
        depth -= 1
        if depth == level and deepest - level > _MAX_LEVELS:
            parts += [data[kept_to:start], b"null"]
            kept_to = match.end()
    return b"".join([*parts, data[kept_to:]])
