"""Backend servers that take no new work any more."""

from collections.abc import Iterable

from endivespindle.schema.generated.register import BackendServer, ServerState

__all__ = ["LeavingServers"]


class LeavingServers:
    """Remembers in which incarnation a backend server began to leave.

    Leaving wins over live: news may come late and crossed, from the register
    and from the platform. Only a higher incarnation takes work again.
    """

    __slots__ = ("_left",)

    def __init__(self) -> None:
        self._left: dict[str, int] = {}

    def mark_leaving(self, server: str, *, incarnation: int) -> None:
        """Notes that an incarnation of a server is leaving."""
        self._left[server] = max(self._left.get(server, -1), incarnation)

    def apply_revision(self, servers: Iterable[BackendServer]) -> None:
        """Takes in the servers of a register revision."""
        for server in servers:
            if server.state is ServerState.LEAVING:
                self.mark_leaving(server.name, incarnation=server.incarnation)

    def available_servers(
        self, servers: list[BackendServer]
    ) -> list[BackendServer]:
        """Returns those that take new work."""
        return [
            server
            for server in servers
            if server.state is ServerState.LIVE
            and server.incarnation > self._left.get(server.name, -1)
        ]
