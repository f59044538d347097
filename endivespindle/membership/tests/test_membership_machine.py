"""Many VMs gossip through a network that loses, cuts and heals."""

import random

import hypothesis
import msgspec
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from endivespindle.core.clock import ManualClock
from endivespindle.core.tests.steps import count_step
from endivespindle.membership.gossip import Gossip, StateVersions
from endivespindle.membership.view import MembershipView, MemberState
from endivespindle.schema.generated.backend import VmEntry, VmState
from endivespindle.schema.generated.peer import MemberStatus, MemberUpdate

INTERVAL_S = 0.5
SUSPECT_S = 3.0
DEAD_S = 10.0
CENTRES = ("x", "y", "z")
SIZE = 9
SETTLE_S = 60.0
SPREAD_S = 6.0
PICK = st.integers(0, SIZE - 1)


class Node:
    """One incarnation of a VM: real decisions, and the newest version."""

    def __init__(self, *, vm, number, clock, rng, port):
        self.vm = vm
        self.centre = CENTRES[number % len(CENTRES)]
        self.incarnation = f"{vm}-{port}"
        self.port = port
        self.revision = 0
        view = MembershipView(
            vm=vm,
            data_centre=self.centre,
            clock=clock,
            suspect_after_s=SUSPECT_S,
            dead_after_s=DEAD_S,
        )
        self.gossip = Gossip(
            local_member=MemberUpdate(
                vm=vm,
                data_centre=self.centre,
                host="h",
                http_port=1,
                peer_port=port,
                incarnation=self.incarnation,
                life=1,
            ),
            view=view,
            rng=rng,
            interval_s=INTERVAL_S,
        )

    def versions(self):
        return StateVersions(
            register_revision=self.revision, key_generation=0, store_age_s=0.0
        )

    def beat(self, receiver):
        return self.gossip.make_heartbeat(
            receiver=receiver, versions=self.versions()
        )


