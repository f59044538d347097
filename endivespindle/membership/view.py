"""Who is in the fleet, as one VM sees it."""

import enum

import msgspec

from endivespindle.core.clock import Clock
from endivespindle.core.digests import rendezvous_rank
from endivespindle.membership.reach import DataCentreReach
from endivespindle.schema.generated.backend import VmEntry, VmState
from endivespindle.schema.generated.peer import (
    Heartbeat,
    MemberStatus,
    MemberUpdate,
)

__all__ = ["MemberState", "MembershipView", "Peer", "update_of"]

_SEVERITY = {
    MemberStatus.ALIVE: 0,
    MemberStatus.SUSPECT: 1,
    MemberStatus.DEAD: 2,
}
_FORGET_DEAD_S = 600.0
_ABSENT_S = 60.0


class MemberState(enum.StrEnum):
    """What is known of a peer."""

    LIVE = "live"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEAVING = "leaving"
    CUT_OFF = "cut_off"


class Peer(msgspec.Struct, kw_only=True):
    """A peer as last heard of.

    Attributes:
        update: What is known of it, as it is passed on.
        since_s: Time at which its status last changed.
        heard_s: Time of its last own message, or of its first mention.
        sequence: Sequence of its last heartbeat in this incarnation.
        heartbeat: Its last heartbeat.
        absent_since_s: Time since which the platform's list lacks it.
    """

    update: MemberUpdate
    since_s: float
    heard_s: float
    sequence: int = -1
    heartbeat: Heartbeat | None = None
    absent_since_s: float | None = None


