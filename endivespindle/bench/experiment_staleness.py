"""Staleness: three trainers share engines while their weights change.

Each trainer submits one step ahead, trains while the next one is sampled,
and publishes a version after each step. The weight store serves one fetch
after another. Some swaps answer success and keep the old weights; some of
those also report the new version. Chunks always name the truth.
"""

import collections
import random

import msgspec

from endivespindle.bench.event_queue import EventQueue
from endivespindle.bench.experiment import Experiment, Figures, Target
from endivespindle.rollout.delivery import (
    CandidateSample,
    OpenSlot,
    acknowledge,
    commit_samples,
    declare_version,
    missing_slots,
    offer,
)
from endivespindle.rollout.staleness import StalenessFilter, VersionForecast
from endivespindle.rollout.submission import split_step, submit_step
from endivespindle.schema.generated.rollout import (
    GroupSubmission,
    StepSubmission,
)
from endivespindle.schema.generated.stored import TrainerState
from endivespindle.weights.swap_plan import (
    EngineVersion,
    SwapLimits,
    SwapPlanner,
)

__all__ = ["EXPERIMENT"]

_ENGINES = 9
_SLOTS = 24
_SPEED_TOKENS_S = 60.0
_GROUPS = 48
_GROUP_SIZE = 8
_MEDIAN_TOKENS = 500.0
_MAX_TOKENS = 4096
_SIGMA = 0.6
_TRAIN_S = (90.0, 150.0, 210.0)
_STEPS_S = 2400.0
_TICK_S = 1.0
_EXPECTED_S = 2 * _MEDIAN_TOKENS / _SPEED_TOKENS_S
_BOUND = 2
_FETCH_S = 1.5
_LOAD_S = 2.0
_REPORT_LAG_S = 2.0
_FAILED_SWAPS = 0.10
_LYING_SWAPS = 0.05


class Engine(msgspec.Struct, kw_only=True):
    """An engine's true and reported version for each trainer."""

    name: str
    used: int = 0
    held: dict[int, int] = {}
    reported: dict[int, int] = {}


class Cluster:
    """Engines and the weight store, shared by all trainers."""

    __slots__ = ("_fetch_free_s", "_rng", "engines", "on_chunk", "queue")

    def __init__(self, *, seed: int):
        self._rng = random.Random(f"cluster {seed}")
        self._fetch_free_s = 0.0
        self.queue = EventQueue()
        self.engines = [Engine(name=f"e{n}") for n in range(_ENGINES)]

    def swap(self, engine: Engine, trainer: int, version: int) -> None:
        """Fetches in turn, loads, and perhaps only says so."""
        now_s = self.queue.clock.monotonic()
        self._fetch_free_s = max(now_s, self._fetch_free_s) + _FETCH_S
        delay_s = self._fetch_free_s - now_s + _LOAD_S
        draw = self._rng.random()
        lies = draw < _LYING_SWAPS
        fails = lies or draw < _LYING_SWAPS + _FAILED_SWAPS

        def loaded() -> None:
            if not fails:
                engine.held[trainer] = version

        def reported() -> None:
            if lies or not fails:
                engine.reported[trainer] = version

        self.queue.after(delay_s, loaded)
        self.queue.after(delay_s + _REPORT_LAG_S, reported)


