"""The configuration in force on one VM, and what it allows a request."""

import math
import random

import msgspec

from endivespindle.core.clock import Clock
from endivespindle.core.reasons import Reason
from endivespindle.exceptions import RefusedError
from endivespindle.serving.configuration import (
    AccountEntry,
    FleetConfig,
    Route,
    ServiceSpec,
)

__all__ = ["ActiveConfig", "Permit"]

# Retry-After of a request that was refused for want of a fresh
# configuration: the longest pause between two tries to read it.
_RETRY_AFTER_S = 0.5


class Permit(msgspec.Struct, kw_only=True, frozen=True):
    """What the configuration allows one request.

    Attributes:
        route: Route that serves it.
        client_account: Client account whose key came with it; empty on an
            anonymous route.
        priority: Rank; 0 goes first.
        version: Version of the configuration that allowed it.
    """

    route: Route
    client_account: str
    priority: int
    version: int


class ActiveConfig:
    """Holds the highest version seen, and how fresh it is known to be.

    A version is confirmed as of the moment before a read that returned it
    was sent. Where keys are revoked strictly, a request with a key is
    refused once the last confirmation is too old: a key may have been taken
    away since.

    Args:
        clock: Clock of this VM; counts time in which it was suspended.
        max_unconfirmed_s: Age of the confirmation after which requests with
            keys are refused; infinite if keys need no fresh configuration.
    """

    __slots__ = (
        "_accounts",
        "_clock",
        "_confirmed_s",
        "_max_unconfirmed_s",
        "_routes",
        "_services",
        "config",
    )

    def __init__(self, *, clock: Clock, max_unconfirmed_s: float):
        self._clock = clock
        self._max_unconfirmed_s = max_unconfirmed_s
        self._confirmed_s = -math.inf
        self._routes: dict[str, list[Route]] = {}
        self._accounts: dict[str, AccountEntry] = {}
        self._services: dict[str, ServiceSpec] = {}
        self.config: FleetConfig | None = None

    @property
    def version(self) -> int:
        """Version in force; 0 before the first."""
        return self.config.version if self.config else 0

    def apply_if_newer(self, config: FleetConfig) -> bool:
        """Takes a configuration if its version is higher than the one held."""
        if self.config is not None and config.version <= self.config.version:
            return False
        self.config = config
        self._routes = {}
        for route in config.routes:
            self._routes.setdefault(route.host, []).append(route)
        for routes in self._routes.values():
            routes.sort(key=lambda r: len(r.path_prefix), reverse=True)
        self._accounts = {
            key: account
            for account in config.accounts or ()
            for key in account.keys
        }
        self._services = {spec.name: spec for spec in config.services}
        return True

    def confirm(self, *, asked_s: float) -> None:
        """Notes that the version held was the newest at a moment."""
        self._confirmed_s = max(self._confirmed_s, asked_s)

    def confirmation_age_s(self) -> float:
        """Returns the age of the last confirmation."""
        return self._clock.monotonic() - self._confirmed_s

    def confirmed_since(self, moment_s: float) -> bool:
        """Tells whether a version is held that was the newest after then."""
        return self.config is not None and self._confirmed_s >= moment_s

    def is_fresh(self) -> bool:
        """Tells whether requests with keys may be served."""
        return self.confirmation_age_s() <= self._max_unconfirmed_s

    def service(self, name: str) -> ServiceSpec | None:
        """Returns a service, or None if there is none of this name."""
        return self._services.get(name)

    def route(self, *, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix, or None."""
        for route in self._routes.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def permit(self, *, host: str, path: str, key: str) -> Permit:
        """Returns what a request is allowed.

        Args:
            host: Host header, without its port.
            path: Path, without its query.
            key: Tenant key shown; empty if there is none.

        Raises:
            RefusedError: No route, no such key, or no fresh configuration.
        """
        if self.config is None:
            raise _not_ready(Reason.NOT_READY)
        route = self.route(host=host, path=path)
        if route is None:
            self._check_fresh()
            raise RefusedError(Reason.ROUTE_UNKNOWN)
        if route.anonymous or self.config.accounts is None:
            return Permit(
                route=route,
                client_account="",
                priority=route.priority,
                version=self.version,
            )
        account = self.account(key)
        priority = route.priority
        if account.priority is not None:
            priority = account.priority
        return Permit(
            route=route,
            client_account=account.name,
            priority=priority,
            version=self.version,
        )

    def account(self, key: str) -> AccountEntry:
        """Returns the client account that holds a key.

        Raises:
            RefusedError: It is unknown, or nobody can be sure.
        """
        if self.config is None:
            raise _not_ready(Reason.NOT_READY)
        self._check_fresh()
        account = self._accounts.get(key) if key else None
        if account is None:
            raise RefusedError(
                Reason.KEY_UNKNOWN if key else Reason.KEY_MISSING
            )
        return account

    def choose_service(self, route: Route, rng: random.Random) -> str:
        """Returns one of a route's services, drawn by weight."""
        if len(route.services) == 1:
            return route.services[0].service
        weights = [s.weight for s in route.services]
        return rng.choices(route.services, weights=weights)[0].service

    def _check_fresh(self) -> None:
        if not self.is_fresh():
            raise _not_ready(Reason.KEY_UNCONFIRMED)


def _not_ready(reason: Reason) -> RefusedError:
    return RefusedError(reason, retry_after_s=_RETRY_AFTER_S)
