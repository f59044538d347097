"""How many backend servers each data centre should have."""

from collections.abc import Sequence

from endivespindle.controller.duties import CapacityRequest
from endivespindle.serving.configuration import ServiceSpec
from endivespindle.serving.directory import ServerView

__all__ = ["plan_capacity"]


def plan_capacity(
    spec: ServiceSpec,
    servers: Sequence[ServerView],
    data_centres: Sequence[str],
) -> list[CapacityRequest]:
    """Returns the orders that should be in force.

    Args:
        spec: The service, with its bounds and prices.
        servers: Its servers that take new work.
        data_centres: All data centres.
    """
    del spec, servers, data_centres
    return []
