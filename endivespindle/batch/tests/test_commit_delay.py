"""Delay of the writes that commit results."""

from endivespindle.batch.commit_delay import commit_delay_s
from endivespindle.batch.job import JobState
from endivespindle.batch.tests.jobs import event, item, submission


def _job(groups=4, **changes):
    items = [
        item(f"{g}-{i}", group=f"g{g}") for g in range(groups) for i in range(2)
    ]
    return JobState(submission=submission(items, **changes))


def _finish(job, *names):
    for name in names:
        job.complete_item(job.items[name], score="")


def test_results_are_batched_while_the_trainer_cannot_continue():
    job = _job(group_count=3)
    _finish(job, "0-0", "0-1", "1-0")
    assert commit_delay_s(job, now_ms=1000) == 1.0


def test_group_that_lets_the_trainer_continue_is_written_at_once():
    job = _job(group_count=2)
    _finish(job, "0-0", "0-1", "1-0")
    job.mark_committed(3)
    _finish(job, "1-1")
    assert commit_delay_s(job, now_ms=1000) == 0.0


def test_last_item_is_written_at_once():
    job = _job(groups=1, group_count=9)
    _finish(job, "0-0", "0-1")
    assert commit_delay_s(job, now_ms=1000) == 0.0


def test_results_that_fill_a_write_are_written_at_once():
    job = _job(group_count=3)
    job.items["0-0"].append_event(event(1, data="x" * 100), 1)
    _finish(job, "0-0")
    assert commit_delay_s(job, now_ms=1000, max_bytes=100) == 0.0
    assert commit_delay_s(job, now_ms=1000, max_bytes=101) == 1.0


def test_delay_is_shorter_near_the_due_time():
    job = _job(group_count=3, due_s=7.5)
    _finish(job, "0-0")
    assert commit_delay_s(job, now_ms=6100) < commit_delay_s(job, now_ms=1000)


def test_delay_is_short_without_groups():
    job = _job()
    _finish(job, "0-0")
    assert commit_delay_s(job, now_ms=1000) == 0.3


def test_terminated_items_count_towards_a_complete_group():
    job = _job(group_count=1)
    _finish(job, "0-0")
    job.terminate_item(job.items["0-1"])
    assert job.count_complete_groups() == (0, 1)


def test_complete_group_is_written_at_once_near_the_due_time():
    """Groups count separately; a last completion ends 1 s before it is due."""
    job = _job(group_count=3, due_s=7.5)
    _finish(job, "0-0", "0-1")
    assert commit_delay_s(job, now_ms=5000) == 0.0
    assert commit_delay_s(job, now_ms=4000) == 1.0
