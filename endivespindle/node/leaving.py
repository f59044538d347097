"""Carries out the steps of leaving."""

import asyncio
from collections.abc import Callable, Coroutine

from endivespindle.node.context import NodeContext
from endivespindle.node.drain import DrainState
from endivespindle.node.usage_role import UsageFlusher

__all__ = ["leave"]

_LOOK_INTERVAL_S = 0.02
_FLUSH_LIMIT_S = 5.0
_FLUSH_PAUSE_S = 0.2


async def leave(
    *,
    ctx: NodeContext,
    flush: UsageFlusher,
    hand_over: Callable[[], Coroutine[None, None, None]],
) -> None:
    """Leaves without cutting a request, and writes all usage.

    Args:
        ctx: Shared state of the VM.
        flush: Writes usage.
        hand_over: Ends the roles and releases their leases, so that other
            VMs take them over while the last requests end here.
    """
    ctx.drain.begin()
    ctx.draining.set()
    releasing = asyncio.create_task(hand_over())
    state = ctx.drain.advance()
    while state is not DrainState.FLUSHING:
        await asyncio.sleep(_LOOK_INTERVAL_S)
        before, state = state, ctx.drain.advance()
        if state is not before:
            ctx.log.info(
                "drain_step", step=state.value, running=ctx.drain.running
            )
    await releasing
    if ctx.drain.running:
        ctx.log.error("drain_cut", running=ctx.drain.running)
    await _flush_all(ctx, flush)
    ctx.drain.flushed()


async def _flush_all(ctx: NodeContext, flush: UsageFlusher) -> None:
    deadline_s = ctx.clock.monotonic() + _FLUSH_LIMIT_S
    while not await flush.flush():
        if ctx.clock.monotonic() >= deadline_s:
            ctx.log.error("usage_not_flushed")
            return
        await asyncio.sleep(_FLUSH_PAUSE_S)
