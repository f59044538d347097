"""The command line."""

import sys

import aiohttp
import cyclopts

from endivespindle import __version__
from endivespindle.cli import keys, register, settings, usage
from endivespindle.cli.bench import bench
from endivespindle.cli.demo import demo
from endivespindle.cli.node import node
from endivespindle.cli.output import ExitCode, print_findings
from endivespindle.cli.placement import explain_placement
from endivespindle.cli.report import report
from endivespindle.cli.serve import serve
from endivespindle.cli.vm import explain, status
from endivespindle.exceptions import CheckError, EndivespindleError

__all__ = ["app", "main"]

_EPILOGUE = (
    "Exit codes: 0 done; 1 something was found wrong; 2 the command line is "
    "wrong; 3 the platform or a VM could not be reached."
)

app = cyclopts.App(
    name="endivespindle",
    help="A rollout service for reinforcement learning.",
    help_epilogue=_EPILOGUE,
    version=__version__,
    result_action="return_value",
)
app.command(serve)
app.command(node)
app.command(demo)
app.command(bench)
app.command(status)
app.command(explain)
app.command(explain_placement)
app.command(report)
app.command(settings.app)
app.command(register.app)
app.command(keys.app)
app.command(usage.app)


@app.command
def version() -> int:
    """Prints the version."""
    print(__version__)
    return ExitCode.OK


def main() -> None:
    """Runs one command and exits with its code."""
    sys.exit(run(sys.argv[1:]))


def run(args: list[str]) -> int:
    """Runs one command and returns its exit code."""
    try:
        code = app(args, exit_on_error=False, print_error=True)
    except cyclopts.CycloptsError:
        return ExitCode.USAGE
    except CheckError as exc:
        print_findings(exc.findings, as_json=False)
        return ExitCode.FOUND
    except (EndivespindleError, aiohttp.ClientError, OSError) as exc:
        print(f"endivespindle: {exc}", file=sys.stderr)
        return ExitCode.UNREACHABLE
    return code if isinstance(code, int) else ExitCode.OK
