"""The steps by which a VM leaves without cutting a request."""

import enum
from typing import Any

import transitions

from endivespindle.core.clock import Clock

__all__ = ["Drain", "DrainState"]


class DrainState(enum.StrEnum):
    """How far a VM has left.

    Attributes:
        SERVING: It takes requests.
        UNREADY: Its readiness fails; it still takes what the balancer, which
            has not noticed yet, sends.
        REFUSING: New requests are refused as not run; running ones go on.
        FLUSHING: No request runs; usage and receipts are written.
        STOPPED: Nothing is left to do.
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
    """Decides which step of leaving a VM is at.

    Args:
        clock: Clock of this VM.
        balancer_wait_s: Seconds from failing readiness to refusing.
        timeout_s: Seconds that running requests get after that.

    Attributes:
        running: Requests that run now.
        state: The step.
    """

    __slots__ = (
        "_balancer_wait_s",
        "_clock",
        "_since_s",
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
        self._since_s = 0.0
        self.running = 0
        self.state = DrainState.SERVING.value

    def is_ready(self) -> bool:
        """Tells whether the balancer should send requests here."""
        return self.state == DrainState.SERVING

    def accepts(self) -> bool:
        """Tells whether a new request is taken."""
        return self.state in _ACCEPTING

    def begin(self) -> None:
        """Starts leaving; a second call changes nothing."""
        if self.state == DrainState.SERVING:
            self._follow("begin")

    def advance(self) -> DrainState:
        """Takes the next step if it is due, and returns the step."""
        waited_s = self._clock.monotonic() - self._since_s
        if self.state == DrainState.UNREADY:
            if waited_s >= self._balancer_wait_s:
                self._follow("refuse")
        elif self.state == DrainState.REFUSING and (
            self.running == 0 or waited_s >= self._timeout_s
        ):
            self._follow("flush")
        return DrainState(self.state)

    def flushed(self) -> None:
        """Notes that usage was written, or is given up."""
        self._follow("stop")

    def _follow(self, event: str) -> None:
        """Follows one edge of the state table."""
        _MACHINE.events[event].trigger(self)
        self._since_s = self._clock.monotonic()
