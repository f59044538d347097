"""What all exchanges with backend servers have in common."""

import contextlib
from collections.abc import Iterator

import aiohttp

from endivespindle.core.reasons import Reason
from endivespindle.exceptions import BackendServerError
from endivespindle.schema.generated.caller import RunState

__all__ = [
    "release_or_close",
    "is_framed",
    "connection_lost_error",
    "translate_read_errors",
    "translate_send_errors",
]

_STATUSES_WITHOUT_BODY = (204, 304)


def connection_lost_error(message: str) -> BackendServerError:
    """Returns the error of an exchange that broke off: it may have run."""
    return BackendServerError(
        message, ran=RunState.UNKNOWN, reason=Reason.BACKEND_LOST
    )


@contextlib.contextmanager
def translate_send_errors() -> Iterator[None]:
    """Translates the library's errors until the head of an answer is in.

    Raises:
        BackendServerError: The request did not run if no connection was
            made, and may have run otherwise.
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
    except (TimeoutError, aiohttp.ClientError, OSError) as exc:
        raise connection_lost_error(repr(exc)) from exc


@contextlib.contextmanager
def translate_read_errors() -> Iterator[None]:
    """Translates the library's errors while a body is read.

    Raises:
        BackendServerError: The answer broke off.
    """
    try:
        yield
    except (TimeoutError, aiohttp.ClientError, OSError) as exc:
        raise connection_lost_error(repr(exc)) from exc


def release_or_close(resp: aiohttp.ClientResponse) -> None:
    """Keeps a connection whose answer was read whole, and closes any other."""
    if resp.content.at_eof() and resp.content.exception() is None:
        resp.release()
    else:
        resp.close()


def is_framed(resp: aiohttp.ClientResponse) -> bool:
    """Tells whether the end of a body is marked in the answer itself."""
    bare = resp.method == "HEAD" or resp.status in _STATUSES_WITHOUT_BODY
    coding = resp.headers.get("Transfer-Encoding", "").lower()
    return bare or resp.content_length is not None or "chunked" in coding
