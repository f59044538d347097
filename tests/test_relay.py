"""Watches passed on by a relay, and how old what it tells is."""

import asyncio

import msgspec
import pytest

from endivespindle.exceptions import PeerError
from endivespindle.runtime.fleet_view import NodeRecord
from endivespindle.runtime.kind_watcher import KindWatcher
from endivespindle.runtime.relay import RelayedStore, RelayRequest, WatchCache
from endivespindle.runtime.settings import NodeRole
from endivespindle.serving.relay_selection import RelaySelector
from endivespindle.standins.memory_store import MemoryObjectStore
from endivespindle.store.call_limiter import CallLimiter
from endivespindle.store.circuit_breaker import CircuitBreaker
from endivespindle.store.rate_limited_platform import RateLimitedStore
from endivespindle.store.rate_limiter import CallRateLimiter
from tests.fleet_fakes import node_parts
from tests.virtual_loop import run_virtual

RELAY = NodeRecord(
    name="c1",
    role=NodeRole.CONTROLLER,
    data_centre="a",
    host="127.0.0.1",
    peer_port=1,
    incarnation="x",
)


class _World:
    """A store, a relay that follows it, and a watcher of the relay."""

    def __init__(self):
        self.parts = node_parts("g1")
        self.clock = self.parts.clock
        self.store = MemoryObjectStore()
        self.feed = WatchCache(clock=self.clock, max_age_s=2.7)
        self.cut = False
        self.seen = {}
        self.confirmed = []
        relay = self._follower(
            self.store,
            self.feed.replace_all,
            self.feed.apply,
            lambda version, asked_s: self.feed.confirm(
                version=version, asked_s=asked_s
            ),
        )
        self.shunned = []
        self.stale = []
        self.selector = RelaySelector(
            vm="g1",
            data_centre="a",
            clock=self.clock,
            rng=self.parts.rng,
            probe_interval_s=2.0,
        )
        self.relayed = relayed = RelayedStore(
            store=self.store,
            peers=self,
            relays=lambda: [RELAY],
            selector=self.selector,
            clock=self.clock,
            on_relay_failure=lambda *args: self.shunned.append(args),
            on_relay_stale=lambda *args: self.stale.append(args),
        )
        watcher = self._follower(
            relayed,
            lambda objects: [self._take(obj) for obj in objects],
            self._take,
            lambda version, asked_s: self.confirmed.append(asked_s),
        )
        self.tasks = [asyncio.create_task(f.run()) for f in (relay, watcher)]

    def _follower(self, store, on_list, on_change, on_confirmed):
        return KindWatcher(
            store=store,
            kind="config",
            wait_s=1.1,
            clock=self.clock,
            rng=self.parts.rng,
            log=self.parts.log,
            on_list=on_list,
            on_change=on_change,
            on_confirmed=on_confirmed,
        )

    def _take(self, obj):
        self.seen[obj.name] = obj.value

    async def post(self, node, path, ask, *, timeout_s):
        """Calls the relay as `PeerClient` does."""
        del node, path
        if self.cut:
            await asyncio.sleep(timeout_s)
            raise PeerError("silent")
        reply = await self.feed.handle_request(ask)
        return msgspec.msgpack.encode(reply)

    async def write(self, value):
        obj = await self.store.get(kind="config", name="main")
        await self.store.put(
            kind="config",
            name="main",
            value=value,
            expect_version=obj.version if obj else 0,
        )


def _play(story):
    async def run():
        world = _World()
        await asyncio.sleep(3.0)
        await story(world)

    run_virtual(run())


def test_a_change_reaches_watchers_of_a_relay_at_once():
    async def story(world):
        reads = world.store.reads
        for number in range(10):
            await world.write(b"%d" % number)
            await asyncio.sleep(0.05)
            assert world.seen["main"] == b"%d" % number
        # One answer and one new watch each, by the relay alone.
        assert world.store.reads - reads <= 10 + 10 + 2

    _play(story)


def test_a_change_is_confirmed_before_the_pause_that_collects_more():
    """A relay wakes its watchers at once, and still reads the store seldom."""

    async def story(world):
        confirmed = []
        relay = KindWatcher(
            store=world.store,
            kind="config",
            wait_s=1.1,
            clock=world.clock,
            rng=world.parts.rng,
            log=world.parts.log,
            on_list=lambda objects: None,
            on_change=lambda obj: None,
            on_confirmed=lambda version, asked_s: confirmed.append(version),
            coalesce_s=0.3,
        )
        task = asyncio.create_task(relay.run())
        await asyncio.sleep(0.6)
        await world.write(b"0")
        await asyncio.sleep(0.01)
        obj = await world.store.get(kind="config", name="main")
        assert confirmed[-1] == obj.version
        confirmed.clear()
        for number in range(60):
            await world.write(b"%d" % number)
            await asyncio.sleep(0.05)
        # 3 s of changes.
        assert len(confirmed) <= 3.0 / 0.3 + 1
        task.cancel()

    _play(story)


