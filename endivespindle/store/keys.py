"""Updates the table of tenant keys in the platform."""

from endivespindle.accounts.key_changes import KeyChange
from endivespindle.core.ids import IdSource
from endivespindle.schema.generated.stored import KeyTableRoot
from endivespindle.store.object_store import ObjectStore
from endivespindle.store.update import update_object

__all__ = ["KEYS_KIND", "KEYS_NAME", "change_keys"]

KEYS_KIND = "keys"
KEYS_NAME = "table"


async def change_keys(
    store: ObjectStore, *, change: KeyChange, ids: IdSource
) -> KeyTableRoot:
    """Applies a change to the key table; returns the updated table."""
    return await update_object(
        store,
        kind=KEYS_KIND,
        name=KEYS_NAME,
        initial=KeyTableRoot(generation=0, keys=[], token=""),
        change=change,
        ids=ids,
    )
