"""The platform's limit on memory, which ends a process that exceeds it."""

import asyncio
import signal

_CHECK_S = 0.005
# A process that ends is started again after a short delay.
_RESTART_S = 1.0


class MemoryLimit:
    """Ends gateways over their memory, and starts them again.

    Args:
        fleet: The nodes.
        record: Record of the case.
        limit_mb: Memory that a process may use.

    Attributes:
        ends: How often each gateway ended.
        peaks_mb: Most memory seen of each gateway.
    """

    def __init__(self, *, fleet, record, limit_mb):
        self.ends = {}
        self.peaks_mb = {}
        self._fleet = fleet
        self._record = record
        self._limit_mb = limit_mb

    async def watch(self, name):
        """Watches one gateway until cancelled."""
        node = self._fleet.nodes[name]
        while True:
            await asyncio.sleep(_CHECK_S)
            used_mb = node.resident_mb()
            self.peaks_mb[name] = max(used_mb, self.peaks_mb.get(name, 0.0))
            if node.proc.returncode is not None:
                self._record.write(
                    "ended", node=name, code=node.proc.returncode
                )
            elif used_mb <= self._limit_mb:
                continue
            else:
                self._record.write(
                    "over_memory", node=name, mb=f"{used_mb:.1f}"
                )
                self._fleet.signal(name, signal.SIGKILL)
                await node.proc.wait()
            self.ends[name] = self.ends.get(name, 0) + 1
            await asyncio.sleep(_RESTART_S)
            await self._fleet.start(name)