def test_what_a_relay_tells_is_never_taken_for_newer_than_it_is():
    """Each confirmation is a time at which the store itself was asked."""

    async def story(world):
        for _ in range(40):
            await asyncio.sleep(0.1)
            assert world.confirmed[-1] <= world.feed._confirmed_s + 1e-6
            age_s = world.clock.monotonic() - world.confirmed[-1]
            assert age_s <= 2.3

    _play(story)


def test_a_silent_relay_is_left_before_keys_are_unconfirmed():
    async def story(world):
        world.cut = True
        for _ in range(60):
            await asyncio.sleep(0.1)
            age_s = world.clock.monotonic() - world.confirmed[-1]
            assert age_s <= 3.0
        await world.write(b"new")
        await asyncio.sleep(0.1)
        assert world.seen["main"] == b"new"

    _play(story)


def test_state_is_dated_by_the_source_that_gave_it():
    """Not by the relay that was asked before and did not reply."""

    async def story(world):
        world.cut = True
        while not world.shunned:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.01)
        # The store replied at once, after 0.9 s of waiting for the relay.
        age_s = world.clock.monotonic() - world.confirmed[-1]
        assert age_s <= 0.1

    _play(story)


def test_a_relay_that_is_cut_off_does_not_speak_for_the_store():
    """Its reply says so, at once, and its age counts from its last read."""

    async def story(world):
        asked_s = world.feed._confirmed_s
        world.store.faults.down = True
        await asyncio.sleep(3.0)
        ask = RelayRequest(kind="config", after=10_000, wait_s=0.5)
        before_s = world.clock.monotonic()
        reply = await world.feed.handle_request(ask)
        assert world.clock.monotonic() == before_s
        assert reply.stale
        assert reply.lag_s >= 3.0
        assert world.confirmed[-1] <= asked_s + 1.2

    _play(story)


def test_a_relay_ends_a_wait_when_its_state_gets_too_old():
    """Its watcher then asks others, and has to be in time itself."""

    async def story(world):
        world.store.faults.down = True
        await asyncio.sleep(0.5)
        left_s = world.feed.fresh_for_s()
        assert 0.1 < left_s < 2.0
        asked_s = world.clock.monotonic()
        reply = await world.feed.handle_request(
            RelayRequest(kind="config", after=10_000, wait_s=5.0)
        )
        assert reply.stale
        assert world.clock.monotonic() - asked_s <= left_s + 0.01

    _play(story)


def test_a_relay_that_is_cut_off_is_reported_with_the_age_of_its_state():
    async def story(world):
        world.store.faults.down = True
        await asyncio.sleep(6.0)
        assert not world.shunned
        name, age_s = world.stale[0]
        assert (name, 2.7 <= age_s <= 4.0) == ("c1", True)

    _play(story)


def test_a_relay_that_came_back_without_state_does_not_cause_many_reads():
    """It was silent before; it has restarted and cannot reach the store."""

    async def story(world):
        world.cut = True
        await asyncio.sleep(2.0)
        world.feed = WatchCache(clock=world.clock, max_age_s=2.7)
        world.tasks[0].cancel()
        world.cut = False
        await asyncio.sleep(2.0)
        reads = world.store.reads
        await asyncio.sleep(10.0)
        assert world.store.reads - reads <= 10 * 2
        await world.write(b"new")
        await asyncio.sleep(1.0)
        assert world.seen["main"] == b"new"

    _play(story)


def test_a_relay_that_has_read_nothing_yet_is_of_no_use():
    async def story(world):
        feed = WatchCache(clock=world.clock, max_age_s=2.7)
        ask = RelayRequest(kind="config", after=-1, wait_s=0.0)
        assert await feed.handle_request(ask) is None

    _play(story)


def test_an_outage_of_the_store_is_followed_through_the_relay():
    """The store is down for relay and watcher; few reads, and back at once."""

    async def story(world):
        world.store.faults.down = True
        await asyncio.sleep(4.0)
        reads = world.store.reads
        await asyncio.sleep(10.0)
        # The relay itself tries about twice a second.
        assert world.store.reads - reads <= 10 * 4 + 10
        world.store.faults.down = False
        await world.write(b"new")
        await asyncio.sleep(1.0)
        assert world.seen["main"] == b"new"
        age_s = world.clock.monotonic() - world.confirmed[-1]
        assert age_s <= 2.3

    _play(story)


def test_a_relay_with_nothing_new_answers_with_what_it_knows():
    async def story(world):
        asked_s = world.clock.monotonic()
        reply = await world.feed.handle_request(
            RelayRequest(kind="config", after=10_000, wait_s=0.2)
        )
        assert reply.objects == []
        assert reply.lag_s >= -(world.clock.monotonic() - asked_s)

    _play(story)


