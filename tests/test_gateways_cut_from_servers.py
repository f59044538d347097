"""Most gateways lose the path to all servers; their callers are served on.

Played with real connections between the gateways, in real time. What callers
see is counted per gateway, as the bound on a partition does.
"""

import asyncio
import collections

import pytest

from endivespindle.exceptions import BackendServerError, RefusedError
from endivespindle.runtime.forward_plan import ForwardPlan
from endivespindle.runtime.forwarding import Forwarder
from endivespindle.serving.calls import ServerCall
from tests.cut_gateways import SERVERS, EventAnswer, GatewayWorld

GATEWAYS = 9
CUT = 5
# Time after the beginning of the cut from which the bound holds.
CONTACT_S = 3.0
# Cut gateways answer at least this fraction of the others' share, unless no
# more than `ALLOWED` and one in fifty of their requests fail.
MIN_SHARE = 2 / 3
ALLOWED = 10
CALLER_DEADLINE_S = 1.5
TARGET_LATENCY_S = 0.19
# Requests of one gateway are this far apart.
INTERVAL_S = 0.1


class _Callers:
    """Calls each gateway at a steady rate and counts the first attempts.

    Attributes:
        outcomes: Number of answered and of all requests, by gateway.
    """

    def __init__(self, gateways):
        self.outcomes = {g.name: collections.Counter() for g in gateways}
        self._forwarders = {
            g.name: Forwarder(
                api=g.api,
                directory=g.directory,
                clock=g.parts.clock,
                rng=g.parts.rng,
                data_centre="a",
                log=g.parts.log,
                metrics=g.parts.metrics,
            )
            for g in gateways
        }

    async def call(self, gateway, number, *, is_counted):
        deadline_s = gateway.parts.clock.monotonic() + CALLER_DEADLINE_S
        call = ServerCall(
            request_id=f"{gateway.name}-{number}",
            method="GET",
            target="/orders/1",
            host="app.example",
            headers=[],
            body=b"",
        )
        plan = ForwardPlan(
            route="orders",
            service="plain",
            may_repeat=True,
            max_attempts=3,
            target_latency_s=TARGET_LATENCY_S,
            deadline_s=deadline_s,
        )
        outcome = "answered"
        try:
            await self._forwarders[gateway.name].forward(call, plan)
        except RefusedError as exc:
            outcome = exc.reason.code
        if is_counted:
            self.outcomes[gateway.name][outcome] += 1

    async def play(self, gateways, *, seconds, is_counted):
        async with asyncio.TaskGroup() as group:
            for number in range(int(seconds / INTERVAL_S)):
                for gateway in gateways:
                    group.create_task(
                        self.call(gateway, number, is_counted=is_counted)
                    )
                await asyncio.sleep(INTERVAL_S)

    def share(self, gateways):
        """Returns answered and all requests at some gateways."""
        counts = sum(
            (self.outcomes[g.name] for g in gateways), collections.Counter()
        )
        return counts["answered"], counts.total()


async def _run_items(world, gateway, *, count):
    """Keeps streams of a batch job running until cancelled."""

    async def run_one(number):
        while True:
            for name in SERVERS:
                try:
                    async with asyncio.timeout(5.0):
                        await gateway.send(name, f"item-{number}", is_item=True)
                except (BackendServerError, TimeoutError):
                    await asyncio.sleep(0.05)

    def answer(call):
        if call.request_id.startswith("item"):
            return EventAnswer(events=range(1, 40), pause_s=0.05)
        return EventAnswer(events=(1,))

    world.answer = answer
    async with asyncio.TaskGroup() as group:
        for number in range(count):
            group.create_task(run_one(number))


@pytest.mark.parametrize("how", ["drop", "refuse", "reset"])
@pytest.mark.parametrize("items", [0, 40])
def test_callers_of_cut_gateways_are_served_nearly_as_often(how, items):
    """Pattern: most gateways are cut, and one of them runs a batch step."""

    async def run():
        async with GatewayWorld(gateways=GATEWAYS) as world:
            world.run_s = 0.03
            cut, others = world.gateways[:CUT], world.gateways[CUT:]
            callers = _Callers(world.gateways)
            step = asyncio.create_task(_run_items(world, cut[0], count=items))
            await callers.play(world.gateways, seconds=0.5, is_counted=False)
            for gateway in cut:
                gateway.cut.how = how
            await callers.play(
                world.gateways, seconds=CONTACT_S, is_counted=False
            )
            await callers.play(world.gateways, seconds=3.0, is_counted=True)
            step.cancel()
            await asyncio.gather(step, return_exceptions=True)
            for gateway in cut:
                gateway.cut.how = ""
            return callers, cut, others

    callers, cut, others = asyncio.run(run())
    answered, asked = callers.share(cut)
    others_answered, others_asked = callers.share(others)
    assert others_answered == others_asked
    failed = asked - answered
    assert answered / asked >= MIN_SHARE or failed <= ALLOWED + asked / 50, (
        callers.outcomes
    )
