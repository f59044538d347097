"""Which models' requests a backend server may be sent now."""

from endivespindle.core.clock import Clock

__all__ = ["ModelAccess"]


class ModelAccess:
    """Pauses models while their weights load, and probes after refusals.

    Load pattern: a server loads weights, and every request of the model that
    is sent meanwhile comes back. After a pause a single request tests whether
    it accepts others.

    Args:
        clock: Clock of this VM.
    """

    __slots__ = ("_clock", "_paused_until_s", "_probes")

    def __init__(self, *, clock: Clock):
        self._clock = clock
        self._paused_until_s: dict[str, float] = {}
        # Requests under way of each model that is probed.
        self._probes: dict[str, int] = {}

    def pause(self, model: str, seconds: float) -> None:
        """Sends a model's requests elsewhere while its weights load."""
        self._paused_until_s[model] = self._clock.monotonic() + seconds

    def accepts(self, model: str) -> bool:
        """Returns whether a model's requests may be sent there now."""
        return self._clock.monotonic() >= self._paused_until_s.get(model, 0.0)

    def refuse(self, model: str, seconds: float) -> None:
        """Records that the server did not run a model's request.

        After the pause a single request tests whether it does now.
        """
        self.pause(model, seconds)
        self._probes[model] = 0

    def confirm(self, model: str) -> None:
        """Records that the server runs a model's requests."""
        self._probes.pop(model, None)

    def begin_request(self, model: str) -> None:
        """Records that a model's request is placed on the server."""
        if model in self._probes:
            self._probes[model] += 1

    def end_request(self, model: str) -> None:
        """Records that a model's request has left the server."""
        if self._probes.get(model, 0) > 0:
            self._probes[model] -= 1

    def is_probing(self, model: str) -> bool:
        """Returns whether the server may take one request of a model only."""
        return model in self._probes

    def awaits_probe(self, model: str) -> bool:
        """Returns whether the request that tests the server is under way."""
        return self._probes.get(model, 0) > 0
