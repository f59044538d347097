"""HTTP client for the interfaces of the platform."""

from typing import Any

import aiohttp
import msgspec

from endivespindle.core.decoding import decode_json
from endivespindle.exceptions import (
    AnswerLostError,
    ConflictError,
    PlatformError,
    PlatformUnavailableError,
)
from endivespindle.schema.generated.backend import (
    CapacityOrder,
    CapacityState,
    VmList,
)
from endivespindle.schema.generated.stored import UsageReport
from endivespindle.store.interfaces import Platform
from endivespindle.store.object_store import (
    ObjectList,
    StoredObject,
    WatchEvents,
)

__all__ = ["HttpPlatform"]

_CONFLICT_STATUSES = frozenset({409, 412})
_UNAVAILABLE_STATUSES = frozenset({429, 503})


class HttpPlatform(Platform):
    """Client of all interfaces of the platform, on one connection pool.

    Args:
        session: HTTP session.
        base_url: URL of the platform.
        credential: Bearer token.
        call_timeout_s: Timeout of a call, in seconds, unless the call has
            its own. A watch may take this long beyond its waiting time.
    """

    __slots__ = ("_base_url", "_headers", "_session", "_timeout_s")

    def __init__(
        self,
        *,
        session: aiohttp.ClientSession,
        base_url: str,
        credential: str,
        call_timeout_s: float,
    ):
        self._session = session
        self._base_url = base_url.rstrip("/")
        self._timeout_s = call_timeout_s
        self._headers = {"Authorization": f"Bearer {credential}"}

    async def get(self, *, kind: str, name: str) -> StoredObject | None:
        """Returns an object, or None if there is none."""
        status, version, body = await self._call(
            "GET", f"/v1/objects/{kind}/{name}", missing_ok=True
        )
        if status == 404:
            return None
        return StoredObject(kind=kind, name=name, version=version, value=body)

    async def list_objects(self, *, kind: str, prefix: str = "") -> ObjectList:
        """Returns the objects of a kind whose names start with a prefix."""
        _, _, body = await self._call(
            "GET", f"/v1/objects/{kind}", params={"prefix": prefix}
        )
        return decode_json(body, type=ObjectList)

    async def put(
        self, *, kind: str, name: str, value: bytes, expect_version: int
    ) -> int:
        """Writes an object if it still has the expected version."""
        _, version, _ = await self._call(
            "PUT",
            f"/v1/objects/{kind}/{name}",
            data=value,
            headers={"If-Match": str(expect_version)},
        )
        return version

    async def delete(
        self, *, kind: str, name: str, expect_version: int
    ) -> None:
        """Deletes an object if it still has the expected version."""
        await self._call(
            "DELETE",
            f"/v1/objects/{kind}/{name}",
            headers={"If-Match": str(expect_version)},
        )

    async def watch(
        self, *, kind: str, after: int, wait_s: float
    ) -> WatchEvents:
        """Waits for changes of a kind after a store version."""
        _, _, body = await self._call(
            "GET",
            f"/v1/watch/{kind}",
            params={"after": str(after), "wait_s": str(wait_s)},
            timeout_s=wait_s + self._timeout_s,
        )
        return decode_json(body, type=WatchEvents)

    async def order(
        self, order: CapacityOrder, *, timeout_s: float
    ) -> CapacityState:
        """Orders an absolute count; returns the resulting capacity."""
        _, _, body = await self._call(
            "PUT",
            f"/v1/capacity/{order.data_centre}/{order.service}",
            data=msgspec.json.encode(order),
            timeout_s=timeout_s,
        )
        return decode_json(body, type=CapacityState)

    async def state(self, *, data_centre: str, service: str) -> CapacityState:
        """Returns the ordered and the running capacity."""
        _, _, body = await self._call(
            "GET", f"/v1/capacity/{data_centre}/{service}"
        )
        return decode_json(body, type=CapacityState)

    async def report(self, report: UsageReport, *, timeout_s: float) -> None:
        """Sends an immutable usage report."""
        await self._call(
            "PUT",
            f"/v1/usage/{report.client_account}/{report.window}",
            data=msgspec.json.encode(report),
            timeout_s=timeout_s,
        )

    async def list_vms(self) -> VmList:
        """Returns live and leaving VMs, as of some seconds ago."""
        _, _, body = await self._call("GET", "/v1/vms")
        return decode_json(body, type=VmList)

    async def versions(self, *, trainer: str) -> list[int]:
        """Returns the versions published for a trainer, oldest first."""
        _, _, body = await self._call("GET", f"/v1/weights/{trainer}")
        return decode_json(body, type=list[int])

    async def _call(
        self,
        method: str,
        path: str,
        *,
        timeout_s: float | None = None,
        missing_ok: bool = False,
        headers: dict[str, str] | None = None,
        **kwargs: Any,
    ) -> tuple[int, int, bytes]:
        """Makes one call.

        Returns:
            Status, object version and body of the response.

        Raises:
            ConflictError: The object has another version.
            PlatformUnavailableError: The call did not reach the platform, or
                the platform is unavailable.
            AnswerLostError: The call may have taken effect.
            PlatformError: The platform responded with another error status.
        """
        timeout = aiohttp.ClientTimeout(total=timeout_s or self._timeout_s)
        try:
            async with self._session.request(
                method,
                self._base_url + path,
                timeout=timeout,
                allow_redirects=False,
                headers={**self._headers, **(headers or {})},
                **kwargs,
            ) as resp:
                body = await resp.read()
        except aiohttp.ClientConnectorError as exc:
            raise PlatformUnavailableError(str(exc)) from exc
        except (TimeoutError, aiohttp.ClientError) as exc:
            raise AnswerLostError(f"{method} {path}: {exc!r}") from exc
        if resp.status not in (200, 404) or (
            resp.status == 404 and not missing_ok
        ):
            raise _exception_for(resp.status, f"{method} {path}: {resp.status}")
        return resp.status, int(resp.headers.get("ETag", "0")), body


def _exception_for(status: int, message: str) -> PlatformError:
    """Returns the exception for an HTTP status."""
    if status in _CONFLICT_STATUSES:
        return ConflictError(message)
    if status in _UNAVAILABLE_STATUSES:
        return PlatformUnavailableError(message)
    if status >= 500:
        return AnswerLostError(message)
    return PlatformError(message)
