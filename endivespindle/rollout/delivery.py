"""Delivery of samples to a trainer, exactly once.

All that must be agreed stands in one `TrainerState` object. Each function
takes the state as read and returns the state to write with a conditional
update; what lost the race is computed anew from the state that won.

A cursor stands for one attempt in one slot and is never given twice. A slot
is filled by at most one live cursor. A cursor is recorded as offered before
its sample is handed out; from then on only the trainer's own word frees the
slot again.
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

_REMEMBERED_STEPS = 64

_GroupKey = tuple[int, int]


class CandidateSample(msgspec.Struct, kw_only=True, frozen=True):
    """A finished sample that could fill a slot."""

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
        page: Name of the prompt page that holds its prompt.
    """

    step: int
    group: int
    index: int
    page: str


class CommitResult(msgspec.Struct, kw_only=True, frozen=True):
    """Outcome of computing a commit.

    Attributes:
        state: State to write.
        committed: Candidates whose entry the state holds, anew or from an
            update whose answer was lost.
        stale: Candidates older than the bound; their slots stay empty.
        duplicates: Candidates whose slot another one filled, or is unknown.
    """

    state: TrainerState
    committed: list[CandidateSample]
    stale: list[CandidateSample]
    duplicates: list[CandidateSample]


class OfferResult(msgspec.Struct, kw_only=True, frozen=True):
    """Outcome of computing an offer.

    Attributes:
        state: State to write before anything is handed out.
        entries: Entries that may be handed out once it is written.
        stale: Entries that went stale before their first offer.
    """

    state: TrainerState
    entries: list[DeliveryEntry]
    stale: list[DeliveryEntry]


def declare_version(state: TrainerState, version: int) -> TrainerState:
    """Returns the state with the trainer's version, which never falls."""
    if version <= state.version:
        return state
    return msgspec.structs.replace(state, version=version)


def commit_samples(
    state: TrainerState,
    candidates: list[CandidateSample],
    *,
    max_staleness_versions: int,
) -> CommitResult:
    """Fills slots with candidates that are fresh and first.

    Args:
        state: State as read.
        candidates: Finished samples.
        max_staleness_versions: Oldest version allowed, counted back from the
            trainer's version in this very state.
    """
    bits = {
        (step.step, group.group): group
        for step in state.steps
        for group in step.groups
    }
    own = {(e.step, e.group, e.index): e.digest for e in unpaged_entries(state)}
    oldest = state.version - max_staleness_versions
    added: list[DeliveryEntry] = []
    result = CommitResult(state=state, committed=[], stale=[], duplicates=[])
    for cand in candidates:
        group = bits.get((cand.step, cand.group))
        if group is None or cand.index >= group.samples:
            result.duplicates.append(cand)
        elif has_bit(group.committed, cand.index):
            settled = own.pop((cand.step, cand.group, cand.index), None)
            same = settled == cand.digest
            (result.committed if same else result.duplicates).append(cand)
        elif cand.oldest_version < oldest:
            result.stale.append(cand)
        else:
            added.append(_entry(cand, state.last_cursor + len(added) + 1))
            bits[cand.step, cand.group] = _with_bit(group, cand.index)
            result.committed.append(cand)
    if not added:
        return result
    return msgspec.structs.replace(result, state=_append(state, added, bits))


def offer(
    state: TrainerState,
    entries: list[DeliveryEntry],
    *,
    max_staleness_versions: int,
) -> OfferResult:
    """Records entries as offered, the last check before they are handed out.

    Entries that were given up meanwhile are left out. Those that went stale
    in the log before their first offer are given up here.

    Args:
        state: State as read.
        entries: Entries in cursor order whose payloads are at hand.
        max_staleness_versions: Oldest version allowed, counted back from the
            trainer's version in this very state.
    """
    gone = set(state.voided)
    oldest = state.version - max_staleness_versions
    fresh: list[DeliveryEntry] = []
    stale: list[DeliveryEntry] = []
    for entry in entries:
        if entry.cursor in gone or entry.cursor <= state.acked:
            continue
        first = entry.cursor > state.offered
        late = first and entry.oldest_version < oldest
        (stale if late else fresh).append(entry)
    new = state
    for entry in stale:
        new = _void(new, entry)
    offered = max([new.offered, *(entry.cursor for entry in fresh)])
    if offered > new.offered:
        new = msgspec.structs.replace(new, offered=offered)
    return OfferResult(state=new, entries=fresh, stale=stale)


