"""Requests and replies between entry VMs over pynng."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
import pynng
import structlog

from endivespindle.core.decoding import decode_msgpack
from endivespindle.exceptions import MessageError, PeerError
from endivespindle.peers.envelope import EnvelopeOpener, EnvelopeSealer
from endivespindle.peers.tasks import end_tasks
from endivespindle.schema.generated.peer import Envelope, PeerReply

__all__ = ["PeerChannel", "PeerServer"]

_WORKERS = 8
_MAX_MESSAGE_BYTES = 16 * 1_048_576

_log = structlog.get_logger(__name__)

PeerHandler = Callable[[Envelope], Awaitable[PeerReply]]


class PeerServer:
    """Serves requests of peers with a fixed number of worker tasks.

    Each worker processes one request at a time.

    Args:
        host: IP address to bind.
        port: TCP port; 0 selects a free one.
        opener: Authenticates the requests.
        sealer: Signs the replies.
        handler: Handles an authenticated request.
        on_refused: Called with the reason of each refused message.
    """

    __slots__ = (
        "_address",
        "_contexts",
        "_handler",
        "_on_refused",
        "_opener",
        "_sealer",
        "_socket",
        "_tasks",
        "port",
    )

    def __init__(
        self,
        *,
        host: str,
        port: int,
        opener: EnvelopeOpener,
        sealer: EnvelopeSealer,
        handler: PeerHandler,
        on_refused: Callable[[str], None],
    ):
        self._address = f"tcp://{host}:{port}"
        self._opener = opener
        self._sealer = sealer
        self._handler = handler
        self._on_refused = on_refused
        self._socket: Any = None
        self._contexts: list[Any] = []
        self._tasks: list[asyncio.Task[None]] = []
        self.port = port

    async def start(self) -> None:
        """Binds the socket and starts the workers."""
        self._socket = pynng.Rep0(recv_max_size=_MAX_MESSAGE_BYTES)
        self._socket.listen(self._address)
        listener = self._socket.listeners[0]
        self.port = int(str(listener.local_address).rpartition(":")[2])
        self._tasks = [
            asyncio.create_task(self._serve()) for _ in range(_WORKERS)
        ]

    async def stop(self) -> None:
        """Stops the workers and closes the socket."""
        await end_tasks(self._tasks)
        for context in self._contexts:
            context.close()
        if self._socket is not None:
            self._socket.close()

    async def _serve(self) -> None:
        context = self._socket.new_context()
        self._contexts.append(context)
        try:
            while True:
                data = await context.arecv()
                reply = await self._answer(data)
                await context.asend(reply)
        except pynng.Closed:
            return

    async def _answer(self, data: bytes) -> bytes:
        try:
            envelope = self._opener.open(data)
        except MessageError as exc:
            self._on_refused(str(exc))
            return b""
        try:
            reply = await self._handler(envelope)
        except Exception as exc:  # noqa: BLE001
            _log.warning("peer_handler_failed", error=repr(exc))
            reply = PeerReply(ok=False, reason="internal", body=b"")
        return self._sealer.seal(
            kind="reply",
            receiver=envelope.sender,
            body=msgspec.msgpack.encode(reply),
            answers=f"{envelope.incarnation}/{envelope.sequence}",
        )


class PeerChannel:
    """Connection for calls to one peer.

    Args:
        peer: Name of the peer.
        host: IP address of the peer.
        port: Port for peer messages.
        sealer: Signs the requests.
        opener: Authenticates the replies.
        timeout_s: Timeout of a call, in seconds.
    """

    __slots__ = ("_opener", "_peer", "_sealer", "_socket", "_timeout_s")

    def __init__(
        self,
        *,
        peer: str,
        host: str,
        port: int,
        sealer: EnvelopeSealer,
        opener: EnvelopeOpener,
        timeout_s: float,
    ):
        self._peer = peer
        self._sealer = sealer
        self._opener = opener
        self._timeout_s = timeout_s
        self._socket = pynng.Req0(
            recv_max_size=_MAX_MESSAGE_BYTES,
            resend_time=-1,
            reconnect_time_min=100,
            reconnect_time_max=1000,
        )
        self._socket.dial(f"tcp://{host}:{port}", block=False)

    async def call(self, message: msgspec.Struct) -> PeerReply:
        """Sends a message and returns the reply.

        Raises:
            PeerError: There was no valid reply within the timeout.
        """
        data = self._sealer.seal(
            kind=type(message).__name__,
            receiver=self._peer,
            body=msgspec.msgpack.encode(message),
        )
        request_id = self._sealer.last_request_id
        context = self._socket.new_context()
        try:
            async with asyncio.timeout(self._timeout_s):
                await context.asend(data)
                response = await context.arecv()
            envelope = self._opener.open(response, answers=request_id)
            if envelope.sender != self._peer:
                raise MessageError("foreign")
            return decode_msgpack(envelope.body, type=PeerReply)
        except (TimeoutError, pynng.NNGException, MessageError) as exc:
            raise PeerError(f"{self._peer}: {exc!r}") from exc
        except msgspec.DecodeError as exc:
            raise PeerError(f"{self._peer}: malformed reply") from exc
        finally:
            with contextlib.suppress(pynng.Closed):
                context.close()
            _raise_if_cancelled()

    def close(self) -> None:
        """Closes the connection."""
        self._socket.close()


def _raise_if_cancelled() -> None:
    """Raises a cancellation that pynng dropped or converted."""
    task = asyncio.current_task()
    if task is not None and task.cancelling():
        raise asyncio.CancelledError
