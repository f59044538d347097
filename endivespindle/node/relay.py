"""Selects the VMs that read the platform for their data centre."""

import asyncio

from endivespindle.exceptions import PlatformError
from endivespindle.node.context import NodeContext
from endivespindle.store.interfaces import VmListInterface

__all__ = ["VmListPoller", "should_watch_platform"]

_RELAY_READ_INTERVAL_S = 2.0
_DEFAULT_READ_INTERVAL_S = 120.0
_CHECK_INTERVAL_S = 1.0


def should_watch_platform(ctx: NodeContext) -> bool:
    """Returns whether this VM watches the platform itself.

    Relays always do. Once the key table has been unconfirmed for half of the
    limit beyond which routes with tenant keys refuse requests, a few standby
    VMs do as well, in turns.
    """
    relays = ctx.gossip.relays
    if relays.is_relay():
        return True
    silent_s = ctx.keys.freshness.confirmation_age_s()
    is_late = silent_s >= ctx.settings.keys.max_unconfirmed_s / 2
    return is_late and relays.is_standby(silent_s=silent_s)


class VmListPoller:
    """Polls the platform's list of VMs: often on a relay, else rarely.

    Args:
        ctx: Shared state of the VM.
        vm_list: Interface to the platform's list of VMs.
    """

    __slots__ = ("_ctx", "_last_read_s", "_vm_list")

    def __init__(self, *, ctx: NodeContext, vm_list: VmListInterface):
        self._ctx = ctx
        self._vm_list = vm_list
        self._last_read_s = float("-inf")

    async def run(self) -> None:
        """Polls the list until cancelled."""
        while True:
            await self.read_if_due()
            pause_s = _CHECK_INTERVAL_S * self._ctx.rng.uniform(0.8, 1.2)
            await asyncio.sleep(pause_s)

    async def read_if_due(self) -> None:
        """Reads the list unless it was read within the interval."""
        now_s = self._ctx.clock.monotonic()
        is_relay = self._ctx.gossip.relays.is_relay()
        interval_s = (
            _RELAY_READ_INTERVAL_S if is_relay else _DEFAULT_READ_INTERVAL_S
        )
        if now_s - self._last_read_s < interval_s:
            return
        try:
            listed = await self._vm_list.list_vms()
        except PlatformError as exc:
            self._ctx.log.debug("vm_list_read_failed", error=str(exc))
            return
        self._last_read_s = now_s
        changed = self._ctx.membership.apply_vm_list(listed.vms)
        self._ctx.gossip.disseminate(changed)
