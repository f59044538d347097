"""Tenant key table: stores keyed hashes and resolves keys per request."""

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
    """Maps tenant keys to client accounts, from this VM's copy of the table.

    Args:
        hash_secret: Secret of the keyed hash.
        freshness: Tracks whether the table is the newest one.

    Attributes:
        freshness: Tracks whether the table is the newest one.
        root: The newest table received.
    """

    __slots__ = ("_by_hash", "_hash_secret", "freshness", "root")

    def __init__(self, *, hash_secret: str, freshness: KeyFreshness):
        self._hash_secret = hash_secret
        self._by_hash: dict[str, KeyRecord] = {}
        self.freshness = freshness
        self.root = KeyTableRoot(generation=0, keys=[], token="")

    @property
    def generation(self) -> int:
        """Generation of this VM's table."""
        return self.root.generation

    def apply_if_newer(self, root: KeyTableRoot) -> bool:
        """Replaces the table if `root` is newer.

        Returns:
            Whether the table was replaced.
        """
        if root.generation <= self.root.generation:
            return False
        self.root = root
        self._by_hash = {record.key_hash: record for record in root.keys}
        return True

    def confirm(self, *, age_s: float = 0.0) -> None:
        """Records that the table was the newest one `age_s` seconds ago."""
        self.freshness.confirm_age(age_s)

    def reported_age_s(self) -> float:
        """Returns the seconds since the table was last confirmed.

        Infinite until a confirmation dates from after the start of this VM.
        """
        return self.freshness.reported_age_s()

    def is_known_key(self, text: str) -> bool:
        """Returns whether a text is a key in the table, withdrawn or not."""
        return keyed_hash(self._hash_secret, text) in self._by_hash

    def resolve(self, key: str, *, max_unconfirmed_s: float) -> KeyRecord:
        """Returns the record of a valid key.

        Args:
            key: Key presented by the caller; not stored.
            max_unconfirmed_s: Confirmation age in seconds above which the
                key is refused during a network partition.

        Raises:
            RefusedError: The key is missing, unknown, withdrawn, or cannot
                be confirmed.
        """
        if not key:
            raise RefusedError(Reason.KEY_MISSING)
        record = self._by_hash.get(keyed_hash(self._hash_secret, key))
        if record is None:
            self._check_freshness(max_unconfirmed_s)
            raise RefusedError(Reason.KEY_UNKNOWN)
        self.check(record, max_unconfirmed_s=max_unconfirmed_s)
        return record

    def check(self, record: KeyRecord, *, max_unconfirmed_s: float) -> None:
        """Checks that a record resolved earlier is still valid.

        Raises:
            RefusedError: The key was withdrawn or granted to another account,
                or cannot be confirmed.
        """
        current = self._by_hash.get(record.key_hash)
        if (
            current is None
            or current.state is not KeyState.GRANTED
            or current.client_account != record.client_account
        ):
            raise RefusedError(Reason.KEY_WITHDRAWN)
        self._check_freshness(max_unconfirmed_s)

    def _check_freshness(self, limit_s: float) -> None:
        status = self.freshness.status(
            generation=self.generation, limit_s=limit_s
        )
        if status is KeyTableStatus.CUT_OFF:
            raise RefusedError(
                Reason.KEY_UNCONFIRMED, retry_after_s=_RETRY_AFTER_S
            )
