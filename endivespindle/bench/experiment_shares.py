"""Shares of client accounts over several entry VMs, one account flooding."""

import collections
import heapq
import random
from collections.abc import Callable

import msgspec

from endivespindle.accounts.admission_queue import AdmissionQueue, QueuedRequest
from endivespindle.bench.event_queue import EventQueue
from endivespindle.bench.experiment import Experiment, Figures, Target

__all__ = ["EXPERIMENT"]

_VMS = 8
_SLOTS = 96
_TOKEN_S = 0.02
_RUN_S = 60.0
_CHANGE_S = 30.0
_WINDOW_S = 10.0
_SAMPLE_S = 0.05
_HEARTBEAT_S = 0.5
_MAX_WAITING = 400
_FLOOD_FACTOR = 20.0
_LEAST_DUE_SLOT_S = 10.0
_DEADLINE_S = 30.0
_OVERCOMMIT = 1.06

_ACCOUNTS = tuple(f"a{i}" for i in range(8))
_FLOOD = "a0"


class _Request(msgspec.Struct, kw_only=True):
    """One request of an account, as it arrives at a VM."""

    at_s: float
    account: str
    tokens: int
    vm: int
    within_share: bool = False


def _weights(at_s: float) -> dict[str, float]:
    """Returns the shares in force; two accounts swap theirs on the way."""
    weights = dict.fromkeys(_ACCOUNTS, 1.0) | {"a1": 4.0, "a2": 2.0}
    if at_s >= _CHANGE_S:
        weights["a1"], weights["a2"] = weights["a2"], weights["a1"]
    return weights


def _make_load(rng: random.Random) -> list[_Request]:
    """Returns arrivals: one floods, others ask for less and more than due."""
    mean_tokens = 90.0
    due_rate = _SLOTS / 11.0 / (mean_tokens * _TOKEN_S)
    load = []
    for number, account in enumerate(_ACCOUNTS):
        factor = _FLOOD_FACTOR if account == _FLOOD else 0.3 + 0.4 * number
        homes = rng.sample(range(_VMS), 1 + number % 3)
        if account == _FLOOD:
            homes = list(range(_VMS))
        at_s = rng.uniform(0.0, 1.0)
        while at_s < _RUN_S:
            at_s += rng.expovariate(due_rate * factor)
            load.append(
                _Request(
                    at_s=at_s,
                    account=account,
                    tokens=int(rng.uniform(0.2, 1.8) * mean_tokens) + 1,
                    vm=rng.choice(homes),
                )
            )
    return sorted(load, key=lambda req: req.at_s)


def _entitled(demands: dict[str, int], at_s: float) -> dict[str, float]:
    """Returns the slots due to each account, found by bisection.

    It stands apart from the division under test.
    """
    weights = _weights(at_s)
    low, high = 0.0, float(_SLOTS)
    for _ in range(40):
        level = (low + high) / 2
        used = sum(min(d, level * weights[a]) for a, d in demands.items())
        low, high = (low, level) if used > _SLOTS else (level, high)
    return {a: min(d, low * weights[a]) for a, d in demands.items()}


class _Policy:
    """First come first served over all VMs, with one queue."""

    __slots__ = ("_queue", "_running")

    def __init__(self) -> None:
        self._queue: collections.deque[_Request] = collections.deque()
        self._running = 0

    def enqueue(self, req: _Request) -> int:
        """Takes an arrival, and returns how many were refused."""
        if len(self._queue) >= _MAX_WAITING * _VMS:
            return 1
        self._queue.append(req)
        return 0

    def admit(self) -> list[_Request]:
        """Returns what runs now."""
        admitted = []
        while self._queue and self._running < _SLOTS:
            self._running += 1
            admitted.append(self._queue.popleft())
        return admitted

    def end_request(self, req: _Request) -> None:
        """Counts a request ended."""
        del req
        self._running -= 1

    def waiting(self) -> collections.Counter[str]:
        """Returns the requests waiting by account."""
        return collections.Counter(req.account for req in self._queue)


class _Gates(_Policy):
    """The real gates, one on each VM, told of each other by heartbeats."""

    __slots__ = ("_clock", "_events", "_gates", "_taken")

    def __init__(self, *, events: EventQueue, seed: int, peers: bool):
        super().__init__()
        self._events = events
        self._clock = events.clock
        slots = _SLOTS * _OVERCOMMIT
        self._gates: list[AdmissionQueue[_Request]] = [
            AdmissionQueue(
                clock=self._clock,
                rng=random.Random(seed * 100 + vm),
                max_waiting=_MAX_WAITING,
                slots=slots if peers else slots / _VMS,
            )
            for vm in range(_VMS)
        ]
        self._taken: dict[int, QueuedRequest[_Request]] = {}
        for vm in range(_VMS if peers else 0):
            events.after(_HEARTBEAT_S * vm / _VMS, self._beat(vm))

    def _beat(self, vm: int) -> Callable[[], None]:
        def beat() -> None:
            demands = self._gates[vm].demands()
            for other, gate in enumerate(self._gates):
                if other != vm:
                    gate.apply_peer_demands(str(vm), demands)
            self._events.after(_HEARTBEAT_S, beat)

        return beat

    def enqueue(self, req: _Request) -> int:
        """Takes an arrival, and returns how many were refused."""
        now_s = self._clock.monotonic()
        refused = self._gates[req.vm].enqueue(
            QueuedRequest(
                account=req.account,
                item=req,
                cost=90.0,
                weight=_weights(now_s)[req.account],
                deadline_s=now_s + _DEADLINE_S,
            )
        )
        return len(refused)

    def admit(self) -> list[_Request]:
        """Returns what runs now."""
        admitted = []
        for gate in self._gates:
            gate.remove_expired()
            gate.weights = _weights(self._clock.monotonic())
            for request in gate.admit():
                request.item.within_share = request.within_share
                self._taken[id(request.item)] = request
                admitted.append(request.item)
        return admitted

    def end_request(self, req: _Request) -> None:
        """Counts a request ended."""
        self._gates[req.vm].end_request(
            self._taken.pop(id(req)), tokens=float(req.tokens)
        )

    def waiting(self) -> collections.Counter[str]:
        """Returns the requests waiting by account."""
        counts: collections.Counter[str] = collections.Counter()
        for gate in self._gates:
            for account, demand in gate.demands().items():
                counts[account] += demand.waiting
        return counts


