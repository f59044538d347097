"""Client of the platform's object API."""

from typing import Any, TypeVar

import aiohttp
import msgspec

from endivespindle.core.nesting import decode_tolerantly
from endivespindle.exceptions import (
    AnswerLostError,
    ConflictError,
    PlatformError,
    PlatformUnavailableError,
)
from endivespindle.store.object_store import (
    ObjectList,
    StatusStore,
    StoredObject,
    WatchEvents,
)

__all__ = ["PlatformObjectStore"]

_GONE = 410
_CONFLICT = 409
_NOT_FOUND = 404
# Statuses which guarantee that the call had no effect.
_NOT_EXECUTED_STATUSES = frozenset({429, 503})
# Time beyond a watch's wait after which its connection is considered lost.
_WATCH_TIMEOUT_MARGIN_S = 0.8

T = TypeVar("T")


class _Metadata(msgspec.Struct):
    name: str
    revision: int


class _Object(msgspec.Struct):
    metadata: _Metadata
    # State set by the writer; the value of a `StoredObject`.
    spec: msgspec.Raw = msgspec.Raw(b"null")


class _Page(msgspec.Struct, rename="camel"):
    items: list[_Object]
    store_revision: int
    # Whether more objects follow the last name of this page.
    truncated: bool = False


class _Event(msgspec.Struct):
    object: _Object
    # Whether the object was deleted.
    tombstone: bool = False


class _Events(msgspec.Struct, rename="camel"):
    events: list[_Event]
    store_revision: int


# Number of arrays and objects around an object's `spec` in a response.
_SPEC_LEVELS: dict[type, int] = {_Object: 1, _Page: 3, _Events: 4}


