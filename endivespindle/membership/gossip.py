"""What one VM tells its peers, and what it makes of what they tell."""

import math
import random

import msgspec

from endivespindle.membership.dissemination import MAX_UPDATES, UpdateQueue
from endivespindle.membership.probing import ProbePlan
from endivespindle.membership.relays import Relays
from endivespindle.membership.view import MembershipView
from endivespindle.schema.generated.peer import (
    AskedTokens,
    Heartbeat,
    MemberStatus,
    MemberUpdate,
)

__all__ = ["Gossip", "StateVersions"]

_SPREAD_FANOUT = 3
_FRESHER_BY_S = 0.5
_VERIFIERS = 3
_ABROAD_EVERY = 2
_FEW_CENTRES = 4


class StateVersions(msgspec.Struct, kw_only=True, frozen=True):
    """What a VM holds of the shared state.

    Attributes:
        register_revision: Highest revision known.
        key_generation: Highest key generation known.
        store_age_s: Seconds since the key table was last known as newest.
    """

    register_revision: int
    key_generation: int
    store_age_s: float


class Gossip:
    """Decides whom to probe, what to say, and what to believe.

    A VM sends a constant number of probes in each interval, whatever the
    size of the fleet; a relay sends one more in every second one, abroad.
    News of VMs travel with them.

    Args:
        local_member: What this VM says of itself.
        view: Who is in the fleet.
        rng: Source of randomness.
        interval_s: Seconds between two probes.
    """

    __slots__ = (
        "_disputed",
        "_interval_s",
        "_plan",
        "_queue",
        "_repeats",
        "_rng",
        "_rotation",
        "_sequence",
        "_turn",
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
        self._turn = 0
        self._repeats = 0
        self._rotation: list[str] = []
        self._plan = ProbePlan(rng=rng)
        self._queue = UpdateQueue()
        self.relays = Relays(
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
        """Returns the message for a peer; news of itself comes first."""
        self._sequence += 1
        me = self.local_member
        return Heartbeat(
            vm=me.vm,
            data_centre=me.data_centre,
            host=me.host,
            incarnation=me.incarnation,
            life=me.life,
            sequence=self._sequence,
            leaving=me.leaving,
            register_revision=versions.register_revision,
            key_generation=versions.key_generation,
            store_age_s=round(max(0.0, versions.store_age_s), 3),
            http_port=me.http_port,
            peer_port=me.peer_port,
            asked=requested_tokens or [],
            keeps_data=keeps_data,
            updates=self._updates_for(receiver),
            centre_ages_ms=self.view.reach.ages_ms(
                generation=versions.key_generation
            ),
        )

    def pending_news(self) -> int:
        """Returns how many VMs there is news of, still to be passed on."""
        return len(self._queue)

    def leave(self) -> None:
        """Notes that this VM is draining, for good."""
        self.local_member = msgspec.structs.replace(
            self.local_member, leaving=True
        )

    def next_probe_targets(self) -> list[str]:
        """Returns the peers to probe in this interval."""
        self.view.reach.allow(self._lag_s())
        for update in self.view.expire():
            self._queue.put(update)
        found = [self._plan.next(self._live(), self.view.dead_here())]
        self._turn += 1
        abroad = self.relays.is_relay() and self._turn % self._every() == 0
        if abroad or found == [None]:
            found.append(self.relays.next_abroad())
        return [name for name in found if name is not None]

    def push_targets(self) -> list[str]:
        """Returns the peers to tell at once that something is newer here."""
        live = self._live()
        found = self._rng.sample(live, min(_SPREAD_FANOUT, len(live)))
        if self.relays.is_relay():
            found += self.relays.all_abroad()
        return found

    def apply_heartbeat(
        self,
        beat: Heartbeat,
        *,
        local_versions: StateVersions,
        asked_s: float | None = None,
    ) -> bool:
        """Takes in a peer's message; tells whether it is a fresh one.

        Args:
            beat: The message.
            local_versions: What this VM holds.
            asked_s: For a reply, when it was asked for. Only a reply tells
                when a data centre was heard from: a request may be old.
        """
        held = self.view.peers.get(beat.vm)
        before = held.update if held else None
        fresh = self.view.take_heartbeat(beat)
        self.relays.answered(beat.vm)
        update = self.view.peers[beat.vm].update
        if update != before:
            self._queue.put(update)
        if (update.incarnation, update.life) != (beat.incarnation, beat.life):
            self._disputed.add(beat.vm)
        for news in beat.updates[:MAX_UPDATES]:
            self._take_news(news)
        if asked_s is not None and math.isfinite(beat.store_age_s):
            self._take_reach(beat, asked_s)
        if beat.store_age_s + _FRESHER_BY_S < local_versions.store_age_s:
            self._plan.hint(beat.vm)
        return fresh

    def merge_members(self, members: list[MemberUpdate]) -> None:
        """Takes in another VM's whole table, when joining."""
        for update in members:
            if update.vm == self.local_member.vm:
                self._refute(update)
            else:
                self.view.merge(update)

    def members(self) -> list[MemberUpdate]:
        """Returns every VM known, this one included."""
        return [
            self.local_member,
            *(peer.update for peer in self.view.peers.values()),
        ]

    def disseminate(self, updates: list[MemberUpdate]) -> None:
        """Passes on news learnt from the platform's list."""
        for update in updates:
            self._queue.put(update)

    def record_probe_failure(self, name: str) -> None:
        """Notes that a probe was not answered."""
        self.relays.failed(name)
        suspected = self.view.suspect(name)
        if suspected is not None:
            self._queue.put(suspected)

    def _take_reach(self, beat: Heartbeat, asked_s: float) -> None:
        reach = self.view.reach
        if beat.data_centre == self.local_member.data_centre:
            reach.merge(beat.centre_ages_ms, asked_s=asked_s)
        else:
            reach.heard(
                beat.data_centre,
                asked_s=asked_s,
                generation=beat.key_generation,
            )

    def _take_news(self, news: MemberUpdate) -> None:
        if news.vm == self.local_member.vm:
            self._refute(news)
        elif self.view.merge(news):
            held = self.view.peers[news.vm].update
            self._queue.put(held)
            suspected = held.status is MemberStatus.SUSPECT
            if suspected and held.data_centre == self.local_member.data_centre:
                self._maybe_verify(held.vm)

    def _maybe_verify(self, name: str) -> None:
        """Has a few of the VMs here probe a suspected one themselves."""
        count = len(self.view.members_of(self.local_member.data_centre))
        if self._rng.random() < _VERIFIERS / max(1, count):
            self._plan.hint(name)

    def _refute(self, news: MemberUpdate) -> None:
        """Overrules what is wrongly said of this VM, by a higher life."""
        if news.life < self.local_member.life:
            return
        same = news.incarnation == self.local_member.incarnation
        if same and news.leaving:
            self.leave()
        if same and news.status is MemberStatus.ALIVE:
            return
        if not news.incarnation:
            return
        self.local_member = msgspec.structs.replace(
            self.local_member, life=news.life + 1
        )

    def _updates_for(self, receiver: str) -> list[MemberUpdate]:
        """Returns news to send; what is said of the receiver goes first."""
        updates = self._queue.next_updates(members=len(self.view.peers))
        if len(updates) < MAX_UPDATES:
            updates += self._repeated()
        peer = self.view.peers.get(receiver)
        disputed = receiver in self._disputed
        self._disputed.discard(receiver)
        if peer is None:
            return updates
        unheard = peer.heartbeat is None
        blamed = peer.update.status is not MemberStatus.ALIVE
        if not (disputed or unheard or blamed):
            return updates
        others = [news for news in updates if news.vm != receiver]
        return [peer.update, *others][:MAX_UPDATES]

    def _repeated(self) -> list[MemberUpdate]:
        """Returns a record to repeat where a message has room.

        News are passed on for a while only; who was cut off meanwhile hears
        of them so. Troubled VMs take every second turn.
        """
        self._repeats += 1
        troubled = self.view.lately_troubled()
        if troubled and self._repeats % 2:
            return [self._rng.choice(troubled)]
        while self._rotation:
            peer = self.view.peers.get(self._rotation.pop())
            if peer and peer.update.status is MemberStatus.ALIVE:
                return [peer.update]
        self._rotation = list(self.view.peers)
        self._rng.shuffle(self._rotation)
        return []

    def _every(self) -> int:
        """Returns how many intervals lie between two probes abroad."""
        few = len(self.view.data_centres()) <= _FEW_CENTRES
        return 1 if few else _ABROAD_EVERY

    def _lag_s(self) -> float:
        """Returns how old news of another data centre may well be."""
        centres = len(self.view.data_centres())
        here = len(self.view.members_of(self.local_member.data_centre))
        rounds = 2 * self._every() * centres + 2 * math.ceil(
            math.log2(here + 1)
        )
        return rounds * self._interval_s

    def _live(self) -> list[str]:
        members = self.view.members_of(self.local_member.data_centre)
        return [name for name in members if name != self.local_member.vm]
