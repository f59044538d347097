"""Division of the request rates of limited servers among the VMs."""

import heapq
import itertools
import math
from collections.abc import Collection, Iterable, Mapping, Sequence

import msgspec

from endivespindle.core.clock import Clock

__all__ = [
    "LimitReport",
    "LimitShare",
    "RateShares",
    "merge_shares",
    "split_burst",
    "split_rate",
]

# A VM that has sent no update for this long gets no share.
_DEMAND_MAX_AGE_S = 3.0
# Time for which a limit that no VM reports any more is kept: it was lifted, or
# its server is gone.
_REPORT_MAX_AGE_S = 3.0
# Interval at which limits are divided anew. The time that this takes grows with
# the VMs and with the limited servers, and so does the number of updates.
_DIVISION_INTERVAL_S = 0.1
# Share of a VM relative to its demand: requests do not come evenly.
_DEMAND_HEADROOM = 1.25
# Demand assumed for a VM without any, in requests per second.
_MIN_DEMAND_PER_S = 0.05
# Factor by which the demand of a VM that has a share counts more than that of
# one without: each new one may send a request at once.
_SHARER_PREFERENCE = 3.0
# Requests that all VMs together may send at once after a pause: these seconds
# of the limit, and some more. A server allows half as much again as its limit
# over 4 s, and 5 requests; the rest is for shares that change hands.
_BURST_S = 1.5
_MIN_BURST = 4.0
# VMs with a share, per request per second of the limit, and in addition. Each
# of them needs a burst of one request.
_SHARERS_PER_LIMIT = 1.0
_MIN_SHARERS = 3


class LimitReport(msgspec.Struct, kw_only=True, frozen=True):
    """What a VM knows of the limit of a server.

    Attributes:
        server: Name of the server.
        started_ms: Its incarnation.
        service: Service it belongs to.
        limit_per_s: Requests per second that it accepts from all VMs; None if
            it no longer names a limit.
        age_s: Seconds since the response that said so.
        is_cold: Whether it follows from the server's being cold, which each VM
            learns by itself.
    """

    server: str
    started_ms: int
    service: str
    limit_per_s: float | None
    age_s: float
    is_cold: bool = False


class LimitShare(msgspec.Struct, kw_only=True, frozen=True):
    """The limit of a server, and the part of it that one VM may use.

    Attributes:
        report: The newest report of any VM.
        share_per_s: Requests per second that this VM may send.
        burst: Requests that it may send at once after a pause.
    """

    report: LimitReport
    share_per_s: float
    burst: float


class _Limit(msgspec.Struct, kw_only=True):
    """A limit and its last division.

    Attributes:
        report: Newest report.
        seen_s: Monotonic time of the response that it is about.
        reported_s: Monotonic time at which a VM last reported the server.
        rates_per_s: Rate by VM.
        bursts: Burst by VM.
    """

    report: LimitReport
    seen_s: float
    reported_s: float
    rates_per_s: Mapping[str, float] = {}
    bursts: Mapping[str, float] = {}


class _Demand(msgspec.Struct, kw_only=True):
    by_service: Mapping[str, float]
    seen_s: float


class RateShares:
    """Divides the limits of servers by the demand of the VMs.

    Load pattern: most servers of a service name limits while the requests come
    from a few VMs, as those that run a trainer's steps. Equal parts would leave
    most of the limit unused.

    Args:
        clock: Clock of this VM.
    """

    __slots__ = ("_clock", "_demands", "_divided_s", "_limits")

    def __init__(self, *, clock: Clock):
        self._clock = clock
        self._divided_s = -math.inf
        self._demands: dict[str, _Demand] = {}
        self._limits: dict[str, _Limit] = {}

    def record(
        self,
        vm: str,
        *,
        demand_per_s: Mapping[str, float],
        reports: Sequence[LimitReport],
    ) -> None:
        """Records the update of a VM.

        Args:
            vm: Name of the VM.
            demand_per_s: Requests per second that it would send, by service.
            reports: Limits that it knows.
        """
        now_s = self._clock.monotonic()
        self._demands[vm] = _Demand(by_service=demand_per_s, seen_s=now_s)
        for report in reports:
            self._apply_report(report, now_s)

    def shares(self, vm: str) -> list[LimitShare]:
        """Returns the limits of all servers and the shares of a VM."""
        now_s = self._clock.monotonic()
        if now_s - self._divided_s >= _DIVISION_INTERVAL_S:
            self._divided_s = now_s
            self._remove_expired(now_s)
            self._divide()
        return [
            LimitShare(
                report=msgspec.structs.replace(
                    limit.report, age_s=now_s - limit.seen_s
                ),
                share_per_s=limit.rates_per_s.get(vm, 0.0),
                burst=limit.bursts.get(vm, 0.0),
            )
            for limit in self._limits.values()
        ]

    def _apply_report(self, report: LimitReport, now_s: float) -> None:
        seen_s = now_s - report.age_s
        known = self._limits.get(report.server)
        if known is None or known.report.started_ms < report.started_ms:
            self._limits[report.server] = _Limit(
                report=report, seen_s=seen_s, reported_s=now_s
            )
            # A limit that has just become known is divided at once.
            self._divided_s = -math.inf
        elif known.report.started_ms == report.started_ms:
            known.reported_s = now_s
            if seen_s >= known.seen_s:
                known.report, known.seen_s = report, seen_s

    def _divide(self) -> None:
        totals: dict[str, float] = {}
        for limit in self._limits.values():
            rate_per_s = limit.report.limit_per_s or 0.0
            service = limit.report.service
            totals[service] = totals.get(service, 0.0) + rate_per_s
        for limit in self._limits.values():
            report, rate_per_s = limit.report, limit.report.limit_per_s or 0.0
            # A VM spreads its requests over the limited servers of a service.
            fraction = rate_per_s / (totals[report.service] or 1.0)
            demands = {
                name: demand.by_service.get(report.service, 0.0) * fraction
                for name, demand in self._demands.items()
            }
            limit.rates_per_s = split_rate(
                rate_per_s, demands, preferred=limit.rates_per_s.keys()
            )
            limit.bursts = split_burst(rate_per_s, limit.rates_per_s)

    def _remove_expired(self, now_s: float) -> None:
        self._demands = {
            name: demand
            for name, demand in self._demands.items()
            if now_s - demand.seen_s <= _DEMAND_MAX_AGE_S
        }
        self._limits = {
            name: limit
            for name, limit in self._limits.items()
            if now_s - limit.reported_s <= _REPORT_MAX_AGE_S
        }


