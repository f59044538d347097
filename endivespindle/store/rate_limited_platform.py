"""The platform's interfaces, with every call made by a `CallLimiter`."""

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
# Kinds whose objects are created while a caller waits for the response.
_CALLER_AWAITED_KINDS = frozenset({"jobs"})
# Kinds whose state callers wait for after an outage: requests with keys are
# refused until the configuration is confirmed again.
_CALLER_AWAITED_READS = frozenset({"config"})


def _priority(kind: str) -> CallPriority:
    return CallPriority.URGENT if kind in _URGENT_KINDS else CallPriority.BULK


class RateLimitedStore(ObjectStore):
    """An object store whose calls are rate limited.

    Args:
        store: The object API.
        limiter: Limits and counts the calls.
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
            priority=_priority(kind),
        )

    async def get_stale(self, *, kind: str, name: str) -> StoredObject | None:
        """Returns an object that may be seconds old, at a lower cost."""
        return await self._limiter.run(
            f"get_stale:{kind}",
            functools.partial(self._store.get_stale, kind=kind, name=name),
            kind=CallKind.READ,
            priority=_priority(kind),
        )

    async def list_objects(self, *, kind: str, prefix: str = "") -> ObjectList:
        """Returns the objects of a kind whose names start with a prefix."""
        return await self._limiter.run(
            f"list:{kind}",
            functools.partial(
                self._store.list_objects, kind=kind, prefix=prefix
            ),
            kind=CallKind.READ,
            priority=_priority(kind),
            has_waiting_caller=kind in _CALLER_AWAITED_READS,
        )

    async def put(
        self, *, kind: str, name: str, value: bytes, expect_version: int
    ) -> int:
        """Writes an object if it still has the expected version."""
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
            priority=_priority(kind),
            has_waiting_caller=kind in _CALLER_AWAITED_KINDS,
        )

    async def delete(
        self, *, kind: str, name: str, expect_version: int
    ) -> None:
        """Deletes an object if it still has the expected version."""
        await self._limiter.run(
            f"delete:{kind}",
            functools.partial(
                self._store.delete,
                kind=kind,
                name=name,
                expect_version=expect_version,
            ),
            kind=CallKind.WRITE,
            priority=_priority(kind),
        )

    async def watch(
        self, *, kind: str, after: int, wait_s: float
    ) -> WatchEvents:
        """Waits for changes of a kind after a store version."""
        return await self._limiter.run(
            f"watch:{kind}",
            functools.partial(
                self._store.watch, kind=kind, after=after, wait_s=wait_s
            ),
            kind=CallKind.READ,
            priority=_priority(kind),
            has_waiting_caller=kind in _CALLER_AWAITED_READS,
        )


class RateLimitedStatusStore(RateLimitedStore, StatusStore):
    """A rate limited store whose objects have a status.

    Args:
        store: The object API.
        limiter: Limits and counts the calls.
    """

    __slots__ = ("_status_store",)

    def __init__(self, *, store: StatusStore, limiter: CallLimiter):
        super().__init__(store=store, limiter=limiter)
        self._status_store = store

    async def put_status(self, *, kind: str, name: str, value: bytes) -> None:
        """Replaces the status of an object whose value others write."""
        await self._limiter.run(
            f"status:{kind}",
            functools.partial(
                self._status_store.put_status, kind=kind, name=name, value=value
            ),
            kind=CallKind.WRITE,
            priority=_priority(kind),
        )


class RateLimitedCapacity(CapacityInterface):
    """Rate limited capacity interface; orders never wait for the limit.

    Args:
        capacity: The ordering interface.
        limiter: Limits and counts the calls.
    """

    __slots__ = ("_capacity", "_limiter")

    def __init__(self, *, capacity: CapacityInterface, limiter: CallLimiter):
        self._capacity = capacity
        self._limiter = limiter

    async def order(
        self, order: CapacityOrder, *, timeout_s: float
    ) -> CapacityState:
        """Orders an absolute count; returns the resulting capacity."""
        return await self._limiter.run(
            "order",
            functools.partial(self._capacity.order, order, timeout_s=timeout_s),
            kind=CallKind.WRITE,
            priority=CallPriority.URGENT,
            may_wait=False,
        )

    async def state(self, *, data_centre: str, service: str) -> CapacityState:
        """Returns the ordered and the running capacity."""
        return await self._limiter.run(
            "capacity_state",
            functools.partial(
                self._capacity.state, data_centre=data_centre, service=service
            ),
            kind=CallKind.READ,
        )


class RateLimitedUsage(UsageInterface):
    """Rate limited usage interface; reports never wait for the limit.

    Args:
        usage: The reporting interface.
        limiter: Limits and counts the calls.
    """

    __slots__ = ("_limiter", "_usage")

    def __init__(self, *, usage: UsageInterface, limiter: CallLimiter):
        self._usage = usage
        self._limiter = limiter

    async def report(self, report: UsageReport, *, timeout_s: float) -> None:
        """Sends an immutable usage report."""
        await self._limiter.run(
            "report",
            functools.partial(self._usage.report, report, timeout_s=timeout_s),
            kind=CallKind.WRITE,
            priority=CallPriority.URGENT,
            may_wait=False,
        )


class RateLimitedVms(VmListInterface, WeightStore):
    """Rate limited list of VMs and weight store.

    Args:
        vms: The list of VMs.
        weights: The weight store.
        limiter: Limits and counts the calls.
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
