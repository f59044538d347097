"""Validation of a response streamed by a model engine."""

from endivespindle.core.reasons import Reason
from endivespindle.exceptions import BackendServerError
from endivespindle.schema.generated.backend import GenerateChunk
from endivespindle.schema.generated.caller import RunState

__all__ = ["StreamValidator"]


class StreamValidator:
    """Checks that a token stream is complete and belongs to its request.

    Args:
        request_id: Request whose response is read.
        offset: Offset of the first expected token.

    Attributes:
        done: Whether the final chunk was received.
    """

    __slots__ = ("_offset", "_request_id", "done")

    def __init__(self, *, request_id: str, offset: int = 0):
        self._request_id = request_id
        self._offset = offset
        self.done = False

    def validate_chunk(self, chunk: GenerateChunk) -> None:
        """Checks the next chunk.

        Raises:
            BackendServerError: The chunk belongs to another request, is a
                duplicate, is out of order, or follows the final chunk.
        """
        if chunk.request_id != self._request_id:
            raise _mismatch("received a chunk of another request")
        if self.done or chunk.offset != self._offset:
            raise _mismatch("received a duplicate or out-of-order chunk")
        self._offset += chunk.tokens
        self.done = chunk.done

    def finish(self) -> None:
        """Checks that the stream is complete when it ends.

        Raises:
            BackendServerError: The final chunk is missing.
        """
        if not self.done:
            raise BackendServerError(
                "the stream ended before its final chunk",
                ran=RunState.UNKNOWN,
                reason=Reason.BACKEND_LOST,
            )


def _mismatch(message: str) -> BackendServerError:
    return BackendServerError(
        message, ran=RunState.UNKNOWN, reason=Reason.ANSWER_MISMATCH
    )
