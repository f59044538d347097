"""Stand-in of the users' platform that keeps the limits of the pages."""

import asyncio
import time
from typing import Any

import msgspec
from aiohttp import web

from endivespindle.standins.users_platform import UsersPlatformStandin

__all__ = ["VALUE_BYTES", "Platform"]

# Largest object that the store takes: `valueBytes` of the settings.
VALUE_BYTES = 1_048_576


class Platform(UsersPlatformStandin):
    """The project's stand-in, with the store's size limit and an outage.

    Attributes:
        is_resetting: Whether the store resets each connection instead of
            answering, as `platform_down` with `how = "reset"` does.
        too_large: Writes that were refused for their size, by kind.
        late_until_s: Time at which creations of batch jobs are carried out,
            whose answers are lost; None if they are answered.
    """

    def __init__(self) -> None:
        super().__init__()
        self.is_resetting = False
        self.too_large: list[tuple[float, str, int]] = []
        self.late_until_s: float | None = None

    async def reset_for(self, seconds: float) -> None:
        """Resets all connections to the store for some seconds."""
        self.is_resetting = True
        for conn in list(self._runner.server.connections):
            if conn.transport is not None:
                conn.transport.abort()
        await asyncio.sleep(seconds)
        self.is_resetting = False

    async def _begin(self, request: web.Request, kind: str) -> None:
        if self.is_resetting:
            request.transport.abort()
            raise asyncio.CancelledError
        await super()._begin(request, kind)
        if request.method in ("POST", "PUT"):
            size = len(_object_of(await request.read()))
            if size > VALUE_BYTES:
                self.too_large.append((time.monotonic(), kind, size))
                raise web.HTTPRequestEntityTooLarge(
                    max_size=VALUE_BYTES, actual_size=size
                )
        if self.late_until_s and kind == "jobs" and request.method == "POST":
            await self._create_late(await request.read(), self.late_until_s)

    async def _create_late(self, body: bytes, at_s: float) -> None:
        """Carries a creation out late, as its answer is lost.

        A connection on which an answer is lost returns nothing further, so
        that the caller's time-out ends this.
        """
        asyncio.get_running_loop().call_later(
            at_s - time.monotonic(), self._create_if_missing, body
        )
        await asyncio.Event().wait()

    def _create_if_missing(self, body: bytes) -> None:
        doc: dict[str, Any] = msgspec.json.decode(body)
        name = doc["metadata"]["name"]
        if self.read("jobs", name) is None:
            self.write("jobs", name, doc["spec"])


def _object_of(body: bytes) -> bytes:
    """Returns what the store would keep of a write."""
    doc: dict[str, Any] = msgspec.json.decode(body)
    return msgspec.json.encode(doc.get("spec"))
