"""Selects the log lines of several nodes that trace one request."""

import datetime
from collections.abc import Iterable
from typing import Any

import msgspec

from endivespindle.core.decoding import decode_json

__all__ = ["LogLine", "parse_log", "trace_lines"]

# Time before and after a request within which events of its nodes and servers
# may have affected it.
_MARGIN = datetime.timedelta(seconds=5)
_ID_FIELDS = ("request_id", "job_id", "id")
# Events that concern a node as a whole.
_STATE_EVENTS = frozenset(
    {
        "clock_stepped",
        "config_taken",
        "history_lost",
        "lease_held",
        "lease_lost",
        "relay_shunned",
        "relay_stale",
        "settings_reloaded",
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
        at: Time at which it was written, by the node's clock.
        vm: Node that wrote it.
        event: Name of the event.
        fields: All other fields.
    """

    at: datetime.datetime
    vm: str
    event: str
    fields: dict[str, Any]


def parse_log(lines: Iterable[str]) -> list[LogLine]:
    """Parses log lines.

    Text before the JSON object of a line is skipped, and so are lines without
    a valid log entry.
    """
    parsed = []
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            doc = decode_json(line[start:], type=dict)
            at = datetime.datetime.fromisoformat(doc.pop("timestamp"))
            event = doc.pop("event")
        except (msgspec.MsgspecError, KeyError, TypeError, ValueError):
            continue
        parsed.append(
            LogLine(at=at, vm=str(doc.pop("vm", "")), event=event, fields=doc)
        )
    return parsed


def trace_lines(lines: Iterable[LogLine], traced_id: str) -> list[LogLine]:
    """Returns the lines about a request, job or item, in time order.

    Besides the lines with its id, the result contains those of the job of an
    item, earlier lines about repeats of the same request, and the concurrent
    state changes of the nodes and servers involved; if no server took the
    request, those of all servers of its service.

    Args:
        lines: Lines of all nodes.
        traced_id: Id of the request, job or item.

    Returns:
        The related lines; none if no line has the id.
    """
    lines = sorted(lines, key=lambda line: line.at)
    direct = [line for line in lines if _has_id(line, {traced_id})]
    if not direct:
        return []
    jobs = {line.fields.get("job_id") for line in direct} - {None, traced_id}
    vms = {line.vm for line in direct}
    servers = {line.fields.get("server") for line in direct} - {None}
    digests = {line.fields.get("digest") for line in direct} - {None}
    services = {
        line.fields.get("service")
        for line in direct
        if line.event == "request_not_placed"
    }
    start, end = direct[0].at - _MARGIN, direct[-1].at + _MARGIN

    def is_related(line: LogLine) -> bool:
        if _has_id(line, {traced_id}):
            return True
        if line.fields.get("digest") in digests:
            return line.at <= end
        if not start <= line.at <= end:
            return False
        if _has_id(line, jobs) and "request_id" not in line.fields:
            return True
        if line.event in _STATE_EVENTS and line.vm in vms:
            return True
        if not line.event.startswith("server_"):
            return False
        fields = line.fields
        return (
            fields.get("server") in servers or fields.get("service") in services
        )

    return [line for line in lines if is_related(line)]


def _has_id(line: LogLine, ids: set[Any]) -> bool:
    return any(line.fields.get(name) in ids for name in _ID_FIELDS)
