"""Backend servers known to one VM, with their observed state."""

import functools
import math
from collections.abc import Callable, Iterable, Iterator

from endivespindle.core.clock import Clock
from endivespindle.routing.leaving import LeavingServers
from endivespindle.serving.availability import (
    Availability,
    AvailabilityEvent,
    next_availability,
)
from endivespindle.serving.connection_estimate import ConnectionEstimate
from endivespindle.serving.model_access import ModelAccess
from endivespindle.serving.prompt_queue import PromptQueue
from endivespindle.serving.rate_limit import ServerRateLimit
from endivespindle.serving.rate_meter import RateMeter
from endivespindle.serving.rate_shares import LimitReport, LimitShare
from endivespindle.serving.server_entry import ServerEntry
from endivespindle.serving.stream_origins import STREAM_MEMORY_S

__all__ = ["ServerDirectory", "ServerView"]

# Backoff after a failed exchange, doubled with each further failure: long
# enough that a dead server costs few attempts, short compared with the seconds
# until the platform's list drops it.
_FIRST_PAUSE_S = 0.25
_MAX_PAUSE_S = 4.0
_MAX_DOUBLINGS = 5
# Weight of the newest outcome or duration in its moving average.
_SMOOTHING = 0.2
# The same for the event interval; there are many events a second.
_EVENT_SMOOTHING = 0.05
# Half-life of the other VMs' part of a reported load: reports come with
# responses, and a response occupies a slot for about this long.
_LOAD_HALF_LIFE_S = 1.0
# Half-life of a reported pace: other work on the server's VM comes and goes
# within a second.
_PACE_HALF_LIFE_S = 0.5


