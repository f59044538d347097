"""Reports of usage windows to the platform."""

import asyncio

import msgspec

from endivespindle.controller.operations import (
    OperationOutcome,
    Operations,
    UsageWindowReport,
)
from endivespindle.controller.usage_windows import (
    NodeUsageCounts,
    UsageAggregator,
)
from endivespindle.core.decoding import decode_json
from endivespindle.exceptions import ConflictError, PlatformError
from endivespindle.runtime.context import RuntimeContext
from endivespindle.runtime.duty_lease import DUTY_CALL_TIMEOUT_S, DutyLease
from endivespindle.runtime.settings import NodeRole
from endivespindle.store.object_store import StatusStore

__all__ = ["UsageReporter"]

_TICK_S = 0.1
_USAGE_REPORT_KIND = "usage-reports"


class UsageReporter:
    """Sums the usage of all gateways and reports each window once.

    Args:
        ctx: State shared by the components of the node.
        store: The object API.
        operations: The platform's operations API, if there is one.
        lease: Lease under which reports are sent.
    """

    __slots__ = ("_aggregator", "_ctx", "_lease", "_operations", "_store")

    def __init__(
        self,
        *,
        ctx: RuntimeContext,
        store: StatusStore,
        operations: Operations | None,
        lease: DutyLease,
    ):
        self._ctx = ctx
        self._store = store
        self._operations = operations
        self._lease = lease
        self._aggregator = UsageAggregator(
            window_s=ctx.settings.timing.usage_window_s,
            late_s=ctx.settings.timing.usage_late_s,
        )

    def record(self, counts: NodeUsageCounts) -> None:
        """Records the counts of a gateway."""
        self._aggregator.record(counts)

    async def run(self) -> None:
        """Reports each usage window once its counts are final."""
        self._aggregator.start(self._ctx.clock.now().timestamp())
        while self._operations is not None:
            await asyncio.sleep(_TICK_S)
            gateways = self._ctx.fleet.peers(NodeRole.GATEWAY)
            live = [(node.name, node.incarnation) for node in gateways]
            now_s = self._ctx.clock.now().timestamp()
            for report in self._aggregator.due_reports(now_s, live=live):
                try:
                    stored = await self._freeze_report(report)
                    await self._send_report(stored)
                except PlatformError as exc:
                    self._ctx.log.event(
                        "usage_not_reported",
                        window=report.window,
                        error=str(exc),
                    )
                    break

    async def _freeze_report(
        self, report: UsageWindowReport
    ) -> UsageWindowReport:
        """Stores a window's report before it is sent for the first time.

        Returns:
            The report that was stored first, possibly by another holder.

        Raises:
            PlatformError: No report could be stored or read.
        """
        name = str(report.window)
        try:
            await self._store.put(
                kind=_USAGE_REPORT_KIND,
                name=name,
                value=msgspec.json.encode(report),
                expect_version=0,
            )
        except (ConflictError, PlatformError) as exc:
            stored = await self._store.get(kind=_USAGE_REPORT_KIND, name=name)
            if stored is None or stored.value is None:
                raise exc
            return decode_json(stored.value, type=UsageWindowReport)
        return report

    async def _send_report(self, report: UsageWindowReport) -> None:
        if self._operations is None or not self._lease.may_send():
            return
        answer = await self._operations.report_usage(
            report,
            fencing_token=self._lease.fencing_token(),
            timeout_s=DUTY_CALL_TIMEOUT_S,
        )
        self._ctx.log.event(
            "usage_reported",
            window=report.window,
            requests=sum(report.requests.values()),
            accounts=len(report.requests),
            epoch=self._lease.epoch,
            outcome=answer.value,
        )
        if answer is not OperationOutcome.FENCED:
            self._aggregator.mark_reported(report.window)
