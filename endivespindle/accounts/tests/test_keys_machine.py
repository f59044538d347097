"""Tenant keys on several VMs under network faults, pauses and restarts.

Checks that no VM accepts a key longer than allowed after its withdrawal.
"""

import itertools

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from endivespindle.accounts.freshness import KeyFreshness
from endivespindle.accounts.key_changes import grant_key, withdraw_key
from endivespindle.accounts.keys import KeyTable
from endivespindle.core.clock import ManualClock
from endivespindle.core.digests import keyed_hash
from endivespindle.core.reasons import Reason
from endivespindle.core.tests.steps import count_step
from endivespindle.exceptions import RefusedError
from endivespindle.schema.generated.stored import KeyState, KeyTableRoot

SECRET = "0123456789abcdef"
DATA_CENTRES = ("north", "south", "west")
KEYS = ("key-1", "key-2")
ACCOUNTS = ("amber", "birch")
MAX_UNCONFIRMED_S = 5.0
TICK_S = 0.5
ENFORCEMENT_BOUND_S = MAX_UNCONFIRMED_S + 2 * TICK_S
vms = st.integers(0, 3)
keys = st.sampled_from(KEYS)
accounts = st.sampled_from(ACCOUNTS)
data_centres = st.sampled_from(DATA_CENTRES)


class Vm:
    """A VM with its key table, which it updates at each tick."""

    def __init__(self, machine, data_centre):
        self.machine, self.data_centre = machine, data_centre
        self.paused = False
        self.restart()

    def restart(self):
        self.open_streams = []
        self.table = KeyTable(
            hash_secret=SECRET,
            freshness=KeyFreshness(
                clock=self.machine.clock,
                data_centre=self.data_centre,
                data_centres=lambda: list(DATA_CENTRES),
            ),
        )

    def tick(self):
        now_s = self.machine.clock.monotonic()
        if self.machine.can_reach_store(self.data_centre):
            self.table.apply_if_newer(self.machine.root)
            self.table.freshness.confirm(asked_s=now_s)
        for peer in self.machine.vms:
            is_linked = self.machine.is_linked(
                self.data_centre, peer.data_centre
            )
            if is_linked and peer is not self and not peer.paused:
                self.receive_heartbeat(peer, now_s)

    def receive_heartbeat(self, peer, now_s):
        generation = peer.table.generation
        if generation > self.table.generation:
            self.table.apply_if_newer(peer.table.root)
        freshness = self.table.freshness
        if generation <= self.table.generation:
            age_s = peer.table.reported_age_s()
            freshness.confirm(asked_s=now_s - age_s)
        freshness.record_peer_report(
            data_centre=peer.data_centre,
            generation=generation,
            age_s=peer.table.reported_age_s(),
            asked_s=now_s,
        )


class KeysMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.clock = ManualClock()
        self.root = KeyTableRoot(generation=0, keys=[], token="")
        self.store_up = True
        self.store_unreachable_from = set()
        self.cut_links = set()
        self.outages = []
        self.history = {key: [] for key in KEYS}
        self.violations = []
        self.vms = [Vm(self, c) for c in ("north", "north", "south", "west")]
        self.change(grant_key, KEYS[0], "amber")
        self._pass_time(2)

    def can_reach_store(self, data_centre):
        return self.store_up and data_centre not in self.store_unreachable_from

    def is_linked(self, a, b):
        return a == b or frozenset((a, b)) not in self.cut_links

    def record_outage(self, *, is_tick=False):
        """Records the periods in which no data centre reached the platform.

        An outage ends with the first tick in which one reaches it: before
        that tick, no VM can have read anything.
        """
        now_s = self.clock.monotonic()
        reached = any(
            self.can_reach_store(data_centre) for data_centre in DATA_CENTRES
        )
        is_out = bool(self.outages) and self.outages[-1][1] is None
        if not reached and not is_out:
            self.outages.append((now_s, None))
        elif reached and is_out and is_tick:
            self.outages[-1] = (self.outages[-1][0], now_s)

    def change(self, make_change, key, account=None):
        if not self.store_up:
            return
        now_s = self.clock.monotonic()
        if make_change is grant_key:
            self.root = make_change(
                key=key, client_account=account, hash_secret=SECRET
            )(self.root)
            self.history[key].append((now_s, account))
        else:
            digest = keyed_hash(SECRET, key)
            self.root = make_change(key_hash_or_id=digest)(self.root)
            self.history[key].append((now_s, None))

    def allowed_accounts(self, key):
        """Returns the accounts for which a key may be accepted now."""
        now_s = self.clock.monotonic()
        changes = [(0.0, None), *self.history[key]]
        ends = [at for at, _ in changes[1:]] + [float("inf")]
        current_accounts = set()
        for (_, account), end_s in zip(changes, ends, strict=True):
            if now_s <= end_s + ENFORCEMENT_BOUND_S or self._is_change_unread(
                end_s
            ):
                current_accounts.add(account)
        return current_accounts - {None}

    def _is_change_unread(self, changed_s):
        """Returns whether an outage kept every VM from reading a change.

        Once the outage is over, the change must take effect within the bound.
        """
        now_s = self.clock.monotonic()
        return any(
            since_s <= changed_s + ENFORCEMENT_BOUND_S
            and (until_s is None or now_s <= until_s + ENFORCEMENT_BOUND_S)
            for since_s, until_s in self.outages
            if until_s is None or until_s >= changed_s
        )

    def check_access(self, call, key, account=None):
        try:
            record = call()
        except RefusedError as exc:
            return exc.reason
        name = account or record.client_account
        if name not in self.allowed_accounts(key):
            self.violations.append((self.clock.monotonic(), key, name))
        return record

    @rule(key=keys, account=accounts)
    def grant(self, key, account):
        count_step()
        self.change(grant_key, key, account)

    @rule(key=keys)
    def withdraw(self, key):
        count_step()
        self.change(withdraw_key, key)

    @rule(ticks=st.sampled_from((1, 3, 14, 14, 40)))
    def pass_time(self, ticks):
        count_step()
        self._pass_time(ticks)

    def _pass_time(self, ticks):
        for _ in range(ticks):
            self.clock.advance(TICK_S)
            self.record_outage(is_tick=True)
            for vm in self.vms:
                if not vm.paused:
                    vm.tick()
            self._check_streams()

    def _check_streams(self):
        for vm in self.vms:
            if vm.paused:
                continue
            for key, record in list(vm.open_streams):

                def call(vm=vm, record=record):
                    vm.table.check(record, max_unconfirmed_s=MAX_UNCONFIRMED_S)
                    return record

                outcome = self.check_access(call, key, record.client_account)
                if isinstance(outcome, Reason):
                    vm.open_streams.remove((key, record))

    @rule(vm=vms, key=keys, stream=st.booleans())
    def request(self, vm, key, stream):
        count_step()
        self._request(vm, key, stream)

    def _request(self, vm, key, stream):
        vm = self.vms[vm]
        if vm.paused:
            return
        record = self.check_access(
            lambda: vm.table.resolve(key, max_unconfirmed_s=MAX_UNCONFIRMED_S),
            key,
        )
        if stream and not isinstance(record, Reason):
            vm.open_streams.append((key, record))

    @rule(data_centre=data_centres, is_cut=st.booleans())
    def platform_link(self, data_centre, is_cut):
        count_step()
        self._platform_link(data_centre, is_cut)

    def _platform_link(self, data_centre, is_cut):
        (
            self.store_unreachable_from.add
            if is_cut
            else self.store_unreachable_from.discard
        )(data_centre)
        self.record_outage()

    @rule(data_centre=data_centres, is_cut=st.booleans())
    def isolate(self, data_centre, is_cut):
        """Cuts or restores all links of a data centre to platform and peers."""
        count_step()
        self._isolate(data_centre, is_cut)

    def _isolate(self, data_centre, is_cut):
        for other in set(DATA_CENTRES) - {data_centre}:
            pair = frozenset((data_centre, other))
            (self.cut_links.add if is_cut else self.cut_links.discard)(pair)
        self._platform_link(data_centre, is_cut)

    @rule(up=st.booleans())
    def set_store_up(self, up):
        count_step()
        self.store_up = up
        self.record_outage()

    @rule(vm=vms)
    def restart(self, vm):
        count_step()
        self.vms[vm].paused = False
        self.vms[vm].restart()

    @rule(vm=vms, paused=st.booleans())
    def pause(self, vm, paused):
        count_step()
        self.vms[vm].paused = paused

    @rule(key=keys, account=accounts, data_centre=data_centres)
    def withdraw_during_partition(self, key, account, data_centre):
        """Withdraws a key while a data centre is partitioned.

        This is the case that the confirmation limit guards against. A VM also
        restarts during the partition, and the platform may go down later.
        """
        count_step()
        self.change(grant_key, key, account)
        self._pass_time(3)
        self._isolate(data_centre, True)
        self.change(withdraw_key, key)
        self._pass_time(14)
        for vm in range(len(self.vms)):
            self._request(vm, key, False)
        self.vms[0].restart()
        self._pass_time(1)
        self._request(0, key, False)

    @rule(key=keys, account=accounts)
    def withdraw_and_restart_informed_vms(self, key, account):
        """Restarts every VM that knew of a withdrawal, with the platform down.

        The restarted VMs have lost the withdrawal, so their reports must not
        count as confirmation for the VMs that never received it.
        """
        count_step()
        self.change(grant_key, key, account)
        self._pass_time(3)
        self._isolate("north", True)
        self.change(withdraw_key, key)
        self._pass_time(14)
        self.store_up = False
        for vm in self.vms[2:]:
            vm.restart()
        self._isolate("north", False)
        self._pass_time(1)
        self._request(0, key, False)

    @invariant()
    def withdrawn_keys_are_refused_within_the_bound(self):
        assert self.violations == []

    @invariant()
    def no_table_stores_a_plain_key(self):
        text = repr(self.root)
        assert not any(key in text for key in KEYS)

    def teardown(self):
        """Checks that keys are accepted in an outage but not in a partition.

        With the platform down and all VMs connected, granted keys are
        accepted; once a data centre is isolated as well, they are refused.
        """
        self.cut_links.clear()
        self.store_unreachable_from.clear()
        self.store_up = True
        for vm in self.vms:
            vm.paused = False
        self._pass_time(4)
        self.store_up = False
        self._pass_time(60)
        for vm, record in itertools.product(self.vms, self.root.keys):
            if record.state is KeyState.GRANTED:
                vm.table.check(record, max_unconfirmed_s=MAX_UNCONFIRMED_S)
        self._isolate("south", True)
        self._pass_time(14)
        for vm, key in itertools.product(self.vms, KEYS):
            reason = self.check_access(
                lambda vm=vm, key=key: vm.table.resolve(
                    key, max_unconfirmed_s=MAX_UNCONFIRMED_S
                ),
                key,
            )
            assert reason in (Reason.KEY_UNCONFIRMED, Reason.KEY_WITHDRAWN)
        self.withdrawn_keys_are_refused_within_the_bound()


