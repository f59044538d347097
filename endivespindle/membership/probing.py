"""Order in which a VM probes its peers."""

import collections
import random

__all__ = ["ProbeScheduler"]

_DEAD_PROBE_PERIOD = 16
_MAX_REQUESTED = 8


class ProbeScheduler:
    """Probes the peers round by round, in a new random order each round.

    Every peer is probed once per round, which bounds the time until its next
    probe. Every second probe may go to a peer requested by `request_probe`:
    one that has fresher data, or one that is suspected.

    Args:
        rng: Source of the random order.
    """

    __slots__ = ("_order", "_requested", "_rng", "_target_count")

    def __init__(self, *, rng: random.Random):
        self._rng = rng
        self._order: list[str] = []
        self._requested: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._target_count = 0

    def request_probe(self, name: str) -> None:
        """Requests an early probe of a peer."""
        if len(self._requested) < _MAX_REQUESTED:
            self._requested[name] = None

    def next_target(self, live: list[str], dead: list[str]) -> str | None:
        """Returns the peer to probe now.

        Args:
            live: Peers that are expected to reply.
            dead: Peers declared dead. One of them is probed from time to time:
                only a probe detects the end of a network partition.
        """
        self._target_count += 1
        if dead and (not live or self._target_count % _DEAD_PROBE_PERIOD == 0):
            return self._rng.choice(dead)
        if self._target_count % 2 == 0:
            while self._requested:
                name, _ = self._requested.popitem(last=False)
                if name in live:
                    return name
        return self._next_in_round(live)

    def _next_in_round(self, live: list[str]) -> str | None:
        known = set(live)
        while self._order:
            name = self._order.pop()
            if name in known:
                return name
        self._order = list(live)
        self._rng.shuffle(self._order)
        return self._order.pop() if self._order else None
