"""Plays seeds of the system soak, each with real processes."""

import argparse
import asyncio
import pathlib
import shutil
import subprocess
import sys
import tarfile
import tempfile
import traceback
from collections.abc import Sequence

import msgspec

from endivespindle.report.soak import SeedResult
from tests.soak.run import soak

ROOT = pathlib.Path(__file__).resolve().parent.parent


def main() -> int:
    """Plays seeds one after the other; returns 1 if any promise broke."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=1, help="first seed")
    parser.add_argument("--seeds", type=int, default=50, help="how many")
    parser.add_argument("--seconds", type=float, default=12.0)
    parser.add_argument(
        "--results", type=pathlib.Path, help="file to add a line a seed to"
    )
    parser.add_argument(
        "--beside", metavar="REV", help="build that runs beside this one"
    )
    args = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="soak-build-") as folder:
        builds = [ROOT]
        if args.beside is not None:
            builds.append(extract_build(args.beside, pathlib.Path(folder)))
        commit = current_commit()
        failed = []
        for seed in range(args.first, args.first + args.seeds):
            broken, faults = play_seed(seed, args.seconds, builds)
            if broken:
                failed.append(seed)
            if args.results is not None:
                result = SeedResult(
                    commit=commit,
                    seed=seed,
                    seconds=args.seconds,
                    faults=faults,
                    broken=broken,
                )
                with args.results.open("ab") as file:
                    file.write(msgspec.json.encode(result) + b"\n")
    print(f"{args.seeds} seeds, {len(failed)} broken: {failed}")
    return 1 if failed else 0


def play_seed(
    seed: int, seconds: float, builds: Sequence[pathlib.Path]
) -> tuple[list[str], int]:
    """Plays and prints one seed; keeps its logs if anything broke.

    Returns:
        What broke, and the number of faults.
    """
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    try:
        broken, faults = asyncio.run(soak(folder, seed, seconds, builds))
    except Exception:
        # The next seeds are played, too.
        broken, faults = [traceback.format_exc()], []
    if not broken:
        shutil.rmtree(folder)
        print(f"seed {seed}: ok, {len(faults)} faults", flush=True)
        return [], len(faults)
    print(f"seed {seed}: BROKEN, logs in {folder}", flush=True)
    for line in (*broken, *faults):
        print(f"  {line}", flush=True)
    return broken, len(faults)


def current_commit() -> str:
    """Returns the commit of the tree."""
    done = subprocess.run(
        ["git", "rev-parse", "HEAD"],
        cwd=ROOT,
        check=True,
        capture_output=True,
        text=True,
    )
    return done.stdout.strip()


def extract_build(rev: str, folder: pathlib.Path) -> pathlib.Path:
    """Extracts the tree of another revision into a folder."""
    archive = folder / "build.tar"
    subprocess.run(
        ["git", "archive", f"--output={archive}", rev], cwd=ROOT, check=True
    )
    with tarfile.open(archive) as file:
        file.extractall(folder / "build", filter="data")
    return folder / "build"


if __name__ == "__main__":
    sys.exit(main())
