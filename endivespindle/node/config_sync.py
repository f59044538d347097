"""Keeps the register revision and tenant keys of one VM up to date."""

import asyncio
from collections.abc import Awaitable, Callable

import msgspec

from endivespindle.exceptions import EndivespindleError, PlatformError
from endivespindle.node.context import NodeContext
from endivespindle.node.relay import should_watch_platform
from endivespindle.schema.generated.stored import KeyTableRoot, RegisterRoot
from endivespindle.store.apply import (
    REVISION_KIND,
    ROOT_KIND,
    ROOT_NAME,
    revision_name,
)
from endivespindle.store.keys import KEYS_KIND, KEYS_NAME
from endivespindle.store.object_store import ObjectStore
from endivespindle.store.update import read_object

__all__ = ["ConfigSync"]

_RETRY_DELAY_S = 0.3
_RELAY_CHECK_INTERVAL_S = 0.5
_WATCHES_PER_KEY_LIMIT = 6

_Load = Callable[[], Awaitable[None]]


class ConfigSync:
    """Watches the store: one task for the register, one for the tenant keys.

    Args:
        ctx: Shared state of the VM.
        store: The object API.

    Attributes:
        last_contact_s: Monotonic time at which the store last responded.
    """

    __slots__ = ("_ctx", "_store", "last_contact_s")

    def __init__(self, *, ctx: NodeContext, store: ObjectStore):
        self._ctx = ctx
        self._store = store
        self.last_contact_s = ctx.clock.monotonic() - 1e9

    def store_age_s(self) -> float:
        """Returns the seconds since the store last responded."""
        return self._ctx.clock.monotonic() - self.last_contact_s

    async def watch_register(self) -> None:
        """Watches the root object of the register; runs until cancelled."""
        await self._watch_kind(ROOT_KIND, self.load_register)

    async def watch_keys(self) -> None:
        """Watches the tenant key table; runs until cancelled."""
        await self._watch_kind(KEYS_KIND, self.load_keys)

    async def load_register(self) -> None:
        """Loads the revision that the root object refers to, if it is newer."""
        root, _ = await read_object(
            self._store, kind=ROOT_KIND, name=ROOT_NAME, cls=RegisterRoot
        )
        if root is None or root.revision <= self._ctx.register.revision:
            return
        obj = await self._store.get(
            kind=REVISION_KIND, name=revision_name(root)
        )
        if obj is None or obj.value is None:
            return
        if self._ctx.register.apply_if_newer(root=root, body=obj.value):
            self._ctx.update_pending.set()
            self._ctx.log.info("register_in_force", revision=root.revision)

    async def load_keys(self) -> None:
        """Loads the key table and records that it was confirmed."""
        started_s = self._ctx.clock.monotonic()
        root, _ = await read_object(
            self._store, kind=KEYS_KIND, name=KEYS_NAME, cls=KeyTableRoot
        )
        if root is not None and self._ctx.keys.apply_if_newer(root):
            self._ctx.update_pending.set()
            self._ctx.log.info("keys_in_force", generation=root.generation)
        self._ctx.keys.freshness.confirm(asked_s=started_s)

    async def _watch_kind(self, kind: str, load: _Load) -> None:
        after = -1
        while True:
            if not should_watch_platform(self._ctx):
                after = -1
                await asyncio.sleep(_RELAY_CHECK_INTERVAL_S)
                continue
            try:
                if after < 0:
                    listed = await self._store.list_objects(kind=kind)
                    after = listed.version
                    await load()
                self._record_contact()
                after = await self._next_change(kind, after, load)
                self._record_contact()
            except PlatformError as exc:
                self._ctx.log.debug("watch_failed", kind=kind, error=str(exc))
                await asyncio.sleep(_RETRY_DELAY_S)
                after = -1
            except (EndivespindleError, msgspec.MsgspecError) as exc:
                self._ctx.log.error("watch_broken", kind=kind, error=str(exc))
                await asyncio.sleep(_RETRY_DELAY_S)
                after = -1

    async def _next_change(self, kind: str, after: int, load: _Load) -> int:
        wait_s = min(
            self._ctx.settings.platform.watch_wait_s,
            self._ctx.settings.keys.max_unconfirmed_s / _WATCHES_PER_KEY_LIMIT,
        )
        started_s = self._ctx.clock.monotonic()
        events = await self._store.watch(kind=kind, after=after, wait_s=wait_s)
        if events.lost:
            return -1
        if events.objects:
            await load()
        elif kind == KEYS_KIND:
            self._ctx.keys.freshness.confirm(asked_s=started_s)
        return events.version

    def _record_contact(self) -> None:
        self.last_contact_s = self._ctx.clock.monotonic()
