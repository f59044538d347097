"""Batch job submissions."""

import msgspec

__all__ = [
    "BatchItem",
    "BatchSubmission",
    "RewardCall",
    "expected_output_tokens",
    "item_places",
]


class RewardCall(msgspec.Struct, kw_only=True, frozen=True):
    """The reward call that follows an item's completion.

    Attributes:
        call_id: Identity of the request.
        host: Host header; host and path select the route.
        path: Request path.
        body: Request body.
    """

    call_id: str
    host: str
    path: str
    body: bytes


class BatchItem(msgspec.Struct, kw_only=True, frozen=True):
    """One request of a batch job.

    Attributes:
        item_id: Identity; unchanged if the item is submitted again with a
            later job.
        path: Path at the backend server.
        headers: Request headers.
        body: Request body.
        tokens: Prompt tokens plus maximum output tokens.
        group: Group whose items share a prompt; empty if there is none.
        score: Reward call, if the result needs a score.
        hint: Output tokens that the trainer expects; 0 if it gave no estimate.
        prompt_tokens: Prompt tokens; 0 if they are not known.
        own_prompt_tokens: Those that the group does not share.
    """

    item_id: str
    path: str
    headers: dict[str, str]
    body: bytes
    tokens: int
    group: str = ""
    score: RewardCall | None = None
    hint: int = 0
    prompt_tokens: int = 0
    own_prompt_tokens: int = 0


class BatchSubmission(msgspec.Struct, kw_only=True, frozen=True):
    """A batch job as accepted; it never changes.

    Attributes:
        job_id: Identity.
        client_account: Client account whose key the request carried.
        host: Host header, which selects the route of the items.
        path: Path the job was submitted to.
        service: Service of the route when the job was accepted; a later
            configuration may name another one.
        submitted_ms: Unix milliseconds of the acceptance.
        due_s: Seconds after the acceptance at which the results are due.
        max_wait_s: Seconds after which items may be terminated; 0 if never.
        max_attempts: Failed attempts after which an item may be terminated.
        single_version: Whether one weight version must generate a completion
            from start to end.
        first_owner: Node that is the job's first owner.
        items: Items, in order.
        step: Number of the training step, if the job is one.
        model: Model that generates the completions.
        min_version: Oldest weight version that may generate.
        group_count: Complete groups that the trainer waits for; 0 if it reads
            each result.
    """

    job_id: str
    client_account: str
    host: str
    path: str
    service: str
    submitted_ms: int
    due_s: float
    max_wait_s: float
    max_attempts: int
    single_version: bool
    first_owner: str
    items: list[BatchItem]
    step: int | None = None
    model: str = ""
    min_version: int = 0
    group_count: int = 0


def item_places(submission: BatchSubmission) -> dict[str, int]:
    """Returns the place of each item in a submission, by its identity."""
    return {item.item_id: n for n, item in enumerate(submission.items)}


def expected_output_tokens(item: BatchItem) -> int:
    """Returns the output tokens that an item is expected to need.

    Without an estimate by the trainer, this is the upper bound
    `BatchItem.tokens`.
    """
    return item.hint or item.tokens
