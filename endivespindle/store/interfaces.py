"""The platform's other interfaces, as abstract base classes."""

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
    """Takes orders for backend servers, one data centre at a time."""

    __slots__ = ()

    @abc.abstractmethod
    async def order(
        self, order: CapacityOrder, *, timeout_s: float
    ) -> CapacityState:
        """Sends an absolute order and returns what is in force after it.

        Raises:
            ConflictError: The far side checks fencing numbers and has seen a
                higher one.
            AnswerLostError: The order may have been taken.
            PlatformUnavailableError: The order was not taken.
        """

    @abc.abstractmethod
    async def state(self, *, data_centre: str, service: str) -> CapacityState:
        """Returns what was ordered and what is running."""


class UsageInterface(abc.ABC):
    """Takes usage reports, one for each account and window."""

    __slots__ = ()

    @abc.abstractmethod
    async def report(self, report: UsageReport, *, timeout_s: float) -> None:
        """Sends a frozen report; sending the same bytes again is harmless.

        Raises:
            AnswerLostError: The report may have been taken.
            PlatformUnavailableError: The report was not taken.
        """


class VmListInterface(abc.ABC):
    """Gives the platform's lagging list of VMs."""

    __slots__ = ()

    @abc.abstractmethod
    async def list_vms(self) -> VmList:
        """Returns live and leaving VMs, as of some seconds ago."""


class WeightStore(abc.ABC):
    """Holds published weights and serves them at a limited rate."""

    __slots__ = ()

    @abc.abstractmethod
    async def versions(self, *, trainer: str) -> list[int]:
        """Returns the versions published for a trainer, oldest first."""


class Platform(
    ObjectStore, CapacityInterface, UsageInterface, VmListInterface, WeightStore
):
    """All interfaces of the platform together."""

    __slots__ = ()
