"""Delivery of samples to a trainer, exactly once.

The shared state of a trainer is one `TrainerState` object. Each function is
pure: it accepts the state as read and returns the state to write with a
conditional update. If another writer wins, the caller calls the function
again on the newer state.

A cursor identifies one sample committed to one slot and is never reused. A
slot has at most one live cursor, that is, one that is not voided. A cursor is
recorded as offered before its sample is delivered; from then on the slot is
reopened only if the trainer returns the sample.
"""

import msgspec

from endivespindle.core.reasons import Reason
from endivespindle.exceptions import RefusedError
from endivespindle.rollout.bits import (
    add_bit,
    has_bit,
    is_full,
    missing_bits,
    remove_bit,
)
from endivespindle.schema.generated.stored import (
    DeliveryEntry,
    GroupState,
    StepState,
    TrainerState,
)

__all__ = [
    "CandidateSample",
    "CommitResult",
    "OfferResult",
    "OpenSlot",
    "acknowledge",
    "check_cursor",
    "commit_samples",
    "declare_version",
    "missing_slots",
    "offer",
    "reopen_lost_slot",
    "return_sample",
]

_MAX_CLOSED_STEPS = 64

_GroupKey = tuple[int, int]


class CandidateSample(msgspec.Struct, kw_only=True, frozen=True):
    """A finished sample that is not committed yet."""

    step: int
    group: int
    index: int
    digest: str
    holders: list[str]
    oldest_version: int
    tokens: int
    prompt_tokens: int = 0


class OpenSlot(msgspec.Struct, kw_only=True, frozen=True):
    """A slot that still needs a sample.

    Attributes:
        step: Step.
        group: Group within the step.
        index: Sample within the group.
        page: Name of the prompt page that contains its prompt.
    """

    step: int
    group: int
    index: int
    page: str


class CommitResult(msgspec.Struct, kw_only=True, frozen=True):
    """Outcome of computing a commit.

    Attributes:
        state: State to write.
        committed: Candidates with an entry in `state`, added now or by an
            earlier update whose response was lost.
        stale: Candidates older than the staleness bound; their slots stay
            open.
        duplicates: Candidates whose slot is filled by another sample or is
            unknown.
    """

    state: TrainerState
    committed: list[CandidateSample]
    stale: list[CandidateSample]
    duplicates: list[CandidateSample]


class OfferResult(msgspec.Struct, kw_only=True, frozen=True):
    """Outcome of computing an offer.

    Attributes:
        state: State to write before any entry is delivered.
        entries: Entries that may be delivered once `state` is written.
        stale: Entries that became stale before their first offer.
    """

    state: TrainerState
    entries: list[DeliveryEntry]
    stale: list[DeliveryEntry]


def declare_version(state: TrainerState, version: int) -> TrainerState:
    """Returns the state with a trainer's version, which never decreases."""
    if version <= state.version:
        return state
    return msgspec.structs.replace(state, version=version)


def commit_samples(
    state: TrainerState,
    candidates: list[CandidateSample],
    *,
    max_staleness_versions: int,
) -> CommitResult:
    """Commits candidates that are not stale to slots that are still open.

    The first candidate of a slot wins.

    Args:
        state: State as read.
        candidates: Finished samples.
        max_staleness_versions: Maximum number of versions that a sample may
            lag behind the trainer's version in `state`.
    """
    groups_by_key = {
        (step.step, group.group): group
        for step in state.steps
        for group in step.groups
    }
    live_digests = {
        (e.step, e.group, e.index): e.digest for e in unpaged_entries(state)
    }
    oldest_allowed = state.version - max_staleness_versions
    added: list[DeliveryEntry] = []
    result = CommitResult(state=state, committed=[], stale=[], duplicates=[])
    for cand in candidates:
        group = groups_by_key.get((cand.step, cand.group))
        if group is None or cand.index >= group.samples:
            result.duplicates.append(cand)
        elif has_bit(group.committed, cand.index):
            live_digest = live_digests.pop(
                (cand.step, cand.group, cand.index), None
            )
            is_same = live_digest == cand.digest
            (result.committed if is_same else result.duplicates).append(cand)
        elif cand.oldest_version < oldest_allowed:
            result.stale.append(cand)
        else:
            added.append(_make_entry(cand, state.last_cursor + len(added) + 1))
            groups_by_key[cand.step, cand.group] = _mark_committed(
                group, cand.index
            )
            result.committed.append(cand)
    if not added:
        return result
    return msgspec.structs.replace(
        result, state=_append(state, added, groups_by_key)
    )


def offer(
    state: TrainerState,
    entries: list[DeliveryEntry],
    *,
    max_staleness_versions: int,
) -> OfferResult:
    """Records entries as offered, after the last check before delivery.

    Entries that were voided or acknowledged since they were read are
    omitted. Entries that became stale before their first offer are voided.

    Args:
        state: State as read.
        entries: Entries in cursor order whose payloads were fetched.
        max_staleness_versions: Maximum number of versions that a sample may
            lag behind the trainer's version in `state`.
    """
    voided = set(state.voided)
    oldest_allowed = state.version - max_staleness_versions
    deliverable: list[DeliveryEntry] = []
    stale: list[DeliveryEntry] = []
    for entry in entries:
        if entry.cursor in voided or entry.cursor <= state.acked:
            continue
        is_first_offer = entry.cursor > state.offered
        is_stale = is_first_offer and entry.oldest_version < oldest_allowed
        (stale if is_stale else deliverable).append(entry)
    new = state
    for entry in stale:
        new = _void(new, entry)
    offered = max([new.offered, *(entry.cursor for entry in deliverable)])
    if offered > new.offered:
        new = msgspec.structs.replace(new, offered=offered)
    return OfferResult(state=new, entries=deliverable, stale=stale)


