"""HTTP client of engines and plain services."""

from collections.abc import AsyncGenerator, AsyncIterator
from typing import Any, TypeVar

import aiohttp
import msgspec

from endivespindle.backends.exchange import (
    connection_lost_error,
    is_final_status,
    is_framed,
    mismatch_error,
    read_body,
    release_or_close,
    translate_send_errors,
)
from endivespindle.backends.interfaces import (
    Engine,
    PlainService,
    ServiceCall,
    ServiceResponse,
)
from endivespindle.backends.sessions import ConnectionCount
from endivespindle.core.decoding import decode_json
from endivespindle.core.reasons import Reason
from endivespindle.exceptions import BackendServerError
from endivespindle.routing.stream_validator import StreamValidator
from endivespindle.schema.generated.backend import (
    CacheEvents,
    EngineOrder,
    EngineOrderAnswer,
    GenerateChunk,
    GenerateRequest,
    LoadReport,
)
from endivespindle.schema.generated.caller import RunState
from endivespindle.schema.generated.register import BackendServer

__all__ = ["HttpBackends"]

_STATUS_CALL_TIMEOUT_S = 1.0
_READ_CHUNK_BYTES = 65_536
_MAX_LINE_BYTES = 1_048_576
_CONNECT_TIMEOUT_S = 2.0

T = TypeVar("T", bound=msgspec.Struct)


class HttpBackends(Engine, PlainService):
    """Calls backend servers with the system's own credentials.

    All request headers are built here; no header of a caller is copied.

    Each call to a plain service uses a connection of its own: aiohttp retries
    some methods by itself when a pooled connection turns out to be closed, and
    a pooled connection could still deliver the late response of an earlier
    call.

    Args:
        session: Pools connections; used for engines.
        single_use: Closes each connection after one exchange; used for plain
            services.
    """

    __slots__ = ("_session", "_single_use")

    def __init__(
        self,
        *,
        session: aiohttp.ClientSession,
        single_use: aiohttp.ClientSession,
    ):
        self._session = session
        self._single_use = single_use

    async def generate(
        self, server: BackendServer, req: GenerateRequest, *, timeout_s: float
    ) -> AsyncGenerator[GenerateChunk, None]:
        """Streams chunks up to and including the one marked done."""
        check = StreamValidator(
            request_id=req.request_id, offset=req.resume_tokens
        )
        async with _exchange(
            self._session,
            server,
            "POST",
            "/v1/generate",
            request_id=req.request_id,
            data=msgspec.json.encode(req),
            timeout_s=timeout_s,
        ) as resp:
            if resp.status != 200:
                raise _status_error(resp.status)
            async for line in _read_lines(resp):
                chunk = _decode(line, GenerateChunk)
                check.validate_chunk(chunk)
                yield chunk
                if check.done:
                    return
            check.finish()

    async def load(self, server: BackendServer) -> LoadReport:
        """Returns the engine's load report; its figures are some time old."""
        body = await self._fetch(server, "/v1/load")
        return _decode(body, LoadReport)

    async def cache_events(
        self, server: BackendServer, *, after: int
    ) -> CacheEvents:
        """Returns cache events after a sequence number; there may be gaps."""
        body = await self._fetch(server, f"/v1/cache-events?after={after}")
        return _decode(body, CacheEvents)

    async def order(
        self, server: BackendServer, order: EngineOrder, *, timeout_s: float
    ) -> EngineOrderAnswer:
        """Sends an order; the response does not prove that it was executed."""
        async with _exchange(
            self._session,
            server,
            "POST",
            "/v1/orders",
            request_id=order.order_id,
            data=msgspec.json.encode(order),
            timeout_s=timeout_s,
        ) as resp:
            if resp.status != 200:
                raise _status_error(resp.status)
            body = await read_body(resp)
        return _decode(body, EngineOrderAnswer)

    async def call(
        self, server: BackendServer, call: ServiceCall, *, max_bytes: int
    ) -> ServiceResponse:
        """Makes one call, which the HTTP library never retries."""
        async with _exchange(
            self._single_use,
            server,
            call.method,
            call.path,
            request_id=call.request_id,
            data=call.body,
            content_type=call.content_type,
            timeout_s=call.timeout_s,
        ) as resp:
            if not is_framed(resp):
                raise connection_lost_error(
                    "the end of the response body is not marked"
                )
            if not is_final_status(resp.status):
                raise mismatch_error()
            body = await read_body(resp, max_bytes=max_bytes)
            response_request_id = resp.headers.get(
                "X-Request-Id", call.request_id
            )
            if response_request_id != call.request_id:
                raise BackendServerError(
                    "the response has the id of another request",
                    ran=RunState.UNKNOWN,
                    reason=Reason.ANSWER_MISMATCH,
                )
            return ServiceResponse(
                status=resp.status,
                content_type=resp.headers.get("Content-Type", ""),
                body=body,
            )

    async def _fetch(self, server: BackendServer, path: str) -> bytes:
        async with _exchange(
            self._session,
            server,
            "GET",
            path,
            request_id="status",
            timeout_s=_STATUS_CALL_TIMEOUT_S,
        ) as resp:
            if resp.status != 200:
                raise _status_error(resp.status)
            return await read_body(resp)


