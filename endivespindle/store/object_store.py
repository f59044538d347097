"""The platform's object API, as an abstract base class."""

import abc

import msgspec

__all__ = [
    "ObjectList",
    "ObjectStore",
    "StatusStore",
    "StoredObject",
    "WatchEvents",
]


class StoredObject(msgspec.Struct, kw_only=True, frozen=True):
    """An object as the store held it.

    Attributes:
        kind: Kind of the object.
        name: Name, unique within the kind.
        version: Version of the store at which it was written; 0 means that
            the object does not exist.
        value: Bytes held; None for an object that was deleted.
    """

    kind: str
    name: str
    version: int
    value: bytes | None


class ObjectList(msgspec.Struct, kw_only=True, frozen=True):
    """Objects of one kind, and the version of the store they stand for.

    Attributes:
        version: Version of the store.
        objects: All objects of the kind.
        lag_s: Seconds by which the state told of is older than the call that
            asked for it; more than 0 only if somebody passed it on.
    """

    version: int
    objects: list[StoredObject]
    lag_s: float = 0.0


class WatchEvents(msgspec.Struct, kw_only=True, frozen=True):
    """Changes after a version, oldest first.

    Attributes:
        version: Where to go on watching.
        objects: Objects as written; a deleted one has no value.
        lost: Whether the store no longer holds all changes since the version
            asked for, so that the watcher must list again.
        lag_s: Seconds by which the state told of is older than the call that
            asked for it; more than 0 only if somebody passed it on.
    """

    version: int
    objects: list[StoredObject]
    lost: bool = False
    lag_s: float = 0.0


class ObjectStore(abc.ABC):
    """Keeps objects with versions, conditional updates and watches.

    Every method may raise `PlatformUnavailableError` if nothing took effect;
    `put` and `delete` may raise `AnswerLostError` if they may have taken
    effect.
    """

    __slots__ = ()

    @abc.abstractmethod
    async def get(self, *, kind: str, name: str) -> StoredObject | None:
        """Returns an object, or None if there is none."""

    async def get_stale(self, *, kind: str, name: str) -> StoredObject | None:
        """Returns an object as it was some seconds ago, at a lower price.

        Stores that have no such read return it as it is.
        """
        return await self.get(kind=kind, name=name)

    @abc.abstractmethod
    async def list_objects(self, *, kind: str, prefix: str = "") -> ObjectList:
        """Returns the objects of a kind whose names start with a prefix."""

    @abc.abstractmethod
    async def put(
        self, *, kind: str, name: str, value: bytes, expect_version: int
    ) -> int:
        """Writes an object if it still has a version.

        Args:
            kind: Kind of the object.
            name: Name of the object.
            value: Bytes to hold, a megabyte at most.
            expect_version: Version the object must have; 0 creates it.

        Returns:
            The new version.

        Raises:
            ConflictError: The object has another version.
        """

    @abc.abstractmethod
    async def delete(
        self, *, kind: str, name: str, expect_version: int
    ) -> None:
        """Deletes an object if it still has a version.

        Raises:
            ConflictError: The object has another version.
        """

    @abc.abstractmethod
    async def watch(
        self, *, kind: str, after: int, wait_s: float
    ) -> WatchEvents:
        """Waits for changes of a kind after a version."""


class StatusStore(ObjectStore):
    """An object store whose objects carry a status beside their value."""

    __slots__ = ()

    @abc.abstractmethod
    async def put_status(self, *, kind: str, name: str, value: bytes) -> None:
        """Replaces the status of an object that another writer keeps.

        Raises:
            ConflictError: There is no such object.
        """
