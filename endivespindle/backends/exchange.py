"""Error translation and connection reuse for backend server exchanges."""

import asyncio
import contextlib
from collections.abc import Iterator, Sequence

import aiohttp
import yarl

from endivespindle.backends.body_memory import BodyReservation
from endivespindle.backends.sessions import ConnectionCount
from endivespindle.core.reasons import Reason
from endivespindle.exceptions import BackendServerError
from endivespindle.schema.generated.caller import RunState

__all__ = [
    "MAX_BODY_BYTES",
    "SILENCE_TIMEOUT_S",
    "BodyEnd",
    "check_body_size",
    "connection_lost_error",
    "is_final_status",
    "is_framed",
    "mismatch_error",
    "read_body",
    "release_or_close",
    "send_request",
    "silent_error",
    "translate_read_errors",
    "translate_send_errors",
]

_STATUSES_WITHOUT_BODY = (204, 304)
# Size beyond which a body is abandoned: a faulty server may send bytes without
# end, and the smallest VMs have 150 MB.
MAX_BODY_BYTES = 8 * 1_048_576
# A server that does not accept a connection within this time is gone or
# partitioned: the round trip within a region is a few milliseconds.
_CONNECT_TIMEOUT_S = 0.6
# A server that sends no data for this long is considered unresponsive, if
# another one may go on with the request. The longest pause in a healthy stream
# is a weight swap: 0.9 s, and more while several servers load weights.
SILENCE_TIMEOUT_S = 4.0
# Bytes of a request body that are written at once.
_PIECE_BYTES = 262_144
_SKIPPED_AUTO_HEADERS = (
    "User-Agent",
    "Accept",
    "Accept-Encoding",
    "Content-Type",
)


def connection_lost_error(message: str) -> BackendServerError:
    """Returns the error of a lost connection; the outcome is unknown."""
    return BackendServerError(
        message, ran=RunState.UNKNOWN, reason=Reason.BACKEND_LOST
    )


def mismatch_error() -> BackendServerError:
    """Returns the error of a response that does not answer its request."""
    return BackendServerError(
        "the response has no id of the request, no signature, or no status "
        "of a final response",
        ran=RunState.UNKNOWN,
        reason=Reason.ANSWER_MISMATCH,
    )


def silent_error(exc: Exception) -> BackendServerError:
    """Returns the error of a response that did not come in time."""
    return BackendServerError(
        repr(exc), ran=RunState.UNKNOWN, reason=Reason.BACKEND_SILENT
    )


@contextlib.contextmanager
def translate_send_errors() -> Iterator[None]:
    """Translates aiohttp errors until the response head is received.

    Raises:
        BackendServerError: `ran` is NOT_RUN if no connection was established,
            UNKNOWN otherwise. The reason tells a connection that ended from a
            server that is silent.
    """
    try:
        yield
    except (
        aiohttp.ClientConnectorError,
        aiohttp.ConnectionTimeoutError,
    ) as exc:
        raise BackendServerError(
            f"unreachable: {exc!r}",
            ran=RunState.NOT_RUN,
            reason=Reason.BACKEND_UNREACHABLE,
        ) from exc
    except TimeoutError as exc:
        raise silent_error(exc) from exc
    except (aiohttp.ClientError, OSError) as exc:
        raise connection_lost_error(repr(exc)) from exc


@contextlib.contextmanager
def translate_read_errors() -> Iterator[None]:
    """Translates aiohttp errors while a response body is read.

    Raises:
        BackendServerError: The response ended early.
    """
    try:
        yield
    except TimeoutError as exc:
        raise silent_error(exc) from exc
    except (aiohttp.ClientError, OSError) as exc:
        raise connection_lost_error(repr(exc)) from exc


class _LargeBody(aiohttp.payload.Payload):
    """A request body that is written in pieces.

    Written at once, all that the connection does not take is copied into its
    buffer.
    """

    _autoclose = True

    def __init__(self, body: bytes):
        super().__init__(body, content_type="application/octet-stream")
        self._size = len(body)

    def decode(self, encoding: str = "utf-8", errors: str = "strict") -> str:
        return self._value.decode(encoding, errors)

    async def write(self, writer: aiohttp.abc.AbstractStreamWriter) -> None:
        await self.write_with_length(writer, None)

    async def write_with_length(
        self,
        writer: aiohttp.abc.AbstractStreamWriter,
        content_length: int | None,
    ) -> None:
        view = memoryview(self._value)[:content_length]
        for start in range(0, len(view), _PIECE_BYTES):
            await writer.write(view[start : start + _PIECE_BYTES])


