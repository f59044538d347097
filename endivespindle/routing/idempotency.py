"""What a request with an idempotency key may do."""

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
    "finish_claim",
    "decide_claim",
    "record_name",
    "request_digest",
]

_MAX_KEPT_BODY_BYTES = 65_536


class Claim(msgspec.Struct, kw_only=True, frozen=True):
    """The request may run, once this record is written."""

    record: IdempotencyRecord


class Replay(msgspec.Struct, kw_only=True, frozen=True):
    """The request ran before; this is its answer."""

    status: int
    content_type: str
    body: bytes


class RequestFailure(msgspec.Struct, kw_only=True, frozen=True):
    """The request must not run."""

    reason: Reason
    ran: RunState


def record_name(*, client_account: str, route: str, key: str) -> str:
    """Returns the name of a key's object; keys of accounts stay apart."""
    return sha256_hex(f"{client_account}\0{route}\0{key}".encode())


def request_digest(*, method: str, path: str, body: bytes) -> str:
    """Returns the digest by which a repeated request is known."""
    return sha256_hex(f"{method}\0{path}\0".encode() + body)


def decide_claim(
    known: IdempotencyRecord | None,
    *,
    digest: str,
    token: str,
    now: float,
    expiry_s: float,
) -> Claim | Replay | RequestFailure:
    """Decides by what the platform holds for the key.

    Args:
        known: The record; None if there is none.
        digest: Digest of the request.
        token: Token of this request's claim.
        now: Unix time in seconds.
        expiry_s: Seconds after which a key may be used anew.
    """
    claim = Claim(
        record=IdempotencyRecord(
            digest=digest,
            state=IdempotencyState.RUNNING,
            token=token,
            claimed_at=now,
        )
    )
    if known is None or now - known.claimed_at > expiry_s:
        return claim
    if known.digest != digest:
        return _stop(Reason.IDEMPOTENCY_MISMATCH)
    if known.state is IdempotencyState.RELEASED:
        return claim
    if known.state is IdempotencyState.RUNNING:
        return _stop(Reason.IDEMPOTENCY_IN_PROGRESS)
    if known.state is IdempotencyState.FAILED:
        return RequestFailure(
            reason=Reason[known.reason], ran=RunState(known.ran)
        )
    if known.body is None:
        return _stop(Reason.IDEMPOTENCY_ANSWER_LOST)
    return Replay(
        status=known.status, content_type=known.content_type, body=known.body
    )


def finish_claim(
    claim: IdempotencyRecord,
    *,
    response: Replay | None = None,
    failure: RequestFailure | None = None,
) -> IdempotencyRecord:
    """Returns the record of a claim that came to its end.

    A request that did not run releases its key, so that the caller may try
    again. Any other failure stays, and is told to whoever repeats it.
    """
    if response is not None:
        kept = len(response.body) <= _MAX_KEPT_BODY_BYTES
        return msgspec.structs.replace(
            claim,
            state=IdempotencyState.ANSWERED,
            status=response.status,
            content_type=response.content_type,
            body=response.body if kept else None,
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


def _stop(reason: Reason) -> RequestFailure:
    return RequestFailure(reason=reason, ran=reason.ran)
