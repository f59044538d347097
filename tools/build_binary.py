"""Builds the one-file program `dist/endivespindle`.

The run requirements are copied from the environment that runs this script,
so that a build needs no registry.
"""

import importlib.metadata
import pathlib
import shutil
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
SITE = ROOT / "build" / "site"
TARGET = ROOT / "dist" / "endivespindle"
_SKIPPED = shutil.ignore_patterns("tests", "__pycache__")


def main() -> int:
    """Builds the program and prints its size."""
    shutil.rmtree(SITE, ignore_errors=True)
    SITE.mkdir(parents=True)
    for line in (ROOT / "requirements.txt").read_text().splitlines():
        if line.strip():
            copy_distribution(line.partition("==")[0])
    shutil.copytree(
        ROOT / "endivespindle", SITE / "endivespindle", ignore=_SKIPPED
    )
    TARGET.parent.mkdir(exist_ok=True)
    subprocess.run(
        [
            sys.executable,
            "-m",
            "shiv",
            "--site-packages",
            str(SITE),
            "--entry-point",
            "endivespindle.__main__:main",
            "--python",
            "/usr/bin/env python3",
            "--compressed",
            "--reproducible",
            "--output-file",
            str(TARGET),
        ],
        check=True,
    )
    print(f"{TARGET.relative_to(ROOT)}: {TARGET.stat().st_size} bytes")
    return 0


def copy_distribution(name: str) -> None:
    """Copies the files of one installed distribution."""
    dist = importlib.metadata.distribution(name)
    for file in dist.files or []:
        if file.parts[0] == ".." or "__pycache__" in file.parts:
            continue
        target = SITE / file
        target.parent.mkdir(parents=True, exist_ok=True)
        shutil.copy2(dist.locate_file(file), target)


if __name__ == "__main__":
    sys.exit(main())
