"""Changes to the table of tenant keys."""

from collections.abc import Callable

import msgspec

from endivespindle.core.digests import keyed_hash
from endivespindle.core.findings import Finding
from endivespindle.exceptions import CheckError
from endivespindle.schema.generated.stored import (
    KeyRecord,
    KeyState,
    KeyTableRoot,
)

__all__ = ["KeyChange", "grant_key", "key_id", "withdraw_key"]

_KEY_ID_LENGTH = 12
_UNSEEN = -1

KeyChange = Callable[[KeyTableRoot], KeyTableRoot]


def key_id(key_hash: str) -> str:
    """Returns the short identity under which operators see a key."""
    return key_hash[:_KEY_ID_LENGTH]


def grant_key(*, key: str, client_account: str, hash_secret: str) -> KeyChange:
    """Returns a change that grants a key to an account."""
    key_hash = keyed_hash(hash_secret, key)
    once = _ChangeOnce()

    def change(root: KeyTableRoot) -> KeyTableRoot:
        return once.apply(root, key_hash, client_account, KeyState.GRANTED)

    return change


def withdraw_key(*, key_hash_or_id: str) -> KeyChange:
    """Returns a change that withdraws a key, named by hash or by id."""
    once = _ChangeOnce()

    def change(root: KeyTableRoot) -> KeyTableRoot:
        found = [
            record
            for record in root.keys
            if key_hash_or_id in (record.key_id, record.key_hash)
        ]
        if not found:
            return root
        return once.apply(
            root,
            found[0].key_hash,
            found[0].client_account,
            KeyState.WITHDRAWN,
        )

    return change


class _ChangeOnce:
    """Applies a change to the record that was first seen, and to no later.

    After a lost answer the change is tried again. If another operator has
    changed the record since, trying again could undo that: a key that was
    withdrawn meanwhile would be granted again.
    """

    __slots__ = ("_seen",)

    def __init__(self) -> None:
        self._seen: int | None = None

    def apply(
        self, root: KeyTableRoot, key_hash: str, account: str, state: KeyState
    ) -> KeyTableRoot:
        """Returns the table with the record changed.

        Raises:
            CheckError: Another operator changed the record meanwhile.
        """
        held = {record.key_hash: record for record in root.keys}
        old = held.get(key_hash)
        if old and (old.client_account, old.state) == (account, state):
            return root
        generation = old.generation if old else _UNSEEN
        if self._seen is None:
            self._seen = generation
        if generation != self._seen:
            raise CheckError([_changed(key_hash, old)])
        return _with_record(root, held, key_hash, account, state)


def _changed(key_hash: str, record: KeyRecord | None) -> Finding:
    now = "gone"
    if record is not None:
        now = f"{record.state.value} for {record.client_account}"
    return Finding(
        place=f"key {key_id(key_hash)}",
        message=f"was changed by another operator and is now {now}",
    )


def _with_record(
    root: KeyTableRoot,
    held: dict[str, KeyRecord],
    key_hash: str,
    account: str,
    state: KeyState,
) -> KeyTableRoot:
    generation = root.generation + 1
    held[key_hash] = KeyRecord(
        key_id=key_id(key_hash),
        key_hash=key_hash,
        client_account=account,
        state=state,
        generation=generation,
        token="",
    )
    return msgspec.structs.replace(
        root, generation=generation, keys=list(held.values())
    )
