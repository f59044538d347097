"""Slot demand of batch jobs, and the capacity orders that follow it."""

import collections
import math
from collections.abc import Mapping, Sequence

from endivespindle.controller.operations import CapacityRequest
from endivespindle.core.clock import Clock
from endivespindle.serving.configuration import ServiceSpec
from endivespindle.serving.directory import ServerView

__all__ = ["SCALE_DOWN_DELAY_S", "SlotDemandTracker", "plan_capacity"]

# Time for which demand must be known before servers are removed: a trainer
# that pauses between two runs resumes within it.
SCALE_DOWN_DELAY_S = 120.0

# Window of the peak demand. It spans a few steps of a trainer, which arrive
# every few seconds, so that servers are not removed between two steps.
_PEAK_WINDOW_S = 30.0


class SlotDemandTracker:
    """Peak slot demand of batch jobs by service or model, over all nodes.

    Load pattern: steps of several trainers arrive at once every few seconds
    and need more slots than there are for a part of that time. The peak
    counts, as a step ends only with its last completion.

    Args:
        clock: Clock of this VM.
    """

    __slots__ = ("_clock", "_nodes", "_peaks")

    def __init__(self, *, clock: Clock):
        self._clock = clock
        self._nodes: dict[str, Mapping[str, int]] = {}
        self._peaks: dict[str, collections.deque[tuple[float, int]]] = {}

    def record(self, node: str, wanted: Mapping[str, int]) -> None:
        """Records a node's slot demand, replacing its previous report.

        Args:
            node: Name of the node.
            wanted: Slots wanted, by service or model.
        """
        self._nodes[node] = wanted
        now_s = self._clock.monotonic()
        services = {
            name for reported in self._nodes.values() for name in reported
        }
        for name in services:
            total = sum(
                reported.get(name, 0) for reported in self._nodes.values()
            )
            peaks = self._peaks.setdefault(name, collections.deque())
            # An older total is needed only while it exceeds all later ones.
            while peaks and peaks[-1][1] <= total:
                peaks.pop()
            peaks.append((now_s, total))

    def peak(self, name: str) -> int:
        """Returns the peak number of slots wanted at once in the window."""
        peaks = self._peaks.get(name, collections.deque())
        oldest_s = self._clock.monotonic() - _PEAK_WINDOW_S
        while len(peaks) > 1 and peaks[0][0] < oldest_s:
            peaks.popleft()
        return peaks[0][1] if peaks else 0


def plan_capacity(
    spec: ServiceSpec,
    servers: Sequence[ServerView],
    data_centres: Sequence[str],
    *,
    peak: int,
    ordered: Mapping[str, int],
    may_scale_down: bool,
) -> list[CapacityRequest]:
    """Returns the capacity orders that adapt a service to its demand.

    Servers are added to the data centre with the fewest ones, so that the
    loss of a data centre leaves most of them, and removed from the one with
    the most; ties are broken by price. Only non-spot servers are ordered:
    when spot servers are reclaimed, the completions of a whole data centre
    are lost.

    Args:
        spec: The service, with its scaling limits and prices.
        servers: Its servers that accept new work.
        data_centres: All data centres.
        peak: Peak number of slots wanted at once.
        ordered: Servers ordered so far, by data centre; without an order the
            running non-spot servers count.
        may_scale_down: Whether demand has been known for long enough to
            remove servers.
    """
    scaling = spec.scaling
    slots = max((view.entry.slots for view in servers), default=0)
    if scaling is None or not slots:
        return []
    counts = {
        name: ordered.get(name, _running(servers, name))
        for name in data_centres
    }
    before = dict(counts)
    wanted = math.ceil(peak / slots)
    while sum(counts.values()) < wanted:
        below_max = [n for n in counts if counts[n] < scaling.servers_max]
        if not below_max:
            break
        counts[
            min(below_max, key=lambda n: (counts[n], _price(spec, n), n))
        ] += 1
    while may_scale_down and sum(counts.values()) > max(wanted, 1):
        above_min = [
            n for n in counts if counts[n] > max(1, scaling.servers_min)
        ]
        if not above_min:
            break
        counts[
            max(above_min, key=lambda n: (counts[n], _price(spec, n), n))
        ] -= 1
    return [
        CapacityRequest(service=spec.name, data_centre=name, servers=count)
        for name, count in counts.items()
        if count != before[name]
    ]


def _running(servers: Sequence[ServerView], data_centre: str) -> int:
    return sum(
        view.entry.data_centre == data_centre and not view.entry.spot
        for view in servers
    )


def _price(spec: ServiceSpec, data_centre: str) -> float:
    prices = spec.scaling.prices if spec.scaling else {}
    return prices.get(data_centre, 1.0)
