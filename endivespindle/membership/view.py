"""Membership of the fleet, as seen by one VM."""

import enum

import msgspec

from endivespindle.core.clock import Clock
from endivespindle.core.digests import rendezvous_rank
from endivespindle.membership.reachability import DataCentreReachability
from endivespindle.schema.generated.backend import VmEntry, VmState
from endivespindle.schema.generated.peer import (
    Heartbeat,
    MemberStatus,
    MemberUpdate,
)

__all__ = ["MemberState", "MembershipView", "Peer", "member_update_of"]

_SEVERITY = {
    MemberStatus.ALIVE: 0,
    MemberStatus.SUSPECT: 1,
    MemberStatus.DEAD: 2,
}
_DEAD_RETENTION_S = 600.0
_ABSENT_RETENTION_S = 60.0


class MemberState(enum.StrEnum):
    """State of a peer in this VM's view.

    `CUT_OFF` means that a network partition separates its data centre.
    """

    LIVE = "live"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEAVING = "leaving"
    CUT_OFF = "cut_off"


class Peer(msgspec.Struct, kw_only=True):
    """Record of a peer.

    Times are monotonic.

    Attributes:
        update: Its state in the form that is sent to other VMs.
        status_since_s: Time at which its status last changed.
        last_heard_s: Time of its last heartbeat, or else of its addition.
        sequence: Sequence number of its last heartbeat in this incarnation.
        heartbeat: Its last heartbeat.
        absent_since_s: Time since which it is missing from the platform's
            list.
    """

    update: MemberUpdate
    status_since_s: float
    last_heard_s: float
    sequence: int = -1
    heartbeat: Heartbeat | None = None
    absent_since_s: float | None = None


