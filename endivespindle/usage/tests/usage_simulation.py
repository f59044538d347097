"""In-memory simulation of VMs, lease holders, store and usage interface."""

import collections
import random

import msgspec

from endivespindle.core.clock import ManualClock
from endivespindle.schema.generated.stored import UsageReport
from endivespindle.usage import closing
from endivespindle.usage.closing import CORRECTION_WINDOWS, WindowCloser
from endivespindle.usage.flushing import PartFlusher, PutPart
from endivespindle.usage.ledger import UsageLedger

WINDOW_S = 10.0
GRACE_S = 3.0
LEASE_TERM_S = 6.0
SEND_TIMEOUT_S = 1.5
_MAX_IDLE_STEPS = 500


class SimulatedStore:
    """Versioned objects, and the written totals at each freeze."""

    def __init__(self):
        self.objects = {}
        self.version = 0
        self.parts_at_freeze = {}
        self.first_window = None
        self.parts_at_first = {}

    def put(self, name, value, expect):
        if self.objects.get(name, (0, None))[0] != expect:
            return None
        self.version += 1
        self.objects[name] = (self.version, value)
        return self.version

    def get(self, name):
        return self.objects.get(name, (0, None))

    def parts(self):
        return {
            name[1]: value
            for name, (_, value) in self.objects.items()
            if name[0] == "part"
        }


class SimulatedVm:
    """A VM that counts requests and flushes the counts."""

    def __init__(self, world, name):
        self.world, self.name = world, name
        self.incarnation_number = 0
        self.restart()

    def restart(self):
        self.incarnation_number += 1
        self.served = collections.defaultdict(collections.Counter)
        self.ledger = UsageLedger()
        self.flusher = PartFlusher(
            ledger=self.ledger,
            vm=self.name,
            incarnation=f"i{self.incarnation_number}",
        )

    def serve(self, account, tokens):
        window = self.world.window()
        self.ledger.add_request(
            window=window,
            client_account=account,
            service="s",
            outcome="ran",
            prompt_tokens=1,
            output_tokens=tokens,
        )
        self.served[window][account] += 1
        self.world.served_requests[window, account] += 1

    def flush(self, outcome="ok"):
        store = self.world.store
        for window in self.flusher.pending_windows():
            step = self.flusher.next_call(window, token=self.world.token())
            if isinstance(step, PutPart):
                self._put(store, window, step, outcome)
            elif outcome == "ok":
                version, held = store.get(("part", step.name))
                self.flusher.resolve_write(window, held, version)

    def _put(self, store, window, step, outcome):
        if outcome == "not_taken":
            self.flusher.write_failed(window)
            return
        version = None
        if outcome != "lost_before":
            version = store.put(
                ("part", step.name), step.part, step.expect_version
            )
            if version:
                self.world.written_counts[
                    self.name, self.incarnation_number, window
                ] = self.served[window].copy()
        if outcome == "ok" and version:
            self.flusher.write_succeeded(window, version)
        else:
            self.flusher.write_outcome_unknown(window)


class LeaseHolder:
    """A VM that may acquire the usage lease and runs the closing."""

    def __init__(self, world, name):
        self.world, self.name = world, name
        self.closer = None
        self.valid_until_s = -1.0
        self.inflight = None

    def holds_lease(self):
        return self.world.clock.monotonic() < self.valid_until_s

    def acquire(self):
        world = self.world
        if any(h.holds_lease() for h in world.holders if h is not self):
            return
        if not self.holds_lease():
            world.epoch += 1
            self.closer = WindowCloser(
                clock=world.clock,
                rng=random.Random(world.epoch),
                window_s=WINDOW_S,
                grace_s=GRACE_S,
                epoch=world.epoch,
            )
            self.inflight = None
        self.valid_until_s = world.clock.monotonic() + LEASE_TERM_S

    def crash(self):
        self.closer = None
        self.inflight = None
        self.valid_until_s = -1.0

    def start(self):
        """Chooses the next action; `finish` applies its effect."""
        if self.closer is None or self.inflight is not None:
            return
        remaining_s = self.valid_until_s - self.world.clock.monotonic()
        action = self.closer.next_action(
            may_send=remaining_s >= SEND_TIMEOUT_S, token=self.world.token()
        )
        self.inflight = (action, self.world.clock.monotonic())

    def finish(self, outcome="ok"):
        if self.inflight is None:
            return
        (action, start_s), self.inflight = self.inflight, None
        getattr(self, "_" + type(action).__name__)(action, start_s, outcome)

    def _Wait(self, action, start_s, outcome):  # noqa: N802
        pass

    def _ReadState(self, action, start_s, outcome):  # noqa: N802
        if outcome != "ok":
            self.closer.on_platform_error()
            return
        self.closer.on_state_read(self.world.store.get("state")[1])

    def _ListParts(self, action, start_s, outcome):  # noqa: N802
        if outcome != "ok":
            self.closer.on_platform_error()
            return
        self.closer.on_parts_listed(self.world.store.parts())

    def _ReadFreeze(self, action, start_s, outcome):  # noqa: N802
        if outcome != "ok":
            self.closer.on_platform_error()
            return
        freeze = self.world.store.get(("freeze", action.window))[1]
        self.closer.on_freeze_read(action.window, freeze)

    def _CreateFreeze(self, action, start_s, outcome):  # noqa: N802
        if outcome == "not_taken":
            self.closer.on_platform_error()
            return
        store, freeze = self.world.store, action.freeze
        created = None
        if outcome != "lost_before":
            created = store.put(("freeze", freeze.window), freeze, 0)
            if created:
                store.parts_at_freeze[freeze.window] = (
                    self.world.written_totals()
                )
        sure = outcome == "ok" and created is not None
        self.closer.on_freeze_create_result(freeze, created=sure)

    def _SaveState(self, action, start_s, outcome):  # noqa: N802
        store = self.world.store
        if outcome in ("not_taken", "lost_before"):
            self.closer.on_platform_error()
            return
        version, held = store.get("state")
        if held is None:
            store.first_window = action.state.first_window
            store.parts_at_first = self.world.written_totals()
        merged = closing.merge_closing(held or action.state, action.state)
        store.put("state", merged, version)
        if outcome == "ok":
            self.closer.on_state_saved(merged)
        else:
            self.closer.on_platform_error()

    def _DeleteParts(self, action, start_s, outcome):  # noqa: N802
        if outcome == "not_taken":
            self.closer.on_platform_error()
            return
        for name in action.names:
            self.world.store.objects.pop(("part", name), None)
        self.closer.on_parts_deleted()

    def _SendReport(self, action, start_s, outcome):  # noqa: N802
        world, report = self.world, action.report
        late = world.clock.monotonic() > start_s + SEND_TIMEOUT_S
        if (
            late
            or outcome in ("not_taken", "lost_before")
            or world.is_interface_down
        ):
            self.closer.on_report_unconfirmed(report)
            return
        world.accept_report(self, report)
        if outcome == "ok":
            self.closer.on_report_accepted(report)
        else:
            self.closer.on_report_unconfirmed(report)


