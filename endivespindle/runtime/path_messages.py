"""Messages between a VM that cannot reach a server and one that can.

A request is one message. The reply is a sequence of frames, each with its
length before it, so that a reply that ends early is never taken for complete.
"""

from collections.abc import Iterator

import msgspec

from endivespindle.core.reasons import Reason
from endivespindle.exceptions import BackendServerError
from endivespindle.schema.generated.caller import RunState
from endivespindle.serving.calls import ResponseHead, ServerCall, StreamEvent
from endivespindle.serving.path_lenders import LenderRefusal

__all__ = [
    "LEND_PATH",
    "BodyFrame",
    "EndFrame",
    "EventFrame",
    "FailureFrame",
    "Frame",
    "FrameParser",
    "HeadFrame",
    "LendRequest",
    "LenderRefusedError",
    "encode_frame",
    "encode_request",
]

LEND_PATH = "/servers/send"
_LENGTH_BYTES = 4


class LenderRefusedError(BackendServerError):
    """Another gateway did not try to pass the request on; it was not run.

    Attributes:
        cause: Why it did not.
    """

    is_server_failure = False

    def __init__(self, cause: LenderRefusal, message: str = ""):
        super().__init__(
            message or f"another gateway refused: {cause}",
            ran=RunState.NOT_RUN,
            reason=Reason.BACKEND_UNREACHABLE,
        )
        self.cause = cause


class LendRequest(msgspec.Struct, kw_only=True):
    """Asks another gateway to pass a request on to a server.

    Attributes:
        sender: Name of the VM that asks.
        server: Name of the server.
        started_ms: Its incarnation.
        call: The request.
        timeout_s: Seconds for the complete exchange; None for an item of a
            batch job, which the sender ends by closing the connection.
    """

    sender: str
    server: str
    started_ms: int
    call: ServerCall
    timeout_s: float | None


class HeadFrame(msgspec.Struct, kw_only=True, tag="head"):
    """Head of the server's response; the first frame."""

    head: ResponseHead


class EventFrame(msgspec.Struct, kw_only=True, tag="event"):
    """One event of a stream."""

    event: StreamEvent


class BodyFrame(msgspec.Struct, kw_only=True, tag="body"):
    """The whole body of a response that is no stream."""

    data: bytes


class EndFrame(msgspec.Struct, kw_only=True, tag="end"):
    """The server's response is complete."""


class FailureFrame(msgspec.Struct, kw_only=True, tag="failure"):
    """The server did not respond, or its response broke off.

    Attributes:
        text: Description for the log.
        ran: Whether the request ran.
        reason: Name of the reason.
        refusal: Why the gateway did not try to pass the request on; empty if it
            did.
    """

    text: str
    ran: RunState
    reason: str
    refusal: str = ""

    def error(self) -> BackendServerError:
        """Returns the error as if it had happened on this VM."""
        if self.refusal:
            return LenderRefusedError(_refusal(self.refusal), self.text)
        known = Reason.__members__.get(self.reason, Reason.BACKEND_LOST)
        return BackendServerError(self.text, ran=self.ran, reason=known)


def _refusal(text: str) -> LenderRefusal:
    try:
        return LenderRefusal(text)
    except ValueError:
        # Sent by a newer version of the software.
        return LenderRefusal.NO_REPLY


Frame = HeadFrame | EventFrame | BodyFrame | EndFrame | FailureFrame
_decoder = msgspec.msgpack.Decoder(Frame)


def encode_request(req: LendRequest) -> bytes:
    """Encodes a request; names of headers may be of a subclass of `str`."""
    return msgspec.msgpack.encode(req, enc_hook=str)


def encode_frame(frame: Frame) -> bytes:
    """Encodes a frame with its length."""
    data = msgspec.msgpack.encode(frame)
    return len(data).to_bytes(_LENGTH_BYTES, "big") + data


class FrameParser:
    """Splits received bytes into frames."""

    __slots__ = ("_buffer",)

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> Iterator[Frame]:
        """Yields the frames that are complete with these bytes.

        Raises:
            MsgspecError: A frame is malformed.
        """
        self._buffer += data
        while len(self._buffer) >= _LENGTH_BYTES:
            end = _LENGTH_BYTES + int.from_bytes(
                self._buffer[:_LENGTH_BYTES], "big"
            )
            if len(self._buffer) < end:
                return
            frame = _decoder.decode(bytes(self._buffer[_LENGTH_BYTES:end]))
            del self._buffer[:end]
            yield frame
