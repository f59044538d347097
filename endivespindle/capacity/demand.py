"""Tokens asked of each service, over all VMs."""

import collections
from collections.abc import Mapping

__all__ = ["DemandMeter", "DemandAggregator"]


class DemandMeter:
    """Counts the tokens asked of each service on one VM, ever rising."""

    __slots__ = ("_tokens",)

    def __init__(self) -> None:
        self._tokens: collections.Counter[str] = collections.Counter()

    def add(self, service: str, tokens: int) -> None:
        """Counts tokens asked for."""
        self._tokens[service] += tokens

    def counts(self) -> dict[str, int]:
        """Returns the tokens asked of each service since the VM started."""
        return dict(self._tokens)


class DemandAggregator:
    """Turns the VMs' rising counters into what was asked since a look.

    A VM seen for the first time only sets a mark: what it counted before was
    somebody else's to plan for. A new incarnation counts from zero.
    """

    __slots__ = ("_baselines",)

    def __init__(self) -> None:
        self._baselines: dict[tuple[str, str], Mapping[str, int]] = {}

    def collect(
        self, counts: Mapping[tuple[str, str], Mapping[str, int]]
    ) -> Mapping[str, int]:
        """Returns the tokens asked of each service since the last call.

        Args:
            counts: Rising counters by VM and incarnation.
        """
        known = {vm for vm, _ in self._baselines}
        asked: collections.Counter[str] = collections.Counter()
        for key, counters in counts.items():
            baseline = self._baselines.get(key, {})
            if key in self._baselines or key[0] in known:
                for service, tokens in counters.items():
                    asked[service] += max(0, tokens - baseline.get(service, 0))
            self._baselines[key] = dict(counters)
        return asked
