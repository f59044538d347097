"""Reads and conditional updates of one object of the store."""

from collections.abc import Callable
from typing import TypeVar

import msgspec

from endivespindle.core.decoding import decode_json
from endivespindle.core.ids import IdSource
from endivespindle.exceptions import (
    AnswerLostError,
    ConflictError,
    PlatformUnavailableError,
)
from endivespindle.store.object_store import ObjectStore

__all__ = ["read_object", "update_object"]

T = TypeVar("T", bound=msgspec.Struct)

_MAX_ATTEMPTS = 20


async def read_object(
    store: ObjectStore,
    *,
    kind: str,
    name: str,
    cls: type[T],
    allow_stale: bool = False,
) -> tuple[T | None, int]:
    """Returns an object's value and version, or None and 0.

    Args:
        store: The object API.
        kind: Kind of the object.
        name: Name of the object.
        cls: Type of the value.
        allow_stale: Whether the value may be some seconds old.
    """
    read = store.get_stale if allow_stale else store.get
    obj = await read(kind=kind, name=name)
    if obj is None or obj.value is None:
        return None, 0
    return decode_json(obj.value, type=cls), obj.version


async def update_object(
    store: ObjectStore,
    *,
    kind: str,
    name: str,
    initial: T,
    change: Callable[[T], T],
    ids: IdSource,
) -> T:
    """Applies a change to an object by conditional update.

    After a lost response the object is read again: the write token shows
    whether the write took effect. Another writer may have replaced the token
    by then, so that `change` may be applied twice: it must be idempotent.

    Args:
        store: The object API.
        kind: Kind of the object.
        name: Name of the object.
        initial: Value to start from if the object does not exist.
        change: Returns the new value for the current one; may raise to
            abort. Nothing is written if it returns the same instance.
        ids: Source of write tokens.

    Returns:
        The value after the update.

    Raises:
        PlatformUnavailableError: The platform is unavailable, or the update
            was not confirmed in any attempt.
    """
    token = ids.new("w")
    for _ in range(_MAX_ATTEMPTS):
        value, version = await read_object(
            store, kind=kind, name=name, cls=type(initial)
        )
        if value is not None and getattr(value, "token", None) == token:
            return value
        old = initial if value is None else value
        new = change(old)
        if new is old:
            return old
        new = msgspec.structs.replace(new, token=token)
        try:
            await store.put(
                kind=kind,
                name=name,
                value=msgspec.json.encode(new),
                expect_version=version,
            )
        except (ConflictError, AnswerLostError):
            continue
        return new
    raise PlatformUnavailableError(
        f"{kind}/{name}: update not confirmed in any attempt"
    )
