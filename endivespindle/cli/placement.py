"""Asks a gateway where a request would be sent now."""

import asyncio

import aiohttp
import msgspec
import rich.table
from rich import print as rich_print

from endivespindle.cli.output import ExitCode, print_json
from endivespindle.core.decoding import decode_msgpack
from endivespindle.runtime.peer_client import PlacementQuestion
from endivespindle.serving.placement_report import PlacementReport

__all__ = ["explain_placement"]

_TIMEOUT_S = 5.0
_ASK_PATH = "/placement"


def explain_placement(
    host: str, path: str, /, *, node: str, json: bool = False
) -> int:
    """Tells where a request would go now, and why, without sending it.

    Args:
        host: Host header of the request.
        path: Path of the request; for a job, the path that it is submitted to.
        node: Address of a gateway for calls from other nodes, as IP:PORT.
        json: Print as JSON.
    """
    if not path.startswith("/"):
        print("the path must begin with a slash")
        return ExitCode.USAGE
    try:
        report = asyncio.run(_ask(node, host, path))
    except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as exc:
        print(f"{node} did not answer: {exc!r}")
        return ExitCode.UNREACHABLE
    except msgspec.MsgspecError as exc:
        print(f"{node} is no gateway of this version: {exc}")
        return ExitCode.UNREACHABLE
    if json:
        print_json(msgspec.to_builtins(report))
    else:
        _print_report(report)
    is_placed = any(
        candidate.excluded is None
        for candidates in report.candidates.values()
        for candidate in candidates
    )
    is_served = is_placed or bool(report.job_call_methods)
    return ExitCode.OK if is_served else ExitCode.FOUND


async def _ask(node: str, host: str, path: str) -> PlacementReport:
    question = PlacementQuestion(host=host, path=path)
    async with (
        aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=_TIMEOUT_S)
        ) as session,
        session.post(
            f"http://{node}{_ASK_PATH}", data=msgspec.msgpack.encode(question)
        ) as resp,
    ):
        resp.raise_for_status()
        body = await resp.read()
    return decode_msgpack(body, type=PlacementReport)


def _print_report(report: PlacementReport) -> None:
    print(f"gateway        {report.vm}, ready: {report.is_ready}")
    print(
        f"configuration  version {report.config_version}, confirmed "
        f"{report.config_age_s:.2f} s ago"
    )
    if report.job_call_methods:
        methods = " or ".join(report.job_call_methods)
        print(f"with {methods}, a call of a batch job; the gateway answers it")
    if report.route is None:
        print("no route matches this host and path")
        return
    print(f"route          {report.route} ({report.kind})")
    for service, candidates in report.candidates.items():
        table = rich.table.Table(
            title=f"{service}, path {report.path.get(service)}"
        )
        for name in ("server", "data centre", "delay s", "load", "pace", "why"):
            table.add_column(name)
        for candidate in candidates:
            table.add_row(
                candidate.server,
                candidate.data_centre,
                f"{candidate.expected_delay_s:.3f}",
                f"{candidate.load:.1f} of {candidate.slots}",
                f"{candidate.pace:.2f}",
                candidate.excluded or "may be chosen",
            )
        rich_print(table)