def check_cursor(state: TrainerState, cursor: int) -> None:
    """Checks that a cursor was offered to the trainer.

    Raises:
        RefusedError: The cursor is beyond the highest offered one.
    """
    if cursor > state.offered:
        raise RefusedError(Reason.CURSOR_AHEAD)


def acknowledge(state: TrainerState, cursor: int) -> TrainerState:
    """Returns the state without entries up to a cursor.

    Steps whose samples are all committed and acknowledged are closed.

    Raises:
        RefusedError: The cursor was never offered.
    """
    check_cursor(state, cursor)
    if cursor <= state.acked:
        return state
    steps = [step for step in state.steps if not _is_complete(step, cursor)]
    open_steps = {step.step for step in steps}
    completed = {step.step for step in state.steps} - open_steps
    closed = sorted({*state.closed, *completed})
    forgotten = closed[:-_MAX_CLOSED_STEPS]
    closed_below = max(
        [state.closed_below, *(number + 1 for number in forgotten)]
    )
    return msgspec.structs.replace(
        state,
        acked=cursor,
        entries=[e for e in state.entries if e.cursor > cursor],
        pages=[page for page in state.pages if page.last > cursor],
        voided=[number for number in state.voided if number > cursor],
        steps=steps,
        closed=closed[-_MAX_CLOSED_STEPS:],
        closed_below=closed_below,
    )


def reopen_lost_slot(state: TrainerState, entry: DeliveryEntry) -> TrainerState:
    """Reopens the slot of a lost payload, unless it was already offered."""
    if entry.cursor <= state.offered:
        return state
    return _void(state, entry)


def return_sample(state: TrainerState, entry: DeliveryEntry) -> TrainerState:
    """Reopens the slot of a sample that the trainer reports as missing.

    Raises:
        RefusedError: The sample was acknowledged, or was never offered.
    """
    check_cursor(state, entry.cursor)
    if entry.cursor <= state.acked:
        raise RefusedError(Reason.ALREADY_ACKNOWLEDGED)
    return _void(state, entry)


def missing_slots(state: TrainerState) -> list[OpenSlot]:
    """Returns the slots that still need a sample, oldest step first."""
    return [
        OpenSlot(
            step=step.step,
            group=group.group,
            index=index,
            page=step.pages[group.page],
        )
        for step in state.steps
        for group in step.groups
        for index in missing_bits(group.committed, group.samples)
    ]


def unpaged_entries(state: TrainerState) -> list[DeliveryEntry]:
    """Returns the entries not yet moved to a page that are not voided."""
    voided = set(state.voided)
    return [entry for entry in state.entries if entry.cursor not in voided]


def _append(
    state: TrainerState,
    added: list[DeliveryEntry],
    groups_by_key: dict[_GroupKey, GroupState],
) -> TrainerState:
    last = {entry.step: entry.cursor for entry in added}
    steps = [
        msgspec.structs.replace(
            step,
            groups=[
                groups_by_key[step.step, group.group] for group in step.groups
            ],
            last_cursor=last.get(step.step, step.last_cursor),
        )
        for step in state.steps
    ]
    return msgspec.structs.replace(
        state,
        entries=state.entries + added,
        last_cursor=added[-1].cursor,
        steps=steps,
    )


def _void(state: TrainerState, entry: DeliveryEntry) -> TrainerState:
    """Voids a cursor permanently and reopens its slot."""
    if entry.cursor <= state.acked or entry.cursor in state.voided:
        return state
    steps = [
        _unmark_committed(step, entry) if step.step == entry.step else step
        for step in state.steps
    ]
    return msgspec.structs.replace(
        state, voided=[*state.voided, entry.cursor], steps=steps
    )


def _unmark_committed(step: StepState, entry: DeliveryEntry) -> StepState:
    groups = [
        msgspec.structs.replace(
            group, committed=remove_bit(group.committed, entry.index)
        )
        if group.group == entry.group
        else group
        for group in step.groups
    ]
    return msgspec.structs.replace(step, groups=groups)


def _is_complete(step: StepState, cursor: int) -> bool:
    return (
        len(step.groups) == step.groups_total
        and step.last_cursor <= cursor
        and all(is_full(g.committed, g.samples) for g in step.groups)
    )


def _mark_committed(group: GroupState, index: int) -> GroupState:
    return msgspec.structs.replace(
        group, committed=add_bit(group.committed, index)
    )


def _make_entry(cand: CandidateSample, cursor: int) -> DeliveryEntry:
    return DeliveryEntry(
        cursor=cursor,
        step=cand.step,
        group=cand.group,
        index=cand.index,
        digest=cand.digest,
        holders=cand.holders,
        oldest_version=cand.oldest_version,
        tokens=cand.tokens,
    )
