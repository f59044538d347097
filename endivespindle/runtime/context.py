"""What every part of a node shares."""

import random

from endivespindle.core.clock import Clock
from endivespindle.core.ids import IdSource
from endivespindle.runtime.fleet_view import FleetView
from endivespindle.runtime.settings import NodeSettings
from endivespindle.runtime.telemetry import EventLog, NodeMetrics

__all__ = ["RuntimeContext"]


class RuntimeContext:
    """Settings, clock, randomness, logs and the nodes known.

    Args:
        settings: Settings of this node.
        clock: Clock of this VM.
        ids: Source of identities.
        rng: Source of draws.
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
