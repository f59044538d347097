"""How fast news reach every VM, and what a cut does to the views."""

import random

from endivespindle.bench.event_queue import EventQueue
from endivespindle.bench.experiment import Experiment, Figures, Target
from endivespindle.core.clock import Clock
from endivespindle.membership.gossip import Gossip, StateVersions
from endivespindle.membership.view import MembershipView
from endivespindle.schema.generated.peer import MemberStatus, MemberUpdate

__all__ = ["EXPERIMENT", "SpreadExperiment", "measure_spread"]

_INTERVAL_S = 0.5
_SUSPECT_S = 3.0
_DEAD_S = 10.0
_WATCH_S = 5.0 / 6
_CALL_TIMEOUT_S = 2.0
_LATENCY_S = 0.001
_SPREAD_PAUSE_S = 0.05
_WARM_UP_S = 8.0
_CUT_S = 30.0
_SIZES = ((9, 3), (90, 9))
_CENTRE_VMS_CUT = "dc-0"


class _Vm:
    """Decisions of one VM, its shared state reduced to versions."""

    __slots__ = ("clock", "confirmed_s", "gossip", "revision", "spreading")

    def __init__(
        self, *, number: int, centres: int, clock: Clock, rng: random.Random
    ):
        name, centre = f"vm-{number}", f"dc-{number % centres}"
        self.clock = clock
        self.revision = 1
        self.confirmed_s = 0.0
        self.spreading = False
        self.gossip = Gossip(
            local_member=MemberUpdate(
                vm=name,
                data_centre=centre,
                host="h",
                http_port=1,
                peer_port=1,
                incarnation=f"i-{number}",
                life=1,
            ),
            view=MembershipView(
                vm=name,
                data_centre=centre,
                clock=clock,
                suspect_after_s=_SUSPECT_S,
                dead_after_s=_DEAD_S,
            ),
            rng=rng,
            interval_s=_INTERVAL_S,
        )

    def versions(self) -> StateVersions:
        return StateVersions(
            register_revision=self.revision,
            key_generation=0,
            store_age_s=self.clock.monotonic() - self.confirmed_s,
        )


class _Fleet:
    """Many VMs on one event queue."""

    __slots__ = ("_cut", "_latency_s", "_rng", "crashed", "queue", "vms")

    def __init__(self, *, size: int, centres: int, seed: int):
        self._rng = random.Random(seed)
        self._cut: set[str] = set()
        self.crashed: set[str] = set()
        self.queue = EventQueue()
        self.vms = {}
        for number in range(size):
            rng = random.Random(self._rng.getrandbits(64))
            vm = _Vm(
                number=number,
                centres=centres,
                clock=self.queue.clock,
                rng=rng,
            )
            self.vms[vm.gossip.local_member.vm] = vm
        everyone = [vm.gossip.local_member for vm in self.vms.values()]
        for vm in self.vms.values():
            vm.gossip.merge_members(everyone)
            self._later(self._rng.random() * _INTERVAL_S, self._tick, vm)
            self._later(self._rng.random() * _WATCH_S, self._watch, vm)

    def cut(self, centre: str) -> None:
        self._cut.add(centre)

    def heal(self) -> None:
        self._cut.clear()

    def _later(self, delay_s, action, vm) -> None:  # type: ignore[no-untyped-def]
        self.queue.after(delay_s, lambda: action(vm))

    def _tick(self, vm: _Vm) -> None:
        if vm.gossip.local_member.vm in self.crashed:
            return
        for name in vm.gossip.next_probe_targets():
            self._send(vm, name)
        self._later(_INTERVAL_S * self._rng.uniform(0.9, 1.1), self._tick, vm)

    def _watch(self, vm: _Vm) -> None:
        """A relay hears from the platform, unless it is cut off."""
        centre = vm.gossip.local_member.data_centre
        if vm.gossip.relays.is_relay() and centre not in self._cut:
            vm.confirmed_s = self.queue.clock.monotonic()
        self._later(_WATCH_S, self._watch, vm)

    def tell(self, vm: _Vm, revision: int) -> None:
        """Gives a VM a newer revision, which it spreads."""
        if revision <= vm.revision:
            return
        vm.revision = revision
        self._later(_SPREAD_PAUSE_S, self._spread, vm)

    def _spread(self, vm: _Vm) -> None:
        for name in vm.gossip.push_targets():
            self._send(vm, name)

    def _send(self, vm: _Vm, name: str) -> None:
        beat = vm.gossip.make_heartbeat(receiver=name, versions=vm.versions())
        sent_s = self.queue.clock.monotonic()
        receiver = self.vms[name]
        centres = {
            vm.gossip.local_member.data_centre,
            receiver.gossip.local_member.data_centre,
        }
        lost = len(centres) == 2 and bool(centres & self._cut)
        if lost or name in self.crashed:
            self.queue.after(
                _CALL_TIMEOUT_S, lambda: vm.gossip.record_probe_failure(name)
            )
            return

        def arrive() -> None:
            receiver.gossip.apply_heartbeat(
                beat, local_versions=receiver.versions()
            )
            self.tell(receiver, beat.register_revision)
            reply = receiver.gossip.make_heartbeat(
                receiver=vm.gossip.local_member.vm, versions=receiver.versions()
            )
            self.queue.after(_LATENCY_S, lambda: answered(reply))

        def answered(reply) -> None:  # type: ignore[no-untyped-def]
            vm.gossip.apply_heartbeat(
                reply, local_versions=vm.versions(), asked_s=sent_s
            )
            self.tell(vm, reply.register_revision)
            at_s = sent_s - reply.store_age_s
            vm.confirmed_s = max(vm.confirmed_s, at_s)

        self.queue.after(_LATENCY_S, arrive)

    def run_until(self, done, limit_s: float) -> float:  # type: ignore[no-untyped-def]
        """Runs until a condition holds; returns the seconds it took."""
        start_s = self.queue.clock.monotonic()
        while not done():
            now_s = self.queue.clock.monotonic()
            if now_s - start_s >= limit_s:
                return limit_s
            self.queue.run(until_s=now_s + 0.1)
        return self.queue.clock.monotonic() - start_s

    def run_for(self, seconds: float) -> None:
        self.queue.run(until_s=self.queue.clock.monotonic() + seconds)

    def oldest_news_s(self) -> float:
        now_s = self.queue.clock.monotonic()
        return max(now_s - vm.confirmed_s for vm in self.vms.values())

    def wrong_deaths(self) -> int:
        return sum(
            peer.update.status is MemberStatus.DEAD and name not in self.crashed
            for vm in self.vms.values()
            for name, peer in vm.gossip.view.peers.items()
        )


