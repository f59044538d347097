"""Backend servers that no longer accept new work."""

from collections.abc import Iterable

from endivespindle.schema.generated.register import BackendServer, ServerState

__all__ = ["LeavingServers"]


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
        self._incarnations[server] = max(
            self._incarnations.get(server, -1), incarnation
        )

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
            and server.incarnation > self._incarnations.get(server.name, -1)
        ]
