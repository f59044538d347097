"""Routing of grouped prompts to engines with bounded prefix caches."""

import random
from collections.abc import Callable

import msgspec

from endivespindle.bench.event_queue import EventQueue
from endivespindle.bench.experiment import Experiment, Figures, Target
from endivespindle.bench.routing_engines import EngineModel, RoutedRequest
from endivespindle.routing.choice import (
    Candidate,
    LeastExpectedWait,
    LeastReportedLoad,
    RoundRobin,
    ServerChooser,
    TwoChoicesByCacheAndLoad,
)
from endivespindle.routing.health import AttemptOutcome
from endivespindle.routing.owners import ServerOwners
from endivespindle.routing.tracker import ServerTracker
from endivespindle.schema.generated.backend import (
    CacheEvents,
    LoadReport,
)
from endivespindle.schema.generated.register import BackendServer

__all__ = ["EXPERIMENT"]

_SERVERS = 24
_SLOTS = 8
_VMS = 4
_TOKEN_S = 0.02
_MEAN_TOKENS = 90.0
_FAMILIES = 12
_FAMILY_BLOCKS = 12
_GROUP_SIZE = 8
_RUN_S = 30.0
_WARM_S = 8.0
_LOAD = 0.8
_REPORT_INTERVAL_S = 0.5
_REPORT_LAG_S = 2.0


def _make_load(rng: random.Random) -> list[RoutedRequest]:
    """Returns the same arrivals for every variant of one seed."""
    mean_s = _MEAN_TOKENS * _TOKEN_S + 0.15
    group_rate = _LOAD * _SERVERS * _SLOTS / mean_s / _GROUP_SIZE
    requests = []
    at_s = 0.0
    number = 0
    while at_s < _RUN_S:
        at_s += rng.expovariate(group_rate)
        number += 1
        family = int(_FAMILIES * rng.random() ** 2)
        own = rng.randint(2, 24)
        hashes = [f"f{family}.{i}" for i in range(_FAMILY_BLOCKS)]
        hashes += [f"g{number}.{i}" for i in range(own)]
        requests += [
            RoutedRequest(
                at_s=at_s + rng.uniform(0.0, 1.0),
                hashes=hashes,
                tokens=_length(rng),
                vm=rng.randrange(_VMS),
            )
            for _ in range(_GROUP_SIZE)
        ]
    return requests


def _length(rng: random.Random) -> int:
    """Returns a length in tokens, most short and some long."""
    mean = _MEAN_TOKENS
    if rng.random() < 0.1:
        return int(rng.uniform(2.0, 4.0) * mean)
    return 1 + int(rng.uniform(0.2, 1.35) * mean)


class _Variant(msgspec.Struct, kw_only=True, frozen=True):
    """A policy, and what it gets to see.

    Attributes:
        chooser: The choice; None takes the soonest, lengths foreseen.
        exact: Sees every engine's load and cache as they are.
        peers: Hears in-flight counts of the other VMs.
        owners: Asks the VM that owns the server first chosen.
    """

    chooser: ServerChooser | None
    exact: bool = False
    peers: bool = False
    owners: bool = False


