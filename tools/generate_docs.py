"""Writes the operators' reference pages from schemas and code, or checks."""

import argparse
import json
import pathlib
import sys
from typing import Any

from endivespindle.core.reasons import Reason, RetryReason
from endivespindle.node.metrics import Metrics

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGES = ROOT / "docs/operators"
SCHEMAS = ROOT / "endivespindle/schema"


def main() -> int:
    """Writes every page, or says which ones are out of date."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--check", action="store_true")
    args = parser.parse_args()
    pages = {
        "settings.md": settings_page(),
        "register.md": register_page(),
        "reasons.md": reasons_page(),
    }
    stale = []
    for name, text in pages.items():
        path = PAGES / name
        if path.exists() and path.read_text() == text:
            continue
        stale.append(name)
        if not args.check:
            path.write_text(text)
    verb = "out of date" if args.check else "written"
    print(f"generated pages {verb}: {', '.join(stale) or 'none'}")
    return 1 if args.check and stale else 0


def settings_page() -> str:
    """Returns the page on the settings of a VM."""
    schema = json.loads((SCHEMAS / "settings.schema.json").read_text())
    parts = [
        "# Settings of an entry VM\n",
        "One TOML file a VM; `endivespindle settings check FILE` prints every"
        "\nfinding. Units stand at the end of each name: `_s` seconds, `_bytes`"
        "\nbytes. Generated from `settings.schema.json`.\n",
    ]
    for section, prop in schema["properties"].items():
        definition = _definition(schema, prop)
        parts.append(f"## `[{section}]`\n\n{definition['description']}\n")
        parts.append(_table(definition))
    return "\n".join(parts)


def register_page() -> str:
    """Returns the page on the register."""
    schema = json.loads((SCHEMAS / "register.schema.json").read_text())
    parts = [
        "# The register\n",
        "One TOML file, put in force with `endivespindle register apply`."
        "\nGenerated from `register.schema.json`.\n",
    ]
    for section, prop in schema["properties"].items():
        definition = _definition(schema, prop)
        title = f"[[{section}]]" if "items" in prop else f"[{section}]"
        parts.append(f"## `{title}`\n\n{definition['description']}\n")
        parts.append(_table(definition))
    return "\n".join(parts)


def reasons_page() -> str:
    """Returns the page on reason codes and metrics."""
    parts = [
        "# Reason codes and metrics\n",
        "Generated from `core/reasons.py` and `node/metrics.py`.\n",
        "## Refusals and failures\n",
        "Counter `endivespindle_refusals_total{reason=...}`; the code stands"
        "\nin the error body beside `ran`.\n",
        "| code | status | ran | text |",
        "|---|---|---|---|",
    ]
    parts += [
        f"| `{r.code}` | {r.status} | `{r.ran.value}` | {r.text} |"
        for r in Reason
    ]
    parts += [
        "\n## Retries\n",
        "Counter `endivespindle_retries_total{reason=...}`.\n",
        "| reason |",
        "|---|",
    ]
    parts += [f"| `{reason.value}` |" for reason in RetryReason]
    parts += ["\n## Metrics\n", "| name | what |", "|---|---|"]
    text = Metrics().render().decode()
    parts += [
        f"| `{line.split(' ', 3)[2]}` | {line.split(' ', 3)[3]} |"
        for line in text.splitlines()
        if line.startswith("# HELP ")
    ]
    return "\n".join(parts) + "\n"


def _definition(schema: dict[str, Any], prop: dict[str, Any]) -> dict[str, Any]:
    ref = prop.get("$ref") or prop["items"]["$ref"]
    return schema["$defs"][ref.rpartition("/")[2]]


def _table(definition: dict[str, Any]) -> str:
    rows = ["| name | type | default | range | what |", "|---|---|---|---|---|"]
    for name, prop in definition["properties"].items():
        default = (
            f"`{json.dumps(prop['default'])}`"
            if "default" in prop
            else "required"
        )
        rows.append(
            f"| `{name}` | {prop.get('type', 'table')} | {default}"
            f" | {_range(prop)} | {prop['description']} |"
        )
    return "\n".join(rows) + "\n"


def _range(prop: dict[str, Any]) -> str:
    if "enum" in prop:
        return ", ".join(f"`{value}`" for value in prop["enum"])
    parts = []
    if "minimum" in prop:
        parts.append(f"from {prop['minimum']:g}")
    if "maximum" in prop:
        parts.append(f"to {prop['maximum']:g}")
    if "minLength" in prop:
        parts.append(f"{prop['minLength']} characters or more")
    if "pattern" in prop:
        pattern = prop["pattern"].replace("|", "\\|")
        parts.append(f"`{pattern}`")
    return " ".join(parts)


if __name__ == "__main__":
    sys.exit(main())
