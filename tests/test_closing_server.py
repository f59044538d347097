"""Connections of a server that closes, over real sockets."""

import asyncio
import contextlib

from aiohttp import web

from endivespindle.runtime.caller_server import close_server, open_server
from endivespindle.runtime.settings import Endpoint

LIMIT_S = 10.0
REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"


async def _wait_for(condition):
    async with asyncio.timeout(LIMIT_S):
        while not condition():
            await asyncio.sleep(0.01)


@contextlib.asynccontextmanager
async def _server(handle):
    runner = await open_server(
        web.Server(handle),
        Endpoint(host="127.0.0.1", port=0),
        shutdown_timeout_s=LIMIT_S,
    )
    try:
        yield runner, runner.addresses[0][1]
    finally:
        await runner.cleanup()


def test_no_request_is_read_and_dropped_while_a_server_closes():
    """A request on an idle connection got neither an answer nor an end."""

    async def handle(request):
        return web.Response(text=str(request.method))

    async def run():
        async with _server(handle) as (runner, port):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            used, used_writer = await asyncio.open_connection("127.0.0.1", port)
            used_writer.write(REQUEST)
            await used.readuntil(b"GET")
            assert (
                await close_server(
                    runner, wait_for=_wait_for, end_requests=lambda: 0
                )
                == 0
            )
            # Nothing else ends these connections: the server is closed.
            async with asyncio.timeout(LIMIT_S):
                writer.write(REQUEST)
                with contextlib.suppress(ConnectionError):
                    assert await reader.read() == b""
                assert await used.read() == b""
            writer.close()
            used_writer.close()

    asyncio.run(run())


def test_a_request_in_progress_is_answered_while_its_server_closes():
    """Its connection was cut with the idle ones."""
    begun = asyncio.Event()
    go_on = asyncio.Event()

    async def handle(request):
        del request
        begun.set()
        await go_on.wait()
        return web.Response(text="whole")

    async def run():
        async with _server(handle) as (runner, port):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(REQUEST)
            await begun.wait()
            ended_in_order = []

            def end_requests():
                ended_in_order.append(go_on.is_set())
                return 0

            closing = asyncio.create_task(
                close_server(
                    runner, wait_for=_wait_for, end_requests=end_requests
                )
            )
            await asyncio.sleep(0.05)
            go_on.set()
            async with asyncio.timeout(LIMIT_S):
                assert (await reader.read()).endswith(b"whole")
                assert await closing == 0
            assert ended_in_order == [True]
            writer.close()

    asyncio.run(run())
