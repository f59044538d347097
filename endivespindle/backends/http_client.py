"""Engines and plain services over HTTP."""

from collections.abc import AsyncGenerator, AsyncIterator
from typing import Any, TypeVar

import aiohttp
import msgspec

from endivespindle.backends.exchange import (
    end_exchange,
    is_framed,
    lost,
    sending_errors,
)
from endivespindle.backends.interfaces import (
    Engine,
    PlainService,
    ServiceAnswer,
    ServiceCall,
)
from endivespindle.backends.sessions import ConnectionCount
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
_READ_BYTES = 65_536
_MAX_LINE_BYTES = 1_048_576
_CONNECT_TIMEOUT_S = 2.0

T = TypeVar("T", bound=msgspec.Struct)


class HttpBackends(Engine, PlainService):
    """Speaks to backend servers with the system's own credentials.

    Headers are built here from nothing: no caller's header is ever copied.

    Calls to plain services go over connections that serve one exchange: the
    library repeats some methods by itself when a pooled connection turns out
    closed, and a pooled connection could hold an earlier call's late answer.

    Args:
        session: Pools connections; for engines.
        single_use: Closes each connection after one exchange.
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
        """Streams chunks until the one marked done."""
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
                raise _failed(resp.status)
            async for line in _lines(resp):
                chunk = _decode(line, GenerateChunk)
                check.validate_chunk(chunk)
                yield chunk
                if check.done:
                    return
            check.finish()

    async def load(self, server: BackendServer) -> LoadReport:
        """Returns the engine's load, as of some time ago."""
        body = await self._fetch(server, "/v1/load")
        return _decode(body, LoadReport)

    async def cache_events(
        self, server: BackendServer, *, after: int
    ) -> CacheEvents:
        """Returns cache events after a sequence, with gaps."""
        body = await self._fetch(server, f"/v1/cache-events?after={after}")
        return _decode(body, CacheEvents)

    async def order(
        self, server: BackendServer, order: EngineOrder, *, timeout_s: float
    ) -> EngineOrderAnswer:
        """Sends an order; the answer is no proof that it was carried out."""
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
                raise _failed(resp.status)
            body = await _read(resp)
        return _decode(body, EngineOrderAnswer)

    async def call(
        self, server: BackendServer, call: ServiceCall, *, max_bytes: int
    ) -> ServiceAnswer:
        """Makes one call, never repeated by the library underneath."""
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
                raise lost("the answer's end is not marked")
            body = await _read(resp, max_bytes=max_bytes)
            answered = resp.headers.get("X-Request-Id", call.request_id)
            if answered != call.request_id:
                raise BackendServerError(
                    "the answer names another request",
                    ran=RunState.UNKNOWN,
                    reason=Reason.ANSWER_MISMATCH,
                )
            return ServiceAnswer(
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
                raise _failed(resp.status)
            return await _read(resp)


class _exchange:  # noqa: N801
    """One HTTP exchange whose failures say whether the call can have run.

    The connection is closed, not pooled, if the exchange ends early.
    """

    __slots__ = ("_args", "_resp", "_session", "_timeout_s", "_url")

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
        self._args: dict[str, Any] = {
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
        with sending_errors():
            self._resp = await self._session.request(
                url=self._url,
                timeout=timeout,
                allow_redirects=False,
                **self._args,
            )
        return self._resp

    async def __aexit__(
        self, exc_type: type | None, exc: BaseException | None, tb: object
    ) -> None:
        assert self._resp is not None
        if exc is None:
            end_exchange(self._resp)
        else:
            self._resp.close()
        if isinstance(exc, (TimeoutError, aiohttp.ClientError, OSError)):
            raise lost(repr(exc)) from exc


async def _read(
    resp: aiohttp.ClientResponse, *, max_bytes: int = 8 * 1_048_576
) -> bytes:
    """Reads a whole body; a short one is an error of the library."""
    parts: list[bytes] = []
    size = 0
    async for part in resp.content.iter_chunked(_READ_BYTES):
        size += len(part)
        if size > max_bytes:
            raise BackendServerError(
                "the answer is too large",
                ran=RunState.RAN,
                reason=Reason.ANSWER_TOO_LARGE,
            )
        parts.append(part)
    return b"".join(parts)


async def _lines(resp: aiohttp.ClientResponse) -> AsyncIterator[bytes]:
    """Yields the lines of a body as they come."""
    rest = b""
    async for part in resp.content.iter_any():
        *lines, rest = (rest + part).split(b"\n")
        if len(rest) > _MAX_LINE_BYTES:
            raise lost("a line without an end")
        for line in lines:
            if line:
                yield line


def _decode(body: bytes, cls: type[T]) -> T:
    try:
        return msgspec.json.decode(body, type=cls)
    except msgspec.DecodeError as exc:
        raise lost(f"malformed answer: {exc}") from exc


def _failed(status: int) -> BackendServerError:
    return BackendServerError(
        f"status {status}", ran=RunState.RAN, reason=Reason.BACKEND_FAILED
    )
