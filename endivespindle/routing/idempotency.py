"""Decisions about requests with an idempotency key."""

import msgspec

from endivespindle.core.digests import sha256_hex
from endivespindle.core.reasons import Reason
from endivespindle.schema.generated.caller import RunState
from endivespindle.schema.generated.stored import (
    IdempotencyRecord,
    IdempotencyState,
)

__all__ = [
    "Claim",
    "Replay",
    "RequestFailure",
    "decide_claim",
    "finish_claim",
    "record_name",
    "request_digest",
]

_MAX_STORED_BODY_BYTES = 65_536


class Claim(msgspec.Struct, kw_only=True, frozen=True):
    """The request may run once this record is written."""

    record: IdempotencyRecord


class Replay(msgspec.Struct, kw_only=True, frozen=True):
    """The request ran before; this is its stored response."""

    status: int
    content_type: str
    body: bytes


class RequestFailure(msgspec.Struct, kw_only=True, frozen=True):
    """The request fails without being run or repeated."""

    reason: Reason
    ran: RunState


def record_name(*, client_account: str, route: str, key: str) -> str:
    """Returns the object name of a key, unique per client account and route."""
    return sha256_hex(f"{client_account}\0{route}\0{key}".encode())


def request_digest(*, method: str, path: str, body: bytes) -> str:
    """Returns the digest that identifies a repeated request."""
    return sha256_hex(f"{method}\0{path}\0".encode() + body)


def decide_claim(
    existing: IdempotencyRecord | None,
    *,
    digest: str,
    token: str,
    now: float,
    expiry_s: float,
) -> Claim | Replay | RequestFailure:
    """Decides by the record that the platform stores for the key.

    Args:
        existing: Stored record; None if there is none.
        digest: Digest of the request.
        token: Unique token of this request's claim.
        now: Unix time in seconds.
        expiry_s: Seconds after a claim until its key may be reused.

    Returns:
        A claim if the request may run, the stored response if it ran before,
        or a failure: the key is used by another request, its request is still
        running or failed, or the response was too large to store.
    """
    claim = Claim(
        record=IdempotencyRecord(
            digest=digest,
            state=IdempotencyState.RUNNING,
            token=token,
            claimed_at=now,
        )
    )
    if existing is None or now - existing.claimed_at > expiry_s:
        return claim
    if existing.digest != digest:
        return _failure(Reason.IDEMPOTENCY_MISMATCH)
    if existing.state is IdempotencyState.RELEASED:
        return claim
    if existing.state is IdempotencyState.RUNNING:
        return _failure(Reason.IDEMPOTENCY_IN_PROGRESS)
    if existing.state is IdempotencyState.FAILED:
        return RequestFailure(
            reason=Reason[existing.reason], ran=RunState(existing.ran)
        )
    if existing.body is None:
        return _failure(Reason.IDEMPOTENCY_ANSWER_LOST)
    return Replay(
        status=existing.status,
        content_type=existing.content_type,
        body=existing.body,
    )


def finish_claim(
    claim: IdempotencyRecord,
    *,
    response: Replay | None = None,
    failure: RequestFailure | None = None,
) -> IdempotencyRecord:
    """Returns the final record of a claim whose request has ended.

    A request that did not run releases its key, so that the caller may retry.
    Any other failure is stored and returned to each repetition of the request.
    """
    if response is not None:
        is_stored = len(response.body) <= _MAX_STORED_BODY_BYTES
        return msgspec.structs.replace(
            claim,
            state=IdempotencyState.ANSWERED,
            status=response.status,
            content_type=response.content_type,
            body=response.body if is_stored else None,
        )
    assert failure is not None
    if failure.ran is RunState.NOT_RUN:
        return msgspec.structs.replace(claim, state=IdempotencyState.RELEASED)
    return msgspec.structs.replace(
        claim,
        state=IdempotencyState.FAILED,
        reason=failure.reason.name,
        ran=failure.ran.value,
    )


def _failure(reason: Reason) -> RequestFailure:
    return RequestFailure(reason=reason, ran=reason.ran)
