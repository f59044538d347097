"""One watch of the store for each data centre, passed on to its gateways.

A controller follows a kind in the store and keeps what it holds. Gateways of
its data centre watch the controller as they would watch the store, and go to
the store themselves while the controller does not answer. So the calls to
the store grow with the data centres, not with the nodes.
"""

import asyncio
import collections
import contextlib
import math
from collections.abc import Callable

import msgspec

from endivespindle.core.clock import Clock
from endivespindle.exceptions import PeerError
from endivespindle.runtime.fleet_view import NodeRecord
from endivespindle.runtime.peer_client import PeerClient
from endivespindle.store.object_store import (
    ObjectList,
    ObjectStore,
    StoredObject,
    WatchEvents,
)

__all__ = ["RELAY_WAIT_S", "KindFeed", "RelayAsk", "RelayReply", "RelayedStore"]

# Changes kept for watchers that are behind; one that is further behind lists
# anew.
_HISTORY = 512
# Longest wait of a watch at a relay. Short, so that a relay that has gone
# silent is noticed within the bounds on keys and on leaving servers.
RELAY_WAIT_S = 0.6
# Time beyond the wait after which the relay counts as silent.
_SLACK_S = 0.3
# Time for which the store is watched directly after a relay failed.
_SHUN_S = 3.0
# Pause between two looks for a relay that is not known yet.
_LOOK_S = 0.1


class RelayAsk(msgspec.Struct, kw_only=True):
    """Asks a relay for a kind.

    Attributes:
        kind: Kind of objects.
        after: Version after which changes are wanted; negative asks for all
            objects.
        wait_s: Seconds for which to wait for news.
    """

    kind: str
    after: int
    wait_s: float


class RelayReply(msgspec.Struct, kw_only=True):
    """What a relay holds of a kind.

    Attributes:
        version: Version of the store that it stands for.
        objects: All objects, or those that changed.
        lost: Whether the changes asked for are no longer kept.
        lag_s: Seconds by which the store's answer that it rests on was asked
            for before the watcher's call arrived; negative if after.
    """

    version: int
    objects: list[StoredObject]
    lost: bool = False
    lag_s: float = 0.0


class KindFeed:
    """What a relay holds of one kind.

    Args:
        clock: Clock of this VM.
        max_age_s: Age of the store's last answer beyond which this node does
            not speak for the store.
    """

    __slots__ = (
        "_asked_s",
        "_changes",
        "_clock",
        "_floor",
        "_max_age_s",
        "_news",
        "_objects",
        "_version",
    )

    def __init__(self, *, clock: Clock, max_age_s: float):
        self._clock = clock
        self._max_age_s = max_age_s
        self._objects: dict[str, StoredObject] = {}
        self._changes: collections.deque[StoredObject] = collections.deque(
            maxlen=_HISTORY
        )
        self._version = -1
        self._floor = 0
        self._asked_s = -math.inf
        self._news = asyncio.Event()

    def take_list(self, objects: list[StoredObject]) -> None:
        """Takes in all objects; watchers list anew."""
        self._objects = {obj.name: obj for obj in objects}
        self._changes.clear()
        self._floor = -1

    def take(self, obj: StoredObject) -> None:
        """Takes in a change."""
        if obj.value is None:
            self._objects.pop(obj.name, None)
        else:
            self._objects[obj.name] = obj
        if len(self._changes) == _HISTORY:
            self._floor = self._changes[0].version
        self._changes.append(obj)

    def confirm(self, *, version: int, asked_s: float) -> None:
        """Notes up to where the store was followed, and wakes watchers."""
        if self._floor < 0:
            self._floor = version
        self._version = version
        self._asked_s = asked_s
        self._news.set()
        self._news = asyncio.Event()

    def is_fresh(self) -> bool:
        """Tells whether the store answered recently."""
        return self._clock.monotonic() - self._asked_s <= self._max_age_s

    async def answer(self, ask: RelayAsk) -> RelayReply | None:
        """Answers a watcher; None while the store is out of reach."""
        arrived_s = self._clock.monotonic()
        if ask.after >= 0 and self._version <= ask.after:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._news.wait(), ask.wait_s)
        if not self.is_fresh():
            return None
        lost = 0 <= ask.after < self._floor
        if ask.after < 0:
            objects = list(self._objects.values())
        else:
            objects = [o for o in self._changes if o.version > ask.after]
        return RelayReply(
            version=self._version,
            objects=[] if lost else objects,
            lost=lost,
            lag_s=arrived_s - self._asked_s,
        )


