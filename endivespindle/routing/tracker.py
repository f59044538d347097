"""Load, health and cache data about the backend servers of one VM."""

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
    """State of one backend server.

    Attributes:
        health: Pauses and probes.
        inflight: Requests of this VM in flight.
        load: Last load report of the engine.
        load_received_s: When `load` arrived, as monotonic time in seconds.
        others_inflight: Requests of other VMs, derived from `load`.
        owner_inflight: Exact load reported by the owner of the server.
        owner_received_s: When `owner_inflight` arrived, as monotonic time in
            seconds.
        sent_since_owner: Requests this VM sent after that report.
        peer_inflight: Requests in flight, summed over the peers.
        has_service: Whether `health` uses the duration of the service.
        cache: Estimated prefix cache.
        inflight_history: Recent values of `inflight`, with their times.
    """

    health: ServerHealth
    inflight: int = 0
    load: LoadReport | None = None
    load_received_s: float = 0.0
    others_inflight: float = 0.0
    owner_inflight: int | None = None
    owner_received_s: float = 0.0
    sent_since_owner: int = 0
    peer_inflight: int = 0
    has_service: bool = False
    cache: PrefixCacheEstimate = msgspec.field(
        default_factory=PrefixCacheEstimate
    )
    inflight_history: collections.deque[tuple[float, int]] = msgspec.field(
        default_factory=collections.deque
    )


class _PeerLoads(msgspec.Struct, kw_only=True):
    """Requests that a peer has in flight, by backend server."""

    received_s: float
    inflight: dict[str, int]


