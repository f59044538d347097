"""A batch job as a trainer submits it."""

import msgspec

__all__ = [
    "BatchItem",
    "BatchSubmission",
    "RewardCall",
    "expected_output_tokens",
]


class RewardCall(msgspec.Struct, kw_only=True, frozen=True):
    """The reward call that follows an item's text.

    Attributes:
        call_id: Identity of the request.
        host: Host header, which with the path selects the route.
        path: Path.
        body: Body.
    """

    call_id: str
    host: str
    path: str
    body: bytes


class BatchItem(msgspec.Struct, kw_only=True, frozen=True):
    """One request of a batch job.

    Attributes:
        item_id: Identity; an item carried over to a later job keeps it.
        path: Path at the backend server.
        headers: Headers of the request.
        body: Body.
        tokens: Prompt tokens and the most output tokens together.
        group: Group whose items share a prompt; empty if there is none.
        score: Reward call, if the result needs a score.
        hint: Output tokens that the trainer expects; 0 if it did not say.
    """

    item_id: str
    path: str
    headers: dict[str, str]
    body: bytes
    tokens: int
    group: str = ""
    score: RewardCall | None = None
    hint: int = 0


class BatchSubmission(msgspec.Struct, kw_only=True, frozen=True):
    """A batch job as it was accepted; it never changes.

    Attributes:
        job_id: Identity.
        client_account: Client account whose key came with it.
        host: Host header, which selects the route of its items.
        path: Path it was submitted to.
        service: Service of its route when it was accepted.
        submitted_ms: Unix milliseconds of its acceptance.
        due_s: Seconds after which its results are due.
        max_wait_s: Seconds after which an item may be given up.
        max_attempts: Failed attempts after which an item may be given up.
        single_version: Whether a text needs one weight version throughout.
        first_owner: Node that accepted it.
        items: Its items, in order.
        step: Number of the training step, if it is one.
        model: Model that generates.
        min_version: Oldest weight version that may generate.
        group_count: Groups that the trainer waits for.
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


def expected_output_tokens(item: BatchItem) -> int:
    """Returns the output tokens an item is expected to need.

    Without the trainer's own estimate, all it may need counts.
    """
    return item.hint or item.tokens
