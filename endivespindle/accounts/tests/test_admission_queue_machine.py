"""Random arrivals, ends and lost news around the gates of three VMs."""

import random

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from endivespindle.accounts.admission_queue import AdmissionQueue, QueuedRequest
from endivespindle.core.clock import ManualClock
from endivespindle.core.reasons import Reason
from endivespindle.core.tests.steps import count_step
from endivespindle.schema.generated.caller import RunState

ACCOUNTS = ("big", "small", "capped")
VMS = 3
SLOTS = 6
MAX_WAITING = 8
CAP = 2


class _Seen:
    """What the caller of one request saw."""

    def __init__(self, vm, request):
        self.vm = vm
        self.request = request
        self.states = ["waiting"]
        self.checked = False


class GateMachine(RuleBasedStateMachine):
    """Callers keep what they saw; servers count what runs."""

    def __init__(self):
        super().__init__()
        self.clock = ManualClock()
        self.gates = [
            AdmissionQueue(
                clock=self.clock,
                rng=random.Random(vm),
                max_waiting=MAX_WAITING,
                slots=SLOTS,
            )
            for vm in range(VMS)
        ]
        for gate in self.gates:
            gate.weights = dict.fromkeys(ACCOUNTS, 1.0)
        self.seen: list[_Seen] = []

    def _of(self, request):
        return next(seen for seen in self.seen if seen.request is request)

    def _wake(self, vm):
        for refusal in self.gates[vm].remove_expired():
            assert refusal.request.deadline_s <= self.clock.monotonic()
            self._refused(refusal)
        for request in self.gates[vm].admit():
            assert request.deadline_s > self.clock.monotonic()
            self._of(request).states.append("running")

    def _refused(self, refusal):
        assert refusal.reason.ran is RunState.NOT_RUN
        assert refusal.retry_after_s > 0
        self._of(refusal.request).states.append("refused")

    @rule(
        vm=st.integers(0, VMS - 1),
        account=st.sampled_from(ACCOUNTS),
        count=st.integers(1, 6),
        timeout_s=st.sampled_from([0.05, 0.3, 5.0, 20.0]),
    )
    def arrive(self, vm, account, count, timeout_s):
        for _ in range(count):
            count_step()
            request = QueuedRequest(
                account=account,
                item=None,
                cost=10.0,
                weight=1.0,
                deadline_s=self.clock.monotonic() + timeout_s,
                max_inflight=CAP if account == "capped" else 0,
            )
            self.seen.append(_Seen(vm, request))
            for refusal in self.gates[vm].enqueue(request):
                assert refusal.reason is Reason.QUEUE_FULL
                self._refused(refusal)
        self._wake(vm)

    @rule(pick=st.integers(0, 1000), tokens=st.floats(0.0, 100.0))
    def end(self, pick, tokens):
        count_step()
        running = [s for s in self.seen if s.states[-1] == "running"]
        if not running:
            return
        seen = running[pick % len(running)]
        seen.states.append("ended")
        self.gates[seen.vm].end_request(seen.request, tokens=tokens)
        self._wake(seen.vm)

    @rule(pick=st.integers(0, 1000))
    def hang_up(self, pick):
        count_step()
        waiting = [s for s in self.seen if s.states[-1] == "waiting"]
        if not waiting:
            return
        seen = waiting[pick % len(waiting)]
        seen.states.append("gone")
        self.gates[seen.vm].cancel(seen.request)

    @rule(vm=st.integers(0, VMS - 1), lost=st.integers(0, VMS))
    def heartbeat(self, vm, lost):
        """A VM tells its peers; one of them may miss it."""
        count_step()
        for other, gate in enumerate(self.gates):
            if other not in (vm, lost):
                gate.apply_peer_demands(str(vm), self.gates[vm].demands())

    @rule(seconds=st.sampled_from([0.01, 0.1, 0.5, 1.0, 6.0]))
    def pause(self, seconds):
        count_step()
        self.clock.advance(seconds)
        for vm in range(VMS):
            self._wake(vm)

    @rule(seconds=st.sampled_from([0.1, 0.5]), vm=st.integers(0, VMS - 1))
    def stall_then_free_all(self, seconds, vm):
        """A paused VM wakes to find deadlines passed and slots free."""
        count_step()
        self.clock.advance(seconds)
        for seen in self.seen:
            if seen.vm == vm and seen.states[-1] == "running":
                seen.states.append("ended")
                self.gates[vm].end_request(seen.request, tokens=1.0)
        self._wake(vm)

    @rule()
    def drain_everything(self):
        """With nothing running and no peer heard, all that waits may run."""
        count_step()
        for seen in self.seen:
            if seen.states[-1] == "running":
                seen.states.append("ended")
                self.gates[seen.vm].end_request(seen.request, tokens=10.0)
        self.clock.advance(5.0)
        for vm in range(VMS):
            self._wake(vm)
            waiting = [
                seen
                for seen in self.seen
                if seen.vm == vm and seen.states[-1] == "waiting"
            ]
            running = [
                seen
                for seen in self.seen
                if seen.vm == vm and seen.states[-1] == "running"
            ]
            assert running or not waiting

    @invariant()
    def every_request_ends_once(self):
        for seen in self.seen:
            finals = [s for s in seen.states if s in ("ended", "refused")]
            assert len(finals) <= 1
            assert seen.states.count("running") <= 1
            if "refused" in seen.states or "gone" in seen.states:
                assert "running" not in seen.states
        over = ("ended", "refused", "gone")
        self.seen = [
            seen
            for seen in self.seen
            if not (seen.states[-1] in over and seen.checked)
        ]
        for seen in self.seen:
            seen.checked = seen.states[-1] in over

    @invariant()
    def queues_are_bounded(self):
        for vm in range(VMS):
            waiting = sum(
                s.vm == vm and s.states[-1] == "waiting" for s in self.seen
            )
            assert waiting <= MAX_WAITING

    @invariant()
    def a_vm_stays_within_the_slots_and_caps(self):
        for vm in range(VMS):
            running = [
                s.request.account
                for s in self.seen
                if s.vm == vm and s.states[-1] == "running"
            ]
            assert len(running) <= SLOTS + len(ACCOUNTS)
            assert running.count("capped") <= CAP
            assert self.gates[vm].inflight == len(running)


TestGates = GateMachine.TestCase
