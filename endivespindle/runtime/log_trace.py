"""Picks the log lines of several nodes that explain one request."""

import datetime
from collections.abc import Iterable
from typing import Any

import msgspec

__all__ = ["LogLine", "parse_log", "trace_lines"]

# Time before and after a request in which what happened to its nodes and
# servers may have touched it.
_AROUND = datetime.timedelta(seconds=5)
_ID_FIELDS = ("request_id", "job_id", "id")
# Events of a node or server as a whole.
_STATE_EVENTS = frozenset(
    {
        "config_taken",
        "history_lost",
        "lease_held",
        "lease_lost",
        "relay_shunned",
        "started",
        "stopped",
        "stopping",
        "store_lost",
        "store_reached",
    }
)


class LogLine(msgspec.Struct, kw_only=True, frozen=True):
    """One line of a node's log.

    Attributes:
        at: When it was written, by that node's clock.
        vm: Node that wrote it.
        event: What happened.
        fields: All other fields.
    """

    at: datetime.datetime
    vm: str
    event: str
    fields: dict[str, Any]


def parse_log(lines: Iterable[str]) -> list[LogLine]:
    """Reads log lines; what stands before the JSON or is none is left out."""
    found = []
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            doc = msgspec.json.decode(line[start:])
            at = datetime.datetime.fromisoformat(doc.pop("timestamp"))
            event = doc.pop("event")
        except (msgspec.MsgspecError, KeyError, TypeError, ValueError):
            continue
        found.append(
            LogLine(at=at, vm=str(doc.pop("vm", "")), event=event, fields=doc)
        )
    return found


def trace_lines(lines: Iterable[LogLine], story_id: str) -> list[LogLine]:
    """Returns the lines on a request, job or item, in order of time.

    Beside the lines that name it stand those of its job, where it is an
    item, and what happened meanwhile to the nodes and servers named.

    Args:
        lines: Lines of all nodes.
        story_id: Identity of the request, job or item.
    """
    lines = sorted(lines, key=lambda line: line.at)
    own = [line for line in lines if _names(line, {story_id})]
    if not own:
        return []
    jobs = {line.fields.get("job_id") for line in own} - {None, story_id}
    vms = {line.vm for line in own}
    servers = {line.fields.get("server") for line in own} - {None}
    begun, ended = own[0].at - _AROUND, own[-1].at + _AROUND

    def belongs(line: LogLine) -> bool:
        if _names(line, {story_id}):
            return True
        if not begun <= line.at <= ended:
            return False
        if _names(line, jobs) and "request_id" not in line.fields:
            return True
        if line.event in _STATE_EVENTS and line.vm in vms:
            return True
        about_server = line.event.startswith("server_")
        return about_server and line.fields.get("server") in servers

    return [line for line in lines if belongs(line)]


def _names(line: LogLine, ids: set[Any]) -> bool:
    return any(line.fields.get(name) in ids for name in _ID_FIELDS)
