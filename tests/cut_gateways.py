"""Gateways on loopback, each with a path to the servers that may be cut.

What gateways say to each other goes over loopback connections.
"""

import asyncio
import contextlib
import dataclasses
import os

import msgspec
import multidict

from endivespindle.runtime.borrowed_path import BorrowingServerApi
from endivespindle.runtime.fleet_view import NODE_KIND
from endivespindle.runtime.lent_path import PathLender
from endivespindle.runtime.monitored_path import MonitoredServerApi
from endivespindle.runtime.path_messages import LEND_PATH
from endivespindle.runtime.path_probing import PathProber
from endivespindle.runtime.peer_server import PeerServer
from endivespindle.runtime.sessions import open_node_session
from endivespindle.schema.generated.caller import RunState
from endivespindle.serving.active_config import ActiveConfig
from endivespindle.serving.calls import ResponseHead, ServerApi, ServerCall
from endivespindle.serving.directory import ServerDirectory
from endivespindle.serving.server_paths import PathState, ServerPaths
from endivespindle.serving.tests.configs import config, server
from endivespindle.store.object_store import StoredObject
from tests.fleet_fakes import ScriptedAnswer, lost, node_parts

__all__ = [
    "FIRST_PORT",
    "SERVERS",
    "CutGateway",
    "EventAnswer",
    "GatewayWorld",
    "until",
    "with_id",
]

SERVERS = ("s0", "s1", "s2", "s3")
# Two runs of the tests at once use different ports.
FIRST_PORT = 20_000 + 10 * (os.getpid() % 1_000)
# Time within which a connection must be accepted, as of the real client.
CONNECT_TIMEOUT_S = 0.6


@dataclasses.dataclass(slots=True, kw_only=True)
class Cut:
    """How a gateway is cut off; empty if it is not.

    Attributes:
        how: Requests hang, connections time out (`drop`), are refused or reset.
    """

    how: str = ""


class CutServers(ServerApi):
    """Servers as one gateway sees them.

    Attributes:
        runs: Request id and gateway of each run, shared by all gateways.
        cancelled: Request ids whose exchange was given up.
    """

    def __init__(self, name, cut, world):
        self._name = name
        self._cut = cut
        self._world = world

    @contextlib.asynccontextmanager
    async def send(self, server, call, *, timeout_s):
        del timeout_s
        if self._cut.how == "hang":
            await asyncio.sleep(60.0)
        if self._cut.how == "drop":
            await asyncio.sleep(call.connect_timeout_s or CONNECT_TIMEOUT_S)
            raise lost(RunState.NOT_RUN)
        if self._cut.how == "refuse" or server.name in self._world.dead:
            raise lost(RunState.NOT_RUN)
        if self._cut.how == "reset":
            raise lost()
        self._world.runs.append((call.request_id, self._name))
        try:
            await asyncio.sleep(self._world.run_s)
            answer = self._world.answer(call)
            yield with_id(answer, call) if self._world.repeats_id else answer
        except (asyncio.CancelledError, GeneratorExit):
            self._world.cancelled.append(call.request_id)
            raise

    async def report(self, server, *, timeout_s):
        raise NotImplementedError

    async def order_version(self, server, order, *, timeout_s):
        raise NotImplementedError


def with_id(answer, call):
    """Repeats the id of the request, as servers do."""
    headers = (*answer.head.headers, ("X-Request-Id", call.request_id))
    answer.head = msgspec.structs.replace(answer.head, headers=headers)
    return answer


class EventAnswer(ScriptedAnswer):
    def __init__(self, **fields):
        super().__init__(**fields)
        self.head = ResponseHead(
            status=200,
            headers=(("Content-Type", "text/event-stream"),),
            not_run=False,
            signature="sig",
        )


