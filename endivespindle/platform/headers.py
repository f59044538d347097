"""Headers of requests and responses on the users' platform."""

from collections.abc import Iterable, Mapping

from endivespindle.backends.http_headers import end_to_end_headers
from endivespindle.core.decoding import parse_count, parse_figure
from endivespindle.runtime.request_metadata import RequestMetadata
from endivespindle.serving.calls import ResponseHead, ServerCall, ServerLoad
from endivespindle.serving.server_entry import ServerEntry

__all__ = [
    "REQUEST_ID_HEADER",
    "parse_request_metadata",
    "parse_response_head",
    "parse_response_id",
    "parse_weight_version",
    "refusal_headers",
    "request_headers",
]

REQUEST_ID_HEADER = "X-Request-Id"
_DEADLINE_MS = "X-Deadline-Ms"
_LAST_EVENT_ID = "Last-Event-Id"
_RESUMES = "Resumes"
_CLIENT_ACCOUNT = "X-Tenant"
_EXPECT_SERVER = "X-Expect-Instance"
_SIGNATURE = "X-Server-Stamp"
_LOAD = "X-Server-Load"
_NOT_RUN = "X-Not-Executed"
_LEAVING = "Server-Leaving"
_LIMIT = "Server-Limit"
_COLD_MS = "X-Cold-Ms"
_WEIGHT_VERSION = "X-Weight-Versions"
_REQUEST_PRIORITY = "X-Request-Priority"
_WAIT_MS = "X-Wait-Ms"
_RETRY_AFTER = "Retry-After"
_AUTHORIZATION = "Authorization"
_KEY_SCHEME = "bearer "
_MISDIRECTED = 421

# Set only by this system; values sent by a caller are dropped.
_SYSTEM_HEADERS = frozenset(
    name.lower()
    for name in (
        _AUTHORIZATION,
        _CLIENT_ACCOUNT,
        _DEADLINE_MS,
        _EXPECT_SERVER,
        _LAST_EVENT_ID,
        REQUEST_ID_HEADER,
        _REQUEST_PRIORITY,
    )
)


def parse_request_metadata(headers: Mapping[str, str]) -> RequestMetadata:
    """Parses the request metadata that a caller sends in headers."""
    key = headers.get(_AUTHORIZATION, "")
    if key[: len(_KEY_SCHEME)].lower() == _KEY_SCHEME:
        key = key[len(_KEY_SCHEME) :].strip()
    else:
        key = ""
    return RequestMetadata(
        request_id=headers.get(REQUEST_ID_HEADER, ""),
        key=key,
        deadline_s=_parse_ms_as_s(headers.get(_DEADLINE_MS)),
        wait_s=_parse_ms_as_s(headers.get(_WAIT_MS)),
        last_event_id=headers.get(_LAST_EVENT_ID),
        resumes=headers.get(_RESUMES),
    )


def request_headers(
    call: ServerCall, server: ServerEntry
) -> list[tuple[str, str]]:
    """Returns the headers of a request to a backend server."""
    headers = [
        (name, value)
        for name, value in end_to_end_headers(call.headers)
        if name.lower() not in _SYSTEM_HEADERS
    ]
    headers.append(("Host", call.host))
    headers.append((REQUEST_ID_HEADER, call.request_id))
    headers.append((_EXPECT_SERVER, server.name))
    if call.client_account:
        headers.append((_CLIENT_ACCOUNT, call.client_account))
    if call.deadline_s is not None:
        remaining_ms = max(1, int(call.deadline_s * 1000))
        headers.append((_DEADLINE_MS, str(remaining_ms)))
    if call.last_event_id is not None:
        headers.append((_LAST_EVENT_ID, call.last_event_id))
    if call.urgency is not None:
        headers.append((_REQUEST_PRIORITY, str(call.urgency)))
    return headers


def parse_response_head(
    status: int, headers: Mapping[str, str], pairs: Iterable[tuple[str, str]]
) -> ResponseHead:
    """Parses the head of a backend server's response."""
    return ResponseHead(
        status=status,
        headers=end_to_end_headers(pairs),
        not_run=_NOT_RUN in headers or status == _MISDIRECTED,
        signature=headers.get(_SIGNATURE, ""),
        weight_version=parse_weight_version(headers.get(_WEIGHT_VERSION)),
        load=_parse_load(headers.get(_LOAD)),
        # A response with this status comes from another server.
        leaving=headers.get(_LEAVING, "").strip() == "1"
        and status != _MISDIRECTED,
        limit_per_s=parse_figure(headers.get(_LIMIT)),
        cold_for_s=_parse_ms_as_s(headers.get(_COLD_MS)),
    )


def refusal_headers(
    request_id: str, retry_after_s: float | None
) -> dict[str, str]:
    """Returns the headers of an error response of this system."""
    headers = {REQUEST_ID_HEADER: request_id} if request_id else {}
    if retry_after_s is not None:
        headers[_RETRY_AFTER] = f"{retry_after_s:.2f}"
    return headers


def parse_response_id(headers: Iterable[tuple[str, str]]) -> str | None:
    """Returns the id of the request that a response answers.

    Servers repeat the id of a request in every response. One without it may be
    left over from an earlier exchange on the connection.

    Returns:
        The id; None if there is none, or if there are several.
    """
    name = REQUEST_ID_HEADER.lower()
    ids = {value for key, value in headers if key.lower() == name}
    return ids.pop() if len(ids) == 1 else None


def parse_weight_version(text: str | None) -> int | None:
    """Parses a weight version; None if it is missing or malformed."""
    return parse_count((text or "").strip())


def _parse_load(text: str | None) -> ServerLoad | None:
    """Parses `running,waiting,slots,percent`; None if malformed.

    The last figure is how long work takes there, where servers share VMs.
    """
    counts = [parse_count(part.strip()) for part in (text or "").split(",")]
    figures = [count for count in counts if count is not None]
    if len(counts) < 2 or len(figures) < len(counts):
        return None
    pace = figures[3] / 100 if len(figures) > 3 else None
    return ServerLoad(running=figures[0], waiting=figures[1], pace=pace or None)


def _parse_ms_as_s(text: str | None) -> float | None:
    """Converts milliseconds to seconds; None if missing or malformed."""
    value_ms = parse_figure(text)
    return value_ms / 1000 if value_ms is not None else None
