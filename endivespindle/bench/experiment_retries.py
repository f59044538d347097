"""Retries while half of the backend servers fail or crawl."""

import random
from collections.abc import Callable

import msgspec

from endivespindle.accounts.admission_queue import (
    AdmissionQueue,
    QueuedRequest,
    Refusal,
)
from endivespindle.bench.event_queue import EventQueue
from endivespindle.bench.experiment import Experiment, Figures, Target
from endivespindle.core.reasons import Reason
from endivespindle.routing.attempts import RequestAttempts, Retry, Send
from endivespindle.routing.choice import LeastExpectedWait
from endivespindle.routing.health import AttemptOutcome
from endivespindle.routing.retry_budget import RetryBudget
from endivespindle.routing.tracker import ServerTracker
from endivespindle.schema.generated.caller import RunState
from endivespindle.schema.generated.register import BackendServer

__all__ = ["EXPERIMENT"]

_SERVERS = 12
_SLOTS = 8
_SERVICE_S = 0.8
_LOAD = 0.9
_WARM_S = 20.0
_FAULT_S = 60.0
_AFTER_S = 40.0
_END_S = _WARM_S + _FAULT_S + _AFTER_S
_DEADLINE_S = 8.0
_CRAWL_FACTOR = 10.0
_LOSS_S = 0.05
_BUDGET = 0.1
_MAX_WAITING = 400
_RECOVERED_PERCENT = 95.0
_REPEATABLE = 0.7


class _Call(msgspec.Struct, kw_only=True):
    """One call, and what an observer saw of it."""

    at_s: float
    work_s: float
    repeatable: bool
    attempts: int = 0
    runs: int = 0
    done: bool = False
    claimed_not_run: bool = False


class _Server:
    """A fake server with slots, whose queue is served in order."""

    __slots__ = ("_free_s", "fault")

    def __init__(self, *, fault: str):
        self.fault = fault
        self._free_s = [0.0] * _SLOTS

    def finish_s(self, call: _Call, now_s: float, *, faulty: bool) -> float:
        """Returns when the call is answered."""
        place = min(range(_SLOTS), key=self._free_s.__getitem__)
        factor = _CRAWL_FACTOR if faulty and self.fault == "crawl" else 1.0
        end_s = max(now_s, self._free_s[place]) + call.work_s * factor
        self._free_s[place] = end_s
        return end_s


class _NoBudget(RetryBudget):
    """A budget that never ends, as a baseline."""

    __slots__ = ()

    def try_withdraw(self) -> bool:
        """Allows every retry."""
        return True


