"""Admission queues of three VMs under random load and lost heartbeats."""

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
MAX_INFLIGHT = 2


class _TrackedRequest:
    """State changes of one request, as its caller observed them."""

    def __init__(self, vm, request):
        self.vm = vm
        self.request = request
        self.states = ["waiting"]
        self.is_checked = False


class AdmissionQueueMachine(RuleBasedStateMachine):
    """Compares the queues with the recorded states of every request."""

    def __init__(self):
        super().__init__()
        self.clock = ManualClock()
        self.queues = [
            AdmissionQueue(
                clock=self.clock,
                rng=random.Random(vm),
                max_waiting=MAX_WAITING,
                slots=SLOTS,
            )
            for vm in range(VMS)
        ]
        for queue in self.queues:
            queue.weights = dict.fromkeys(ACCOUNTS, 1.0)
        self.requests: list[_TrackedRequest] = []

    def _find(self, request):
        return next(
            tracked for tracked in self.requests if tracked.request is request
        )

    def _admit(self, vm):
        for refusal in self.queues[vm].remove_expired():
            assert refusal.request.deadline_s <= self.clock.monotonic()
            self._record_refusal(refusal)
        for request in self.queues[vm].admit():
            assert request.deadline_s > self.clock.monotonic()
            self._find(request).states.append("running")

    def _record_refusal(self, refusal):
        assert refusal.reason.ran is RunState.NOT_RUN
        assert refusal.retry_after_s > 0
        self._find(refusal.request).states.append("refused")

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
                max_inflight=MAX_INFLIGHT if account == "capped" else 0,
            )
            self.requests.append(_TrackedRequest(vm, request))
            for refusal in self.queues[vm].enqueue(request):
                assert refusal.reason is Reason.QUEUE_FULL
                self._record_refusal(refusal)
        self._admit(vm)

    @rule(index=st.integers(0, 1000), tokens=st.floats(0.0, 100.0))
    def end_request(self, index, tokens):
        count_step()
        running = [s for s in self.requests if s.states[-1] == "running"]
        if not running:
            return
        tracked = running[index % len(running)]
        tracked.states.append("ended")
        self.queues[tracked.vm].end_request(tracked.request, tokens=tokens)
        self._admit(tracked.vm)

    @rule(index=st.integers(0, 1000))
    def disconnect(self, index):
        count_step()
        waiting = [s for s in self.requests if s.states[-1] == "waiting"]
        if not waiting:
            return
        tracked = waiting[index % len(waiting)]
        tracked.states.append("gone")
        self.queues[tracked.vm].cancel(tracked.request)

    @rule(vm=st.integers(0, VMS - 1), lost=st.integers(0, VMS))
    def heartbeat(self, vm, lost):
        """Reports a VM's demand to its peers; one of them may miss it."""
        count_step()
        for other, queue in enumerate(self.queues):
            if other not in (vm, lost):
                queue.apply_peer_demands(str(vm), self.queues[vm].demands())

    @rule(seconds=st.sampled_from([0.01, 0.1, 0.5, 1.0, 6.0]))
    def advance_clock(self, seconds):
        count_step()
        self.clock.advance(seconds)
        for vm in range(VMS):
            self._admit(vm)

    @rule(seconds=st.sampled_from([0.1, 0.5]), vm=st.integers(0, VMS - 1))
    def stall_vm_and_end_its_requests(self, seconds, vm):
        """Admits on a VM after a pause, with deadlines passed and slots free.

        A request whose deadline passed during the pause must not be admitted.
        """
        count_step()
        self.clock.advance(seconds)
        for tracked in self.requests:
            if tracked.vm == vm and tracked.states[-1] == "running":
                tracked.states.append("ended")
                self.queues[vm].end_request(tracked.request, tokens=1.0)
        self._admit(vm)

    @rule()
    def end_all_requests(self):
        """Ends all requests and lets the peers' reports expire.

        Each VM with waiting requests must then admit some.
        """
        count_step()
        for tracked in self.requests:
            if tracked.states[-1] == "running":
                tracked.states.append("ended")
                self.queues[tracked.vm].end_request(
                    tracked.request, tokens=10.0
                )
        self.clock.advance(5.0)
        for vm in range(VMS):
            self._admit(vm)
            waiting = [
                tracked
                for tracked in self.requests
                if tracked.vm == vm and tracked.states[-1] == "waiting"
            ]
            running = [
                tracked
                for tracked in self.requests
                if tracked.vm == vm and tracked.states[-1] == "running"
            ]
            assert running or not waiting

    @invariant()
    def every_request_has_one_outcome(self):
        for tracked in self.requests:
            outcomes = [s for s in tracked.states if s in ("ended", "refused")]
            assert len(outcomes) <= 1
            assert tracked.states.count("running") <= 1
            if "refused" in tracked.states or "gone" in tracked.states:
                assert "running" not in tracked.states
        final_states = ("ended", "refused", "gone")
        self.requests = [
            tracked
            for tracked in self.requests
            if not (tracked.states[-1] in final_states and tracked.is_checked)
        ]
        for tracked in self.requests:
            tracked.is_checked = tracked.states[-1] in final_states

    @invariant()
    def queues_are_bounded(self):
        for vm in range(VMS):
            waiting = sum(
                s.vm == vm and s.states[-1] == "waiting" for s in self.requests
            )
            assert waiting <= MAX_WAITING

    @invariant()
    def slots_and_account_limits_are_respected(self):
        for vm in range(VMS):
            running = [
                s.request.account
                for s in self.requests
                if s.vm == vm and s.states[-1] == "running"
            ]
            assert len(running) <= SLOTS + len(ACCOUNTS)
            assert running.count("capped") <= MAX_INFLIGHT
            assert self.queues[vm].inflight == len(running)


TestAdmissionQueues = AdmissionQueueMachine.TestCase