class MembershipView:
    """Merges the platform's VM list, which lags, with gossiped updates.

    VMs suspect and declare dead only VMs of their own data centre. When all
    VMs of a data centre are silent, a network partition is assumed: none of
    its VMs counts as dead, so that no work is moved because of it.

    Args:
        vm: Name of this VM.
        data_centre: Data centre of this VM.
        clock: Clock of this VM.
        suspect_after_s: Seconds of silence after which this VM counts itself
            as isolated, and another data centre as partitioned.
        dead_after_s: Seconds after which a silent peer counts as dead.

    Attributes:
        peers: All known VMs except this one, by name; read-only for callers.
        reachability: When each data centre was last heard from.
        change_count: Number of changes of peer records so far.
    """

    __slots__ = (
        "_clock",
        "_data_centre",
        "_dead_after_s",
        "_last_expiry_s",
        "_last_heartbeat_s",
        "_members",
        "_ranked",
        "_suspect_after_s",
        "_unhealthy",
        "_vm",
        "change_count",
        "peers",
        "reachability",
    )

    def __init__(
        self,
        *,
        vm: str,
        data_centre: str,
        clock: Clock,
        suspect_after_s: float,
        dead_after_s: float,
    ):
        self._vm = vm
        self._data_centre = data_centre
        self._clock = clock
        self._suspect_after_s = suspect_after_s
        self._dead_after_s = dead_after_s
        self._last_heartbeat_s = clock.monotonic()
        self._last_expiry_s = clock.monotonic()
        self._members: dict[str, list[str]] = {}
        self._ranked: dict[str, list[str]] = {}
        self._unhealthy: set[str] = set()
        self.change_count = 0
        self.peers: dict[str, Peer] = {}
        self.reachability = DataCentreReachability(
            data_centre=data_centre,
            clock=clock,
            partition_after_s=suspect_after_s,
        )

    def apply_vm_list(self, entries: list[VmEntry]) -> list[MemberUpdate]:
        """Applies the platform's VM list and returns the changed records.

        The list lags: it adds VMs, and marks only the incarnation that it
        names as leaving.
        """
        changed = []
        for entry in entries:
            peer = self.peers.get(entry.name)
            if peer is not None:
                peer.absent_since_s = None
            update = _update_from_entry(entry)
            if peer is not None and not entry.incarnation:
                update.incarnation = peer.update.incarnation
                update.life = peer.update.life
            if self.merge(update):
                changed.append(self.peers[entry.name].update)
        self._remove_absent({entry.name for entry in entries})
        return changed

    def apply_heartbeat(self, beat: Heartbeat) -> bool:
        """Merges the sender's record and stores a heartbeat if it is newer.

        Returns:
            Whether it was stored as the newest heartbeat of its sender.
        """
        self.merge(member_update_of(beat))
        self._last_heartbeat_s = self._clock.monotonic()
        peer = self.peers.get(beat.vm)
        if peer is None or peer.update.incarnation != beat.incarnation:
            return False
        if beat.sequence <= peer.sequence:
            return False
        peer.sequence = beat.sequence
        peer.last_heard_s = self._clock.monotonic()
        peer.heartbeat = beat
        return True

    def merge(self, update: MemberUpdate) -> bool:
        """Merges an update of a VM and returns whether it changed a record."""
        if update.vm == self._vm:
            return False
        peer = self.peers.get(update.vm)
        if peer is None:
            self._add(update)
            return True
        merged = _merge_updates(peer.update, update)
        if merged == peer.update:
            return False
        if merged.incarnation != peer.update.incarnation:
            peer.sequence = -1
            peer.heartbeat = None
        if merged.status is not peer.update.status:
            peer.status_since_s = self._clock.monotonic()
        peer.update = merged
        self._record_change(merged)
        return True

    def suspect(self, name: str) -> MemberUpdate | None:
        """Marks a peer that did not reply as suspect.

        Returns:
            The changed record; None if the peer is unknown, in another data
            centre, or already suspect or dead.
        """
        peer = self.peers.get(name)
        if peer is None or peer.update.data_centre != self._data_centre:
            return None
        suspected = msgspec.structs.replace(
            peer.update, status=MemberStatus.SUSPECT
        )
        return peer.update if self.merge(suspected) else None

    def expire_suspects(self) -> list[MemberUpdate]:
        """Declares dead the peers whose suspicion timed out.

        A VM that received no heartbeat, or was paused, for
        `suspect_after_s` declares no peer dead, because it may be isolated
        itself. The timeouts of its suspicions restart.

        Returns:
            The changed records.
        """
        now_s = self._clock.monotonic()
        self._remove_long_dead(now_s)
        silent_s = now_s - min(self._last_heartbeat_s, self._last_expiry_s)
        self._last_expiry_s = now_s
        if silent_s >= self._suspect_after_s:
            self._restart_suspicions(now_s)
            return []
        wait_s = self._dead_after_s - self._suspect_after_s
        dead = []
        for name in sorted(self._unhealthy):
            peer = self.peers[name]
            update = peer.update
            if (
                update.status is MemberStatus.SUSPECT
                and update.data_centre == self._data_centre
                and now_s - peer.status_since_s >= wait_s
            ):
                peer.update = msgspec.structs.replace(
                    update, status=MemberStatus.DEAD
                )
                peer.status_since_s = now_s
                self._record_change(peer.update)
                dead.append(peer.update)
        return dead

    def state_of(self, name: str) -> MemberState:
        """Returns the state of a peer."""
        update = self.peers[name].update
        if update.leaving:
            return MemberState.LEAVING
        if update.status is MemberStatus.DEAD:
            return MemberState.DEAD
        if self.reachability.is_partitioned(update.data_centre):
            return MemberState.CUT_OFF
        if update.status is MemberStatus.SUSPECT:
            return MemberState.SUSPECT
        return MemberState.LIVE

    def placement_candidates(self) -> list[str]:
        """Returns the VMs that may be given work, including this one."""
        candidate_states = (
            MemberState.LIVE,
            MemberState.SUSPECT,
            MemberState.CUT_OFF,
        )
        names = [n for n in self.peers if self.state_of(n) in candidate_states]
        return sorted([self._vm, *names])

    def rank(self, key: str) -> list[str]:
        """Returns the placement candidates in rendezvous order for a key.

        The order is cached until the record of any peer changes.
        """
        ranked = self._ranked.get(key)
        if ranked is None:
            ranked = rendezvous_rank(key, self.placement_candidates())
            self._ranked[key] = ranked
        return ranked

    def reachable(self) -> list[str]:
        """Returns the peers that are expected to reply."""
        return sorted(
            name
            for name in self.peers
            if self.state_of(name) is MemberState.LIVE
        )

    def members_of(self, data_centre: str) -> list[str]:
        """Returns the VMs of a data centre that are not dead or leaving."""
        members = self._members.get(data_centre)
        if members is None:
            members = self._members[data_centre] = self._find_members(
                data_centre
            )
        return members

    def remote_data_centres(self) -> list[str]:
        """Returns the other data centres that have VMs."""
        return self.reachability.remote_data_centres()

    def dead_local_peers(self) -> list[str]:
        """Returns the peers of this data centre that were declared dead."""
        return [
            name
            for name in sorted(self._unhealthy)
            if self.peers[name].update.status is MemberStatus.DEAD
            and self.peers[name].update.data_centre == self._data_centre
        ]

    def recently_unhealthy(self) -> list[MemberUpdate]:
        """Returns the records of peers suspected or declared dead recently."""
        now_s = self._clock.monotonic()
        return [
            self.peers[name].update
            for name in sorted(self._unhealthy)
            if now_s - self.peers[name].status_since_s < _DEAD_RETENTION_S / 2
        ]

    def _find_members(self, data_centre: str) -> list[str]:
        names = [
            name
            for name, peer in self.peers.items()
            if peer.update.data_centre == data_centre
            and not peer.update.leaving
            and peer.update.status is not MemberStatus.DEAD
        ]
        if data_centre == self._data_centre:
            names.append(self._vm)
        return sorted(names)

    def _record_change(self, update: MemberUpdate) -> None:
        """Updates the data derived from peer records after a change."""
        self.change_count += 1
        self._ranked.clear()
        self._members.pop(update.data_centre, None)
        if update.status is MemberStatus.ALIVE:
            self._unhealthy.discard(update.vm)
        else:
            self._unhealthy.add(update.vm)

    def _remove(self, name: str) -> None:
        peer = self.peers.pop(name)
        self._record_change(peer.update)
        self._unhealthy.discard(name)

    def _add(self, update: MemberUpdate) -> None:
        now_s = self._clock.monotonic()
        self.peers[update.vm] = Peer(
            update=update, status_since_s=now_s, last_heard_s=now_s
        )
        self.reachability.add(update.data_centre)
        self._record_change(update)

    def _remove_absent(self, listed_names: set[str]) -> None:
        """Removes VMs that were long missing from the list and are not live."""
        now_s = self._clock.monotonic()
        for name, peer in list(self.peers.items()):
            if name in listed_names:
                continue
            if peer.absent_since_s is None:
                peer.absent_since_s = now_s
            is_not_live = self.state_of(name) is not MemberState.LIVE
            if (
                is_not_live
                and now_s - peer.absent_since_s >= _ABSENT_RETENTION_S
            ):
                self._remove(name)

    def _restart_suspicions(self, now_s: float) -> None:
        for name in self._unhealthy:
            peer = self.peers[name]
            if peer.update.status is MemberStatus.SUSPECT:
                peer.status_since_s = now_s

    def _remove_long_dead(self, now_s: float) -> None:
        for name in sorted(self._unhealthy):
            peer = self.peers[name]
            is_dead = peer.update.status is MemberStatus.DEAD
            if is_dead and now_s - peer.status_since_s >= _DEAD_RETENTION_S:
                self._remove(name)


