"""Differences between two register revisions."""

from collections.abc import Iterable
from typing import Any

import msgspec

from endivespindle.schema.generated.register import Register

__all__ = ["changed_items"]

_MAX_LISTED_CHANGES = 20


def changed_items(old: Register, new: Register) -> list[str]:
    """Describes the items that differ, each by its list and name.

    Example:
        >>> empty = Register(data_centres=[], services=[], backend_servers=[],
        ...                  client_accounts=[], routes=[])
        >>> changed_items(empty, empty)
        []
    """
    changes: list[str] = []
    for field in msgspec.structs.fields(Register):
        before, after = getattr(old, field.name), getattr(new, field.name)
        if isinstance(before, list):
            changes += _list_changes(field.name, before, after)
        elif before != after:
            changes.append(f"{field.name} changed")
    if len(changes) > _MAX_LISTED_CHANGES:
        more = len(changes) - _MAX_LISTED_CHANGES
        return [*changes[:_MAX_LISTED_CHANGES], f"{more} more items"]
    return changes


def _list_changes(
    list_name: str, old: Iterable[Any], new: Iterable[Any]
) -> Iterable[str]:
    before = {_item_key(item): item for item in old}
    after = {_item_key(item): item for item in new}
    for name in sorted(before.keys() | after.keys()):
        if name not in after:
            yield f"{list_name}/{name} removed"
        elif name not in before:
            yield f"{list_name}/{name} added"
        elif before[name] != after[name]:
            yield f"{list_name}/{name} changed"


def _item_key(item: Any) -> str:
    """Returns the key of an item, unique in its list."""
    return getattr(item, "name", None) or item.prefix
