"""Runs one entry VM until it is told to stop."""

import asyncio
import pathlib
import random
import signal
import sys

from endivespindle.cli.files import load_settings
from endivespindle.cli.logs import configure_logs
from endivespindle.cli.output import ExitCode, print_findings
from endivespindle.core.clock import SystemClock
from endivespindle.core.ids import RandomIdSource
from endivespindle.exceptions import CheckError
from endivespindle.node.entry_vm import EntryVm
from endivespindle.node.network import SocketNetwork
from endivespindle.schema.generated.settings import Settings

__all__ = ["serve"]


def serve(*, settings: pathlib.Path) -> int:
    """Runs one entry VM.

    SIGTERM and SIGINT drain it: readiness fails, new requests are refused
    as not run, running ones end, usage is flushed, leases are released.

    Args:
        settings: TOML file of this VM's settings.
    """
    try:
        cfg = load_settings(settings)
    except CheckError as exc:
        print_findings(exc.findings, as_json=False, source=str(settings))
        return ExitCode.FOUND
    configure_logs(cfg.log.level)
    asyncio.run(_serve(cfg))
    return ExitCode.OK


async def _serve(cfg: Settings) -> None:
    vm = EntryVm(
        settings=cfg,
        clock=SystemClock(),
        ids=RandomIdSource(),
        rng=random.Random(),
        network=SocketNetwork(),
    )
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop.set)
    await vm.start()
    vm.ctx.log.info("started", http_port=vm.http_port, peer_port=vm.peer_port)
    await stop.wait()
    vm.ctx.log.info("draining")
    await vm.drain()
    vm.ctx.log.info("stopped")
    sys.stderr.flush()
