"""State shared by the components of one node."""

import random

from endivespindle.core.clock import Clock
from endivespindle.core.ids import IdSource
from endivespindle.runtime.fleet_view import FleetView
from endivespindle.runtime.settings import NodeSettings
from endivespindle.runtime.telemetry import EventLog, NodeMetrics
from endivespindle.serving.cold_servers import cold_rate_limit
from endivespindle.serving.configuration import ServiceSpec
from endivespindle.serving.crash_evidence import CrashEvidence
from endivespindle.serving.crash_policy import attempt_rule
from endivespindle.serving.directory import ServerView
from endivespindle.serving.evidence_exchange import EvidenceExchange

__all__ = ["RuntimeContext"]


class RuntimeContext:
    """Settings, clock, random source, log, metrics and known nodes.

    Args:
        settings: Settings of this node.
        clock: Clock of this VM.
        ids: Source of unique ids.
        rng: Source of random numbers.
    """

    __slots__ = (
        "clock",
        "evidence",
        "evidence_exchange",
        "fleet",
        "ids",
        "log",
        "metrics",
        "rng",
        "settings",
    )

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
        self.evidence = CrashEvidence(
            clock=clock, on_quarantine=self._record_quarantine
        )
        self.evidence_exchange = EvidenceExchange(
            evidence=self.evidence, epoch=self.fleet.local_node.incarnation
        )

    def _record_quarantine(self, digest: str, crashes: int) -> None:
        """Logs and counts a request that crashed too many servers."""
        self.metrics.count_quarantine()
        self.log.event(
            "request_quarantined",
            digest=digest,
            crashes=crashes,
            seconds=attempt_rule(crashes).pause_s,
        )

    def record_leaving_server(self, view: ServerView) -> None:
        """Logs and counts a response that announced a server's shutdown."""
        self.metrics.count_leaving_server(view.entry.service)
        self.log.event(
            "server_leaving",
            server=view.entry.name,
            service=view.entry.service,
            started_ms=view.entry.started_ms,
            in_flight=view.in_flight,
        )

    def cold_limit(self, spec: ServiceSpec | None) -> float | None:
        """Returns the requests per second that a cold server may be sent.

        Args:
            spec: Its service; None if the configuration does not name it.

        Returns:
            The sum over all VMs; None if there is no bound.
        """
        timing = self.settings.timing
        return cold_rate_limit(
            spec.cold_rate_per_s if spec is not None else 0.0,
            factor=timing.cold_rate_factor,
            slack=timing.cold_rate_slack,
        )

    def record_cold_server(self, view: ServerView) -> None:
        """Logs and counts a server that becomes cold."""
        self.metrics.count_cold_server(view.entry.service)
        self.log.event(
            "server_cold",
            server=view.entry.name,
            service=view.entry.service,
            data_centre=view.entry.data_centre,
            started_ms=view.entry.started_ms,
            limit_per_s=view.rate_limit.limit_per_s,
        )

    def record_server_limit(self, view: ServerView) -> None:
        """Logs and counts a change of the request rate a server accepts."""
        limit_per_s = view.rate_limit.limit_per_s
        if limit_per_s is not None:
            self.metrics.count_server_limit(view.entry.service)
        self.log.event(
            "server_limit_lifted" if limit_per_s is None else "server_limited",
            server=view.entry.name,
            service=view.entry.service,
            limit_per_s=limit_per_s,
            age_s=round(view.rate_limit.evidence_age_s(), 2),
            in_flight=view.in_flight,
        )