class CutGateway:
    def __init__(self, world, number):
        self.name = f"g{number}"
        self.cut = Cut()
        port = FIRST_PORT + number
        self.parts = node_parts(self.name, peer_port=port)
        self.directory = ServerDirectory(clock=self.parts.clock)
        for name in SERVERS:
            self.directory.put(server(name))
        self.config = ActiveConfig(
            clock=self.parts.clock, max_unconfirmed_s=4.0, apply_s=2.0
        )
        self.config.apply_if_newer(config())
        self.config.confirm(asked_s=self.parts.clock.monotonic())
        self.paths = ServerPaths(
            clock=self.parts.clock,
            count_servers=lambda service: len(SERVERS),
            on_change=self._on_change,
        )
        self.session = open_node_session()
        self.direct = direct = MonitoredServerApi(
            api=CutServers(self.name, self.cut, world),
            paths=self.paths,
            clock=self.parts.clock,
        )
        self.prober = PathProber(
            paths=self.paths,
            directory=self.directory,
            data_centre="a",
            connect=self._connect,
            rng=self.parts.rng,
        )
        self.api = BorrowingServerApi(
            ctx=self.parts,
            direct=direct,
            paths=self.paths,
            prober=self.prober,
            session=self.session,
        )
        self.own = 0
        self.lender = lender = PathLender(
            ctx=self.parts,
            api=direct,
            paths=self.paths,
            directory=self.directory,
            config=self.config,
            count_own=lambda: self.own,
        )
        self.server = PeerServer(
            host="127.0.0.1", port=port, metrics=self.parts.metrics
        )
        self.server.serve_stream(LEND_PATH, lender.handle)

    def _on_change(self, service, state):
        if state is PathState.SUSPECTED:
            self.direct.end_silent_attempts(service)

    async def _connect(self, entry, timeout_s):
        del entry, timeout_s
        return not self.cut.how

    async def send(
        self,
        name,
        request_id,
        *,
        account="",
        wait_s=5.0,
        is_item=False,
        may_repeat=True,
    ):
        call = ServerCall(
            request_id=request_id,
            method="POST",
            target="/orders/1",
            host="app.example",
            headers=[(multidict.istr("X-Own"), "1")],
            body=b"",
            client_account=account,
            deadline_s=wait_s,
            may_repeat=may_repeat,
        )
        entry = self.directory.get(name).entry
        async with (
            asyncio.timeout(wait_s),
            self.api.send(
                entry, call, timeout_s=None if is_item else wait_s
            ) as response,
        ):
            if any(n == "Content-Type" for n, _ in response.head.headers):
                return [e.data async for e in response.events()]
            return await response.read()

    async def become_cut(self, how):
        """Fails at enough servers to suspect a cut."""
        self.cut.how = how
        await asyncio.gather(
            *(
                self.send(name, f"first-{name}", wait_s=1.1)
                for name in SERVERS[:3]
            ),
            return_exceptions=True,
        )


class GatewayWorld:
    def __init__(self, *, gateways):
        self.runs = []
        self.dead = set()
        self.cancelled = []
        self.run_s = 0.0
        self.repeats_id = True
        self.answer = lambda call: ScriptedAnswer(body=b"ok")
        self.gateways = [CutGateway(self, number) for number in range(gateways)]

    async def __aenter__(self):
        for gateway in self.gateways:
            await gateway.server.start(metrics_port=0)
            for other in self.gateways:
                record = other.parts.fleet.local_node
                gateway.parts.fleet.apply(
                    StoredObject(
                        kind=NODE_KIND,
                        name=other.name,
                        value=msgspec.json.encode(record),
                        version=1,
                    )
                )
        return self

    async def __aexit__(self, *exc):
        for gateway in self.gateways:
            await gateway.api.close()
            await gateway.session.close()
            await gateway.server.stop()

    def runs_of(self, request_id):
        return [gateway for run, gateway in self.runs if run == request_id]


async def until(condition):
    async with asyncio.timeout(10.0):
        while not condition():
            await asyncio.sleep(0.02)
