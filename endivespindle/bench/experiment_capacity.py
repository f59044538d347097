"""Capacity over a day: start times, a cheap zone lost, orders refused."""

import collections
import math
import random

import msgspec

from endivespindle.bench.experiment import Experiment, Figures, Target
from endivespindle.capacity.plan import plan_servers
from endivespindle.capacity.policy import (
    CapacityPolicy,
    DataCentreOffer,
    Demand,
)

__all__ = ["EXPERIMENT"]

_STEP_S = 30.0
_DAY_S = 86_400.0
_STEPS = int(_DAY_S / _STEP_S)
_START_STEPS = 6
_PER_SERVER_S = 1000.0
_PEAK_TOKENS_S = 60_000.0
_URGENT_SHARE = 0.2
_URGENT_DEADLINE_STEPS = 2
_BATCH_DEADLINE_STEPS = 60
_JOBS_PER_STEP = 8
_LOSS_STEPS = 60
_ORDERS_DOWN_STEPS = 20
_CENTRES = (
    DataCentreOffer(name="steady", cheap=False, price=1.0, max_servers=200),
    DataCentreOffer(name="cheap-a", cheap=True, price=0.4, max_servers=60),
    DataCentreOffer(name="cheap-b", cheap=True, price=0.4, max_servers=60),
)
_LOST = "cheap-a"


class _Job(msgspec.Struct):
    number: int
    step: int
    deadline: int
    tokens: float
    left: float
    place: str = ""


class _Day:
    """One day of load and faults, the same for every variant."""

    def __init__(self, seed: int):
        rng = random.Random(seed)
        phase = rng.uniform(-0.05, 0.05)
        self.load = []
        for step in range(_STEPS):
            angle = 2 * math.pi * (step / _STEPS + phase)
            curve = 0.2 + 0.8 * (0.5 - 0.5 * math.cos(angle)) ** 1.5
            self.load.append(
                _PEAK_TOKENS_S * curve * rng.lognormvariate(0, 0.05)
            )
        peak = int(_STEPS * (0.5 - phase))
        self.loss = range(peak, peak + _LOSS_STEPS)
        self.orders_down = range(peak, peak + _ORDERS_DOWN_STEPS)
        self.rng = rng


class _Plan:
    """A variant: says at each step how many servers are ordered where."""

    lead_steps = _START_STEPS

    def __init__(self, day: _Day):
        self.day = day

    def orders(self, step: int, backlog: float) -> dict[str, int]:
        raise NotImplementedError


class _Fixed(_Plan):
    """Half of the peak in each zone, all day."""

    def orders(self, step: int, backlog: float) -> dict[str, int]:
        each = math.ceil(_PEAK_TOKENS_S / _PER_SERVER_S / 2)
        return {centre.name: each for centre in _CENTRES}


class _Reactive(_Plan):
    """The plain plan with hysteresis, even over the zones."""

    def __init__(self, day: _Day):
        super().__init__(day)
        self.current = 1

    def orders(self, step: int, backlog: float) -> dict[str, int]:
        self.current = plan_servers(
            demand_tokens_per_s=self.day.load[step],
            tokens_per_server_s=_PER_SERVER_S,
            current=self.current,
            servers_min=1,
            servers_max=200,
        )
        each = math.ceil(self.current / len(_CENTRES))
        return {centre.name: each for centre in _CENTRES}


class _Ours(_Plan):
    """The policy of the service."""

    def __init__(self, day: _Day):
        super().__init__(day)
        self.policy = CapacityPolicy(
            tokens_per_server_s=_PER_SERVER_S,
            start_time_s=_START_STEPS * _STEP_S,
        )

    def orders(self, step: int, backlog: float) -> dict[str, int]:
        load = self.day.load[step]
        demand = Demand(
            urgent_tokens_per_s=load * _URGENT_SHARE,
            batch_tokens_per_s=load * (1 - _URGENT_SHARE),
            backlog_tokens=backlog,
        )
        centres = [
            msgspec.structs.replace(
                centre,
                is_available=centre.name != _LOST or step not in self.day.loss,
            )
            for centre in _CENTRES
        ]
        return self.policy.plan(demand, centres, now_s=step * _STEP_S)


