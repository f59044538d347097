"""Tokens requested of each service, over all VMs."""

import collections
from collections.abc import Mapping

__all__ = ["DemandAggregator", "DemandMeter"]


class DemandMeter:
    """Cumulative counters of the tokens requested of each service on one VM."""

    __slots__ = ("_tokens",)

    def __init__(self) -> None:
        self._tokens: collections.Counter[str] = collections.Counter()

    def add(self, service: str, tokens: int) -> None:
        """Adds tokens requested of a service."""
        self._tokens[service] += tokens

    def counts(self) -> dict[str, int]:
        """Returns the tokens requested of each service since the VM started."""
        return dict(self._tokens)


class DemandAggregator:
    """Computes demand as differences of the VMs' cumulative counters.

    The first counters of a VM only set its baseline, as its earlier demand
    was planned for by the previous lease holder. A new incarnation of a known
    VM counts from zero.
    """

    __slots__ = ("_baselines",)

    def __init__(self) -> None:
        self._baselines: dict[tuple[str, str], Mapping[str, int]] = {}

    def collect(
        self, counts: Mapping[tuple[str, str], Mapping[str, int]]
    ) -> Mapping[str, int]:
        """Returns the tokens requested of each service since the last call.

        Args:
            counts: Cumulative counters by VM and incarnation.
        """
        known = {vm for vm, _ in self._baselines}
        requested: collections.Counter[str] = collections.Counter()
        for key, counters in counts.items():
            baseline = self._baselines.get(key, {})
            if key in self._baselines or key[0] in known:
                for service, tokens in counters.items():
                    requested[service] += max(
                        0, tokens - baseline.get(service, 0)
                    )
            self._baselines[key] = dict(counters)
        return requested