class _Run:
    """One variant: gate, choice, attempts and fake servers."""

    __slots__ = (
        "_budget",
        "_chooser",
        "_events",
        "_gate",
        "_gated",
        "_names",
        "_rng",
        "_servers",
        "_tracker",
    )

    def __init__(self, *, seed: int, budget: RetryBudget, gated: bool):
        self._events = EventQueue()
        self._rng = random.Random(seed + 1)
        self._budget = budget
        self._gated = gated
        self._chooser = LeastExpectedWait(service_time_s=_SERVICE_S)
        self._tracker = ServerTracker(clock=self._events.clock)
        faults = ("none", "refuse", "none", "crawl", "none", "lose")
        self._servers = {
            f"s{i}": _Server(fault=faults[i % len(faults)])
            for i in range(_SERVERS)
        }
        self._names = [
            BackendServer(
                name=name, service="x", data_centre="d", address="http://h"
            )
            for name in self._servers
        ]
        self._gate: AdmissionQueue[_Call] = AdmissionQueue(
            clock=self._events.clock,
            rng=self._rng,
            max_waiting=_MAX_WAITING,
            slots=_SERVERS * _SLOTS * 1.06,
        )

    def run(self, calls: list[_Call]) -> dict[str, float]:
        """Returns the figures of the variant."""
        for call in calls:
            self._events.after(call.at_s, self._arrival(call))
        self._events.after(0.05, self._tick)
        self._events.run(until_s=_END_S + _DEADLINE_S)
        sent = [call for call in calls if call.attempts]
        attempts = sum(call.attempts for call in sent)
        doubled = [c for c in calls if not c.repeatable and c.runs > 1]
        lies = [c for c in calls if c.claimed_not_run and c.runs]
        return {
            "attempts_per_request": attempts / len(sent),
            "recovery_s": self._recovery_s(calls),
            "answered_in_fault_percent": self._answered(
                calls, _WARM_S, _WARM_S + _FAULT_S
            ),
            "answered_at_end_percent": self._answered(
                calls, _END_S - 15.0, _END_S - 5.0
            ),
            "non_idempotent_doubled": float(len(doubled)),
            "false_not_run": float(len(lies)),
        }

    @staticmethod
    def _answered(calls: list[_Call], from_s: float, to_s: float) -> float:
        window = [call for call in calls if from_s <= call.at_s < to_s]
        return 100 * sum(call.done for call in window) / len(window)

    def _recovery_s(self, calls: list[_Call]) -> float:
        """Returns when calls arrived that were answered as before."""
        end_s = _WARM_S + _FAULT_S
        back_s = 0.0
        for step in range(0, int(_AFTER_S - 4), 2):
            share = self._answered(calls, end_s + step, end_s + step + 2)
            if share < _RECOVERED_PERCENT:
                back_s = step + 2.0
        return back_s

    def _arrival(self, call: _Call) -> Callable[[], None]:
        def arrive() -> None:
            deadline_s = self._events.clock.monotonic() + _DEADLINE_S
            request = QueuedRequest(
                account="a",
                item=call,
                cost=1.0,
                weight=1.0,
                deadline_s=deadline_s,
            )
            if not self._gated:
                self._begin(request)
                return
            for refusal in self._gate.enqueue(request):
                refusal.request.item.claimed_not_run = True
            self._admit()

        return arrive

    def _tick(self) -> None:
        self._admit()
        self._events.after(0.05, self._tick)

    def _admit(self) -> None:
        usable = self._tracker.count_usable(self._names)
        self._gate.slots = max(1, usable) * _SLOTS * 1.06
        self._gate.typical_s = self._tracker.typical_s("x")
        self._refuse(self._gate.remove_expired())
        for request in self._gate.admit():
            self._begin(request)
        self._refuse(self._gate.remove_expired(margin_s=self._gate.typical_s))

    @staticmethod
    def _refuse(refusals: list[Refusal[_Call]]) -> None:
        for refusal in refusals:
            refusal.request.item.claimed_not_run = True

    def _begin(self, request: QueuedRequest[_Call]) -> None:
        self._budget.deposit()
        attempts = RequestAttempts(
            repeatable=request.item.repeatable,
            budget=self._budget,
            deadline_s=request.deadline_s,
            rng=self._rng,
        )
        self._send(request, attempts)

    def _send(
        self, request: QueuedRequest[_Call], attempts: RequestAttempts
    ) -> None:
        clock = self._events.clock
        action = attempts.next_send(now_s=clock.monotonic())
        if not isinstance(action, Send):
            self._over(request, action.ran)
            return
        request.item.attempts += 1
        name = self._chooser.choose(
            self._tracker.candidates(self._names, slots=_SLOTS, hashes=[])
        ).name
        self._tracker.begin_request(name)
        self._play(request, attempts, name, action.timeout_s)

    def _play(
        self,
        request: QueuedRequest[_Call],
        attempts: RequestAttempts,
        name: str,
        timeout_s: float,
    ) -> None:
        """Plays the exchange; its end comes later."""
        now_s = self._events.clock.monotonic()
        server = self._servers[name]
        call = request.item
        faulty = _WARM_S <= now_s < _WARM_S + _FAULT_S
        if faulty and server.fault == "refuse":
            self._later(0.001, request, attempts, name, RunState.NOT_RUN)
            return
        if faulty and server.fault == "lose":
            call.runs += self._rng.random() < 0.5
            self._later(_LOSS_S, request, attempts, name, RunState.UNKNOWN)
            return
        call.runs += 1
        end_s = server.finish_s(call, now_s, faulty=faulty)
        if end_s - now_s > timeout_s:
            self._later(timeout_s, request, attempts, name, RunState.UNKNOWN)
            return

        def answered() -> None:
            self._tracker.end_request(
                name, AttemptOutcome.ANSWERED, duration_s=end_s - now_s
            )
            call.done = True
            self._over(request, RunState.RAN)

        self._events.after(end_s - now_s, answered)

    def _later(
        self,
        delay_s: float,
        request: QueuedRequest[_Call],
        attempts: RequestAttempts,
        name: str,
        ran: RunState,
    ) -> None:
        def failed() -> None:
            late = self._events.clock.monotonic() >= request.deadline_s
            end = AttemptOutcome.TIMED_OUT if late else AttemptOutcome.FAILED
            self._tracker.end_request(name, end, duration_s=delay_s)
            reason = Reason.BACKEND_LOST
            if ran is RunState.NOT_RUN:
                reason = Reason.BACKEND_UNREACHABLE
            action = attempts.record_failure(
                reason=reason, ran=ran, now_s=self._events.clock.monotonic()
            )
            if isinstance(action, Retry):
                self._events.after(
                    action.backoff_s, lambda: self._send(request, attempts)
                )
                return
            self._over(request, action.ran)

        self._events.after(delay_s, failed)

    def _over(self, request: QueuedRequest[_Call], ran: RunState) -> None:
        if ran is RunState.NOT_RUN:
            request.item.claimed_not_run = True
        if self._gated:
            self._gate.end_request(request, tokens=1.0)
            self._admit()


