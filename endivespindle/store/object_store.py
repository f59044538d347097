"""Abstract base class of the platform's object API."""

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
    """An object as read from the store.

    Attributes:
        kind: Kind of the object.
        name: Name, unique within the kind.
        version: Version of the store at which the object was written; 0
            means that it does not exist.
        value: Content; None for a deleted object.
    """

    kind: str
    name: str
    version: int
    value: bytes | None


class ObjectList(msgspec.Struct, kw_only=True, frozen=True):
    """Objects of one kind at one version of the store.

    Attributes:
        version: Version of the store.
        objects: All objects of the kind.
        lag_s: Seconds by which the returned state is older than the call;
            more than 0 only for a read through a relay.
    """

    version: int
    objects: list[StoredObject]
    lag_s: float = 0.0


class WatchEvents(msgspec.Struct, kw_only=True, frozen=True):
    """Changes after a version, oldest first.

    Attributes:
        version: Version of the store from which to continue the watch.
        objects: Objects as written; a deleted one has no value.
        lost: Whether the store no longer has all changes since the requested
            version, so that the watcher must list the kind again.
        lag_s: Seconds by which the returned state is older than the call;
            more than 0 only for a read through a relay.
    """

    version: int
    objects: list[StoredObject]
    lost: bool = False
    lag_s: float = 0.0


class ObjectStore(abc.ABC):
    """Store of versioned objects with conditional updates and watches.

    Every method may raise `PlatformUnavailableError`, which means that it had
    no effect. `put` and `delete` may raise `AnswerLostError`, which means that
    they may have taken effect.
    """

    __slots__ = ()

    @abc.abstractmethod
    async def get(self, *, kind: str, name: str) -> StoredObject | None:
        """Returns an object, or None if there is none."""

    async def get_stale(self, *, kind: str, name: str) -> StoredObject | None:
        """Returns an object that may be seconds old, at a lower cost.

        Stores without such a read return the current object.
        """
        return await self.get(kind=kind, name=name)

    @abc.abstractmethod
    async def list_objects(self, *, kind: str, prefix: str = "") -> ObjectList:
        """Returns the objects of a kind whose names start with a prefix."""

    @abc.abstractmethod
    async def put(
        self, *, kind: str, name: str, value: bytes, expect_version: int
    ) -> int:
        """Writes an object if it still has the expected version.

        Args:
            kind: Kind of the object.
            name: Name of the object.
            value: New content, at most one megabyte.
            expect_version: Version the object must still have; 0 creates it.

        Returns:
            The new version.

        Raises:
            ConflictError: The object has another version.
        """

    @abc.abstractmethod
    async def delete(
        self, *, kind: str, name: str, expect_version: int
    ) -> None:
        """Deletes an object if it still has the expected version.

        Raises:
            ConflictError: The object has another version.
        """

    @abc.abstractmethod
    async def watch(
        self, *, kind: str, after: int, wait_s: float
    ) -> WatchEvents:
        """Waits for changes of a kind.

        Args:
            kind: Kind of the objects.
            after: Version of the store after which changes are returned.
            wait_s: Maximum time to wait, in seconds.
        """


class StatusStore(ObjectStore):
    """An object store whose objects have a status besides their value."""

    __slots__ = ()

    @abc.abstractmethod
    async def put_status(self, *, kind: str, name: str, value: bytes) -> None:
        """Replaces the status of an object whose value others write.

        Raises:
            ConflictError: The object does not exist.
        """