async def send_request(
    session: aiohttp.ClientSession,
    method: str,
    url: yarl.URL,
    *,
    headers: Sequence[tuple[str, str]],
    body: bytes,
    timeout_s: float | None,
    connect_timeout_s: float | None = None,
    may_wait: bool = False,
) -> aiohttp.ClientResponse:
    """Sends a request as it is, and returns the head of the response.

    Args:
        session: Session whose connections are used.
        method: HTTP method.
        url: Encoded URL.
        headers: All headers.
        body: Request body; empty for none.
        timeout_s: Timeout of the complete exchange, in seconds.
        connect_timeout_s: Seconds within which a connection must be accepted;
            None for the default.
        may_wait: Whether a silent server is waited for until the timeout. A
            connection that is lost without notice ends by its probes.

    Raises:
        BackendServerError: No response; `ran` tells whether it was sent.
    """
    with translate_send_errors():
        return await session.request(
            method,
            url,
            headers=headers,
            data=_LargeBody(body) if len(body) > _PIECE_BYTES else body or None,
            skip_auto_headers=_SKIPPED_AUTO_HEADERS,
            allow_redirects=False,
            timeout=aiohttp.ClientTimeout(
                total=timeout_s,
                sock_connect=connect_timeout_s or _CONNECT_TIMEOUT_S,
                sock_read=None if may_wait else SILENCE_TIMEOUT_S,
            ),
            trace_request_ctx=ConnectionCount(),
        )


class BodyEnd:
    """Tells whether a body without a length ended with a clean close.

    aiohttp treats a connection reset as the end of such a body.

    Args:
        resp: Response whose head was received.
    """

    __slots__ = ("_closed", "_is_framed")

    def __init__(self, resp: aiohttp.ClientResponse):
        self._is_framed = is_framed(resp)
        self._closed: asyncio.Future[None] | None = None
        # The connection of a complete response has been released already.
        if not self._is_framed and resp.connection is not None:
            protocol = resp.connection.protocol
            self._closed = protocol.closed if protocol is not None else None

    def check(self) -> None:
        """Checks the end of a body that was read.

        Raises:
            BackendServerError: The body may be incomplete.
        """
        if self._is_framed:
            return
        if self._closed is None or not self._closed.done():
            raise connection_lost_error(
                "the end of the response body is unknown"
            )
        if self._closed.exception() is not None:
            raise connection_lost_error(
                "the connection was reset within the response"
            )


async def read_body(
    resp: aiohttp.ClientResponse,
    *,
    max_bytes: int = MAX_BODY_BYTES,
    reservation: BodyReservation | None = None,
) -> bytes:
    """Reads a complete body; aiohttp raises an error for a truncated one.

    Args:
        resp: Response whose head was received.
        max_bytes: Size beyond which the body is abandoned.
        reservation: Memory of the body; None if it shares none.

    Raises:
        BackendServerError: The body is too large.
    """
    body = bytearray()
    try:
        async for chunk in resp.content.iter_any():
            check_body_size(len(body) + len(chunk), max_bytes=max_bytes)
            if reservation is not None:
                reservation.resize(len(body) + len(chunk))
            body += chunk
    except BaseException:
        # The traceback refers to them for as long as the error is kept.
        body.clear()
        chunk = b""
        raise
    return bytes(body)


def check_body_size(body_bytes: int, *, max_bytes: int) -> None:
    """Checks that a body does not exceed its largest size.

    Raises:
        BackendServerError: The body is too large.
    """
    if body_bytes > max_bytes:
        raise BackendServerError(
            "the response is too large",
            ran=RunState.RAN,
            reason=Reason.ANSWER_TOO_LARGE,
        )


def release_or_close(resp: aiohttp.ClientResponse) -> None:
    """Releases the connection after a complete response, else closes it."""
    if resp.content.at_eof() and resp.content.exception() is None:
        resp.release()
    else:
        resp.close()


def is_framed(resp: aiohttp.ClientResponse) -> bool:
    """Returns whether the response itself marks the end of its body."""
    has_no_body = resp.method == "HEAD" or resp.status in _STATUSES_WITHOUT_BODY
    transfer_encoding = resp.headers.get("Transfer-Encoding", "").lower()
    return (
        has_no_body
        or resp.content_length is not None
        or "chunked" in transfer_encoding
    )


def is_final_status(status: int) -> bool:
    """Returns whether HTTP has a status for final responses.

    The parser accepts any three digits, and takes 101 for the last response.
    """
    return 200 <= status <= 599
