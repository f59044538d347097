"""Watchers of the object kinds that several node roles need."""

from collections.abc import Callable
from typing import NamedTuple

from endivespindle.exceptions import MessageError, PlatformError
from endivespindle.platform.documents import (
    CONFIG_KIND,
    CONFIG_NAME,
    EVACUATION_KIND,
    SERVER_KIND,
    decode_config,
    decode_server,
)
from endivespindle.runtime.context import RuntimeContext
from endivespindle.runtime.fleet_view import NODE_KIND
from endivespindle.runtime.kind_watcher import KindWatcher
from endivespindle.runtime.relay import WatchCache
from endivespindle.serving.active_config import ActiveConfig
from endivespindle.serving.directory import ServerDirectory
from endivespindle.store.object_store import ObjectStore, StoredObject

__all__ = [
    "NODE_WATCH_WAIT_S",
    "make_config_watcher",
    "make_evacuation_watcher",
    "make_node_watcher",
    "make_server_watcher",
]

# Seconds for which one watch of node records waits. Nodes join and leave
# rarely, and an unknown node is looked up when it is needed.
NODE_WATCH_WAIT_S = 20.0
# Seconds for which a relay waits after changes before its next watch, so that
# related changes arrive in one response. Short compared with the bound of 2 s
# on applying new configuration and on noticing leaving servers.
_COALESCE_S = 0.3


def make_config_watcher(
    ctx: RuntimeContext,
    store: ObjectStore,
    config: ActiveConfig,
    *,
    wait_s: float,
    feed: WatchCache | None = None,
) -> KindWatcher:
    """Returns a watcher that updates and confirms the active configuration.

    Args:
        ctx: Shared components of the node.
        store: Object store client.
        config: Active configuration, updated from the store.
        wait_s: Seconds for which one watch waits.
        feed: Republishes the objects to other nodes if this node is a relay.
    """

    def apply_object(obj: StoredObject) -> None:
        if obj.name != CONFIG_NAME or obj.value is None:
            return
        try:
            new = decode_config(obj.value)
        except MessageError as exc:
            ctx.log.state_change("config_malformed", error=str(exc))
            return
        before = config.version
        if config.apply_if_newer(new):
            ctx.log.state_change(
                "config_taken", version=new.version, before=before
            )

    def apply_list(objects: list[StoredObject]) -> None:
        for obj in objects:
            apply_object(obj)

    def on_confirmed(version: int, asked_s: float) -> None:
        del version
        if config.version:
            config.confirm(asked_s=asked_s)

    return _make_watcher(
        ctx,
        store,
        CONFIG_KIND,
        wait_s,
        _Handlers(apply_list, apply_object, on_confirmed),
        feed,
    )


def make_server_watcher(
    ctx: RuntimeContext,
    store: ObjectStore,
    directory: ServerDirectory,
    *,
    wait_s: float,
    on_change: Callable[[], None],
    feed: WatchCache | None = None,
) -> KindWatcher:
    """Returns a watcher that updates the directory of backend servers.

    Args:
        ctx: Shared components of the node.
        store: Object store client.
        directory: Server directory, updated from the store.
        wait_s: Seconds for which one watch waits.
        on_change: Called after each change.
        feed: Republishes the objects to other nodes if this node is a relay.
    """

    def apply_object(obj: StoredObject) -> None:
        _apply_server(ctx, directory, obj)
        on_change()

    def apply_list(objects: list[StoredObject]) -> None:
        names = {obj.name for obj in objects}
        for view in directory:
            if view.entry.name not in names:
                _remove_server(ctx, directory, view.entry.name)
        for obj in objects:
            _apply_server(ctx, directory, obj)
        on_change()

    return _make_watcher(
        ctx,
        store,
        SERVER_KIND,
        wait_s,
        _Handlers(apply_list, apply_object),
        feed,
    )


