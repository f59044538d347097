"""Runs a deployment in one process and judges it."""

import asyncio
import pathlib

from endivespindle.cli.logs import configure_logs
from endivespindle.cli.output import ExitCode, print_findings, print_json
from endivespindle.demo.load import load_plan
from endivespindle.demo.run import DemoResult, run_demo
from endivespindle.exceptions import CheckError
from endivespindle.schema.generated.settings import LogLevel

__all__ = ["demo"]


def demo(
    plan: pathlib.Path,
    /,
    *,
    seed: int = 1,
    json: bool = False,
    log_level: LogLevel = LogLevel.ERROR,
) -> int:
    """Runs a deployment, its load and its faults on loopback.

    Args:
        plan: TOML file of the plan.
        seed: Seed of everything random.
        json: Print the result as JSON.
        log_level: Lowest level of log lines written.
    """
    configure_logs(log_level)
    try:
        loaded, register = load_plan(plan)
    except CheckError as exc:
        print_findings(exc.findings, as_json=json, source=str(plan))
        return ExitCode.FOUND
    if not json:
        print(loaded.title, flush=True)
    say = _ignore if json else _say
    result = asyncio.run(
        run_demo(plan=loaded, register=register, seed=seed, say=say)
    )
    _show(result, as_json=json)
    return ExitCode.FOUND if result.findings else ExitCode.OK


def _say(line: str) -> None:
    print(f"  {line}", flush=True)


def _ignore(line: str) -> None:
    del line


def _show(result: DemoResult, *, as_json: bool) -> None:
    if as_json:
        print_json(
            {
                "figures": dict(result.rows),
                "broken": [str(finding) for finding in result.findings],
            }
        )
        return
    width = max(len(name) for name, _ in result.rows)
    print()
    for name, value in result.rows:
        print(f"{name:<{width}}  {value}")
    print_findings(result.findings, as_json=False, source="broken promise")
