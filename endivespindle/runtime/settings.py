"""What one node needs to know at its start."""

import enum

import msgspec

__all__ = ["Endpoint", "NodeRole", "NodeSettings", "PlatformLimits", "Timing"]


class NodeRole(enum.StrEnum):
    """What a node does."""

    GATEWAY = "gateway"
    CONTROLLER = "controller"


class Endpoint(msgspec.Struct, kw_only=True, frozen=True):
    """An IP number and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class Timing(msgspec.Struct, kw_only=True, frozen=True):
    """Bounds that the deployment sets, in seconds.

    Attributes:
        revoke_s: A key must stop working this long after it was taken away.
        revoke_strictly: Whether that holds for a VM that is cut off, too.
        grace_s: Time between SIGTERM and SIGKILL.
        lease_s: No two holders may take turns within this.
        usage_window_s: Length of a usage window.
        usage_late_s: Time after a window's end when its report is due.
        status_s: Time for which an ended job's results must be kept.
    """

    revoke_s: float = 5.0
    revoke_strictly: bool = True
    grace_s: float = 8.0
    lease_s: float = 3.0
    usage_window_s: float = 5.0
    usage_late_s: float = 10.0
    status_s: float = 120.0


class PlatformLimits(msgspec.Struct, kw_only=True, frozen=True):
    """Rates of the platform's services, for all nodes together.

    Attributes:
        writes_per_s: Writes per second that the store takes.
        reads_per_s: Reads per second that the store takes.
        value_bytes: Largest object.
    """

    writes_per_s: float
    reads_per_s: float
    value_bytes: int


class NodeSettings(msgspec.Struct, kw_only=True, frozen=True):
    """Who a node is, what it listens on and what it speaks to.

    Attributes:
        name: Name of the VM, unique in the fleet.
        role: What this node does.
        data_centre: Data centre it stands in.
        data_centres: All data centres.
        host: IP number of the VM.
        callers: Where callers connect; None on a controller.
        readiness: Where the balancer asks; None on a controller.
        peer_port: Port for calls and datagrams between nodes.
        store: Address of the platform's object API.
        operations: Address of the platform's operations API, or None.
        timing: Bounds of the deployment.
        limits: Rates of the platform.
        memory_mb: Memory this process may use.
        duties: Duties that the platform asks for.
        cpu: Processor time a second that this VM has, in cores of the
            platform's usual speed.
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
