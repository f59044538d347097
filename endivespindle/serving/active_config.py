"""The active configuration of one VM, and the permissions of requests."""

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

# Retry-After of a request refused for lack of a fresh configuration: the
# longest pause between two attempts to read it.
_RETRY_AFTER_S = 0.5


class Permit(msgspec.Struct, kw_only=True, frozen=True):
    """Permission of one request under the configuration.

    Attributes:
        route: Route that serves the request.
        client_account: Client account whose key the request carried; empty on
            an anonymous route.
        priority: Priority; 0 is the highest.
        version: Version of the configuration that permitted the request.
    """

    route: Route
    client_account: str
    priority: int
    version: int


class ActiveConfig:
    """The highest version seen, with the time of its last confirmation.

    A read that returns the version confirms it as of the time just before the
    read was sent. Where keys are revoked strictly, a request with a key is
    refused once the last confirmation is too old, as the key may have been
    revoked since. A final refusal needs a confirmation within the bound on
    applying changes: a newer configuration may allow the request.

    Args:
        clock: Clock of this VM; includes time in which the VM was suspended.
        max_unconfirmed_s: Age of the confirmation after which requests with
            keys are refused; infinite if keys need no fresh configuration.
        apply_s: Age of the confirmation up to which requests that the active
            configuration does not allow are refused for good.

    Attributes:
        config: The active configuration; None before the first one.
    """

    __slots__ = (
        "_accounts",
        "_apply_s",
        "_clock",
        "_confirmed_s",
        "_max_unconfirmed_s",
        "_routes",
        "_services",
        "config",
    )

    def __init__(
        self, *, clock: Clock, max_unconfirmed_s: float, apply_s: float
    ):
        self._clock = clock
        self._apply_s = apply_s
        self._max_unconfirmed_s = max_unconfirmed_s
        self._confirmed_s = -math.inf
        self._routes: dict[str, list[Route]] = {}
        self._accounts: dict[str, AccountEntry] = {}
        self._services: dict[str, ServiceSpec] = {}
        self.config: FleetConfig | None = None

    @property
    def version(self) -> int:
        """Active version; 0 before the first one."""
        return self.config.version if self.config else 0

    def apply_if_newer(self, config: FleetConfig) -> bool:
        """Activates a configuration if it is newer than the active one.

        Returns:
            Whether it was activated.
        """
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
        """Records that the active version was the newest at a time.

        Args:
            asked_s: Monotonic time at which the confirming read was sent.
        """
        self._confirmed_s = max(self._confirmed_s, asked_s)

    def confirmation_age_s(self) -> float:
        """Returns the age of the last confirmation, in seconds."""
        return self._clock.monotonic() - self._confirmed_s

    def is_fresh(self) -> bool:
        """Returns whether the confirmation is recent enough to accept keys."""
        return self.confirmation_age_s() <= self._max_unconfirmed_s

    def check_final_refusal(self) -> None:
        """Checks that no newer configuration can be in force elsewhere.

        Called before a request is refused for good.

        Raises:
            RefusedError: The configuration is not confirmed as of recently
                enough; the request may be repeated.
        """
        if self.confirmation_age_s() > self._apply_s:
            raise _retryable_refusal(Reason.CONFIG_UNCONFIRMED)

    def service(self, name: str) -> ServiceSpec | None:
        """Returns a service by name, or None if it is not configured."""
        return self._services.get(name)

    def route(self, *, host: str, path: str) -> Route | None:
        """Returns the matching route with the longest prefix, or None."""
        for route in self._routes.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def permit(self, *, host: str, path: str, key: str) -> Permit:
        """Returns the permission of a request.

        Args:
            host: Host header, without its port.
            path: Path, without its query.
            key: Tenant key of the request; empty if there is none.

        Raises:
            RefusedError: No route matches, the key is missing or unknown, or
                the configuration is not confirmed recently enough.
        """
        if self.config is None:
            raise _retryable_refusal(Reason.NOT_READY)
        route = self.route(host=host, path=path)
        if route is None:
            self.check_final_refusal()
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

    def may_send(self, permit: Permit, key: str) -> bool:
        """Returns whether a permitted request may be sent to a server now.

        Checked before each attempt: the request may have waited since it was
        permitted, and its key may have been withdrawn meanwhile.

        Args:
            permit: Permission of the request.
            key: Tenant key of the request.
        """
        if not permit.client_account:
            return True
        account = self._accounts.get(key)
        return (
            self.is_fresh()
            and account is not None
            and account.name == permit.client_account
        )

    def account(self, key: str) -> AccountEntry:
        """Returns the client account of a tenant key.

        Raises:
            RefusedError: The key is missing or unknown, or the configuration
                is not confirmed recently enough.
        """
        if self.config is None:
            raise _retryable_refusal(Reason.NOT_READY)
        self._check_fresh()
        account = self._accounts.get(key) if key else None
        if account is None:
            self.check_final_refusal()
            raise RefusedError(
                Reason.KEY_UNKNOWN if key else Reason.KEY_MISSING
            )
        return account

    def choose_service(self, route: Route, rng: random.Random) -> str:
        """Returns one of a route's services, chosen at random by weight."""
        if len(route.services) == 1:
            return route.services[0].service
        weights = [s.weight for s in route.services]
        return rng.choices(route.services, weights=weights)[0].service

    def _check_fresh(self) -> None:
        if not self.is_fresh():
            raise _retryable_refusal(Reason.KEY_UNCONFIRMED)


def _retryable_refusal(reason: Reason) -> RefusedError:
    return RefusedError(reason, retry_after_s=_RETRY_AFTER_S)
