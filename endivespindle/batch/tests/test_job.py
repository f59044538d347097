"""Items, completions and results of a batch job."""

import pytest

from endivespindle.batch.job import ItemPhase, JobState
from endivespindle.batch.progress import ItemOutcome, ItemResult
from endivespindle.batch.result_positions import page
from endivespindle.batch.tests.jobs import event, item, submission


def _job(**changes):
    items = [item("i1"), item("i2"), item("i3", group="g2")]
    return JobState(submission=submission(items, **changes))


def test_events_are_appended_once_and_in_order():
    state = _job().items["i1"]
    assert state.append_event(event(1), 1)
    assert not state.append_event(event(1), 1)
    assert not state.append_event(event(3), 1)
    assert state.append_event(event(2), 2)
    assert (state.chunks, state.versions) == (["t1", "t2"], [1, 2])


def test_result_lists_each_version_that_generated_it():
    job = _job()
    state = job.items["i1"]
    for number, version in ((1, 3), (2, 3), (3, 4)):
        state.append_event(event(number), version)
    job.complete_item(state, score="sig")
    assert job.uncommitted[0].versions == (3, 4)
    assert job.uncommitted[0].text == "t1\nt2\nt3"


def test_results_are_hidden_until_committed():
    job = _job()
    job.complete_item(job.items["i1"], score="")
    assert not job.committed
    job.mark_committed(1)
    assert job.committed == ["i1"]
    assert "i1" not in job.items


def test_a_batch_of_results_has_a_size_and_begins_with_failed_items():
    job = _job()
    for name in ("i1", "i2"):
        job.items[name].append_event(event(1, data="x" * 100), 1)
        job.complete_item(job.items[name], score="")
    job.terminate_item(job.items["i3"])
    batch = job.next_batch(max_bytes=150)
    assert [result.item_id for result in batch] == ["i3", "i1"]
    job.mark_committed(len(batch))
    assert [r.item_id for r in job.next_batch(max_bytes=10)] == ["i2"]


def test_completions_are_kept_until_their_group_is_complete():
    job = _job()
    for name in ("i1", "i2"):
        job.items[name].append_event(event(1), 1)
        job.items[name].finish_completion()
        job.complete_item(job.items[name], score="")
    job.mark_committed(1)
    assert job.kept_bytes > 0
    job.mark_committed(1)
    assert job.kept_bytes == 0


def test_item_has_one_result():
    job = _job()
    state = job.items["i1"]
    job.terminate_item(state)
    job.complete_item(state, score="")
    assert len(job.uncommitted) == 1
    assert job.uncommitted[0].outcome is ItemOutcome.TERMINATED


def test_new_owner_does_not_rerun_items_with_committed_results():
    items = [item("i1"), item("i2")]
    job = JobState(submission=submission(items), committed=["i1"])
    assert [state.item.item_id for state in job.waiting()] == ["i2"]
    assert job.total == 2


def test_ended_job_has_no_waiting_items():
    job = _job()
    job.ended = True
    assert job.waiting() == []


def test_job_times_out_at_its_maximum_wait():
    job = _job()
    assert not job.has_timed_out(age_s=39.999)
    assert job.has_timed_out(age_s=40.0)


def test_item_is_retried_up_to_its_maximum_attempts():
    job = _job()
    state = job.items["i1"]
    state.failures = 2
    assert job.may_retry(state)
    state.failures = 3
    assert not job.may_retry(state)
    assert state.phase is ItemPhase.WAITING


def test_page_has_at_least_one_result_and_a_size_limit():
    results = [
        ItemResult(item_id=str(i), outcome=ItemOutcome.COMPLETE, text="x" * 600)
        for i in range(5)
    ]
    assert len(page(results, after=0, max_bytes=1500)) == 2
    assert len(page(results, after=1, max_bytes=10)) == 1
    assert page(results, after=5, max_bytes=1500) == []


@pytest.mark.parametrize(
    ("cache_tokens", "expected"), [(0, False), (99, True), (100, False)]
)
def test_an_item_exceeds_a_cache_whose_size_is_known(cache_tokens, expected):
    job = JobState(submission=submission([item("i1")]))
    job.cache_tokens = cache_tokens
    assert job.exceeds_cache(job.items["i1"]) is expected
