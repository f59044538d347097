"""The platform's interfaces behind a call gate."""

import functools

from endivespindle.schema.generated.backend import (
    CapacityOrder,
    CapacityState,
    VmList,
)
from endivespindle.schema.generated.stored import UsageReport
from endivespindle.store.call_limiter import CallLimiter
from endivespindle.store.interfaces import (
    CapacityInterface,
    UsageInterface,
    VmListInterface,
    WeightStore,
)
from endivespindle.store.object_store import (
    ObjectList,
    ObjectStore,
    StatusStore,
    StoredObject,
    WatchEvents,
)
from endivespindle.store.rate_limiter import CallKind, CallPriority

__all__ = [
    "RateLimitedCapacity",
    "RateLimitedStatusStore",
    "RateLimitedStore",
    "RateLimitedUsage",
    "RateLimitedVms",
]

_URGENT_KINDS = frozenset(
    {
        "config",
        "job-progress",
        "jobs",
        "keys",
        "lease",
        "register",
        "register-revision",
        "servers",
    }
)
# Kinds whose objects are created while a caller waits.
_AWAITED_KINDS = frozenset({"jobs"})


def _urgency(kind: str) -> CallPriority:
    return CallPriority.URGENT if kind in _URGENT_KINDS else CallPriority.BULK


class RateLimitedStore(ObjectStore):
    """An object store whose calls go through a gate.

    Args:
        store: The object API.
        limiter: Counts calls and holds them back.
    """

    __slots__ = ("_limiter", "_store")

    def __init__(self, *, store: ObjectStore, limiter: CallLimiter):
        self._store = store
        self._limiter = limiter

    async def get(self, *, kind: str, name: str) -> StoredObject | None:
        """Returns an object, or None if there is none."""
        return await self._limiter.run(
            f"get:{kind}",
            functools.partial(self._store.get, kind=kind, name=name),
            kind=CallKind.READ,
            urgency=_urgency(kind),
        )

    async def get_stale(self, *, kind: str, name: str) -> StoredObject | None:
        """Returns an object as it was some seconds ago, at a lower price."""
        return await self._limiter.run(
            f"get_stale:{kind}",
            functools.partial(self._store.get_stale, kind=kind, name=name),
            kind=CallKind.READ,
            urgency=_urgency(kind),
        )

    async def list_objects(self, *, kind: str, prefix: str = "") -> ObjectList:
        """Returns the objects of a kind whose names start with a prefix."""
        return await self._limiter.run(
            f"list:{kind}",
            functools.partial(
                self._store.list_objects, kind=kind, prefix=prefix
            ),
            kind=CallKind.READ,
            urgency=_urgency(kind),
        )

    async def put(
        self, *, kind: str, name: str, value: bytes, expect_version: int
    ) -> int:
        """Writes an object if it still has a version."""
        return await self._limiter.run(
            f"put:{kind}",
            functools.partial(
                self._store.put,
                kind=kind,
                name=name,
                value=value,
                expect_version=expect_version,
            ),
            kind=CallKind.WRITE,
            urgency=_urgency(kind),
            has_waiting_caller=kind in _AWAITED_KINDS,
        )

    async def delete(
        self, *, kind: str, name: str, expect_version: int
    ) -> None:
        """Deletes an object if it still has a version."""
        await self._limiter.run(
            f"delete:{kind}",
            functools.partial(
                self._store.delete,
                kind=kind,
                name=name,
                expect_version=expect_version,
            ),
            kind=CallKind.WRITE,
            urgency=_urgency(kind),
        )

    async def watch(
        self, *, kind: str, after: int, wait_s: float
    ) -> WatchEvents:
        """Waits for changes of a kind after a version."""
        return await self._limiter.run(
            f"watch:{kind}",
            functools.partial(
                self._store.watch, kind=kind, after=after, wait_s=wait_s
            ),
            kind=CallKind.READ,
            urgency=_urgency(kind),
        )


class RateLimitedStatusStore(RateLimitedStore, StatusStore):
    """The same for a store whose objects carry a status.

    Args:
        store: The object API.
        limiter: Counts calls and holds them back.
    """

    __slots__ = ("_statuses",)

    def __init__(self, *, store: StatusStore, limiter: CallLimiter):
        super().__init__(store=store, limiter=limiter)
        self._statuses = store

    async def put_status(self, *, kind: str, name: str, value: bytes) -> None:
        """Replaces the status of an object that another writer keeps."""
        await self._limiter.run(
            f"status:{kind}",
            functools.partial(
                self._statuses.put_status, kind=kind, name=name, value=value
            ),
            kind=CallKind.WRITE,
            urgency=_urgency(kind),
        )


class RateLimitedCapacity(CapacityInterface):
    """Orders that go through a gate, and never wait in it.

    Args:
        capacity: The ordering interface.
        limiter: Counts calls and holds them back.
    """

    __slots__ = ("_capacity", "_limiter")

    def __init__(self, *, capacity: CapacityInterface, limiter: CallLimiter):
        self._capacity = capacity
        self._limiter = limiter

    async def order(
        self, order: CapacityOrder, *, timeout_s: float
    ) -> CapacityState:
        """Sends an absolute order and returns what is in force after it."""
        return await self._limiter.run(
            "order",
            functools.partial(self._capacity.order, order, timeout_s=timeout_s),
            kind=CallKind.WRITE,
            urgency=CallPriority.URGENT,
            may_wait=False,
        )

    async def state(self, *, data_centre: str, service: str) -> CapacityState:
        """Returns what was ordered and what is running."""
        return await self._limiter.run(
            "capacity_state",
            functools.partial(
                self._capacity.state, data_centre=data_centre, service=service
            ),
            kind=CallKind.READ,
        )


class RateLimitedUsage(UsageInterface):
    """Usage reports that go through a gate, and never wait in it.

    Args:
        usage: The reporting interface.
        limiter: Counts calls and holds them back.
    """

    __slots__ = ("_limiter", "_usage")

    def __init__(self, *, usage: UsageInterface, limiter: CallLimiter):
        self._usage = usage
        self._limiter = limiter

    async def report(self, report: UsageReport, *, timeout_s: float) -> None:
        """Sends a frozen report."""
        await self._limiter.run(
            "report",
            functools.partial(self._usage.report, report, timeout_s=timeout_s),
            kind=CallKind.WRITE,
            urgency=CallPriority.URGENT,
            may_wait=False,
        )


class RateLimitedVms(VmListInterface, WeightStore):
    """The list of VMs and of weights, read through a gate.

    Args:
        vms: The list of VMs.
        weights: The weight store.
        limiter: Counts calls and holds them back.
    """

    __slots__ = ("_limiter", "_vms", "_weights")

    def __init__(
        self,
        *,
        vms: VmListInterface,
        weights: WeightStore,
        limiter: CallLimiter,
    ):
        self._vms = vms
        self._weights = weights
        self._limiter = limiter

    async def list_vms(self) -> VmList:
        """Returns live and leaving VMs, as of some seconds ago."""
        return await self._limiter.run(
            "list_vms", self._vms.list_vms, kind=CallKind.READ
        )

    async def versions(self, *, trainer: str) -> list[int]:
        """Returns the versions published for a trainer, oldest first."""
        return await self._limiter.run(
            "weight_versions",
            functools.partial(self._weights.versions, trainer=trainer),
            kind=CallKind.READ,
        )
