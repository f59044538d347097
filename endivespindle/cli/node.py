"""Runs one node on the users' platform until it is told to stop."""

import asyncio
import pathlib

from endivespindle.cli.output import ExitCode, print_findings
from endivespindle.exceptions import CheckError
from endivespindle.platform.settings_file import (
    load_settings_file,
    settings_file_path,
)
from endivespindle.runtime.node import run_node

__all__ = ["node"]


def node(*, settings: pathlib.Path | None = None) -> int:
    """Runs one node of a fleet on the users' platform.

    Args:
        settings: The platform's settings file; by default where the platform
            says that it is.
    """
    path = settings or settings_file_path()
    try:
        cfg = load_settings_file(path)
    except CheckError as exc:
        print_findings(exc.findings, as_json=False, source=str(path))
        return ExitCode.FOUND
    asyncio.run(run_node(cfg))
    return ExitCode.OK
