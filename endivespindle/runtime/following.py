"""Followers of the kinds that several roles need."""

from collections.abc import Callable

from endivespindle.exceptions import MessageError, PlatformError
from endivespindle.platform.documents import (
    CONFIG_KIND,
    CONFIG_NAME,
    SERVER_KIND,
    decode_config,
    decode_server,
)
from endivespindle.runtime.context import NodeParts
from endivespindle.runtime.fleet_view import NODE_KIND
from endivespindle.runtime.watching import KindFollower
from endivespindle.serving.directory import ServerDirectory
from endivespindle.serving.in_force import ConfigInForce
from endivespindle.store.object_store import ObjectStore, StoredObject

__all__ = ["follow_config", "follow_nodes", "follow_servers"]

# Nodes come and go rarely, and a node that is not known is looked up when it
# is needed.
_NODES_WAIT_S = 20.0


def follow_config(
    parts: NodeParts,
    store: ObjectStore,
    config: ConfigInForce,
    *,
    wait_s: float,
) -> KindFollower:
    """Keeps the configuration in force, and confirms it."""

    def take(obj: StoredObject) -> None:
        if obj.name != CONFIG_NAME or obj.value is None:
            return
        try:
            new = decode_config(obj.value)
        except MessageError as exc:
            parts.log.state("config_malformed", error=str(exc))
            return
        before = config.version
        if config.offer(new):
            parts.log.state("config_taken", version=new.version, before=before)

    def take_list(objects: list[StoredObject]) -> None:
        for obj in objects:
            take(obj)

    def confirmed(asked_s: float) -> None:
        if config.version:
            config.confirm(asked_s=asked_s)

    return _follower(
        parts,
        store,
        CONFIG_KIND,
        wait_s,
        take_list,
        take,
        confirmed,
    )


def follow_servers(
    parts: NodeParts,
    store: ObjectStore,
    directory: ServerDirectory,
    *,
    wait_s: float,
    on_change: Callable[[], None],
) -> KindFollower:
    """Keeps the directory of backend servers."""

    def take(obj: StoredObject) -> None:
        _take_server(parts, directory, obj)
        on_change()

    def take_list(objects: list[StoredObject]) -> None:
        names = {obj.name for obj in objects}
        for view in directory:
            if view.entry.name not in names:
                directory.remove(view.entry.name)
                parts.log.decided("server_gone", server=view.entry.name)
        for obj in objects:
            _take_server(parts, directory, obj)
        on_change()

    return _follower(parts, store, SERVER_KIND, wait_s, take_list, take, None)


def follow_nodes(parts: NodeParts, store: ObjectStore) -> KindFollower:
    """Keeps the nodes of the fleet."""

    def take(obj: StoredObject) -> None:
        try:
            parts.fleet.take(obj)
        except PlatformError as exc:
            parts.log.state("node_malformed", error=str(exc))

    def take_list(objects: list[StoredObject]) -> None:
        parts.fleet.clear()
        for obj in objects:
            take(obj)

    return _follower(
        parts, store, NODE_KIND, _NODES_WAIT_S, take_list, take, None
    )


def _take_server(
    parts: NodeParts, directory: ServerDirectory, obj: StoredObject
) -> None:
    if obj.value is None:
        directory.remove(obj.name)
        parts.log.decided("server_gone", server=obj.name, version=obj.version)
        return
    known = directory.get(obj.name)
    try:
        entry = decode_server(obj.name, obj.value)
    except MessageError as exc:
        directory.remove(obj.name)
        parts.log.decided("server_malformed", server=obj.name, error=str(exc))
        return
    was_draining = known is not None and known.entry.draining
    directory.put(entry)
    if known is None or entry.draining != was_draining:
        parts.log.decided(
            "server_draining" if entry.draining else "server_ready",
            server=entry.name,
            service=entry.service,
            data_centre=entry.data_centre,
            spot=entry.spot,
            leaves_in_s=entry.leaves_in_s,
            versions=entry.versions,
            version=obj.version,
        )


def _follower(
    parts: NodeParts,
    store: ObjectStore,
    kind: str,
    wait_s: float,
    on_list: Callable[[list[StoredObject]], None],
    on_change: Callable[[StoredObject], None],
    on_confirmed: Callable[[float], None] | None,
) -> KindFollower:
    return KindFollower(
        store=store,
        kind=kind,
        wait_s=wait_s,
        clock=parts.clock,
        rng=parts.rng,
        log=parts.log,
        on_list=on_list,
        on_change=on_change,
        on_confirmed=on_confirmed,
    )
