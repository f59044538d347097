"""Nodes of the fleet, as they registered in the store."""

import msgspec

from endivespindle.exceptions import PlatformError
from endivespindle.runtime.settings import Endpoint, NodeRole, NodeSettings
from endivespindle.store.object_store import ObjectStore, StoredObject

__all__ = ["NODE_KIND", "FleetView", "NodeRecord"]

NODE_KIND = "vms"


class NodeRecord(msgspec.Struct, kw_only=True, frozen=True):
    """What a node says of itself.

    Attributes:
        name: Name of its VM.
        role: What it does.
        data_centre: Data centre it stands in.
        host: IP number.
        peer_port: Port for calls and datagrams between nodes.
        incarnation: Identity of this start of the process.
        cpu: Processor time a second that its VM has.
    """

    name: str
    role: NodeRole
    data_centre: str
    host: str
    peer_port: int
    incarnation: str
    cpu: float = 1.0

    @property
    def owner_id(self) -> str:
        """How this start of the node is named as an owner."""
        return f"{self.name}/{self.incarnation}"

    @property
    def endpoint(self) -> Endpoint:
        """Where peers reach it."""
        return Endpoint(host=self.host, port=self.peer_port)


class FleetView:
    """All nodes known, and this one.

    Args:
        settings: Settings of this node.
        incarnation: Identity of this start of the process.
    """

    __slots__ = ("_nodes", "local_node")

    def __init__(self, *, settings: NodeSettings, incarnation: str):
        self.local_node = NodeRecord(
            name=settings.name,
            role=settings.role,
            data_centre=settings.data_centre,
            host=settings.host,
            peer_port=settings.peer_port,
            incarnation=incarnation,
            cpu=settings.cpu,
        )
        self._nodes: dict[str, NodeRecord] = {}

    async def register(self, store: ObjectStore) -> None:
        """Writes this node's record in place of its last start's.

        Raises:
            PlatformError: The store did not take it.
        """
        held = await store.get(kind=NODE_KIND, name=self.local_node.name)
        value = msgspec.json.encode(self.local_node)
        if held is not None and held.value == value:
            return
        await store.put(
            kind=NODE_KIND,
            name=self.local_node.name,
            value=value,
            expect_version=held.version if held else 0,
        )

    def clear(self) -> None:
        """Forgets all nodes, before a list of all of them is taken in."""
        self._nodes.clear()

    def apply(self, obj: StoredObject) -> None:
        """Takes in one record; a malformed one counts as removed."""
        self._nodes.pop(obj.name, None)
        if obj.value is None:
            return
        try:
            self._nodes[obj.name] = msgspec.json.decode(
                obj.value, type=NodeRecord
            )
        except msgspec.MsgspecError as exc:
            raise PlatformError(f"record of {obj.name}: {exc}") from exc

    def peers(self, role: NodeRole) -> list[NodeRecord]:
        """Returns the other nodes of a role."""
        return [
            node
            for node in self._nodes.values()
            if node.role is role and node.name != self.local_node.name
        ]

    def find_owner(self, owner_id: str) -> NodeRecord | None:
        """Returns the node that an owner's name stands for, if it still runs.

        A node that started again since is another owner.
        """
        node = self._nodes.get(owner_id.partition("/")[0])
        return node if node is not None and node.owner_id == owner_id else None
