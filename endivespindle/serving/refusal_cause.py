"""Why a backend server did not run a request."""

import enum
import http

from endivespindle.serving.calls import ResponseHead

__all__ = ["RefusalCause", "refusal_cause"]


class RefusalCause(enum.StrEnum):
    """Cause of a response that a request was not run.

    Attributes:
        OTHER_SERVER: The address belongs to another server or incarnation.
        LEAVING: The server shuts down.
        LIMITED: The server gets more requests than it accepts.
        FULL: All its slots are in use.
        LOADING: It has free slots, so it loads weights, or its deadline for
            the request had passed.
        UNKNOWN: It reported no load, or an unexpected status.
    """

    OTHER_SERVER = "other_server"
    LEAVING = "leaving"
    LIMITED = "limited"
    FULL = "full"
    LOADING = "loading"
    UNKNOWN = "unknown"


def refusal_cause(head: ResponseHead, *, slots: int) -> RefusalCause:
    """Returns the likely cause of a response that says "not run".

    Servers do not name it; status, announcements and reported load tell it.

    Args:
        head: The response.
        slots: Maximum number of concurrent requests of the server.
    """
    if head.status == http.HTTPStatus.MISDIRECTED_REQUEST:
        return RefusalCause.OTHER_SERVER
    if head.leaving:
        return RefusalCause.LEAVING
    if head.status == http.HTTPStatus.TOO_MANY_REQUESTS:
        return RefusalCause.LIMITED
    if head.status != http.HTTPStatus.SERVICE_UNAVAILABLE or head.load is None:
        return RefusalCause.UNKNOWN
    if head.load.running >= slots:
        return RefusalCause.FULL
    return RefusalCause.LOADING