def merge_shares(replies: Iterable[Iterable[LimitShare]]) -> list[LimitShare]:
    """Returns one share for each server from the replies of controllers.

    The newest report counts, and the smallest share: a controller that has just
    started or is partitioned knows of fewer VMs.

    Args:
        replies: Shares that each controller assigned.
    """
    merged: dict[str, LimitShare] = {}
    for share in itertools.chain.from_iterable(replies):
        known = merged.setdefault(share.report.server, share)
        newest = min(known.report, share.report, key=lambda r: r.age_s)
        merged[share.report.server] = LimitShare(
            report=newest,
            share_per_s=min(known.share_per_s, share.share_per_s),
            burst=min(known.burst, share.burst),
        )
    return list(merged.values())


def split_rate(
    limit_per_s: float,
    demands_per_s: Mapping[str, float],
    *,
    preferred: Collection[str] = (),
) -> dict[str, float]:
    """Divides a rate fairly: no VM gets more than it needs while others lack.

    Small demands are met in full, and the rest is divided equally (max-min
    fairness). The number of VMs with a share is bounded by the rate.

    Args:
        limit_per_s: Rate to divide, in requests per second.
        demands_per_s: Demand by VM, in requests per second.
        preferred: VMs that had a share before; of VMs with similar demand they
            keep theirs.

    Returns:
        Rate by VM, in requests per second; their sum is the limit.

    References:
        Bertsekas and Gallager, "Data Networks", section 6.5.2, 1992.
    """
    count = max(1, _MIN_SHARERS + math.floor(_SHARERS_PER_LIMIT * limit_per_s))
    demands_per_s = {
        vm: max(_MIN_DEMAND_PER_S, demand_per_s)
        for vm, demand_per_s in demands_per_s.items()
    }

    def rank(vm: str) -> tuple[float, str]:
        factor = _SHARER_PREFERENCE if vm in preferred else 1.0
        return -factor * demands_per_s[vm], vm

    sharers = heapq.nsmallest(count, demands_per_s, key=rank)
    sharers.sort(key=demands_per_s.__getitem__)
    rates: dict[str, float] = {}
    left_per_s = limit_per_s
    for number, vm in enumerate(sharers):
        fair_per_s = left_per_s / (len(sharers) - number)
        wanted_per_s = _DEMAND_HEADROOM * demands_per_s[vm]
        rates[vm] = min(fair_per_s, wanted_per_s)
        left_per_s -= rates[vm]
    return {vm: rate + left_per_s / len(sharers) for vm, rate in rates.items()}


def split_burst(
    limit_per_s: float, rates_per_s: Mapping[str, float]
) -> dict[str, float]:
    """Divides the requests that may be sent at once, in proportion to rates.

    Load pattern: a step's requests come at once at the VM that runs it, and
    none for seconds before. Without a burst they would all go to the servers
    that name no limit and slow each other down there.

    Args:
        limit_per_s: Rate that was divided, in requests per second.
        rates_per_s: Rate by VM, in requests per second.

    Returns:
        Requests by VM, at least one each.
    """
    total = _MIN_BURST + _BURST_S * limit_per_s
    spare = max(0.0, total - len(rates_per_s)) / (limit_per_s or 1.0)
    return {vm: 1.0 + spare * rate for vm, rate in rates_per_s.items()}