class TrainerRun:
    """One trainer, its state and the policy that serves it."""

    __slots__ = (
        "_cluster",
        "_gate",
        "_guarded",
        "_number",
        "_open",
        "_planner",
        "_outlook",
        "_ready",
        "_rng",
        "_running",
        "_step",
        "_swap_seen_s",
        "_train_until_s",
        "idle_s",
        "over_bound",
        "stale",
        "started",
        "state",
        "swap_s",
        "taken",
    )

    def __init__(
        self, *, number: int, cluster: Cluster, seed: int, guarded: bool
    ):
        self._number = number
        self._cluster = cluster
        self._guarded = guarded
        self._rng = random.Random(f"trainer {number} {seed}")
        self._outlook = VersionForecast()
        self._gate = StalenessFilter(max_staleness_versions=_BOUND)
        self._planner = SwapPlanner(
            clock=cluster.queue.clock,
            rng=self._rng,
            limits=SwapLimits(
                max_fraction=0.5,
                swap_timeout_s=3 * _ENGINES * _FETCH_S,
                max_staleness_versions=_BOUND,
            ),
        )
        self._ready: list[CandidateSample] = []
        self._running: set[tuple[int, int, int]] = set()
        self._open: collections.deque[OpenSlot] = collections.deque()
        self._step = 0
        self._train_until_s: float | None = None
        self._swap_seen_s = 0.0
        self.state = TrainerState()
        self.started = False
        self.idle_s = 0.0
        self.stale = 0
        self.taken = 0
        self.over_bound = 0
        self.swap_s: list[float] = []
        self._submit(0)
        self._submit(1)

    def tick(self) -> None:
        """Commits, delivers, trains, swaps."""
        self._commit()
        self._deliver()
        self._train()
        self._swap()
        self._outlook.observe(
            self.state.version,
            [step.step for step in self.state.steps],
            self._cluster.queue.clock.monotonic(),
        )
        self._open = collections.deque(
            slot
            for slot in missing_slots(self.state)
            if (slot.step, slot.group, slot.index) not in self._running
        )

    def next_slot(self) -> tuple[OpenSlot, Engine] | None:
        """Returns a slot to start, and an engine for it."""
        if not self._open:
            return None
        slot = self._open[0]
        free = [e for e in self._cluster.engines if e.used < _SLOTS]
        if self._guarded:
            stale = self._stale_engines(slot.step)
            free = [e for e in free if e.name not in stale]
        if not free:
            return None
        self._open.popleft()
        return slot, min(free, key=lambda e: (e.used, e.name))

    def start(self, slot: OpenSlot, engine: Engine) -> None:
        """Generates a sample, over the versions that the engine holds."""
        engine.used += 1
        key = (slot.step, slot.group, slot.index)
        self._running.add(key)
        tokens = max(
            16,
            min(
                _MAX_TOKENS,
                int(_MEDIAN_TOKENS * self._rng.lognormvariate(0, _SIGMA)),
            ),
        )
        oldest = engine.held.get(self._number, 0)
        self._planner.record_chunk_version(engine.name, oldest)

        def ended() -> None:
            engine.used -= 1
            latest = engine.held.get(self._number, 0)
            self._planner.record_chunk_version(engine.name, latest)
            self._ready.append(
                CandidateSample(
                    step=slot.step,
                    group=slot.group,
                    index=slot.index,
                    digest=f"{key}",
                    holders=["vm"],
                    oldest_version=oldest,
                    tokens=tokens,
                )
            )

        self._cluster.queue.after(tokens / _SPEED_TOKENS_S, ended)

    def _stale_engines(self, step: int) -> frozenset[str]:
        held = {
            e.name: self._planner.version_of(self._reported(e))
            for e in self._cluster.engines
        }
        now_s = self._cluster.queue.clock.monotonic()
        rise = self._outlook.expected_rise(step, _EXPECTED_S, now_s)
        return self._gate.stale_engines(
            held, version=self.state.version, rise=rise
        )

    def _reported(self, engine: Engine) -> EngineVersion:
        return EngineVersion(
            name=engine.name, version=engine.reported.get(self._number, 0)
        )

    def _commit(self) -> None:
        if not self._ready:
            return
        result = commit_samples(
            self.state, self._ready, max_staleness_versions=_BOUND
        )
        self.state = result.state
        self.stale += len(result.stale)
        for cand in self._ready:
            self._running.discard((cand.step, cand.group, cand.index))
        self._ready = []

    def _deliver(self) -> None:
        """Hands out what is committed for the step wanted now."""
        if self._train_until_s is not None:
            return
        gone = set(self.state.voided)
        live = [e for e in self.state.entries if e.cursor not in gone]
        result = offer(self.state, live, max_staleness_versions=_BOUND)
        self.state = result.state
        self.stale += len(result.stale)
        oldest = self.state.version - _BOUND
        self.over_bound += sum(
            entry.oldest_version < oldest for entry in result.entries
        )
        self.taken += len(result.entries)
        if result.entries:
            self.state = acknowledge(self.state, result.entries[-1].cursor)

    def _train(self) -> None:
        now_s = self._cluster.queue.clock.monotonic()
        if self._train_until_s is not None:
            if now_s < self._train_until_s:
                return
            self._train_until_s = None
            self.state = declare_version(self.state, self.state.version + 1)
            self._swap_seen_s = now_s
            self._submit(self._step + 1)
            self._deliver()
        if self._step_open():
            self.idle_s += _TICK_S if self.started else 0.0
            return
        self.started = True
        self._step += 1
        train_s = _TRAIN_S[self._number] * self._rng.uniform(0.95, 1.05)
        self._train_until_s = now_s + train_s

    def _step_open(self) -> bool:
        return any(step.step == self._step for step in self.state.steps)

    def _swap(self) -> None:
        version = self.state.version
        if not version:
            return
        engines = [self._reported(e) for e in self._cluster.engines]
        if self._guarded:
            names = self._planner.plan(engines, version=version)
        else:
            names = self._ordered_once(version)
        for engine in self._cluster.engines:
            if engine.name in names:
                self._cluster.swap(engine, self._number, version)
        truth = [e.held.get(self._number, 0) for e in self._cluster.engines]
        if min(truth) == version and self._swap_seen_s:
            now_s = self._cluster.queue.clock.monotonic()
            self.swap_s.append(now_s - self._swap_seen_s)
            self._swap_seen_s = 0.0

    def _ordered_once(self, version: int) -> list[str]:
        """Orders all engines at once and believes their answers."""
        if version == self._planner.failed:
            return []
        self._planner.failed = version
        return [engine.name for engine in self._cluster.engines]

    def _submit(self, step: int) -> None:
        groups = [
            GroupSubmission(
                group=g, prompt="p", samples=_GROUP_SIZE, max_tokens=_MAX_TOKENS
            )
            for g in range(_GROUPS)
        ]
        split = split_step(StepSubmission(step=step, groups=groups))
        self.state = submit_step(self.state, split)


