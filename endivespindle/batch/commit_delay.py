"""Batching of the writes that commit a job's results."""

from endivespindle.batch.job import JobState

__all__ = ["commit_delay_s"]

# Delay of a write while the trainer cannot continue anyway. Each write is a
# paid call of the store, and results that are not written are generated again
# if the owner dies.
_LONG_DELAY_S = 1.0
# Delay for jobs whose reader can use each single result.
_SHORT_DELAY_S = 0.3
# Time before the due time from which the short delay is used.
_SHORT_DELAY_WINDOW_S = 1.5
# Time before the due time from which a complete group is written at once: a
# late group is worth less to its trainer, which reads twice a second.
_COMPLETE_GROUP_WINDOW_S = 3.0


def commit_delay_s(
    job: JobState, *, now_ms: int, max_bytes: int | None = None
) -> float:
    """Returns the seconds for which uncommitted results wait to be written.

    Load pattern: many items end within a second, several steps at a time, and
    each write of results is one paid call of the store. The trainer continues
    once enough groups are complete. So results are written at once when that
    is the case, and in larger batches before. Failures are rare and written at
    once: an owner that is killed before would leave them to be repeated.
    Results that fill a write are written at once too, as they are held in
    memory until then.

    Args:
        job: The job, with uncommitted results.
        now_ms: Unix milliseconds.
        max_bytes: Size of the results that fill a write, in bytes; None if it
            does not count.
    """
    sub = job.submission
    if job.has_final_failures:
        return 0.0
    if max_bytes is not None and job.uncommitted_bytes >= max_bytes:
        return 0.0
    if len(job.committed) + len(job.uncommitted) == job.total:
        return 0.0
    if not sub.group_count:
        return _SHORT_DELAY_S
    committed, complete = job.count_complete_groups()
    if committed < sub.group_count <= complete:
        return 0.0
    age_s = (now_ms - sub.submitted_ms) / 1000
    if complete > committed and age_s >= sub.due_s - _COMPLETE_GROUP_WINDOW_S:
        return 0.0
    if age_s >= sub.due_s - _SHORT_DELAY_WINDOW_S:
        return _SHORT_DELAY_S
    return _LONG_DELAY_S
