"""Who may use the slots of one service, as one of several entry VMs."""

import math
import random
from typing import Generic, TypeVar

import msgspec

from endivespindle.accounts.fair_queue import FairQueue
from endivespindle.accounts.slots import divide_slots
from endivespindle.core.clock import Clock
from endivespindle.core.reasons import Reason

__all__ = ["DemandCount", "QueuedRequest", "Refusal", "AdmissionQueue"]

T = TypeVar("T")

_REFRESH_S = 0.02
_DRAW_S = 1.0
_PEER_AGE_S = 3.0
_RATE_WINDOW_S = 5.0
_RATE_MIN_ENDED = 3.0
_LEAST_RETRY_AFTER_S = 0.1


class DemandCount(msgspec.Struct, kw_only=True, frozen=True):
    """What an account does on one VM: requests running and waiting."""

    inflight: int
    waiting: int


class QueuedRequest(msgspec.Struct, Generic[T], kw_only=True):
    """A request at the gate.

    Attributes:
        account: Client account.
        item: What the caller waits on.
        cost: Tokens that it is expected to cost.
        weight: Share of the account.
        deadline_s: Monotonic time at which the caller gives up.
        max_inflight: Cap on the account's requests at once; 0 is none.
        within_share: Whether the account asked for no more than its share
            when this was let run; engines should take it first.
    """

    account: str
    item: T
    cost: float
    weight: float
    deadline_s: float
    max_inflight: int = 0
    within_share: bool = False


class Refusal(msgspec.Struct, Generic[T], kw_only=True, frozen=True):
    """A request that does not run here."""

    request: QueuedRequest[T]
    reason: Reason
    retry_after_s: float


class _Account(msgspec.Struct, kw_only=True):
    """One account on this VM."""

    weight: float = 1.0
    max_inflight: int = 0
    inflight: int = 0
    quota: float = 0.0
    draw: float = 0.0
    limited: bool = False
    recent_ended: float = 0.0
    ended_s: float = 0.0


class _PeerDemands(msgspec.Struct, kw_only=True):
    """The demand that a peer told of."""

    heard_s: float
    demands: dict[str, DemandCount]


