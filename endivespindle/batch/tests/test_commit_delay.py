"""When finished items are written."""

from endivespindle.batch.commit_delay import commit_delay_s
from endivespindle.batch.job import JobState
from endivespindle.batch.tests.jobs import item, submission


def _job(groups=4, **changes):
    items = [
        item(f"{g}-{i}", group=f"g{g}") for g in range(groups) for i in range(2)
    ]
    return JobState(submission=submission(items, **changes))


def _finish(job, *names):
    for name in names:
        job.complete_item(job.items[name], score="")


def test_results_wait_while_the_trainer_cannot_go_on():
    job = _job(group_count=3)
    _finish(job, "0-0", "0-1", "1-0")
    assert commit_delay_s(job, now_ms=1000) == 1.0


def test_the_group_that_lets_the_trainer_go_on_is_written_at_once():
    job = _job(group_count=2)
    _finish(job, "0-0", "0-1", "1-0")
    job.mark_committed(3)
    _finish(job, "1-1")
    assert commit_delay_s(job, now_ms=1000) == 0.0


def test_the_last_item_is_written_at_once():
    job = _job(groups=1, group_count=9)
    _finish(job, "0-0", "0-1")
    assert commit_delay_s(job, now_ms=1000) == 0.0


def test_results_wait_less_as_the_due_time_comes():
    job = _job(group_count=3, due_s=7.5)
    _finish(job, "0-0")
    assert commit_delay_s(job, now_ms=6100) < commit_delay_s(job, now_ms=1000)


def test_without_groups_each_result_counts():
    job = _job()
    _finish(job, "0-0")
    assert commit_delay_s(job, now_ms=1000) == 0.3


def test_terminated_items_make_a_group_whole():
    job = _job(group_count=1)
    _finish(job, "0-0")
    job.terminate_item(job.items["0-1"])
    assert job.count_complete_groups() == (0, 1)


def test_a_whole_group_is_written_at_once_near_the_due_time():
    """Each group earns by itself; its last text is whole 1 s before."""
    job = _job(group_count=3, due_s=7.5)
    _finish(job, "0-0", "0-1")
    assert commit_delay_s(job, now_ms=5000) == 0.0
    assert commit_delay_s(job, now_ms=4000) == 1.0
