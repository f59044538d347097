"""Decodes the store objects of operators, trainers and backend servers."""

from typing import Annotated, TypeVar

import msgspec

from endivespindle.core.decoding import decode_json, parse_address
from endivespindle.exceptions import MessageError
from endivespindle.serving.configuration import (
    AccountEntry,
    CallerLimits,
    EngineSpec,
    FleetConfig,
    Route,
    RouteKind,
    ScalingSpec,
    ServiceSpec,
    WeightedService,
)
from endivespindle.serving.server_entry import ServerEntry
from endivespindle.weights.published_version import PublishedVersion

__all__ = [
    "CONFIG_KIND",
    "CONFIG_NAME",
    "EVACUATION_KIND",
    "RETIREMENT_KIND",
    "SERVER_KIND",
    "VERSION_KIND",
    "decode_config",
    "decode_server",
    "decode_version",
    "encode_retirement",
]

CONFIG_KIND = "config"
CONFIG_NAME = "main"
SERVER_KIND = "servers"
VERSION_KIND = "versions"
RETIREMENT_KIND = "retirements"
# The name of an object of this kind is the data centre that is evacuated.
EVACUATION_KIND = "evacuations"

# "rollout" is the platform's name for a route of batch jobs.
_ROUTE_KINDS = {
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.NON_IDEMPOTENT,
    "stream": RouteKind.STREAM,
    "rollout": RouteKind.BATCH,
    "batch": RouteKind.BATCH,
}
_DRAINING_BY_STATE = {"ready": False, "draining": True}

T = TypeVar("T")


class _WeightedBackend(msgspec.Struct, rename="camel"):
    service: str
    weight: float


class _Route(msgspec.Struct, rename="camel"):
    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float = 60_000
    target_latency_ms: float = 1000
    priority: int = 0
    service: str | None = None
    backends: list[_WeightedBackend] | None = None
    max_attempts: int = 1
    anonymous: bool = False
    can_resume: bool = False
    due_ms: float = 0
    max_wait_s: float = 0
    single_version: bool = False


_Count = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
_Slots = Annotated[int, msgspec.Meta(ge=1, le=2**20)]
_Milliseconds = Annotated[float, msgspec.Meta(ge=-1e14, le=1e14)]


class _Model(msgspec.Struct, rename="camel"):
    name: str
    version: _Count = 1


class _Engine(msgspec.Struct, rename="camel"):
    slots: int
    kv_cache_tokens: int
    models: list[_Model] = []
    # Tokens per stream event.
    stride: int = 1


class _Scaling(msgspec.Struct, rename="camel"):
    min: int
    max: int
    boot_timeout_s: float
    spot_price: float = 1.0
    zone_prices: dict[str, float] = {}


class _Service(msgspec.Struct, rename="camel"):
    name: str
    health_path: str = "/health"
    max_conns: int = 64
    engine: _Engine | None = None
    scaling: _Scaling | None = None
    # Requests per second that a cold server tolerates.
    cold_per_s: float = 0.0


class _Limits(msgspec.Struct, rename="camel"):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 33_554_432
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15_000


class _Tenant(msgspec.Struct, rename="camel"):
    name: str
    api_keys: list[str] = []
    priority: int | None = None


class _Config(msgspec.Struct, rename="camel"):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] | None = None


class _Server(msgspec.Struct, rename="camel"):
    service: str
    address: str
    zone: str
    slots: _Slots
    state: str
    models: list[_Model] = []
    # Version of the server's software; that of the weights stands in `models`.
    version: str = ""
    spot: bool = False
    # Milliseconds; the only field that the platform spells in snake case.
    leaves_ms: _Milliseconds | None = msgspec.field(
        default=None, name="leaves_ms"
    )
    # How much longer the server stays cold.
    cold_left_ms: _Milliseconds = 0.0
    # Start time of this incarnation in Unix milliseconds.
    born: _Count = 0


class _Version(msgspec.Struct, rename="camel"):
    model: str
    version: _Count


