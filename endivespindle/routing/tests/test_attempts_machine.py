"""Stateful test of a request's attempts under random faults."""

import random

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from endivespindle.core.clock import ManualClock
from endivespindle.core.reasons import Reason
from endivespindle.core.tests.steps import count_step
from endivespindle.exceptions import BackendServerError
from endivespindle.routing.attempts import (
    Failure,
    RequestAttempts,
    Retry,
    Send,
)
from endivespindle.routing.choice import TwoChoicesByCacheAndLoad
from endivespindle.routing.health import AttemptOutcome
from endivespindle.routing.leaving import LeavingServers
from endivespindle.routing.retry_budget import RetryBudget
from endivespindle.routing.stream_validator import StreamValidator
from endivespindle.routing.tracker import ServerTracker
from endivespindle.schema.generated.backend import GenerateChunk
from endivespindle.schema.generated.caller import RunState
from endivespindle.schema.generated.register import BackendServer, ServerState

SERVERS = ("s0", "s1", "s2")
NOT_RUN_FAULTS = ("refused",)
UNKNOWN_FAULTS = (
    "lost_before_run",
    "cut_after_run",
    "crossed",
    "duplicate",
    "short",
    "late",
)
FAULTS = ("none", "failed_status", *NOT_RUN_FAULTS, *UNKNOWN_FAULTS)


class _Request:
    """One request, with its runs and its outcome as seen by an observer."""

    def __init__(self, name, repeatable, attempts):
        self.name = name
        self.repeatable = repeatable
        self.attempts = attempts
        self.runs = 0
        self.sends = 0
        self.retry_at_s = 0.0
        self.response = None
        self.failure = None

    @property
    def ended(self):
        return self.response is not None or self.failure is not None


