"""Submission of steps: splits them into pages and accepts each part once."""

import msgspec

from endivespindle.core.digests import canonical_json, sha256_hex
from endivespindle.core.reasons import Reason
from endivespindle.exceptions import RefusedError
from endivespindle.schema.generated.rollout import StepSubmission
from endivespindle.schema.generated.stored import (
    GroupState,
    PromptGroup,
    PromptPage,
    StepState,
    TrainerState,
)

__all__ = [
    "SplitStep",
    "is_closed",
    "prompt_page_name",
    "split_step",
    "submit_step",
]

_MAX_PAGE_BYTES = 500_000
_MAX_OPEN_GROUPS = 8192
_PAGE_NAME_CHARS = 16


class SplitStep(msgspec.Struct, kw_only=True, frozen=True):
    """A submission split into pages that each fit into one stored object.

    Attributes:
        step: Step.
        groups_total: Number of groups in the complete step.
        pages: Pages by name; the name is a digest of the content.
    """

    step: int
    groups_total: int
    pages: dict[str, PromptPage]


def split_step(submission: StepSubmission) -> SplitStep:
    """Splits a submission into pages; equal content gives equal pages.

    Raises:
        RefusedError: A group does not fit into a page.
    """
    groups = [
        PromptGroup(
            group=sub.group,
            prompt=sub.prompt,
            samples=sub.samples,
            max_tokens=sub.max_tokens,
        )
        for sub in submission.groups
    ]
    pages: dict[str, PromptPage] = {}
    batch: list[PromptGroup] = []
    size = 0
    for group in groups:
        length = len(msgspec.json.encode(group))
        if length > _MAX_PAGE_BYTES:
            raise RefusedError(Reason.BODY_TOO_LARGE)
        if size + length > _MAX_PAGE_BYTES:
            _add_page(pages, submission.step, batch)
            batch, size = [], 0
        batch.append(group)
        size += length
    _add_page(pages, submission.step, batch)
    total = submission.groups_total or len(groups)
    return SplitStep(step=submission.step, groups_total=total, pages=pages)


def submit_step(state: TrainerState, split: SplitStep) -> TrainerState:
    """Returns the state with the groups of a submission added.

    A repeated submission changes nothing. Parts of a step, and steps, may
    arrive in any order. A submission that cannot be accepted is refused,
    never dropped silently.

    Raises:
        RefusedError: The submission conflicts with an earlier one, its step
            was closed too long ago to recognise a repeat, or too many groups
            are open.
    """
    if is_closed(state, split.step):
        if split.step in state.closed:
            return state
        raise RefusedError(Reason.STEP_CLOSED)
    steps = {step.step: step for step in state.steps}
    old = steps.get(split.step) or StepState(
        step=split.step, groups_total=split.groups_total, pages=[], groups=[]
    )
    if old.groups_total != split.groups_total:
        raise RefusedError(Reason.SUBMISSION_CONFLICT)
    added = [name for name in split.pages if name not in old.pages]
    if not added:
        return state
    pages = old.pages + added
    groups = old.groups + [
        GroupState(
            group=group.group, page=pages.index(name), samples=group.samples
        )
        for name in added
        for group in split.pages[name].groups
    ]
    numbers = {group.group for group in groups}
    if len(numbers) < len(groups) or len(groups) > old.groups_total:
        raise RefusedError(Reason.SUBMISSION_CONFLICT)
    steps[split.step] = msgspec.structs.replace(old, pages=pages, groups=groups)
    if sum(len(step.groups) for step in steps.values()) > _MAX_OPEN_GROUPS:
        raise RefusedError(Reason.TOO_MANY_OPEN, retry_after_s=1.0)
    return msgspec.structs.replace(
        state,
        steps=[steps[number] for number in sorted(steps)],
        last_step=max(state.last_step, split.step),
    )


def is_closed(state: TrainerState, step: int) -> bool:
    """Returns whether all samples of a step were acknowledged."""
    if any(known.step == step for known in state.steps):
        return False
    return step in state.closed or step < state.closed_below


def prompt_page_name(trainer: str, step: int, page: str) -> str:
    """Returns the object name of a prompt page."""
    return f"{trainer}/{step:010}/{page}"


def _add_page(
    pages: dict[str, PromptPage], step: int, groups: list[PromptGroup]
) -> None:
    page = PromptPage(step=step, groups=groups)
    digest = sha256_hex(canonical_json(page))
    pages[digest[:_PAGE_NAME_CHARS]] = page
