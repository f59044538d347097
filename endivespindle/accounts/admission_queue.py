"""Admission of requests to the slots of one service by several entry VMs."""

import math
import random
from typing import Generic, TypeVar

import msgspec

from endivespindle.accounts.fair_queue import FairQueue
from endivespindle.accounts.slots import divide_slots
from endivespindle.core.clock import Clock
from endivespindle.core.reasons import Reason

__all__ = ["AdmissionQueue", "DemandCount", "QueuedRequest", "Refusal"]

T = TypeVar("T")

_REFRESH_INTERVAL_S = 0.02
_ROUNDING_INTERVAL_S = 1.0
_MAX_PEER_AGE_S = 3.0
_RATE_WINDOW_S = 5.0
_MIN_RECENT_ENDED = 3.0
_MIN_RETRY_AFTER_S = 0.1


class DemandCount(msgspec.Struct, kw_only=True, frozen=True):
    """Number of running and waiting requests of an account on one VM."""

    inflight: int
    waiting: int


class QueuedRequest(msgspec.Struct, Generic[T], kw_only=True):
    """A request that waits for admission or runs.

    Attributes:
        account: Client account.
        item: Object of the caller, such as the future on which it waits.
        cost: Expected cost in tokens.
        weight: Share of the account.
        deadline_s: Monotonic time at which the caller stops waiting.
        max_inflight: Limit on the account's concurrent requests; 0 is none.
        within_share: Whether the account's demand was within its share when
            the request was admitted; engines should run it first.
    """

    account: str
    item: T
    cost: float
    weight: float
    deadline_s: float
    max_inflight: int = 0
    within_share: bool = False


class Refusal(msgspec.Struct, Generic[T], kw_only=True, frozen=True):
    """A request that this VM refuses to run.

    Attributes:
        request: Refused request.
        reason: Reason reported to the caller.
        retry_after_s: Seconds after which the caller may retry.
    """

    request: QueuedRequest[T]
    reason: Reason
    retry_after_s: float


class _AccountState(msgspec.Struct, kw_only=True):
    """State of one account on this VM.

    Attributes:
        weight: Share of the account.
        max_inflight: Limit on its concurrent requests; 0 is none.
        inflight: Running requests.
        quota: Slots that this VM may use for the account; fractional.
        rounding_offset: Random offset in [0, 1) that rounds `quota` up or
            down to an integer.
        is_limited: Whether the account was granted fewer slots than demanded.
        recent_ended: Exponentially decayed count of ended requests, as of
            `last_ended_s`.
        last_ended_s: Monotonic time at which a request last ended.
    """

    weight: float = 1.0
    max_inflight: int = 0
    inflight: int = 0
    quota: float = 0.0
    rounding_offset: float = 0.0
    is_limited: bool = False
    recent_ended: float = 0.0
    last_ended_s: float = 0.0


class _PeerDemands(msgspec.Struct, kw_only=True):
    """Demand that a peer reported.

    Attributes:
        received_s: Monotonic time at which the report was received.
        demands: Demand by account.
    """

    received_s: float
    demands: dict[str, DemandCount]


