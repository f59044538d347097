"""Typed JSON bodies for every refusal and failure."""

import math

import msgspec
from aiohttp import web

from endivespindle.exceptions import RefusedError
from endivespindle.schema.generated.caller import ErrorBody, ErrorDetail

__all__ = ["REQUEST_ID", "error_body", "error_response", "json_response"]

REQUEST_ID = web.RequestKey("request_id", str)


def json_response(value: object, *, status: int = 200) -> web.Response:
    """Returns a value as a JSON answer."""
    return web.Response(
        body=msgspec.json.encode(value),
        status=status,
        content_type="application/json",
    )


def error_body(exc: RefusedError, *, request_id: str) -> ErrorBody:
    """Returns the body that tells a caller why a request failed."""
    return ErrorBody(
        error=ErrorDetail(
            reason=exc.reason.code,
            message=str(exc),
            request_id=request_id,
            ran=exc.ran,
            retry_after_s=exc.retry_after_s,
        )
    )


def error_response(exc: RefusedError, *, request_id: str) -> web.Response:
    """Returns the answer that tells a caller why a request failed."""
    resp = json_response(
        error_body(exc, request_id=request_id), status=exc.reason.status
    )
    resp.headers["X-Request-Id"] = request_id
    if exc.retry_after_s is not None:
        resp.headers["Retry-After"] = str(math.ceil(exc.retry_after_s))
    return resp
