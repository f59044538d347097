"""Choice of the source from which a VM follows a kind of store objects."""

import math
import random
from collections.abc import Mapping

from endivespindle.core.clock import Clock
from endivespindle.core.digests import rendezvous_rank

__all__ = ["RelaySelector"]

# Time for which a relay that did not reply is not asked, doubled with each
# further failure: an attempt costs its watcher most of a second.
_FIRST_PAUSE_S = 3.0
_MAX_PAUSE_S = 12.0
# Time for which a relay that cannot reach the store comes last.
_STALE_S = 1.0
# Time for which a VM that reached the store while its relays did not reads the
# store itself.
_DIRECT_S = 3.0
# Time over which the first reads of the VMs of a fleet are spread once no relay
# reaches the store. Relays report this when their state is 1.4 s old, and a
# change has to be in force after 2 s.
_FIRST_PROBE_SPREAD_S = 0.4
# Relays that are asked for one read.
_MAX_CANDIDATES = 3


class RelaySelector:
    """Orders the relays of one VM and limits its own reads of the store.

    Load pattern: the store turns away the VM whose watches all others follow,
    or is down for all of them, in a fleet of hundreds. The VMs of a data
    centre go on with the relays of others; if no relay reaches the store, a VM
    reads it soon after the first of them reported so, and then only now and
    then.

    Args:
        vm: Name of this VM.
        data_centre: Data centre of this VM.
        clock: Clock of this VM.
        rng: Source of the jitter.
        probe_interval_s: Seconds between two reads of the store while the
            relays reply but cannot reach it; 0 does not limit them.
    """

    __slots__ = (
        "_clock",
        "_data_centre",
        "_direct_until_s",
        "_failures",
        "_next_probe_s",
        "_paused_until_s",
        "_probe_interval_s",
        "_rng",
        "_stale_until_s",
        "_vm",
    )

    def __init__(
        self,
        *,
        vm: str,
        data_centre: str,
        clock: Clock,
        rng: random.Random,
        probe_interval_s: float,
    ):
        self._vm = vm
        self._data_centre = data_centre
        self._clock = clock
        self._rng = rng
        self._failures: dict[str, int] = {}
        self._paused_until_s: dict[str, float] = {}
        self._stale_until_s: dict[str, float] = {}
        self._probe_interval_s = probe_interval_s
        self._next_probe_s = -math.inf
        self._direct_until_s = -math.inf

    def candidates(self, relays: Mapping[str, str]) -> list[str]:
        """Returns the relays to ask, in this order.

        Relays of this data centre come first, the others in an order that
        differs between VMs. Relays known not to reach the store come last; if
        there are no others, only the first of them is returned.

        Args:
            relays: Data centre by name of the relay.

        Returns:
            Names of relays; empty to read the store.
        """
        now_s = self._clock.monotonic()
        if now_s < self._direct_until_s:
            return []
        usable = [
            name
            for name in relays
            if self._paused_until_s.get(name, 0.0) <= now_s
        ]
        ranked = rendezvous_rank(self._vm, usable)
        ranked.sort(
            key=lambda name: (
                self.is_stale(name),
                relays[name] != self._data_centre,
            )
        )
        is_any_fresh = bool(ranked) and not self.is_stale(ranked[0])
        return ranked[: _MAX_CANDIDATES if is_any_fresh else 1]

    def is_stale(self, relay: str) -> bool:
        """Returns whether a relay recently did not reach the store."""
        stale_until_s = self._stale_until_s.get(relay, 0.0)
        return self._clock.monotonic() < stale_until_s

    def has_failed(self, relay: str) -> bool:
        """Returns whether a relay did not reply when it was last asked."""
        return relay in self._failures

    def record_reply(self, relay: str) -> None:
        """Records that a relay replied and reaches the store."""
        self._failures.pop(relay, None)
        self._stale_until_s.pop(relay, None)

    def record_stale(self, relay: str) -> None:
        """Records that a relay replied but does not reach the store."""
        now_s = self._clock.monotonic()
        self._failures.pop(relay, None)
        self._stale_until_s[relay] = now_s + _STALE_S
        if now_s - self._next_probe_s > 2 * self._probe_interval_s:
            spread_s = min(self._probe_interval_s, _FIRST_PROBE_SPREAD_S)
            self._next_probe_s = now_s + self._rng.uniform(0.0, spread_s)

    def record_failure(self, relay: str) -> None:
        """Records that a relay did not reply."""
        failures = self._failures.get(relay, 0)
        self._failures[relay] = failures + 1
        pause_s = min(_MAX_PAUSE_S, _FIRST_PAUSE_S * 2**failures)
        self._paused_until_s[relay] = self._clock.monotonic() + pause_s

    def record_store_reached(self) -> None:
        """Records that this VM reached the store and its relays did not."""
        self._direct_until_s = self._clock.monotonic() + _DIRECT_S

    def may_probe_store(self) -> bool:
        """Returns whether to read the store although no relay reaches it."""
        if self.probe_delay_s() > 0.0:
            return False
        interval_s = self._probe_interval_s * self._rng.uniform(0.75, 1.25)
        self._next_probe_s = self._clock.monotonic() + interval_s
        return True

    def probe_delay_s(self) -> float:
        """Returns the seconds until the store may be read directly."""
        return max(0.0, self._next_probe_s - self._clock.monotonic())
