"""Passes requests on to backend servers for gateways that are cut off."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable, Iterator

from aiohttp import web

from endivespindle.core.decoding import decode_msgpack
from endivespindle.exceptions import BackendServerError
from endivespindle.runtime.attempts import open_attempt
from endivespindle.runtime.context import RuntimeContext
from endivespindle.runtime.path_messages import (
    BodyFrame,
    EndFrame,
    EventFrame,
    FailureFrame,
    Frame,
    HeadFrame,
    LenderRefusedError,
    LendRequest,
    encode_frame,
)
from endivespindle.serving.active_config import ActiveConfig
from endivespindle.serving.calls import (
    EVENT_STREAM_TYPE,
    ResponseHead,
    ServerApi,
)
from endivespindle.serving.directory import ServerDirectory, ServerView
from endivespindle.serving.lending_room import LendingRoom
from endivespindle.serving.path_lenders import LenderRefusal
from endivespindle.serving.server_paths import ServerPaths

__all__ = ["PathLender"]

# Interval at which a request is checked for a sender that has gone.
_CHECK_INTERVAL_S = 0.1


class PathLender:
    """Passes single attempts of other gateways on.

    It checks what this VM alone knows: whether the server accepts requests,
    whether keys are confirmed here, and whether its own callers leave room.

    Args:
        ctx: State shared by the components of the node.
        api: Client that sends directly only.
        paths: Whether this VM reaches the servers.
        directory: Known backend servers.
        config: Active configuration.
        count_own: Returns the number of its own callers' requests in progress.

    Attributes:
        is_draining: Whether this VM shuts down and takes no more requests in.
    """

    __slots__ = (
        "_api",
        "_config",
        "_ctx",
        "_directory",
        "_paths",
        "_room",
        "is_draining",
    )

    def __init__(
        self,
        *,
        ctx: RuntimeContext,
        api: ServerApi,
        paths: ServerPaths,
        directory: ServerDirectory,
        config: ActiveConfig,
        count_own: Callable[[], int],
    ):
        self._ctx = ctx
        self._api = api
        self._paths = paths
        self._directory = directory
        self._config = config
        self._room = LendingRoom(count_own=count_own)
        self.is_draining = False

    @property
    def lent_requests(self) -> int:
        """Requests of other gateways' callers that are passed on now."""
        return self._room.lent_requests

    async def handle(
        self, request: web.BaseRequest, body: bytes
    ) -> web.StreamResponse:
        """Passes one request on; ends it when the sender closes the connection.

        Raises:
            MsgspecError: The message is malformed.
        """
        req = decode_msgpack(body, type=LendRequest)
        resp = web.StreamResponse()
        try:
            await resp.prepare(request)
        except ConnectionError:
            # The sender has gone; nothing was sent to a server.
            self._ctx.metrics.count_lent_path("cancelled")
            return resp
        task = asyncio.create_task(self._lend(req, resp))
        try:
            while not task.done():
                await asyncio.wait({task}, timeout=_CHECK_INTERVAL_S)
                if request.transport is None or request.transport.is_closing():
                    task.cancel()
        finally:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError, ConnectionError):
                # A sender that has gone does not read the rest.
                await task
        return resp

    async def _lend(self, req: LendRequest, resp: web.StreamResponse) -> None:
        async def write(frame: Frame) -> None:
            await resp.write(encode_frame(frame))

        outcome = "responded"
        try:
            await self._measure_delay()
            with self._take_room(req):
                view = self._usable_server(req)
                await self._pass_on(req, view, write)
            await write(EndFrame())
        except BackendServerError as exc:
            refusal = exc.cause if isinstance(exc, LenderRefusedError) else ""
            outcome = refusal or exc.reason.code
            await write(
                FailureFrame(
                    text=str(exc),
                    ran=exc.ran,
                    reason=exc.reason.name,
                    refusal=refusal,
                )
            )
        except asyncio.CancelledError:
            outcome = "cancelled"
            raise
        finally:
            self._ctx.metrics.count_lent_path(outcome)
            self._ctx.log.event(
                "path_lent",
                request_id=req.call.request_id,
                sender=req.sender,
                server=req.server,
                lent=self._room.lent,
                outcome=outcome,
            )
        await resp.write_eof()

    async def _measure_delay(self) -> None:
        """Measures for how long a ready task waits for the processor."""
        start_s = self._ctx.clock.monotonic()
        await asyncio.sleep(0)
        self._room.record_delay(self._ctx.clock.monotonic() - start_s)

    @contextlib.contextmanager
    def _take_room(self, req: LendRequest) -> Iterator[None]:
        """Takes room for a request while it is passed on.

        Raises:
            LenderRefusedError: There is none.
        """
        is_item = req.timeout_s is None
        if not self._room.try_take(is_item=is_item):
            raise LenderRefusedError(LenderRefusal.NO_ROOM)
        try:
            yield
        finally:
            self._room.give_back(is_item=is_item)

    async def _pass_on(
        self,
        req: LendRequest,
        view: ServerView,
        write: Callable[[Frame], Awaitable[None]],
    ) -> None:
        """Sends a request to its server and writes the response.

        Raises:
            BackendServerError: The server did not respond, or its response
                broke off.
        """
        async with open_attempt(
            self._api,
            view,
            req.call,
            clock=self._ctx.clock,
            timeout_s=req.timeout_s,
        ) as response:
            await write(HeadFrame(head=response.head))
            if _is_stream(response.head):
                async for event in response.events():
                    await write(EventFrame(event=event))
            else:
                await write(BodyFrame(data=await response.read()))

    def _usable_server(self, req: LendRequest) -> ServerView:
        """Returns the server.

        Raises:
            LenderRefusedError: The request is not passed on.
        """
        view = self._directory.get(req.server)
        if view is None or view.entry.started_ms != req.started_ms:
            raise LenderRefusedError(LenderRefusal.SERVER_UNKNOWN)
        if self.is_draining:
            raise LenderRefusedError(LenderRefusal.DRAINING)
        if self._paths.should_borrow(view.entry.service):
            raise LenderRefusedError(LenderRefusal.CUT)
        if req.call.client_account and not self._config.is_fresh():
            raise LenderRefusedError(LenderRefusal.KEYS_UNCONFIRMED)
        return view


def _is_stream(head: ResponseHead) -> bool:
    return head.status == 200 and head.content_type == EVENT_STREAM_TYPE
