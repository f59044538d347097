"""Tests gossip of many VMs under message loss and network partitions."""

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
DATA_CENTRES = ("x", "y", "z")
VM_COUNT = 9
SETTLE_S = 60.0
PROPAGATION_S = 6.0
VM_NUMBERS = st.integers(0, VM_COUNT - 1)


class Node:
    """An incarnation of a VM: the real `Gossip` and a register revision."""

    def __init__(self, *, vm, number, clock, rng, port):
        self.vm = vm
        self.data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
        self.incarnation = f"{vm}-{port}"
        self.port = port
        self.revision = 0
        view = MembershipView(
            vm=vm,
            data_centre=self.data_centre,
            clock=clock,
            suspect_after_s=SUSPECT_S,
            dead_after_s=DEAD_S,
        )
        self.gossip = Gossip(
            local_member=MemberUpdate(
                vm=vm,
                data_centre=self.data_centre,
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

    def make_heartbeat(self, receiver):
        return self.gossip.make_heartbeat(
            receiver=receiver, versions=self.versions()
        )


class Fleet(RuleBasedStateMachine):
    """Fleet whose VMs know neither which VMs run nor the partitions."""

    @initialize(seed=st.integers(0, 2**16))
    def begin(self, seed):
        self.clock = ManualClock()
        self.rng = random.Random(seed)
        self.last_port = 1000
        self.nodes = {}
        self.partitioned = set()
        self.paused = set()
        self.loss = 0.0
        self.recorded_heartbeats = []
        self.left_incarnations = set()
        self.vm_entries = {}
        self.observed = {}
        self.crashed_s = {}
        self.disturbed = set()
        self.has_lost_messages = False
        self.last_list_s = 0.0
        for number in range(VM_COUNT):
            self.start_vm(number)
        self.refresh_list()

    def start_vm(self, number):
        self.last_port += 1
        vm = f"vm-{number}"
        node = Node(
            vm=vm,
            number=number,
            clock=self.clock,
            rng=random.Random(self.rng.random()),
            port=self.last_port,
        )
        self.nodes[vm] = node
        self.vm_entries[vm] = VmEntry(
            name=vm,
            data_centre=node.data_centre,
            host="h",
            port=1,
            peer_port=node.port,
            state=VmState.LIVE,
            incarnation=node.incarnation,
        )
        self.crashed_s.pop(vm, None)
        node.gossip.view.apply_vm_list(list(self.lagging_list.values()))
        self.join(node)

    def join(self, node):
        """Merges the member table of a reachable known VM, if any."""
        names = [
            n for n in node.gossip.view.peers if self.find_receiver(node, n)
        ]
        if names:
            peer = self.nodes[self.rng.choice(names)]
            node.gossip.merge_members(peer.gossip.members())
            self.probe(node, peer.vm)

    @property
    def lagging_list(self):
        return getattr(self, "_lagging_list", {})

    def refresh_list(self):
        self._lagging_list = dict(self.vm_entries)
        for node in self.nodes.values():
            if node.vm not in self.paused and node.gossip.relays.is_relay():
                changed = node.gossip.view.apply_vm_list(
                    list(self.lagging_list.values())
                )
                node.gossip.disseminate(changed)

    def connected(self, a, b):
        return (
            a.data_centre == b.data_centre
            or not {a.data_centre, b.data_centre} & self.partitioned
        )

    def find_receiver(self, sender, name):
        """Returns the node that receives a message to a VM's known address."""
        known = sender.gossip.view.peers[name].update
        node = self.nodes.get(name)
        if node is None or node.port != known.peer_port:
            return None
        if not self.connected(sender, node) or node.vm in self.paused:
            return None
        return None if self.rng.random() < self.loss else node

    def probe(self, sender, name):
        beat = sender.make_heartbeat(name)
        receiver = self.find_receiver(sender, name)
        if receiver is None:
            sender.gossip.record_probe_failure(name)
            return
        self.recorded_heartbeats.append(beat)
        del self.recorded_heartbeats[:-600]
        receiver.gossip.apply_heartbeat(
            beat, local_versions=receiver.versions()
        )
        receiver.revision = max(receiver.revision, beat.register_revision)
        reply = receiver.make_heartbeat(sender.vm)
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
            for node in self.running_nodes():
                for name in node.gossip.next_probe_targets():
                    self.probe(node, name)
            if self.clock.monotonic() - self.last_list_s >= 2.0:
                self.last_list_s = self.clock.monotonic()
                self.refresh_list()

    def running_nodes(self):
        nodes = [n for n in self.nodes.values() if n.vm not in self.paused]
        self.rng.shuffle(nodes)
        return nodes

    @rule(seconds=st.sampled_from([0.5, 1.0, 4.0]))
    def time_passes(self, seconds):
        count_step()
        self.run_for(seconds)

    @rule(data_centre=st.sampled_from(DATA_CENTRES))
    def isolate_or_heal(self, data_centre):
        count_step()
        self.partitioned ^= {data_centre}

    @rule(pick=VM_NUMBERS)
    def crash(self, pick):
        count_step()
        vm = f"vm-{pick}"
        self.disturbed.add(vm)
        if vm in self.nodes:
            del self.nodes[vm]
            self.paused.discard(vm)
            self.crashed_s[vm] = self.clock.monotonic()

    @rule(pick=VM_NUMBERS)
    def restart(self, pick):
        count_step()
        vm = f"vm-{pick}"
        self.disturbed.add(vm)
        self.nodes.pop(vm, None)
        self.paused.discard(vm)
        self.start_vm(pick)

    @rule(pick=VM_NUMBERS)
    def pause_or_resume(self, pick):
        count_step()
        vm = f"vm-{pick}"
        self.disturbed.add(vm)
        if vm in self.nodes:
            self.paused ^= {vm}

    @rule(pick=VM_NUMBERS)
    def leave(self, pick):
        count_step()
        node = self.nodes.get(f"vm-{pick}")
        if node is not None:
            node.gossip.leave()
            self.left_incarnations.add(node.incarnation)
            self.vm_entries[node.vm] = msgspec.structs.replace(
                self.vm_entries[node.vm], state=VmState.LEAVING
            )

    @rule(loss=st.sampled_from([0.0, 0.1, 0.3]))
    def lose_messages(self, loss):
        count_step()
        self.loss = loss
        self.has_lost_messages = self.has_lost_messages or loss > 0

    @rule(pick=VM_NUMBERS, data=st.data())
    def late_message(self, pick, data):
        count_step()
        node = self.nodes.get(f"vm-{pick}")
        if node is None or not self.recorded_heartbeats:
            return
        beat = data.draw(st.sampled_from(self.recorded_heartbeats))
        if beat.vm != node.vm:
            node.gossip.apply_heartbeat(beat, local_versions=node.versions())

    @rule(pick=VM_NUMBERS)
    def accept_revision(self, pick):
        count_step()
        node = self.nodes.get(f"vm-{pick}")
        if node is not None:
            node.revision = 1 + max(n.revision for n in self.nodes.values())

    @rule()
    def settle(self):
        """Ends all faults and checks that the views converge in time."""
        count_step()
        self.partitioned.clear()
        self.paused.clear()
        self.loss = 0.0
        self.run_for(SETTLE_S)
        for node in self.nodes.values():
            self.check_settled(node)
        if self.nodes:
            newest = 1 + max(n.revision for n in self.nodes.values())
            self.rng.choice(self.running_nodes()).revision = newest
            self.run_for(PROPAGATION_S)
            assert {n.revision for n in self.nodes.values()} == {newest}

    def check_settled(self, node):
        view = node.gossip.view
        for vm in self.nodes:
            if vm == node.vm:
                continue
            update = view.peers[vm].update
            assert update.incarnation == self.nodes[vm].incarnation
            assert update.peer_port == self.nodes[vm].port
            leaving = update.incarnation in self.left_incarnations
            expected = MemberState.LEAVING if leaving else MemberState.LIVE
            assert view.state_of(vm) is expected
        for vm in self.crashed_s:
            local_nodes = [
                n for n in self.nodes.values() if self.shares_data_centre(n, vm)
            ]
            if local_nodes and vm in view.peers:
                assert vm not in view.placement_candidates()

    def shares_data_centre(self, node, vm):
        data_centre = DATA_CENTRES[int(vm[3:]) % len(DATA_CENTRES)]
        return node.data_centre == data_centre

    @invariant()
    def no_vm_is_dead_because_of_a_partition(self):
        """An uninterrupted VM is declared dead only after message loss."""
        for node in getattr(self, "nodes", {}).values():
            for vm, peer in node.gossip.view.peers.items():
                if peer.update.status is not MemberStatus.DEAD:
                    continue
                assert self.has_lost_messages or vm in self.disturbed, vm

    @invariant()
    def leaving_is_permanent(self):
        for node in getattr(self, "nodes", {}).values():
            for vm, peer in node.gossip.view.peers.items():
                key = (node.incarnation, vm, peer.update.incarnation)
                if peer.update.leaving:
                    self.observed[key] = True
                elif self.observed.get(key):
                    raise AssertionError(f"{vm} is no longer leaving")

    @invariant()
    def life_never_decreases(self):
        for node in getattr(self, "nodes", {}).values():
            for vm, peer in node.gossip.view.peers.items():
                key = ("life", node.incarnation, vm)
                life = peer.update.life
                assert life >= self.observed.get(key, 0)
                self.observed[key] = life


TestFleet = Fleet.TestCase
TestFleet.settings = hypothesis.settings(
    max_examples=hypothesis.settings().max_examples // 3
)
