"""Real peers on loopback: a moved peer, and who may vouch for the keys."""

import asyncio
import random

import msgspec
import pytest

from endivespindle.core.clock import ManualClock
from endivespindle.core.ids import SeededIdSource
from endivespindle.node.config_sync import ConfigSync
from endivespindle.node.context import NodeContext
from endivespindle.node.payloads import MemoryPayloadStore
from endivespindle.node.peer_sync import PeerSync
from endivespindle.schema.generated.backend import VmList
from endivespindle.schema.generated.peer import FetchMembers, PeerReply
from endivespindle.schema.generated.settings import (
    KeySettings,
    ListenSettings,
    PeerSettings,
    PlatformSettings,
    Settings,
    VmSettings,
)
from endivespindle.standins.memory_store import MemoryObjectStore
from endivespindle.store.interfaces import VmListInterface

SECRET = "test-secret-0123456789"


class EmptyList(VmListInterface):
    async def list_vms(self):
        return VmList(version=1, vms=[])


class Vm:
    def __init__(self, name, *, seed):
        self.clock = ManualClock()
        settings = Settings(
            vm=VmSettings(name=name, data_centre="x", host="127.0.0.1"),
            listen=ListenSettings(host="127.0.0.1", port=0, peer_port=0),
            platform=PlatformSettings(
                base_url="http://127.0.0.1:1", credential=SECRET
            ),
            peers=PeerSettings(secrets=[SECRET]),
            keys=KeySettings(hash_secret=SECRET, operator_token=SECRET),
        )
        self.ctx = NodeContext(
            settings=settings,
            clock=self.clock,
            ids=SeededIdSource(seed=seed),
            rng=random.Random(seed),
        )
        self.sync = PeerSync(
            ctx=self.ctx,
            config=ConfigSync(ctx=self.ctx, store=MemoryObjectStore()),
            vm_list=EmptyList(),
            payloads=MemoryPayloadStore(
                max_bytes=1_048_576, clock=self.ctx.clock
            ),
        )

    async def start(self):
        await self.sync.server.start()
        self.sync.advertise_ports(http_port=1)
        return self


@pytest.fixture
async def pair():
    a, b = await Vm("a", seed=1).start(), await Vm("b", seed=2).start()
    a.ctx.gossip.merge_members([b.ctx.gossip.local_member])
    vms = [a, b]
    yield vms
    for vm in vms:
        vm.sync._links.close()
        await vm.sync.server.stop()


async def test_restarted_peer_on_a_new_port_is_reached(pair):
    a, old = pair
    await a.sync.call("b", FetchMembers())
    await old.sync.server.stop()
    new = await Vm("b", seed=3).start()
    pair.append(new)
    new.ctx.gossip.merge_members(
        [a.ctx.gossip.local_member, old.ctx.gossip.local_member]
    )
    await new.sync._probe("a")
    known = a.ctx.membership.peers["b"].update
    assert known.incarnation == new.ctx.incarnation
    reply = await asyncio.wait_for(a.sync.call("b", FetchMembers()), 2)
    assert reply.ok


async def test_request_does_not_vouch_for_the_keys(pair):
    a, b = pair
    b.clock.advance(60)
    a.ctx.keys.freshness.confirm(asked_s=a.clock.monotonic())
    beat = a.sync._make_heartbeat("b")
    await b.sync._on_heartbeat(msgspec.msgpack.encode(beat))
    assert b.ctx.keys.freshness.confirmation_age_s() >= 60


async def test_reply_vouches_less_the_time_it_took(pair):
    a, b = pair
    a.clock.advance(60)
    b.ctx.keys.freshness.confirm(asked_s=b.clock.monotonic())
    answer = msgspec.msgpack.encode(b.sync._make_heartbeat("a"))

    async def slow_call(peer, message):
        a.clock.advance(20)
        return PeerReply(ok=True, body=answer)

    type(a.sync).call, kept = slow_call_method(slow_call), type(a.sync).call
    try:
        await a.sync._probe("b")
    finally:
        type(a.sync).call = kept
    assert a.ctx.keys.freshness.confirmation_age_s() == pytest.approx(
        20, abs=0.1
    )


def slow_call_method(slow_call):
    async def call(self, peer, message):
        return await slow_call(peer, message)

    return call