def test_a_watcher_that_is_too_far_behind_lists_anew():
    async def story(world):
        for number in range(600):
            await world.write(b"%d" % number)
        await asyncio.sleep(0.5)
        reply = await world.feed.handle_request(
            RelayRequest(kind="config", after=1, wait_s=0.0)
        )
        assert reply.lost

    _play(story)


def test_a_process_that_restarts_beside_a_cut_off_relay_trusts_no_old_key():
    """It lists from the relay, whose state may miss a withdrawn key."""

    async def story(world):
        await world.write(b"with key")
        await asyncio.sleep(2.0)
        read_s = world.feed._confirmed_s
        world.store.faults.down = True
        await asyncio.sleep(4.5)
        seen, confirmed = [], []
        restarted = world._follower(
            world.relayed,
            seen.extend,
            seen.append,
            lambda version, asked_s: confirmed.append(asked_s),
        )
        task = asyncio.create_task(restarted.run())
        await asyncio.sleep(0.2)
        task.cancel()
        assert [obj.value for obj in seen][:1] == [b"with key"]
        # Known only as of the relay's last read: older than the bound allows.
        assert max(confirmed) <= read_s + 1.2
        assert world.clock.monotonic() - max(confirmed) > 3.0

    _play(story)


def test_a_start_of_all_vms_lists_through_the_relay():
    """The watcher asks a relay that has not read the store yet."""

    async def run():
        world = _World()
        world.store.faults.delay_s = 0.2
        await asyncio.sleep(1.0)
        # The relay's own list and watches, and nothing of the watcher.
        assert world.store.reads <= 3
        assert world.confirmed
        assert world.shunned == []

    run_virtual(run())


@pytest.mark.parametrize("outage_s", [2.0, 6.0, 15.0])
def test_keys_are_confirmed_soon_after_an_outage_of_the_store(outage_s):
    """The breaker of the relay that follows the store has backed off."""

    async def run():
        parts = node_parts("c1")
        store = MemoryObjectStore()
        limited = RateLimitedStore(
            store=store,
            limiter=CallLimiter(
                rate_limiter=CallRateLimiter(
                    clock=parts.clock, reads_per_s=200, writes_per_s=40
                ),
                breaker=CircuitBreaker(clock=parts.clock, rng=parts.rng),
                on_call=lambda name, outcome: None,
            ),
        )
        confirmed = []
        tasks = [
            asyncio.create_task(
                KindWatcher(
                    store=limited,
                    kind=kind,
                    wait_s=0.5,
                    clock=parts.clock,
                    rng=parts.rng,
                    log=parts.log,
                    on_list=lambda objects: None,
                    on_change=lambda obj: None,
                    on_confirmed=lambda version, asked_s, kind=kind: (
                        confirmed.append((kind, asked_s))
                    ),
                ).run()
            )
            for kind in ("config", "servers", "vms")
        ]
        await asyncio.sleep(2.0)
        store.faults.down = True
        await asyncio.sleep(outage_s)
        reads = store.reads
        store.faults.down = False
        healed_s = parts.clock.monotonic()
        await asyncio.sleep(0.7)
        for task in tasks:
            task.cancel()
        assert [s for kind, s in confirmed if kind == "config" and s > healed_s]
        # The outage itself costs no more than four reads a second.
        assert reads <= 4 * (outage_s + 2.0) + 20

    run_virtual(run())


def test_without_relays_changes_in_quick_succession_cost_few_reads():
    """Pattern: a data centre loses its relays while servers' entries change."""

    async def run():
        parts = node_parts("g1")
        store = _CountingStore()
        relayed = RelayedStore(
            store=store,
            peers=None,
            relays=list,
            selector=RelaySelector(
                vm="g1",
                data_centre="a",
                clock=parts.clock,
                rng=parts.rng,
                probe_interval_s=2.0,
            ),
            clock=parts.clock,
            on_relay_failure=lambda *args: None,
            on_relay_stale=lambda *args: None,
        )
        seen = []
        watcher = KindWatcher(
            store=relayed,
            kind="servers",
            wait_s=5.0,
            clock=parts.clock,
            rng=parts.rng,
            log=parts.log,
            on_list=lambda objects: None,
            on_change=seen.append,
        )
        task = asyncio.create_task(watcher.run())
        version = 0
        for number in range(200):
            await asyncio.sleep(0.05)
            version = await store.put(
                kind="servers",
                name="s1",
                value=b"%d" % number,
                expect_version=version,
            )
        await asyncio.sleep(0.4)
        task.cancel()
        assert seen[-1].value == b"199"
        # 10 s at one read in 0.3 s.
        assert store.watches <= 36

    run_virtual(run())


class _CountingStore(MemoryObjectStore):
    watches = 0

    async def watch(self, **fields):
        self.watches += 1
        return await super().watch(**fields)
