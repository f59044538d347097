"""Profiles of hypothesis, and a count of state machine steps."""

import os
import pathlib

import hypothesis
import pytest

_CI_EXAMPLES = 60
_CI_STEPS = 40
_SOAK_EXAMPLES = 1500
_SOAK_STEPS = 60

hypothesis.settings.register_profile(
    "ci",
    max_examples=_CI_EXAMPLES,
    stateful_step_count=_CI_STEPS,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
hypothesis.settings.register_profile(
    "soak",
    max_examples=_SOAK_EXAMPLES,
    stateful_step_count=_SOAK_STEPS,
    derandomize=False,
    deadline=None,
    database=None,
    print_blob=True,
    suppress_health_check=list(hypothesis.HealthCheck),
)
hypothesis.settings.register_profile(
    "mutants",
    parent=hypothesis.settings.get_profile("ci"),
    phases=(hypothesis.Phase.explicit, hypothesis.Phase.generate),
)
hypothesis.settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))

_KNOWN_RED = pathlib.Path(__file__).parent / "KNOWN-RED.txt"
_TEST_MARK = "test: "


def _known_red() -> list[str]:
    """Returns the node ids of the tests that are known to fail."""
    return [
        line.removeprefix(_TEST_MARK).strip()
        for line in _KNOWN_RED.read_text().splitlines()
        if line.startswith(_TEST_MARK)
    ]


def pytest_collection_modifyitems(items):
    """Lets the known failures fail without failing the run."""
    red = set(_known_red())
    for item in items:
        if item.nodeid in red:
            item.add_marker(pytest.mark.xfail(reason="KNOWN-RED.txt"))


def pytest_terminal_summary(terminalreporter):
    """Prints the known failures."""
    for nodeid in _known_red():
        terminalreporter.write_line(f"known red: {nodeid}")
