"""Client of the operations API: usage reports and capacity orders."""

from typing import Any

import aiohttp
import msgspec

from endivespindle.controller.operations import (
    CapacityRequest,
    FencingToken,
    OperationOutcome,
    Operations,
    UsageWindowReport,
)
from endivespindle.exceptions import AnswerLostError, PlatformUnavailableError

__all__ = ["PlatformOperations"]

_OUTCOMES = {
    200: OperationOutcome.TAKEN,
    201: OperationOutcome.TAKEN,
    202: OperationOutcome.TAKEN,
    409: OperationOutcome.NONE_AVAILABLE,
    412: OperationOutcome.FENCED,
}
_NOT_EXECUTED_STATUSES = frozenset({429, 503})


class PlatformOperations(Operations):
    """Client for the calls that only the holder of a lease may make.

    Args:
        session: Opens a connection for each call, so that an abandoned call
            cannot arrive later.
        base_url: Address of the API.
    """

    __slots__ = ("_base_url", "_session")

    def __init__(self, *, session: aiohttp.ClientSession, base_url: str):
        self._session = session
        self._base_url = base_url

    async def report_usage(
        self,
        report: UsageWindowReport,
        *,
        fencing_token: FencingToken,
        timeout_s: float,
    ) -> OperationOutcome:
        """Reports the requests of one usage window."""
        body = {"windowId": report.window, "counts": report.requests}
        return await self._call("/usage", body, fencing_token, timeout_s)

    async def order_capacity(
        self,
        order: CapacityRequest,
        *,
        fencing_token: FencingToken,
        timeout_s: float,
    ) -> OperationOutcome:
        """Orders a number of backend servers for one data centre."""
        body: dict[str, Any] = {
            "service": order.service,
            "zone": order.data_centre,
            # The platform's name for the target number of servers.
            "groupCount": order.servers,
        }
        if order.spot:
            body["spot"] = True
        return await self._call("/scale", body, fencing_token, timeout_s)

    async def _call(
        self,
        path: str,
        body: dict[str, Any],
        fencing_token: FencingToken,
        timeout_s: float,
    ) -> OperationOutcome:
        try:
            async with self._session.post(
                self._base_url + path,
                data=msgspec.json.encode(body),
                headers={
                    "Content-Type": "application/json",
                    "X-Duty-Holder": fencing_token.holder,
                    "X-Fencing-Token": str(fencing_token.epoch),
                },
                timeout=aiohttp.ClientTimeout(total=timeout_s),
                allow_redirects=False,
            ) as resp:
                await resp.read()
        except aiohttp.ClientConnectorError as exc:
            raise PlatformUnavailableError(f"{path}: {exc}") from exc
        except (TimeoutError, aiohttp.ClientError, OSError) as exc:
            raise AnswerLostError(f"{path}: {exc!r}") from exc
        if resp.status in _NOT_EXECUTED_STATUSES:
            raise PlatformUnavailableError(f"{path}: status {resp.status}")
        if resp.status >= 500:
            raise AnswerLostError(f"{path}: status {resp.status}")
        return _OUTCOMES.get(resp.status, OperationOutcome.REJECTED)
