"""Orders of backend servers from the platform."""

import asyncio

import msgspec

from endivespindle.controller.capacity_plan import (
    SCALE_DOWN_DELAY_S,
    SlotDemandTracker,
    plan_capacity,
)
from endivespindle.controller.operations import (
    CapacityRequest,
    OperationOutcome,
    Operations,
)
from endivespindle.exceptions import PlatformError
from endivespindle.runtime.context import RuntimeContext
from endivespindle.runtime.duty_lease import DUTY_CALL_TIMEOUT_S, DutyLease
from endivespindle.serving.active_config import ActiveConfig
from endivespindle.serving.directory import ServerDirectory
from endivespindle.store.object_store import StatusStore
from endivespindle.store.update import read_object

__all__ = ["CapacityOrders"]

_BASELINE_SERVERS_KIND = "owned-servers"
_CAPACITY_INTERVAL_S = 1.0


class _BaselineServers(msgspec.Struct, kw_only=True):
    """Number of servers a service had before any was ordered."""

    count: int


class CapacityOrders:
    """Orders servers by the demand of the gateways' jobs.

    Args:
        ctx: State shared by the components of the node.
        store: The object API.
        operations: The platform's operations API, if there is one.
        lease: Lease under which orders are sent.
        config: Configuration, which names the services.
        directory: Known backend servers.
    """

    __slots__ = (
        "_baseline_counts",
        "_config",
        "_ctx",
        "_directory",
        "_lease",
        "_operations",
        "_ordered_capacity",
        "_slot_demand",
        "_store",
    )

    def __init__(
        self,
        *,
        ctx: RuntimeContext,
        store: StatusStore,
        operations: Operations | None,
        lease: DutyLease,
        config: ActiveConfig,
        directory: ServerDirectory,
    ):
        self._ctx = ctx
        self._store = store
        self._operations = operations
        self._lease = lease
        self._config = config
        self._directory = directory
        self._slot_demand = SlotDemandTracker(clock=ctx.clock)
        self._ordered_capacity: dict[str, dict[str, int]] = {}
        self._baseline_counts: dict[str, int] = {}

    def record_demand(self, node: str, slots: dict[str, int]) -> None:
        """Records the slots that a gateway's jobs need, by service."""
        self._slot_demand.record(node, slots)

    def baseline_count(self, service: str) -> int:
        """Returns how many servers a service had before any was ordered.

        Returns:
            0 if none was ordered, or if it is not known yet.
        """
        return self._baseline_counts.get(service, 0)

    async def run(self) -> None:
        """Orders backend servers for the services that may be scaled."""
        self._ordered_capacity.clear()
        self._baseline_counts.clear()
        clock = self._ctx.clock
        start_s = clock.monotonic()
        while self._operations is not None:
            await asyncio.sleep(_CAPACITY_INTERVAL_S)
            config = self._config.config
            if config is None:
                continue
            for spec in config.services:
                if spec.scaling is None:
                    continue
                if not await self._read_baseline_count(spec.name):
                    continue
                requests = plan_capacity(
                    spec,
                    self._directory.available_servers(spec.name),
                    self._usable_data_centres(),
                    peak=self._slot_demand.peak(spec.name),
                    ordered=self._ordered_capacity.get(spec.name, {}),
                    may_scale_down=clock.monotonic() - start_s
                    >= SCALE_DOWN_DELAY_S,
                )
                for request in requests:
                    await self._order_servers(request)

    def _usable_data_centres(self) -> list[str]:
        """Returns the data centres in which servers may be ordered.

        The servers of an evacuated one do not count, so that what they served
        is ordered in the others.
        """
        evacuated = self._directory.evacuated_data_centres()
        return [
            name
            for name in self._ctx.settings.data_centres
            if name not in evacuated
        ]

    async def _read_baseline_count(self, service: str) -> bool:
        """Reads how many servers a service had before any was ordered.

        Returns:
            Whether the read succeeded, also if none was ordered yet.
        """
        if service in self._baseline_counts:
            return True
        try:
            stored, _ = await read_object(
                self._store,
                kind=_BASELINE_SERVERS_KIND,
                name=service,
                cls=_BaselineServers,
            )
        except PlatformError as exc:
            self._ctx.log.event(
                "owned_servers_unknown", service=service, error=str(exc)
            )
            return False
        self._baseline_counts[service] = stored.count if stored else 0
        return True

    async def _write_baseline_count(self, service: str) -> None:
        """Stores how many servers a service has, before the first order.

        Raises:
            PlatformError: The number could not be written.
        """
        if self._baseline_counts.get(service):
            return
        count = len(self._directory.available_servers(service))
        await self._store.put(
            kind=_BASELINE_SERVERS_KIND,
            name=service,
            value=msgspec.json.encode(_BaselineServers(count=count)),
            expect_version=0,
        )
        self._baseline_counts[service] = count

    async def _order_servers(self, request: CapacityRequest) -> None:
        if self._operations is None or not self._lease.may_send():
            return
        try:
            await self._write_baseline_count(request.service)
            answer = await self._operations.order_capacity(
                request,
                fencing_token=self._lease.fencing_token(),
                timeout_s=DUTY_CALL_TIMEOUT_S,
            )
        except PlatformError as exc:
            self._ctx.log.event(
                "capacity_not_ordered",
                service=request.service,
                data_centre=request.data_centre,
                error=str(exc),
            )
            return
        self._ctx.log.event(
            "capacity_ordered",
            service=request.service,
            data_centre=request.data_centre,
            servers=request.servers,
            spot=request.spot,
            epoch=self._lease.epoch,
            outcome=answer.value,
        )
        if answer is OperationOutcome.TAKEN:
            ordered = self._ordered_capacity.setdefault(request.service, {})
            ordered[request.data_centre] = request.servers
