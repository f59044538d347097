"""Reaches the store through a controller while it turns this VM away.

The platform's store may reject or ignore single VMs while it serves the others.
A gateway in that position can neither accept a job nor commit a result. Its
controllers say in their replies whether they reach the store; one that does
makes the call in its place.

A call that is made twice does no harm: reads have no effect, and a conditional
write takes effect once, after which its condition no longer holds. Callers
recognize their own write by its token.
"""

import asyncio
import enum
from collections.abc import Awaitable, Callable, Sequence
from typing import TypeVar

import msgspec

from endivespindle.core.clock import Clock
from endivespindle.core.decoding import decode_msgpack
from endivespindle.exceptions import (
    AnswerLostError,
    ConflictError,
    PeerError,
    PlatformError,
    PlatformUnavailableError,
)
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
    "ProxiedStore",
    "StoreOperation",
    "StoreReply",
    "StoreStatus",
    "serve_store_operation",
]

# Time after which a call is made through a controller as well. The store
# responds in a few milliseconds, and in a few hundred while it is slow.
_HEDGE_DELAY_S = 0.4
# Time after a failed direct call for which controllers are asked first.
_AVOID_DIRECT_S = 3.0
# Timeout of a call through a controller; its own call to the store may take
# 1.5 s.
_PROXY_TIMEOUT_S = 1.7

T = TypeVar("T")


class StoreMethod(enum.StrEnum):
    """Operation on one object."""

    GET = "get"
    PUT = "put"
    DELETE = "delete"


class StoreOperation(msgspec.Struct, kw_only=True):
    """An operation on one object of the store.

    Attributes:
        method: Operation.
        kind: Kind of the object.
        name: Name of the object.
        value: New value of a `PUT`.
        expect_version: Version that the object must have; 0 if it must not
            exist. Unused by a `GET`.
    """

    method: StoreMethod
    kind: str
    name: str
    value: bytes = b""
    expect_version: int = 0


class StoreStatus(enum.StrEnum):
    """Outcome of an operation."""

    OK = "ok"
    CONFLICT = "conflict"
    NOT_DONE = "not_done"
    UNKNOWN = "unknown"


class StoreReply(msgspec.Struct, kw_only=True):
    """Outcome of a `StoreOperation`.

    Attributes:
        status: Whether it was carried out.
        found: Object read by a `GET`.
        version: Version written by a `PUT`.
        error: Error message; empty if there was none.
    """

    status: StoreStatus
    found: StoredObject | None = None
    version: int = 0
    error: str = ""


_STATUS_BY_ERROR: tuple[tuple[type[PlatformError], StoreStatus], ...] = (
    (ConflictError, StoreStatus.CONFLICT),
    (AnswerLostError, StoreStatus.UNKNOWN),
    (PlatformError, StoreStatus.NOT_DONE),
)
_ERROR_BY_STATUS: dict[StoreStatus, type[PlatformError]] = {
    StoreStatus.CONFLICT: ConflictError,
    StoreStatus.UNKNOWN: AnswerLostError,
    StoreStatus.NOT_DONE: PlatformUnavailableError,
}
_UNANSWERED = (AnswerLostError, PlatformUnavailableError)


async def serve_store_operation(
    store: ObjectStore, op: StoreOperation
) -> StoreReply:
    """Carries out an operation for another node."""
    try:
        return await _carry_out(store, op)
    except PlatformError as exc:
        status = next(s for cls, s in _STATUS_BY_ERROR if isinstance(exc, cls))
        return StoreReply(status=status, error=str(exc))


async def _carry_out(store: ObjectStore, op: StoreOperation) -> StoreReply:
    if op.method is StoreMethod.GET:
        found = await store.get(kind=op.kind, name=op.name)
        return StoreReply(status=StoreStatus.OK, found=found)
    if op.method is StoreMethod.DELETE:
        await store.delete(
            kind=op.kind, name=op.name, expect_version=op.expect_version
        )
        return StoreReply(status=StoreStatus.OK)
    version = await store.put(
        kind=op.kind,
        name=op.name,
        value=op.value,
        expect_version=op.expect_version,
    )
    return StoreReply(status=StoreStatus.OK, version=version)


