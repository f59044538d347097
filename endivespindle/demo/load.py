"""Reads a demo plan and its register."""

import pathlib
import tomllib
from typing import Any

from endivespindle.core.findings import Finding
from endivespindle.exceptions import CheckError
from endivespindle.register.checking import decode_register
from endivespindle.schema.checking import decode_document
from endivespindle.schema.generated.demo import DemoPlan
from endivespindle.schema.generated.register import Register

__all__ = ["load_plan", "read_toml"]


def load_plan(path: pathlib.Path) -> tuple[DemoPlan, Register]:
    """Returns the plan in a file and the register beside it.

    Raises:
        CheckError: One of them is wrong.
    """
    plan = decode_document(read_toml(path), schema="demo", cls=DemoPlan)
    register = decode_register(read_toml(path.parent / plan.register_file))
    return plan, register


def read_toml(path: pathlib.Path) -> dict[str, Any]:
    """Returns a parsed TOML file.

    Raises:
        CheckError: It cannot be read or parsed.
    """
    try:
        return tomllib.loads(path.read_text())
    except (OSError, tomllib.TOMLDecodeError, UnicodeDecodeError) as exc:
        finding = Finding(place=str(path), message=str(exc))
        raise CheckError([finding]) from exc
