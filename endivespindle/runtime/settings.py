"""Settings that one node reads at its start."""

import enum

import msgspec

__all__ = ["Endpoint", "NodeRole", "NodeSettings", "PlatformLimits", "Timing"]


class NodeRole(enum.StrEnum):
    """Role of a node."""

    GATEWAY = "gateway"
    CONTROLLER = "controller"


class Endpoint(msgspec.Struct, kw_only=True, frozen=True):
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class Timing(msgspec.Struct, kw_only=True, frozen=True):
    """Time bounds set by the deployment, in seconds.

    Attributes:
        revoke_s: Time after its revocation by which a key must be rejected.
        config_apply_s: Time after its acknowledgement by which a change of the
            configuration must be in force.
        revoke_strictly: Whether `revoke_s` also binds a VM that is partitioned
            from the platform.
        grace_s: Time between SIGTERM and SIGKILL.
        lease_s: Time within which a lease must not pass to another holder.
        usage_window_s: Length of a usage window.
        usage_late_s: Time after a window's end at which its report is due.
        status_s: Time for which the results of an ended job must be retained.
        evacuate_s: Time after its acknowledgement by which an evacuation must
            be in force; None if data centres are not evacuated.
        cold_rate_factor: Factor of the rate that a cold server bears up to
            which it may be sent requests, in any second.
        cold_rate_slack: Requests that it may be sent in addition.
    """

    revoke_s: float = 5.0
    config_apply_s: float = 2.0
    revoke_strictly: bool = True
    grace_s: float = 8.0
    lease_s: float = 3.0
    usage_window_s: float = 5.0
    usage_late_s: float = 10.0
    status_s: float = 120.0
    evacuate_s: float | None = None
    cold_rate_factor: float = 1.0
    cold_rate_slack: float = 0.0


class PlatformLimits(msgspec.Struct, kw_only=True, frozen=True):
    """Limits of the platform's store, for all nodes together.

    Attributes:
        writes_per_s: Writes per second that the store accepts.
        reads_per_s: Reads per second that the store accepts.
        value_bytes: Largest size of an object's value.
    """

    writes_per_s: float
    reads_per_s: float
    value_bytes: int


class NodeSettings(msgspec.Struct, kw_only=True, frozen=True):
    """Settings of a node: its identity, listeners and platform addresses.

    Attributes:
        name: Name of the VM, unique in the fleet.
        role: Role of this node.
        data_centre: Data centre of the VM.
        data_centres: All data centres.
        host: IP address of the VM.
        callers: Address on which callers connect; None on a controller.
        readiness: Address of the load balancer's readiness checks; None on a
            controller.
        peer_port: Port for calls and datagrams between nodes.
        store: Address of the platform's object API.
        operations: Address of the platform's operations API, or None.
        timing: Time bounds of the deployment.
        limits: Limits of the platform.
        memory_mb: Memory this process may use.
        duties: Duties that the platform requires.
        cpu: CPU seconds per second available to this VM, in cores of the
            platform's usual speed.
        is_first_start: Whether the fleet starts for the first time.
        prompt_tokens_per_s: Prompt tokens that an engine reads in a second, by
            which long prompts are placed apart from short ones; None if the
            length of prompts does not count.
    """

    name: str
    role: NodeRole
    data_centre: str
    data_centres: tuple[str, ...]
    host: str
    callers: Endpoint | None
    readiness: Endpoint | None
    peer_port: int
    store: Endpoint
    operations: Endpoint | None
    timing: Timing
    limits: PlatformLimits
    memory_mb: int
    duties: tuple[str, ...] = ()
    cpu: float = 1.0
    is_first_start: bool = False
    prompt_tokens_per_s: float | None = None