def check_cursor(state: TrainerState, cursor: int) -> None:
    """Checks that a cursor is one the trainer can know of.

    Raises:
        RefusedError: Nothing was handed out under it.
    """
    if cursor > state.offered:
        raise RefusedError(Reason.CURSOR_AHEAD)


def acknowledge(state: TrainerState, cursor: int) -> TrainerState:
    """Returns the state without entries up to a cursor.

    Steps that are committed whole and acknowledged whole are closed.

    Raises:
        RefusedError: The cursor was never handed out.
    """
    check_cursor(state, cursor)
    if cursor <= state.acked:
        return state
    steps = [step for step in state.steps if not _is_done(step, cursor)]
    kept = {step.step for step in steps}
    done = {step.step for step in state.steps} - kept
    closed = sorted({*state.closed, *done})
    dropped = closed[:-_REMEMBERED_STEPS]
    below = max([state.closed_below, *(number + 1 for number in dropped)])
    return msgspec.structs.replace(
        state,
        acked=cursor,
        entries=[e for e in state.entries if e.cursor > cursor],
        pages=[page for page in state.pages if page.last > cursor],
        voided=[number for number in state.voided if number > cursor],
        steps=steps,
        closed=closed[-_REMEMBERED_STEPS:],
        closed_below=below,
    )


def reopen_lost_slot(state: TrainerState, entry: DeliveryEntry) -> TrainerState:
    """Opens the slot of a lost payload, if it was never handed out."""
    if entry.cursor <= state.offered:
        return state
    return _void(state, entry)


def return_sample(state: TrainerState, entry: DeliveryEntry) -> TrainerState:
    """Opens the slot of a sample that the trainer says it does not hold.

    Raises:
        RefusedError: The trainer acknowledged it, or never was offered it.
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
    """Returns the entries in no page that were not given up."""
    gone = set(state.voided)
    return [entry for entry in state.entries if entry.cursor not in gone]


def _append(
    state: TrainerState,
    added: list[DeliveryEntry],
    bits: dict[_GroupKey, GroupState],
) -> TrainerState:
    last = {entry.step: entry.cursor for entry in added}
    steps = [
        msgspec.structs.replace(
            step,
            groups=[bits[step.step, group.group] for group in step.groups],
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
    """Gives a cursor up for good, and opens its slot."""
    if entry.cursor <= state.acked or entry.cursor in state.voided:
        return state
    steps = [
        _without(step, entry) if step.step == entry.step else step
        for step in state.steps
    ]
    return msgspec.structs.replace(
        state, voided=[*state.voided, entry.cursor], steps=steps
    )


def _without(step: StepState, entry: DeliveryEntry) -> StepState:
    groups = [
        msgspec.structs.replace(
            group, committed=remove_bit(group.committed, entry.index)
        )
        if group.group == entry.group
        else group
        for group in step.groups
    ]
    return msgspec.structs.replace(step, groups=groups)


def _is_done(step: StepState, cursor: int) -> bool:
    return (
        len(step.groups) == step.groups_total
        and step.last_cursor <= cursor
        and all(is_full(g.committed, g.samples) for g in step.groups)
    )


def _with_bit(group: GroupState, index: int) -> GroupState:
    return msgspec.structs.replace(
        group, committed=add_bit(group.committed, index)
    )


def _entry(cand: CandidateSample, cursor: int) -> DeliveryEntry:
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
