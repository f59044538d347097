"""Error translation and connection reuse for backend server exchanges."""

import contextlib
from collections.abc import Iterator

import aiohttp

from endivespindle.core.reasons import Reason
from endivespindle.exceptions import BackendServerError
from endivespindle.schema.generated.caller import RunState

__all__ = [
    "connection_lost_error",
    "is_framed",
    "mismatch_error",
    "read_body",
    "release_or_close",
    "silent_error",
    "translate_read_errors",
    "translate_send_errors",
]

_STATUSES_WITHOUT_BODY = (204, 304)
# Size beyond which a body is abandoned: a faulty server may send bytes without
# end, and the smallest VMs have 150 MB.
_MAX_BODY_BYTES = 8 * 1_048_576


def connection_lost_error(message: str) -> BackendServerError:
    """Returns the error of a lost connection; the outcome is unknown."""
    return BackendServerError(
        message, ran=RunState.UNKNOWN, reason=Reason.BACKEND_LOST
    )


def mismatch_error() -> BackendServerError:
    """Returns the error of a response that does not answer its request."""
    return BackendServerError(
        "the response does not have the id of the request",
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


async def read_body(
    resp: aiohttp.ClientResponse, *, max_bytes: int = _MAX_BODY_BYTES
) -> bytes:
    """Reads a complete body; aiohttp raises an error for a truncated one.

    Args:
        resp: Response whose head was received.
        max_bytes: Size beyond which the body is abandoned.

    Raises:
        BackendServerError: The body is too large.
    """
    chunks: list[bytes] = []
    size = 0
    async for chunk in resp.content.iter_any():
        size += len(chunk)
        if size > max_bytes:
            raise BackendServerError(
                "the response is too large",
                ran=RunState.RAN,
                reason=Reason.ANSWER_TOO_LARGE,
            )
        chunks.append(chunk)
    return b"".join(chunks)


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
