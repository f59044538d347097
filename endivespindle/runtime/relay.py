"""Relays one store watch per data centre to the gateways there.

A controller watches a kind in the store and caches its objects. The gateways
of its data centre watch the controller as they would watch the store. While it
does not reply or cannot reach the store, they watch the controllers of other
data centres, and read the store only if none of them can serve them. The
number of store calls thus grows with the data centres, not with the nodes.
"""

import asyncio
import collections
import contextlib
import math
from collections.abc import Callable, Sequence

import msgspec

from endivespindle.core.clock import Clock
from endivespindle.core.decoding import decode_msgpack
from endivespindle.exceptions import PeerError
from endivespindle.runtime.fleet_view import NodeRecord
from endivespindle.runtime.peer_client import PeerClient
from endivespindle.serving.relay_selection import RelaySelector
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
# Time for which a list waits for the first read of a relay that has just
# started, as after a loss of power of all VMs.
_FIRST_READ_WAIT_S = 0.5
# Least interval between two reads of the store that returned changes: without
# relays every VM reads it itself, and related changes arrive in one response.
_DIRECT_READ_INTERVAL_S = 0.3
# Interval between checks for a relay that is not known yet.
_RELAY_POLL_S = 0.1


class RelayRequest(msgspec.Struct, kw_only=True):
    """Requests the objects or changes of a kind from a relay.

    Attributes:
        kind: Kind of objects.
        after: Store version after which changes are requested; negative to
            request all objects.
        wait_s: Longest wait for a change, in seconds.
        wait_if_stale: Whether to wait as well if the relay cannot reach the
            store, instead of replying at once.
    """

    kind: str
    after: int
    wait_s: float
    wait_if_stale: bool = False


class RelayReply(msgspec.Struct, kw_only=True):
    """Objects or changes of a kind, as cached by a relay.

    Attributes:
        version: Version of the store that the reply reflects.
        objects: All objects, or those that changed.
        lost: Whether the requested changes are no longer retained.
        lag_s: Seconds from the time the relay sent its last answered read of
            the store to the arrival of this request; negative if the read was
            sent later.
        stale: Whether the relay cannot reach the store at present.
    """

    version: int
    objects: list[StoredObject]
    lost: bool = False
    lag_s: float = 0.0
    stale: bool = False


