"""A loopback proxy that delays, resets, cuts one way or silences."""

import asyncio
import contextlib

__all__ = ["FaultProxy"]

_READ_BYTES = 65_536


class FaultProxy:
    """Passes connections on to one port, as long as no fault holds.

    Attributes:
        delay_s: Seconds by which each piece is late.
        mute_to: Whether what goes to the far side is held back.
        mute_from: Whether what comes from it is held back.
        refuse: Whether new connections are reset.
    """

    def __init__(self, *, port: int):
        self._target = port
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._changed = asyncio.Event()
        self.delay_s = 0.0
        self.mute_to = False
        self.mute_from = False
        self.refuse = False
        self.port = 0

    async def start(self) -> None:
        """Begins to listen on a free port of this machine."""
        self._server = await asyncio.start_server(
            self._connected, "127.0.0.1", 0
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stops listening and breaks everything off."""
        if self._server is not None:
            self._server.close()
        self.reset()

    def set(self, **faults) -> None:
        """Changes the faults that hold."""
        for name, value in faults.items():
            setattr(self, name, value)
        self._changed.set()
        self._changed = asyncio.Event()

    def heal(self) -> None:
        """Ends all faults."""
        self.set(delay_s=0.0, mute_to=False, mute_from=False, refuse=False)

    def reset(self) -> None:
        """Resets every connection."""
        for writer in list(self._writers):
            if writer.transport is not None:
                writer.transport.abort()

    async def _connected(self, reader, writer) -> None:
        if self.refuse:
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(
                "127.0.0.1", self._target
            )
        except OSError:
            writer.transport.abort()
            return
        both = {writer, far_writer}
        self._writers |= both
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(
                    self._pass(reader, far_writer, lambda: self.mute_to)
                )
                group.create_task(
                    self._pass(far_reader, writer, lambda: self.mute_from)
                )
        except* OSError:
            for one in both:
                one.transport.abort()
        finally:
            self._writers -= both
            for one in both:
                one.close()

    async def _pass(self, reader, writer, is_mute) -> None:
        while data := await reader.read(_READ_BYTES):
            while is_mute():
                await self._changed.wait()
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            writer.write(data)
            await writer.drain()
        with contextlib.suppress(OSError, RuntimeError):
            writer.write_eof()
