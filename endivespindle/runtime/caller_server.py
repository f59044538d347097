"""Starts and closes an HTTP server."""

import asyncio
from collections.abc import Awaitable, Callable

from aiohttp import web

from endivespindle.peers.tasks import end_tasks
from endivespindle.runtime.settings import Endpoint

__all__ = ["close_server", "open_server"]

_BACKLOG = 512
# Time for the last bytes of responses once their requests were ended.
_CLOSE_TIMEOUT_S = 0.2


async def open_server(
    server: web.Server, endpoint: Endpoint, *, shutdown_timeout_s: float
) -> web.ServerRunner:
    """Starts to listen.

    Args:
        server: Handles the connections.
        endpoint: Address to listen on.
        shutdown_timeout_s: Seconds that requests may take once the server is
            closed.
    """
    runner = web.ServerRunner(server, shutdown_timeout=shutdown_timeout_s)
    await runner.setup()
    site = web.TCPSite(runner, endpoint.host, endpoint.port, backlog=_BACKLOG)
    await site.start()
    return runner


async def close_server(
    runner: web.ServerRunner,
    *,
    wait_for: Callable[[Callable[[], bool]], Awaitable[None]],
    end_requests: Callable[[], int],
) -> int:
    """Closes idle connections at once, and the others with their responses.

    Nothing may come between the two: aiohttp drops without a trace what arrives
    on an idle connection that it was told to close but has not closed yet.

    Args:
        runner: The server.
        wait_for: Waits for a condition, as long as there is time.
        end_requests: Ends the requests still in progress with a final response,
            and returns their number.

    Returns:
        The number of requests that were ended.
    """
    closing = asyncio.create_task(runner.cleanup())
    await wait_for(closing.done)
    ended = end_requests()
    await asyncio.wait({closing}, timeout=_CLOSE_TIMEOUT_S)
    await end_tasks([closing])
    return ended
