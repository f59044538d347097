"""Nodes of the fleet that are registered in the store."""

import msgspec

from endivespindle.core.decoding import decode_json
from endivespindle.exceptions import PlatformError
from endivespindle.runtime.settings import Endpoint, NodeRole, NodeSettings
from endivespindle.store.object_store import ObjectStore, StoredObject

__all__ = ["NODE_KIND", "FleetView", "NodeRecord"]

NODE_KIND = "vms"


class NodeRecord(msgspec.Struct, kw_only=True, frozen=True):
    """Registration of a node.

    Attributes:
        name: Name of its VM.
        role: Role of the node.
        data_centre: Data centre of its VM.
        host: IP address.
        peer_port: Port for calls and datagrams between nodes.
        incarnation: Unique id of this run of the process.
        cpu: CPU seconds per second available to its VM.
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
        """Id of this incarnation as an owner of batch jobs."""
        return f"{self.name}/{self.incarnation}"

    @property
    def endpoint(self) -> Endpoint:
        """Address for calls from other nodes."""
        return Endpoint(host=self.host, port=self.peer_port)


class FleetView:
    """All known nodes, and the record of this one.

    Args:
        settings: Settings of this node.
        incarnation: Unique id of this run of the process.

    Attributes:
        local_node: Record of this node.
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
        """Writes this node's record, replacing that of an earlier incarnation.

        Raises:
            PlatformError: The record could not be written.
        """
        stored = await store.get(kind=NODE_KIND, name=self.local_node.name)
        value = msgspec.json.encode(self.local_node)
        if stored is not None and stored.value == value:
            return
        await store.put(
            kind=NODE_KIND,
            name=self.local_node.name,
            value=value,
            expect_version=stored.version if stored else 0,
        )

    def clear(self) -> None:
        """Removes all nodes, before the records of a new list are applied."""
        self._nodes.clear()

    def apply(self, obj: StoredObject) -> None:
        """Applies a changed record; a malformed one counts as removed.

        Raises:
            PlatformError: The record is malformed.
        """
        self._nodes.pop(obj.name, None)
        if obj.value is None:
            return
        try:
            self._nodes[obj.name] = decode_json(obj.value, type=NodeRecord)
        except msgspec.MsgspecError as exc:
            raise PlatformError(f"record of node {obj.name}: {exc}") from exc

    def peers(self, role: NodeRole) -> list[NodeRecord]:
        """Returns the other nodes of a role."""
        return [
            node
            for node in self._nodes.values()
            if node.role is role and node.name != self.local_node.name
        ]

    def find_owner(self, owner_id: str) -> NodeRecord | None:
        """Returns the node with an owner id, or None if it no longer runs.

        A node that was restarted since is a different owner.
        """
        node = self._nodes.get(owner_id.partition("/")[0])
        return node if node is not None and node.owner_id == owner_id else None
