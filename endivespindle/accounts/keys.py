"""Tenant keys: kept as keyed hashes, resolved for each request."""

from endivespindle.accounts.freshness import KeyFreshness, KeyTableStatus
from endivespindle.core.digests import keyed_hash
from endivespindle.core.reasons import Reason
from endivespindle.exceptions import RefusedError
from endivespindle.schema.generated.stored import (
    KeyRecord,
    KeyState,
    KeyTableRoot,
)

__all__ = ["KeyTable"]

_RETRY_AFTER_S = 1.0


class KeyTable:
    """Tells which client account a key stands for, as far as is known.

    Args:
        hash_secret: Secret of the keyed hash.
        freshness: What is known of how new the table is.

    Attributes:
        freshness: What is known of how new the table is.
        root: The newest table seen.
    """

    __slots__ = ("_by_hash", "_secret", "freshness", "root")

    def __init__(self, *, hash_secret: str, freshness: KeyFreshness):
        self._secret = hash_secret
        self._by_hash: dict[str, KeyRecord] = {}
        self.freshness = freshness
        self.root = KeyTableRoot(generation=0, keys=[], token="")

    @property
    def generation(self) -> int:
        """Generation of the table known."""
        return self.root.generation

    def apply_if_newer(self, root: KeyTableRoot) -> bool:
        """Takes a table if it is newer; an older one never comes back."""
        if root.generation <= self.root.generation:
            return False
        self.root = root
        self._by_hash = {record.key_hash: record for record in root.keys}
        return True

    def confirm(self, *, age_s: float = 0.0) -> None:
        """Notes that the table was the newest one some seconds ago."""
        self.freshness.confirm_age(age_s)

    def reported_age_s(self) -> float:
        """Returns the seconds since the table was last known as newest.

        Infinite on a VM that started and has a gap in its memory.
        """
        return self.freshness.reported_age_s()

    def is_known_key(self, text: str) -> bool:
        """Tells whether a text is a key that was ever granted."""
        return keyed_hash(self._secret, text) in self._by_hash

    def resolve(self, key: str, *, max_unconfirmed_s: float) -> KeyRecord:
        """Returns the record of a key that works.

        Args:
            key: The key shown; never kept.
            max_unconfirmed_s: Seconds without news after which to refuse.

        Raises:
            RefusedError: The key is missing, unknown, withdrawn, or cannot
                be confirmed.
        """
        if not key:
            raise RefusedError(Reason.KEY_MISSING)
        record = self._by_hash.get(keyed_hash(self._secret, key))
        if record is None:
            self._check_standing(max_unconfirmed_s)
            raise RefusedError(Reason.KEY_UNKNOWN)
        self.check(record, max_unconfirmed_s=max_unconfirmed_s)
        return record

    def check(self, record: KeyRecord, *, max_unconfirmed_s: float) -> None:
        """Refuses if a record, resolved earlier, works no longer.

        Raises:
            RefusedError: The key was withdrawn or granted anew, or cannot be
                confirmed.
        """
        current = self._by_hash.get(record.key_hash)
        if (
            current is None
            or current.state is not KeyState.GRANTED
            or current.client_account != record.client_account
        ):
            raise RefusedError(Reason.KEY_WITHDRAWN)
        self._check_standing(max_unconfirmed_s)

    def _check_standing(self, limit_s: float) -> None:
        standing = self.freshness.status(
            generation=self.generation, limit_s=limit_s
        )
        if standing is KeyTableStatus.CUT_OFF:
            raise RefusedError(
                Reason.KEY_UNCONFIRMED, retry_after_s=_RETRY_AFTER_S
            )
