"""Validation of documents against the JSON Schemas."""

import functools
import importlib.resources
import json
from typing import Any, TypeVar

import jsonschema
import msgspec

from endivespindle.core.findings import Finding
from endivespindle.exceptions import CheckError

__all__ = ["check_document", "decode_document", "load_schema"]

T = TypeVar("T")


@functools.cache
def load_schema(name: str) -> dict[str, Any]:
    """Returns the schema of this package with the given name."""
    path = importlib.resources.files("endivespindle.schema")
    return json.loads(path.joinpath(f"{name}.schema.json").read_text())


def check_document(document: Any, *, schema: str) -> list[Finding]:
    """Returns all violations of a schema, each with its key path.

    Args:
        document: Parsed TOML or JSON.
        schema: Name of the schema.
    """
    validator = jsonschema.Draft202012Validator(load_schema(schema))
    findings = [
        Finding(place=_place(error.absolute_path), message=_message(error))
        for error in validator.iter_errors(document)
    ]
    return sorted(findings)


def decode_document(document: Any, *, schema: str, cls: type[T]) -> T:
    """Validates a document and converts it to its generated class.

    Raises:
        CheckError: The document violates its schema.
    """
    findings = check_document(document, schema=schema)
    if findings:
        raise CheckError(findings)
    return msgspec.convert(document, type=cls)


def _message(error: jsonschema.ValidationError) -> str:
    """Returns the description of a violation, without secret values."""
    schema = error.schema
    if isinstance(schema, dict) and schema.get("writeOnly"):
        return f"violates {error.validator} {error.validator_value}"
    return error.message


def _place(path: Any) -> str:
    """Formats a key path, such as `routes[2].prefix`."""
    out = ""
    for step in path:
        out += f"[{step}]" if isinstance(step, int) else f".{step}"
    return out.lstrip(".") or "(whole document)"
