"""What one VM knows of the backend servers it sends work to."""

import collections

import msgspec

from endivespindle.core.clock import Clock
from endivespindle.routing.choice import Candidate
from endivespindle.routing.health import (
    AttemptOutcome,
    ServerHealth,
    TypicalDuration,
)
from endivespindle.routing.prefix_cache import PrefixCacheEstimate
from endivespindle.schema.generated.backend import CacheEvents, LoadReport
from endivespindle.schema.generated.peer import OwnedLoad
from endivespindle.schema.generated.register import BackendServer

__all__ = ["ServerTracker"]

_NO_HASHES: list[str] = []
_MAX_REPORT_AGE_S = 5.0
_MAX_PEER_AGE_S = 3.0


class _ServerState(msgspec.Struct, kw_only=True):
    """State of one backend server."""

    health: ServerHealth
    inflight: int = 0
    load: LoadReport | None = None
    load_seen_s: float = 0.0
    others: float = 0.0
    owned: int | None = None
    owned_s: float = 0.0
    sent_since: int = 0
    peers: int = 0
    placed: bool = False
    cache: PrefixCacheEstimate = msgspec.field(
        default_factory=PrefixCacheEstimate
    )
    history: collections.deque[tuple[float, int]] = msgspec.field(
        default_factory=collections.deque
    )


class _PeerLoads(msgspec.Struct, kw_only=True):
    """Requests that a peer has in flight, by backend server."""

    heard_s: float
    inflight: dict[str, int]