class AdmissionQueue(Generic[T]):
    """Lets requests run so that shares hold over all entry VMs together.

    Every VM knows its own demand exactly and its peers' from their
    heartbeats. Each divides the service's slots by weighted max-min among
    all accounts, and takes for itself the part that its own demand has in
    each account's. Slots that nobody claims are divided among the VMs.

    Args:
        clock: Clock of this VM.
        rng: Source of the draws that round parts of a slot.
        max_waiting: Requests that may wait here.
        slots: Slots of the service.

    Attributes:
        weights: Share of each account; the same on every VM.
        typical_s: Seconds that a request usually runs.
    """

    __slots__ = (
        "_accounts",
        "_clock",
        "_drawn_s",
        "_max_waiting",
        "_peers",
        "_queue",
        "_refreshed_s",
        "_rng",
        "_spare",
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
        self._accounts: dict[str, _Account] = {}
        self._peers: dict[str, _PeerDemands] = {}
        self._refreshed_s = -math.inf
        self._drawn_s = -math.inf
        self._spare = 0.0
        self.inflight = 0
        self.slots = slots
        self.typical_s = 0.0
        self.weights: dict[str, float] = {}

    @property
    def waiting(self) -> int:
        """Requests that wait here."""
        return len(self._queue)

    def enqueue(self, request: QueuedRequest[T]) -> list[Refusal[T]]:
        """Queues a request, and returns what is refused for it.

        A full queue refuses the newest request of the account that has most
        waiting by weight, which may be the one offered.
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
        loser, _, _ = self._queue.drop(longest, newest=True)
        return [self._refuse(loser, Reason.QUEUE_FULL, wait_s)]

    def admit(self) -> list[QueuedRequest[T]]:
        """Returns the requests that may run now, and counts them.

        Those whose deadline passed must be taken out before.
        """
        self._refresh()
        admitted: list[QueuedRequest[T]] = []
        while True:
            name = self._queue.next_account(self._eligible)
            if name is None:
                return admitted
            self._account(name).inflight += 1
            self.inflight += 1
            request = self._queue.pop(name)
            request.within_share = not self._account(name).limited
            admitted.append(request)

    def end_request(self, request: QueuedRequest[T], *, tokens: float) -> None:
        """Counts a request ended, and charges what it really cost."""
        account = self._account(request.account)
        account.inflight -= 1
        self.inflight -= 1
        now_s = self._clock.monotonic()
        account.recent_ended = 1.0 + self._recent(account, now_s)
        account.ended_s = now_s
        self._queue.charge(
            request.account,
            cost=tokens - request.cost,
            weight=request.weight,
        )

    def remove_expired(self, *, margin_s: float = 0.0) -> list[Refusal[T]]:
        """Takes out the waiting requests that cannot end in time any more.

        Args:
            margin_s: Seconds that a request needs once it runs.
        """
        latest_s = self._clock.monotonic() + margin_s
        return [
            self._refuse(request, Reason.DEADLINE_NOT_RUN, 0.0)
            for request in self._queue.drop_if(
                lambda request: request.deadline_s <= latest_s
            )
        ]

    def cancel(self, request: QueuedRequest[T]) -> None:
        """Takes out a waiting request whose caller went away."""
        self._queue.remove(request.account, request)

    def apply_peer_demands(
        self, vm: str, demands: dict[str, DemandCount]
    ) -> None:
        """Takes in what a peer says of its accounts."""
        self._peers[vm] = _PeerDemands(
            heard_s=self._clock.monotonic(), demands=demands
        )

    def demands(self) -> dict[str, DemandCount]:
        """Returns what to tell the peers."""
        return {
            name: DemandCount(
                inflight=account.inflight, waiting=self._queue.waiting(name)
            )
            for name, account in self._accounts.items()
            if account.inflight or self._queue.waiting(name)
        }

    def _refresh(self) -> None:
        """Divides the slots anew, at most every so often."""
        now_s = self._clock.monotonic()
        if now_s - self._refreshed_s < _REFRESH_S:
            return
        self._refreshed_s = now_s
        self._draw(now_s)
        own = {n: d.inflight + d.waiting for n, d in self.demands().items()}
        total = self._total_demand(own, now_s)
        usable = {n: self._capped(n, asked) for n, asked in total.items()}
        granted = divide_slots(self.slots, usable, self.weights)
        for name, account in self._accounts.items():
            part = own.get(name, 0) / total[name] if name in total else 0.0
            account.quota = granted.get(name, 0.0) * part
            account.limited = granted.get(name, 0.0) < total.get(name, 0.0)
        unclaimed = self.slots - sum(granted.values())
        self._spare = max(0.0, unclaimed) / (1 + len(self._peers))

    def _total_demand(
        self, own: dict[str, int], now_s: float
    ) -> dict[str, float]:
        """Returns the demand of every account over all VMs."""
        for vm in list(self._peers):
            if now_s - self._peers[vm].heard_s > _PEER_AGE_S:
                del self._peers[vm]
        total = {name: float(demand) for name, demand in own.items()}
        for peer in self._peers.values():
            for name, demand in peer.demands.items():
                asked = demand.inflight + demand.waiting
                total[name] = total.get(name, 0.0) + asked
        return total

    def _capped(self, name: str, asked: float) -> float:
        cap = self._account(name).max_inflight
        return min(asked, cap) if cap else asked

    def _eligible(self, name: str) -> bool:
        account = self._accounts[name]
        if account.max_inflight and account.inflight >= account.max_inflight:
            return False
        if account.inflight < math.floor(account.quota + account.draw):
            return True
        claimed = sum(a.quota for a in self._accounts.values())
        return self.inflight + 1 <= claimed + self._spare and self._spare >= 1.0

    def _draw(self, now_s: float) -> None:
        """Draws anew how each account's part of a slot is rounded."""
        if now_s - self._drawn_s < _DRAW_S:
            return
        self._drawn_s = now_s
        for account in self._accounts.values():
            account.draw = self._rng.random()

    def _expected_wait_s(self, name: str) -> float:
        """Returns how long the account's queue takes at its recent rate."""
        account = self._account(name)
        recent = self._recent(account, self._clock.monotonic())
        if recent < _RATE_MIN_ENDED:
            return 0.0
        return self._queue.waiting(name) * _RATE_WINDOW_S / recent

    def _recent(self, account: _Account, now_s: float) -> float:
        """Returns the requests ended of late, older ones counting less."""
        age_s = now_s - account.ended_s
        return account.recent_ended * math.exp(-age_s / _RATE_WINDOW_S)

    def _backlog(self, name: str) -> float:
        return self._queue.waiting(name) / self._account(name).weight

    def _account(self, name: str) -> _Account:
        account = self._accounts.get(name)
        if account is None:
            account = _Account(draw=self._rng.random())
            self._accounts[name] = account
        return account

    @staticmethod
    def _refuse(
        request: QueuedRequest[T], reason: Reason, wait_s: float
    ) -> Refusal[T]:
        return Refusal(
            request=request,
            reason=reason,
            retry_after_s=max(_LEAST_RETRY_AFTER_S, wait_s),
        )