class UsageSimulation:
    """The simulated system and a record of what it did."""

    def __init__(self):
        self.clock = ManualClock()
        self.store = SimulatedStore()
        self.served_requests = collections.Counter()
        self.written_counts = {}
        self.accepted_bodies = collections.defaultdict(set)
        self.sends_without_lease = []
        self.is_interface_down = False
        self.refused_account = None
        self.epoch = 0
        self.tokens = 0
        self.vms = [SimulatedVm(self, "a-1"), SimulatedVm(self, "b-1")]
        self.holders = [LeaseHolder(self, "a-1"), LeaseHolder(self, "b-1")]

    def written_totals(self):
        """Sums the last written counts of each incarnation of each VM."""
        found = collections.Counter()
        for (_, _, window), counts in self.written_counts.items():
            for account, requests in counts.items():
                found[window, account] += requests
        return found

    def token(self):
        self.tokens += 1
        return f"t{self.tokens}"

    def window(self):
        return int(self.clock.now().timestamp() // WINDOW_S)

    def accept_report(self, holder, report):
        if not holder.holds_lease():
            self.sends_without_lease.append((holder.name, report.window))
        body = msgspec.json.encode(report)
        self.accepted_bodies[report.client_account, report.window].add(body)

    def reports(self):
        """Returns accepted reports by account, in window order."""
        found = collections.defaultdict(list)
        for (account, _), bodies in sorted(self.accepted_bodies.items()):
            body = min(bodies)
            found[account].append(msgspec.json.decode(body, type=UsageReport))
        return found

    def reported_requests(self):
        """Sums reported requests by the window they ran in and account."""
        sums = collections.Counter()
        for account, reports in self.reports().items():
            for report in reports:
                for line in report.lines:
                    line_window = line.corrects
                    line_window = (
                        report.window if line_window < 0 else line_window
                    )
                    sums[line_window, account] += line.requests
        return sums

    def due_requests(self):
        """Returns the requests flushed before the last freeze for them."""
        store = self.store
        due = collections.Counter()
        for window, account in self.served_requests:
            last = window + CORRECTION_WINDOWS - 1
            if store.first_window is None:
                continue
            if window < store.first_window - CORRECTION_WINDOWS:
                continue
            if last < store.first_window:
                sums = store.parts_at_first
            else:
                sums = store.parts_at_freeze.get(last, self.written_totals())
            due[window, account] = sums[window, account]
        return due

    def recover_and_close_all(self):
        """Ends all faults, flushes all counts and closes all windows."""
        self.is_interface_down = False
        for vm in self.vms:
            vm.flush()
            vm.flush()
            for window, counts in vm.served.items():
                assert (
                    self.written_counts[vm.name, vm.incarnation_number, window]
                    == counts
                )
        self.holders[1].valid_until_s = -1.0
        for _ in range(3 + CORRECTION_WINDOWS):
            for pause_s in (WINDOW_S + GRACE_S, 31.0):
                self.clock.advance(pause_s)
                self._run_until_idle(self.holders[0])

    @staticmethod
    def _run_until_idle(holder):
        for _ in range(_MAX_IDLE_STEPS):
            holder.acquire()
            holder.start()
            idle = isinstance(holder.inflight[0], closing.Wait)
            holder.finish()
            if idle:
                return
        raise AssertionError("never idle")
