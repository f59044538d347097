"""Fair admission of requests, by what their service can take."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

import msgspec

from endivespindle.accounts.service_gate import (
    GateRequest,
    Refusal,
    ServiceGate,
)
from endivespindle.accounts.shares import AccountShares
from endivespindle.core.reasons import Reason
from endivespindle.exceptions import RefusedError
from endivespindle.node.context import NodeContext

__all__ = ["Admission", "AdmittedRequest"]

_WAKE_INTERVAL_S = 0.02
_RETRY_AFTER_S = 1.0
_OVERCOMMIT = 1.06

_Waiter = asyncio.Future[None]


class AdmittedRequest(msgspec.Struct, kw_only=True):
    """A request's turn to run.

    Attributes:
        within_share: Whether its account asked for no more than its share.
        tokens: Tokens served; to be set while it runs.
    """

    within_share: bool
    tokens: int = 0


class Admission:
    """Waits at the gates of the services.

    Args:
        ctx: Shared state of the VM.
    """

    __slots__ = (
        "_ctx",
        "_max_running",
        "_queued",
        "_revision",
        "_shares",
        "running",
    )

    def __init__(self, *, ctx: NodeContext):
        self._ctx = ctx
        self._max_running = ctx.settings.limits.max_inflight_requests
        self._shares: AccountShares[_Waiter] = ctx.shares
        self._queued = asyncio.Event()
        self._revision = -1
        self.running = 0

    async def run(self) -> None:
        """Lets waiting requests run as quotas change and peers tell."""
        while True:
            await self._queued.wait()
            waiting = 0
            for gate in self._shares.gates:
                self._wake(gate)
                waiting += gate.waiting
            if not waiting:
                self._queued.clear()
            await asyncio.sleep(_WAKE_INTERVAL_S)

    @contextlib.asynccontextmanager
    async def slot(
        self, *, service: str, account: str, cost: float, timeout_s: float
    ) -> AsyncIterator[AdmittedRequest]:
        """Waits for a turn and holds it.

        Raises:
            RefusedError: The account is over its cap, the queue is full, the
                deadline would pass before its turn, or no server is live.
        """
        gate = self._gate(service)
        request = self._request(account, cost, timeout_s)
        for refusal in gate.offer(request):
            self._refuse(refusal)
        self._wake(gate)
        if gate.waiting:
            self._queued.set()
        await self._wait(gate, request, timeout_s)
        turn = AdmittedRequest(within_share=request.within_share)
        try:
            yield turn
        finally:
            self._shares.count_tokens(account, turn.tokens)
            self._end(gate, request, float(turn.tokens))

    def _gate(self, service: str) -> ServiceGate[_Waiter]:
        view = self._ctx.view()
        if view.revision != self._revision:
            self._shares.take_accounts(view.accounts.values())
            self._revision = view.revision
        live = view.live_servers_of(service)
        if not live:
            raise RefusedError(
                Reason.NO_BACKEND_SERVER, retry_after_s=_RETRY_AFTER_S
            )
        servers = max(1, self._ctx.tracker.usable(live))
        slots = servers * view.services[service].slots_per_server
        gate = self._shares.gate(service, slots=slots * _OVERCOMMIT)
        gate.typical_s = self._ctx.tracker.typical_s(service)
        return gate

    def _request(
        self, account: str, cost: float, timeout_s: float
    ) -> GateRequest[_Waiter]:
        capped_s = self._shares.capped_s(account)
        if capped_s:
            raise RefusedError(Reason.ACCOUNT_LIMIT, retry_after_s=capped_s)
        known = self._ctx.view().accounts.get(account)
        return GateRequest(
            account=account,
            item=asyncio.get_running_loop().create_future(),
            cost=cost,
            weight=self._shares.weight(account),
            deadline_s=self._ctx.clock.monotonic() + timeout_s,
            max_inflight=known.max_inflight if known else 0,
        )

    async def _wait(
        self,
        gate: ServiceGate[_Waiter],
        request: GateRequest[_Waiter],
        timeout_s: float,
    ) -> None:
        """Waits until the gate lets the request run or refuses it."""
        try:
            await asyncio.wait_for(asyncio.shield(request.item), timeout_s)
        except (TimeoutError, asyncio.CancelledError) as exc:
            if request.item.done() and request.item.exception() is None:
                self._end(gate, request, 0.0)
            else:
                gate.withdraw(request)
                request.item.cancel()
            if isinstance(exc, asyncio.CancelledError):
                raise
            raise RefusedError(
                Reason.DEADLINE_NOT_RUN, retry_after_s=_RETRY_AFTER_S
            ) from exc

    def _wake(self, gate: ServiceGate[_Waiter]) -> None:
        """Lets run what may, and refuses what would wait in vain."""
        for refusal in gate.expire():
            self._refuse(refusal)
        if self.running < self._max_running:
            for request in gate.admit():
                self.running += 1
                request.item.set_result(None)
        for refusal in gate.expire(margin_s=gate.typical_s):
            self._refuse(refusal)

    def _end(
        self,
        gate: ServiceGate[_Waiter],
        request: GateRequest[_Waiter],
        tokens: float,
    ) -> None:
        self.running -= 1
        gate.ended(request, tokens=tokens)
        self._wake(gate)

    @staticmethod
    def _refuse(refusal: Refusal[_Waiter]) -> None:
        """Gives a waiting request its final answer at once."""
        waiter = refusal.request.item
        if not waiter.done():
            waiter.set_exception(
                RefusedError(
                    refusal.reason, retry_after_s=refusal.retry_after_s
                )
            )