class _Run:
    """One variant on one load."""

    __slots__ = (
        "_engines",
        "_hits",
        "_owners",
        "_queue",
        "_rng",
        "_servers",
        "_trackers",
        "_ttfts",
        "_variant",
    )

    def __init__(self, *, variant: _Variant, seed: int):
        self._rng = random.Random(seed + 1)
        self._queue = EventQueue()
        self._variant = variant
        self._servers = [
            BackendServer(
                name=f"s{i}",
                service="x",
                data_centre="d",
                address="http://127.0.0.1:1",
            )
            for i in range(_SERVERS)
        ]
        self._engines = {
            s.name: EngineModel(name=s.name, slots=_SLOTS, rng=self._rng)
            for s in self._servers
        }
        self._trackers = [
            ServerTracker(clock=self._queue.clock) for _ in range(_VMS)
        ]
        self._owners = ServerOwners(clock=self._queue.clock)
        self._owners.set_members([str(vm) for vm in range(_VMS)])
        self._ttfts: list[float] = []
        self._hits: list[float] = []

    def run(self, load: list[RoutedRequest]) -> dict[str, float]:
        """Returns the figures of the variant."""
        for req in load:
            self._queue.after(req.at_s, self._arrival(req))
        for vm in range(_VMS):
            self._queue.after(vm * _REPORT_INTERVAL_S / _VMS, self._poll(vm))
        self._queue.run(until_s=_RUN_S + 60.0)
        ttfts = sorted(self._ttfts)
        return {
            "mean_first_token_ms": 1000 * sum(ttfts) / len(ttfts),
            "p99_first_token_ms": 1000 * ttfts[int(len(ttfts) * 0.99)],
            "cache_hit_percent": 100 * sum(self._hits) / len(self._hits),
        }

    def _arrival(self, req: RoutedRequest) -> Callable[[], None]:
        def arrive() -> None:
            now_s = self._queue.clock.monotonic()
            tracker = self._trackers[req.vm]
            name = self._choose(tracker, req, now_s)
            first_s, end_s, hits = self._engines[name].serve(req, now_s)
            tracker.begin_request(name, hashes=req.hashes)
            self._queue.after(end_s - now_s, self._ending(tracker, name))
            if _WARM_S < req.at_s < _RUN_S:
                self._ttfts.append(first_s - now_s)
                self._hits.append(hits / len(req.hashes))

        return arrive

    def _ending(self, tracker: ServerTracker, name: str) -> Callable[[], None]:
        return lambda: tracker.end_request(name, AttemptOutcome.ANSWERED)

    def _choose(
        self, tracker: ServerTracker, req: RoutedRequest, now_s: float
    ) -> str:
        chooser = self._variant.chooser
        if chooser is None:
            best = min(
                self._engines.values(),
                key=lambda e: (e.expected_s(req.hashes, now_s), e.name),
            )
            return best.name
        if self._variant.exact:
            exact = [
                Candidate(
                    name=engine.name,
                    slots=_SLOTS,
                    own_inflight=engine.inflight(now_s),
                    cached_blocks=engine.overlap(req.hashes),
                    prompt_blocks=len(req.hashes),
                )
                for engine in self._engines.values()
            ]
            return chooser.choose(exact).name
        first = chooser.choose(self._seen(tracker, self._servers, req)).name
        if not self._variant.owners:
            return first
        return self._ask_owner(chooser, tracker, req, first)

    @staticmethod
    def _seen(
        tracker: ServerTracker, servers: list[BackendServer], req: RoutedRequest
    ) -> list[Candidate]:
        return tracker.candidates(servers, slots=_SLOTS, hashes=req.hashes)

    def _ask_owner(
        self,
        chooser: ServerChooser,
        tracker: ServerTracker,
        req: RoutedRequest,
        first: str,
    ) -> str:
        """Lets the owner choose among its servers, and tell their loads."""
        vm = self._owners.owner_of(first)
        desk = self._trackers[int(vm)]
        if desk is tracker:
            return first
        owned = self._owned(vm)
        chosen = chooser.choose(self._seen(desk, owned, req)).name
        loads = desk.total_loads([server.name for server in owned])
        tracker.apply_owner_loads(loads)
        desk.record_peer_request(str(req.vm), chosen, hashes=req.hashes)
        return chosen

    def _owned(self, vm: str) -> list[BackendServer]:
        return [s for s in self._servers if self._owners.owner_of(s.name) == vm]

    def _poll(self, vm: int) -> Callable[[], None]:
        def poll() -> None:
            now_s = self._queue.clock.monotonic()
            for engine in self._engines.values():
                self._take(self._trackers[vm], engine, now_s)
                self._trackers[vm].record_progress(engine.name)
            self._tell_peers(vm)
            if now_s < _RUN_S + 5.0:
                self._queue.after(_REPORT_INTERVAL_S, poll)

        return poll

    def _tell_peers(self, vm: int) -> None:
        """Sends one heartbeat's loads to the other VMs."""
        if not self._variant.peers:
            return
        loads = self._trackers[vm].local_loads()
        for other, tracker in enumerate(self._trackers):
            if other != vm:
                tracker.apply_peer_loads(str(vm), loads)

    def _take(
        self, tracker: ServerTracker, engine: EngineModel, now_s: float
    ) -> None:
        engine.past.append((now_s, engine.inflight(now_s)))
        while len(engine.past) > 1 and engine.past[1][0] <= (
            now_s - _REPORT_LAG_S
        ):
            engine.past.popleft()
        taken_s, inflight = engine.past[0]
        if taken_s > now_s - _REPORT_LAG_S:
            return
        tracker.apply_load_report(
            LoadReport(
                backend_server=engine.name,
                running=min(_SLOTS, inflight),
                waiting=max(0, inflight - _SLOTS),
                sequence=0,
                age_s=now_s - taken_s,
            )
        )
        self._take_events(tracker, engine)

    @staticmethod
    def _take_events(tracker: ServerTracker, engine: EngineModel) -> None:
        """Passes on the cache events, of which the engine lost some."""
        after = tracker.cache_sequence(engine.name)
        events = [ev for ev in engine.events[after:] if ev is not None]
        tracker.apply_cache_events(
            engine.name,
            CacheEvents(events=events, next_sequence=len(engine.events)),
        )


