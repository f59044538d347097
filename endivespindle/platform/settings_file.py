"""The platform's settings file, decoded into the node's own settings."""

import os
import pathlib

import msgspec
import yaml

from endivespindle.core.findings import Finding
from endivespindle.exceptions import CheckError
from endivespindle.runtime.settings import (
    Endpoint,
    NodeRole,
    NodeSettings,
    PlatformLimits,
    Timing,
)

__all__ = ["settings_file_path", "decode_settings_file", "load_settings_file"]

_PATH_VARIABLE = "ENDIVESPINDLE_BOOT"
_DEFAULT_PATH = "/etc/endivespindle/local.yaml"
# The platform's class of VMs that have a disk.
_DISK_CLASS = "storage"


class _Bounds(msgspec.Struct, rename="camel"):
    """`timingBounds`; a unit stands at the end of each name."""

    revoke_ms: float = 5000
    strict_revoke: bool = True
    grace_s: float = 8
    lease_ms: float = 3000
    usage_window_s: float = 5
    usage_late_s: float = 10
    status_s: float = 120


class _Listen(msgspec.Struct, rename="camel"):
    front: str | None = None
    ready: str | None = None


class _Limits(msgspec.Struct, rename="camel"):
    memory_mb: float = 128
    # Share of one core.
    cpu_share: float = 1.0
    # No count: how many times as fast that core is.
    cores: float = 1.0


class _Store(msgspec.Struct, rename="camel"):
    address: str
    writes_per_s: float = 400
    reads_per_s: float = 2000
    value_bytes: int = 1048576


class _Operations(msgspec.Struct, rename="camel"):
    address: str
    duties: list[str] = []


class _Boot(msgspec.Struct, rename="camel"):
    node_name: str
    machine_class: str
    ip: str
    zone: str
    zones: dict[str, str]
    port_range: list[int]
    platform: _Store
    listen_addrs: _Listen = msgspec.field(default_factory=_Listen)
    limits: _Limits = msgspec.field(default_factory=_Limits)
    timing_bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    cloud_api: _Operations | None = None


def settings_file_path() -> pathlib.Path:
    """Returns where the platform puts the settings of this process."""
    return pathlib.Path(os.environ.get(_PATH_VARIABLE, _DEFAULT_PATH))


def load_settings_file(path: pathlib.Path) -> NodeSettings:
    """Reads the settings file.

    Raises:
        CheckError: It cannot be read, or a field is missing or malformed.
    """
    try:
        return decode_settings_file(path.read_bytes())
    except OSError as exc:
        raise CheckError([Finding(place=str(path), message=str(exc))]) from exc


def decode_settings_file(data: bytes) -> NodeSettings:
    """Decodes the settings file; fields that are not known are left out.

    Raises:
        CheckError: A field is missing or malformed.
    """
    try:
        boot = msgspec.convert(yaml.safe_load(data), _Boot, strict=False)
        return _settings(boot)
    except (yaml.YAMLError, msgspec.ValidationError, ValueError) as exc:
        raise CheckError([Finding(place="settings", message=str(exc))]) from exc


def _settings(boot: _Boot) -> NodeSettings:
    role = NodeRole.GATEWAY
    if boot.machine_class == _DISK_CLASS:
        role = NodeRole.CONTROLLER
    cloud = boot.cloud_api
    return NodeSettings(
        name=boot.node_name,
        role=role,
        data_centre=boot.zone,
        data_centres=tuple(boot.zones),
        host=boot.ip,
        callers=_endpoint(boot.listen_addrs.front),
        readiness=_endpoint(boot.listen_addrs.ready),
        # Two roles on one VM share its ports; each takes its own.
        peer_port=boot.port_range[0] + (role is NodeRole.CONTROLLER),
        store=_address(boot.platform.address),
        operations=_address(cloud.address) if cloud else None,
        timing=_timing(boot.timing_bounds),
        limits=PlatformLimits(
            writes_per_s=boot.platform.writes_per_s,
            reads_per_s=boot.platform.reads_per_s,
            value_bytes=boot.platform.value_bytes,
        ),
        memory_mb=int(boot.limits.memory_mb),
        duties=tuple(cloud.duties) if cloud else (),
        cpu=boot.limits.cpu_share * boot.limits.cores,
    )


def _timing(bounds: _Bounds) -> Timing:
    return Timing(
        revoke_s=bounds.revoke_ms / 1000,
        revoke_strictly=bounds.strict_revoke,
        grace_s=bounds.grace_s,
        lease_s=bounds.lease_ms / 1000,
        usage_window_s=bounds.usage_window_s,
        usage_late_s=bounds.usage_late_s,
        status_s=bounds.status_s,
    )


def _endpoint(text: str | None) -> Endpoint | None:
    return _address(text) if text else None


def _address(text: str) -> Endpoint:
    host, _, port = text.rpartition(":")
    return Endpoint(host=host, port=int(port))