class ServerView:
    """One backend server and its state as observed by this VM.

    Args:
        entry: Its registered entry.
        clock: Clock of this VM.
        on_leaving: Called when a response first announces its shutdown.
        on_limit: Called when the request rate that it accepts changes.
        on_response: Called with the monotonic time at which a request was
            sent, when the response to it arrives.
        count_vms: Returns the number of VMs that may send it requests.
        cold_limit: Returns the requests per second from all VMs while the
            server is cold; None if there is no bound.
        on_cold: Called when the server becomes cold.
        is_leaving: Whether a response announced its shutdown before.

    Attributes:
        entry: Its registered entry.
        is_evacuated: Whether nothing may be sent to its data centre.
        rate_limit: Request rate that it accepts.
        models: Models whose requests may be sent there.
        prompts: Prompts of this VM that it has still to read.
        availability: Whether it accepts new requests.
        in_flight: Number of this VM's requests at the server.
        versions: Weight version by model, by the newest update from any
            source.
        failure_rate: Moving average of the fraction of failed exchanges.
        duration_s: Moving average of the seconds an exchange takes at the
            server's usual pace; 0 if unknown.
        event_interval_s: Moving average of the seconds between two events of a
            completion; 0 if unknown.
    """

    __slots__ = (
        "__weakref__",
        "_clock",
        "_connections",
        "_consecutive_failures",
        "_on_cold",
        "_on_leaving",
        "_on_limit",
        "_on_response",
        "_pace",
        "_pace_seen_s",
        "_other_load",
        "_other_load_seen_s",
        "_path_lost_s",
        "_paused_until_s",
        "_peer_loads",
        "availability",
        "duration_s",
        "entry",
        "event_interval_s",
        "failure_rate",
        "in_flight",
        "is_evacuated",
        "models",
        "prompts",
        "rate_limit",
        "versions",
    )

    def __init__(
        self,
        *,
        entry: ServerEntry,
        clock: Clock,
        on_leaving: Callable[["ServerView"], None],
        on_limit: Callable[["ServerView"], None],
        on_response: Callable[["ServerView", float], None],
        count_vms: Callable[[], int],
        cold_limit: Callable[[], float | None],
        on_cold: Callable[["ServerView"], None],
        is_leaving: bool = False,
    ):
        self._clock = clock
        self._on_cold = on_cold
        self._on_leaving = on_leaving
        self._on_response = on_response
        self._on_limit = on_limit
        self.rate_limit = ServerRateLimit(
            clock=clock, count_vms=count_vms, cold_limit=cold_limit
        )
        self.is_evacuated = False
        self._connections = ConnectionEstimate(clock=clock)
        self._consecutive_failures = 0
        self._pace = 1.0
        self._pace_seen_s = -math.inf
        self._other_load = 0.0
        self._other_load_seen_s = -math.inf
        self._path_lost_s = -math.inf
        self._paused_until_s = -math.inf
        self._peer_loads: dict[str, int] = {}
        self.entry = entry
        self.in_flight = 0
        self.models = ModelAccess(clock=clock)
        self.prompts = PromptQueue()
        self.versions = dict(entry.versions)
        self.failure_rate = 0.0
        self.duration_s = 0.0
        self.event_interval_s = 0.0
        self.availability = (
            Availability.LEAVING if is_leaving else Availability.READY
        )
        self._apply_entry_state()
        self.record_cold(entry.cold_for_s)

    def update(self, entry: ServerEntry) -> None:
        """Applies a newer entry of the same incarnation."""
        self.entry = entry
        self._apply_entry_state()
        self.record_cold(entry.cold_for_s)
        for model, version in entry.versions.items():
            # Entries lag behind responses, and versions only rise.
            self.versions[model] = max(version, self.versions.get(model, 0))

    def accepts_requests(self) -> bool:
        """Returns whether new requests may be sent to the server."""
        return self.availability is Availability.READY and not self.is_evacuated

    def record_cold(self, cold_for_s: float) -> None:
        """Records for how much longer the server is cold, in seconds."""
        if self.rate_limit.record_cold(cold_for_s):
            self._on_cold(self)

    def announce_leaving(self) -> None:
        """Records that a response announced the server's shutdown."""
        before = self.availability
        self._apply(AvailabilityEvent.RESPONSE_LEAVING)
        if before is not self.availability:
            self._on_leaving(self)

    def record_response(self, *, sent_s: float) -> None:
        """Records that the server responded to a request.

        Args:
            sent_s: Monotonic time at which the request was sent.
        """
        self._on_response(self, sent_s)

    def record_limit(
        self, limit_per_s: float | None, *, age_s: float = 0.0
    ) -> None:
        """Records the request rate that a response named.

        Args:
            limit_per_s: Requests per second from all VMs; None if it named
                none.
            age_s: Seconds since the response was received.
        """
        if self.rate_limit.record(limit_per_s, age_s=age_s):
            self._on_limit(self)

    def mark_removed(self) -> None:
        """Records that the server was removed from the list of servers."""
        self._apply(AvailabilityEvent.REMOVED)

    def record_version(self, model: str, version: int) -> None:
        """Records the weight version that generated a response."""
        self.versions[model] = version

    def begin_request(self) -> None:
        """Records that a request is sent."""
        self.in_flight += 1
        self._connections.record_request(self.in_flight)

    def end_request(
        self,
        *,
        failed: bool,
        duration_s: float | None = None,
        started_s: float = math.inf,
    ) -> None:
        """Records that a request has ended.

        Args:
            failed: Whether the server failed it or could not be reached.
            duration_s: Seconds it took; None to leave it out of the average.
            started_s: Monotonic time at which it was sent.
        """
        self.in_flight -= 1
        if failed and started_s <= self._path_lost_s:
            return
        self.failure_rate += _SMOOTHING * (failed - self.failure_rate)
        if duration_s is not None:
            duration_s /= self.pace()
            known = self.duration_s or duration_s
            self.duration_s = known + _SMOOTHING * (duration_s - known)
        if failed:
            self._back_off()
        elif duration_s is not None:
            self._consecutive_failures = 0

    def record_silence(self) -> None:
        """Records that a later attempt at another server responded first."""
        self._back_off()

    def _back_off(self) -> None:
        self._consecutive_failures += 1
        doublings = min(self._consecutive_failures - 1, _MAX_DOUBLINGS)
        self.pause(min(_MAX_PAUSE_S, _FIRST_PAUSE_S * 2**doublings))

    def pause(self, seconds: float) -> None:
        """Avoids the server for a time while others accept requests."""
        until_s = self._clock.monotonic() + seconds
        self._paused_until_s = max(self._paused_until_s, until_s)

    def excuse_failures(self) -> None:
        """Ends the pause after failures, as the path turned out to be lost.

        Those of requests sent until now do not count either.
        """
        self._path_lost_s = self._clock.monotonic()
        self._paused_until_s = -math.inf
        self._consecutive_failures = 0
        self.failure_rate = 0.0

    def is_warm(self) -> bool:
        """Returns whether a connection to it is likely to be open."""
        return self._connections.is_warm()

    def has_idle_connection(self, *, reserved: int = 0) -> bool:
        """Returns whether a request would likely reuse a connection.

        Args:
            reserved: Requests that will be sent before it.
        """
        return self._connections.has_idle(
            in_flight=self.in_flight, reserved=reserved
        )

    def is_paused(self) -> bool:
        """Returns whether the server is paused after recent failures."""
        return self._clock.monotonic() < self._paused_until_s

    def record_event_interval(self, event_interval_s: float) -> None:
        """Records the seconds between two events of a completion."""
        known = self.event_interval_s or event_interval_s
        self.event_interval_s = known + _EVENT_SMOOTHING * (
            event_interval_s - known
        )

    def record_version_load(
        self, model: str, version: int, ready_s: float
    ) -> None:
        """Records that the server is loading a weight version.

        Requests for the model go elsewhere until it is expected to be loaded.
        A response under another version corrects the recorded one.

        Args:
            model: Model.
            version: Version that is being loaded.
            ready_s: Seconds after which it is expected to be loaded.
        """
        self.versions[model] = max(version, self.versions.get(model, 0))
        self.models.pause(model, ready_s)

    def pace(self) -> float:
        """Returns how long work takes there, as a multiple of the usual time.

        Load pattern: servers share their VMs with other work, which slows some
        of them for moments. A report counts for less as it ages.
        """
        age_s = self._clock.monotonic() - self._pace_seen_s
        return 1.0 + (self._pace - 1.0) * 0.5 ** (age_s / _PACE_HALF_LIFE_S)

    def record_load(
        self, *, running: int, waiting: int, pace: float | None = None
    ) -> None:
        """Records the load reported by a response."""
        if pace is not None:
            self._pace = pace
            self._pace_seen_s = self._clock.monotonic()
        self._other_load = max(0.0, running + waiting - self.in_flight)
        self._other_load_seen_s = self._clock.monotonic()

    def record_peer_load(self, peer: str, in_flight: int) -> None:
        """Records the number of requests another VM has in flight there."""
        if in_flight:
            self._peer_loads[peer] = in_flight
        else:
            self._peer_loads.pop(peer, None)

    def load(self) -> float:
        """Returns the estimated number of requests of all VMs there."""
        age_s = self._clock.monotonic() - self._other_load_seen_s
        reported = self._other_load * 0.5 ** (age_s / _LOAD_HALF_LIFE_S)
        by_peers = sum(self._peer_loads.values())
        return self.in_flight + max(reported, by_peers)

    def _apply_entry_state(self) -> None:
        self._apply(
            AvailabilityEvent.ENTRY_DRAINING
            if self.entry.draining
            else AvailabilityEvent.ENTRY_READY
        )

    def _apply(self, event: AvailabilityEvent) -> None:
        self.availability = next_availability(self.availability, event)