class _Run:
    """One variant; what was due and served is observed from outside."""

    __slots__ = (
        "_arrivals",
        "_backlog",
        "_due",
        "_engine_queue",
        "_events",
        "_policy",
        "_refused",
        "_running",
        "_served",
        "_used",
    )

    def __init__(self, *, events: EventQueue, policy: _Policy):
        self._events = events
        self._policy = policy
        self._engine_queue: list[tuple[int, int, _Request]] = []
        self._arrivals = 0
        self._running: collections.Counter[str] = collections.Counter()
        self._due: dict[tuple[int, str], float] = {}
        self._served: dict[tuple[int, str], float] = {}
        self._backlog = 0.0
        self._used = 0.0
        self._refused = 0

    def run(self, load: list[_Request]) -> dict[str, float]:
        """Returns the figures of the variant."""
        for req in load:
            self._events.after(req.at_s, self._arrival(req))
        self._events.after(_SAMPLE_S, self._sample)
        self._events.run(until_s=_RUN_S)
        shares = {
            key: 100 * self._served[key] / due
            for key, due in self._due.items()
            if due >= _LEAST_DUE_SLOT_S
        }
        later = [share for (window, _), share in shares.items() if window]
        return {
            "worst_share_of_due_percent": min(shares.values()),
            "worst_share_after_first_10_s_percent": min(later),
            "capacity_used_percent": 100 * self._used / self._backlog,
            "refused_requests": float(self._refused),
        }

    def _arrival(self, req: _Request) -> Callable[[], None]:
        def arrive() -> None:
            self._refused += self._policy.enqueue(req)
            self._start()

        return arrive

    def _start(self) -> None:
        for req in self._policy.admit():
            self._arrivals += 1
            first = 0 if req.within_share else 1
            heapq.heappush(self._engine_queue, (first, self._arrivals, req))
        while self._engine_queue and self._running.total() < _SLOTS:
            req = heapq.heappop(self._engine_queue)[2]
            self._running[req.account] += 1
            self._events.after(req.tokens * _TOKEN_S, self._end(req))

    def _end(self, req: _Request) -> Callable[[], None]:
        def end() -> None:
            self._running[req.account] -= 1
            self._policy.end_request(req)
            self._start()

        return end

    def _sample(self) -> None:
        """Adds up what each account is due and what it has."""
        now_s = self._events.clock.monotonic()
        demands = self._policy.waiting()
        demands.update(entry[2].account for entry in self._engine_queue)
        demands.update(self._running)
        window = int(now_s / _WINDOW_S)
        for account, due in _entitled(demands, now_s).items():
            key = window, account
            self._due[key] = self._due.get(key, 0.0) + due * _SAMPLE_S
            has = self._running[account] * _SAMPLE_S
            self._served[key] = self._served.get(key, 0.0) + has
        self._used += self._running.total() * _SAMPLE_S
        self._backlog += min(_SLOTS, demands.total()) * _SAMPLE_S
        self._start()
        self._events.after(_SAMPLE_S, self._sample)


class SharesExperiment(Experiment):
    """Compares gates that tell each other with ones that do not."""

    __slots__ = ()

    name = "shares"
    targets = (
        Target(
            figure="worst_share_of_due_percent",
            variant="shared_gates",
            at_least=95.0,
        ),
        Target(
            figure="capacity_used_percent",
            variant="shared_gates",
            at_least=98.0,
        ),
    )

    def run(self, seed: int) -> list[Figures]:
        """Returns the figures of every variant for one seed."""
        load = _make_load(random.Random(seed))
        results = []
        for variant in ("first_come", "gates_apart", "shared_gates"):
            events = EventQueue()
            policy = _Policy()
            if variant != "first_come":
                policy = _Gates(
                    events=events, seed=seed, peers=variant == "shared_gates"
                )
            figures = _Run(events=events, policy=policy).run(load)
            results.append(
                Figures(
                    experiment=self.name,
                    variant=variant,
                    seed=seed,
                    figures=figures,
                )
            )
        return results


EXPERIMENT = SharesExperiment()