class Staleness(Experiment):
    """Compares guarded sampling with first come, first served."""

    __slots__ = ()

    name = "staleness"
    targets = (
        Target(figure="over_bound_samples", variant="guarded", at_most=0),
        Target(figure="trainer_idle_fraction", variant="guarded", at_most=0.05),
        Target(figure="thrown_away_fraction", variant="guarded", at_most=0.02),
        Target(figure="swap_all_max_s", variant="guarded", at_most=38.0),
    )

    def run(self, seed: int) -> list[Figures]:
        """Returns the figures of both variants for one seed."""
        return [
            self._measure(seed, "first_come", guarded=False),
            self._measure(seed, "guarded", guarded=True),
        ]

    def _measure(self, seed: int, variant: str, *, guarded: bool) -> Figures:
        cluster = Cluster(seed=seed)
        trainers = [
            TrainerRun(number=n, cluster=cluster, seed=seed, guarded=guarded)
            for n in range(len(_TRAIN_S))
        ]
        turn = 0
        while cluster.queue.clock.monotonic() < _STEPS_S:
            now_s = cluster.queue.clock.monotonic()
            cluster.queue.run(until_s=now_s + _TICK_S)
            for trainer in trainers:
                trainer.tick()
            misses = 0
            while misses < len(trainers):
                turn += 1
                trainer = trainers[turn % len(trainers)]
                found = trainer.next_slot()
                if found is None:
                    misses += 1
                    continue
                misses = 0
                trainer.start(*found)
        taken = sum(t.taken for t in trainers)
        stale = sum(t.stale for t in trainers)
        swaps = sorted(s for t in trainers for s in t.swap_s) or [_STEPS_S]
        return Figures(
            experiment=self.name,
            variant=variant,
            seed=seed,
            figures={
                "over_bound_samples": sum(t.over_bound for t in trainers),
                "trainer_idle_fraction": sum(t.idle_s for t in trainers)
                / (len(trainers) * _STEPS_S),
                "thrown_away_fraction": stale / max(1, taken + stale),
                "taken_samples": taken,
                "swap_all_p50_s": swaps[len(swaps) // 2],
                "swap_all_max_s": swaps[-1],
                "versions_on_all_fraction": len(swaps)
                / max(1, sum(t.state.version for t in trainers)),
                "swap_all_within_38_s_fraction": sum(s <= 38.0 for s in swaps)
                / max(1, sum(t.state.version for t in trainers)),
            },
        )


EXPERIMENT = Staleness()
