"""Which node should run a batch job."""

from collections.abc import Iterable

from endivespindle.batch.submission import BatchSubmission
from endivespindle.core.digests import rendezvous_rank

__all__ = ["preferred_owner"]


def preferred_owner(
    submission: BatchSubmission, names: Iterable[str], *, default: str
) -> str:
    """Returns the node that should run a job.

    The load pattern answered: a trainer submits a step every few seconds,
    each at another node. Steps of one model that stay at one node find the
    connections to the servers still open, and the texts of groups carried
    over from the step before.

    Args:
        submission: The job.
        names: Nodes that run jobs.
        default: Node for jobs that belong to no model.

    Example:
        >>> from endivespindle.batch.submission import BatchSubmission
        >>> job = BatchSubmission(
        ...     job_id="j", client_account="a", host="h", path="/p/",
        ...     service="s", submitted_ms=0, due_s=1.0, max_wait_s=1.0,
        ...     max_attempts=1, single_version=False, first_owner="n1",
        ...     items=[], model="m")
        >>> preferred_owner(job, ["n1", "n2"], default="n1") in ("n1", "n2")
        True
    """
    candidates = sorted(names)
    if not submission.model or not candidates:
        return default
    key = f"{submission.client_account}/{submission.model}"
    return rendezvous_rank(key, candidates)[0]
