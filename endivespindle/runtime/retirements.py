"""Retirement of VMs with a disk."""

import asyncio

from endivespindle.exceptions import ConflictError, PlatformError
from endivespindle.platform.documents import RETIREMENT_KIND, encode_retirement
from endivespindle.runtime.context import RuntimeContext
from endivespindle.store.object_store import StatusStore, StoredObject

__all__ = ["RetirementConfirmer"]

_TICK_S = 0.1


class RetirementConfirmer:
    """Confirms the retirement of VMs.

    Args:
        ctx: State shared by the components of the node.
        store: The object API.
    """

    __slots__ = ("_ctx", "_retirements", "_store")

    def __init__(self, *, ctx: RuntimeContext, store: StatusStore):
        self._ctx = ctx
        self._store = store
        self._retirements: set[str] = set()

    def apply_object(self, obj: StoredObject) -> None:
        """Applies a change of a retirement's object."""
        if obj.value is None:
            self._retirements.discard(obj.name)
        else:
            self._retirements.add(obj.name)

    async def run(self) -> None:
        """Reports retiring VMs as empty; they store nothing durable."""
        done: set[str] = set()
        while True:
            for name in sorted(self._retirements - done):
                try:
                    await self._store.put_status(
                        kind=RETIREMENT_KIND,
                        name=name,
                        value=encode_retirement(complete=True),
                    )
                except ConflictError:
                    # The retirement was withdrawn.
                    self._retirements.discard(name)
                except PlatformError as exc:
                    self._ctx.log.event(
                        "retirement_not_written", node=name, error=str(exc)
                    )
                else:
                    done.add(name)
                    self._ctx.log.event("node_retired", node=name)
            await asyncio.sleep(_TICK_S)
