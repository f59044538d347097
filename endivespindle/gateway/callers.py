"""Keys, bodies and deadlines of callers' requests."""

import asyncio
from typing import TypeVar

import msgspec
from aiohttp import web

from endivespindle.core.decoding import decode_json
from endivespindle.core.reasons import Reason
from endivespindle.exceptions import RefusedError
from endivespindle.node.context import NodeContext
from endivespindle.schema.generated.stored import KeyRecord

__all__ = [
    "KEY_CHECK_INTERVAL_S",
    "KEY_REASONS",
    "Caller",
    "decode_body",
    "read_body",
    "read_timeout_s",
    "resolve_caller",
    "resolve_key",
]

T = TypeVar("T")

KEY_CHECK_INTERVAL_S = 0.5
KEY_REASONS = (Reason.KEY_WITHDRAWN, Reason.KEY_UNCONFIRMED)

_BEARER = "Bearer "
_DEADLINE_HEADER = "X-Deadline-Seconds"
_MAX_DEADLINE_S = 1e6


class Caller:
    """For whom a request runs, and whether it still may.

    Args:
        ctx: Shared state of the VM.
        record: Record of the key shown; None on an open route.
        limit_s: Seconds without news of keys after which to refuse.
    """

    __slots__ = ("_ctx", "_limit_s", "_record")

    def __init__(
        self, *, ctx: NodeContext, record: KeyRecord | None, limit_s: float
    ):
        self._ctx = ctx
        self._record = record
        self._limit_s = limit_s

    @property
    def client_account(self) -> str | None:
        """The client account; None on an open route."""
        return self._record.client_account if self._record else None

    def check(self) -> None:
        """Refuses if the key works no longer.

        Raises:
            RefusedError: It was withdrawn, granted anew, or cannot be
                confirmed.
        """
        if self._record is not None:
            self._ctx.keys.check(self._record, max_unconfirmed_s=self._limit_s)


def resolve_caller(
    ctx: NodeContext, req: web.Request, *, max_unconfirmed_s: float = 0.0
) -> Caller:
    """Returns the caller whose key a request shows.

    Raises:
        RefusedError: The key does not work.
    """
    limit_s = max_unconfirmed_s or ctx.settings.keys.max_unconfirmed_s
    record = ctx.keys.resolve(_shown_key(req), max_unconfirmed_s=limit_s)
    return Caller(ctx=ctx, record=record, limit_s=limit_s)


def resolve_key(
    ctx: NodeContext, req: web.Request, *, max_unconfirmed_s: float = 0.0
) -> KeyRecord:
    """Returns the record of the key that a request shows.

    Raises:
        RefusedError: The key does not work.
    """
    limit_s = max_unconfirmed_s or ctx.settings.keys.max_unconfirmed_s
    return ctx.keys.resolve(_shown_key(req), max_unconfirmed_s=limit_s)


def refuse_exposed_key(ctx: NodeContext, req: web.Request, body: bytes) -> None:
    """Refuses a request that would carry a key to a backend server.

    Raises:
        RefusedError: The key stands in the address, a forwarded header or
            the body, or a tenant key stands among the query's values.
    """
    key = _shown_key(req)
    forwarded = (req.path, req.content_type, *req.query, *req.query.values())
    exposed = bool(key) and (
        key.encode() in body or any(key in text for text in forwarded)
    )
    if exposed or any(
        ctx.keys.is_known_key(text) for text in req.query.values()
    ):
        raise RefusedError(Reason.KEY_EXPOSED)


async def read_body(ctx: NodeContext, req: web.Request) -> bytes:
    """Returns a request's body, within the limits of size and time.

    Raises:
        RefusedError: It is too large, too slow, or holds the key.
    """
    limit = ctx.settings.limits.max_body_bytes
    if (req.content_length or 0) > limit:
        raise RefusedError(Reason.BODY_TOO_LARGE)
    try:
        async with asyncio.timeout(read_timeout_s(ctx, req)):
            body = await req.read()
    except web.HTTPRequestEntityTooLarge as exc:
        raise RefusedError(Reason.BODY_TOO_LARGE) from exc
    except TimeoutError as exc:
        raise RefusedError(Reason.DEADLINE_NOT_RUN) from exc
    refuse_exposed_key(ctx, req, body)
    return body


def decode_body(body: bytes, cls: type[T]) -> T:
    """Returns a body as its message class.

    Raises:
        RefusedError: It is malformed.
    """
    try:
        return decode_json(body, type=cls)
    except msgspec.DecodeError as exc:
        raise RefusedError(Reason.MALFORMED, str(exc)) from exc


def read_timeout_s(ctx: NodeContext, req: web.Request) -> float:
    """Returns the seconds that a request may take.

    Raises:
        RefusedError: The header is malformed.
    """
    default_s = ctx.settings.limits.default_deadline_s
    text = req.headers.get(_DEADLINE_HEADER)
    if text is None:
        return default_s
    try:
        asked_s = float(text)
    except ValueError as exc:
        raise RefusedError(Reason.MALFORMED, _DEADLINE_HEADER) from exc
    if not 0 < asked_s < _MAX_DEADLINE_S:
        raise RefusedError(Reason.MALFORMED, _DEADLINE_HEADER)
    return min(asked_s, default_s)


def _shown_key(req: web.Request) -> str:
    header = req.headers.get("Authorization", "")
    if not header.startswith(_BEARER):
        return ""
    return header.removeprefix(_BEARER).strip()