class ServerTracker:
    """Counts own requests immediately and stores reports with their age.

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
        """Counts a request that was sent and adds its prompt to the cache."""
        state = self._state(server)
        state.inflight += 1
        state.sent_since_owner += 1
        state.health.begin_request()
        state.cache.add_prompt(hashes)
        self._record_inflight(state)

    def record_progress(self, server: str) -> None:
        """Records that part of a response was received."""
        self._state(server).health.record_progress()

    def end_request(
        self,
        server: str,
        outcome: AttemptOutcome,
        *,
        duration_s: float | None = None,
    ) -> None:
        """Counts a request that ended.

        Args:
            server: Backend server.
            outcome: How it ended.
            duration_s: Duration in seconds; None if it does not depend on the
                server alone, as for responses of any length.
        """
        state = self._state(server)
        state.inflight -= 1
        self._record_inflight(state)
        state.health.end_request(outcome, duration_s)

    def apply_load_report(self, report: LoadReport) -> None:
        """Applies a load report of an engine.

        The load of the other VMs is the reported load minus the requests that
        this VM had in flight when the report was made.
        """
        state = self._state(report.backend_server)
        now_s = self._clock.monotonic()
        state.load = report
        state.load_received_s = now_s
        own_at_report = _inflight_at(
            state.inflight_history, now_s - report.age_s
        )
        state.others_inflight = max(
            0.0, report.running + report.waiting - own_at_report
        )

    def apply_peer_loads(self, peer: str, loads: list[OwnedLoad]) -> None:
        """Replaces the requests in flight last reported by a peer."""
        self._remove_peer(peer)
        inflight = {load.backend_server: load.inflight for load in loads}
        self._peers[peer] = _PeerLoads(
            received_s=self._clock.monotonic(), inflight=inflight
        )
        for name, count in inflight.items():
            self._state(name).peer_inflight += count

    def record_peer_request(
        self, peer: str, server: str, *, hashes: list[str]
    ) -> None:
        """Counts a request that a peer sends to a server chosen by this VM.

        The next heartbeat of the peer replaces the count, so that a lost
        message or a dead peer causes no permanent error.
        """
        self._state(server).cache.add_prompt(hashes)
        known = self._peers.get(peer)
        if known is not None:
            known.inflight[server] = known.inflight.get(server, 0) + 1
            self._state(server).peer_inflight += 1

    def total_loads(self, servers: list[str]) -> list[OwnedLoad]:
        """Returns the requests of all VMs in flight on the given servers."""
        return [
            OwnedLoad(
                backend_server=name,
                inflight=self._total_inflight(name),
            )
            for name in servers
        ]

    def apply_owner_loads(self, loads: list[OwnedLoad]) -> None:
        """Applies exact loads from the VM that owns the servers."""
        now_s = self._clock.monotonic()
        for load in loads:
            state = self._state(load.backend_server)
            state.owner_inflight = load.inflight
            state.owner_received_s = now_s
            state.sent_since_owner = 0

    def local_loads(self) -> list[OwnedLoad]:
        """Returns the requests of this VM in flight, to report to the peers."""
        return [
            OwnedLoad(backend_server=name, inflight=state.inflight)
            for name, state in self._states.items()
            if state.inflight
        ]

    def apply_cache_events(self, server: str, events: CacheEvents) -> None:
        """Applies cache events of an engine."""
        self._state(server).cache.apply_events(events)

    def cache_sequence(self, server: str) -> int:
        """Returns the sequence number of the last applied cache event."""
        return self._state(server).cache.sequence

    def version_of(self, server: str, trainer: str) -> int:
        """Returns the weight version last reported for a trainer."""
        load = self._state(server).load
        return load.versions.get(trainer, 0) if load else 0

    def inflight_of(self, server: str) -> int:
        """Returns this VM's requests in flight on a server."""
        return self._state(server).inflight

    def typical_s(self, service: str) -> float:
        """Returns the typical duration; 0 before the first response."""
        known = self._typical.get(service)
        return known.seconds if known else 0.0

    def count_usable(self, servers: list[BackendServer]) -> int:
        """Returns how many servers may get a request now."""
        now_s = self._clock.monotonic()
        return sum(
            self._service_state(server).health.is_usable(now_s=now_s)
            for server in servers
        )

    def candidates(
        self, servers: list[BackendServer], *, slots: int, hashes: list[str]
    ) -> list[Candidate]:
        """Returns the servers to choose from.

        Unusable servers are excluded, unless all of them are unusable.
        """
        now_s = self._clock.monotonic()
        peer_age_s = self._oldest_peer_age_s(now_s)
        states = [
            (server.name, self._service_state(server)) for server in servers
        ]
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
        own, others, age_s = self._estimate_load(state, now_s, peer_age_s)
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

    def _estimate_load(
        self, state: _ServerState, now_s: float, peer_age_s: float
    ) -> tuple[int, float, float]:
        """Returns own requests, those of other VMs, and the age of the latter.

        A recent report of the owner takes precedence over the reports of the
        peers, and those over the report of the engine.
        """
        if state.owner_inflight is not None and (
            now_s - state.owner_received_s <= _MAX_PEER_AGE_S
        ):
            return (
                state.sent_since_owner,
                state.owner_inflight,
                now_s - state.owner_received_s,
            )
        if self._peers:
            return state.inflight, state.peer_inflight, peer_age_s
        if state.load is None:
            return state.inflight, 0.0, 0.0
        age_s = now_s - state.load_received_s + state.load.age_s
        return state.inflight, state.others_inflight, age_s

    def _total_inflight(self, name: str) -> int:
        state = self._state(name)
        return state.inflight + state.peer_inflight

    def _oldest_peer_age_s(self, now_s: float) -> float:
        """Removes silent peers and returns the age of the oldest report."""
        oldest_s = now_s
        for peer in list(self._peers):
            received_s = self._peers[peer].received_s
            if now_s - received_s > _MAX_PEER_AGE_S:
                self._remove_peer(peer)
            else:
                oldest_s = min(oldest_s, received_s)
        return now_s - oldest_s

    def _remove_peer(self, peer: str) -> None:
        known = self._peers.pop(peer, None)
        if known is not None:
            for name, count in known.inflight.items():
                self._state(name).peer_inflight -= count

    def _service_state(self, server: BackendServer) -> _ServerState:
        """Returns a server's state, with its service's typical duration set."""
        state = self._states.get(server.name)
        if state is None or not state.has_service:
            state = self._state(server.name)
            state.has_service = True
            state.health.typical = self._typical.setdefault(
                server.service, TypicalDuration()
            )
        return state

    def _record_inflight(self, state: _ServerState) -> None:
        """Records own requests in flight for as long as reports may lag."""
        now_s = self._clock.monotonic()
        state.inflight_history.append((now_s, state.inflight))
        while state.inflight_history[0][0] < now_s - _MAX_REPORT_AGE_S:
            state.inflight_history.popleft()

    def _state(self, server: str) -> _ServerState:
        state = self._states.get(server)
        if state is None:
            health = ServerHealth(clock=self._clock, typical=TypicalDuration())
            state = self._states[server] = _ServerState(health=health)
        return state


def _inflight_at(
    history: collections.deque[tuple[float, int]], at_s: float
) -> int:
    """Returns the number of requests in flight at a past time."""
    for recorded_s, inflight in reversed(history):
        if recorded_s <= at_s:
            return inflight
    return 0
