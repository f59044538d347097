"""Plans the number of backend servers of one service per data centre."""

import math
from collections.abc import Sequence

import msgspec

__all__ = ["CapacityPolicy", "DataCentreOffer", "Demand"]

_SMOOTHING_S = 120.0
_MIN_RELIABLE_FRACTION = 0.08
_TARGET_UTILISATION = 0.7
_BACKLOG_SPREAD_S = 600.0
_SCALE_DOWN_DELAY_S = 120.0
_SCALE_DOWN_TOLERANCE = 0.03


class DataCentreOffer(msgspec.Struct, kw_only=True, frozen=True):
    """Backend servers that one data centre offers.

    Attributes:
        name: Name of the data centre.
        cheap: Whether all its backend servers may be reclaimed at once.
        price: Price of one backend server for an hour.
        max_servers: Maximum number of servers that can be ordered.
        is_available: Whether it currently fulfils orders.
    """

    name: str
    cheap: bool
    price: float
    max_servers: int
    is_available: bool = True


class Demand(msgspec.Struct, kw_only=True, frozen=True):
    """Current demand for a service.

    Attributes:
        urgent_tokens_per_s: Tokens per second with short deadlines.
        batch_tokens_per_s: Tokens per second that may wait for minutes.
        backlog_tokens: Tokens of batch work already queued.
    """

    urgent_tokens_per_s: float
    batch_tokens_per_s: float = 0.0
    backlog_tokens: float = 0.0


class CapacityPolicy:
    """Plans servers from forecast demand, prices and start time.

    Demand is smoothed and extrapolated over the start time. Urgent work is
    planned at the target utilisation; batch work uses the headroom, and its
    backlog is spread over minutes. Cheap data centres come first, with servers
    spread evenly over them, so that enough remain for urgent work if all
    servers of the largest one are lost; the others follow by price. Scaling
    up is immediate, scaling down follows only after a period of lower demand.

    Args:
        tokens_per_server_s: Tokens per second one server sustains.
        start_time_s: Seconds a server takes to start.
        servers_min: Minimum total number of servers.
    """

    __slots__ = (
        "_level",
        "_no_scale_down_until_s",
        "_ordered",
        "_servers_min",
        "_start_time_s",
        "_tokens_per_server_s",
        "_trend",
        "_updated_s",
    )

    def __init__(
        self,
        *,
        tokens_per_server_s: float,
        start_time_s: float,
        servers_min: int = 0,
    ):
        self._tokens_per_server_s = tokens_per_server_s
        self._start_time_s = start_time_s
        self._servers_min = servers_min
        self._level: float | None = None
        self._trend = 0.0
        self._updated_s = 0.0
        self._ordered = 0
        self._no_scale_down_until_s = 0.0

    def start_from(self, ordered: int, *, now_s: float) -> None:
        """Starts from the total that the previous lease holder ordered.

        Args:
            ordered: Servers ordered over all data centres.
            now_s: Time of a monotonic clock.
        """
        self._ordered = ordered
        self._no_scale_down_until_s = now_s + _SCALE_DOWN_DELAY_S

    def plan(
        self,
        demand: Demand,
        centres: Sequence[DataCentreOffer],
        *,
        now_s: float,
    ) -> dict[str, int]:
        """Returns the servers wanted in each data centre.

        Args:
            demand: Current demand.
            centres: Offers of the data centres.
            now_s: Time of a monotonic clock.
        """
        total = demand.urgent_tokens_per_s + demand.batch_tokens_per_s
        ahead = self._forecast(total, now_s)
        growth = ahead / total if total > 0 else 1.0
        urgent = demand.urgent_tokens_per_s * growth / _TARGET_UTILISATION
        headroom = urgent - demand.urgent_tokens_per_s * growth
        batch = demand.batch_tokens_per_s * growth
        backlog = demand.backlog_tokens / _BACKLOG_SPREAD_S
        needed_tokens_per_s = urgent + max(0.0, batch + backlog - headroom)
        wanted = max(
            self._servers_min,
            math.ceil(needed_tokens_per_s / self._tokens_per_server_s),
        )
        return _distribute(
            self._apply_hysteresis(wanted, now_s),
            urgent=math.ceil(urgent / self._tokens_per_server_s),
            centres=centres,
        )

    def _forecast(self, total: float, now_s: float) -> float:
        """Returns the demand expected once servers ordered now have started.

        Args:
            total: Tokens per second requested.
            now_s: Time of a monotonic clock.
        """
        if self._level is None:
            self._level, self._updated_s = total, now_s
            return total
        elapsed_s = max(1e-9, now_s - self._updated_s)
        self._updated_s = now_s
        weight = min(1.0, elapsed_s / _SMOOTHING_S)
        last = self._level
        self._level += weight * (total - self._level)
        slope = (self._level - last) / elapsed_s
        slow = min(1.0, elapsed_s / (4 * _SMOOTHING_S))
        self._trend += slow * (slope - self._trend)
        ahead_s = self._start_time_s + _SMOOTHING_S
        return max(0.0, self._level + self._trend * ahead_s)

    def _apply_hysteresis(self, wanted: int, now_s: float) -> int:
        slack = max(1, round(self._ordered * _SCALE_DOWN_TOLERANCE))
        if wanted >= self._ordered - slack:
            self._no_scale_down_until_s = now_s + _SCALE_DOWN_DELAY_S
        if wanted > self._ordered or now_s >= self._no_scale_down_until_s:
            self._ordered = wanted
            self._no_scale_down_until_s = now_s + _SCALE_DOWN_DELAY_S
        return self._ordered


def _distribute(
    total: int, *, urgent: int, centres: Sequence[DataCentreOffer]
) -> dict[str, int]:
    """Distributes servers so that losing a cheap centre leaves enough."""
    cheap = [c for c in centres if c.cheap and c.is_available]
    reliable = sorted(
        (c for c in centres if not c.cheap and c.is_available),
        key=lambda c: (c.price, c.name),
    )
    counts = {c.name: 0 for c in centres}
    min_reliable = math.ceil(total * _MIN_RELIABLE_FRACTION)
    if len(cheap) <= 1:
        min_reliable = max(min_reliable, urgent)
    unplaced = _fill_evenly(counts, cheap, max(0, total - min_reliable))
    reliable_count = unplaced + min(total, min_reliable)
    largest = max((counts[c.name] for c in cheap), default=0)
    remaining = sum(counts.values()) - largest + reliable_count
    reliable_count += max(0, urgent - remaining)
    for centre in reliable:
        counts[centre.name] = min(reliable_count, centre.max_servers)
        reliable_count -= counts[centre.name]
    return counts


def _fill_evenly(
    counts: dict[str, int], centres: Sequence[DataCentreOffer], total: int
) -> int:
    """Spreads servers over centres; returns how many exceed their limits."""
    ordered = sorted(centres, key=lambda c: (c.max_servers, c.price, c.name))
    for i, centre in enumerate(ordered):
        even = math.ceil(total / (len(ordered) - i))
        counts[centre.name] = min(even, centre.max_servers)
        total -= counts[centre.name]
    return total
