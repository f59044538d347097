"""Tests of the delivery, sealing and submission functions."""

import msgspec
import pytest

from endivespindle.core.reasons import Reason
from endivespindle.exceptions import RefusedError
from endivespindle.rollout.delivery import (
    CandidateSample,
    acknowledge,
    commit_samples,
    declare_version,
    missing_slots,
    offer,
    reopen_lost_slot,
    return_sample,
)
from endivespindle.rollout.sealing import ENTRIES_PER_PAGE, next_page, seal
from endivespindle.rollout.submission import split_step, submit_step
from endivespindle.schema.generated.rollout import (
    GroupSubmission,
    StepSubmission,
)
from endivespindle.schema.generated.stored import TrainerState

_MEGABYTE_BYTES = 1_000_000


def _submission(step=0, prompt="p", groups=(0,), total=0, samples=2):
    return StepSubmission(
        step=step,
        groups_total=total,
        groups=[
            GroupSubmission(
                group=g, prompt=prompt, samples=samples, max_tokens=8
            )
            for g in groups
        ],
    )


def _submit(state, **fields):
    return submit_step(state, split_step(_submission(**fields)))


def _sample(index, version=0, step=0, group=0, digest=None):
    return CandidateSample(
        step=step,
        group=group,
        index=index,
        digest=digest or f"d{index}",
        holders=["a"],
        oldest_version=version,
        tokens=4,
    )


def _commit(state, *samples, bound=1):
    return commit_samples(state, list(samples), max_staleness_versions=bound)


def _offer_all(state, bound=1):
    return offer(state, state.entries, max_staleness_versions=bound)


def _reason(caught):
    return caught.value.reason


def test_submit_is_idempotent():
    state = _submit(TrainerState(), step=0)
    assert _submit(state, step=0) is state


def test_submission_with_other_content_is_refused():
    state = _submit(TrainerState(), step=0)
    with pytest.raises(RefusedError):
        _submit(state, prompt="q")


def test_step_parts_may_arrive_out_of_order_and_repeated():
    state = _submit(TrainerState(), step=5, groups=(2, 3), total=4)
    state = _submit(state, step=4)
    state = _submit(state, step=5, groups=(0, 1), total=4)
    assert _submit(state, step=5, groups=(2, 3), total=4) is state
    assert len(missing_slots(state)) == 10
    with pytest.raises(RefusedError) as caught:
        _submit(state, step=5, groups=(3, 4), total=4)
    assert _reason(caught) is Reason.SUBMISSION_CONFLICT


def test_step_closed_long_ago_is_refused():
    state = TrainerState(closed_below=7, closed=[9])
    assert _submit(state, step=9) is state
    with pytest.raises(RefusedError) as caught:
        _submit(state, step=3)
    assert _reason(caught) is Reason.STEP_CLOSED
    assert missing_slots(_submit(state, step=8))


def test_second_sample_of_a_slot_is_not_committed():
    first = _commit(_submit(TrainerState()), _sample(0))
    again = _commit(first.state, _sample(0, digest="other"))
    assert not again.committed
    assert len(again.duplicates) == 1
    assert again.state is first.state


def test_retry_after_lost_response_counts_as_committed():
    first = _commit(_submit(TrainerState()), _sample(0))
    again = _commit(first.state, _sample(0))
    assert len(again.committed) == 1
    assert again.state is first.state


def test_equal_samples_in_a_batch_are_committed_once():
    first = _commit(_submit(TrainerState()), _sample(0), _sample(0))
    assert (len(first.committed), len(first.duplicates)) == (1, 1)
    again = _commit(first.state, _sample(0), _sample(0))
    assert (len(again.committed), len(again.duplicates)) == (1, 1)


def test_index_outside_of_its_group_is_not_committed():
    result = _commit(_submit(TrainerState()), _sample(2))
    assert len(result.duplicates) == 1