class AdmissionQueue(Generic[T]):
    """Queues and admits requests so that shares apply across all entry VMs.

    Every VM knows its own demand exactly and the demand of its peers from
    their heartbeats. Each VM divides the service's slots among all accounts
    by weighted max-min fairness. Of an account's slots it uses the fraction
    that its own demand has in the account's total demand. Slots that no
    account claims are divided evenly among the VMs.

    Args:
        clock: Clock of this VM.
        rng: Source of the random rounding of fractional quotas.
        max_waiting: Limit on the requests that wait on this VM.
        slots: Slots of the service.

    Attributes:
        inflight: Requests running on this VM.
        slots: Slots of the service.
        typical_s: Typical run time of a request, in seconds.
        weights: Share of each account; the same on every VM.
    """

    __slots__ = (
        "_accounts",
        "_clock",
        "_max_waiting",
        "_peers",
        "_queue",
        "_refreshed_s",
        "_rng",
        "_rounded_s",
        "_spare_slots",
        "inflight",
        "slots",
        "typical_s",
        "weights",
    )

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        max_waiting: int,
        slots: float = 0.0,
    ):
        self._clock = clock
        self._rng = rng
        self._max_waiting = max_waiting
        self._queue: FairQueue[QueuedRequest[T]] = FairQueue()
        self._accounts: dict[str, _AccountState] = {}
        self._peers: dict[str, _PeerDemands] = {}
        self._refreshed_s = -math.inf
        self._rounded_s = -math.inf
        self._spare_slots = 0.0
        self.inflight = 0
        self.slots = slots
        self.typical_s = 0.0
        self.weights: dict[str, float] = {}

    @property
    def waiting(self) -> int:
        """Requests waiting on this VM."""
        return len(self._queue)

    def enqueue(self, request: QueuedRequest[T]) -> list[Refusal[T]]:
        """Queues a request and returns the refusals that result.

        The request is refused if it is not expected to finish before its
        deadline. If the queue is full, the newest request of the account with
        the most waiting requests per weight is refused, which may be the one
        just queued.
        """
        account = self._account(request.account)
        account.weight = request.weight
        account.max_inflight = request.max_inflight
        wait_s = self._expected_wait_s(request.account)
        remaining_s = request.deadline_s - self._clock.monotonic()
        if wait_s and wait_s > remaining_s - self.typical_s:
            return [self._refuse(request, Reason.QUEUE_FULL, wait_s)]
        self._queue.push(
            request.account,
            item=request,
            cost=request.cost,
            weight=request.weight,
        )
        if len(self._queue) <= self._max_waiting:
            return []
        longest = max(self._queue.accounts(), key=self._backlog)
        refused, _, _ = self._queue.pop_entry(longest, newest=True)
        return [self._refuse(refused, Reason.QUEUE_FULL, wait_s)]

    def admit(self) -> list[QueuedRequest[T]]:
        """Removes and returns the requests that may run now.

        They count as running until `end_request`. The caller must remove
        requests whose deadline has passed first, with `remove_expired`.
        """
        self._refresh()
        admitted: list[QueuedRequest[T]] = []
        while True:
            name = self._queue.next_account(self._is_eligible)
            if name is None:
                return admitted
            self._account(name).inflight += 1
            self.inflight += 1
            request = self._queue.pop(name)
            request.within_share = not self._account(name).is_limited
            admitted.append(request)

    def end_request(self, request: QueuedRequest[T], *, tokens: float) -> None:
        """Records the end of a running request and charges its actual cost.

        Args:
            request: Request that was admitted.
            tokens: Tokens that it actually cost.
        """
        account = self._account(request.account)
        account.inflight -= 1
        self.inflight -= 1
        now_s = self._clock.monotonic()
        account.recent_ended = 1.0 + self._decayed_ended(account, now_s)
        account.last_ended_s = now_s
        self._queue.charge(
            request.account,
            cost=tokens - request.cost,
            weight=request.weight,
        )

    def remove_expired(self, *, margin_s: float = 0.0) -> list[Refusal[T]]:
        """Removes and refuses waiting requests that would miss their deadline.

        Args:
            margin_s: Seconds that a request needs once it is admitted.
        """
        latest_s = self._clock.monotonic() + margin_s
        return [
            self._refuse(request, Reason.DEADLINE_NOT_RUN, 0.0)
            for request in self._queue.remove_if(
                lambda request: request.deadline_s <= latest_s
            )
        ]

    def cancel(self, request: QueuedRequest[T]) -> None:
        """Removes a waiting request whose caller has disconnected."""
        self._queue.remove(request.account, request)

    def apply_peer_demands(
        self, vm: str, demands: dict[str, DemandCount]
    ) -> None:
        """Replaces the recorded demand of a peer."""
        self._peers[vm] = _PeerDemands(
            received_s=self._clock.monotonic(), demands=demands
        )

    def demands(self) -> dict[str, DemandCount]:
        """Returns this VM's demand by account, to report to peers."""
        return {
            name: DemandCount(
                inflight=account.inflight, waiting=self._queue.waiting(name)
            )
            for name, account in self._accounts.items()
            if account.inflight or self._queue.waiting(name)
        }

    def _refresh(self) -> None:
        """Recomputes the quotas, at most once per refresh interval."""
        now_s = self._clock.monotonic()
        if now_s - self._refreshed_s < _REFRESH_INTERVAL_S:
            return
        self._refreshed_s = now_s
        self._draw_rounding_offsets(now_s)
        local = {n: d.inflight + d.waiting for n, d in self.demands().items()}
        total = self._total_demand(local, now_s)
        capped = {
            n: self._apply_cap(n, demanded) for n, demanded in total.items()
        }
        granted = divide_slots(self.slots, capped, self.weights)
        for name, account in self._accounts.items():
            local_fraction = (
                local.get(name, 0) / total[name] if name in total else 0.0
            )
            account.quota = granted.get(name, 0.0) * local_fraction
            account.is_limited = granted.get(name, 0.0) < total.get(name, 0.0)
        unclaimed = self.slots - sum(granted.values())
        self._spare_slots = max(0.0, unclaimed) / (1 + len(self._peers))

    def _total_demand(
        self, local: dict[str, int], now_s: float
    ) -> dict[str, float]:
        """Returns the demand of every account, summed over all VMs."""
        for vm in list(self._peers):
            if now_s - self._peers[vm].received_s > _MAX_PEER_AGE_S:
                del self._peers[vm]
        total = {name: float(demand) for name, demand in local.items()}
        for peer in self._peers.values():
            for name, demand in peer.demands.items():
                demanded = demand.inflight + demand.waiting
                total[name] = total.get(name, 0.0) + demanded
        return total

    def _apply_cap(self, name: str, demanded: float) -> float:
        cap = self._account(name).max_inflight
        return min(demanded, cap) if cap else demanded

    def _is_eligible(self, name: str) -> bool:
        account = self._accounts[name]
        if account.max_inflight and account.inflight >= account.max_inflight:
            return False
        if account.inflight < math.floor(
            account.quota + account.rounding_offset
        ):
            return True
        claimed = sum(a.quota for a in self._accounts.values())
        return (
            self.inflight + 1 <= claimed + self._spare_slots
            and self._spare_slots >= 1.0
        )

    def _draw_rounding_offsets(self, now_s: float) -> None:
        """Draws the rounding offset of each account's quota anew."""
        if now_s - self._rounded_s < _ROUNDING_INTERVAL_S:
            return
        self._rounded_s = now_s
        for account in self._accounts.values():
            account.rounding_offset = self._rng.random()

    def _expected_wait_s(self, name: str) -> float:
        """Returns the account's queueing delay at its recent completion rate.

        0 if too few requests have ended recently to estimate the rate.
        """
        account = self._account(name)
        recent = self._decayed_ended(account, self._clock.monotonic())
        if recent < _MIN_RECENT_ENDED:
            return 0.0
        return self._queue.waiting(name) * _RATE_WINDOW_S / recent

    def _decayed_ended(self, account: _AccountState, now_s: float) -> float:
        """Returns the exponentially decayed count of ended requests."""
        age_s = now_s - account.last_ended_s
        return account.recent_ended * math.exp(-age_s / _RATE_WINDOW_S)

    def _backlog(self, name: str) -> float:
        return self._queue.waiting(name) / self._account(name).weight

    def _account(self, name: str) -> _AccountState:
        account = self._accounts.get(name)
        if account is None:
            account = _AccountState(rounding_offset=self._rng.random())
            self._accounts[name] = account
        return account

    @staticmethod
    def _refuse(
        request: QueuedRequest[T], reason: Reason, wait_s: float
    ) -> Refusal[T]:
        return Refusal(
            request=request,
            reason=reason,
            retry_after_s=max(_MIN_RETRY_AFTER_S, wait_s),
        )
