"""Changes to the tenant key table: granting and withdrawing keys."""

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
_NO_RECORD = -1

KeyChange = Callable[[KeyTableRoot], KeyTableRoot]


def key_id(key_hash: str) -> str:
    """Returns the short key id that operators see."""
    return key_hash[:_KEY_ID_LENGTH]


def grant_key(*, key: str, client_account: str, hash_secret: str) -> KeyChange:
    """Returns a change that grants a key to an account."""
    key_hash = keyed_hash(hash_secret, key)
    conditional = _ConditionalChange()

    def change(root: KeyTableRoot) -> KeyTableRoot:
        return conditional.apply(
            root, key_hash, client_account, KeyState.GRANTED
        )

    return change


def withdraw_key(*, key_hash_or_id: str) -> KeyChange:
    """Returns a change that withdraws a key, given by hash or id."""
    conditional = _ConditionalChange()

    def change(root: KeyTableRoot) -> KeyTableRoot:
        matches = [
            record
            for record in root.keys
            if key_hash_or_id in (record.key_id, record.key_hash)
        ]
        if not matches:
            return root
        return conditional.apply(
            root,
            matches[0].key_hash,
            matches[0].client_account,
            KeyState.WITHDRAWN,
        )

    return change


class _ConditionalChange:
    """Applies a change only to the generation of a record first read.

    A change is retried when the response to a write was lost. If another
    operator has changed the record in between, an unconditional retry would
    undo that: a key withdrawn in the meantime would be granted again.
    """

    __slots__ = ("_expected_generation",)

    def __init__(self) -> None:
        self._expected_generation: int | None = None

    def apply(
        self, root: KeyTableRoot, key_hash: str, account: str, state: KeyState
    ) -> KeyTableRoot:
        """Returns the table with the record changed.

        A record that already has this account and state is left unchanged.

        Raises:
            CheckError: Another operator has changed the record since.
        """
        by_hash = {record.key_hash: record for record in root.keys}
        current = by_hash.get(key_hash)
        if current and (current.client_account, current.state) == (
            account,
            state,
        ):
            return root
        generation = current.generation if current else _NO_RECORD
        if self._expected_generation is None:
            self._expected_generation = generation
        if generation != self._expected_generation:
            raise CheckError([_conflict_finding(key_hash, current)])
        return _with_record(root, by_hash, key_hash, account, state)


def _conflict_finding(key_hash: str, record: KeyRecord | None) -> Finding:
    state = "gone"
    if record is not None:
        state = f"{record.state.value} for {record.client_account}"
    return Finding(
        place=f"key {key_id(key_hash)}",
        message=f"was changed by another operator and is now {state}",
    )


def _with_record(
    root: KeyTableRoot,
    by_hash: dict[str, KeyRecord],
    key_hash: str,
    account: str,
    state: KeyState,
) -> KeyTableRoot:
    generation = root.generation + 1
    by_hash[key_hash] = KeyRecord(
        key_id=key_id(key_hash),
        key_hash=key_hash,
        client_account=account,
        state=state,
        generation=generation,
        token="",
    )
    return msgspec.structs.replace(
        root, generation=generation, keys=list(by_hash.values())
    )