class RetriesExperiment(Experiment):
    """Compares retries with and without budget and gate."""

    __slots__ = ()

    name = "retries"
    targets = (
        Target(
            figure="attempts_per_request",
            variant="budget_and_gate",
            at_most=1.1,
        ),
        Target(figure="recovery_s", variant="budget_and_gate", at_most=10.0),
        Target(
            figure="answered_at_end_percent",
            variant="budget_and_gate",
            at_least=95.0,
        ),
        Target(
            figure="non_idempotent_doubled",
            variant="budget_and_gate",
            at_most=0.0,
        ),
        Target(figure="false_not_run", variant="budget_and_gate", at_most=0.0),
    )

    def run(self, seed: int) -> list[Figures]:
        """Returns the figures of every variant for one seed."""
        variants: dict[str, tuple[type[RetryBudget], bool]] = {
            "no_budget_no_gate": (_NoBudget, False),
            "budget_no_gate": (RetryBudget, False),
            "budget_and_gate": (RetryBudget, True),
        }
        results = []
        for variant, (budget, gated) in variants.items():
            run = _Run(seed=seed, budget=budget(fraction=_BUDGET), gated=gated)
            results.append(
                Figures(
                    experiment=self.name,
                    variant=variant,
                    seed=seed,
                    figures=run.run(_make_calls(random.Random(seed))),
                )
            )
        return results


def _make_calls(rng: random.Random) -> list[_Call]:
    """Returns the same calls for every variant of one seed."""
    rate = _LOAD * _SERVERS * _SLOTS / _SERVICE_S
    calls = []
    at_s = 0.0
    while at_s < _END_S:
        at_s += rng.expovariate(rate)
        calls.append(
            _Call(
                at_s=at_s,
                work_s=_SERVICE_S * rng.uniform(0.5, 1.5),
                repeatable=rng.random() < _REPEATABLE,
            )
        )
    return calls


EXPERIMENT = RetriesExperiment()
