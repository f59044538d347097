"""Software versions that began streams, as one VM knows them."""

from endivespindle.core.clock import Clock

__all__ = ["STREAM_MEMORY_S", "StreamOrigins"]

# Time for which a caller may take a stream up again: longer than any deadline.
STREAM_MEMORY_S = 600.0
_MAX_STREAMS = 20_000


class StreamOrigins:
    """Remembers by which software version a stream was begun.

    Args:
        clock: Clock of this VM.
    """

    __slots__ = ("_clock", "_origins")

    def __init__(self, *, clock: Clock):
        self._clock = clock
        self._origins: dict[str, tuple[str, float]] = {}

    def __len__(self) -> int:
        return len(self._origins)

    def record(self, request_id: str, software: str) -> None:
        """Records the software version that sent a stream's first event.

        Args:
            request_id: ID of the client attempt that received it.
            software: Software version of the server.
        """
        now_s = self._clock.monotonic()
        self._origins.pop(request_id, None)
        self._origins[request_id] = (software, now_s)
        oldest = next(iter(self._origins))
        while (
            len(self._origins) > _MAX_STREAMS
            or now_s - self._origins[oldest][1] > STREAM_MEMORY_S
        ):
            del self._origins[oldest]
            oldest = next(iter(self._origins))

    def find(self, request_id: str) -> str | None:
        """Returns the software version that began a stream, if known."""
        software, recorded_s = self._origins.get(request_id, (None, 0.0))
        if self._clock.monotonic() - recorded_s > STREAM_MEMORY_S:
            return None
        return software