class ProxiedStore(ObjectStore):
    """Calls the store, and a controller if the store does not respond.

    Lists and watches always go to the store.

    Args:
        store: The object API.
        peers: Client for calls to other nodes.
        relays: Returns the controllers.
        selector: Orders the controllers by whether they reach the store.
        clock: Clock of this VM.
        on_switch: Called when calls begin to go through a controller first,
            with the error of the direct call, and with an empty text when the
            store responds again.
    """

    __slots__ = (
        "_avoid_until_s",
        "_background",
        "_clock",
        "_find_relays",
        "_is_avoiding",
        "_on_switch",
        "_peers",
        "_selector",
        "_store",
    )

    def __init__(
        self,
        *,
        store: ObjectStore,
        peers: PeerClient,
        relays: Callable[[], Sequence[NodeRecord]],
        selector: RelaySelector,
        clock: Clock,
        on_switch: Callable[[str], None],
    ):
        self._store = store
        self._peers = peers
        self._find_relays = relays
        self._selector = selector
        self._clock = clock
        self._on_switch = on_switch
        self._avoid_until_s = 0.0
        self._is_avoiding = False
        self._background: set[asyncio.Task[StoreReply]] = set()

    async def get(self, *, kind: str, name: str) -> StoredObject | None:
        """Returns an object, or None if there is none."""
        reply = await self._call(
            StoreOperation(method=StoreMethod.GET, kind=kind, name=name)
        )
        return reply.found

    async def put(
        self, *, kind: str, name: str, value: bytes, expect_version: int
    ) -> int:
        """Writes an object if it still has a version."""
        reply = await self._call(
            StoreOperation(
                method=StoreMethod.PUT,
                kind=kind,
                name=name,
                value=value,
                expect_version=expect_version,
            )
        )
        return reply.version

    async def delete(
        self, *, kind: str, name: str, expect_version: int
    ) -> None:
        """Deletes an object if it still has a version."""
        await self._call(
            StoreOperation(
                method=StoreMethod.DELETE,
                kind=kind,
                name=name,
                expect_version=expect_version,
            )
        )

    async def list_objects(self, *, kind: str, prefix: str = "") -> ObjectList:
        """Returns the objects of a kind whose names start with a prefix."""
        return await self._store.list_objects(kind=kind, prefix=prefix)

    async def watch(
        self, *, kind: str, after: int, wait_s: float
    ) -> WatchEvents:
        """Waits for changes of a kind after a version."""
        return await self._store.watch(kind=kind, after=after, wait_s=wait_s)

    async def _call(self, op: StoreOperation) -> StoreReply:
        """Carries out an operation on the path that responds first.

        Raises:
            ConflictError: The object has another version.
            AnswerLostError: The operation may have been carried out.
            PlatformUnavailableError: It was not carried out.
        """
        paths: list[Callable[[StoreOperation], Awaitable[StoreReply]]] = [
            self._call_directly,
            self._call_through_controller,
        ]
        hedge_delay_s = _HEDGE_DELAY_S
        if self._clock.monotonic() < self._avoid_until_s:
            paths.reverse()
        elif self._is_avoiding:
            # The store may still turn this VM away: one call tries it, and no
            # caller waits for it.
            hedge_delay_s = 0.0
            self._avoid_direct("")
        errors: list[PlatformError] = []
        pending: set[asyncio.Task[StoreReply]] = set()
        while paths or pending:
            if paths:
                pending.add(self._spawn(paths.pop(0)(op)))
            done, pending = await asyncio.wait(
                pending,
                timeout=hedge_delay_s if paths else None,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not done and not self._is_avoiding:
                self._avoid_direct(f"no response within {_HEDGE_DELAY_S} s")
            for task in done:
                exc = task.exception()
                if exc is None or not isinstance(exc, _UNANSWERED):
                    # The slower path ends by itself: its write has no effect.
                    return task.result()
                errors.append(exc)
        raise max(errors, key=lambda e: isinstance(e, AnswerLostError))

    def _spawn(self, call: Awaitable[StoreReply]) -> asyncio.Task[StoreReply]:
        task = asyncio.ensure_future(call)
        self._background.add(task)
        task.add_done_callback(self._forget)
        return task

    def _forget(self, task: asyncio.Task[StoreReply]) -> None:
        self._background.discard(task)
        if not task.cancelled():
            # Marks the exception as retrieved if the call was not awaited.
            task.exception()

    async def _call_directly(self, op: StoreOperation) -> StoreReply:
        try:
            reply = await _carry_out(self._store, op)
        except _UNANSWERED as exc:
            self._avoid_direct(str(exc))
            raise
        self._avoid_until_s = 0.0
        if self._is_avoiding:
            self._is_avoiding = False
            self._on_switch("")
        return reply

    def _avoid_direct(self, error: str) -> None:
        self._avoid_until_s = self._clock.monotonic() + _AVOID_DIRECT_S
        if not self._is_avoiding:
            self._is_avoiding = True
            self._on_switch(error)

    async def _call_through_controller(self, op: StoreOperation) -> StoreReply:
        relay = self._choose_relay()
        if relay is None:
            raise PlatformUnavailableError(
                f"{op.method} {op.kind}: no controller reaches the store"
            )
        try:
            body = await self._peers.post(
                relay, "/store", op, timeout_s=_PROXY_TIMEOUT_S
            )
            reply = decode_msgpack(body, type=StoreReply)
        except (PeerError, msgspec.MsgspecError) as exc:
            raise AnswerLostError(f"{relay.name}: {exc}") from exc
        if reply.status is not StoreStatus.OK:
            raise _ERROR_BY_STATUS[reply.status](f"{relay.name}: {reply.error}")
        return reply

    def _choose_relay(self) -> NodeRecord | None:
        """Returns the first controller that may reach the store."""
        by_name = {node.name: node for node in self._find_relays()}
        names = self._selector.candidates(
            {name: node.data_centre for name, node in by_name.items()}
        )
        fresh = [name for name in names if not self._selector.is_stale(name)]
        return by_name[fresh[0]] if fresh else None
