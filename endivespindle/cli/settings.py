"""Checks settings."""

import pathlib

import cyclopts

from endivespindle.cli.files import load_settings
from endivespindle.cli.output import ExitCode, print_findings
from endivespindle.exceptions import CheckError

__all__ = ["app"]

app = cyclopts.App(name="settings", help="Check settings.")


@app.command
def check(file: pathlib.Path, /, *, json: bool = False) -> int:
    """Prints every finding in a settings file.

    Args:
        file: TOML file of settings.
        json: Print findings as JSON.
    """
    try:
        load_settings(file)
    except CheckError as exc:
        print_findings(exc.findings, as_json=json, source=str(file))
        return ExitCode.FOUND
    print_findings([], as_json=json) if json else print(f"{file}: ok")
    return ExitCode.OK
