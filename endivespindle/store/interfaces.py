"""Abstract interfaces of the platform, besides the object API."""

import abc

from endivespindle.schema.generated.backend import (
    CapacityOrder,
    CapacityState,
    VmList,
)
from endivespindle.schema.generated.stored import UsageReport
from endivespindle.store.object_store import ObjectStore

__all__ = [
    "Platform",
    "CapacityInterface",
    "UsageInterface",
    "VmListInterface",
    "WeightStore",
]


class CapacityInterface(abc.ABC):
    """Orders backend servers, for one data centre and service at a time."""

    __slots__ = ()

    @abc.abstractmethod
    async def order(
        self, order: CapacityOrder, *, timeout_s: float
    ) -> CapacityState:
        """Orders an absolute count; returns the resulting capacity.

        Raises:
            ConflictError: The platform checks fencing numbers and has seen a
                higher one.
            AnswerLostError: The order may have been accepted.
            PlatformUnavailableError: The order was not accepted.
        """

    @abc.abstractmethod
    async def state(self, *, data_centre: str, service: str) -> CapacityState:
        """Returns the ordered and the running capacity."""


class UsageInterface(abc.ABC):
    """Accepts usage reports, one for each client account and window."""

    __slots__ = ()

    @abc.abstractmethod
    async def report(self, report: UsageReport, *, timeout_s: float) -> None:
        """Sends an immutable usage report.

        Idempotent: the same bytes may be sent again.

        Raises:
            AnswerLostError: The report may have been accepted.
            PlatformUnavailableError: The report was not accepted.
        """


class VmListInterface(abc.ABC):
    """Returns the platform's list of VMs, which lags some seconds."""

    __slots__ = ()

    @abc.abstractmethod
    async def list_vms(self) -> VmList:
        """Returns live and leaving VMs, as of some seconds ago."""


class WeightStore(abc.ABC):
    """Stores published weights and serves them at a limited rate."""

    __slots__ = ()

    @abc.abstractmethod
    async def versions(self, *, trainer: str) -> list[int]:
        """Returns the versions published for a trainer, oldest first."""


class Platform(
    ObjectStore, CapacityInterface, UsageInterface, VmListInterface, WeightStore
):
    """All interfaces of the platform combined."""

    __slots__ = ()