def make_evacuation_watcher(
    ctx: RuntimeContext,
    store: ObjectStore,
    directory: ServerDirectory,
    *,
    wait_s: float,
    on_change: Callable[[], None],
    feed: WatchCache | None = None,
) -> KindWatcher:
    """Returns a watcher that tells the directory of evacuated data centres.

    Args:
        ctx: Shared components of the node.
        store: Object store client.
        directory: Server directory, updated from the store.
        wait_s: Seconds for which one watch waits.
        on_change: Called after each change.
        feed: Republishes the objects to other nodes if this node is a relay.
    """
    evacuated: dict[str, int] = {}

    def apply() -> None:
        directory.set_evacuated(evacuated)
        ctx.log.state_change(
            "data_centres_evacuated",
            data_centres=sorted(evacuated),
            version=max(evacuated.values(), default=None),
        )
        on_change()

    def apply_object(obj: StoredObject) -> None:
        if obj.value is None:
            evacuated.pop(obj.name, None)
        else:
            evacuated[obj.name] = obj.version
        apply()

    def apply_list(objects: list[StoredObject]) -> None:
        evacuated.clear()
        evacuated.update({obj.name: obj.version for obj in objects})
        apply()

    return _make_watcher(
        ctx,
        store,
        EVACUATION_KIND,
        wait_s,
        _Handlers(apply_list, apply_object),
        feed,
    )


def make_node_watcher(
    ctx: RuntimeContext, store: ObjectStore, feed: WatchCache | None = None
) -> KindWatcher:
    """Returns a watcher that updates the nodes of the fleet.

    Args:
        ctx: Shared components of the node; its fleet view is updated.
        store: Object store client.
        feed: Republishes the objects to other nodes if this node is a relay.
    """

    def apply_object(obj: StoredObject) -> None:
        try:
            ctx.fleet.apply(obj)
        except PlatformError as exc:
            ctx.log.state_change("node_malformed", error=str(exc))

    def apply_list(objects: list[StoredObject]) -> None:
        ctx.fleet.clear()
        for obj in objects:
            apply_object(obj)

    return _make_watcher(
        ctx,
        store,
        NODE_KIND,
        NODE_WATCH_WAIT_S,
        _Handlers(apply_list, apply_object),
        feed,
    )


def _remove_server(
    ctx: RuntimeContext,
    directory: ServerDirectory,
    name: str,
    *,
    version: int | None = None,
) -> None:
    view = directory.get(name)
    directory.remove(name)
    ctx.log.event(
        "server_gone",
        server=name,
        service=view.entry.service if view is not None else None,
        software=view.entry.software if view is not None else None,
        version=version,
    )


def _apply_server(
    ctx: RuntimeContext, directory: ServerDirectory, obj: StoredObject
) -> None:
    if obj.value is None:
        _remove_server(ctx, directory, obj.name, version=obj.version)
        return
    previous = directory.get(obj.name)
    try:
        entry = decode_server(obj.name, obj.value)
    except MessageError as exc:
        directory.remove(obj.name)
        ctx.log.event("server_malformed", server=obj.name, error=str(exc))
        return
    was_draining = previous is not None and previous.entry.draining
    directory.put(entry)
    if previous is None or entry.draining != was_draining:
        ctx.log.event(
            "server_draining" if entry.draining else "server_ready",
            server=entry.name,
            service=entry.service,
            data_centre=entry.data_centre,
            spot=entry.spot,
            leaves_in_s=entry.leaves_in_s,
            software=entry.software,
            versions=entry.versions,
            version=obj.version,
        )


class _Handlers(NamedTuple):
    """Callbacks of a watcher; see `KindWatcher`."""

    on_list: Callable[[list[StoredObject]], None]
    on_change: Callable[[StoredObject], None]
    on_confirmed: Callable[[int, float], None] | None = None


def _make_watcher(
    ctx: RuntimeContext,
    store: ObjectStore,
    kind: str,
    wait_s: float,
    handlers: _Handlers,
    feed: WatchCache | None,
) -> KindWatcher:
    if feed is not None:
        handlers = _with_feed(handlers, feed)
    return KindWatcher(
        store=store,
        kind=kind,
        wait_s=wait_s,
        clock=ctx.clock,
        rng=ctx.rng,
        log=ctx.log,
        on_list=handlers.on_list,
        on_change=handlers.on_change,
        on_confirmed=handlers.on_confirmed,
        coalesce_s=_COALESCE_S if feed is not None else 0.0,
    )


def _with_feed(handlers: _Handlers, feed: WatchCache) -> _Handlers:
    """Returns handlers that also forward every event to a relay's feed."""

    def on_list(objects: list[StoredObject]) -> None:
        feed.replace_all(objects)
        handlers.on_list(objects)

    def on_change(obj: StoredObject) -> None:
        feed.apply(obj)
        handlers.on_change(obj)

    def on_confirmed(version: int, asked_s: float) -> None:
        if handlers.on_confirmed is not None:
            handlers.on_confirmed(version, asked_s)
        feed.confirm(version=version, asked_s=asked_s)

    return _Handlers(on_list, on_change, on_confirmed)
