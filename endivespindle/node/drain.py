"""Steps by which a VM shuts down without interrupting a request."""

import enum
from typing import Any

import transitions

from endivespindle.core.clock import Clock

__all__ = ["Drain", "DrainState"]


class DrainState(enum.StrEnum):
    """Step of the shutdown of a VM.

    Attributes:
        SERVING: It accepts requests.
        UNREADY: Its readiness check fails; it still accepts requests, which
            the load balancer sends until it notices.
        REFUSING: New requests are refused as not run; running ones continue.
        FLUSHING: Requests have ended or timed out; usage and receipts are
            written.
        STOPPED: The shutdown is complete.
    """

    SERVING = "serving"
    UNREADY = "unready"
    REFUSING = "refusing"
    FLUSHING = "flushing"
    STOPPED = "stopped"


_TRANSITIONS: list[Any] = [
    ["begin", "serving", "unready"],
    ["refuse", "unready", "refusing"],
    ["flush", "refusing", "flushing"],
    ["stop", "flushing", "stopped"],
]

_MACHINE = transitions.Machine(
    model=None,
    states=[state.value for state in DrainState],
    transitions=_TRANSITIONS,
    initial=DrainState.SERVING.value,
    auto_transitions=False,
)

_ACCEPTING = (DrainState.SERVING, DrainState.UNREADY)


class Drain:
    """State machine of the shutdown of a VM.

    Args:
        clock: Clock of this VM.
        balancer_wait_s: Seconds from the failing readiness check until new
            requests are refused.
        timeout_s: Seconds after that in which running requests may end.

    Attributes:
        running: Number of running requests.
        state: Current step, as its value.
    """

    __slots__ = (
        "_balancer_wait_s",
        "_clock",
        "_entered_s",
        "_timeout_s",
        "running",
        "state",
    )

    def __init__(
        self, *, clock: Clock, balancer_wait_s: float, timeout_s: float
    ):
        self._clock = clock
        self._balancer_wait_s = balancer_wait_s
        self._timeout_s = timeout_s
        self._entered_s = 0.0
        self.running = 0
        self.state = DrainState.SERVING.value

    def is_ready(self) -> bool:
        """Returns whether the load balancer should send requests."""
        return self.state == DrainState.SERVING

    def accepts(self) -> bool:
        """Returns whether new requests are accepted."""
        return self.state in _ACCEPTING

    def begin(self) -> None:
        """Starts the shutdown; has no effect if it was started before."""
        if self.state == DrainState.SERVING:
            self._trigger("begin")

    def advance(self) -> DrainState:
        """Enters the next step if it is due, and returns the current step."""
        elapsed_s = self._clock.monotonic() - self._entered_s
        if self.state == DrainState.UNREADY:
            if elapsed_s >= self._balancer_wait_s:
                self._trigger("refuse")
        elif self.state == DrainState.REFUSING and (
            self.running == 0 or elapsed_s >= self._timeout_s
        ):
            self._trigger("flush")
        return DrainState(self.state)

    def mark_flushed(self) -> None:
        """Records that usage was written, or that writing it was given up."""
        self._trigger("stop")

    def _trigger(self, event: str) -> None:
        """Applies one transition of the state machine."""
        _MACHINE.events[event].trigger(self)
        self._entered_s = self._clock.monotonic()
