"""Which entry VM owns the exact load of each backend server."""

from endivespindle.core.clock import Clock
from endivespindle.core.digests import rendezvous_rank

__all__ = ["ServerOwners"]

_HANDOVER_S = 2.0


class ServerOwners:
    """Follows the members, and knows owners that have only just begun.

    A new owner has not seen what was granted before it; until the hand-over
    is past it counts what peers told it last as well as its own grants.
    Two VMs that see other members may both take a server as theirs: the
    load is then known less exactly, and nothing else depends on it.

    Args:
        clock: Clock of this VM.
        handover_s: Seconds until an owner's figures count as exact.
    """

    __slots__ = ("_clock", "_handover_s", "_members", "_owners", "_since_s")

    def __init__(self, *, clock: Clock, handover_s: float = _HANDOVER_S):
        self._clock = clock
        self._handover_s = handover_s
        self._members: list[str] = []
        self._owners: dict[str, str] = {}
        self._since_s: dict[str, float] = {}

    def set_members(self, members: list[str]) -> list[str]:
        """Takes in the members, and returns the servers that moved."""
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
        """Tells whether the owner has held the server long enough."""
        held_s = self._clock.monotonic() - self._since_s.get(server, 0.0)
        return server in self._owners and held_s >= self._handover_s

    def _assign(self, server: str) -> bool:
        owner = rendezvous_rank(server, self._members)[0]
        if owner == self._owners.get(server):
            return False
        self._owners[server] = owner
        self._since_s[server] = self._clock.monotonic()
        return True