class _Oracle(_Plan):
    """Knows load and faults, and has what is needed just in time."""

    lead_steps = 0

    def orders(self, step: int, backlog: float) -> dict[str, int]:
        window = self.day.load[max(0, step - _BATCH_DEADLINE_STEPS // 2) : step]
        batch = sum(window) / len(window) if window else self.day.load[step]
        needed_s = self.day.load[step] * _URGENT_SHARE + batch * (
            1 - _URGENT_SHARE
        )
        left = math.ceil(needed_s / _PER_SERVER_S)
        counts = {centre.name: 0 for centre in _CENTRES}
        for centre in sorted(_CENTRES, key=lambda c: c.price):
            if centre.name == _LOST and step in self.day.loss:
                continue
            counts[centre.name] = min(left, centre.max_servers)
            left -= counts[centre.name]
        return counts


class _Run:
    """Runs one variant through a day, and keeps the accounts."""

    def __init__(self, plan: _Plan):
        self.plan = plan
        self.running = {centre.name: 0 for centre in _CENTRES}
        self.starting: list[tuple[int, str, int]] = []
        self.urgent: collections.deque[_Job] = collections.deque()
        self.batch: collections.deque[_Job] = collections.deque()
        self.cost = 0.0
        self.tokens = 0.0
        self.in_time = 0.0
        self.cheap_tokens = 0.0
        self.done_tokens = 0.0
        self.deliveries: collections.Counter[int] = collections.Counter()
        self.jobs = 0

    def day(self) -> None:
        for step in range(_STEPS):
            self._lose_zone(step)
            self._order(step)
            self._arrive(step)
            self._serve(step)
        self._serve_rest()

    def _lose_zone(self, step: int) -> None:
        if step not in self.plan.day.loss:
            return
        self.running[_LOST] = 0
        self.starting = [s for s in self.starting if s[1] != _LOST]
        for job in (*self.urgent, *self.batch):
            if job.place == _LOST:
                job.left, job.place = job.tokens, ""

    def _order(self, step: int) -> None:
        due = [s for s in self.starting if s[0] <= step]
        self.starting = [s for s in self.starting if s[0] > step]
        for _, name, count in due:
            self.running[name] += count
        backlog = sum(job.left for job in self.batch)
        foresight = self.plan.lead_steps == 0
        if not foresight and step in self.plan.day.orders_down:
            return
        for name, count in self.plan.orders(step, backlog).items():
            if name == _LOST and step in self.plan.day.loss:
                continue
            self._adjust(step, name, count)

    def _adjust(self, step: int, name: str, count: int) -> None:
        coming = sum(s[2] for s in self.starting if s[1] == name)
        missing = count - self.running[name] - coming
        if missing > 0:
            start = step + self.plan.lead_steps
            if self.plan.lead_steps:
                self.starting.append((start, name, missing))
            else:
                self.running[name] += missing
        elif missing < 0:
            self.running[name] = max(0, self.running[name] + missing)

    def _arrive(self, step: int) -> None:
        load = self.plan.day.load[step] * _STEP_S
        for queue, share, deadline in (
            (self.urgent, _URGENT_SHARE, _URGENT_DEADLINE_STEPS),
            (self.batch, 1 - _URGENT_SHARE, _BATCH_DEADLINE_STEPS),
        ):
            each = load * share / _JOBS_PER_STEP
            for _ in range(_JOBS_PER_STEP):
                self.jobs += 1
                queue.append(_Job(self.jobs, step, step + deadline, each, each))

    def _serve(self, step: int) -> None:
        starting = collections.Counter(
            {name: count for _, name, count in self.starting}
        )
        for centre in sorted(_CENTRES, key=lambda c: c.price):
            servers = self.running[centre.name]
            paid = servers + starting[centre.name]
            self.cost += paid * centre.price * _STEP_S / 3600
            room = servers * _PER_SERVER_S * _STEP_S
            # Urgent work goes to steady zones last in price order, so that
            # batch work, which can be resumed, fills the cheap ones.
            for queue in (self.urgent, self.batch):
                room = self._run_queue(queue, room, centre, step)

    def _run_queue(
        self,
        queue: collections.deque[_Job],
        room: float,
        centre: DataCentreOffer,
        step: int,
    ) -> float:
        while queue and room > 0:
            job = queue[0]
            used = min(room, job.left)
            job.left -= used
            job.place = centre.name
            room -= used
            if job.left <= 0:
                queue.popleft()
                self._deliver(job, centre, step)
        return room

    def _deliver(self, job: _Job, centre: DataCentreOffer, step: int) -> None:
        self.deliveries[job.number] += 1
        self.done_tokens += job.tokens
        self.cheap_tokens += job.tokens if centre.cheap else 0.0
        self.in_time += job.tokens if step <= job.deadline else 0.0

    def _serve_rest(self) -> None:
        for queue in (self.urgent, self.batch):
            while queue:
                self._deliver(queue.popleft(), _CENTRES[0], _STEPS)

    def figures(self, oracle_cost: float) -> dict[str, float]:
        doubled = sum(1 for n in self.deliveries.values() if n > 1)
        return {
            "cost_price_hours": round(self.cost, 1),
            "cost_to_oracle_ratio": round(self.cost / oracle_cost, 4),
            "deadline_share": round(self.in_time / self.done_tokens, 5),
            "cheap_token_share": round(self.cheap_tokens / self.done_tokens, 4),
            "lost_samples_count": float(self.jobs - len(self.deliveries)),
            "doubled_samples_count": float(doubled),
        }


class CapacityExperiment(Experiment):
    """Orders over a day, against plain plans and perfect foresight."""

    name = "capacity"
    targets = (
        Target(figure="cost_to_oracle_ratio", variant="ours", at_most=1.2),
        Target(figure="deadline_share", variant="ours", at_least=0.99),
        Target(figure="cheap_token_share", variant="ours", at_least=0.6),
        Target(figure="lost_samples_count", variant="ours", at_most=0),
        Target(figure="doubled_samples_count", variant="ours", at_most=0),
    )

    def run(self, seed: int) -> list[Figures]:
        """Returns the figures of every variant for one seed."""
        variants = {
            "oracle": _Oracle,
            "fixed": _Fixed,
            "reactive": _Reactive,
            "ours": _Ours,
        }
        runs = {}
        for name, plan in variants.items():
            runs[name] = _Run(plan(_Day(seed)))
            runs[name].day()
        return [
            Figures(
                experiment=self.name,
                variant=name,
                seed=seed,
                figures=run.figures(runs["oracle"].cost),
            )
            for name, run in runs.items()
        ]


EXPERIMENT = CapacityExperiment()