class _exchange:  # noqa: N801
    """One HTTP exchange; its errors state whether the call may have run.

    The connection is closed instead of pooled if the exchange ends early.
    """

    __slots__ = ("_request_kwargs", "_resp", "_session", "_timeout_s", "_url")

    def __init__(
        self,
        session: aiohttp.ClientSession,
        server: BackendServer,
        method: str,
        path: str,
        *,
        request_id: str,
        timeout_s: float,
        content_type: str = "application/json",
        data: bytes | None = None,
    ):
        self._session = session
        self._url = server.address + path
        self._timeout_s = timeout_s
        headers = {
            "X-Request-Id": request_id,
            "Authorization": f"Bearer {server.credential}",
        }
        if data is not None:
            headers["Content-Type"] = content_type
        self._request_kwargs: dict[str, Any] = {
            "method": method,
            "headers": headers,
            "data": data,
            "trace_request_ctx": ConnectionCount(),
        }
        self._resp: aiohttp.ClientResponse | None = None

    async def __aenter__(self) -> aiohttp.ClientResponse:
        timeout = aiohttp.ClientTimeout(
            total=self._timeout_s,
            sock_connect=min(self._timeout_s, _CONNECT_TIMEOUT_S),
        )
        with translate_send_errors():
            self._resp = await self._session.request(
                url=self._url,
                timeout=timeout,
                allow_redirects=False,
                **self._request_kwargs,
            )
        return self._resp

    async def __aexit__(
        self, exc_type: type | None, exc: BaseException | None, tb: object
    ) -> None:
        assert self._resp is not None
        if exc is None:
            release_or_close(self._resp)
        else:
            self._resp.close()
        if isinstance(exc, (TimeoutError, aiohttp.ClientError, OSError)):
            raise connection_lost_error(repr(exc)) from exc


async def _read_lines(resp: aiohttp.ClientResponse) -> AsyncIterator[bytes]:
    """Yields the non-empty lines of a body as they arrive."""
    remainder = b""
    async for chunk in resp.content.iter_any():
        *lines, remainder = (remainder + chunk).split(b"\n")
        if len(remainder) > _MAX_LINE_BYTES:
            raise connection_lost_error("an unterminated line is too long")
        for line in lines:
            if line:
                yield line


def _decode(body: bytes, cls: type[T]) -> T:
    try:
        return decode_json(body, type=cls)
    except msgspec.DecodeError as exc:
        raise connection_lost_error(f"malformed response: {exc}") from exc


def _status_error(status: int) -> BackendServerError:
    return BackendServerError(
        f"status {status}", ran=RunState.RAN, reason=Reason.BACKEND_FAILED
    )
