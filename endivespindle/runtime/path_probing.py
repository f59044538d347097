"""Connects to backend servers to find out whether this VM reaches them."""

import asyncio
import random
from collections.abc import Awaitable, Callable

from endivespindle.serving.directory import ServerDirectory
from endivespindle.serving.server_entry import ServerEntry
from endivespindle.serving.server_paths import PathState, ServerPaths

__all__ = ["PathProber", "connect_to_server"]

# Interval at which running attempts are checked for silence.
_CHECK_INTERVAL_S = 0.15
# Interval of the probes that find out whether the path is back. Each VM returns
# at a moment of its own.
_MIN_RETURN_INTERVAL_S = 0.4
_MAX_RETURN_INTERVAL_S = 0.8
# Time within which a server must accept a connection: many round trips within a
# region.
_TIMEOUT_S = 0.2
# Servers that are tried at once if the first one does not accept.
_MORE_SERVERS = 2


class PathProber:
    """Probes the servers of a service while its path is in doubt.

    Args:
        paths: What is known of the paths.
        directory: Known backend servers.
        data_centre: Data centre of this VM.
        connect: Returns whether a server accepts a connection in a time.
        rng: Source of the servers and the intervals.
    """

    __slots__ = (
        "_connect",
        "_data_centre",
        "_directory",
        "_paths",
        "_rng",
        "_tasks",
    )

    def __init__(
        self,
        *,
        paths: ServerPaths,
        directory: ServerDirectory,
        data_centre: str,
        connect: Callable[[ServerEntry, float], Awaitable[bool]],
        rng: random.Random,
    ):
        self._paths = paths
        self._directory = directory
        self._data_centre = data_centre
        self._connect = connect
        self._rng = rng
        self._tasks: dict[str, asyncio.Task[None]] = {}

    def watch(self, service: str) -> None:
        """Watches a service until its path is direct and nothing is running."""
        task = self._tasks.get(service)
        if task is None or task.done():
            self._tasks[service] = asyncio.create_task(self._watch(service))

    def probe_all(self) -> None:
        """Probes every service soon that has not responded lately."""
        for service in self._directory.services():
            self._paths.request_probe(service)
            self.watch(service)

    async def close(self) -> None:
        """Ends the probes."""
        for task in self._tasks.values():
            task.cancel()
        await asyncio.gather(*self._tasks.values(), return_exceptions=True)

    async def _watch(self, service: str) -> None:
        while self._paths.is_watched(service):
            if self._paths.should_probe(service):
                self._paths.record_probe(
                    service, has_reached=await self._probe(service)
                )
            if self._paths.state(service) is PathState.DIRECT:
                await asyncio.sleep(_CHECK_INTERVAL_S)
            else:
                await asyncio.sleep(
                    self._rng.uniform(
                        _MIN_RETURN_INTERVAL_S, _MAX_RETURN_INTERVAL_S
                    )
                )

    async def _probe(self, service: str) -> bool:
        """Returns whether one of a few servers accepts a connection.

        The first is of this data centre, if there is one: in a cut between data
        centres the others fail. A service without servers tells nothing of the
        path and counts as reached.
        """
        views = self._directory.available_servers(service)
        if not views:
            return True
        self._rng.shuffle(views)
        views.sort(key=lambda v: v.entry.data_centre != self._data_centre)
        if await self._connect(views[0].entry, _TIMEOUT_S):
            return True
        more = views[1:]
        self._rng.shuffle(more)
        return any(
            await asyncio.gather(
                *(
                    self._connect(view.entry, _TIMEOUT_S)
                    for view in more[:_MORE_SERVERS]
                )
            )
        )


async def connect_to_server(server: ServerEntry, timeout_s: float) -> bool:
    """Returns whether a server accepts a connection within a time."""
    try:
        async with asyncio.timeout(timeout_s):
            _, writer = await asyncio.open_connection(server.host, server.port)
    except (OSError, TimeoutError):
        # Refused or silent: what the probe is to find out.
        return False
    writer.close()
    return True
