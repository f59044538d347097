"""Memory of the bodies that a process holds."""

import contextlib
from collections.abc import Iterator

from endivespindle.core.reasons import Reason
from endivespindle.exceptions import BackendServerError
from endivespindle.schema.generated.caller import RunState

__all__ = ["BodyMemory", "BodyReservation"]

# Bytes that each body may hold whatever the others hold, so that small
# responses are read while a faulty server sends others without end.
_FREE_BYTES = 65_536
# Fraction of the process's memory that responses may hold beyond that.
_RESPONSE_FRACTION = 0.125


class BodyMemory:
    """Limits the bytes of all bodies that are read at a time.

    Load pattern: a faulty server sends bytes without end on each of its
    connections. Each body is abandoned at its own limit, but some dozen of them
    exceed the memory of a small VM together.

    Args:
        memory_bytes: Memory of this process, in bytes.
        fraction: Fraction of it that bodies may hold.

    Attributes:
        held_bytes: Bytes held beyond those that each body may hold.
        max_bytes: Most bytes held.
    """

    __slots__ = ("held_bytes", "max_bytes")

    def __init__(
        self, *, memory_bytes: int, fraction: float = _RESPONSE_FRACTION
    ):
        self.max_bytes = int(memory_bytes * fraction)
        self.held_bytes = 0

    @contextlib.contextmanager
    def reserve(self) -> Iterator["BodyReservation"]:
        """Yields the reservation of one body, which ends with the context."""
        reservation = BodyReservation(memory=self)
        try:
            yield reservation
        finally:
            reservation.resize(0)

    def change(self, added_bytes: int) -> None:
        """Changes the bytes held.

        Raises:
            EndivespindleError: There is no memory for more.
        """
        if added_bytes > 0 and self.held_bytes + added_bytes > self.max_bytes:
            raise self._full_error()
        self.held_bytes += added_bytes

    def _full_error(self) -> Exception:
        """Returns the error that tells that there is no memory for more."""
        return BackendServerError(
            "the responses being read are too large together",
            ran=RunState.RAN,
            reason=Reason.ANSWER_TOO_LARGE,
        )


class BodyReservation:
    """Memory of one body.

    Args:
        memory: Memory that all bodies share.
    """

    __slots__ = ("_held_bytes", "_memory")

    def __init__(self, *, memory: BodyMemory):
        self._memory = memory
        self._held_bytes = 0

    def resize(self, body_bytes: int) -> None:
        """Sets the bytes that the body holds now.

        Raises:
            EndivespindleError: There is no memory for them.
        """
        held_bytes = max(0, body_bytes - _FREE_BYTES)
        self._memory.change(held_bytes - self._held_bytes)
        self._held_bytes = held_bytes
