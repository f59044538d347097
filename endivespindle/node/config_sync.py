"""Keeps the register revision and the tenant keys of one VM in force."""

import asyncio
from collections.abc import Awaitable, Callable

import msgspec

from endivespindle.exceptions import EndivespindleError, PlatformError
from endivespindle.node.context import NodeContext
from endivespindle.node.relay import watches_platform
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

_RETRY_PAUSE_S = 0.3
_GATE_PAUSE_S = 0.5
_WATCHES_PER_BOUND = 6

_Load = Callable[[], Awaitable[None]]


class ConfigSync:
    """Watches the platform; one task for the register, one for the keys.

    Args:
        ctx: Shared state of the VM.
        store: The object API.
    """

    __slots__ = ("_ctx", "_store", "store_heard_s")

    def __init__(self, *, ctx: NodeContext, store: ObjectStore):
        self._ctx = ctx
        self._store = store
        self.store_heard_s = ctx.clock.monotonic() - 1e9

    def store_age_s(self) -> float:
        """Returns the seconds since the platform was last heard from."""
        return self._ctx.clock.monotonic() - self.store_heard_s

    async def watch_register(self) -> None:
        """Follows the root object for as long as the VM runs."""
        await self._follow(ROOT_KIND, self.load_register)

    async def watch_keys(self) -> None:
        """Follows the table of keys for as long as the VM runs."""
        await self._follow(KEYS_KIND, self.load_keys)

    async def load_register(self) -> None:
        """Reads the root object and the revision that it names."""
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
            self._ctx.news.set()
            self._ctx.log.info("register_in_force", revision=root.revision)

    async def load_keys(self) -> None:
        """Reads the table of keys."""
        started_s = self._ctx.clock.monotonic()
        root, _ = await read_object(
            self._store, kind=KEYS_KIND, name=KEYS_NAME, cls=KeyTableRoot
        )
        if root is not None and self._ctx.keys.offer(root):
            self._ctx.news.set()
            self._ctx.log.info("keys_in_force", generation=root.generation)
        self._ctx.keys.freshness.confirm(asked_s=started_s)

    async def _follow(self, kind: str, load: _Load) -> None:
        after = -1
        while True:
            if not watches_platform(self._ctx):
                after = -1
                await asyncio.sleep(_GATE_PAUSE_S)
                continue
            try:
                if after < 0:
                    listed = await self._store.list_objects(kind=kind)
                    after = listed.version
                    await load()
                self._heard()
                after = await self._next_change(kind, after, load)
                self._heard()
            except PlatformError as exc:
                self._ctx.log.debug("watch_failed", kind=kind, error=str(exc))
                await asyncio.sleep(_RETRY_PAUSE_S)
                after = -1
            except (EndivespindleError, msgspec.MsgspecError) as exc:
                self._ctx.log.error("watch_broken", kind=kind, error=str(exc))
                await asyncio.sleep(_RETRY_PAUSE_S)
                after = -1

    async def _next_change(self, kind: str, after: int, load: _Load) -> int:
        wait_s = min(
            self._ctx.settings.platform.watch_wait_s,
            self._ctx.settings.keys.max_unconfirmed_s / _WATCHES_PER_BOUND,
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

    def _heard(self) -> None:
        self.store_heard_s = self._ctx.clock.monotonic()
