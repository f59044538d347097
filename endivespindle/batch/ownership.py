"""Choice of the node that runs a batch job."""

from collections.abc import Mapping

from endivespindle.batch.submission import BatchSubmission
from endivespindle.core.digests import rendezvous_rank

__all__ = ["preferred_owner"]

# Nodes with less than this fraction of the largest node's CPU run no jobs
# while a larger one can: a step opens some hundred streams at one node.
_MIN_CPU_FRACTION = 0.5


def preferred_owner(
    submission: BatchSubmission, cpu: Mapping[str, float], *, default: str
) -> str:
    """Returns the node that should run a job.

    The node is chosen by rendezvous hashing of client account and model over
    the nodes with enough CPU.

    Load pattern: a trainer submits a step every few seconds, each to another
    node. Steps of one model that run at the same node reuse its open
    connections to the servers and the partial completions of the previous
    step. VMs differ in speed by a factor of four: on a small one the events of
    a step queue for the CPU, and readers take the node for lost.

    Args:
        submission: The job.
        cpu: CPU seconds per second of the nodes that run jobs, by name.
        default: Node for jobs without a model.

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
    min_cpu = _MIN_CPU_FRACTION * max(cpu.values())
    candidates = sorted(name for name, value in cpu.items() if value >= min_cpu)
    key = f"{submission.client_account}/{submission.model}"
    return rendezvous_rank(key, candidates)[0]