def test_stale_sample_leaves_its_slot_open():
    state = declare_version(_submit(TrainerState()), 5)
    result = _commit(state, _sample(0, version=3))
    assert len(result.stale) == 1
    assert len(missing_slots(result.state)) == 2


def test_entry_that_became_stale_in_the_log_is_not_offered():
    state = _commit(_submit(TrainerState()), _sample(0), _sample(1, 4)).state
    result = _offer_all(declare_version(state, 5))
    assert [e.index for e in result.entries] == [1]
    assert [s.index for s in missing_slots(result.state)] == [0]
    late = _commit(result.state, _sample(0, version=5))
    assert late.state.entries[-1].cursor == 3


def test_offered_entry_is_offered_again_even_if_stale():
    state = _commit(_submit(TrainerState()), _sample(0)).state
    state = _offer_all(state).state
    again = _offer_all(declare_version(state, 9))
    assert [e.cursor for e in again.entries] == [1]


def test_lost_payload_reopens_slot_only_if_never_offered():
    state = _commit(_submit(TrainerState()), _sample(0), _sample(1)).state
    one = offer(state, state.entries[:1], max_staleness_versions=1).state
    assert reopen_lost_slot(one, one.entries[0]) is one
    reopened = reopen_lost_slot(one, one.entries[1])
    assert [s.index for s in missing_slots(reopened)] == [1]
    assert reopen_lost_slot(reopened, one.entries[1]) is reopened


def test_entry_voided_during_fetch_is_not_offered():
    state = _commit(_submit(TrainerState()), _sample(0), _sample(1)).state
    reopened = reopen_lost_slot(state, state.entries[0])
    result = offer(reopened, state.entries, max_staleness_versions=1)
    assert [entry.cursor for entry in result.entries] == [2]


def test_returning_an_offered_sample_reopens_slot_once():
    state = _commit(_submit(TrainerState()), _sample(0)).state
    with pytest.raises(RefusedError):
        return_sample(state, state.entries[0])
    state = _offer_all(state).state
    reopened = return_sample(state, state.entries[0])
    assert len(missing_slots(reopened)) == 2
    assert return_sample(reopened, state.entries[0]) is reopened
    with pytest.raises(RefusedError) as caught:
        return_sample(acknowledge(state, 1), state.entries[0])
    assert _reason(caught) is Reason.ALREADY_ACKNOWLEDGED


def test_acknowledgement_beyond_offered_cursor_is_refused():
    state = _commit(_submit(TrainerState()), _sample(0)).state
    with pytest.raises(RefusedError) as caught:
        acknowledge(state, 1)
    assert _reason(caught) is Reason.CURSOR_AHEAD


def test_completely_acknowledged_steps_are_closed():
    state = _commit(_submit(TrainerState()), _sample(0), _sample(1)).state
    state = acknowledge(_offer_all(state).state, 2)
    assert (state.entries, state.steps, state.closed) == ([], [], [0])
    assert _submit(state) is state


def test_state_stays_below_a_megabyte_with_two_full_steps():
    state = TrainerState()
    for step in (100, 101):
        groups = range(2048)
        state = _submit(state, step=step, groups=groups, samples=8)
        for group in groups:
            samples = [
                _sample(i, step=step, group=group, digest="f" * 64)
                for i in range(8)
            ]
            state = _commit(state, *samples).state
            page = next_page(state)
            if page is not None:
                state = seal(state, page)
            assert len(state.entries) < ENTRIES_PER_PAGE
    assert len(state.pages) == 2 * 16384 // ENTRIES_PER_PAGE
    assert len(msgspec.json.encode(state)) < _MEGABYTE_BYTES


def test_sealing_acknowledged_entries_changes_nothing():
    state = _submit(TrainerState(), samples=ENTRIES_PER_PAGE)
    samples = [_sample(index) for index in range(ENTRIES_PER_PAGE)]
    state = _offer_all(_commit(state, *samples).state).state
    page = next_page(state)
    acknowledged = acknowledge(state, 3)
    assert seal(acknowledged, page) is acknowledged