class RoutingExperiment(Experiment):
    """Compares choices of a server on the same prompts."""

    __slots__ = ()

    name = "routing"
    targets = (
        Target(
            figure="mean_to_round_robin_ratio",
            variant="cache_and_load",
            at_most=1.0,
        ),
        Target(
            figure="mean_to_least_load_ratio",
            variant="cache_and_load",
            at_most=1.0,
        ),
        Target(
            figure="p99_to_round_robin_ratio",
            variant="cache_and_load",
            at_most=1.0,
        ),
        Target(
            figure="p99_to_least_load_ratio",
            variant="cache_and_load",
            at_most=1.0,
        ),
        Target(
            figure="p99_to_oracle_ratio", variant="cache_and_load", at_most=1.3
        ),
        Target(
            figure="hits_ahead_of_best_baseline_percent",
            variant="cache_and_load",
            at_least=0.0,
        ),
    )

    def run(self, seed: int) -> list[Figures]:
        """Returns the figures of every variant for one seed."""
        load = _make_load(random.Random(seed))
        wait = LeastExpectedWait()
        two = TwoChoicesByCacheAndLoad(rng=random.Random(seed + 2))
        variants = {
            "round_robin": _Variant(chooser=RoundRobin()),
            "least_reported_load": _Variant(chooser=LeastReportedLoad()),
            "two_choices": _Variant(chooser=two),
            "oracle": _Variant(chooser=wait, exact=True),
            "clairvoyant": _Variant(chooser=None),
            "reports_only": _Variant(chooser=wait),
            "cache_and_load": _Variant(chooser=wait, peers=True),
            "owner_asked": _Variant(chooser=wait, peers=True, owners=True),
        }
        results = {
            name: _Run(variant=variant, seed=seed).run(load)
            for name, variant in variants.items()
        }
        _add_ratios(results)
        return [
            Figures(
                experiment=self.name, variant=name, seed=seed, figures=figures
            )
            for name, figures in results.items()
        ]


def _add_ratios(results: dict[str, dict[str, float]]) -> None:
    """Adds how the policies of our own compare with the plain ones."""
    for name in ("cache_and_load", "owner_asked"):
        ours = results[name]
        for short, other in _COMPARED.items():
            for figure in ("mean", "p99"):
                key = f"{figure}_first_token_ms"
                ours[f"{figure}_to_{short}_ratio"] = (
                    ours[key] / results[other][key]
                )
        ours["hits_ahead_of_best_baseline_percent"] = ours[
            "cache_hit_percent"
        ] - max(
            results[other]["cache_hit_percent"]
            for other in ("round_robin", "least_reported_load")
        )


_COMPARED = {
    "round_robin": "round_robin",
    "least_load": "least_reported_load",
    "oracle": "oracle",
}

EXPERIMENT = RoutingExperiment()
