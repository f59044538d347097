"""Calls and bodies of batch jobs on the users' platform."""

import base64
import binascii
from collections.abc import Sequence

import msgspec

from endivespindle.batch.job_calls import JobAction, JobCallSyntax
from endivespindle.batch.progress import ItemResult
from endivespindle.batch.submission import (
    BatchItem,
    BatchSubmission,
    RewardCall,
)
from endivespindle.core.decoding import decode_json, parse_count
from endivespindle.exceptions import MessageError
from endivespindle.serving.configuration import Route

__all__ = ["JOB_CALLS", "decode_submission", "encode_page"]

JOB_CALLS = JobCallSyntax(
    actions={
        ("GET", "/lots/"): JobAction.READ,
        ("DELETE", "/lots/"): JobAction.END,
        ("GET", "/items/"): JobAction.READ_ITEM,
    },
    item_parameter="id",
    position_parameter="after",
)
# Header with the trainer's estimate of the number of output tokens.
_LENGTH_HINT = "x-length-hint"
_PROMPT_PARTS = "x-prompt-prefix"


class _Scorer(msgspec.Struct):
    id: str
    host: str
    path: str
    body: str


class _Item(msgspec.Struct):
    id: str
    path: str
    body: str
    headers: dict[str, str] = {}
    tokens: int = 0
    group: str = ""
    scorer: _Scorer | None = None


class _Submission(msgspec.Struct, rename="camel"):
    items: list[_Item]
    step: int | None = None
    model: str = ""
    min_version: int = 0
    group_count: int = 0


class _Result(msgspec.Struct):
    id: str
    state: str
    output: str
    versions: Sequence[int]
    score: str


class _ResultPage(msgspec.Struct, rename="camel"):
    total: int
    # Position after the last result of the page, not an opaque token.
    next_token: int
    results: list[_Result]


def decode_submission(
    body: bytes,
    *,
    job_id: str,
    client_account: str,
    route: Route,
    service: str,
    path: str,
    submitted_ms: int,
    owner: str,
) -> BatchSubmission:
    """Decodes the body of a submission.

    Raises:
        MessageError: The body is malformed.
    """
    try:
        doc = decode_json(body, type=_Submission)
        items = [_batch_item(item) for item in doc.items]
    except (msgspec.MsgspecError, binascii.Error) as exc:
        raise MessageError(str(exc)) from exc
    if len({item.item_id for item in items}) != len(items):
        raise MessageError("two items have the same id")
    return BatchSubmission(
        job_id=job_id,
        client_account=client_account,
        host=route.host,
        path=path,
        service=service,
        submitted_ms=submitted_ms,
        due_s=route.due_s,
        max_wait_s=route.max_wait_s,
        max_attempts=route.max_attempts,
        single_version=route.single_version,
        first_owner=owner,
        items=items,
        step=doc.step,
        model=doc.model,
        min_version=doc.min_version,
        group_count=doc.group_count,
    )


def encode_page(
    *, total: int, after: int, results: Sequence[ItemResult]
) -> bytes:
    """Encodes a page of results that starts at position `after`."""
    return msgspec.json.encode(
        _ResultPage(
            total=total,
            next_token=after + len(results),
            results=[
                _Result(
                    id=r.item_id,
                    state=r.outcome.value,
                    output=r.text,
                    versions=r.versions,
                    score=r.score,
                )
                for r in results
            ],
        )
    )


def _batch_item(doc: _Item) -> BatchItem:
    headers = {name.lower(): value for name, value in doc.headers.items()}
    hint = headers.get(_LENGTH_HINT, "")
    # Parts of the prompt as ID:TOKENS; the last one is the item's own.
    counts = [
        parse_count(part.rpartition(":")[2].strip())
        for part in headers.get(_PROMPT_PARTS, "").split(",")
    ]
    parts = [count for count in counts if count is not None]
    reward_call = None
    if doc.scorer is not None:
        reward_call = RewardCall(
            call_id=doc.scorer.id,
            host=doc.scorer.host,
            path=doc.scorer.path,
            body=base64.b64decode(doc.scorer.body, validate=True),
        )
    return BatchItem(
        item_id=doc.id,
        path=doc.path,
        headers=doc.headers,
        body=base64.b64decode(doc.body, validate=True),
        tokens=doc.tokens,
        group=doc.group,
        score=reward_call,
        hint=parse_count(hint) or 0,
        prompt_tokens=sum(parts),
        own_prompt_tokens=parts[-1] if parts else 0,
    )
