"""Backend servers in memory and a clock on virtual time, for node tests."""

import asyncio
import contextlib
import random

from endivespindle.core.ids import SeededIdSource
from endivespindle.core.reasons import Reason
from endivespindle.exceptions import BackendServerError
from endivespindle.runtime.context import RuntimeContext
from endivespindle.runtime.settings import (
    Endpoint,
    NodeRole,
    NodeSettings,
    PlatformLimits,
    Timing,
)
from endivespindle.schema.generated.caller import RunState
from endivespindle.serving.calls import (
    OrderResponse,
    ResponseHead,
    ServerApi,
    ServerReport,
    ServerResponse,
    StreamEvent,
)
from tests.virtual_loop import LoopClock


def lost(ran=RunState.UNKNOWN):
    reason = Reason.BACKEND_LOST
    if ran is RunState.NOT_RUN:
        reason = Reason.BACKEND_UNREACHABLE
    return BackendServerError("scripted", ran=ran, reason=reason)


class Pause(float):
    """Seconds for which a scripted stream says nothing."""


class ScriptedAnswer(ServerResponse):
    """An answer whose events may break off.

    Args:
        status: HTTP status.
        body: Whole body.
        events: Event numbers, or an error to raise or a pause to make in their
            place.
        version: Weight version it begins under.
        not_run: Whether the server did not run the request.
        pause_s: Seconds before each event.
        signature: Signature of the answer.
        leaving: Whether the server announces its shutdown.
        filler: Text that follows the number of each event in its data.
    """

    def __init__(
        self,
        *,
        status=200,
        body=b"",
        events=(),
        version=1,
        not_run=False,
        pause_s=0.01,
        signature="sig",
        leaving=False,
        filler="",
    ):
        self.head = ResponseHead(
            status=status,
            headers=(),
            not_run=not_run,
            signature=signature,
            weight_version=version,
            leaving=leaving,
        )
        self._body = body
        self._events = events
        self._pause_s = pause_s
        self._filler = filler

    async def read(self):
        return self._body

    async def events(self):
        for event in self._events:
            await asyncio.sleep(self._pause_s)
            if isinstance(event, Exception):
                raise event
            if isinstance(event, Pause):
                await asyncio.sleep(event)
                continue
            number, version = (
                event if isinstance(event, tuple) else (event, None)
            )
            yield StreamEvent(
                event_id=number,
                data=f"t{number}{self._filler}",
                weight_version=version,
                raw=b"",
            )


class ScriptedServers(ServerApi):
    """Answers each call by a function of server and call.

    Attributes:
        sent: Server name and call of each request, in order.
        orders: Orders received.
    """

    def __init__(self, answer, *, delay_s=0.0):
        self._answer = answer
        self._delay_s = delay_s
        self.sent = []
        self.orders = []

    @contextlib.asynccontextmanager
    async def send(self, server, call, *, timeout_s):
        del timeout_s
        self.sent.append((server.name, call))
        answer = self._answer(server.name, call)
        if callable(answer):
            answer = await answer()
        elif self._delay_s:
            await asyncio.sleep(self._delay_s)
        if isinstance(answer, Exception):
            raise answer
        yield answer

    async def report(self, server, *, timeout_s):
        del timeout_s
        return ServerReport(
            orders=len(self.orders), busy=False, versions=server.versions
        )

    async def order_version(self, server, order, *, timeout_s):
        del timeout_s
        self.orders.append((server.name, order))
        return OrderResponse(accepted=True)


def node_settings(name="n1", role=NodeRole.GATEWAY, **changes):
    fields = {
        "name": name,
        "role": role,
        "data_centre": "a",
        "data_centres": ("a",),
        "host": "127.0.0.1",
        "callers": None,
        "readiness": None,
        "peer_port": 1,
        "store": Endpoint(host="127.0.0.1", port=1),
        "operations": None,
        "timing": Timing(),
        "limits": PlatformLimits(
            writes_per_s=400,
            reads_per_s=2000,
            value_bytes=1_048_576,
        ),
        "memory_mb": 128,
    }
    return NodeSettings(**(fields | changes))


def node_parts(name="n1", role=NodeRole.GATEWAY, **changes):
    return RuntimeContext(
        settings=node_settings(name, role, **changes),
        clock=LoopClock(loop=asyncio.get_running_loop()),
        ids=SeededIdSource(seed=hash(name) % 1000),
        rng=random.Random(1),
    )
