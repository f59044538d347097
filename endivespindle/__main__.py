"""Entry point of `python -m endivespindle`."""

import signal
import sys

__all__ = ["main"]


def main() -> None:
    """Runs one command.

    `node` without arguments is run without importing the libraries of the
    other commands, which would use a quarter of the memory of a small VM.

    SIGHUP is blocked while a node starts, as its default action would end the
    process; `run_node` unblocks it.
    """
    if sys.argv[1:2] == ["node"]:
        signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    if sys.argv[1:] == ["node"]:
        from endivespindle.cli.node import node

        sys.exit(node())
    from endivespindle.cli.main import main as run_command

    run_command()


if __name__ == "__main__":
    main()
