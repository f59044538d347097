"""How old the configuration of a gateway gets while the store is reachable."""

import asyncio
import itertools

import msgspec
import pytest

from endivespindle.core.reasons import Reason
from endivespindle.exceptions import (
    PeerError,
    PlatformUnavailableError,
    RefusedError,
)
from endivespindle.platform.documents import CONFIG_KIND, CONFIG_NAME
from endivespindle.runtime.controller import Controller
from endivespindle.runtime.relay import RelayedStore
from endivespindle.runtime.settings import NodeRole
from endivespindle.runtime.shared_watchers import make_config_watcher
from endivespindle.serving.active_config import ActiveConfig
from endivespindle.serving.relay_selection import RelaySelector
from endivespindle.standins.memory_store import MemoryObjectStore
from endivespindle.store.object_store import StatusStore
from tests.fleet_fakes import node_parts
from tests.node_fleet import HOST, KEY, config
from tests.virtual_loop import run_virtual

# `configApplyMs` of the deployments: a change acknowledged this long ago is in
# force at every VM that reaches the platform.
APPLY_S = 2.0
CHANGE_INTERVAL_S = 0.15
_STORE_TIMEOUT_S = 1.3


class _StoreLink(StatusStore):
    """The store as one node reaches it.

    Attributes:
        cut: Whether calls and their responses get lost.
    """

    def __init__(self, store):
        self._store = store
        self.cut = False

    async def _call(self, method, **kwargs):
        if not self.cut:
            found = await getattr(self._store, method)(**kwargs)
        if self.cut:
            await asyncio.sleep(_STORE_TIMEOUT_S)
            raise PlatformUnavailableError("no response")
        return found

    async def get(self, **kwargs):
        return await self._call("get", **kwargs)

    async def list_objects(self, **kwargs):
        return await self._call("list_objects", **kwargs)

    async def put(self, **kwargs):
        return await self._call("put", **kwargs)

    async def put_status(self, **kwargs):
        raise NotImplementedError

    async def delete(self, **kwargs):
        await self._call("delete", **kwargs)

    async def watch(self, **kwargs):
        return await self._call("watch", **kwargs)


class _PeerServer:
    """Holds the handler of relayed watches of one controller."""

    def serve_relay(self, handle):
        self.handle = handle

    def serve_gateway_updates(self, handle):
        del handle

    def serve_store(self, handle):
        del handle

    def serve_stream_origins(self, origins):
        del origins


