"""Usage reports under faults, compared with the requests served."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from endivespindle.core.tests.steps import count_step
from endivespindle.usage.tests.usage_simulation import UsageSimulation
from endivespindle.usage.verify import verify_reports

ACCOUNTS = ("amber", "birch")
FAULTS = ("not_taken", "lost_before", "lost_after")
which = st.integers(0, 1)
outcomes = st.sampled_from(("ok", "ok", "ok", "ok", *FAULTS))


class ClosingMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.world = UsageSimulation()

    @rule(
        vm=which,
        account=st.sampled_from(ACCOUNTS),
        tokens=st.integers(1, 9),
        flushes=st.lists(outcomes, max_size=3),
    )
    def serve_and_flush(self, vm, account, tokens, flushes):
        count_step()
        self.world.vms[vm].serve(account, tokens)
        for outcome in flushes:
            self.world.vms[vm].flush(outcome)

    @rule(vm=which, outcome=outcomes)
    def flush(self, vm, outcome):
        count_step()
        self.world.vms[vm].flush(outcome)

    @rule(vm=which)
    def crash_vm(self, vm):
        count_step()
        self.world.vms[vm].restart()

    @rule(holder=which, steps=st.lists(outcomes, max_size=25))
    def acquire_lease_and_run(self, holder, steps):
        count_step()
        self.world.holders[holder].acquire()
        self._run(holder, steps)

    @rule(holder=which, steps=st.lists(outcomes, max_size=5))
    def run_without_lease_renewal(self, holder, steps):
        """A paused holder continues, whether or not its lease expired."""
        count_step()
        self._run(holder, steps)

    @rule(
        holder=which,
        before=st.integers(0, 12),
        gap_s=st.sampled_from((0.5, 7.0)),
        other=st.lists(outcomes, min_size=8, max_size=20),
        late=st.sampled_from(("ok", "lost_after")),
        account=st.sampled_from(ACCOUNTS),
    )
    def pause_while_other_runs(
        self, holder, before, gap_s, other, late, account
    ):
        """A holder is paused during a call, which takes effect late."""
        count_step()
        first, second = self.world.holders[holder], 1 - holder
        first.acquire()
        self._run(holder, ["ok"] * before)
        first.start()
        self.world.vms[second].serve(account, 1)
        self.world.vms[second].flush()
        self.world.clock.advance(gap_s)
        self.world.holders[second].acquire()
        self._run(second, other)
        first.finish(late)
        self._run(holder, ["ok"] * 4)

    @rule(holder=which)
    def crash_holder(self, holder):
        count_step()
        self.world.holders[holder].crash()

    @rule(seconds=st.sampled_from((0.5, 7.0, 10.0, 13.0, 25.0)))
    def pass_time(self, seconds):
        count_step()
        self.world.clock.advance(seconds)

    @rule(down=st.booleans())
    def set_interface_down(self, down):
        count_step()
        self.world.is_interface_down = down

    @invariant()
    def one_body_per_account_and_window(self):
        assert all(len(b) == 1 for b in self.world.accepted_bodies.values())

    @invariant()
    def reports_sent_only_with_lease(self):
        assert self.world.sends_without_lease == []

    @invariant()
    def reported_never_exceeds_served(self):
        for window_account, count in self.world.reported_requests().items():
            assert count <= self.world.served_requests[window_account]

    def teardown(self):
        world = self.world
        world.recover_and_close_all()
        reported = world.reported_requests()
        for window_account, count in world.due_requests().items():
            assert reported[window_account] >= count, window_account
        self.one_body_per_account_and_window()
        self.reports_sent_only_with_lease()
        self.reported_never_exceeds_served()
        for reports in world.reports().values():
            assert verify_reports(reports) == []

    def _run(self, holder, steps):
        holder = self.world.holders[holder]
        for outcome in steps:
            holder.start()
            holder.finish(outcome)


TestClosing = ClosingMachine.TestCase
