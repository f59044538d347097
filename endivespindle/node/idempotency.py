"""Claims idempotency keys in the platform before a call is sent."""

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

_MAX_TRIES = 8
_RETRY_PAUSE_S = 0.05
_RETRY_AFTER_S = 1.0


class IdempotencyKeys:
    """Runs a call at most once for a key, over all VMs.

    The key is claimed by a conditional write before anything is sent. A VM
    that dies after its claim leaves the key in progress until it expires:
    whether the call ran is then not known.

    Args:
        store: The object API.
        ids: Source of claims' tokens.
        now: Returns the Unix time in seconds.
        sleep: Waits some seconds.
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
        """Makes the call, or returns the answer it had before.

        Raises:
            RefusedError: The key stands for another request, its request is
                running or failed, or the platform cannot be reached.
        """
        claim, version = await self._claim(name, digest, expiry_s)
        if isinstance(claim, Replay):
            return ServiceResponse(
                status=claim.status,
                content_type=claim.content_type,
                body=claim.body,
            )
        try:
            answer = await call()
        except RefusedError as exc:
            failure = RequestFailure(reason=exc.reason, ran=exc.ran)
            await self._settle(
                name, version, finish_claim(claim, failure=failure)
            )
            raise
        replay = Replay(
            status=answer.status,
            content_type=answer.content_type,
            body=answer.body,
        )
        await self._settle(name, version, finish_claim(claim, response=replay))
        return answer

    async def _claim(
        self, name: str, digest: str, expiry_s: float
    ) -> tuple[IdempotencyRecord | Replay, int]:
        """Returns the claim and its version, or the answer had before."""
        token = self._ids.new("k")
        try:
            for _ in range(_MAX_TRIES):
                known, version = await read_object(
                    self._store,
                    kind=IDEMPOTENCY_KIND,
                    name=name,
                    cls=IdempotencyRecord,
                )
                if known is not None and known.token == token:
                    return known, version
                action = decide_claim(
                    known,
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
                written = await self._write(name, version, action)
                if written:
                    return action.record, written
        except PlatformError as exc:
            raise _unavailable() from exc
        raise _unavailable()

    async def _write(self, name: str, version: int, claim: Claim) -> int:
        """Returns the new version, or 0 if it must be read again."""
        try:
            return await self._store.put(
                kind=IDEMPOTENCY_KIND,
                name=name,
                value=msgspec.json.encode(claim.record),
                expect_version=version,
            )
        except (ConflictError, AnswerLostError):
            return 0

    async def _settle(
        self, name: str, version: int, record: IdempotencyRecord
    ) -> None:
        """Writes how the call ended; a lost answer is written again."""
        for _ in range(_MAX_TRIES):
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
                await self._sleep(_RETRY_PAUSE_S)
                continue
            return


def _unavailable() -> RefusedError:
    return RefusedError(
        Reason.PLATFORM_UNAVAILABLE,
        ran=RunState.NOT_RUN,
        retry_after_s=_RETRY_AFTER_S,
    )
