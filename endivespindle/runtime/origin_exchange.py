"""Shares with other gateways which software version began a stream."""

import abc
import asyncio

import msgspec

from endivespindle.core.decoding import decode_msgpack
from endivespindle.core.digests import rendezvous_rank
from endivespindle.exceptions import PeerError
from endivespindle.runtime.fleet_view import FleetView, NodeRecord
from endivespindle.runtime.peer_client import PeerClient, StreamOrigin
from endivespindle.runtime.settings import NodeRole
from endivespindle.runtime.telemetry import EventLog
from endivespindle.serving.stream_origins import StreamOrigins

__all__ = ["OriginDirectory", "SharedOrigins"]

# Nodes of each role that keep the origin of a stream besides the gateway that
# relays it, and those that are asked for it: one more, as their order changes
# when one leaves. Controllers run on other VMs than gateways and outlast the
# loss of all of these.
_KEEPERS = 1
_ASKED = 2
_KEEPER_ROLES = (NodeRole.CONTROLLER, NodeRole.GATEWAY)
# Longest wait for a keeper, in seconds; the stream's first event waits for it.
_TIMEOUT_S = 0.15


class OriginDirectory(abc.ABC):
    """Where the origins of streams are kept."""

    __slots__ = ()

    @abc.abstractmethod
    async def record(
        self, request_id: str, software: str, *, wait: bool
    ) -> None:
        """Records the software version that sends a stream's first event.

        Args:
            request_id: ID of the client attempt that receives it.
            software: Software version of the server.
            wait: Whether to return only once other VMs know of it.
        """

    @abc.abstractmethod
    async def find(self, request_id: str) -> str | None:
        """Returns the software version that began a stream; None if unknown."""


class SharedOrigins(OriginDirectory):
    """Keeps each origin at a further gateway and at a controller.

    Both are chosen by rendezvous hashing. A caller takes a stream up at any
    gateway, also after all gateways were killed. The messages of a gateway grow
    with its streams and not with the fleet.

    Args:
        origins: Origins that this VM keeps.
        fleet: Nodes of the fleet.
        peers: Client for calls to other nodes.
        log: Event log.
    """

    __slots__ = ("_fleet", "_log", "_origins", "_peers", "_tasks")

    def __init__(
        self,
        *,
        origins: StreamOrigins,
        fleet: FleetView,
        peers: PeerClient,
        log: EventLog,
    ):
        self._origins = origins
        self._fleet = fleet
        self._peers = peers
        self._log = log
        self._tasks: set[asyncio.Task[None]] = set()

    async def record(
        self, request_id: str, software: str, *, wait: bool
    ) -> None:
        """Records the software version that sends a stream's first event."""
        self._origins.record(request_id, software)
        origin = StreamOrigin(request_id=request_id, software=software)
        tasks = [
            asyncio.create_task(self._send(node, origin))
            for node in self._keepers(request_id, _KEEPERS)
        ]
        for task in tasks:
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        if wait and tasks:
            # A controller, if there is one. Its call has a timeout.
            await tasks[0]

    async def find(self, request_id: str) -> str | None:
        """Returns the software version that began a stream; None if unknown."""
        software = self._origins.find(request_id)
        if software is not None:
            return software
        tasks = [
            asyncio.create_task(self._ask(node, request_id))
            for node in self._keepers(request_id, _ASKED)
        ]
        try:
            for reply in asyncio.as_completed(tasks):
                software = await reply
                if software is not None:
                    return software
        finally:
            for task in tasks:
                task.cancel()
        return None

    def _keepers(self, request_id: str, count: int) -> list[NodeRecord]:
        """Returns that many nodes of each role, the controllers first."""
        keepers: list[NodeRecord] = []
        for role in _KEEPER_ROLES:
            nodes = {node.name: node for node in self._fleet.peers(role)}
            ranked = rendezvous_rank(request_id, list(nodes))[:count]
            keepers += [nodes[name] for name in ranked]
        return keepers

    async def _send(self, node: NodeRecord, origin: StreamOrigin) -> None:
        try:
            await self._peers.post(
                node, "/streams/origin", origin, timeout_s=_TIMEOUT_S
            )
        except PeerError as exc:
            self._log.event(
                "stream_origin_not_kept",
                request_id=origin.request_id,
                node=node.name,
                error=str(exc),
            )

    async def _ask(self, node: NodeRecord, request_id: str) -> str | None:
        try:
            body = await self._peers.post(
                node,
                "/streams/find",
                StreamOrigin(request_id=request_id),
                timeout_s=_TIMEOUT_S,
            )
            return decode_msgpack(body, type=StreamOrigin).software
        except (PeerError, msgspec.MsgspecError) as exc:
            self._log.event(
                "stream_origin_not_found",
                request_id=request_id,
                node=node.name,
                error=str(exc),
            )
            return None