class ServerDirectory:
    """Backend servers by name, updated as the platform's list changes.

    Args:
        clock: Clock of this VM.
        on_leaving: Called when a response first announces the shutdown of a
            server.
        on_limit: Called when the request rate that a server accepts changes.
        on_response: Called with a server and the monotonic time at which a
            request was sent to it, when the response arrives.
        count_vms: Returns the number of VMs that may send requests.
        on_cold: Called when a server becomes cold.
        cold_limit: Returns the requests per second from all VMs that a cold
            server of a service may be sent; None if there is no bound.
        are_evacuations_known: Whether the evacuated data centres are known;
            until then nothing is sent.

    Attributes:
        are_evacuations_known: Whether the evacuated data centres are known.
    """

    __slots__ = (
        "_by_service",
        "_clock",
        "_cold_limit",
        "_count_vms",
        "_demand",
        "_evacuated",
        "_leaving",
        "_on_cold",
        "_on_leaving",
        "_on_limit",
        "_on_response",
        "_software_seen_s",
        "_views",
        "are_evacuations_known",
    )

    def __init__(
        self,
        *,
        clock: Clock,
        on_leaving: Callable[[ServerView], None] = lambda view: None,
        on_limit: Callable[[ServerView], None] = lambda view: None,
        on_response: Callable[[ServerView, float], None] = lambda view, sent: (
            None
        ),
        count_vms: Callable[[], int] = lambda: 1,
        on_cold: Callable[[ServerView], None] = lambda view: None,
        cold_limit: Callable[[str], float | None] = lambda service: None,
        are_evacuations_known: bool = True,
    ):
        self._clock = clock
        self._on_cold = on_cold
        self._cold_limit = cold_limit
        self.are_evacuations_known = are_evacuations_known
        self._evacuated: frozenset[str] = frozenset()
        self._on_response = on_response
        self._on_leaving = on_leaving
        self._on_limit = on_limit
        self._count_vms = count_vms
        self._demand: dict[str, RateMeter] = {}
        self._leaving = LeavingServers()
        self._views: dict[str, ServerView] = {}
        self._software_seen_s: dict[str, dict[str, float]] = {}
        self._by_service: dict[str, dict[str, ServerView]] = {}

    def __iter__(self) -> Iterator[ServerView]:
        return iter(list(self._views.values()))

    def __len__(self) -> int:
        return len(self._views)

    def get(self, name: str) -> ServerView | None:
        """Returns a server, or None if it is not known."""
        return self._views.get(name)

    def put(self, entry: ServerEntry) -> ServerView:
        """Adds or updates a server.

        An entry of an earlier incarnation is ignored; a new incarnation starts
        without observed state. An incarnation whose response announced its
        shutdown remains leaving, also if it was removed and listed again.
        """
        view = self._views.get(entry.name)
        if view is not None and view.entry.started_ms > entry.started_ms:
            return view
        if (
            view is not None
            and view.entry.started_ms == entry.started_ms
            and view.entry.service == entry.service
        ):
            view.update(entry)
            return view
        self.remove(entry.name)
        view = ServerView(
            entry=entry,
            clock=self._clock,
            on_leaving=self._record_leaving,
            on_limit=self._on_limit,
            on_response=self._on_response,
            count_vms=self._count_vms,
            cold_limit=functools.partial(self._cold_limit, entry.service),
            on_cold=self._on_cold,
            is_leaving=self._leaving.is_leaving(
                entry.name, incarnation=entry.started_ms
            ),
        )
        view.is_evacuated = self._is_evacuated(view)
        self._views[entry.name] = view
        self._by_service.setdefault(entry.service, {})[entry.name] = view
        return view

    def remove(self, name: str) -> None:
        """Removes a server."""
        view = self._views.pop(name, None)
        if view is not None:
            view.mark_removed()
            seen_s = self._software_seen_s.setdefault(view.entry.service, {})
            seen_s[view.entry.software] = self._clock.monotonic()
            self._by_service[view.entry.service].pop(name, None)

    def excuse_failures(self, service: str) -> None:
        """Uses servers again whose failures turn out to be those of the path.

        Load pattern: the owner of a step loses the path to all servers. If each
        of its requests paused a server, none would be sent through other VMs
        either.
        """
        for view in self._by_service.get(service, {}).values():
            view.excuse_failures()

    def evacuated_data_centres(self) -> frozenset[str]:
        """Returns the data centres to whose servers nothing is sent."""
        return self._evacuated

    def set_evacuated(self, data_centres: Iterable[str]) -> None:
        """Replaces the data centres to whose servers nothing is sent."""
        self.are_evacuations_known = True
        self._evacuated = frozenset(data_centres)
        for view in self._views.values():
            view.is_evacuated = self._is_evacuated(view)

    def _is_evacuated(self, view: ServerView) -> bool:
        return (
            not self.are_evacuations_known
            or view.entry.data_centre in self._evacuated
        )

    def available_servers(self, service: str) -> list[ServerView]:
        """Returns the servers of a service that accept new requests."""
        views = self._by_service.get(service, {}).values()
        return [view for view in views if view.accepts_requests()]

    def services(self) -> list[str]:
        """Returns the services that have servers."""
        return [name for name, views in self._by_service.items() if views]

    def servers(self, service: str) -> list[ServerView]:
        """Returns all known servers of a service."""
        return list(self._by_service.get(service, {}).values())

    def present_software(self) -> dict[str, set[str]]:
        """Returns the software versions of the known servers, by service."""
        return {
            service: {view.entry.software for view in views.values()}
            for service, views in self._by_service.items()
            if views
        }

    def software_versions(self, service: str) -> set[str]:
        """Returns the software versions of a service, now and until lately."""
        since_s = self._clock.monotonic() - STREAM_MEMORY_S
        seen_s = self._software_seen_s.get(service, {})
        current = self._by_service.get(service, {}).values()
        return {view.entry.software for view in current} | {
            software for software, at_s in seen_s.items() if at_s >= since_s
        }

    def record_demand(self, service: str) -> None:
        """Records a request for a service, whether a server takes it or not."""
        meter = self._demand.get(service)
        if meter is None:
            meter = self._demand[service] = RateMeter(clock=self._clock)
        meter.record()

    def demand_per_s(self) -> dict[str, float]:
        """Returns the recent requests per second, by service."""
        return {
            service: round(meter.rate_per_s(), 2)
            for service, meter in self._demand.items()
        }

    def limit_reports(self) -> list[LimitReport]:
        """Returns the limits of servers, and those lifted lately."""
        return [
            LimitReport(
                server=view.entry.name,
                started_ms=view.entry.started_ms,
                service=view.entry.service,
                limit_per_s=view.rate_limit.limit_per_s,
                age_s=0.0
                if view.rate_limit.is_cold()
                else view.rate_limit.evidence_age_s(),
                is_cold=view.rate_limit.is_cold(),
            )
            for view in self._views.values()
            if view.rate_limit.is_reported()
        ]

    def apply_limit(self, report: LimitReport) -> ServerView | None:
        """Applies a limit that another VM reported.

        Returns:
            The server; None if this incarnation is not known.
        """
        view = self._views.get(report.server)
        if view is None or view.entry.started_ms != report.started_ms:
            return None
        if not report.is_cold:
            view.record_limit(report.limit_per_s, age_s=report.age_s)
        return view

    def apply_shares(self, shares: Iterable[LimitShare]) -> None:
        """Applies limits that other VMs reported, and this VM's shares."""
        for share in shares:
            view = self.apply_limit(share.report)
            if view is not None:
                view.rate_limit.assign_share(
                    share.share_per_s, burst=share.burst
                )

    def _record_leaving(self, view: ServerView) -> None:
        self._leaving.mark_leaving(
            view.entry.name, incarnation=view.entry.started_ms
        )
        self._on_leaving(view)