class ServerTracker:
    """Counts own requests at once, and keeps reports with their age.

    Args:
        clock: Clock of this VM.
    """

    __slots__ = ("_clock", "_peers", "_states", "_typical")

    def __init__(self, *, clock: Clock):
        self._clock = clock
        self._states: dict[str, _ServerState] = {}
        self._peers: dict[str, _PeerLoads] = {}
        self._typical: dict[str, TypicalDuration] = {}

    def begin_request(
        self, server: str, *, hashes: list[str] = _NO_HASHES
    ) -> None:
        """Counts a request sent, and takes its prompt as cached there."""
        state = self._state(server)
        state.inflight += 1
        state.sent_since += 1
        state.health.begin_request()
        state.cache.add_prompt(hashes)
        self._note(state)

    def record_progress(self, server: str) -> None:
        """Notes that a part of an answer came."""
        self._state(server).health.record_progress()

    def end_request(
        self,
        server: str,
        end: AttemptOutcome,
        *,
        duration_s: float | None = None,
    ) -> None:
        """Counts a request ended.

        Args:
            server: Backend server.
            end: How it ended.
            duration_s: Seconds it took; None if that says nothing of the
                server, as for answers of any length.
        """
        state = self._state(server)
        state.inflight -= 1
        self._note(state)
        state.health.end_request(end, duration_s)

    def apply_load_report(self, report: LoadReport) -> None:
        """Takes in a load report.

        What this VM itself had in flight when the report was taken is told
        apart from what the others had.
        """
        state = self._state(report.backend_server)
        now_s = self._clock.monotonic()
        state.load = report
        state.load_seen_s = now_s
        own_then = _inflight_at(state.history, now_s - report.age_s)
        state.others = max(0.0, report.running + report.waiting - own_then)

    def apply_peer_loads(self, peer: str, loads: list[OwnedLoad]) -> None:
        """Takes in what a peer has in flight, in place of its last news."""
        self._forget_peer(peer)
        inflight = {load.backend_server: load.inflight for load in loads}
        self._peers[peer] = _PeerLoads(
            heard_s=self._clock.monotonic(), inflight=inflight
        )
        for name, count in inflight.items():
            self._state(name).peers += count

    def record_peer_request(
        self, peer: str, server: str, *, hashes: list[str]
    ) -> None:
        """Counts a request that a peer sends there on this VM's choice.

        The peer's next heartbeat takes the place of the count, so that a
        lost message or a dead peer leaves nothing behind.
        """
        self._state(server).cache.add_prompt(hashes)
        known = self._peers.get(peer)
        if known is not None:
            known.inflight[server] = known.inflight.get(server, 0) + 1
            self._state(server).peers += 1

    def total_loads(self, servers: list[str]) -> list[OwnedLoad]:
        """Returns all that is in flight on servers this VM owns."""
        return [
            OwnedLoad(
                backend_server=name,
                inflight=self._total(name),
            )
            for name in servers
        ]

    def apply_owner_loads(self, loads: list[OwnedLoad]) -> None:
        """Takes in exact loads from the VM that owns the servers."""
        now_s = self._clock.monotonic()
        for load in loads:
            state = self._state(load.backend_server)
            state.owned = load.inflight
            state.owned_s = now_s
            state.sent_since = 0

    def local_loads(self) -> list[OwnedLoad]:
        """Returns what to tell the peers."""
        return [
            OwnedLoad(backend_server=name, inflight=state.inflight)
            for name, state in self._states.items()
            if state.inflight
        ]

    def apply_cache_events(self, server: str, events: CacheEvents) -> None:
        """Takes in cache events."""
        self._state(server).cache.apply_events(events)

    def cache_sequence(self, server: str) -> int:
        """Returns the sequence up to which cache events were taken."""
        return self._state(server).cache.sequence

    def version_of(self, server: str, trainer: str) -> int:
        """Returns the weight version last reported for a trainer."""
        load = self._state(server).load
        return load.versions.get(trainer, 0) if load else 0

    def inflight_of(self, server: str) -> int:
        """Returns this VM's requests in flight on a server."""
        return self._state(server).inflight

    def typical_s(self, service: str) -> float:
        """Returns the usual seconds to an answer; 0 before the first one."""
        known = self._typical.get(service)
        return known.seconds if known else 0.0

    def count_usable(self, servers: list[BackendServer]) -> int:
        """Returns how many servers are not put aside."""
        now_s = self._clock.monotonic()
        return sum(
            self._state_of(server).health.is_usable(now_s=now_s)
            for server in servers
        )

    def candidates(
        self, servers: list[BackendServer], *, slots: int, hashes: list[str]
    ) -> list[Candidate]:
        """Returns the servers that may be chosen.

        Servers put aside after failures are left out, unless all are.
        """
        now_s = self._clock.monotonic()
        peer_age_s = self._oldest_peer_age_s(now_s)
        states = [(server.name, self._state_of(server)) for server in servers]
        usable = [s for s in states if s[1].health.is_usable(now_s=now_s)]
        return [
            self._candidate(name, state, slots, hashes, now_s, peer_age_s)
            for name, state in usable or states
        ]

    def _candidate(
        self,
        name: str,
        state: _ServerState,
        slots: int,
        hashes: list[str],
        now_s: float,
        peer_age_s: float,
    ) -> Candidate:
        load = state.load
        own, others, age_s = self._known_load(state, now_s, peer_age_s)
        return Candidate(
            name=name,
            slots=slots,
            own_inflight=own,
            reported_load=load.running + load.waiting if load else 0,
            report_age_s=age_s,
            others_load=others,
            cached_blocks=state.cache.overlap(hashes),
            prompt_blocks=len(hashes),
        )

    def _known_load(
        self, state: _ServerState, now_s: float, peer_age_s: float
    ) -> tuple[int, float, float]:
        """Returns own and others' requests, and the age of the latter.

        The owner's news goes before the peers', and theirs before the
        engine's own report.
        """
        if state.owned is not None and (
            now_s - state.owned_s <= _MAX_PEER_AGE_S
        ):
            return state.sent_since, state.owned, now_s - state.owned_s
        if self._peers:
            return state.inflight, state.peers, peer_age_s
        if state.load is None:
            return state.inflight, 0.0, 0.0
        age_s = now_s - state.load_seen_s + state.load.age_s
        return state.inflight, state.others, age_s

    def _total(self, name: str) -> int:
        state = self._state(name)
        return state.inflight + state.peers

    def _oldest_peer_age_s(self, now_s: float) -> float:
        """Forgets silent peers, and returns the age of the oldest news."""
        oldest_s = now_s
        for peer in list(self._peers):
            heard_s = self._peers[peer].heard_s
            if now_s - heard_s > _MAX_PEER_AGE_S:
                self._forget_peer(peer)
            else:
                oldest_s = min(oldest_s, heard_s)
        return now_s - oldest_s

    def _forget_peer(self, peer: str) -> None:
        known = self._peers.pop(peer, None)
        if known is not None:
            for name, count in known.inflight.items():
                self._state(name).peers -= count

    def _state_of(self, server: BackendServer) -> _ServerState:
        """Returns a server's state, measured against its service's."""
        state = self._states.get(server.name)
        if state is None or not state.placed:
            state = self._state(server.name)
            state.placed = True
            state.health.typical = self._typical.setdefault(
                server.service, TypicalDuration()
            )
        return state

    def _note(self, state: _ServerState) -> None:
        """Keeps own requests in flight for as long as reports may lag."""
        now_s = self._clock.monotonic()
        state.history.append((now_s, state.inflight))
        while state.history[0][0] < now_s - _MAX_REPORT_AGE_S:
            state.history.popleft()

    def _state(self, server: str) -> _ServerState:
        state = self._states.get(server)
        if state is None:
            health = ServerHealth(clock=self._clock, typical=TypicalDuration())
            state = self._states[server] = _ServerState(health=health)
        return state


def _inflight_at(
    history: collections.deque[tuple[float, int]], at_s: float
) -> int:
    """Returns what was in flight at a past moment."""
    for noted_s, inflight in reversed(history):
        if noted_s <= at_s:
            return inflight
    return 0
