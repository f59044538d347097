"""Questions to a running VM."""

import asyncio
import pathlib
import sys
from typing import Any

import aiohttp

from endivespindle.cli.files import load_settings
from endivespindle.cli.output import ExitCode, print_json
from endivespindle.runtime.log_trace import parse_log, trace_lines

__all__ = ["explain", "status"]

_TIMEOUT_S = 5.0


def status(
    *, settings: pathlib.Path, vm: str | None = None, json: bool = False
) -> int:
    """Shows what a VM knows of itself and its peers.

    Args:
        settings: TOML file of the VM, for its address and operator token.
        vm: Base address of another VM.
        json: Print as JSON.
    """
    answer = _ask(settings, vm, "/operator/v1/status")
    if json:
        print_json(answer)
        return ExitCode.OK
    for name, value in answer.items():
        if isinstance(value, dict):
            for key, item in value.items():
                print(f"{name}.{key:<20} {item}")
        else:
            print(f"{name:<24} {value}")
    return ExitCode.OK


def explain(
    story: str,
    /,
    *,
    settings: pathlib.Path | None = None,
    vm: str | None = None,
    logs: list[pathlib.Path] | None = None,
    json: bool = False,
) -> int:
    """Tells the decisions taken for one request or sample, on any VM.

    Args:
        story: Request id, job or item id, or `trainer.step.group.index` of a
            sample.
        settings: TOML file of the VM, for its address and operator token.
        vm: Base address of another VM.
        logs: Files with the logs of nodes; read in place of asking a VM.
        json: Print as JSON.
    """
    if logs:
        return _explain_logs(story, logs, json=json)
    if settings is None:
        print("endivespindle: --settings or --logs is needed", file=sys.stderr)
        return ExitCode.USAGE
    answer = _ask(settings, vm, f"/operator/v1/explain/{story}")
    events = answer["events"]
    if json:
        print_json(answer)
    else:
        for event in events:
            inputs = event["inputs"].items()
            print(
                event["at"],
                event["vm"],
                event["event"],
                *(f"{name}={value}" for name, value in inputs),
            )
    return ExitCode.OK if events else ExitCode.FOUND


def _explain_logs(story: str, logs: list[pathlib.Path], *, json: bool) -> int:
    lines = []
    for path in logs:
        with path.open(encoding="utf-8", errors="replace") as file:
            lines += parse_log(file)
    found = trace_lines(lines, story)
    if json:
        print_json(found)
        return ExitCode.OK if found else ExitCode.FOUND
    for line in found:
        inputs = (f"{name}={value}" for name, value in line.fields.items())
        print(line.at.isoformat(), line.vm, line.event, *inputs)
    return ExitCode.OK if found else ExitCode.FOUND


def _ask(settings: pathlib.Path, vm: str | None, path: str) -> Any:
    cfg = load_settings(settings)
    scheme = "https" if cfg.listen.tls_certificate else "http"
    base = vm or f"{scheme}://{cfg.vm.host}:{cfg.listen.port}"
    headers = {"Authorization": f"Bearer {cfg.keys.operator_token}"}

    async def run() -> Any:
        timeout = aiohttp.ClientTimeout(total=_TIMEOUT_S)
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.get(base + path, headers=headers) as resp,
        ):
            resp.raise_for_status()
            return await resp.json()

    return asyncio.run(run())
