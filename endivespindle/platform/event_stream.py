"""Events of a stream, cut from the bytes of an answer."""

from endivespindle.core.reasons import Reason
from endivespindle.exceptions import BackendServerError
from endivespindle.platform.headers import parse_weight_version
from endivespindle.schema.generated.caller import RunState
from endivespindle.serving.calls import StreamEvent

__all__ = ["EventStreamParser"]

# Beyond this an event cannot be one: pieces are some hundred bytes.
_MAX_EVENT_BYTES = 1_048_576
_END = b"\n\n"


class EventStreamParser:
    """Cuts bytes into whole events.

    An event is the lines up to a blank one: `id:`, `data:` and, where the
    weights change, a first line with the version.
    """

    __slots__ = ("_rest",)

    def __init__(self) -> None:
        self._rest = b""

    @property
    def is_complete(self) -> bool:
        """Tells whether nothing of a further event has come."""
        return not self._rest

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Takes in bytes and returns the events that are whole now.

        Raises:
            BackendServerError: The bytes are no event.
        """
        *blocks, self._rest = (self._rest + data).split(_END)
        if len(self._rest) > _MAX_EVENT_BYTES:
            raise _malformed("an event without an end")
        return [_event(block) for block in blocks if block]


def _event(block: bytes) -> StreamEvent:
    event_id: int | None = None
    data: list[str] = []
    version: int | None = None
    try:
        lines = block.decode().split("\n")
    except UnicodeDecodeError as exc:
        raise _malformed(str(exc)) from exc
    for line in lines:
        name, _, value = line.partition(":")
        value = value.removeprefix(" ")
        if name == "data":
            data.append(value)
        elif name == "id":
            event_id = int(value) if value.isdecimal() else None
        elif name == "x-weight-versions":
            version = parse_weight_version(value)
    if event_id is None:
        raise _malformed("an event without a number")
    return StreamEvent(
        event_id=event_id,
        data="\n".join(data),
        weight_version=version,
        raw=block + _END,
    )


def _malformed(message: str) -> BackendServerError:
    return BackendServerError(
        message, ran=RunState.UNKNOWN, reason=Reason.BACKEND_LOST
    )