def member_update_of(beat: Heartbeat) -> MemberUpdate:
    """Returns the record of a heartbeat's sender."""
    return MemberUpdate(
        vm=beat.vm,
        data_centre=beat.data_centre,
        host=beat.host,
        http_port=beat.http_port,
        peer_port=beat.peer_port,
        incarnation=beat.incarnation,
        life=beat.life,
        leaving=beat.leaving,
    )


def _update_from_entry(entry: VmEntry) -> MemberUpdate:
    return MemberUpdate(
        vm=entry.name,
        data_centre=entry.data_centre,
        host=entry.host,
        http_port=entry.port,
        peer_port=entry.peer_port,
        incarnation=entry.incarnation,
        leaving=entry.state is VmState.LEAVING,
    )


def _merge_updates(known: MemberUpdate, update: MemberUpdate) -> MemberUpdate:
    """Returns the record that results from an update of a known VM.

    Within an incarnation the higher life wins, then the worse status, and
    leaving is permanent. A different incarnation needs a higher life, unless
    the known record has no incarnation. At the same life, the incarnations
    are compared as strings, so that all VMs select the same one until the
    running incarnation raises its life.
    """
    if known.incarnation != update.incarnation:
        is_newer = (update.life, update.incarnation) > (
            known.life,
            known.incarnation,
        )
        is_first = not known.incarnation and update.incarnation
        return update if is_first or is_newer else known
    is_newer = update.life > known.life
    if update.life == known.life:
        is_newer = _SEVERITY[update.status] > _SEVERITY[known.status]
    return msgspec.structs.replace(
        update if is_newer else known, leaving=known.leaving or update.leaving
    )
