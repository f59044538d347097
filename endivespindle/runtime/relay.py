"""Relays one store watch per data centre to the gateways there.

A controller watches a kind in the store and caches its objects. The gateways
of its data centre watch the controller as they would watch the store, and
fall back to the store while the controller does not reply. The number of
store calls thus grows with the data centres, not with the nodes.
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

__all__ = [
    "MAX_RELAY_WAIT_S",
    "RelayReply",
    "RelayRequest",
    "RelayedStore",
    "WatchCache",
]

# Changes retained for watchers that are behind; one that is further behind
# has to list again.
_MAX_CHANGES = 512
# Longest wait of a watch at a relay. It is short so that an unresponsive relay
# is detected within the bounds on revoked keys and on leaving servers.
MAX_RELAY_WAIT_S = 0.6
# Time beyond the requested wait after which a relay counts as unresponsive.
_REPLY_MARGIN_S = 0.3
# Time after a relay's failure for which the store is read directly.
_RELAY_RETRY_S = 3.0
# Interval between checks for a relay that is not known yet.
_RELAY_POLL_S = 0.1


class RelayRequest(msgspec.Struct, kw_only=True):
    """Requests the objects or changes of a kind from a relay.

    Attributes:
        kind: Kind of objects.
        after: Store version after which changes are requested; negative to
            request all objects.
        wait_s: Longest wait for a change, in seconds.
    """

    kind: str
    after: int
    wait_s: float


class RelayReply(msgspec.Struct, kw_only=True):
    """Objects or changes of a kind, as cached by a relay.

    Attributes:
        version: Version of the store that the reply reflects.
        objects: All objects, or those that changed.
        lost: Whether the requested changes are no longer retained.
        lag_s: Seconds from the time the relay sent its last answered read of
            the store to the arrival of this request; negative if the read was
            sent later.
    """

    version: int
    objects: list[StoredObject]
    lost: bool = False
    lag_s: float = 0.0


class WatchCache:
    """Objects of one kind and their recent changes, cached by a relay.

    Args:
        clock: Clock of this VM.
        max_age_s: Age of the last answered store read beyond which requests
            are not served.
    """

    __slots__ = (
        "_changes",
        "_clock",
        "_confirmed_s",
        "_history_start",
        "_max_age_s",
        "_objects",
        "_updated",
        "_version",
    )

    def __init__(self, *, clock: Clock, max_age_s: float):
        self._clock = clock
        self._max_age_s = max_age_s
        self._objects: dict[str, StoredObject] = {}
        self._changes: collections.deque[StoredObject] = collections.deque(
            maxlen=_MAX_CHANGES
        )
        self._version = -1
        self._history_start = 0
        self._confirmed_s = -math.inf
        self._updated = asyncio.Event()

    def replace_all(self, objects: list[StoredObject]) -> None:
        """Replaces all objects; watchers have to list again."""
        self._objects = {obj.name: obj for obj in objects}
        self._changes.clear()
        self._history_start = -1

    def apply(self, obj: StoredObject) -> None:
        """Applies a change."""
        if obj.value is None:
            self._objects.pop(obj.name, None)
        else:
            self._objects[obj.name] = obj
        if len(self._changes) == _MAX_CHANGES:
            self._history_start = self._changes[0].version
        self._changes.append(obj)

    def confirm(self, *, version: int, asked_s: float) -> None:
        """Records the version reached in the store, and wakes watchers.

        Args:
            version: Version of the store that the cache reflects.
            asked_s: Monotonic time at which the store read was sent.
        """
        if self._history_start < 0:
            self._history_start = version
        self._version = version
        self._confirmed_s = asked_s
        self._updated.set()
        self._updated = asyncio.Event()

    def is_fresh(self) -> bool:
        """Returns whether the last answered store read is recent enough."""
        return self._clock.monotonic() - self._confirmed_s <= self._max_age_s

    async def handle_request(self, req: RelayRequest) -> RelayReply | None:
        """Serves a watcher's request, waiting for a change if necessary.

        Returns:
            The reply, or None while the store is unreachable.
        """
        arrived_s = self._clock.monotonic()
        if req.after >= 0 and self._version <= req.after:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._updated.wait(), req.wait_s)
        if not self.is_fresh():
            return None
        lost = 0 <= req.after < self._history_start
        if req.after < 0:
            objects = list(self._objects.values())
        else:
            objects = [o for o in self._changes if o.version > req.after]
        return RelayReply(
            version=self._version,
            objects=[] if lost else objects,
            lost=lost,
            lag_s=arrived_s - self._confirmed_s,
        )


class RelayedStore(ObjectStore):
    """Sends lists and watches to a relay if there is one, else to the store.

    All other operations go to the store.

    Args:
        store: The object API.
        peers: Client for calls to other nodes.
        relay: Returns the node to watch, or None for the store itself.
        clock: Clock of this VM.
        on_relay_failure: Called with the relay's name and the error when a
            relay does not reply.
        max_wait_s: Longest wait of a watch at a relay, in seconds.
        wait_for_relay_s: Seconds for which the first list waits until a relay
            is known.
    """

    __slots__ = (
        "_clock",
        "_failed_until_s",
        "_find_relay",
        "_max_wait_s",
        "_on_relay_failure",
        "_peers",
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
        on_relay_failure: Callable[[str, str], None],
        max_wait_s: float = MAX_RELAY_WAIT_S,
        wait_for_relay_s: float = 0.0,
    ):
        self._store = store
        self._peers = peers
        self._find_relay = relay
        self._clock = clock
        self._on_relay_failure = on_relay_failure
        self._max_wait_s = max_wait_s
        self._wait_for_relay_s = wait_for_relay_s
        self._failed_until_s: dict[str, float] = {}

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
        remaining_s, self._wait_for_relay_s = self._wait_for_relay_s, 0.0
        while remaining_s > 0 and self._usable_relay() is None:
            await asyncio.sleep(_RELAY_POLL_S)
            remaining_s -= _RELAY_POLL_S
        relay = self._usable_relay()
        if relay is not None:
            req = RelayRequest(kind=kind, after=-1, wait_s=_REPLY_MARGIN_S)
            try:
                events = await self._request(relay, req)
            except PeerError as exc:
                self._mark_failed(relay, exc)
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
        relay = self._usable_relay()
        if relay is not None:
            req = RelayRequest(
                kind=kind, after=after, wait_s=min(wait_s, self._max_wait_s)
            )
            try:
                return await self._request(relay, req)
            except PeerError as exc:
                self._mark_failed(relay, exc)
                # The relay's last state may be old: read without waiting.
                wait_s = 0.0
        return await self._store.watch(kind=kind, after=after, wait_s=wait_s)

    async def _request(
        self, relay: NodeRecord, req: RelayRequest
    ) -> WatchEvents:
        body = await self._peers.post(
            relay, "/relay", req, timeout_s=req.wait_s + _REPLY_MARGIN_S
        )
        try:
            reply = msgspec.msgpack.decode(body, type=RelayReply | None)
        except msgspec.MsgspecError as exc:
            raise PeerError(f"{relay.name}: {exc}") from exc
        if reply is None:
            raise PeerError(f"{relay.name}: cannot reach the store")
        return WatchEvents(
            version=reply.version,
            objects=reply.objects,
            lost=reply.lost,
            lag_s=reply.lag_s,
        )

    def _mark_failed(self, relay: NodeRecord, exc: PeerError) -> None:
        self._failed_until_s[relay.name] = (
            self._clock.monotonic() + _RELAY_RETRY_S
        )
        self._on_relay_failure(relay.name, str(exc))

    def _usable_relay(self) -> NodeRecord | None:
        """Returns the relay, unless it failed recently."""
        relay = self._find_relay()
        if relay is None:
            return None
        now_s = self._clock.monotonic()
        return (
            relay
            if self._failed_until_s.get(relay.name, 0.0) <= now_s
            else None
        )
