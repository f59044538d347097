"""Every deliberate fault applies to the code as it is."""

import pathlib
import tomllib

import pytest

ROOT = pathlib.Path(__file__).resolve().parent.parent
MUTANTS = [
    mutant
    for path in sorted((ROOT / "tools/mutants").glob("*.toml"))
    for mutant in tomllib.loads(path.read_text())["mutant"]
]


@pytest.mark.parametrize("mutant", MUTANTS, ids=lambda m: m["name"])
def test_the_text_to_replace_stands_once(mutant):
    text = (ROOT / mutant["file"]).read_text()
    assert text.count(mutant["old"]) == 1
    assert mutant["old"] != mutant["new"]


def test_names_are_unique():
    names = [mutant["name"] for mutant in MUTANTS]
    assert len(set(names)) == len(names)