class MembershipView:
    """Joins the platform's lagging list with what VMs say of each other.

    Only VMs of the same data centre suspect each other, and declare dead.
    A whole data centre that falls silent is cut off: none of its VMs counts
    as dead, so that nothing is moved on account of it.

    Args:
        vm: Name of this VM.
        data_centre: Data centre of this VM.
        clock: Clock of this VM.
        suspect_after_s: Seconds of silence that make this VM count itself
            as isolated, and another data centre as cut off.
        dead_after_s: Seconds after which a silent peer counts as dead.

    Attributes:
        peers: Every VM known, but for this one; to be read only.
        reach: When each data centre was last heard from.
        changes: Raised whenever what is known of a peer changes.
    """

    __slots__ = (
        "_clock",
        "_data_centre",
        "_dead_after_s",
        "_expired_s",
        "_heard_any_s",
        "_members",
        "_ranked",
        "_suspect_after_s",
        "_troubled",
        "_vm",
        "changes",
        "peers",
        "reach",
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
        self._heard_any_s = clock.monotonic()
        self._expired_s = clock.monotonic()
        self._members: dict[str, list[str]] = {}
        self._ranked: dict[str, list[str]] = {}
        self._troubled: set[str] = set()
        self.changes = 0
        self.peers: dict[str, Peer] = {}
        self.reach = DataCentreReach(
            own=data_centre, clock=clock, cut_after_s=suspect_after_s
        )

    def apply_vm_list(self, entries: list[VmEntry]) -> list[MemberUpdate]:
        """Takes in the platform's list, and returns what it changed.

        The list lags: it adds VMs, and marks as leaving only the
        incarnation that it names.
        """
        changed = []
        for entry in entries:
            peer = self.peers.get(entry.name)
            if peer is not None:
                peer.absent_since_s = None
            update = _from_entry(entry)
            if peer is not None and not entry.incarnation:
                update.incarnation = peer.update.incarnation
                update.life = peer.update.life
            if self.merge(update):
                changed.append(self.peers[entry.name].update)
        self._drop_absent({entry.name for entry in entries})
        return changed

    def take_heartbeat(self, beat: Heartbeat) -> bool:
        """Takes in a heartbeat; an older one of the same life is dropped.

        Returns:
            Whether what it says of its sender is now what this VM holds.
        """
        self.merge(update_of(beat))
        self._heard_any_s = self._clock.monotonic()
        peer = self.peers.get(beat.vm)
        if peer is None or peer.update.incarnation != beat.incarnation:
            return False
        if beat.sequence <= peer.sequence:
            return False
        peer.sequence = beat.sequence
        peer.heard_s = self._clock.monotonic()
        peer.heartbeat = beat
        return True

    def merge(self, update: MemberUpdate) -> bool:
        """Takes in news of a VM if they are newer than what is held."""
        if update.vm == self._vm:
            return False
        peer = self.peers.get(update.vm)
        if peer is None:
            self._add(update)
            return True
        merged = _merged(peer.update, update)
        if merged == peer.update:
            return False
        if merged.incarnation != peer.update.incarnation:
            peer.sequence = -1
            peer.heartbeat = None
        if merged.status is not peer.update.status:
            peer.since_s = self._clock.monotonic()
        peer.update = merged
        self._note_change(merged)
        return True

    def suspect(self, name: str) -> MemberUpdate | None:
        """Notes that a peer did not answer; returns the news, if any."""
        peer = self.peers.get(name)
        if peer is None or peer.update.data_centre != self._data_centre:
            return None
        suspected = msgspec.structs.replace(
            peer.update, status=MemberStatus.SUSPECT
        )
        return peer.update if self.merge(suspected) else None

    def expire(self) -> list[MemberUpdate]:
        """Declares dead the peers long suspected, and returns the news.

        A VM that hears of nobody, or that was paused, declares nobody dead:
        it may be the one that is cut off. Its suspicions start anew.
        """
        now_s = self._clock.monotonic()
        self._forget_dead(now_s)
        silent_s = now_s - min(self._heard_any_s, self._expired_s)
        self._expired_s = now_s
        if silent_s >= self._suspect_after_s:
            self._suspect_anew(now_s)
            return []
        wait_s = self._dead_after_s - self._suspect_after_s
        died = []
        for name in sorted(self._troubled):
            peer = self.peers[name]
            update = peer.update
            if (
                update.status is MemberStatus.SUSPECT
                and update.data_centre == self._data_centre
                and now_s - peer.since_s >= wait_s
            ):
                peer.update = msgspec.structs.replace(
                    update, status=MemberStatus.DEAD
                )
                peer.since_s = now_s
                self._note_change(peer.update)
                died.append(peer.update)
        return died

    def state_of(self, name: str) -> MemberState:
        """Returns what is known of a peer."""
        update = self.peers[name].update
        if update.leaving:
            return MemberState.LEAVING
        if update.status is MemberStatus.DEAD:
            return MemberState.DEAD
        if self.reach.is_cut(update.data_centre):
            return MemberState.CUT_OFF
        if update.status is MemberStatus.SUSPECT:
            return MemberState.SUSPECT
        return MemberState.LIVE

    def placement(self) -> list[str]:
        """Returns the VMs among which work is placed, this one included."""
        kept = (MemberState.LIVE, MemberState.SUSPECT, MemberState.CUT_OFF)
        names = [n for n in self.peers if self.state_of(n) in kept]
        return sorted([self._vm, *names])

    def rank(self, key: str) -> list[str]:
        """Returns the placement in the order in which a key prefers it.

        The order is kept until a VM's news change it.
        """
        ranked = self._ranked.get(key)
        if ranked is None:
            ranked = rendezvous_rank(key, self.placement())
            self._ranked[key] = ranked
        return ranked

    def reachable(self) -> list[str]:
        """Returns the peers that are expected to answer."""
        return sorted(
            name
            for name in self.peers
            if self.state_of(name) is MemberState.LIVE
        )

    def members_of(self, data_centre: str) -> list[str]:
        """Returns the VMs of a data centre neither dead nor leaving."""
        members = self._members.get(data_centre)
        if members is None:
            members = self._members[data_centre] = self._find(data_centre)
        return members

    def data_centres(self) -> list[str]:
        """Returns the other data centres that have VMs."""
        return self.reach.others()

    def dead_here(self) -> list[str]:
        """Returns the VMs of this data centre that were declared dead."""
        return [
            name
            for name in sorted(self._troubled)
            if self.peers[name].update.status is MemberStatus.DEAD
            and self.peers[name].update.data_centre == self._data_centre
        ]

    def lately_troubled(self) -> list[MemberUpdate]:
        """Returns what is known of VMs suspected or dead since not long."""
        now_s = self._clock.monotonic()
        return [
            self.peers[name].update
            for name in sorted(self._troubled)
            if now_s - self.peers[name].since_s < _FORGET_DEAD_S / 2
        ]

    def _find(self, data_centre: str) -> list[str]:
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

    def _note_change(self, update: MemberUpdate) -> None:
        """Forgets what was worked out of a data centre's members."""
        self.changes += 1
        self._ranked.clear()
        self._members.pop(update.data_centre, None)
        if update.status is MemberStatus.ALIVE:
            self._troubled.discard(update.vm)
        else:
            self._troubled.add(update.vm)

    def _drop(self, name: str) -> None:
        peer = self.peers.pop(name)
        self._note_change(peer.update)
        self._troubled.discard(name)

    def _add(self, update: MemberUpdate) -> None:
        now_s = self._clock.monotonic()
        self.peers[update.vm] = Peer(
            update=update, since_s=now_s, heard_s=now_s
        )
        self.reach.mention(update.data_centre)
        self._note_change(update)

    def _drop_absent(self, listed: set[str]) -> None:
        """Drops VMs that the list lacks for long and that do not answer."""
        now_s = self._clock.monotonic()
        for name, peer in list(self.peers.items()):
            if name in listed:
                continue
            if peer.absent_since_s is None:
                peer.absent_since_s = now_s
            quiet = self.state_of(name) is not MemberState.LIVE
            if quiet and now_s - peer.absent_since_s >= _ABSENT_S:
                self._drop(name)

    def _suspect_anew(self, now_s: float) -> None:
        for name in self._troubled:
            peer = self.peers[name]
            if peer.update.status is MemberStatus.SUSPECT:
                peer.since_s = now_s

    def _forget_dead(self, now_s: float) -> None:
        for name in sorted(self._troubled):
            peer = self.peers[name]
            dead = peer.update.status is MemberStatus.DEAD
            if dead and now_s - peer.since_s >= _FORGET_DEAD_S:
                self._drop(name)


def update_of(beat: Heartbeat) -> MemberUpdate:
    """Returns what a heartbeat says of its sender."""
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


def _from_entry(entry: VmEntry) -> MemberUpdate:
    return MemberUpdate(
        vm=entry.name,
        data_centre=entry.data_centre,
        host=entry.host,
        http_port=entry.port,
        peer_port=entry.peer_port,
        incarnation=entry.incarnation,
        leaving=entry.state is VmState.LEAVING,
    )


def _merged(held: MemberUpdate, news: MemberUpdate) -> MemberUpdate:
    """Returns the newer of two pieces of news of one VM.

    Of one incarnation the higher life wins, then the worse status; leaving
    is for good. Another incarnation needs a higher life; at the same life
    every VM prefers the same one, until the one that runs overrules.
    """
    if held.incarnation != news.incarnation:
        newer = (news.life, news.incarnation) > (held.life, held.incarnation)
        unknown = not held.incarnation and news.incarnation
        return news if unknown or newer else held
    newer = news.life > held.life
    if news.life == held.life:
        newer = _SEVERITY[news.status] > _SEVERITY[held.status]
    return msgspec.structs.replace(
        news if newer else held, leaving=held.leaving or news.leaving
    )
