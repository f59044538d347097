"""Membership protocol of one VM: probes, heartbeats and updates (SWIM)."""

import math
import random

import msgspec

from endivespindle.membership.dissemination import (
    MAX_UPDATES_PER_MESSAGE,
    UpdateQueue,
)
from endivespindle.membership.probing import ProbeScheduler
from endivespindle.membership.relays import RelaySelector
from endivespindle.membership.view import MembershipView
from endivespindle.schema.generated.peer import (
    AskedTokens,
    Heartbeat,
    MemberStatus,
    MemberUpdate,
)

__all__ = ["Gossip", "StateVersions"]

_PUSH_FANOUT = 3
_FRESHNESS_MARGIN_S = 0.5
_EXPECTED_VERIFIERS = 3
_REMOTE_PROBE_PERIOD = 2
_FEW_DATA_CENTRES = 4


class StateVersions(msgspec.Struct, kw_only=True, frozen=True):
    """Versions of the shared state that a VM has.

    Attributes:
        register_revision: Highest revision known.
        key_generation: Highest key generation known.
        store_age_s: Seconds since the key table was last confirmed as the
            newest.
    """

    register_revision: int
    key_generation: int
    store_age_s: float


class Gossip:
    """Selects the peers to probe and builds and applies heartbeats.

    A VM sends a constant number of probes per interval, independent of the
    size of the fleet. A relay sends one more to a remote data centre, every
    second interval, or every interval while there are few data centres.
    Heartbeats carry updates about other VMs.

    Args:
        local_member: Record of this VM.
        view: Membership of the fleet.
        rng: Source of randomness.
        interval_s: Seconds between two probes.
    """

    __slots__ = (
        "_disputed",
        "_interval_count",
        "_interval_s",
        "_probe_scheduler",
        "_queue",
        "_repeat_count",
        "_repeat_order",
        "_rng",
        "_sequence",
        "local_member",
        "relays",
        "view",
    )

    def __init__(
        self,
        *,
        local_member: MemberUpdate,
        view: MembershipView,
        rng: random.Random,
        interval_s: float,
    ):
        self.local_member = local_member
        self.view = view
        self._interval_s = interval_s
        self._disputed: set[str] = set()
        self._rng = rng
        self._sequence = 0
        self._interval_count = 0
        self._repeat_count = 0
        self._repeat_order: list[str] = []
        self._probe_scheduler = ProbeScheduler(rng=rng)
        self._queue = UpdateQueue()
        self.relays = RelaySelector(
            vm=local_member.vm,
            data_centre=local_member.data_centre,
            view=view,
            rng=rng,
        )

    def make_heartbeat(
        self,
        *,
        receiver: str,
        versions: StateVersions,
        requested_tokens: list[AskedTokens] | None = None,
        keeps_data: bool = False,
    ) -> Heartbeat:
        """Returns the next heartbeat for a peer.

        Args:
            receiver: Name of the peer.
            versions: Versions of the shared state that this VM has.
            requested_tokens: Tokens requested so far, by service.
            keeps_data: Whether this VM has a data folder.
        """
        self._sequence += 1
        local = self.local_member
        return Heartbeat(
            vm=local.vm,
            data_centre=local.data_centre,
            host=local.host,
            incarnation=local.incarnation,
            life=local.life,
            sequence=self._sequence,
            leaving=local.leaving,
            register_revision=versions.register_revision,
            key_generation=versions.key_generation,
            store_age_s=round(max(0.0, versions.store_age_s), 3),
            http_port=local.http_port,
            peer_port=local.peer_port,
            asked=requested_tokens or [],
            keeps_data=keeps_data,
            updates=self._updates_for(receiver),
            centre_ages_ms=self.view.reachability.ages_ms(
                key_generation=versions.key_generation
            ),
        )

    def pending_updates(self) -> int:
        """Returns the number of VMs whose update is still to be sent."""
        return len(self._queue)

    def leave(self) -> None:
        """Marks this VM as leaving, which cannot be undone."""
        self.local_member = msgspec.structs.replace(
            self.local_member, leaving=True
        )

    def next_probe_targets(self) -> list[str]:
        """Returns the peers to probe in this interval."""
        self.view.reachability.set_propagation_delay(
            self._propagation_delay_s()
        )
        for update in self.view.expire_suspects():
            self._queue.put(update)
        targets = [
            self._probe_scheduler.next_target(
                self._live_local_peers(), self.view.dead_local_peers()
            )
        ]
        self._interval_count += 1
        is_remote_due = (
            self.relays.is_relay()
            and self._interval_count % self._remote_probe_period() == 0
        )
        if is_remote_due or targets == [None]:
            targets.append(self.relays.next_remote_contact())
        return [name for name in targets if name is not None]

    def push_targets(self) -> list[str]:
        """Returns the peers to notify at once of a newer shared state."""
        live = self._live_local_peers()
        targets = self._rng.sample(live, min(_PUSH_FANOUT, len(live)))
        if self.relays.is_relay():
            targets += self.relays.remote_contacts()
        return targets

    def apply_heartbeat(
        self,
        beat: Heartbeat,
        *,
        local_versions: StateVersions,
        asked_s: float | None = None,
    ) -> bool:
        """Applies a heartbeat of a peer.

        Args:
            beat: The heartbeat.
            local_versions: Versions of the shared state that this VM has.
            asked_s: For a reply, monotonic time at which the request was
                sent. Only replies update when a data centre was last heard
                from: a request may have been delayed on its way.

        Returns:
            Whether it is the newest heartbeat of its sender.
        """
        peer = self.view.peers.get(beat.vm)
        before = peer.update if peer else None
        is_newest = self.view.apply_heartbeat(beat)
        self.relays.clear_failure(beat.vm)
        update = self.view.peers[beat.vm].update
        if update != before:
            self._queue.put(update)
        if (update.incarnation, update.life) != (beat.incarnation, beat.life):
            self._disputed.add(beat.vm)
        for received in beat.updates[:MAX_UPDATES_PER_MESSAGE]:
            self._apply_update(received)
        if asked_s is not None and math.isfinite(beat.store_age_s):
            self._update_reachability(beat, asked_s)
        if beat.store_age_s + _FRESHNESS_MARGIN_S < local_versions.store_age_s:
            self._probe_scheduler.request_probe(beat.vm)
        return is_newest

    def merge_members(self, members: list[MemberUpdate]) -> None:
        """Merges the member table of another VM when this VM joins."""
        for update in members:
            if update.vm == self.local_member.vm:
                self._refute(update)
            else:
                self.view.merge(update)

    def members(self) -> list[MemberUpdate]:
        """Returns the records of all known VMs, including this one."""
        return [
            self.local_member,
            *(peer.update for peer in self.view.peers.values()),
        ]

    def disseminate(self, updates: list[MemberUpdate]) -> None:
        """Queues updates that came from the platform's VM list."""
        for update in updates:
            self._queue.put(update)

    def record_probe_failure(self, name: str) -> None:
        """Records that a peer did not reply to a probe."""
        self.relays.record_failure(name)
        suspected = self.view.suspect(name)
        if suspected is not None:
            self._queue.put(suspected)

    def _update_reachability(self, beat: Heartbeat, asked_s: float) -> None:
        reachability = self.view.reachability
        if beat.data_centre == self.local_member.data_centre:
            reachability.merge(beat.centre_ages_ms, asked_s=asked_s)
        else:
            reachability.record_reply(
                beat.data_centre,
                asked_s=asked_s,
                key_generation=beat.key_generation,
            )

    def _apply_update(self, update: MemberUpdate) -> None:
        if update.vm == self.local_member.vm:
            self._refute(update)
        elif self.view.merge(update):
            merged = self.view.peers[update.vm].update
            self._queue.put(merged)
            is_suspect = merged.status is MemberStatus.SUSPECT
            if (
                is_suspect
                and merged.data_centre == self.local_member.data_centre
            ):
                self._maybe_verify_suspect(merged.vm)

    def _maybe_verify_suspect(self, name: str) -> None:
        """Requests a probe of a suspect on a few VMs of the data centre."""
        count = len(self.view.members_of(self.local_member.data_centre))
        if self._rng.random() < _EXPECTED_VERIFIERS / max(1, count):
            self._probe_scheduler.request_probe(name)

    def _refute(self, update: MemberUpdate) -> None:
        """Overrides a wrong update about this VM by raising its life."""
        if update.life < self.local_member.life:
            return
        same = update.incarnation == self.local_member.incarnation
        if same and update.leaving:
            self.leave()
        if same and update.status is MemberStatus.ALIVE:
            return
        if not update.incarnation:
            return
        self.local_member = msgspec.structs.replace(
            self.local_member, life=update.life + 1
        )

    def _updates_for(self, receiver: str) -> list[MemberUpdate]:
        """Returns the updates for a heartbeat to a peer.

        The record of the receiver comes first if the receiver may have to
        refute it: its last heartbeat differed, none was received from it, or
        it is not alive in this VM's view.
        """
        updates = self._queue.next_updates(member_count=len(self.view.peers))
        if len(updates) < MAX_UPDATES_PER_MESSAGE:
            updates += self._repeated_updates()
        peer = self.view.peers.get(receiver)
        is_disputed = receiver in self._disputed
        self._disputed.discard(receiver)
        if peer is None:
            return updates
        is_unheard = peer.heartbeat is None
        is_unhealthy = peer.update.status is not MemberStatus.ALIVE
        if not (is_disputed or is_unheard or is_unhealthy):
            return updates
        others = [update for update in updates if update.vm != receiver]
        return [peer.update, *others][:MAX_UPDATES_PER_MESSAGE]

    def _repeated_updates(self) -> list[MemberUpdate]:
        """Returns a known record to repeat if a message has room for it.

        A queued update is sent only for a limited time. Repeating the records
        brings it to VMs that a network partition separated meanwhile. VMs
        recently suspected or declared dead get every second turn.
        """
        self._repeat_count += 1
        unhealthy = self.view.recently_unhealthy()
        if unhealthy and self._repeat_count % 2:
            return [self._rng.choice(unhealthy)]
        while self._repeat_order:
            peer = self.view.peers.get(self._repeat_order.pop())
            if peer and peer.update.status is MemberStatus.ALIVE:
                return [peer.update]
        self._repeat_order = list(self.view.peers)
        self._rng.shuffle(self._repeat_order)
        return []

    def _remote_probe_period(self) -> int:
        """Returns the intervals from one remote probe to the next."""
        few = len(self.view.remote_data_centres()) <= _FEW_DATA_CENTRES
        return 1 if few else _REMOTE_PROBE_PERIOD

    def _propagation_delay_s(self) -> float:
        """Returns the normal maximum age of reports on a data centre."""
        data_centres = len(self.view.remote_data_centres())
        local_vms = len(self.view.members_of(self.local_member.data_centre))
        rounds = 2 * self._remote_probe_period() * data_centres + 2 * math.ceil(
            math.log2(local_vms + 1)
        )
        return rounds * self._interval_s

    def _live_local_peers(self) -> list[str]:
        members = self.view.members_of(self.local_member.data_centre)
        return [name for name in members if name != self.local_member.vm]
