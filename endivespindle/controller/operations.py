"""Acts that one holder at a time may carry out towards the platform."""

import abc
import enum

import msgspec

__all__ = [
    "CapacityRequest",
    "OperationOutcome",
    "FencingToken",
    "Operations",
    "UsageWindowReport",
]


class FencingToken(msgspec.Struct, kw_only=True, frozen=True):
    """Who acts, and the epoch of the lease under which it does."""

    holder: str
    epoch: int


class UsageWindowReport(msgspec.Struct, kw_only=True, frozen=True):
    """Requests begun in one usage window, by client account."""

    window: int
    requests: dict[str, int]


class CapacityRequest(msgspec.Struct, kw_only=True, frozen=True):
    """How many backend servers of a service a data centre should have.

    Attributes:
        service: Name of the service.
        data_centre: Where.
        servers: Number wanted in all, of this sort.
        spot: Whether the order is for reclaimable ones.
    """

    service: str
    data_centre: str
    servers: int
    spot: bool = False


class OperationOutcome(enum.StrEnum):
    """What the platform said to a call."""

    TAKEN = "taken"
    NONE_AVAILABLE = "none_available"
    FENCED = "fenced"
    REJECTED = "rejected"


class Operations(abc.ABC):
    """The platform's operations API.

    Every method may raise `PlatformUnavailableError` if nothing took effect
    and `AnswerLostError` if it may have.
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
        """Orders a number of backend servers for one data centre."""
