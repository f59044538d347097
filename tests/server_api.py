"""The client for backend servers, over real sockets."""

import asyncio
import contextlib

from endivespindle.backends.body_memory import BodyMemory
from endivespindle.core.clock import SystemClock
from endivespindle.platform.servers import PlatformServerApi
from endivespindle.runtime.sessions import (
    open_backend_session,
    open_single_use_backend_session,
)
from endivespindle.runtime.telemetry import EventLog
from endivespindle.serving.calls import ServerCall
from endivespindle.serving.tests.configs import server

__all__ = ["MEMORY_BYTES", "open_server_api", "plain_call", "play_raw_server"]


def plain_call(request_id="r1", **changes):
    """Returns a request with a body of five bytes."""
    fields = {
        "request_id": request_id,
        "method": "POST",
        "target": "/x",
        "host": "h",
        "headers": (),
        "body": b"hello",
    }
    return ServerCall(**(fields | changes))


# Memory of the smallest VMs.
MEMORY_BYTES = 150 * 1_048_576


@contextlib.asynccontextmanager
async def open_server_api():
    """Yields a client with sessions of its own."""
    sessions = open_backend_session(), open_single_use_backend_session()
    try:
        yield PlatformServerApi(
            session=sessions[0],
            single_use=sessions[1],
            memory=BodyMemory(memory_bytes=MEMORY_BYTES),
            log=EventLog(clock=SystemClock(), fields={}),
        )
    finally:
        for session in sessions:
            await session.close()


def play_raw_server(handle, story):
    """Runs a story against a server that handles each connection by itself.

    Args:
        handle: Called with the reader and writer of each connection.
        story: Called with the client and the server's entry.
    """

    async def run():
        listening = await asyncio.start_server(handle, "127.0.0.1", 0)
        port = listening.sockets[0].getsockname()[1]
        try:
            async with open_server_api() as api:
                return await story(api, server("i-1", port=port))
        finally:
            listening.close()

    return asyncio.run(run())
