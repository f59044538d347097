"""Groups that come again in the next step."""

from endivespindle.batch.job import JobState
from endivespindle.batch.partial_completions import PartialCompletionCache
from endivespindle.batch.tests.jobs import event, item, submission
from endivespindle.core.clock import ManualClock


def _job(job_id="j1", **changes):
    items = [item("a1", group="a"), item("a2", group="a"), item("b1", "b")]
    return JobState(submission=submission(items, job_id=job_id, **changes))


def _ended(version=4):
    """Returns a job of which group b is whole, and a2 as well."""
    job = _job()
    for name in ("a1", "a2", "b1"):
        for number in (1, 2):
            job.items[name].append_event(event(number), version)
    for name in ("a2", "b1"):
        job.items[name].is_generated = True
        job.complete_item(job.items[name], score="s")
    job.mark_committed(2)
    return job


def _carry(clock=None, wait_s=0.0, **changes):
    clock = clock or ManualClock()
    texts = PartialCompletionCache(clock=clock)
    texts.keep(_ended())
    clock.advance(wait_s)
    job = _job("j2", **changes)
    texts.fill(job)
    return job.items


def test_a_text_goes_on_in_the_next_step():
    items = _carry(min_version=4)
    assert items["a1"].chunks == ["t1", "t2"]
    assert not items["a1"].is_generated


def test_a_whole_text_of_an_unfinished_group_only_wants_its_score():
    assert _carry(min_version=4)["a2"].is_generated


def test_a_group_that_was_whole_starts_anew():
    assert _carry(min_version=4)["b1"].chunks == []


def test_a_text_of_older_weights_is_not_used():
    assert _carry(min_version=5)["a1"].chunks == []


def test_a_text_is_used_once_and_not_for_ever():
    assert _carry(min_version=4, wait_s=61.0)["a1"].chunks == []
