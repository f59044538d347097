"""Breaks each mechanism in one place, and checks that a test notices.

Each file `tools/mutants/*.toml` holds tables `[[mutant]]` with `name`, `line`
(of the brief's promises), `file`, `old`, `new` and `tests`. `old` must stand
exactly once in `file`. The tests run on a scratch copy of the tree.
"""

import argparse
import concurrent.futures
import dataclasses
import os
import pathlib
import shutil
import subprocess
import sys
import tempfile
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
_TIME_LIMIT_S = 300


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Mutant:
    """One deliberate fault."""

    name: str
    line: str
    file: str
    old: str
    new: str
    tests: list[str]


def load_mutants() -> list[Mutant]:
    """Returns every mutant of every table."""
    return [
        Mutant(**table)
        for path in sorted((ROOT / "tools/mutants").glob("*.toml"))
        for table in tomllib.loads(path.read_text())["mutant"]
    ]


def try_mutant(mutant: Mutant) -> str:
    """Returns `caught`, or why a mutant was not."""
    with tempfile.TemporaryDirectory() as tmp:
        tree = pathlib.Path(tmp) / "tree"
        ignore = shutil.ignore_patterns(".venv", ".git", "build", "dist")
        shutil.copytree(ROOT, tree, ignore=ignore)
        path = tree / mutant.file
        text = path.read_text()
        if text.count(mutant.old) != 1:
            return "BROKEN: old text does not stand once"
        path.write_text(text.replace(mutant.old, mutant.new))
        try:
            done = subprocess.run(
                [sys.executable, "-m", "pytest", "-x", *mutant.tests],
                cwd=tree,
                env={
                    **os.environ,
                    "PYTHONPATH": str(tree),
                    "HYPOTHESIS_PROFILE": "mutants",
                },
                capture_output=True,
                timeout=_TIME_LIMIT_S,
                check=False,
            )
        except subprocess.TimeoutExpired:
            return f"TIMED OUT after {_TIME_LIMIT_S} s"
    if done.returncode == 1:
        return "caught"
    return "SURVIVED" if done.returncode == 0 else "BROKEN: no test ran"


def main() -> int:
    """Tries every mutant and prints a line for each."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--only", default="")
    parser.add_argument("--jobs", type=int, default=4)
    args = parser.parse_args()
    mutants = [m for m in load_mutants() if args.only in m.name]
    with concurrent.futures.ThreadPoolExecutor(args.jobs) as pool:
        verdicts = []
        for mutant, verdict in zip(
            mutants, pool.map(try_mutant, mutants), strict=True
        ):
            line = f"{mutant.name:<44} {mutant.line:<32} {verdict}"
            print(line, flush=True)
            verdicts.append(verdict)
    caught = verdicts.count("caught")
    print(f"{caught} of {len(mutants)} mutants caught")
    return 0 if caught == len(mutants) else 1


if __name__ == "__main__":
    sys.exit(main())
