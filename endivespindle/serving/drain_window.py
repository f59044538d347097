"""Which requests a VM still takes while it shuts down."""

import math

from endivespindle.core.clock import Clock

__all__ = ["DrainWindow"]

# The load balancer takes a VM out after two failed readiness checks, one per
# second. Until then it sends new connections.
_BALANCER_DRAIN_S = 2.6
# Time kept at the end of the grace period for the last responses and reports.
_STOP_MARGIN_S = 1.0


class DrainWindow:
    """The time between the signal to stop and the end of the process.

    Load pattern: callers keep connections open and open new ones until the
    process is gone, with requests that last for seconds. What is taken late
    would be broken off with the process, though any other VM could have run
    it. So a request is taken only if its own time limit lies within the
    window. While the load balancer still sends new connections, requests that
    may be repeated are taken in any case: most end long before their limit.

    Args:
        clock: Clock of this VM.
        grace_s: Seconds from the signal until the process is killed.
    """

    __slots__ = ("_clock", "_grace_s", "_start_s")

    def __init__(self, *, clock: Clock, grace_s: float):
        self._clock = clock
        self._grace_s = grace_s
        self._start_s = math.inf

    @property
    def is_open(self) -> bool:
        """Whether the VM is shutting down."""
        return self._start_s < math.inf

    @property
    def end_s(self) -> float:
        """Monotonic time by which all requests must have their responses."""
        return self._start_s + max(0.0, self._grace_s - _STOP_MARGIN_S)

    def begin(self) -> None:
        """Begins the shutdown; does nothing if it has begun."""
        if not self.is_open:
            self._start_s = self._clock.monotonic()

    def is_over(self) -> bool:
        """Returns whether the window has ended."""
        return self._clock.monotonic() >= self.end_s

    def has_left_balancer(self) -> bool:
        """Returns whether the load balancer has taken this VM out."""
        return self._clock.monotonic() >= self._start_s + _BALANCER_DRAIN_S

    def may_take(self, *, limit_s: float, may_repeat: bool) -> bool:
        """Returns whether a request is taken.

        Args:
            limit_s: Monotonic time by which it has its response in any case.
            may_repeat: Whether it may run again if it is broken off.
        """
        if not self.is_open or limit_s <= self.end_s:
            return True
        return may_repeat and not self.has_left_balancer()