class Fleet(RuleBasedStateMachine):
    """The observer knows who runs and what is cut; the VMs do not."""

    @initialize(seed=st.integers(0, 2**16))
    def begin(self, seed):
        self.clock = ManualClock()
        self.rng = random.Random(seed)
        self.ports = 1000
        self.nodes = {}
        self.cut = set()
        self.paused = set()
        self.loss = 0.0
        self.recorded = []
        self.left = set()
        self.listed = {}
        self.high = {}
        self.died_s = {}
        self.troubled = set()
        self.lossy = False
        self.list_s = 0.0
        for number in range(SIZE):
            self.launch(number)
        self.read_list()

    def launch(self, number):
        self.ports += 1
        vm = f"vm-{number}"
        node = Node(
            vm=vm,
            number=number,
            clock=self.clock,
            rng=random.Random(self.rng.random()),
            port=self.ports,
        )
        self.nodes[vm] = node
        self.listed[vm] = VmEntry(
            name=vm,
            data_centre=node.centre,
            host="h",
            port=1,
            peer_port=node.port,
            state=VmState.LIVE,
            incarnation=node.incarnation,
        )
        self.died_s.pop(vm, None)
        node.gossip.view.apply_vm_list(list(self.lagging.values()))
        self.join(node)

    def join(self, node):
        """Fetches the table of a VM that the list leads to, if any."""
        names = [n for n in node.gossip.view.peers if self.reach(node, n)]
        if names:
            peer = self.nodes[self.rng.choice(names)]
            node.gossip.merge_members(peer.gossip.members())
            self.probe(node, peer.vm)

    @property
    def lagging(self):
        return getattr(self, "_lagging", {})

    def read_list(self):
        self._lagging = dict(self.listed)
        for node in self.nodes.values():
            if node.vm not in self.paused and node.gossip.relays.is_relay():
                changed = node.gossip.view.apply_vm_list(
                    list(self.lagging.values())
                )
                node.gossip.disseminate(changed)

    def connected(self, a, b):
        return a.centre == b.centre or not {a.centre, b.centre} & self.cut

    def reach(self, sender, name):
        """Returns the node that a message reaches, by address."""
        known = sender.gossip.view.peers[name].update
        node = self.nodes.get(name)
        if node is None or node.port != known.peer_port:
            return None
        if not self.connected(sender, node) or node.vm in self.paused:
            return None
        return None if self.rng.random() < self.loss else node

    def probe(self, sender, name):
        beat = sender.beat(name)
        receiver = self.reach(sender, name)
        if receiver is None:
            sender.gossip.record_probe_failure(name)
            return
        self.recorded.append(beat)
        del self.recorded[:-600]
        receiver.gossip.apply_heartbeat(
            beat, local_versions=receiver.versions()
        )
        receiver.revision = max(receiver.revision, beat.register_revision)
        reply = receiver.beat(sender.vm)
        if self.rng.random() < self.loss:
            sender.gossip.record_probe_failure(name)
            return
        sender.gossip.apply_heartbeat(
            reply,
            local_versions=sender.versions(),
            asked_s=self.clock.monotonic(),
        )
        sender.revision = max(sender.revision, reply.register_revision)

    def run_for(self, seconds):
        ticks = int(seconds / INTERVAL_S)
        for _ in range(ticks):
            self.clock.advance(INTERVAL_S)
            for node in self.running():
                for name in node.gossip.next_probe_targets():
                    self.probe(node, name)
            if self.clock.monotonic() - self.list_s >= 2.0:
                self.list_s = self.clock.monotonic()
                self.read_list()

    def running(self):
        nodes = [n for n in self.nodes.values() if n.vm not in self.paused]
        self.rng.shuffle(nodes)
        return nodes

    @rule(seconds=st.sampled_from([0.5, 1.0, 4.0]))
    def time_passes(self, seconds):
        count_step()
        self.run_for(seconds)

    @rule(centre=st.sampled_from(CENTRES))
    def cut_or_heal(self, centre):
        count_step()
        self.cut ^= {centre}

    @rule(pick=PICK)
    def crash(self, pick):
        count_step()
        vm = f"vm-{pick}"
        self.troubled.add(vm)
        if vm in self.nodes:
            del self.nodes[vm]
            self.paused.discard(vm)
            self.died_s[vm] = self.clock.monotonic()

    @rule(pick=PICK)
    def restart(self, pick):
        count_step()
        vm = f"vm-{pick}"
        self.troubled.add(vm)
        self.nodes.pop(vm, None)
        self.paused.discard(vm)
        self.launch(pick)

    @rule(pick=PICK)
    def pause_or_resume(self, pick):
        count_step()
        vm = f"vm-{pick}"
        self.troubled.add(vm)
        if vm in self.nodes:
            self.paused ^= {vm}

    @rule(pick=PICK)
    def leave(self, pick):
        count_step()
        node = self.nodes.get(f"vm-{pick}")
        if node is not None:
            node.gossip.leave()
            self.left.add(node.incarnation)
            self.listed[node.vm] = msgspec.structs.replace(
                self.listed[node.vm], state=VmState.LEAVING
            )

    @rule(loss=st.sampled_from([0.0, 0.1, 0.3]))
    def lose_messages(self, loss):
        count_step()
        self.loss = loss
        self.lossy = self.lossy or loss > 0

    @rule(pick=PICK, data=st.data())
    def late_message(self, pick, data):
        count_step()
        node = self.nodes.get(f"vm-{pick}")
        if node is None or not self.recorded:
            return
        beat = data.draw(st.sampled_from(self.recorded))
        if beat.vm != node.vm:
            node.gossip.apply_heartbeat(beat, local_versions=node.versions())

    @rule(pick=PICK)
    def accept_revision(self, pick):
        count_step()
        node = self.nodes.get(f"vm-{pick}")
        if node is not None:
            node.revision = 1 + max(n.revision for n in self.nodes.values())

    @rule()
    def settle(self):
        """Heals everything, and holds the VMs to the bounds."""
        count_step()
        self.cut.clear()
        self.paused.clear()
        self.loss = 0.0
        self.run_for(SETTLE_S)
        for node in self.nodes.values():
            self.check_settled(node)
        if self.nodes:
            top = 1 + max(n.revision for n in self.nodes.values())
            self.rng.choice(self.running()).revision = top
            self.run_for(SPREAD_S)
            assert {n.revision for n in self.nodes.values()} == {top}

    def check_settled(self, node):
        view = node.gossip.view
        for vm in self.nodes:
            if vm == node.vm:
                continue
            update = view.peers[vm].update
            assert update.incarnation == self.nodes[vm].incarnation
            assert update.peer_port == self.nodes[vm].port
            leaving = update.incarnation in self.left
            wanted = MemberState.LEAVING if leaving else MemberState.LIVE
            assert view.state_of(vm) is wanted
        for vm in self.died_s:
            mates = [n for n in self.nodes.values() if self.is_mate(n, vm)]
            if mates and vm in view.peers:
                assert vm not in view.placement()

    def is_mate(self, node, vm):
        centre = CENTRES[int(vm[3:]) % len(CENTRES)]
        return node.centre == centre

    @invariant()
    def no_vm_is_dead_because_of_a_cut(self):
        """A VM that always ran, on a network that lost nothing else, lives."""
        for node in getattr(self, "nodes", {}).values():
            for vm, peer in node.gossip.view.peers.items():
                if peer.update.status is not MemberStatus.DEAD:
                    continue
                assert self.lossy or vm in self.troubled, vm

    @invariant()
    def leaving_stays_leaving(self):
        for node in getattr(self, "nodes", {}).values():
            for vm, peer in node.gossip.view.peers.items():
                key = (node.incarnation, vm, peer.update.incarnation)
                if peer.update.leaving:
                    self.high[key] = True
                elif self.high.get(key):
                    raise AssertionError(f"{vm} came back")

    @invariant()
    def lives_never_fall(self):
        for node in getattr(self, "nodes", {}).values():
            for vm, peer in node.gossip.view.peers.items():
                key = ("life", node.incarnation, vm)
                life = peer.update.life
                assert life >= self.high.get(key, 0)
                self.high[key] = life


TestFleet = Fleet.TestCase
TestFleet.settings = hypothesis.settings(
    max_examples=hypothesis.settings().max_examples // 3
)
