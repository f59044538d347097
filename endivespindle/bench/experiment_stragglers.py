"""Stragglers: heavy-tailed lengths, a slow engine and a dying one.

Each engine runs a fixed number of requests at once, each at the engine's own
speed. The trace fixes the length of every sample, whoever generates it.
"""

import math
import random

import msgspec

from endivespindle.bench.event_queue import EventQueue
from endivespindle.bench.experiment import Experiment, Figures, Target
from endivespindle.rollout.delivery import OpenSlot
from endivespindle.rollout.stragglers import (
    FirstComeFirstServed,
    HedgeFromScratch,
    LongestGroupFirst,
    Mitigation,
    MitigationKind,
    RunningSample,
    SlotKey,
    StragglerPolicy,
)

__all__ = ["EXPERIMENT"]

_ENGINES = 8
_SLOTS = 24
_SPEED_TOKENS_S = 60.0
_SLOW_FRACTION = 1 / 3
_GROUPS = 256
_GROUP_SIZE = 8
_MAX_TOKENS = 4096
_MEDIAN_TOKENS = 400.0
_GROUP_SIGMA = 0.7
_SAMPLE_SIGMA = 0.4
_TICK_S = 0.5
_DEATH_S = (20.0, 60.0)
_STREAM_TIMEOUT_S = 60.0
_LIMIT_S = 3600.0


class Attempt(msgspec.Struct, kw_only=True):
    """An attempt on an engine, with what the policy sees of it."""

    run: RunningSample
    engine: int
    first_token: int


class StepRun:
    """Generates one step under one policy."""

    __slots__ = (
        "_alive",
        "_attempts",
        "_death_s",
        "_dying",
        "_lengths",
        "_policy",
        "_queue",
        "_resumes",
        "_speeds",
        "_used",
        "_waiting",
        "done",
        "wasted_tokens",
    )

    def __init__(
        self, *, policy: StragglerPolicy, trace: "Trace", resumes: bool
    ):
        self._policy = policy
        self._resumes = resumes
        self._lengths = trace.lengths
        self._speeds = trace.speeds
        self._dying = trace.dying
        self._death_s = trace.death_s
        self._alive = [True] * _ENGINES
        self._attempts: list[Attempt] = []
        self._used = [0] * _ENGINES
        self._waiting = [
            OpenSlot(step=0, group=group, index=index, page="")
            for group, index in sorted(key[1:] for key in trace.lengths)
        ]
        self._queue = EventQueue()
        self.done: dict[SlotKey, float] = {}
        self.wasted_tokens = 0.0

    def go(self) -> float:
        """Returns the seconds until every slot was filled."""
        while len(self.done) < len(self._lengths):
            self._queue.run(until_s=self._queue.clock.monotonic() + _TICK_S)
            self._tick(self._queue.clock.monotonic())
            if self._queue.clock.monotonic() > _LIMIT_S:
                break
        return max(self.done.values(), default=_LIMIT_S)

    def _tick(self, now_s: float) -> None:
        if now_s >= self._death_s:
            self._alive[self._dying] = False
        for attempt in list(self._attempts):
            if attempt.run.slot not in self.done:
                self._advance(attempt, now_s)
        moves = self._policy.mitigations(
            [attempt.run for attempt in self._attempts],
            waiting=len(self._waiting),
            idle_slots=sum(self._idle(e) for e in range(_ENGINES)),
            now_s=now_s,
        )
        for move in moves:
            self._carry_out(move, now_s)
        self._start(now_s)

    def _advance(self, attempt: Attempt, now_s: float) -> None:
        run = attempt.run
        if not self._alive[attempt.engine]:
            if now_s - run.progress_s > _STREAM_TIMEOUT_S:
                self._lose(attempt)
            return
        speed = self._speeds[attempt.engine]
        length = self._lengths[run.slot]
        made = min(length - run.tokens, math.ceil(speed * _TICK_S))
        run.tokens += made
        run.progress_s = now_s
        self._policy.record_chunk(run.server, tokens=made, seconds=made / speed)
        self._policy.record_length(run.slot, run.tokens)
        if run.tokens >= length:
            self._finish(attempt, now_s)

    def _finish(self, attempt: Attempt, now_s: float) -> None:
        self._policy.record_finished(now_s - attempt.run.started_s)
        self.done[attempt.run.slot] = now_s
        self._drop(attempt)
        for other in self._of(attempt.run.slot):
            self.wasted_tokens += other.run.tokens - other.first_token
            self._drop(other)

    def _lose(self, attempt: Attempt) -> None:
        """The stream broke off; it starts or goes on elsewhere."""
        self._drop(attempt)
        if self._of(attempt.run.slot) or attempt.run.slot in self.done:
            return
        kept = attempt.run.tokens if self._resumes else 0
        self.wasted_tokens += attempt.run.tokens - kept
        self._place(attempt.run.slot, kept, avoid={attempt.engine}, moves=0)

    def _carry_out(self, move: Mitigation, now_s: float) -> None:
        earlier = self._of(move.slot)[0]
        kept = earlier.run.tokens if self._resumes else 0
        if move.kind is MitigationKind.MIGRATE:
            self._drop(earlier)
        placed = self._place(
            move.slot,
            kept,
            avoid={earlier.engine},
            moves=earlier.run.moves + 1,
        )
        if placed is None:
            if move.kind is MitigationKind.MIGRATE:
                self._add(earlier)
            return
        placed.run.hedged = earlier.run.hedged = (
            move.kind is MitigationKind.HEDGE
        )

    def _start(self, now_s: float) -> None:
        self._waiting = self._policy.order(self._waiting)
        while self._waiting:
            slot = self._waiting[0]
            key = (slot.step, slot.group, slot.index)
            if self._place(key, 0, avoid=set(), moves=0) is None:
                return
            self._waiting.pop(0)

    def _place(
        self, key: SlotKey, tokens: int, *, avoid: set[int], moves: int
    ) -> Attempt | None:
        """Puts an attempt on the engine with most idle slots, if any."""
        engines = [
            e for e in range(_ENGINES) if self._idle(e) > 0 and e not in avoid
        ]
        if not engines:
            return None
        slow = self._slow()
        engine = max(
            engines, key=lambda e: (str(e) not in slow, self._idle(e), -e)
        )
        now_s = self._queue.clock.monotonic()
        run = RunningSample(
            slot=key,
            server=str(engine),
            tokens=tokens,
            started_s=now_s,
            progress_s=now_s,
            moves=moves,
        )
        attempt = Attempt(run=run, engine=engine, first_token=tokens)
        self._add(attempt)
        return attempt

    def _add(self, attempt: Attempt) -> None:
        self._attempts.append(attempt)
        self._used[attempt.engine] += 1

    def _drop(self, attempt: Attempt) -> None:
        self._attempts.remove(attempt)
        self._used[attempt.engine] -= 1

    def _slow(self) -> frozenset[str]:
        if isinstance(self._policy, LongestGroupFirst):
            return self._policy.slow_servers()
        return frozenset()

    def _idle(self, engine: int) -> int:
        if not self._alive[engine]:
            return 0
        return _SLOTS - self._used[engine]

    def _of(self, key: SlotKey) -> list[Attempt]:
        return [a for a in self._attempts if a.run.slot == key]


