"""Reuse of completions in the next step."""

from endivespindle.batch.job import JobState
from endivespindle.batch.partial_completions import PartialCompletionCache
from endivespindle.batch.tests.jobs import event, item, submission
from endivespindle.core.clock import ManualClock


def _job(job_id="j1", **changes):
    items = [item("a1", group="a"), item("a2", group="a"), item("b1", "b")]
    return JobState(submission=submission(items, job_id=job_id, **changes))


def _ended_job(version=4):
    """Returns an ended job with results of a2 and b1, so that b is complete."""
    job = _job()
    for name in ("a1", "a2", "b1"):
        for number in (1, 2):
            job.items[name].append_event(event(number), version)
    for name in ("a2", "b1"):
        job.items[name].finish_completion()
        job.complete_item(job.items[name], score="s")
    job.mark_committed(2)
    return job


def _items_of_next_job(clock=None, wait_s=0.0, **changes):
    clock = clock or ManualClock()
    cache = PartialCompletionCache(clock=clock, max_bytes=1_000_000)
    cache.store(_ended_job())
    clock.advance(wait_s)
    job = _job("j2", **changes)
    cache.restore(job)
    return job.items


def test_partial_completion_is_resumed_in_the_next_step():
    items = _items_of_next_job(min_version=4)
    assert items["a1"].chunks == ["t1", "t2"]
    assert not items["a1"].is_generated


def test_generated_completion_of_an_incomplete_group_is_reused():
    assert _items_of_next_job(min_version=4)["a2"].is_generated


def test_complete_group_is_generated_again():
    assert _items_of_next_job(min_version=4)["b1"].chunks == []


def test_completion_of_too_old_weights_is_not_reused():
    assert _items_of_next_job(min_version=5)["a1"].chunks == []


def test_completion_expires():
    assert _items_of_next_job(min_version=4, wait_s=61.0)["a1"].chunks == []
