"""Assignment of backend servers to the entry VMs that count their load."""

from endivespindle.core.clock import Clock
from endivespindle.core.digests import rendezvous_rank

__all__ = ["ServerOwners"]

_HANDOVER_S = 2.0


class ServerOwners:
    """Assigns each server to a member by rendezvous hashing.

    A new owner does not know the requests placed before its ownership; until
    the handover period is over it counts the last reports of its peers as well
    as the requests it placed itself. Two VMs with different member lists may
    both own a server: the load is then less exact, and nothing else depends on
    it.

    Args:
        clock: Clock of this VM.
        handover_s: Seconds until the load known to an owner counts as exact.
    """

    __slots__ = (
        "_clock",
        "_handover_s",
        "_members",
        "_owned_since_s",
        "_owners",
    )

    def __init__(self, *, clock: Clock, handover_s: float = _HANDOVER_S):
        self._clock = clock
        self._handover_s = handover_s
        self._members: list[str] = []
        self._owners: dict[str, str] = {}
        self._owned_since_s: dict[str, float] = {}

    def set_members(self, members: list[str]) -> list[str]:
        """Sets the members and returns the servers whose owner changed."""
        if members == self._members:
            return []
        self._members = list(members)
        known = list(self._owners)
        return [server for server in known if self._assign(server)]

    def owner_of(self, server: str) -> str:
        """Returns the VM that owns a server."""
        if server not in self._owners:
            self._assign(server)
        return self._owners[server]

    def is_exact(self, server: str) -> bool:
        """Returns whether the handover period of the owner is over."""
        owned_s = self._clock.monotonic() - self._owned_since_s.get(server, 0.0)
        return server in self._owners and owned_s >= self._handover_s

    def _assign(self, server: str) -> bool:
        owner = rendezvous_rank(server, self._members)[0]
        if owner == self._owners.get(server):
            return False
        self._owners[server] = owner
        self._owned_since_s[server] = self._clock.monotonic()
        return True
