"""How many backend servers each data centre should have."""

import collections
import math
from collections.abc import Mapping, Sequence

from endivespindle.controller.operations import CapacityRequest
from endivespindle.core.clock import Clock
from endivespindle.serving.configuration import ServiceSpec
from endivespindle.serving.directory import ServerView

__all__ = ["SCALE_DOWN_DELAY_S", "SlotDemandTracker", "plan_capacity"]

# Time for which demand must be known before servers are taken away: a trainer
# that pauses between two runs comes back within it.
SCALE_DOWN_DELAY_S = 120.0

# Time for which a peak of demand counts: a few steps of a trainer, which come
# every few seconds, so that servers do not come and go between two of them.
_PEAK_WINDOW_S = 30.0


class SlotDemandTracker:
    """Places that batch jobs want of each service or model, over all nodes.

    The load pattern answered: steps of several trainers arrive at once every
    few seconds and need more places than there are for a part of that time.
    The peak counts, as a step is as late as its last text.

    Args:
        clock: Clock of this VM.
    """

    __slots__ = ("_clock", "_nodes", "_peaks")

    def __init__(self, *, clock: Clock):
        self._clock = clock
        self._nodes: dict[str, Mapping[str, int]] = {}
        self._peaks: dict[str, collections.deque[tuple[float, int]]] = {}

    def record(self, node: str, wanted: Mapping[str, int]) -> None:
        """Takes in what one node wants now, in place of what it told last.

        Args:
            node: Name of the node.
            wanted: Places wanted, by service or model.
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
            # Only what no later figure exceeds can become the peak.
            while peaks and peaks[-1][1] <= total:
                peaks.pop()
            peaks.append((now_s, total))

    def peak(self, name: str) -> int:
        """Returns the most places wanted at once, as of late."""
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
    """Returns the orders by which a service follows its demand.

    Servers are added where one costs least, in turn over the data centres so
    that the loss of one leaves most of them, and taken away where one costs
    most. Only servers that the platform does not reclaim are ordered: a
    reclaimed one takes a whole data centre's texts with it.

    Args:
        spec: The service, with its bounds and prices.
        servers: Its servers that take new work.
        data_centres: All data centres.
        peak: Places wanted at once, as of late.
        ordered: Servers ordered so far by data centre; those that run count
            where none were ordered.
        may_scale_down: Whether demand has been known for long enough to take
            servers away.
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
        room = [n for n in counts if counts[n] < scaling.servers_max]
        if not room:
            break
        counts[min(room, key=lambda n: (counts[n], _price(spec, n), n))] += 1
    while may_scale_down and sum(counts.values()) > max(wanted, 1):
        spare = [n for n in counts if counts[n] > max(1, scaling.servers_min)]
        if not spare:
            break
        counts[max(spare, key=lambda n: (counts[n], _price(spec, n), n))] -= 1
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
