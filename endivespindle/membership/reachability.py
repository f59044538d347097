"""Detects which data centres are separated by a network partition."""

import math

from endivespindle.core.clock import Clock

__all__ = ["DataCentreReachability"]

_MS_PER_S = 1000


class DataCentreReachability:
    """Records when any VM of this data centre last heard from each other one.

    Args:
        data_centre: Data centre of this VM.
        clock: Clock of this VM.
        partition_after_s: Seconds of silence after which a data centre
            counts as partitioned.
    """

    __slots__ = (
        "_clock",
        "_data_centre",
        "_key_generations",
        "_last_heard_s",
        "_partition_after_s",
        "_propagation_delay_s",
    )

    def __init__(
        self, *, data_centre: str, clock: Clock, partition_after_s: float
    ):
        self._data_centre = data_centre
        self._clock = clock
        self._last_heard_s: dict[str, float] = {}
        self._partition_after_s = partition_after_s
        self._key_generations: dict[str, int] = {}
        self._propagation_delay_s = 0.0

    def set_propagation_delay(self, delay_s: float) -> None:
        """Sets the age that updates may reach without a partition."""
        self._propagation_delay_s = delay_s

    def add(self, data_centre: str) -> None:
        """Adds a data centre as if it was heard from now."""
        self._last_heard_s.setdefault(data_centre, self._clock.monotonic())

    def record_reply(
        self, data_centre: str, *, asked_s: float, key_generation: int
    ) -> None:
        """Records a reply from a VM of a data centre.

        Args:
            data_centre: Data centre of the VM.
            asked_s: Monotonic time at which the request was sent.
            key_generation: Generation of the VM's key table.
        """
        known_s = self._last_heard_s.get(data_centre, asked_s)
        self._last_heard_s[data_centre] = max(known_s, asked_s)
        known = self._key_generations.get(data_centre, 0)
        self._key_generations[data_centre] = max(known, key_generation)

    def remote_data_centres(self) -> list[str]:
        """Returns the other data centres known."""
        return sorted(
            name for name in self._last_heard_s if name != self._data_centre
        )

    def merge(self, ages_ms: dict[str, int], *, asked_s: float) -> None:
        """Merges the ages that a peer of this data centre reported.

        Args:
            ages_ms: Milliseconds since the peer's data centre last heard
                from each other data centre.
            asked_s: Monotonic time at which the request was sent.
        """
        for data_centre, age_ms in ages_ms.items():
            at_s = asked_s - max(0, age_ms) / _MS_PER_S
            if data_centre in self._last_heard_s:
                known_s = self._last_heard_s[data_centre]
                self._last_heard_s[data_centre] = max(known_s, at_s)

    def ages_ms(self, *, key_generation: int) -> dict[str, int]:
        """Returns the milliseconds since each data centre was heard from.

        A data centre that has a newer key table than this VM is omitted: its
        replies do not confirm that an older table is still current.

        Args:
            key_generation: Generation of this VM's key table.
        """
        now_s = self._clock.monotonic()
        return {
            name: math.ceil((now_s - at_s) * _MS_PER_S)
            for name, at_s in self._last_heard_s.items()
            if name != self._data_centre
            and self._key_generations.get(name, 0) <= key_generation
        }

    def is_partitioned(self, data_centre: str) -> bool:
        """Returns whether all VMs of a data centre have been silent."""
        if data_centre == self._data_centre:
            return False
        at_s = self._last_heard_s.get(data_centre)
        if at_s is None:
            return False
        limit_s = max(self._partition_after_s, self._propagation_delay_s)
        return self._clock.monotonic() - at_s >= limit_s