TestKeys = KeysMachine.TestCase


def test_retry_after_lost_response_does_not_undo_withdrawal():
    empty = KeyTableRoot(generation=0, keys=[], token="")
    grant = grant_key(key="k", client_account="amber", hash_secret=SECRET)
    granted = grant(empty)
    withdrawn = withdraw_key(key_hash_or_id=granted.keys[0].key_id)(granted)
    try:
        again = grant(withdrawn)
    except Exception as exc:
        assert "another operator" in str(exc)
    else:
        raise AssertionError(again)


def test_older_table_is_rejected():
    table = KeyTable(
        hash_secret=SECRET, freshness=KeyFreshness(clock=ManualClock())
    )
    empty = KeyTableRoot(generation=0, keys=[], token="")
    old = grant_key(key="k", client_account="amber", hash_secret=SECRET)(empty)
    new = withdraw_key(key_hash_or_id=old.keys[0].key_id)(old)
    assert table.apply_if_newer(new)
    assert not table.apply_if_newer(old)
    assert table.generation == new.generation


def test_record_is_refused_after_regrant_to_another_account():
    clock = ManualClock()
    table = KeyTable(hash_secret=SECRET, freshness=KeyFreshness(clock=clock))
    table.freshness.confirm(asked_s=0.0)
    root = KeyTableRoot(generation=0, keys=[], token="")
    root = grant_key(key="k", client_account="amber", hash_secret=SECRET)(root)
    table.apply_if_newer(root)
    old = table.resolve("k", max_unconfirmed_s=MAX_UNCONFIRMED_S)
    root = grant_key(key="k", client_account="birch", hash_secret=SECRET)(root)
    table.apply_if_newer(root)
    try:
        table.check(old, max_unconfirmed_s=MAX_UNCONFIRMED_S)
    except RefusedError as exc:
        assert exc.reason is Reason.KEY_WITHDRAWN
    else:
        raise AssertionError("passed")