class WatchCache:
    """Objects of one kind and their recent changes, cached by a relay.

    Args:
        clock: Clock of this VM.
        max_age_s: Age of the last answered store read beyond which replies
            are marked as stale.
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
        return self.fresh_for_s() > 0.0

    def fresh_for_s(self) -> float:
        """Returns for how many more seconds that read is recent enough."""
        age_s = self._clock.monotonic() - self._confirmed_s
        return max(0.0, self._max_age_s - age_s)

    async def handle_request(self, req: RelayRequest) -> RelayReply | None:
        """Serves a watcher's request, waiting for a change if necessary.

        Unless the request allows it, the wait ends when the cache gets stale.

        Returns:
            The reply, or None before the first read of the store.
        """
        arrived_s = self._clock.monotonic()
        wait_s = req.wait_s
        if not req.wait_if_stale:
            wait_s = min(wait_s, self.fresh_for_s())
        if wait_s > 0 and (self._version < 0 or self._version <= req.after):
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._updated.wait(), wait_s)
        if self._version < 0:
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
            stale=not self.is_fresh(),
        )


class RelayedStore(ObjectStore):
    """Sends lists and watches to relays if there are any, else to the store.

    All other operations go to the store.

    Args:
        store: The object API.
        peers: Client for calls to other nodes.
        relays: Returns the nodes that relay watches; none for the store.
        selector: Orders the relays and limits reads of the store.
        clock: Clock of this VM.
        on_relay_failure: Called with the relay's name and the error when a
            relay does not reply.
        on_relay_stale: Called with the relay's name and the age of its state
            in seconds when a relay begins to report that it cannot reach the
            store.
        max_wait_s: Longest wait of a watch at a relay, in seconds.
        wait_for_relay_s: Seconds for which the first list waits until a relay
            is known.
    """

    __slots__ = (
        "_clock",
        "_find_relays",
        "_max_wait_s",
        "_next_direct_read_s",
        "_on_relay_failure",
        "_on_relay_stale",
        "_peers",
        "_selector",
        "_store",
        "_wait_for_relay_s",
    )

    def __init__(
        self,
        *,
        store: ObjectStore,
        peers: PeerClient,
        relays: Callable[[], Sequence[NodeRecord]],
        selector: RelaySelector,
        clock: Clock,
        on_relay_failure: Callable[[str, str], None],
        on_relay_stale: Callable[[str, float], None],
        max_wait_s: float = MAX_RELAY_WAIT_S,
        wait_for_relay_s: float = 0.0,
    ):
        self._store = store
        self._peers = peers
        self._find_relays = relays
        self._selector = selector
        self._clock = clock
        self._on_relay_failure = on_relay_failure
        self._on_relay_stale = on_relay_stale
        self._max_wait_s = max_wait_s
        self._wait_for_relay_s = wait_for_relay_s
        self._next_direct_read_s = -math.inf

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
        start_s = self._clock.monotonic()
        remaining_s, self._wait_for_relay_s = self._wait_for_relay_s, 0.0
        while remaining_s > 0 and not self._usable_relays():
            await asyncio.sleep(_RELAY_POLL_S)
            remaining_s -= _RELAY_POLL_S
        relays = self._usable_relays()
        reply = await self._ask_relays(
            relays, kind, after=-1, wait_s=_FIRST_READ_WAIT_S, start_s=start_s
        )
        if reply is None:
            asked_s = self._clock.monotonic()
            listed = await self._store.list_objects(kind=kind, prefix=prefix)
            self._record_store_reached(relays)
            return msgspec.structs.replace(listed, lag_s=start_s - asked_s)
        return ObjectList(
            version=reply.version,
            objects=[o for o in reply.objects if o.name.startswith(prefix)],
            lag_s=reply.lag_s,
        )

    async def watch(
        self, *, kind: str, after: int, wait_s: float
    ) -> WatchEvents:
        """Waits for changes of a kind after a version."""
        start_s = self._clock.monotonic()
        relays = self._usable_relays()
        reply = await self._ask_relays(
            relays,
            kind,
            after=after,
            wait_s=min(wait_s, self._max_wait_s),
            start_s=start_s,
        )
        if reply is None:
            pause_s = self._next_direct_read_s - self._clock.monotonic()
            if pause_s > 0.0:
                await asyncio.sleep(pause_s)
            asked_s = self._clock.monotonic()
            # After relays failed, the last state may be old: do not wait.
            events = await self._store.watch(
                kind=kind, after=after, wait_s=0.0 if relays else wait_s
            )
            self._record_store_reached(relays)
            if events.objects:
                self._next_direct_read_s = (
                    self._clock.monotonic() + _DIRECT_READ_INTERVAL_S
                )
            return msgspec.structs.replace(events, lag_s=start_s - asked_s)
        return WatchEvents(
            version=reply.version,
            objects=reply.objects,
            lost=reply.lost,
            lag_s=reply.lag_s,
        )

    def _record_store_reached(self, relays: Sequence[NodeRecord]) -> None:
        if any(self._selector.is_stale(node.name) for node in relays):
            self._selector.record_store_reached()

    async def _ask_relays(
        self,
        relays: Sequence[NodeRecord],
        kind: str,
        *,
        after: int,
        wait_s: float,
        start_s: float,
    ) -> RelayReply | None:
        """Returns the reply of the first relay that reaches the store.

        If no relay does, the least old of their replies is returned. Only the
        first relay may wait for a change: after a failed attempt the watcher's
        state may be as old as it is allowed to get.

        Args:
            relays: Relays in the order to ask them.
            kind: Kind of objects.
            after: Store version after which changes are requested; negative
                to request all objects.
            wait_s: Longest wait of the first relay, in seconds.
            start_s: Monotonic time from which the age of the reply counts.

        Returns:
            The reply; None if the store is to be read instead.
        """
        best: RelayReply | None = None
        for relay in relays:
            req = self._make_request(relay.name, kind, after, wait_s)
            asked_s = self._clock.monotonic()
            try:
                reply = await self._request(relay, req)
            except PeerError as exc:
                self._selector.record_failure(relay.name)
                self._on_relay_failure(relay.name, str(exc))
                wait_s = 0.0
                continue
            if reply is None:
                self._selector.record_stale(relay.name)
                continue
            reply.lag_s -= asked_s - start_s
            if not reply.stale:
                self._selector.record_reply(relay.name)
                return reply
            if not self._selector.is_stale(relay.name):
                age_s = reply.lag_s + self._clock.monotonic() - start_s
                self._on_relay_stale(relay.name, age_s)
            self._selector.record_stale(relay.name)
            wait_s = 0.0
            if best is None or reply.lag_s < best.lag_s:
                best = reply
        if best is None or self._selector.may_probe_store():
            return None
        return best

    def _make_request(
        self, relay: str, kind: str, after: int, wait_s: float
    ) -> RelayRequest:
        is_stale = self._selector.is_stale(relay)
        if is_stale and after >= 0:
            wait_s = min(wait_s, self._selector.probe_delay_s())
        if self._selector.has_failed(relay):
            # It may not reply again, and the watcher waits for its timeout.
            wait_s = 0.0
        return RelayRequest(
            kind=kind,
            after=after,
            wait_s=wait_s,
            wait_if_stale=after < 0 or is_stale,
        )

    async def _request(
        self, relay: NodeRecord, req: RelayRequest
    ) -> RelayReply | None:
        """Asks a relay; it replies None before its first read of the store."""
        body = await self._peers.post(
            relay, "/relay", req, timeout_s=req.wait_s + _REPLY_MARGIN_S
        )
        try:
            reply: RelayReply | None = decode_msgpack(
                body, type=RelayReply | None
            )
        except msgspec.MsgspecError as exc:
            raise PeerError(f"{relay.name}: {exc}") from exc
        return reply

    def _usable_relays(self) -> list[NodeRecord]:
        """Returns the relays to ask, in this order."""
        by_name = {node.name: node for node in self._find_relays()}
        names = self._selector.candidates(
            {name: node.data_centre for name, node in by_name.items()}
        )
        return [by_name[name] for name in names]
