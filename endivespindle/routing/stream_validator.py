"""Checks that a streamed answer is whole and belongs to its request."""

from endivespindle.core.reasons import Reason
from endivespindle.exceptions import BackendServerError
from endivespindle.schema.generated.backend import GenerateChunk
from endivespindle.schema.generated.caller import RunState

__all__ = ["StreamValidator"]


class StreamValidator:
    """Takes the chunks of one answer in their order.

    Args:
        request_id: Request whose answer is read.
        offset: Number of the first token expected.
    """

    __slots__ = ("_offset", "_request_id", "done")

    def __init__(self, *, request_id: str, offset: int = 0):
        self._request_id = request_id
        self._offset = offset
        self.done = False

    def validate_chunk(self, chunk: GenerateChunk) -> None:
        """Takes the next chunk.

        Raises:
            BackendServerError: It belongs to another request, or came twice,
                out of order, or after the end.
        """
        if chunk.request_id != self._request_id:
            raise _mismatch("a chunk of another request came")
        if self.done or chunk.offset != self._offset:
            raise _mismatch("a chunk came out of its place")
        self._offset += chunk.tokens
        self.done = chunk.done

    def finish(self) -> None:
        """Takes the end of the stream.

        Raises:
            BackendServerError: The answer is not whole.
        """
        if not self.done:
            raise BackendServerError(
                "the stream ended early",
                ran=RunState.UNKNOWN,
                reason=Reason.BACKEND_LOST,
            )


def _mismatch(message: str) -> BackendServerError:
    return BackendServerError(
        message, ran=RunState.UNKNOWN, reason=Reason.ANSWER_MISMATCH
    )
