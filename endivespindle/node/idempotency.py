"""Claims idempotency keys in the store before a call is sent."""

import asyncio
from collections.abc import Awaitable, Callable

import msgspec

from endivespindle.backends.interfaces import ServiceResponse
from endivespindle.core.ids import IdSource
from endivespindle.core.reasons import Reason
from endivespindle.exceptions import (
    AnswerLostError,
    ConflictError,
    PlatformError,
    RefusedError,
)
from endivespindle.routing.idempotency import (
    Claim,
    Replay,
    RequestFailure,
    decide_claim,
    finish_claim,
)
from endivespindle.schema.generated.caller import RunState
from endivespindle.schema.generated.stored import IdempotencyRecord
from endivespindle.store.object_store import ObjectStore
from endivespindle.store.update import read_object

__all__ = ["IDEMPOTENCY_KIND", "IdempotencyKeys"]

IDEMPOTENCY_KIND = "idempotency"

_MAX_ATTEMPTS = 8
_RETRY_DELAY_S = 0.05
_RETRY_AFTER_S = 1.0


class IdempotencyKeys:
    """Runs a call at most once per key, over all VMs.

    The key is claimed by a conditional write before the call is sent. If a VM
    dies after its claim, the key stays in progress until it expires, because
    the outcome of the call is unknown.

    Args:
        store: The object API.
        ids: Generator of the tokens that identify claims.
        now: Returns the Unix time, in seconds.
        sleep: Waits for a number of seconds.
    """

    __slots__ = ("_ids", "_now", "_sleep", "_store")

    def __init__(
        self,
        *,
        store: ObjectStore,
        ids: IdSource,
        now: Callable[[], float],
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ):
        self._store = store
        self._sleep = sleep
        self._ids = ids
        self._now = now

    async def run(
        self,
        *,
        name: str,
        digest: str,
        expiry_s: float,
        call: Callable[[], Awaitable[ServiceResponse]],
    ) -> ServiceResponse:
        """Runs the call, or returns its stored response.

        Args:
            name: Name of the key's record in the store.
            digest: Digest of the request.
            expiry_s: Seconds after which the key expires.
            call: Sends the call.

        Raises:
            RefusedError: The key was used with another request, its request is
                running or failed, or the platform is unavailable.
        """
        claim, version = await self._claim(name, digest, expiry_s)
        if isinstance(claim, Replay):
            return ServiceResponse(
                status=claim.status,
                content_type=claim.content_type,
                body=claim.body,
            )
        try:
            response = await call()
        except RefusedError as exc:
            failure = RequestFailure(reason=exc.reason, ran=exc.ran)
            await self._write_outcome(
                name, version, finish_claim(claim, failure=failure)
            )
            raise
        replay = Replay(
            status=response.status,
            content_type=response.content_type,
            body=response.body,
        )
        await self._write_outcome(
            name, version, finish_claim(claim, response=replay)
        )
        return response

    async def _claim(
        self, name: str, digest: str, expiry_s: float
    ) -> tuple[IdempotencyRecord | Replay, int]:
        """Claims a key.

        Returns:
            The claim or the stored response, and the version of the record.
        """
        token = self._ids.new("k")
        try:
            for _ in range(_MAX_ATTEMPTS):
                record, version = await read_object(
                    self._store,
                    kind=IDEMPOTENCY_KIND,
                    name=name,
                    cls=IdempotencyRecord,
                )
                if record is not None and record.token == token:
                    return record, version
                action = decide_claim(
                    record,
                    digest=digest,
                    token=token,
                    now=self._now(),
                    expiry_s=expiry_s,
                )
                if isinstance(action, Replay):
                    return action, version
                if isinstance(action, RequestFailure):
                    raise RefusedError(
                        action.reason,
                        ran=action.ran,
                        retry_after_s=_RETRY_AFTER_S,
                    )
                new_version = await self._try_write(name, version, action)
                if new_version:
                    return action.record, new_version
        except PlatformError as exc:
            raise _unavailable() from exc
        raise _unavailable()

    async def _try_write(self, name: str, version: int, claim: Claim) -> int:
        """Returns the new version, or 0 if the record must be read again."""
        try:
            return await self._store.put(
                kind=IDEMPOTENCY_KIND,
                name=name,
                value=msgspec.json.encode(claim.record),
                expect_version=version,
            )
        except (ConflictError, AnswerLostError):
            return 0

    async def _write_outcome(
        self, name: str, version: int, record: IdempotencyRecord
    ) -> None:
        """Writes the outcome of the call; retries if the store fails."""
        for _ in range(_MAX_ATTEMPTS):
            try:
                await self._store.put(
                    kind=IDEMPOTENCY_KIND,
                    name=name,
                    value=msgspec.json.encode(record),
                    expect_version=version,
                )
            except ConflictError:
                return
            except PlatformError:
                await self._sleep(_RETRY_DELAY_S)
                continue
            return


def _unavailable() -> RefusedError:
    return RefusedError(
        Reason.PLATFORM_UNAVAILABLE,
        ran=RunState.NOT_RUN,
        retry_after_s=_RETRY_AFTER_S,
    )