class PlatformObjectStore(StatusStore):
    """Client of the object API; stored values are the objects' `spec`.

    Args:
        session: Pools connections; must not retry calls by itself.
        base_url: Address of the API.
        timeout_s: Seconds after which a call is considered lost.
    """

    __slots__ = ("_base_url", "_session", "_timeout_s")

    def __init__(
        self,
        *,
        session: aiohttp.ClientSession,
        base_url: str,
        timeout_s: float,
    ):
        self._session = session
        self._base_url = base_url
        self._timeout_s = timeout_s

    async def get(self, *, kind: str, name: str) -> StoredObject | None:
        """Returns an object, or None if there is none."""
        return await self._get(kind, name, {})

    async def get_stale(self, *, kind: str, name: str) -> StoredObject | None:
        """Returns an object, possibly seconds old; costs less than `get`."""
        return await self._get(kind, name, {"serializable": "1"})

    async def list_objects(self, *, kind: str, prefix: str = "") -> ObjectList:
        """Returns the objects of a kind whose names start with a prefix."""
        found: list[StoredObject] = []
        params: dict[str, str] = {}
        first_revision: int | None = None
        while True:
            _, body = await self._call("GET", f"/{kind}", params=params)
            page = _decode(body, _Page)
            if first_revision is None:
                first_revision = page.store_revision
            found += [_stored_object(kind, obj) for obj in page.items]
            if not page.truncated or not page.items:
                break
            params = {"after": page.items[-1].metadata.name}
        # The first page's revision, so that the watch that follows also returns
        # changes made between two pages.
        return ObjectList(
            version=first_revision,
            objects=[obj for obj in found if obj.name.startswith(prefix)],
        )

    async def put(
        self, *, kind: str, name: str, value: bytes, expect_version: int
    ) -> int:
        """Writes an object if its version is still `expect_version`."""
        metadata: dict[str, Any] = {"name": name}
        method, path = "POST", f"/{kind}"
        if expect_version:
            metadata["revision"] = expect_version
            method, path = "PUT", f"/{kind}/{name}"
        body = {"metadata": metadata, "spec": msgspec.Raw(value)}
        return await self._write(method, path, body)

    async def put_status(self, *, kind: str, name: str, value: bytes) -> None:
        """Replaces the status of an object owned by another writer."""
        body = {"metadata": {"name": name}, "status": msgspec.Raw(value)}
        await self._write("PUT", f"/{kind}/{name}/status", body)

    async def delete(
        self, *, kind: str, name: str, expect_version: int
    ) -> None:
        """Deletes an object if its version is still `expect_version`."""
        status, _ = await self._call(
            "DELETE",
            f"/{kind}/{name}",
            params={"revision": str(expect_version)},
        )
        if status == _CONFLICT:
            raise ConflictError(f"{kind}/{name}")

    async def watch(
        self, *, kind: str, after: int, wait_s: float
    ) -> WatchEvents:
        """Waits for changes to objects of a kind after a version."""
        status, body = await self._call(
            "GET",
            f"/{kind}",
            params={"watch": str(after), "waitMs": str(int(wait_s * 1000))},
            timeout_s=wait_s + _WATCH_TIMEOUT_MARGIN_S,
        )
        if status == _GONE:
            return WatchEvents(version=after, objects=[], lost=True)
        events = _decode(body, _Events)
        return WatchEvents(
            version=events.store_revision,
            objects=[
                _stored_object(kind, event.object, is_deleted=event.tombstone)
                for event in events.events
            ],
        )

    async def _get(
        self, kind: str, name: str, params: dict[str, str]
    ) -> StoredObject | None:
        status, body = await self._call("GET", f"/{kind}/{name}", params=params)
        if status == _NOT_FOUND:
            return None
        return _stored_object(kind, _decode(body, _Object))

    async def _write(self, method: str, path: str, doc: dict[str, Any]) -> int:
        status, body = await self._call(
            method, path, data=msgspec.json.encode(doc)
        )
        if status in (_CONFLICT, _NOT_FOUND):
            raise ConflictError(f"{method} {path}: {status}")
        return _decode(body, _Object).metadata.revision

    async def _call(
        self,
        method: str,
        path: str,
        *,
        data: bytes | None = None,
        params: dict[str, str] | None = None,
        timeout_s: float | None = None,
    ) -> tuple[int, bytes]:
        """Makes one call and returns its status and body."""
        operation = f"{method} {path}"
        headers = {"Content-Type": "application/json"} if data else None
        try:
            async with self._session.request(
                method,
                f"{self._base_url}/objects{path}",
                params=params,
                data=data,
                headers=headers,
                timeout=aiohttp.ClientTimeout(
                    total=timeout_s or self._timeout_s
                ),
                allow_redirects=False,
            ) as resp:
                body = await resp.read()
        except aiohttp.ClientConnectorError as exc:
            raise PlatformUnavailableError(f"{operation}: {exc}") from exc
        except (TimeoutError, aiohttp.ClientError, OSError) as exc:
            raise AnswerLostError(f"{operation}: {exc!r}") from exc
        if resp.status in _NOT_EXECUTED_STATUSES:
            raise PlatformUnavailableError(f"{operation}: status {resp.status}")
        if resp.status >= 500:
            raise AnswerLostError(f"{operation}: status {resp.status}")
        if resp.status >= 400 and resp.status not in (
            _NOT_FOUND,
            _CONFLICT,
            _GONE,
        ):
            raise PlatformError(
                f"{operation}: status {resp.status}: {body[:200]!r}"
            )
        return resp.status, body


def _stored_object(
    kind: str, obj: _Object, *, is_deleted: bool = False
) -> StoredObject:
    return StoredObject(
        kind=kind,
        name=obj.metadata.name,
        version=obj.metadata.revision,
        value=None if is_deleted else bytes(obj.spec),
    )


def _decode(body: bytes, cls: type[T]) -> T:
    try:
        return decode_tolerantly(body, type=cls, level=_SPEC_LEVELS[cls])
    except msgspec.MsgspecError as exc:
        raise AnswerLostError(f"malformed response: {exc}") from exc
