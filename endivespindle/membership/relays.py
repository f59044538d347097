"""Selects the VMs that exchange heartbeats with other data centres."""

import math
import random

from endivespindle.core.digests import rendezvous_rank
from endivespindle.membership.view import MembershipView

__all__ = ["RELAYS_PER_DATA_CENTRE", "RelaySelector"]

RELAYS_PER_DATA_CENTRE = 2

_CONCURRENT_STANDBYS = 4
_MAX_VMS_ALL_RELAYS = 4
_MAX_FAILED = 256
_STANDBY_TURN_S = 5.0
_MAX_SILENCE_S = 1e9


class RelaySelector:
    """Selects the relays of each data centre by rendezvous hashing.

    Relays watch the platform and exchange heartbeats with the relays of
    other data centres. While the views of two VMs differ, there may be a few
    more relays than usual.

    Args:
        vm: Name of this VM.
        data_centre: Data centre of this VM.
        view: Membership of the fleet.
        rng: Source of the random choice among the VMs of a data centre.
    """

    __slots__ = (
        "_contact_count",
        "_data_centre",
        "_failed",
        "_rank_cache",
        "_rng",
        "_view",
        "_vm",
    )

    def __init__(
        self,
        *,
        vm: str,
        data_centre: str,
        view: MembershipView,
        rng: random.Random,
    ):
        self._vm = vm
        self._data_centre = data_centre
        self._view = view
        self._rng = rng
        self._contact_count = 0
        self._failed: set[str] = set()
        self._rank_cache: dict[str, tuple[list[str], list[str]]] = {}

    def relays_of(self, data_centre: str) -> list[str]:
        """Returns the relays of a data centre; all VMs of a small one."""
        ranked = self._ranked_vms(data_centre)
        if len(ranked) <= _MAX_VMS_ALL_RELAYS:
            return ranked
        return ranked[:RELAYS_PER_DATA_CENTRE]

    def is_relay(self) -> bool:
        """Returns whether this VM is a relay."""
        return self._vm in self.relays_of(self._data_centre)

    def is_standby(self, *, silent_s: float) -> bool:
        """Returns whether this VM may call the platform for silent relays.

        A few standbys may call at a time; all VMs take turns.

        Args:
            silent_s: Seconds since the last update from the platform.
        """
        standbys = self._ranked_vms(self._data_centre)[RELAYS_PER_DATA_CENTRE:]
        if self._vm not in standbys:
            return True
        turns = math.ceil(len(standbys) / _CONCURRENT_STANDBYS)
        turn = int(min(silent_s, _MAX_SILENCE_S) / _STANDBY_TURN_S) % turns
        return standbys.index(self._vm) // _CONCURRENT_STANDBYS == turn

    def next_remote_contact(self) -> str | None:
        """Returns a VM of the next remote data centre, in round robin."""
        data_centres = self._view.remote_data_centres()
        if not data_centres:
            return None
        self._contact_count += 1
        return self._choose_contact(
            data_centres[self._contact_count % len(data_centres)]
        )

    def remote_contacts(self) -> list[str]:
        """Returns one VM of each remote data centre."""
        contacts = [
            self._choose_contact(name)
            for name in self._view.remote_data_centres()
        ]
        return [name for name in contacts if name is not None]

    def record_failure(self, name: str) -> None:
        """Records that a VM did not reply."""
        if len(self._failed) >= _MAX_FAILED:
            self._failed.clear()
        self._failed.add(name)

    def clear_failure(self, name: str) -> None:
        """Clears the failure of a VM that sent a message."""
        self._failed.discard(name)

    def _choose_contact(self, data_centre: str) -> str | None:
        """Returns a relay that has not failed, else any VM that has not.

        If all VMs of the data centre have failed, forgets their failures and
        returns any of them.
        """
        members = self._view.members_of(data_centre)
        usable = [
            n for n in self.relays_of(data_centre) if n not in self._failed
        ]
        usable = usable or [n for n in members if n not in self._failed]
        if not usable:
            self._failed -= set(members)
            usable = members
        return self._rng.choice(usable) if usable else None

    def _ranked_vms(self, data_centre: str) -> list[str]:
        members = self._view.members_of(data_centre)
        ranked = self._rank_cache.get(data_centre)
        if ranked is None or ranked[0] is not members:
            order = rendezvous_rank(f"relay/{data_centre}", members)
            ranked = self._rank_cache[data_centre] = (members, order)
        return ranked[1]
