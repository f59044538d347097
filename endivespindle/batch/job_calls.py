"""Recognises the calls of batch jobs among the requests of callers."""

import enum
import urllib.parse

import msgspec

__all__ = [
    "JobAction",
    "JobCall",
    "JobCallSyntax",
    "job_call_methods",
    "may_access_job",
    "parse_job_call",
]


class JobAction(enum.StrEnum):
    """What a job call asks for; the values name it in logs and metrics."""

    READ = "job"
    END = "job_end"
    READ_ITEM = "item"


class JobCallSyntax(msgspec.Struct, kw_only=True, frozen=True):
    """How callers write the calls of batch jobs.

    Attributes:
        actions: The calls by method and path prefix, with both slashes. The
            rest of the path is the ID of the job.
        item_parameter: Query parameter with the item of a `READ_ITEM` call.
        position_parameter: Query parameter with the position of the first
            result that a `READ` call returns.
    """

    actions: dict[tuple[str, str], JobAction]
    item_parameter: str
    position_parameter: str


class JobCall(msgspec.Struct, kw_only=True, frozen=True):
    """A caller's call about a batch job.

    Attributes:
        action: What it asks for.
        job_id: ID of the job.
        item_id: Item whose body it reads; empty for the other actions.
        position: Position of the first result to return, as received.
    """

    action: JobAction
    job_id: str
    item_id: str = ""
    position: str = "0"


def parse_job_call(
    method: str, target: str, *, syntax: JobCallSyntax
) -> JobCall | None:
    """Returns the job call that a request is; None if it is none.

    Whether it is one depends on the request alone and not on the
    configuration, whose routes may match the same path.

    Args:
        method: HTTP method.
        target: Path and query, as received.
        syntax: How job calls are written.
    """
    path, _, query = target.partition("?")
    prefix, job_id = _split_path(path)
    action = syntax.actions.get((method, prefix))
    if action is None or not job_id:
        return None
    params = urllib.parse.parse_qs(query, keep_blank_values=True)
    item_id = ""
    if action is JobAction.READ_ITEM:
        item_id = params.get(syntax.item_parameter, [""])[0]
        if not item_id:
            return None
    return JobCall(
        action=action,
        job_id=job_id,
        item_id=item_id,
        position=params.get(syntax.position_parameter, ["0"])[0],
    )


def job_call_methods(path: str, *, syntax: JobCallSyntax) -> list[str]:
    """Returns the methods with which a path may be that of a job call."""
    prefix, job_id = _split_path(path.partition("?")[0])
    if not job_id:
        return []
    return [method for method, own in syntax.actions if own == prefix]


def may_access_job(*, job_account: str, caller_account: str | None) -> bool:
    """Returns whether a caller may read and end a batch job.

    Args:
        job_account: Client account of the job; empty if it was accepted without
            one. It then belongs to all callers.
        caller_account: Client account of the caller; None if the configuration
            has no client accounts.
    """
    return caller_account is None or job_account in ("", caller_account)


def _split_path(path: str) -> tuple[str, str]:
    """Splits a path of two segments into its prefix and the job ID.

    Returns:
        The first segment with both slashes, and the second one; that is empty
        if the path does not have exactly two segments.
    """
    end = path.find("/", 1) + 1
    prefix, job_id = path[:end], path[end:]
    return prefix, "" if "/" in job_id else job_id
