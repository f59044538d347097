"""The operator's configuration, in the product's own types."""

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
    """What a route's requests are, and so what may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"
    BATCH = "batch"


class WeightedService(msgspec.Struct, kw_only=True, frozen=True):
    """A service that takes a share of a route's requests."""

    service: str
    weight: float


class Route(msgspec.Struct, kw_only=True, frozen=True):
    """Where the requests of one host and path prefix go.

    Attributes:
        name: Name, unique in the configuration.
        host: Host header it serves.
        path_prefix: Start of the paths it serves, with both slashes.
        kind: What its requests are.
        timeout_s: Longest time a request may be kept waiting.
        target_latency_s: Time within which an answer is useful in full.
        priority: Rank; 0 goes first.
        services: Services that take its requests, by weight.
        max_attempts: Backend servers one request may be sent to.
        anonymous: Whether it needs no tenant key.
        resumable: Whether its streams may go on at another server.
        due_s: Time after which a batch job's results are due.
        max_wait_s: Time after which an item may be given up.
        single_version: Whether a text needs one weight version throughout.
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
    """What the model engines of a service are like.

    Attributes:
        slots: Requests an engine runs at once.
        cache_tokens: Tokens it keeps in memory.
        models: Names of the models it holds.
        tokens_per_event: Tokens that one event of a stream holds.
    """

    slots: int
    cache_tokens: int
    models: tuple[str, ...]
    tokens_per_event: int = 1


class ScalingSpec(msgspec.Struct, kw_only=True, frozen=True):
    """How many backend servers of a service may be ordered.

    Attributes:
        servers_min: Fewest in each data centre.
        servers_max: Most in each data centre.
        boot_s: Seconds until a new one serves.
        spot_price: Price of a reclaimable one, as a share of another's.
        prices: Price of a server second by data centre.
    """

    servers_min: int
    servers_max: int
    boot_s: float
    spot_price: float
    prices: dict[str, float]


class ServiceSpec(msgspec.Struct, kw_only=True, frozen=True):
    """A service that routes name."""

    name: str
    health_path: str
    max_connections: int
    engine: EngineSpec | None = None
    scaling: ScalingSpec | None = None


class CallerLimits(msgspec.Struct, kw_only=True, frozen=True):
    """What a caller may send, and how long it may take or stay idle."""

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class AccountEntry(msgspec.Struct, kw_only=True, frozen=True):
    """A client account and the keys it holds.

    Attributes:
        name: Name of the client account.
        keys: Its tenant keys.
        priority: Rank that goes before the route's, if there is one.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None = None


class FleetConfig(msgspec.Struct, kw_only=True, frozen=True):
    """One version of the operator's configuration, in full.

    Attributes:
        version: Version; versions only rise.
        routes: All routes.
        services: All services.
        limits: Bounds on callers.
        accounts: Client accounts; None if no route asks for a key.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[ServiceSpec, ...]
    limits: CallerLimits
    accounts: tuple[AccountEntry, ...] | None = None
