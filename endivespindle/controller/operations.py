"""Interface of the platform's operations API, for the lease holder only."""

import abc
import enum

import msgspec

__all__ = [
    "CapacityRequest",
    "FencingToken",
    "OperationOutcome",
    "Operations",
    "UsageWindowReport",
]


class FencingToken(msgspec.Struct, kw_only=True, frozen=True):
    """Identifies the lease under which a call is made.

    Attributes:
        holder: Name of the lease holder.
        epoch: Epoch of the lease, the fencing number.
    """

    holder: str
    epoch: int


class UsageWindowReport(msgspec.Struct, kw_only=True, frozen=True):
    """Number of requests started in one usage window, by client account."""

    window: int
    requests: dict[str, int]


class CapacityRequest(msgspec.Struct, kw_only=True, frozen=True):
    """Requested number of backend servers of a service in a data centre.

    Attributes:
        service: Name of the service.
        data_centre: Name of the data centre.
        servers: Total number wanted, of spot or non-spot servers.
        spot: Whether the request is for spot servers, which the platform may
            reclaim.
    """

    service: str
    data_centre: str
    servers: int
    spot: bool = False


class OperationOutcome(enum.StrEnum):
    """Outcome of a call, as the platform reports it."""

    TAKEN = "taken"
    NONE_AVAILABLE = "none_available"
    FENCED = "fenced"
    REJECTED = "rejected"


class Operations(abc.ABC):
    """The platform's operations API.

    Every method may raise `PlatformUnavailableError` if the call had no
    effect and `AnswerLostError` if it is unknown whether it had.
    """

    __slots__ = ()

    @abc.abstractmethod
    async def report_usage(
        self,
        report: UsageWindowReport,
        *,
        fencing_token: FencingToken,
        timeout_s: float,
    ) -> OperationOutcome:
        """Reports the requests of one window."""

    @abc.abstractmethod
    async def order_capacity(
        self,
        order: CapacityRequest,
        *,
        fencing_token: FencingToken,
        timeout_s: float,
    ) -> OperationOutcome:
        """Orders the total number of backend servers of one data centre."""
