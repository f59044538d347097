"""Decodes the platform's settings file into the settings of a node."""

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

__all__ = ["decode_settings_file", "load_settings_file", "settings_file_path"]

_PATH_VARIABLE = "ENDIVESPINDLE_BOOT"
_PROMPT_SPEED_VARIABLE = "ENDIVESPINDLE_PROMPT_TOKENS_PER_S"
_DEFAULT_PATH = "/etc/endivespindle/local.yaml"
# Machine class of the VMs that have a disk.
_DISK_MACHINE_CLASS = "storage"


class _TimingBounds(msgspec.Struct, rename="camel"):
    """Field `timingBounds`; the suffix of each name is its unit."""

    revoke_ms: float = 5000
    config_apply_ms: float = 2000
    strict_revoke: bool = True
    grace_s: float = 8
    lease_ms: float = 3000
    usage_window_s: float = 5
    usage_late_s: float = 10
    status_s: float = 120
    evacuate_ms: float | None = None
    cold_over: float = 1.0
    cold_slack: float = 0.0


class _Listen(msgspec.Struct, rename="camel"):
    front: str | None = None
    ready: str | None = None


class _Limits(msgspec.Struct, rename="camel"):
    memory_mb: float = 128
    # Fraction of one core.
    cpu_share: float = 1.0
    # Speed of that core relative to the usual one, not a number of cores.
    cores: float = 1.0


class _Store(msgspec.Struct, rename="camel"):
    address: str
    writes_per_s: float = 400
    reads_per_s: float = 2000
    value_bytes: int = 1048576


class _Operations(msgspec.Struct, rename="camel"):
    address: str
    duties: list[str] = []


class _SettingsFile(msgspec.Struct, rename="camel"):
    node_name: str
    machine_class: str
    ip: str
    zone: str
    zones: dict[str, str]
    port_range: list[int]
    platform: _Store
    listen_addrs: _Listen = msgspec.field(default_factory=_Listen)
    limits: _Limits = msgspec.field(default_factory=_Limits)
    timing_bounds: _TimingBounds = msgspec.field(default_factory=_TimingBounds)
    cloud_api: _Operations | None = None
    # Whether the fleet starts for the first time, with empty disks.
    bootstrap: bool = False


def settings_file_path() -> pathlib.Path:
    """Returns the path of the settings file of this process."""
    return pathlib.Path(os.environ.get(_PATH_VARIABLE, _DEFAULT_PATH))


def load_settings_file(path: pathlib.Path) -> NodeSettings:
    """Reads the settings file.

    Raises:
        CheckError: The file is unreadable, or a field is missing or malformed.
    """
    try:
        return decode_settings_file(path.read_bytes())
    except OSError as exc:
        raise CheckError([Finding(place=str(path), message=str(exc))]) from exc


def decode_settings_file(data: bytes) -> NodeSettings:
    """Decodes the settings file; unknown fields are ignored.

    Raises:
        CheckError: A field is missing or malformed.
    """
    try:
        doc = msgspec.convert(yaml.safe_load(data), _SettingsFile, strict=False)
        return _node_settings(doc)
    except (yaml.YAMLError, msgspec.ValidationError, ValueError) as exc:
        raise CheckError([Finding(place="settings", message=str(exc))]) from exc


def _node_settings(doc: _SettingsFile) -> NodeSettings:
    role = NodeRole.GATEWAY
    if doc.machine_class == _DISK_MACHINE_CLASS:
        role = NodeRole.CONTROLLER
    cloud_api = doc.cloud_api
    return NodeSettings(
        name=doc.node_name,
        role=role,
        data_centre=doc.zone,
        data_centres=tuple(doc.zones),
        host=doc.ip,
        callers=_endpoint(doc.listen_addrs.front),
        readiness=_endpoint(doc.listen_addrs.ready),
        # Nodes of both roles may run on one VM and need different ports.
        peer_port=doc.port_range[0] + (role is NodeRole.CONTROLLER),
        store=_address(doc.platform.address),
        operations=_address(cloud_api.address) if cloud_api else None,
        timing=_timing(doc.timing_bounds),
        limits=PlatformLimits(
            writes_per_s=doc.platform.writes_per_s,
            reads_per_s=doc.platform.reads_per_s,
            value_bytes=doc.platform.value_bytes,
        ),
        memory_mb=int(doc.limits.memory_mb),
        duties=tuple(cloud_api.duties) if cloud_api else (),
        cpu=doc.limits.cpu_share * doc.limits.cores,
        is_first_start=doc.bootstrap,
        prompt_tokens_per_s=float(os.environ.get(_PROMPT_SPEED_VARIABLE, 0))
        or None,
    )


def _timing(bounds: _TimingBounds) -> Timing:
    return Timing(
        revoke_s=bounds.revoke_ms / 1000,
        config_apply_s=bounds.config_apply_ms / 1000,
        revoke_strictly=bounds.strict_revoke,
        grace_s=bounds.grace_s,
        lease_s=bounds.lease_ms / 1000,
        usage_window_s=bounds.usage_window_s,
        usage_late_s=bounds.usage_late_s,
        status_s=bounds.status_s,
        evacuate_s=(
            None if bounds.evacuate_ms is None else bounds.evacuate_ms / 1000
        ),
        cold_rate_factor=bounds.cold_over,
        cold_rate_slack=bounds.cold_slack,
    )


def _endpoint(text: str | None) -> Endpoint | None:
    return _address(text) if text else None


def _address(text: str) -> Endpoint:
    host, _, port = text.rpartition(":")
    return Endpoint(host=host, port=int(port))
