"""Where a request would be sent now, and why, without sending it."""

from collections.abc import Callable, Iterable

import msgspec

from endivespindle.serving.directory import ServerView
from endivespindle.serving.placement import expected_delay

__all__ = ["PlacementCandidate", "PlacementReport", "report_candidates"]

_S_DIGITS = 4


class PlacementCandidate(msgspec.Struct, kw_only=True, frozen=True):
    """One server of a service, as a VM sees it.

    Attributes:
        server: Name of the server.
        data_centre: Data centre it runs in.
        excluded: Why it gets no request now; None if it may get one.
        expected_delay_s: Seconds it is expected to add.
        load: Estimated requests of all VMs there.
        slots: Requests it runs at once.
        in_flight: Requests of this VM there.
        pace: How long work takes there, as a multiple of the usual time.
        failure_rate: Moving average of the fraction of failed exchanges.
        start_delay_s: Seconds until its rate limit allows a request; None if
            it allows none.
        limit_per_s: Requests per second that all VMs may send; None without a
            limit.
        is_cold: Whether that limit follows from its being cold.
        is_warm: Whether a connection to it is likely to be open.
        software: Version of its software.
        versions: Weight version by model.
    """

    server: str
    data_centre: str
    excluded: str | None
    expected_delay_s: float
    load: float
    slots: int
    in_flight: int
    pace: float
    failure_rate: float
    start_delay_s: float | None
    limit_per_s: float | None
    is_cold: bool
    is_warm: bool
    software: str
    versions: dict[str, int]


class PlacementReport(msgspec.Struct, kw_only=True, frozen=True):
    """What a VM would do with a request now.

    Attributes:
        vm: Name of the VM.
        is_ready: Whether it takes callers' requests.
        config_version: Version of its configuration.
        config_age_s: Seconds since the configuration was confirmed.
        route: Name of the route; None if no route matches.
        kind: Kind of the route.
        path: How its servers are reached, by service.
        candidates: Servers by service, the best first.
        job_call_methods: Methods with which the path is a call of a batch job,
            which the VM answers itself whatever the route.
    """

    vm: str
    is_ready: bool
    config_version: int
    config_age_s: float
    route: str | None = None
    kind: str | None = None
    path: dict[str, str] = {}
    candidates: dict[str, list[PlacementCandidate]] = {}
    job_call_methods: list[str] = []


# What keeps a server from new requests, in the order in which it is told.
_EXCLUSIONS: tuple[tuple[str, Callable[[ServerView], bool]], ...] = (
    ("data centre evacuated", lambda view: view.is_evacuated),
    ("not accepting requests", lambda view: not view.accepts_requests()),
    ("paused after failures", lambda view: view.is_paused()),
)


def report_candidates(
    views: Iterable[ServerView],
    *,
    data_centre: str,
    max_start_delay_s: float,
) -> list[PlacementCandidate]:
    """Returns all servers of a service, those that may get a request first.

    Nothing is reserved. The choice itself compares two random servers and some
    with an open connection, so that the first one is the best and not
    necessarily the one that is taken.

    Args:
        views: Servers of the service.
        data_centre: Data centre of this VM.
        max_start_delay_s: Longest wait for a server that limits its request
            rate, in seconds.
    """
    candidates = [
        _candidate(view, data_centre, max_start_delay_s) for view in views
    ]
    return sorted(
        candidates,
        key=lambda c: (c.excluded is not None, c.expected_delay_s, c.server),
    )


def _candidate(
    view: ServerView, data_centre: str, max_start_delay_s: float
) -> PlacementCandidate:
    start_delay_s = view.rate_limit.start_delay_s()
    excluded = next(
        (reason for reason, applies in _EXCLUSIONS if applies(view)), None
    )
    if excluded is None and start_delay_s > max_start_delay_s:
        excluded = "rate limit"
    is_limited_away = start_delay_s == float("inf")
    return PlacementCandidate(
        server=view.entry.name,
        data_centre=view.entry.data_centre,
        excluded=excluded,
        expected_delay_s=0.0
        if is_limited_away
        else round(expected_delay(view, data_centre=data_centre), _S_DIGITS),
        load=round(view.load(), 1),
        slots=view.entry.slots,
        in_flight=view.in_flight,
        pace=round(view.pace(), 2),
        failure_rate=round(view.failure_rate, 3),
        start_delay_s=None if is_limited_away else round(start_delay_s, 3),
        limit_per_s=view.rate_limit.limit_per_s,
        is_cold=view.rate_limit.is_cold(),
        is_warm=view.is_warm(),
        software=view.entry.software,
        versions=view.versions,
    )
