"""Lookups in a register revision."""

from endivespindle.schema.generated.register import (
    BackendServer,
    ClientAccount,
    Register,
    Route,
    Service,
    Trainer,
)

__all__ = ["RegisterView"]


class RegisterView:
    """Immutable index of one register revision.

    Args:
        register: Validated content of the revision.
        revision: Number of the revision.
    """

    __slots__ = (
        "_routes",
        "_servers_by_service",
        "accounts",
        "models",
        "register",
        "revision",
        "servers",
        "services",
        "trainers",
    )

    def __init__(self, *, register: Register, revision: int):
        self.register = register
        self.revision = revision
        self.accounts: dict[str, ClientAccount] = {
            account.name: account for account in register.client_accounts
        }
        self.services: dict[str, Service] = {
            service.name: service for service in register.services
        }
        self.models: dict[str, Service] = {
            service.model: service
            for service in register.services
            if service.model != "none"
        }
        self.servers: dict[str, BackendServer] = {
            server.name: server for server in register.backend_servers
        }
        self.trainers: dict[str, Trainer] = {
            trainer.name: trainer for trainer in register.trainers
        }
        self._routes = sorted(
            register.routes, key=lambda route: len(route.prefix), reverse=True
        )
        self._servers_by_service: dict[str, list[BackendServer]] = {}
        for server in register.backend_servers:
            self._servers_by_service.setdefault(server.service, []).append(
                server
            )

    def route(self, path: str) -> Route | None:
        """Returns the route with the longest prefix that matches a path."""
        for route in self._routes:
            prefix = route.prefix.rstrip("/")
            if path == prefix or path.startswith(prefix + "/"):
                return route
        return None

    def servers_of(self, service: str) -> list[BackendServer]:
        """Returns every backend server of a service."""
        return self._servers_by_service.get(service, [])
