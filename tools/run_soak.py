"""Runs every state machine for long, and reports seeds and step counts.

State machines stand in files named `test_*_machine.py`. Each machine counts
its steps with `endivespindle.core.tests.steps.count_step`.
"""

import argparse
import concurrent.futures
import os
import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
_STEPS_WANTED = 200_000
_COUNT_MARK = "steps counted: "


def soak(path: pathlib.Path, seed: int) -> tuple[int, int]:
    """Runs one file; returns pytest's exit code and the steps counted."""
    done = subprocess.run(
        [
            sys.executable,
            "-m",
            "pytest",
            "-s",
            f"--hypothesis-seed={seed}",
            "--timeout=1800",
            str(path),
        ],
        cwd=ROOT,
        env={**os.environ, "HYPOTHESIS_PROFILE": "soak"},
        capture_output=True,
        text=True,
        check=False,
    )
    if done.returncode:
        print(done.stdout[-4000:])
    marks = [
        line
        for line in done.stdout.splitlines()
        if line.startswith(_COUNT_MARK)
    ]
    steps = int(marks[-1].removeprefix(_COUNT_MARK)) if marks else 0
    return done.returncode, steps


def main() -> int:
    """Runs every machine and prints a line for each."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--jobs", type=int, default=6)
    args = parser.parse_args()
    paths = sorted(ROOT.glob("endivespindle/**/test_*_machine.py"))
    with concurrent.futures.ThreadPoolExecutor(args.jobs) as pool:
        results = list(pool.map(lambda path: soak(path, args.seed), paths))
    failed = total = 0
    for path, (code, steps) in zip(paths, results, strict=True):
        verdict = "passed" if code == 0 else "FAILED"
        name = path.relative_to(ROOT)
        print(f"{name!s:<64} seed {args.seed}  {steps:>8} steps  {verdict}")
        failed += code != 0
        total += steps
    print(f"{total} steps in total, {_STEPS_WANTED} wanted, {failed} failed")
    return 1 if failed or total < _STEPS_WANTED else 0


if __name__ == "__main__":
    sys.exit(main())
