"""HTTP client over real sockets, against a faulty server."""

import asyncio
import contextlib

import pytest

from endivespindle.backends.http_client import HttpBackends
from endivespindle.backends.interfaces import ServiceCall
from endivespindle.backends.sessions import (
    open_session,
    open_single_use_session,
)
from endivespindle.core.reasons import Reason
from endivespindle.exceptions import BackendServerError
from endivespindle.schema.generated.backend import GenerateRequest
from endivespindle.schema.generated.caller import RunState
from endivespindle.schema.generated.register import BackendServer

COMPLETE_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
CHUNK = b'{"request_id":"%s","offset":%d,"text":"w","tokens":1,"done":false}\n'


class ScriptedServer:
    """Answers the n-th request with the n-th entry of its script.

    Closes the connection unless the entry is a complete response. An empty
    entry closes without a response; `wait_for_change` delays for 5 s.
    """

    def __init__(self, script):
        self.script = list(script)
        self.request_heads = []
        self.connections = 0

    async def serve(self, reader, writer):
        self.connections += 1
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while True:
                self.request_heads.append(await reader.readuntil(b"\r\n\r\n"))
                response = self.script.pop(0) if self.script else b""
                if response == b"wait":
                    await asyncio.sleep(5)
                if not response:
                    break
                writer.write(response)
                if response != COMPLETE_RESPONSE:
                    break
        writer.close()


@contextlib.asynccontextmanager
async def _backends(script):
    scripted = ScriptedServer(script)
    server = await asyncio.start_server(scripted.serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    entry = BackendServer(
        name="s",
        service="x",
        data_centre="d",
        address=f"http://127.0.0.1:{port}",
        credential="own",
    )
    async with (
        open_session() as session,
        open_single_use_session() as single_use,
    ):
        backends = HttpBackends(session=session, single_use=single_use)
        yield backends, entry, scripted
    server.close()


def _call(method="GET", timeout_s=2.0):
    return ServiceCall(
        request_id="r-1",
        method=method,
        path="/x",
        content_type="text/plain",
        body=b"",
        timeout_s=timeout_s,
    )


async def _call_error(backends, entry, call):
    with pytest.raises(BackendServerError) as caught:
        await backends.call(entry, call, max_bytes=1000)
    return caught.value


@pytest.mark.parametrize("method", ["GET", "PUT", "DELETE", "POST"])
async def test_http_library_never_retries_a_call(method):
    async with _backends([COMPLETE_RESPONSE, b""]) as (
        backends,
        entry,
        scripted,
    ):
        await backends.call(entry, _call(method), max_bytes=1000)
        exc = await _call_error(backends, entry, _call(method))
        assert exc.ran is RunState.UNKNOWN
        assert len(scripted.request_heads) == 2


async def test_refused_connection_reports_not_run():
    async with _backends([]) as (backends, entry, _):
        entry.address = "http://127.0.0.1:1"
        exc = await _call_error(backends, entry, _call())
        assert exc.ran is RunState.NOT_RUN


@pytest.mark.parametrize(
    "response",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort",
        b"HTTP/1.1 200 OK\r\n\r\nno end mark",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
        b"not http at all\r\n\r\n",
        b"wait",
    ],
)
async def test_incomplete_response_reports_unknown_outcome(response):
    async with _backends([response]) as (backends, entry, scripted):
        exc = await _call_error(backends, entry, _call("POST", timeout_s=0.3))
        assert exc.ran is RunState.UNKNOWN
        assert len(scripted.request_heads) == 1


async def test_response_to_another_request_is_rejected():
    mismatched = COMPLETE_RESPONSE.replace(
        b"\r\n\r\n", b"\r\nX-Request-Id: r-2\r\n\r\n"
    )
    async with _backends([mismatched]) as (backends, entry, _):
        exc = await _call_error(backends, entry, _call())
        assert exc.reason is Reason.ANSWER_MISMATCH


@pytest.mark.parametrize("status", [b"000", b"101", b"600"])
async def test_a_status_outside_the_protocol_is_no_response(status):
    """A caller got the status 000 of a faulty server as its answer."""
    response = COMPLETE_RESPONSE.replace(b"200", status)
    async with _backends([response]) as (backends, entry, _):
        exc = await _call_error(backends, entry, _call())
        assert exc.ran is RunState.UNKNOWN


async def test_no_unexpected_headers_are_sent():
    async with _backends([COMPLETE_RESPONSE]) as (backends, entry, scripted):
        await backends.call(entry, _call("POST"), max_bytes=1000)
        names = {
            line.split(b":")[0].lower()
            for line in scripted.request_heads[0].split(b"\r\n")[1:]
            if line
        }
        assert names <= {
            b"host",
            b"x-request-id",
            b"authorization",
            b"content-type",
            b"content-length",
            b"accept",
            b"accept-encoding",
            b"user-agent",
            b"connection",
        }


@pytest.mark.parametrize(
    "lines",
    [
        CHUNK % (b"another", 0),
        CHUNK % (b"r-1", 0) + CHUNK % (b"r-1", 0),
        CHUNK % (b"r-1", 0),
        b"{broken\n",
    ],
)
async def test_incomplete_stream_reports_unknown_outcome(lines):
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(lines)
    async with _backends([head + lines]) as (backends, entry, _):
        req = GenerateRequest(request_id="r-1", prompt="p", max_tokens=4)
        with pytest.raises(BackendServerError) as caught:
            async for _ in backends.generate(entry, req, timeout_s=2.0):
                pass
        assert caught.value.ran is RunState.UNKNOWN