def measure_spread(*, size: int, centres: int, seed: int) -> dict[str, float]:
    """Returns how fast news spread in a fleet of one size."""
    fleet = _Fleet(size=size, centres=centres, seed=seed)
    fleet.run_for(_WARM_UP_S)
    oldest_s = 0.0
    for _ in range(40):
        fleet.run_for(0.1)
        oldest_s = max(oldest_s, fleet.oldest_news_s())
    fleet.tell(next(iter(fleet.vms.values())), 2)
    spread_s = fleet.run_until(
        lambda: all(vm.revision == 2 for vm in fleet.vms.values()), 30.0
    )
    victim = f"vm-{size - 1}"
    fleet.crashed.add(victim)
    centre = fleet.vms[victim].gossip.local_member.data_centre
    watchers = [
        vm
        for name, vm in fleet.vms.items()
        if vm.gossip.local_member.data_centre == centre and name != victim
    ]
    death_s = fleet.run_until(
        lambda: all(
            vm.gossip.view.peers[victim].update.status is MemberStatus.DEAD
            for vm in watchers
        ),
        60.0,
    )
    fleet.cut(_CENTRE_VMS_CUT)
    fleet.run_for(_CUT_S)
    wrong = fleet.wrong_deaths()
    fleet.tell(next(iter(fleet.vms.values())), 3)
    fleet.run_for(2.0)
    fleet.heal()
    heal_s = fleet.run_until(
        lambda: all(
            vm.revision == 3
            for name, vm in fleet.vms.items()
            if name not in fleet.crashed
        ),
        60.0,
    )
    return {
        "revision_on_all_s": spread_s,
        "oldest_key_news_s": oldest_s,
        "death_known_here_s": death_s,
        "wrong_deaths_in_cut": wrong,
        "revision_on_all_after_heal_s": heal_s,
    }


class SpreadExperiment(Experiment):
    """Runs the gossip decisions of whole fleets in virtual time."""

    __slots__ = ()

    name = "spread"
    targets = tuple(
        Target(figure=figure, variant=f"vms_{size}", at_most=limit)
        for size, _ in _SIZES
        for figure, limit in (
            ("revision_on_all_s", 6.0),
            ("oldest_key_news_s", 5.0),
            ("wrong_deaths_in_cut", 0.0),
            ("revision_on_all_after_heal_s", 10.0),
        )
    )

    def run(self, seed: int) -> list[Figures]:
        """Returns the figures of each size."""
        return [
            Figures(
                experiment=self.name,
                variant=f"vms_{size}",
                seed=seed,
                figures=measure_spread(size=size, centres=centres, seed=seed),
            )
            for size, centres in _SIZES
        ]


EXPERIMENT = SpreadExperiment()
