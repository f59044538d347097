"""Graceful shutdown of a VM, in the steps that its drain decides."""

import asyncio
from collections.abc import Callable, Coroutine

from endivespindle.node.context import NodeContext
from endivespindle.node.drain import DrainState
from endivespindle.node.usage_role import UsageFlusher

__all__ = ["shut_down_gracefully"]

_POLL_INTERVAL_S = 0.02
_FLUSH_TIMEOUT_S = 5.0
_FLUSH_RETRY_DELAY_S = 0.2


async def shut_down_gracefully(
    *,
    ctx: NodeContext,
    flush: UsageFlusher,
    release_roles: Callable[[], Coroutine[None, None, None]],
) -> None:
    """Waits until running requests end or time out, then writes all usage.

    Args:
        ctx: Shared state of the VM.
        flush: Writes usage to the store.
        release_roles: Stops the roles and releases their leases, so that
            other VMs take them over while the last requests end here.
    """
    ctx.drain.begin()
    ctx.draining.set()
    release_task = asyncio.create_task(release_roles())
    state = ctx.drain.advance()
    while state is not DrainState.FLUSHING:
        await asyncio.sleep(_POLL_INTERVAL_S)
        previous, state = state, ctx.drain.advance()
        if state is not previous:
            ctx.log.info(
                "drain_step", step=state.value, running=ctx.drain.running
            )
    await release_task
    if ctx.drain.running:
        ctx.log.error("drain_cut", running=ctx.drain.running)
    await _flush_usage(ctx, flush)
    ctx.drain.mark_flushed()


async def _flush_usage(ctx: NodeContext, flush: UsageFlusher) -> None:
    deadline_s = ctx.clock.monotonic() + _FLUSH_TIMEOUT_S
    while not await flush.flush():
        if ctx.clock.monotonic() >= deadline_s:
            ctx.log.error("usage_not_flushed")
            return
        await asyncio.sleep(_FLUSH_RETRY_DELAY_S)
