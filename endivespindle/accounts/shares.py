"""Shares, token caps and demand of client accounts on one VM."""

import random
from collections.abc import Iterable
from typing import Generic, TypeVar

import msgspec

from endivespindle.accounts.admission_queue import AdmissionQueue, DemandCount
from endivespindle.accounts.token_cap import TokenCap
from endivespindle.core.clock import Clock
from endivespindle.schema.generated.peer import (
    AccountDemand,
    Heartbeat,
    ServedTokens,
)
from endivespindle.schema.generated.register import ClientAccount

__all__ = ["AccountShares"]

T = TypeVar("T")


class _PeerServedTokens(msgspec.Struct, kw_only=True):
    """Tokens served by account in one incarnation of a peer."""

    incarnation: str
    tokens: dict[str, int]


class AccountShares(Generic[T]):
    """Admission queues by service and token caps by account.

    Heartbeats report this VM's demand and served tokens to its peers; theirs
    are applied here.

    Args:
        clock: Clock of this VM.
        rng: Source of randomness of the admission queues.
        max_waiting: Limit on waiting requests of each admission queue.
    """

    __slots__ = (
        "_admission_queues",
        "_caps",
        "_clock",
        "_max_waiting",
        "_peers",
        "_rng",
        "_served",
        "_weights",
    )

    def __init__(self, *, clock: Clock, rng: random.Random, max_waiting: int):
        self._clock = clock
        self._rng = rng
        self._max_waiting = max_waiting
        self._admission_queues: dict[str, AdmissionQueue[T]] = {}
        self._caps: dict[str, TokenCap] = {}
        self._served: dict[str, int] = {}
        self._peers: dict[str, _PeerServedTokens] = {}
        self._weights: dict[str, float] = {}

    @property
    def admission_queues(self) -> list[AdmissionQueue[T]]:
        """Admission queues created so far."""
        return list(self._admission_queues.values())

    def set_accounts(self, accounts: Iterable[ClientAccount]) -> None:
        """Applies the shares and caps of a register revision.

        A cap whose rate is unchanged keeps its balance.
        """
        now_s = self._clock.monotonic()
        self._weights.clear()
        caps = {}
        for account in accounts:
            self._weights[account.name] = account.share
            rate = account.max_tokens_per_s
            if rate:
                current = self._caps.get(account.name)
                is_same = current is not None and current.tokens_per_s == rate
                caps[account.name] = (
                    current
                    if current is not None and is_same
                    else TokenCap(tokens_per_s=rate, now_s=now_s)
                )
        self._caps = caps

    def admission_queue(
        self, service: str, *, slots: float
    ) -> AdmissionQueue[T]:
        """Returns a service's admission queue, updated to `slots`."""
        queue = self._admission_queues.get(service)
        if queue is None:
            queue = self._admission_queues[service] = AdmissionQueue(
                clock=self._clock, rng=self._rng, max_waiting=self._max_waiting
            )
            queue.weights = self._weights
        queue.slots = slots
        return queue

    def weight(self, account: str) -> float:
        """Returns an account's share; 1 if it is not in the register."""
        return self._weights.get(account, 1.0)

    def cap_wait_s(self, account: str) -> float:
        """Returns the seconds until the token cap admits an account again."""
        cap = self._caps.get(account)
        return cap.wait_s(now_s=self._clock.monotonic()) if cap else 0.0

    def count_tokens(self, account: str, tokens: int) -> None:
        """Counts tokens that this VM served."""
        self._served[account] = self._served.get(account, 0) + tokens
        self._charge(account, tokens)

    def served(self) -> list[ServedTokens]:
        """Returns this VM's served tokens, to report to peers."""
        return [
            ServedTokens(client_account=name, tokens=tokens)
            for name, tokens in self._served.items()
        ]

    def demands(self) -> list[AccountDemand]:
        """Returns this VM's demand by service, to report to peers."""
        return [
            AccountDemand(
                service=service,
                client_account=name,
                inflight=count.inflight,
                waiting=count.waiting,
            )
            for service, queue in self._admission_queues.items()
            for name, count in queue.demands().items()
        ]

    def apply_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Applies a peer's heartbeat, which must be newer than the last."""
        by_service: dict[str, dict[str, DemandCount]] = {}
        for demand in heartbeat.demands:
            counts = by_service.setdefault(demand.service, {})
            counts[demand.client_account] = DemandCount(
                inflight=demand.inflight, waiting=demand.waiting
            )
        for service, queue in self._admission_queues.items():
            queue.apply_peer_demands(heartbeat.vm, by_service.get(service, {}))
        self._charge_peer_tokens(heartbeat)

    def _charge_peer_tokens(self, heartbeat: Heartbeat) -> None:
        """Charges the tokens that the peer served since its last heartbeat.

        The first heartbeat of an incarnation charges nothing: its counts are
        the baseline for the next one.
        """
        tokens = {s.client_account: s.tokens for s in heartbeat.served}
        previous = self._peers.get(heartbeat.vm)
        if (
            previous is not None
            and previous.incarnation == heartbeat.incarnation
        ):
            for account, count in tokens.items():
                self._charge(account, count - previous.tokens.get(account, 0))
        self._peers[heartbeat.vm] = _PeerServedTokens(
            incarnation=heartbeat.incarnation, tokens=tokens
        )

    def _charge(self, account: str, tokens: int) -> None:
        cap = self._caps.get(account)
        if cap is not None:
            cap.charge(tokens, now_s=self._clock.monotonic())
