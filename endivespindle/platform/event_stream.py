"""Parser of server-sent events in a response body."""

from endivespindle.backends.body_reader import EventParser
from endivespindle.core.decoding import parse_count
from endivespindle.core.reasons import Reason
from endivespindle.exceptions import BackendServerError
from endivespindle.platform.headers import parse_weight_version
from endivespindle.schema.generated.caller import RunState
from endivespindle.serving.calls import StreamEvent

__all__ = ["EventStreamParser"]

# Bytes within which the next event must end; events are a few hundred bytes
# long.
_MAX_EVENT_BYTES = 1_048_576
_EVENT_END = b"\n\n"


class EventStreamParser(EventParser[StreamEvent]):
    """Incremental parser of server-sent events.

    An event consists of `id:` and `data:` lines and ends with a blank line.
    Where the weight version changes, its first line is `x-weight-versions:`.
    """

    __slots__ = ("_buffer", "_unfinished_bytes")

    def __init__(self) -> None:
        self._buffer = b""
        # Received since the last event; blank lines are not buffered.
        self._unfinished_bytes = 0

    @property
    def is_complete(self) -> bool:
        """Returns whether no partial event is buffered."""
        return not self._buffer

    @property
    def buffered_bytes(self) -> int:
        """Returns the size of the partial event that is buffered."""
        return len(self._buffer)

    def clear(self) -> None:
        """Discards the partial event that is buffered."""
        self._buffer = b""

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Appends received bytes and returns the events they complete.

        Raises:
            BackendServerError: The bytes are not a valid event.
        """
        *blocks, self._buffer = (self._buffer + data).split(_EVENT_END)
        events = [_parse_event(block) for block in blocks if block]
        if events:
            self._unfinished_bytes = len(self._buffer)
        else:
            self._unfinished_bytes += len(data)
        if self._unfinished_bytes > _MAX_EVENT_BYTES:
            raise _stream_error("an unterminated event is too large")
        return events


def _parse_event(block: bytes) -> StreamEvent:
    event_id: int | None = None
    data: list[str] = []
    version: int | None = None
    try:
        lines = block.decode().split("\n")
    except UnicodeDecodeError as exc:
        raise _stream_error(str(exc)) from exc
    for line in lines:
        name, _, value = line.partition(":")
        value = value.removeprefix(" ")
        if name == "data":
            data.append(value)
        elif name == "id":
            event_id = parse_count(value)
        elif name == "x-weight-versions":
            version = parse_weight_version(value)
    if event_id is None:
        raise _stream_error("event without a numeric id")
    return StreamEvent(
        event_id=event_id,
        data="\n".join(data),
        weight_version=version,
        raw=block + _EVENT_END,
    )


def _stream_error(message: str) -> BackendServerError:
    return BackendServerError(
        message, ran=RunState.UNKNOWN, reason=Reason.BACKEND_LOST
    )