class Trace:
    """Lengths of the samples and faults of the engines, from a seed."""

    __slots__ = ("death_s", "dying", "lengths", "speeds")

    def __init__(self, *, seed: int):
        rng = random.Random(seed)
        self.lengths: dict[SlotKey, int] = {}
        for group in range(_GROUPS):
            mean = _MEDIAN_TOKENS * rng.lognormvariate(0, _GROUP_SIGMA)
            for index in range(_GROUP_SIZE):
                tokens = mean * rng.lognormvariate(0, _SAMPLE_SIGMA)
                self.lengths[0, group, index] = max(
                    8, min(_MAX_TOKENS, int(tokens))
                )
        self.speeds = [_SPEED_TOKENS_S] * _ENGINES
        slow, self.dying = rng.sample(range(_ENGINES), 2)
        self.speeds[slow] *= _SLOW_FRACTION
        self.death_s = rng.uniform(*_DEATH_S)

    def lower_bound_s(self) -> float:
        """Returns the least time in which all work can be done.

        No schedule beats all slots busy until the last token, nor the
        longest sample on the fastest engine.
        """
        total = sum(self.lengths.values())
        dying = self.speeds[self.dying] * _SLOTS
        others = sum(self.speeds) * _SLOTS - dying
        shared_s = total / (others + dying)
        if shared_s > self.death_s:
            shared_s = (total - dying * self.death_s) / others
        longest_s = max(self.lengths.values()) / max(self.speeds)
        return max(shared_s, longest_s)


class Stragglers(Experiment):
    """Compares straggler policies on one step."""

    __slots__ = ()

    name = "stragglers"
    targets = (
        Target(
            figure="step_time_over_lower_bound_ratio",
            variant="longest_group_first",
            at_most=1.15,
        ),
        Target(
            figure="duplicate_tokens_fraction",
            variant="longest_group_first",
            at_most=0.05,
        ),
    )

    def run(self, seed: int) -> list[Figures]:
        """Returns the figures of every policy for one seed."""
        trace = Trace(seed=seed)
        return [
            self._measure(seed, trace, "first_come", FirstComeFirstServed()),
            self._measure(seed, trace, "hedge", HedgeFromScratch()),
            self._measure(
                seed, trace, "longest_group_first", LongestGroupFirst()
            ),
        ]

    def _measure(
        self, seed: int, trace: Trace, variant: str, policy: StragglerPolicy
    ) -> Figures:
        resumes = isinstance(policy, LongestGroupFirst)
        run = StepRun(policy=policy, trace=trace, resumes=resumes)
        step_s = run.go()
        useful = sum(trace.lengths.values())
        return Figures(
            experiment=self.name,
            variant=variant,
            seed=seed,
            figures={
                "step_time_s": step_s,
                "step_time_over_lower_bound_ratio": step_s
                / trace.lower_bound_s(),
                "duplicate_tokens_fraction": run.wasted_tokens / useful,
            },
        )


EXPERIMENT = Stragglers()
