"""Keys over several VMs under faults, against what callers got."""

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
CENTRES = ("north", "south", "west")
KEYS = ("key-1", "key-2")
ACCOUNTS = ("amber", "birch")
LIMIT_S = 5.0
TICK_S = 0.5
BOUND_S = LIMIT_S + 2 * TICK_S
vms = st.integers(0, 3)
keys = st.sampled_from(KEYS)
accounts = st.sampled_from(ACCOUNTS)
centres = st.sampled_from(CENTRES)


class Vm:
    """One VM's table, and what it does at each tick."""

    def __init__(self, world, centre):
        self.world, self.centre = world, centre
        self.paused = False
        self.restart()

    def restart(self):
        self.streams = []
        self.table = KeyTable(
            hash_secret=SECRET,
            freshness=KeyFreshness(
                clock=self.world.clock,
                data_centre=self.centre,
                data_centres=lambda: list(CENTRES),
            ),
        )

    def tick(self):
        now_s = self.world.clock.monotonic()
        if self.world.reaches(self.centre):
            self.table.apply_if_newer(self.world.root)
            self.table.freshness.confirm(asked_s=now_s)
        for peer in self.world.vms:
            linked = self.world.linked(self.centre, peer.centre)
            if linked and peer is not self and not peer.paused:
                self.hear(peer, now_s)

    def hear(self, peer, now_s):
        generation = peer.table.generation
        if generation > self.table.generation:
            self.table.apply_if_newer(peer.table.root)
        fresh = self.table.freshness
        if generation <= self.table.generation:
            age_s = peer.table.reported_age_s()
            fresh.confirm(asked_s=now_s - age_s)
        fresh.record_peer_report(
            data_centre=peer.centre,
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
        self.cut_from_store = set()
        self.cut_links = set()
        self.outages = []
        self.history = {key: [] for key in KEYS}
        self.breaches = []
        self.vms = [Vm(self, c) for c in ("north", "north", "south", "west")]
        self.change(grant_key, KEYS[0], "amber")
        self._pass_time(2)

    def reaches(self, centre):
        return self.store_up and centre not in self.cut_from_store

    def linked(self, a, b):
        return a == b or frozenset((a, b)) not in self.cut_links

    def note_reach(self, *, ticked=False):
        """Keeps the times at which no data centre reached the platform.

        An outage ends with the first tick in which one reaches it: before,
        no VM can have read anything.
        """
        now_s = self.clock.monotonic()
        reached = any(self.reaches(centre) for centre in CENTRES)
        out = bool(self.outages) and self.outages[-1][1] is None
        if not reached and not out:
            self.outages.append((now_s, None))
        elif reached and out and ticked:
            self.outages[-1] = (self.outages[-1][0], now_s)

    def change(self, make, key, account=None):
        if not self.store_up:
            return
        now_s = self.clock.monotonic()
        if make is grant_key:
            self.root = make(
                key=key, client_account=account, hash_secret=SECRET
            )(self.root)
            self.history[key].append((now_s, account))
        else:
            digest = keyed_hash(SECRET, key)
            self.root = make(key_hash_or_id=digest)(self.root)
            self.history[key].append((now_s, None))

    def allowed(self, key):
        """Returns the accounts for which a key may run at this moment."""
        now_s = self.clock.monotonic()
        changes = [(0.0, None), *self.history[key]]
        ends = [at for at, _ in changes[1:]] + [float("inf")]
        found = set()
        for (_, account), end_s in zip(changes, ends, strict=True):
            if now_s <= end_s + BOUND_S or self._nobody_knew(end_s):
                found.add(account)
        return found - {None}

    def _nobody_knew(self, changed_s):
        """The platform went down for all before any VM can have read it.

        Once it is back, the change must be in force within the bound.
        """
        now_s = self.clock.monotonic()
        return any(
            since_s <= changed_s + BOUND_S
            and (until_s is None or now_s <= until_s + BOUND_S)
            for since_s, until_s in self.outages
            if until_s is None or until_s >= changed_s
        )

    def try_check(self, call, key, account=None):
        try:
            record = call()
        except RefusedError as exc:
            return exc.reason
        name = account or record.client_account
        if name not in self.allowed(key):
            self.breaches.append((self.clock.monotonic(), key, name))
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
            self.note_reach(ticked=True)
            for vm in self.vms:
                if not vm.paused:
                    vm.tick()
            self._check_streams()

    def _check_streams(self):
        for vm in self.vms:
            if vm.paused:
                continue
            for key, record in list(vm.streams):

                def call(vm=vm, record=record):
                    vm.table.check(record, max_unconfirmed_s=LIMIT_S)
                    return record

                outcome = self.try_check(call, key, record.client_account)
                if isinstance(outcome, Reason):
                    vm.streams.remove((key, record))

    @rule(vm=vms, key=keys, stream=st.booleans())
    def request(self, vm, key, stream):
        count_step()
        self._request(vm, key, stream)

    def _request(self, vm, key, stream):
        vm = self.vms[vm]
        if vm.paused:
            return
        record = self.try_check(
            lambda: vm.table.resolve(key, max_unconfirmed_s=LIMIT_S), key
        )
        if stream and not isinstance(record, Reason):
            vm.streams.append((key, record))

    @rule(centre=centres, cut=st.booleans())
    def platform_link(self, centre, cut):
        count_step()
        self._platform_link(centre, cut)

    def _platform_link(self, centre, cut):
        (self.cut_from_store.add if cut else self.cut_from_store.discard)(
            centre
        )
        self.note_reach()

    @rule(centre=centres, cut=st.booleans())
    def isolate(self, centre, cut):
        """Cuts a data centre off from the platform and from its peers."""
        count_step()
        self._isolate(centre, cut)

    def _isolate(self, centre, cut):
        for other in set(CENTRES) - {centre}:
            pair = frozenset((centre, other))
            (self.cut_links.add if cut else self.cut_links.discard)(pair)
        self._platform_link(centre, cut)

    @rule(up=st.booleans())
    def store(self, up):
        count_step()
        self.store_up = up
        self.note_reach()

    @rule(vm=vms)
    def restart(self, vm):
        count_step()
        self.vms[vm].paused = False
        self.vms[vm].restart()

    @rule(vm=vms, paused=st.booleans())
    def pause(self, vm, paused):
        count_step()
        self.vms[vm].paused = paused

    @rule(key=keys, account=accounts, centre=centres)
    def withdraw_while_cut_off(self, key, account, centre):
        """The case that the limit is for, with the platform down later."""
        count_step()
        self.change(grant_key, key, account)
        self._pass_time(3)
        self._isolate(centre, True)
        self.change(withdraw_key, key)
        self._pass_time(14)
        for vm in range(len(self.vms)):
            self._request(vm, key, False)
        self.vms[0].restart()
        self._pass_time(1)
        self._request(0, key, False)

    @rule(key=keys, account=accounts)
    def withdraw_and_forget(self, key, account):
        """Whoever knew of a withdrawal restarts, with the platform down."""
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
    def no_key_works_seconds_after_its_end(self):
        assert self.breaches == []

    @invariant()
    def no_table_holds_a_key(self):
        text = repr(self.root)
        assert not any(key in text for key in KEYS)

    def teardown(self):
        """With the platform down and nobody cut off, keyed routes go on."""
        self.cut_links.clear()
        self.cut_from_store.clear()
        self.store_up = True
        for vm in self.vms:
            vm.paused = False
        self._pass_time(4)
        self.store_up = False
        self._pass_time(60)
        for vm, record in itertools.product(self.vms, self.root.keys):
            if record.state is KeyState.GRANTED:
                vm.table.check(record, max_unconfirmed_s=LIMIT_S)
        self._isolate("south", True)
        self._pass_time(14)
        for vm, key in itertools.product(self.vms, KEYS):
            reason = self.try_check(
                lambda vm=vm, key=key: vm.table.resolve(
                    key, max_unconfirmed_s=LIMIT_S
                ),
                key,
            )
            assert reason in (Reason.KEY_UNCONFIRMED, Reason.KEY_WITHDRAWN)
        self.no_key_works_seconds_after_its_end()


TestKeys = KeysMachine.TestCase


def test_lost_answer_to_a_grant_does_not_undo_a_withdrawal():
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


def test_older_table_never_comes_back():
    table = KeyTable(
        hash_secret=SECRET, freshness=KeyFreshness(clock=ManualClock())
    )
    empty = KeyTableRoot(generation=0, keys=[], token="")
    old = grant_key(key="k", client_account="amber", hash_secret=SECRET)(empty)
    new = withdraw_key(key_hash_or_id=old.keys[0].key_id)(old)
    assert table.apply_if_newer(new)
    assert not table.apply_if_newer(old)
    assert table.generation == new.generation


def test_old_record_does_not_pass_once_its_key_is_another_accounts():
    clock = ManualClock()
    table = KeyTable(hash_secret=SECRET, freshness=KeyFreshness(clock=clock))
    table.freshness.confirm(asked_s=0.0)
    root = KeyTableRoot(generation=0, keys=[], token="")
    root = grant_key(key="k", client_account="amber", hash_secret=SECRET)(root)
    table.apply_if_newer(root)
    old = table.resolve("k", max_unconfirmed_s=LIMIT_S)
    root = grant_key(key="k", client_account="birch", hash_secret=SECRET)(root)
    table.apply_if_newer(root)
    try:
        table.check(old, max_unconfirmed_s=LIMIT_S)
    except RefusedError as exc:
        assert exc.reason is Reason.KEY_WITHDRAWN
    else:
        raise AssertionError("passed")