class _World:
    """Three controllers that relay watches, and a gateway that follows them.

    Attributes:
        links: The store as each node reaches it, by its name.
        silent: Controllers that do not reply to other nodes.
        lags_s: Time since the oldest configuration that the gateway lacks was
            acknowledged, sampled all the time.
    """

    def __init__(self):
        self.store = MemoryObjectStore()
        self.links = {n: _StoreLink(self.store) for n in ("c1", "c2", "g1")}
        self.silent = set()
        self.lags_s = [0.0]
        self._handlers = {}
        self._acked_s = {}
        self._tasks = []

    async def start(self):
        controllers = [self._make_controller("c1"), self._make_controller("c2")]
        await self._write_config(1)
        parts = node_parts("g1")
        self.clock = parts.clock
        for name in ("c1", "c2"):
            obj = await self.store.get(kind="vms", name=name)
            parts.fleet.apply(obj)
        for controller in controllers:
            self._spawn(controller.run())
            # The first one becomes the holder of the lease.
            await asyncio.sleep(0.2)
        self.active = ActiveConfig(
            clock=parts.clock, max_unconfirmed_s=4.2, apply_s=APPLY_S
        )
        relayed = RelayedStore(
            store=self.links["g1"],
            peers=self,
            relays=lambda: parts.fleet.peers(NodeRole.CONTROLLER),
            selector=RelaySelector(
                vm="g1",
                data_centre="b",
                clock=parts.clock,
                rng=parts.rng,
                probe_interval_s=2.0,
            ),
            clock=parts.clock,
            on_relay_failure=lambda *_: None,
            on_relay_stale=lambda *_: None,
        )
        watcher = make_config_watcher(parts, relayed, self.active, wait_s=1.35)
        self._spawn(watcher.run())
        await asyncio.sleep(3.0)
        self._spawn(self._change_often())
        self._spawn(self._sample_lag())
        await asyncio.sleep(2.0)

    async def stop(self):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def post(self, node, path, message, *, timeout_s=0.7):
        """Calls a node as `PeerClient` does."""
        del path
        if node.name in self.silent:
            await asyncio.sleep(timeout_s)
            raise PeerError(f"{node.name}: no response")
        await asyncio.sleep(0.002)
        reply = await self._handlers[node.name].handle(message)
        return msgspec.msgpack.encode(reply)

    def _make_controller(self, name):
        # The gateway is in the data centre of the second controller.
        data_centre = {"c1": "a", "c2": "b"}[name]
        parts = node_parts(name, NodeRole.CONTROLLER, data_centre=data_centre)
        record = parts.fleet.local_node
        self._spawn(
            self.store.put(
                kind="vms",
                name=name,
                value=msgspec.json.encode(record),
                expect_version=0,
            )
        )
        self._handlers[name] = _PeerServer()
        return Controller(
            ctx=parts,
            store=self.links[name],
            operations=None,
            peer_server=self._handlers[name],
            peers=self,
        )

    def _spawn(self, coro):
        self._tasks.append(asyncio.ensure_future(coro))

    async def _write_config(self, version):
        await asyncio.sleep(0)
        obj = await self.store.get(kind=CONFIG_KIND, name=CONFIG_NAME)
        await self.store.put(
            kind=CONFIG_KIND,
            name=CONFIG_NAME,
            value=msgspec.json.encode(config(version)),
            expect_version=obj.version if obj else 0,
        )
        self._acked_s[version] = asyncio.get_running_loop().time()

    async def _change_often(self):
        for version in itertools.count(2):
            await self._write_config(version)
            await asyncio.sleep(CHANGE_INTERVAL_S)

    async def _sample_lag(self):
        while True:
            await asyncio.sleep(0.02)
            missing_s = self._acked_s.get(self.active.version + 1)
            if missing_s is not None:
                self.lags_s.append(self.clock.monotonic() - missing_s)


def _play(story):
    async def run():
        world = _World()
        await world.start()
        await story(world)
        await world.stop()

    run_virtual(run())


def _cut_from_store(*names):
    def begin(world):
        for name in names:
            world.links[name].cut = True

    return begin


def _silence(*names):
    def begin(world):
        world.silent.update(names)

    return begin


def _silence_holder_and_cut_relay(world):
    _silence("c1")(world)
    _cut_from_store("c2")(world)


_OUTAGES = {
    "the_lease_holder_cannot_reach_the_store": _cut_from_store("c1"),
    "the_lease_holder_does_not_reply": _silence("c1"),
    "the_relay_cannot_reach_the_store": _cut_from_store("c2"),
    "the_relay_does_not_reply": _silence("c2"),
    "no_controller_replies": _silence("c1", "c2"),
    "no_controller_reaches_the_store": _cut_from_store("c1", "c2"),
    "the_relay_is_cut_off_and_the_holder_silent": _silence_holder_and_cut_relay,
}


@pytest.mark.parametrize("outage", _OUTAGES)
def test_a_change_is_in_force_in_time_while(outage):
    """The outage begins at any point of the watches, and lasts."""

    def story_at(phase_s):
        async def story(world):
            await asyncio.sleep(phase_s)
            _OUTAGES[outage](world)
            await asyncio.sleep(16.0)
            assert max(world.lags_s) <= APPLY_S

        return story

    for phase_s in (0.0, 0.13, 0.26, 0.39):
        _play(story_at(phase_s))


def test_an_unknown_route_is_final_only_while_the_configuration_is_current():
    """A configuration that adds it may have been in force for some time."""

    async def story(world):
        world.silent = {"c1", "c2"}
        world.links["g1"].cut = True
        reasons = set()
        for _ in range(60):
            await asyncio.sleep(0.1)
            is_late = world.lags_s[-1] > APPLY_S
            try:
                world.active.permit(host=HOST, path="/new/1", key=KEY)
            except RefusedError as exc:
                reasons.add((is_late, exc.reason))
        assert (True, Reason.ROUTE_UNKNOWN) not in reasons

    _play(story)