class AttemptsMachine(RuleBasedStateMachine):
    """Servers count the runs; callers store the outcome they received."""

    def __init__(self):
        super().__init__()
        self.clock = ManualClock()
        self.rng = random.Random(7)
        self.budget = RetryBudget(fraction=0.5)
        self.tracker = ServerTracker(clock=self.clock)
        self.chooser = TwoChoicesByCacheAndLoad(rng=self.rng)
        self.leaving = LeavingServers()
        self.register = {
            name: BackendServer(
                name=name,
                service="x",
                data_centre="d",
                address="http://127.0.0.1:1",
            )
            for name in SERVERS
        }
        self.left_incarnations: dict[str, int] = {}
        self.requests: list[_Request] = []
        self.sends_to_leaving: list[str] = []

    @rule(repeatable=st.booleans(), timeout_s=st.floats(0.01, 5.0))
    def arrive(self, repeatable, timeout_s):
        count_step()
        self.budget.deposit()
        attempts = RequestAttempts(
            repeatable=repeatable,
            budget=self.budget,
            deadline_s=self.clock.monotonic() + timeout_s,
            rng=self.rng,
        )
        name = f"r{len(self.requests)}"
        self.requests.append(_Request(name, repeatable, attempts))

    @rule(
        repeatable=st.booleans(),
        timeout_s=st.floats(0.05, 5.0),
        faults=st.lists(st.sampled_from(FAULTS), min_size=1, max_size=6),
    )
    def run_request(self, repeatable, timeout_s, faults):
        self.arrive(repeatable, timeout_s)
        req = self.requests[-1]
        for fault in faults:
            count_step()
            if req.ended:
                return
            wait_s = req.retry_at_s - self.clock.monotonic()
            self.clock.advance(max(0.0, wait_s))
            self._send(req, fault)

    @rule(pick=st.integers(0, 1000), fault=st.sampled_from(FAULTS))
    def send(self, pick, fault):
        count_step()
        waiting = [
            req
            for req in self.requests
            if not req.ended and req.retry_at_s <= self.clock.monotonic()
        ]
        if waiting:
            self._send(waiting[pick % len(waiting)], fault)

    def _send(self, req, fault):
        action = req.attempts.next_send(now_s=self.clock.monotonic())
        if isinstance(action, Failure):
            req.failure = action
            return
        assert isinstance(action, Send)
        available = self.leaving.available_servers(list(self.register.values()))
        if not available:
            req.failure = req.attempts.fail_without_server()
            return
        server = self.chooser.choose(
            self.tracker.candidates(available, slots=4, hashes=[])
        ).name
        incarnation = self.register[server].incarnation
        if self.left_incarnations.get(server, -1) >= incarnation:
            self.sends_to_leaving.append(server)
        self.tracker.begin_request(server)
        self._exchange(req, fault, action)
        end = AttemptOutcome.ANSWERED if req.response else AttemptOutcome.FAILED
        self.tracker.end_request(server, end)

    def _exchange(self, req, fault, action):
        """Simulates one exchange: the run on the server and its response."""
        req.sends += 1
        if fault == "refused":
            self._fail(req, Reason.BACKEND_UNREACHABLE, RunState.NOT_RUN)
            return
        if fault not in ("lost_before_run", "late"):
            req.runs += 1
        if fault == "late":
            self.clock.advance(action.timeout_s)
            req.runs += 1
        if fault == "failed_status":
            self._fail(req, Reason.BACKEND_FAILED, RunState.RAN)
        elif fault in ("none", "crossed", "duplicate", "short"):
            self._read(req, fault)
        else:
            self._fail(req, Reason.BACKEND_LOST, RunState.UNKNOWN)

    def _read(self, req, fault):
        """Reads a stream of three chunks through the real validator."""
        validator = StreamValidator(request_id=req.name)
        chunks = [
            GenerateChunk(
                request_id=req.name,
                offset=offset,
                text=f"{req.name}:{offset} ",
                tokens=1,
                done=offset == 2,
            )
            for offset in range(3)
        ]
        if fault == "crossed":
            chunks[1].request_id = "another"
            chunks[1].text = "another:1 "
        if fault == "duplicate":
            chunks.insert(1, chunks[0])
        if fault == "short":
            chunks.pop()
        completion = ""
        try:
            for chunk in chunks:
                validator.validate_chunk(chunk)
                completion += chunk.text
            validator.finish()
        except BackendServerError as exc:
            self._fail(req, exc.reason, exc.ran)
            return
        req.response = completion

    def _fail(self, req, reason, ran):
        action = req.attempts.record_failure(
            reason=reason, ran=ran, now_s=self.clock.monotonic()
        )
        if isinstance(action, Retry):
            req.retry_at_s = self.clock.monotonic() + action.backoff_s
        else:
            req.failure = action

    @rule(seconds=st.sampled_from([0.01, 0.1, 1.0, 6.0]))
    def pause(self, seconds):
        count_step()
        self.clock.advance(seconds)

    @rule(count=st.integers(1, 30), fault=st.sampled_from(FAULTS))
    def outage(self, count, fault):
        """Many requests meet the same fault in each attempt."""
        for _ in range(count):
            self.run_request(True, 5.0, [fault] * 4)

    @rule(server=st.sampled_from(SERVERS), from_platform=st.booleans())
    def leave(self, server, from_platform):
        count_step()
        entry = self.register[server]
        self.left_incarnations[server] = max(
            self.left_incarnations.get(server, -1), entry.incarnation
        )
        if from_platform:
            self.leaving.mark_leaving(server, incarnation=entry.incarnation)
            return
        entry.state = ServerState.LEAVING
        self.leaving.apply_revision(self.register.values())

    @rule(server=st.sampled_from(SERVERS))
    def receive_outdated_live_state(self, server):
        count_step()
        self.register[server].state = ServerState.LIVE
        self.leaving.apply_revision(self.register.values())

    @rule(server=st.sampled_from(SERVERS))
    def rejoin(self, server):
        """The server returns under a new incarnation."""
        count_step()
        self.register[server].incarnation += 1
        self.register[server].state = ServerState.LIVE
        self.leaving.apply_revision(self.register.values())

    @invariant()
    def caller_gets_complete_response_of_own_request(self):
        for req in self.requests:
            if req.response is not None:
                name = req.name
                assert req.response == f"{name}:0 {name}:1 {name}:2 "

    @invariant()
    def not_run_failure_never_ran(self):
        for req in self.requests:
            if req.failure and req.failure.ran is RunState.NOT_RUN:
                assert req.runs == 0

    @invariant()
    def non_idempotent_runs_at_most_once(self):
        assert all(req.repeatable or req.runs <= 1 for req in self.requests)

    @invariant()
    def leaving_server_gets_no_request(self):
        assert not self.sends_to_leaving

    @invariant()
    def retries_stay_within_budget(self):
        retries = sum(max(0, req.sends - 1) for req in self.requests)
        assert retries <= 0.5 * len(self.requests) + BURST


BURST = RetryBudget(fraction=1.0).burst
TestAttempts = AttemptsMachine.TestCase
