"""What one VM knows and tells of client accounts' shares."""

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


class _PeerServed(msgspec.Struct, kw_only=True):
    """Tokens that one life of a peer has served, by account."""

    incarnation: str
    tokens: dict[str, int]


class AccountShares(Generic[T]):
    """Gates of every service, caps of every account, and peers' news.

    Args:
        clock: Clock of this VM.
        rng: Source of the gates' draws.
        max_waiting: Requests that may wait at each gate.
    """

    __slots__ = (
        "_caps",
        "_clock",
        "_gates",
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
        self._gates: dict[str, AdmissionQueue[T]] = {}
        self._caps: dict[str, TokenCap] = {}
        self._served: dict[str, int] = {}
        self._peers: dict[str, _PeerServed] = {}
        self._weights: dict[str, float] = {}

    @property
    def admission_queues(self) -> list[AdmissionQueue[T]]:
        """The gates that were asked for so far."""
        return list(self._gates.values())

    def set_accounts(self, accounts: Iterable[ClientAccount]) -> None:
        """Takes in the shares and caps of a register revision."""
        now_s = self._clock.monotonic()
        self._weights.clear()
        caps = {}
        for account in accounts:
            self._weights[account.name] = account.share
            rate = account.max_tokens_per_s
            if rate:
                old = self._caps.get(account.name)
                same = old is not None and old.tokens_per_s == rate
                caps[account.name] = (
                    old
                    if old is not None and same
                    else TokenCap(tokens_per_s=rate, now_s=now_s)
                )
        self._caps = caps

    def admission_queue(
        self, service: str, *, slots: float
    ) -> AdmissionQueue[T]:
        """Returns a service's gate, with the slots it has now."""
        gate = self._gates.get(service)
        if gate is None:
            gate = self._gates[service] = AdmissionQueue(
                clock=self._clock, rng=self._rng, max_waiting=self._max_waiting
            )
            gate.weights = self._weights
        gate.slots = slots
        return gate

    def weight(self, account: str) -> float:
        """Returns an account's share; 1 for one that has none."""
        return self._weights.get(account, 1.0)

    def cap_wait_s(self, account: str) -> float:
        """Returns the seconds until an account is below its cap again."""
        cap = self._caps.get(account)
        return cap.wait_s(now_s=self._clock.monotonic()) if cap else 0.0

    def count_tokens(self, account: str, tokens: int) -> None:
        """Counts tokens that this VM served."""
        self._served[account] = self._served.get(account, 0) + tokens
        self._charge(account, tokens)

    def served(self) -> list[ServedTokens]:
        """Returns the tokens served, to tell the peers."""
        return [
            ServedTokens(client_account=name, tokens=tokens)
            for name, tokens in self._served.items()
        ]

    def demands(self) -> list[AccountDemand]:
        """Returns what runs and waits here, to tell the peers."""
        return [
            AccountDemand(
                service=service,
                client_account=name,
                inflight=count.inflight,
                waiting=count.waiting,
            )
            for service, gate in self._gates.items()
            for name, count in gate.demands().items()
        ]

    def apply_heartbeat(self, beat: Heartbeat) -> None:
        """Takes in a peer's heartbeat, newer than the one before."""
        by_service: dict[str, dict[str, DemandCount]] = {}
        for demand in beat.demands:
            counts = by_service.setdefault(demand.service, {})
            counts[demand.client_account] = DemandCount(
                inflight=demand.inflight, waiting=demand.waiting
            )
        for service, gate in self._gates.items():
            gate.apply_peer_demands(beat.vm, by_service.get(service, {}))
        self._take_served(beat)

    def _take_served(self, beat: Heartbeat) -> None:
        """Charges what the peer served since its last heartbeat."""
        tokens = {s.client_account: s.tokens for s in beat.served}
        known = self._peers.get(beat.vm)
        if known is not None and known.incarnation == beat.incarnation:
            for account, count in tokens.items():
                self._charge(account, count - known.tokens.get(account, 0))
        self._peers[beat.vm] = _PeerServed(
            incarnation=beat.incarnation, tokens=tokens
        )

    def _charge(self, account: str, tokens: int) -> None:
        cap = self._caps.get(account)
        if cap is not None:
            cap.charge(tokens, now_s=self._clock.monotonic())
