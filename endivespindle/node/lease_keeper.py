"""Maintains the lease of one shard in the platform's object API."""

import asyncio
from collections.abc import Awaitable, Callable

from endivespindle.exceptions import LeaseLostError, PlatformError
from endivespindle.leases.lease import Lease
from endivespindle.node.context import NodeContext
from endivespindle.peers.tasks import end_tasks
from endivespindle.schema.generated.stored import Intent
from endivespindle.store.object_store import ObjectStore
from endivespindle.store.stored_lease import LEASE_KIND, StoredLease

__all__ = ["LEASE_KIND", "LeaseKeeper"]

_RENEWALS_PER_TERM = 3
_STANDBYS = 2

Role = Callable[["LeaseKeeper"], Awaitable[None]]


class LeaseKeeper:
    """Acquires, renews and releases a lease, and runs a role while it is held.

    Only the VMs that rank first for the shard try to acquire it, so that the
    number of reads does not grow with the fleet.

    Args:
        ctx: Shared state of the VM.
        store: The object API.
        shard: Name of the shard.
        max_send_s: Longest send deadline of an operation under the lease.

    Attributes:
        lease: State of the lease.
        shard: Name of the shard.
    """

    __slots__ = ("_ctx", "_held", "lease", "shard")

    def __init__(
        self,
        *,
        ctx: NodeContext,
        store: ObjectStore,
        shard: str,
        max_send_s: float = 0.0,
    ):
        self._ctx = ctx
        self.shard = shard
        self.lease = Lease(
            holder=f"{ctx.settings.vm.name}/{ctx.incarnation}",
            clock=ctx.clock,
            term_s=ctx.settings.platform.lease_term_s,
            max_send_s=max_send_s,
        )
        self._held = StoredLease(
            lease=self.lease, store=store, name=shard, ids=ctx.ids
        )

    async def run(self, role: Role) -> None:
        """Runs the role while this VM holds the lease, until the VM drains."""
        interval_s = (
            self._ctx.settings.platform.lease_term_s / _RENEWALS_PER_TERM
        )
        task: asyncio.Task[None] | None = None
        try:
            while not self._ctx.draining.is_set():
                if self.lease.is_held() or self._is_candidate():
                    await self._acquire_or_renew()
                is_held = self.lease.is_held()
                if is_held and (task is None or task.done()):
                    task = asyncio.create_task(self._run_role(role))
                elif not is_held and task is not None:
                    await end_tasks([task])
                    task = None
                await asyncio.sleep(
                    interval_s * self._ctx.rng.uniform(0.8, 1.0)
                )
        finally:
            if task is not None:
                await end_tasks([task])
            await self._held.release()

    async def record_intent(self, intent: Intent) -> None:
        """Writes an intent to the lease's object, by conditional update.

        Raises:
            LeaseLostError: The lease is not held.
        """
        await self._held.record_intent(intent)

    async def _run_role(self, role: Role) -> None:
        self._ctx.log.info(
            "lease_held", shard=self.shard, epoch=self.lease.epoch
        )
        try:
            await role(self)
        except (PlatformError, LeaseLostError) as exc:
            self._ctx.log.warning(
                "role_stopped", shard=self.shard, error=str(exc)
            )

    def _is_candidate(self) -> bool:
        ranked_vms = self._ctx.membership.rank(self.shard)
        return self._ctx.settings.vm.name in ranked_vms[: 1 + _STANDBYS]

    async def _acquire_or_renew(self) -> None:
        try:
            await self._held.acquire_or_renew()
        except PlatformError as exc:
            self._ctx.log.debug(
                "lease_unreached", shard=self.shard, error=str(exc)
            )
