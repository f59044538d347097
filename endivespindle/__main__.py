"""Runs the command line with `python -m endivespindle`."""

import sys

__all__ = ["main"]


def main() -> None:
    """Runs one command.

    `node` alone is run without the other commands' libraries: they would
    take a quarter of the memory of a small VM.
    """
    if sys.argv[1:] == ["node"]:
        from endivespindle.cli.node import node

        sys.exit(node())
    from endivespindle.cli.main import main as run_command

    run_command()


if __name__ == "__main__":
    main()
