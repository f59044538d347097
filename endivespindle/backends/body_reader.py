"""Reads the body of a response, whole or as events."""

import abc
from collections.abc import AsyncIterator, Sequence
from typing import Generic, TypeVar

import aiohttp

from endivespindle.backends.body_memory import BodyMemory
from endivespindle.backends.exchange import (
    BodyEnd,
    connection_lost_error,
    read_body,
    translate_read_errors,
)

__all__ = ["BodyReader", "EventParser"]

T = TypeVar("T")


class EventParser(abc.ABC, Generic[T]):
    """Incremental parser of the events in a body."""

    __slots__ = ()

    @property
    @abc.abstractmethod
    def buffered_bytes(self) -> int:
        """Returns the size of the partial event that is buffered."""

    @abc.abstractmethod
    def clear(self) -> None:
        """Discards the partial event that is buffered."""

    @abc.abstractmethod
    def feed(self, data: bytes) -> Sequence[T]:
        """Appends received bytes and returns the events they complete.

        Raises:
            BackendServerError: The bytes are not a valid event.
        """


class BodyReader:
    """Reads one body, within the memory that all bodies share.

    Args:
        resp: Response whose head was received.
        memory: Memory of the bodies being read.
    """

    __slots__ = ("_end", "_memory", "_resp")

    def __init__(self, resp: aiohttp.ClientResponse, *, memory: BodyMemory):
        self._resp = resp
        self._end = BodyEnd(resp)
        self._memory = memory

    async def read(self) -> bytes:
        """Returns the complete body.

        Raises:
            BackendServerError: It ended early or is too large.
        """
        with translate_read_errors(), self._memory.reserve() as reservation:
            body = await read_body(self._resp, reservation=reservation)
        self._end.check()
        return body

    async def read_events(self, parser: EventParser[T]) -> AsyncIterator[T]:
        """Yields the events as they arrive.

        Raises:
            BackendServerError: The stream ended early or is malformed.
        """
        chunks = self._resp.content.iter_any()
        try:
            with self._memory.reserve() as reservation:
                while True:
                    with translate_read_errors():
                        data = await anext(chunks, None)
                    if data is None:
                        break
                    events = parser.feed(data)
                    reservation.resize(parser.buffered_bytes)
                    for event in events:
                        yield event
            self._end.check()
            if parser.buffered_bytes:
                raise connection_lost_error("the stream ended within an event")
        except BaseException:
            # The traceback refers to it for as long as the error is kept.
            parser.clear()
            raise