def decode_config(value: bytes) -> FleetConfig:
    """Decodes the operator's configuration.

    Raises:
        MessageError: The configuration is malformed.
    """
    doc = _decode(value, _Config)
    accounts = None
    if doc.tenants is not None:
        accounts = tuple(
            AccountEntry(
                name=t.name, keys=tuple(t.api_keys), priority=t.priority
            )
            for t in doc.tenants
        )
    return FleetConfig(
        version=doc.version,
        routes=tuple(_route(route) for route in doc.routes),
        services=tuple(_service(service) for service in doc.services),
        limits=CallerLimits(
            header_bytes=doc.limits.max_header_bytes,
            body_bytes=doc.limits.max_body_bytes,
            header_timeout_s=doc.limits.header_timeout_ms / 1000,
            idle_timeout_s=doc.limits.idle_timeout_ms / 1000,
        ),
        accounts=accounts,
    )


def decode_server(name: str, value: bytes) -> ServerEntry:
    """Decodes a backend server's entry.

    Raises:
        MessageError: The entry is malformed; treat the server as absent.
    """
    doc = _decode(value, _Server)
    address = parse_address(doc.address)
    if doc.state not in _DRAINING_BY_STATE or address is None:
        raise MessageError(f"server {name}: unknown state or malformed address")
    host, port = address
    leaves_ms = doc.leaves_ms
    return ServerEntry(
        name=name,
        started_ms=doc.born,
        service=doc.service,
        host=host,
        port=port,
        data_centre=doc.zone,
        slots=doc.slots,
        draining=_DRAINING_BY_STATE[doc.state],
        versions={model.name: model.version for model in doc.models},
        software=doc.version,
        spot=doc.spot,
        leaves_in_s=None if leaves_ms is None else leaves_ms / 1000,
        cold_for_s=max(0.0, doc.cold_left_ms / 1000),
    )


def decode_version(value: bytes) -> PublishedVersion:
    """Decodes the newest weight version that a trainer published.

    Raises:
        MessageError: The object is malformed.
    """
    doc = _decode(value, _Version)
    return PublishedVersion(model=doc.model, version=doc.version)


def encode_retirement(*, complete: bool) -> bytes:
    """Encodes the status of a VM that is being retired."""
    state = "complete" if complete else "running"
    return msgspec.json.encode({"state": state})


def _route(doc: _Route) -> Route:
    kind = _ROUTE_KINDS.get(doc.kind)
    if kind is None:
        raise MessageError(f"route {doc.name}: kind {doc.kind!r} is unknown")
    backends = doc.backends or [
        _WeightedBackend(service=doc.service or "", weight=1)
    ]
    return Route(
        name=doc.name,
        host=doc.host,
        path_prefix=doc.path_prefix,
        kind=kind,
        timeout_s=doc.timeout_ms / 1000,
        target_latency_s=doc.target_latency_ms / 1000,
        priority=doc.priority,
        services=tuple(
            WeightedService(service=s.service, weight=s.weight)
            for s in backends
        ),
        max_attempts=doc.max_attempts,
        anonymous=doc.anonymous,
        resumable=doc.can_resume,
        due_s=doc.due_ms / 1000,
        max_wait_s=doc.max_wait_s,
        single_version=doc.single_version,
    )


def _service(doc: _Service) -> ServiceSpec:
    engine = None
    if doc.engine is not None:
        engine = EngineSpec(
            slots=doc.engine.slots,
            cache_tokens=doc.engine.kv_cache_tokens,
            models=tuple(model.name for model in doc.engine.models),
            tokens_per_event=max(1, doc.engine.stride),
        )
    scaling = None
    if doc.scaling is not None:
        scaling = ScalingSpec(
            servers_min=doc.scaling.min,
            servers_max=doc.scaling.max,
            boot_s=doc.scaling.boot_timeout_s,
            spot_price=doc.scaling.spot_price,
            prices=doc.scaling.zone_prices,
        )
    return ServiceSpec(
        name=doc.name,
        health_path=doc.health_path,
        max_connections=doc.max_conns,
        engine=engine,
        scaling=scaling,
        cold_rate_per_s=doc.cold_per_s,
    )


def _decode(value: bytes, cls: type[T]) -> T:
    try:
        return decode_json(value, type=cls)
    except msgspec.MsgspecError as exc:
        raise MessageError(str(exc)) from exc
