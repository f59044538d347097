"""Which node should run a batch job."""

from collections.abc import Mapping

from endivespindle.batch.submission import BatchSubmission
from endivespindle.core.digests import rendezvous_rank

__all__ = ["preferred_owner"]

# Nodes with less than this share of the largest one's processor run no jobs
# while a larger one can: a step is some hundred streams at one node.
_LEAST_CPU_SHARE = 0.5


def preferred_owner(
    submission: BatchSubmission, cpu: Mapping[str, float], *, default: str
) -> str:
    """Returns the node that should run a job.

    The load pattern answered: a trainer submits a step every few seconds,
    each at another node. Steps of one model that stay at one node find the
    connections to the servers still open, and the texts of groups carried
    over from the step before. VMs differ in speed by a factor of four: on a
    small one the events of a step wait for the processor, and readers take
    the node for lost.

    Args:
        submission: The job.
        cpu: Processor time a second of the nodes that run jobs, by name.
        default: Node for jobs that belong to no model.

    Example:
        >>> from endivespindle.batch.submission import BatchSubmission
        >>> job = BatchSubmission(
        ...     job_id="j", client_account="a", host="h", path="/p/",
        ...     service="s", submitted_ms=0, due_s=1.0, max_wait_s=1.0,
        ...     max_attempts=1, single_version=False, first_owner="n1",
        ...     items=[], model="m")
        >>> preferred_owner(job, {"n1": 0.5, "n2": 2.0}, default="n1")
        'n2'
    """
    if not submission.model or not cpu:
        return default
    least = _LEAST_CPU_SHARE * max(cpu.values())
    candidates = sorted(name for name, share in cpu.items() if share >= least)
    key = f"{submission.client_account}/{submission.model}"
    return rendezvous_rank(key, candidates)[0]
