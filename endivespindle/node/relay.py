"""Which VMs call the platform on behalf of their data centre."""

import asyncio

from endivespindle.exceptions import PlatformError
from endivespindle.node.context import NodeContext
from endivespindle.store.interfaces import VmListInterface

__all__ = ["VmListPoller", "should_watch_platform"]

_RELAY_INTERVAL_S = 2.0
_OTHERS_INTERVAL_S = 120.0
_LOOK_INTERVAL_S = 1.0


def should_watch_platform(ctx: NodeContext) -> bool:
    """Tells whether this VM follows the platform itself.

    Relays do. A few others do when the platform's news is about to grow too
    old for keyed routes, in turn.
    """
    relays = ctx.gossip.relays
    if relays.is_relay():
        return True
    silent_s = ctx.keys.freshness.unconfirmed_s()
    late = silent_s >= ctx.settings.keys.max_unconfirmed_s / 2
    return late and relays.is_standby(silent_s=silent_s)


class VmListPoller:
    """Reads the platform's list of VMs, often on a relay, else seldom.

    Args:
        ctx: Shared state of the VM.
        vm_list: The platform's list of VMs.
    """

    __slots__ = ("_ctx", "_read_s", "_vm_list")

    def __init__(self, *, ctx: NodeContext, vm_list: VmListInterface):
        self._ctx = ctx
        self._vm_list = vm_list
        self._read_s = float("-inf")

    async def run(self) -> None:
        """Follows the list for as long as the VM runs."""
        while True:
            await self.read_if_due()
            pause_s = _LOOK_INTERVAL_S * self._ctx.rng.uniform(0.8, 1.2)
            await asyncio.sleep(pause_s)

    async def read_if_due(self) -> None:
        """Reads the list unless it was read lately."""
        now_s = self._ctx.clock.monotonic()
        often = self._ctx.gossip.relays.is_relay()
        interval_s = _RELAY_INTERVAL_S if often else _OTHERS_INTERVAL_S
        if now_s - self._read_s < interval_s:
            return
        try:
            listed = await self._vm_list.list_vms()
        except PlatformError as exc:
            self._ctx.log.debug("vm_list_unread", error=str(exc))
            return
        self._read_s = now_s
        changed = self._ctx.membership.take_list(listed.vms)
        self._ctx.gossip.publish(changed)