class RelayedStore(ObjectStore):
    """Watches a relay where there is one, and the store elsewhere.

    Everything but lists and watches goes to the store.

    Args:
        store: The object API.
        peers: Calls other nodes.
        relay: Returns the node to watch, or None for the store itself.
        clock: Clock of this VM.
        on_shunned: Called when a relay does not answer.
        max_wait_s: Longest wait of a watch at a relay.
        wait_for_relay_s: Seconds for which a first list waits for a relay to
            be known.
    """

    __slots__ = (
        "_choose",
        "_clock",
        "_max_wait_s",
        "_on_shunned",
        "_peers",
        "_shunned",
        "_store",
        "_wait_for_relay_s",
    )

    def __init__(
        self,
        *,
        store: ObjectStore,
        peers: PeerClient,
        relay: Callable[[], NodeRecord | None],
        clock: Clock,
        on_shunned: Callable[[str, str], None],
        max_wait_s: float = RELAY_WAIT_S,
        wait_for_relay_s: float = 0.0,
    ):
        self._store = store
        self._peers = peers
        self._choose = relay
        self._clock = clock
        self._on_shunned = on_shunned
        self._max_wait_s = max_wait_s
        self._wait_for_relay_s = wait_for_relay_s
        self._shunned: dict[str, float] = {}

    async def get(self, *, kind: str, name: str) -> StoredObject | None:
        """Returns an object, or None if there is none."""
        return await self._store.get(kind=kind, name=name)

    async def put(
        self, *, kind: str, name: str, value: bytes, expect_version: int
    ) -> int:
        """Writes an object if it still has a version."""
        return await self._store.put(
            kind=kind, name=name, value=value, expect_version=expect_version
        )

    async def delete(
        self, *, kind: str, name: str, expect_version: int
    ) -> None:
        """Deletes an object if it still has a version."""
        await self._store.delete(
            kind=kind, name=name, expect_version=expect_version
        )

    async def list_objects(self, *, kind: str, prefix: str = "") -> ObjectList:
        """Returns the objects of a kind whose names start with a prefix."""
        left_s, self._wait_for_relay_s = self._wait_for_relay_s, 0.0
        while left_s > 0 and self._relay() is None:
            await asyncio.sleep(_LOOK_S)
            left_s -= _LOOK_S
        relay = self._relay()
        if relay is not None:
            ask = RelayAsk(kind=kind, after=-1, wait_s=_SLACK_S)
            try:
                events = await self._ask(relay, ask)
            except PeerError as exc:
                self._shun(relay, exc)
            else:
                objects = [
                    o for o in events.objects if o.name.startswith(prefix)
                ]
                return ObjectList(
                    version=events.version,
                    objects=objects,
                    lag_s=events.lag_s,
                )
        return await self._store.list_objects(kind=kind, prefix=prefix)

    async def watch(
        self, *, kind: str, after: int, wait_s: float
    ) -> WatchEvents:
        """Waits for changes of a kind after a version."""
        relay = self._relay()
        if relay is not None:
            ask = RelayAsk(
                kind=kind, after=after, wait_s=min(wait_s, self._max_wait_s)
            )
            try:
                return await self._ask(relay, ask)
            except PeerError as exc:
                self._shun(relay, exc)
                # What the relay knew last may be old: ask without waiting.
                wait_s = 0.0
        return await self._store.watch(kind=kind, after=after, wait_s=wait_s)

    async def _ask(self, relay: NodeRecord, ask: RelayAsk) -> WatchEvents:
        body = await self._peers.post(
            relay, "/relay", ask, timeout_s=ask.wait_s + _SLACK_S
        )
        try:
            reply = msgspec.msgpack.decode(body, type=RelayReply | None)
        except msgspec.MsgspecError as exc:
            raise PeerError(f"{relay.name}: {exc}") from exc
        if reply is None:
            raise PeerError(f"{relay.name}: does not reach the store")
        return WatchEvents(
            version=reply.version,
            objects=reply.objects,
            lost=reply.lost,
            lag_s=reply.lag_s,
        )

    def _shun(self, relay: NodeRecord, exc: PeerError) -> None:
        self._shunned[relay.name] = self._clock.monotonic() + _SHUN_S
        self._on_shunned(relay.name, str(exc))

    def _relay(self) -> NodeRecord | None:
        """Returns the relay, unless it has not answered of late."""
        relay = self._choose()
        if relay is None:
            return None
        now_s = self._clock.monotonic()
        return relay if self._shunned.get(relay.name, 0.0) <= now_s else None
