"""State shared by the components of one node."""

import random

from endivespindle.core.clock import Clock
from endivespindle.core.ids import IdSource
from endivespindle.runtime.fleet_view import FleetView
from endivespindle.runtime.settings import NodeSettings
from endivespindle.runtime.telemetry import EventLog, NodeMetrics

__all__ = ["RuntimeContext"]


class RuntimeContext:
    """Settings, clock, random source, log, metrics and known nodes.

    Args:
        settings: Settings of this node.
        clock: Clock of this VM.
        ids: Source of unique ids.
        rng: Source of random numbers.
    """

    __slots__ = ("clock", "fleet", "ids", "log", "metrics", "rng", "settings")

    def __init__(
        self,
        *,
        settings: NodeSettings,
        clock: Clock,
        ids: IdSource,
        rng: random.Random,
    ):
        self.settings = settings
        self.clock = clock
        self.ids = ids
        self.rng = rng
        self.metrics = NodeMetrics()
        self.fleet = FleetView(settings=settings, incarnation=ids.new("n"))
        self.log = EventLog(clock=clock, fields={"vm": settings.name})
