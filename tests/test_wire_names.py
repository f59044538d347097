"""Names of the users' platform stand in its adapter alone."""

import pathlib
import re

PACKAGE = pathlib.Path(__file__).resolve().parent.parent / "endivespindle"
ADAPTER = ("platform", "standins")

# Fields, headers and paths of the platform that mean nothing in the field's
# own language. Words that the product uses as well are left out.
WIRE_NAMES = (
    "Kv-Fetch",
    "X-Deadline-Ms",
    "X-Duty-Holder",
    "X-Expect-Instance",
    "X-Fencing-Token",
    "X-Not-Executed",
    "X-Prompt-Prefix",
    "X-Request-Priority",
    "X-Server-Load",
    "X-Server-Stamp",
    "X-Tenant",
    "X-Wait-Ms",
    "X-Weight-Versions",
    "apiKeys",
    "bootTimeoutS",
    "coldLeftMs",
    "expectRev",
    "fencingToken",
    "groupCount",
    "kvCacheTokens",
    "leaves_ms",
    "/lots/",
    "machineClass",
    "maxAttempts",
    "nextToken",
    "pathPrefix",
    "singleVersion",
    "storeRevision",
    "targetLatencyMs",
    "timingBounds",
    "tombstone",
    "waitMs",
    "windowId",
    "zonePrices",
)


def _sources():
    for path in sorted(PACKAGE.rglob("*.py")):
        parts = path.relative_to(PACKAGE).parts
        if parts[0] not in ADAPTER and "tests" not in parts:
            yield path


def test_no_wire_name_stands_outside_the_adapter():
    pattern = re.compile("|".join(map(re.escape, WIRE_NAMES)))
    found = [
        f"{path.relative_to(PACKAGE)}:{number}: {line.strip()}"
        for path in _sources()
        for number, line in enumerate(path.read_text().splitlines(), 1)
        if pattern.search(line)
    ]
    assert found == []


def test_the_adapter_stays_small():
    lines = sum(
        len(path.read_text().splitlines())
        for path in (PACKAGE / "platform").glob("*.py")
    )
    assert lines <= 1500
