"""Types of the operator's configuration."""

import enum

import msgspec

__all__ = [
    "AccountEntry",
    "CallerLimits",
    "EngineSpec",
    "FleetConfig",
    "Route",
    "RouteKind",
    "ScalingSpec",
    "ServiceSpec",
    "WeightedService",
]


class RouteKind(enum.StrEnum):
    """Kind of a route's requests; determines whether they may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"
    BATCH = "batch"


class WeightedService(msgspec.Struct, kw_only=True, frozen=True):
    """A service that receives part of a route's requests.

    Attributes:
        service: Name of the service.
        weight: Weight of the random choice among the route's services.
    """

    service: str
    weight: float


class Route(msgspec.Struct, kw_only=True, frozen=True):
    """Rules for the requests of one host and path prefix.

    Attributes:
        name: Name, unique in the configuration.
        host: Host header it matches.
        path_prefix: Prefix of the paths it matches, with both slashes.
        kind: Kind of its requests.
        timeout_s: Maximum time until a request is answered.
        target_latency_s: Latency up to which a response has its full value.
        priority: Priority; 0 is the highest.
        services: Services that receive its requests, by weight.
        max_attempts: Maximum number of backend servers that may run a request.
        anonymous: Whether no tenant key is required.
        resumable: Whether its streams may resume at another server.
        due_s: Time after which a batch job's results are due.
        max_wait_s: Time after which an item may be terminated; 0 if never.
        single_version: Whether one weight version must generate a completion
            from start to end.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout_s: float
    target_latency_s: float
    priority: int
    services: tuple[WeightedService, ...]
    max_attempts: int
    anonymous: bool = False
    resumable: bool = False
    due_s: float = 0.0
    max_wait_s: float = 0.0
    single_version: bool = False


class EngineSpec(msgspec.Struct, kw_only=True, frozen=True):
    """Properties of a service's model engines.

    Attributes:
        slots: Maximum number of concurrent requests of an engine.
        cache_tokens: Capacity of its KV cache, in tokens.
        models: Names of the models it serves.
        tokens_per_event: Tokens per stream event.
    """

    slots: int
    cache_tokens: int
    models: tuple[str, ...]
    tokens_per_event: int = 1


class ScalingSpec(msgspec.Struct, kw_only=True, frozen=True):
    """Limits and prices for ordering a service's backend servers.

    Attributes:
        servers_min: Minimum number in each data centre.
        servers_max: Maximum number in each data centre.
        boot_s: Seconds until a new server is ready.
        spot_price: Price of a server that the platform may reclaim, as a
            fraction of the regular price.
        prices: Price of a server second, by data centre.
    """

    servers_min: int
    servers_max: int
    boot_s: float
    spot_price: float
    prices: dict[str, float]


class ServiceSpec(msgspec.Struct, kw_only=True, frozen=True):
    """A service to which routes send requests.

    Attributes:
        name: Name, unique in the configuration.
        health_path: Path of its servers' health checks.
        max_connections: Connections that a server accepts from all VMs.
        engine: Properties of its model engines; None for a plain service.
        scaling: Limits and prices for ordering its servers; None if it has a
            fixed number.
        cold_rate_per_s: Requests per second that a cold server bears; 0 if it
            bears any.
    """

    name: str
    health_path: str
    max_connections: int
    engine: EngineSpec | None = None
    scaling: ScalingSpec | None = None
    cold_rate_per_s: float = 0.0


class CallerLimits(msgspec.Struct, kw_only=True, frozen=True):
    """Limits on the size and duration of callers' requests."""

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class AccountEntry(msgspec.Struct, kw_only=True, frozen=True):
    """A client account and its tenant keys.

    Attributes:
        name: Name of the client account.
        keys: Its tenant keys.
        priority: Priority that overrides the route's, if set.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None = None


class FleetConfig(msgspec.Struct, kw_only=True, frozen=True):
    """One complete version of the operator's configuration.

    Attributes:
        version: Version number; only increases.
        routes: All routes.
        services: All services.
        limits: Limits on callers.
        accounts: Client accounts; None if no route requires a key.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[ServiceSpec, ...]
    limits: CallerLimits
    accounts: tuple[AccountEntry, ...] | None = None
