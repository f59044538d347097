"""When finished items are listed, and when a reader may be answered."""

from endivespindle.batch.job import JobState

__all__ = ["commit_delay_s"]

# Pause between two writes of results while the trainer cannot go on anyway:
# each write is a call that is paid for, and what is not written is generated
# again if the owner dies.
_RELAXED_S = 1.0
# Pause for jobs whose reader goes on with each single result.
_SINGLE_S = 0.3
# Time before the results are due from which each of them counts.
_BEFORE_DUE_S = 1.5
# Time before that from which a whole group is listed at once: a late group is
# worth less to its trainer, which reads twice a second.
_GROUPS_BEFORE_DUE_S = 3.0


def commit_delay_s(job: JobState, *, now_ms: int) -> float:
    """Returns the seconds for which finished items wait to be listed.

    The load pattern answered: many items end within a second, several steps
    at a time, and each write of results is one call of a store that counts
    them. The trainer goes on once enough groups are whole. So results are
    written at once when that is the case, and in larger lots before.

    Args:
        job: The job, with results that the store does not have.
        now_ms: Unix milliseconds.
    """
    sub = job.submission
    if len(job.committed) + len(job.uncommitted) == job.total:
        return 0.0
    if not sub.group_count:
        return _SINGLE_S
    before, after = job.count_complete_groups()
    if before < sub.group_count <= after:
        return 0.0
    age_s = (now_ms - sub.submitted_ms) / 1000
    if after > before and age_s >= sub.due_s - _GROUPS_BEFORE_DUE_S:
        return 0.0
    if age_s >= sub.due_s - _BEFORE_DUE_S:
        return _SINGLE_S
    return _RELAXED_S
