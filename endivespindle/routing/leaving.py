"""Backend servers that no longer accept new work."""

from collections.abc import Iterable

from endivespindle.schema.generated.register import BackendServer, ServerState

__all__ = ["LeavingServers"]

# Marks kept: names are rarely reused, and a mark matters only as long as late
# entries of its incarnation may arrive.
_MAX_MARKS = 4096


class LeavingServers:
    """Records the incarnation in which each backend server began to leave.

    Leaving overrides live, as updates of the register and of the platform may
    arrive late and out of order. Only a higher incarnation accepts work again.
    """

    __slots__ = ("_incarnations",)

    def __init__(self) -> None:
        self._incarnations: dict[str, int] = {}

    def mark_leaving(self, server: str, *, incarnation: int) -> None:
        """Records that an incarnation of a server is leaving."""
        known = self._incarnations.pop(server, -1)
        self._incarnations[server] = max(known, incarnation)
        if len(self._incarnations) > _MAX_MARKS:
            self._incarnations.pop(next(iter(self._incarnations)))

    def is_leaving(self, server: str, *, incarnation: int) -> bool:
        """Returns whether an incarnation of a server is known to leave."""
        return incarnation <= self._incarnations.get(server, -1)

    def apply_revision(self, servers: Iterable[BackendServer]) -> None:
        """Applies the servers of a register revision."""
        for server in servers:
            if server.state is ServerState.LEAVING:
                self.mark_leaving(server.name, incarnation=server.incarnation)

    def available_servers(
        self, servers: list[BackendServer]
    ) -> list[BackendServer]:
        """Returns the servers that accept new work."""
        return [
            server
            for server in servers
            if server.state is ServerState.LIVE
            and not self.is_leaving(server.name, incarnation=server.incarnation)
        ]
