"""Passes requests on to backend servers for gateways that are cut off."""

import asyncio
import contextlib
from collections.abc import Callable

import msgspec
from aiohttp import web

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
from endivespindle.serving.calls import ResponseHead, ServerApi
from endivespindle.serving.directory import ServerDirectory, ServerView
from endivespindle.serving.path_lenders import LenderRefusal, may_lend
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
        "_count_own",
        "_ctx",
        "_directory",
        "_lent",
        "_paths",
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
        self._count_own = count_own
        self._lent = 0
        self.is_draining = False

    async def handle(
        self, request: web.BaseRequest, body: bytes
    ) -> web.StreamResponse:
        """Passes one request on; ends it when the sender closes the connection.

        Raises:
            MsgspecError: The message is malformed.
        """
        req = msgspec.msgpack.decode(body, type=LendRequest)
        resp = web.StreamResponse()
        await resp.prepare(request)
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

        self._lent += 1
        outcome = "responded"
        try:
            view = self._usable_server(req)
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
            self._lent -= 1
            self._ctx.metrics.count_lent_path(outcome)
            self._ctx.log.event(
                "path_lent",
                request_id=req.call.request_id,
                sender=req.sender,
                server=req.server,
                lent=self._lent,
                outcome=outcome,
            )
        await resp.write_eof()

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
        # Without this one, which is counted already.
        if not may_lend(lent=self._lent - 1, own=self._count_own()):
            raise LenderRefusedError(LenderRefusal.NO_ROOM)
        if req.call.client_account and not self._config.is_fresh():
            raise LenderRefusedError(LenderRefusal.KEYS_UNCONFIRMED)
        return view


def _is_stream(head: ResponseHead) -> bool:
    return head.status == 200 and any(
        name.lower() == "content-type" and value.startswith("text/event-stream")
        for name, value in head.headers
    )
