"""Fair admission of requests within the capacity of their service."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

import msgspec

from endivespindle.accounts.admission_queue import (
    AdmissionQueue,
    QueuedRequest,
    Refusal,
)
from endivespindle.accounts.shares import AccountShares
from endivespindle.core.reasons import Reason
from endivespindle.exceptions import RefusedError
from endivespindle.node.context import NodeContext

__all__ = ["Admission", "AdmittedRequest"]

_ADMIT_INTERVAL_S = 0.02
_RETRY_AFTER_S = 1.0
_OVERCOMMIT_FACTOR = 1.06

_Waiter = asyncio.Future[None]


class AdmittedRequest(msgspec.Struct, kw_only=True):
    """A request that was admitted and runs.

    Attributes:
        within_share: Whether its account requested no more than its share.
        tokens: Tokens served; set while the request runs.
    """

    within_share: bool
    tokens: int = 0


class Admission:
    """Queues requests per service and admits them in fair order.

    Args:
        ctx: Shared state of the VM.

    Attributes:
        running: Admitted requests that have not ended.
    """

    __slots__ = (
        "_accounts_revision",
        "_ctx",
        "_has_queued",
        "_max_running",
        "_shares",
        "running",
    )

    def __init__(self, *, ctx: NodeContext):
        self._ctx = ctx
        self._max_running = ctx.settings.limits.max_inflight_requests
        self._shares: AccountShares[_Waiter] = ctx.shares
        self._has_queued = asyncio.Event()
        self._accounts_revision = -1
        self.running = 0

    async def run(self) -> None:
        """Admits queued requests periodically while there are any.

        Quotas change between requests, for example as peers report demand.
        """
        while True:
            await self._has_queued.wait()
            queued = 0
            for gate in self._shares.admission_queues:
                self._admit(gate)
                queued += gate.waiting
            if not queued:
                self._has_queued.clear()
            await asyncio.sleep(_ADMIT_INTERVAL_S)

    @contextlib.asynccontextmanager
    async def slot(
        self, *, service: str, account: str, cost: float, timeout_s: float
    ) -> AsyncIterator[AdmittedRequest]:
        """Waits for admission and counts the request until it ends.

        Args:
            service: Service that will run the request.
            account: Client account of the request.
            cost: Estimated cost, in tokens.
            timeout_s: Seconds until the deadline of the request.

        Raises:
            RefusedError: The account is over its cap, the queue is full, the
                deadline would pass before admission, or no server is live.
        """
        gate = self._queue_for(service)
        request = self._make_request(account, cost, timeout_s)
        for refusal in gate.enqueue(request):
            self._refuse(refusal)
        self._admit(gate)
        if gate.waiting:
            self._has_queued.set()
        await self._wait_admitted(gate, request, timeout_s)
        admitted = AdmittedRequest(within_share=request.within_share)
        try:
            yield admitted
        finally:
            self._shares.count_tokens(account, admitted.tokens)
            self._end_request(gate, request, float(admitted.tokens))

    def _queue_for(self, service: str) -> AdmissionQueue[_Waiter]:
        view = self._ctx.view()
        if view.revision != self._accounts_revision:
            self._shares.set_accounts(view.accounts.values())
            self._accounts_revision = view.revision
        live = self._ctx.available_servers(service)
        if not live:
            raise RefusedError(
                Reason.NO_BACKEND_SERVER, retry_after_s=_RETRY_AFTER_S
            )
        servers = max(1, self._ctx.tracker.count_usable(live))
        slots = servers * view.services[service].slots_per_server
        gate = self._shares.admission_queue(
            service, slots=slots * _OVERCOMMIT_FACTOR
        )
        gate.typical_s = self._ctx.tracker.typical_s(service)
        return gate

    def _make_request(
        self, account: str, cost: float, timeout_s: float
    ) -> QueuedRequest[_Waiter]:
        cap_wait_s = self._shares.cap_wait_s(account)
        if cap_wait_s:
            raise RefusedError(Reason.ACCOUNT_LIMIT, retry_after_s=cap_wait_s)
        client_account = self._ctx.view().accounts.get(account)
        return QueuedRequest(
            account=account,
            item=asyncio.get_running_loop().create_future(),
            cost=cost,
            weight=self._shares.weight(account),
            deadline_s=self._ctx.clock.monotonic() + timeout_s,
            max_inflight=client_account.max_inflight if client_account else 0,
        )

    async def _wait_admitted(
        self,
        gate: AdmissionQueue[_Waiter],
        request: QueuedRequest[_Waiter],
        timeout_s: float,
    ) -> None:
        """Waits until the request is admitted or refused."""
        try:
            await asyncio.wait_for(asyncio.shield(request.item), timeout_s)
        except (TimeoutError, asyncio.CancelledError) as exc:
            if request.item.done() and request.item.exception() is None:
                self._end_request(gate, request, 0.0)
            else:
                gate.cancel(request)
                request.item.cancel()
            if isinstance(exc, asyncio.CancelledError):
                raise
            raise RefusedError(
                Reason.DEADLINE_NOT_RUN, retry_after_s=_RETRY_AFTER_S
            ) from exc

    def _admit(self, gate: AdmissionQueue[_Waiter]) -> None:
        """Admits requests and refuses those that would miss their deadline."""
        for refusal in gate.remove_expired():
            self._refuse(refusal)
        if self.running < self._max_running:
            for request in gate.admit():
                self.running += 1
                request.item.set_result(None)
        for refusal in gate.remove_expired(margin_s=gate.typical_s):
            self._refuse(refusal)

    def _end_request(
        self,
        gate: AdmissionQueue[_Waiter],
        request: QueuedRequest[_Waiter],
        tokens: float,
    ) -> None:
        self.running -= 1
        gate.end_request(request, tokens=tokens)
        self._admit(gate)

    @staticmethod
    def _refuse(refusal: Refusal[_Waiter]) -> None:
        """Ends the wait of a queued request with an error."""
        fut = refusal.request.item
        if not fut.done():
            fut.set_exception(
                RefusedError(
                    refusal.reason, retry_after_s=refusal.retry_after_s
                )
            )
