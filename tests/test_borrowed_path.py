"""Gateways that lose the path to all backend servers, over real sockets.

Each gateway has its own view of the servers: a fake that may cut it off. What
gateways say to each other goes over loopback connections.
"""

import asyncio
import contextlib
import dataclasses

import aiohttp
import msgspec
import multidict
import pytest
from aiohttp import web

from endivespindle.core.reasons import Reason
from endivespindle.exceptions import BackendServerError
from endivespindle.runtime.borrowed_path import BorrowingServerApi
from endivespindle.runtime.fleet_view import NODE_KIND
from endivespindle.runtime.lent_path import PathLender
from endivespindle.runtime.monitored_path import MonitoredServerApi
from endivespindle.runtime.path_messages import (
    LEND_PATH,
    EventFrame,
    HeadFrame,
    encode_frame,
)
from endivespindle.runtime.peer_server import PeerServer
from endivespindle.runtime.sessions import open_node_session
from endivespindle.schema.generated.caller import RunState
from endivespindle.serving.active_config import ActiveConfig
from endivespindle.serving.calls import (
    ResponseHead,
    ServerApi,
    ServerCall,
    StreamEvent,
)
from endivespindle.serving.directory import ServerDirectory
from endivespindle.serving.server_paths import ServerPaths
from endivespindle.serving.tests.configs import config, server
from endivespindle.store.object_store import StoredObject
from tests.fleet_fakes import ScriptedAnswer, lost, node_parts

SERVERS = ("s0", "s1", "s2", "s3")
FIRST_PORT = 23_410


@dataclasses.dataclass(slots=True, kw_only=True)
class _Cut:
    """How a gateway is cut off: hang, refuse or reset; empty if it is not."""

    how: str = ""


class _Servers(ServerApi):
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
        if self._cut.how == "refuse" or server.name in self._world.dead:
            raise lost(RunState.NOT_RUN)
        if self._cut.how == "reset":
            raise lost()
        self._world.runs.append((call.request_id, self._name))
        try:
            await asyncio.sleep(self._world.run_s)
            yield self._world.answer(call)
        except (asyncio.CancelledError, GeneratorExit):
            self._world.cancelled.append(call.request_id)
            raise

    async def report(self, server, *, timeout_s):
        raise NotImplementedError

    async def order_version(self, server, order, *, timeout_s):
        raise NotImplementedError


class _Stream(ScriptedAnswer):
    def __init__(self, **fields):
        super().__init__(**fields)
        self.head = ResponseHead(
            status=200,
            headers=(("Content-Type", "text/event-stream"),),
            not_run=False,
            signature="sig",
        )


class _Gateway:
    def __init__(self, world, number):
        self.name = f"g{number}"
        self.cut = _Cut()
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
            on_change=lambda service, state: None,
        )
        self.session = open_node_session()
        direct = MonitoredServerApi(
            api=_Servers(self.name, self.cut, world), paths=self.paths
        )
        self.api = BorrowingServerApi(
            ctx=self.parts,
            direct=direct,
            paths=self.paths,
            directory=self.directory,
            session=self.session,
            connect=self._connect,
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

    async def _connect(self, entry, timeout_s):
        del entry, timeout_s
        return not self.cut.how

    async def send(self, name, request_id, *, account="", wait_s=5.0):
        call = ServerCall(
            request_id=request_id,
            method="POST",
            target="/orders/1",
            host="app.example",
            headers=[(multidict.istr("X-Own"), "1")],
            body=b"",
            client_account=account,
            deadline_s=wait_s,
        )
        entry = self.directory.get(name).entry
        async with (
            asyncio.timeout(wait_s),
            self.api.send(entry, call, timeout_s=wait_s) as response,
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


class _World:
    def __init__(self, *, gateways):
        self.runs = []
        self.dead = set()
        self.cancelled = []
        self.run_s = 0.0
        self.answer = lambda call: ScriptedAnswer(body=b"ok")
        self.gateways = [_Gateway(self, number) for number in range(gateways)]

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


async def _until(condition):
    async with asyncio.timeout(10.0):
        while not condition():
            await asyncio.sleep(0.02)


def _play(story, *, gateways=3):
    async def run():
        async with _World(gateways=gateways) as world:
            await story(world, *world.gateways)

    asyncio.run(run())


@pytest.mark.parametrize("how", ["hang", "refuse", "reset"])
def test_a_cut_off_gateway_serves_its_callers_through_another(how):
    async def story(world, cut, *others):
        await cut.become_cut(how)
        for number in range(20):
            assert await cut.send("s0", f"r{number}") == b"ok"
            (gateway,) = world.runs_of(f"r{number}")
            assert gateway != cut.name
        cut.cut.how = ""
        await _until(lambda: not cut.paths.should_borrow("plain"))
        assert await cut.send("s0", "after") == b"ok"
        assert world.runs_of("after") == [cut.name]

    _play(story)


def test_a_stream_passes_through_event_by_event():
    async def story(world, cut, *others):
        world.answer = lambda call: _Stream(events=(1, 2, 3))
        await cut.become_cut("refuse")
        assert await cut.send("s0", "r") == ["t1", "t2", "t3"]

    _play(story)


def test_a_stream_that_breaks_off_at_the_server_is_not_complete():
    async def story(world, cut, *others):
        world.answer = lambda call: _Stream(events=(1, lost()))
        await cut.become_cut("refuse")
        with pytest.raises(BackendServerError) as caught:
            await cut.send("s0", "r")
        assert caught.value.ran is RunState.UNKNOWN

    _play(story)


def test_a_reply_that_ends_early_is_not_complete():
    """The other gateway is killed while the server runs the request."""

    async def story(world, cut, other):
        world.run_s = 0.5
        await cut.become_cut("refuse")
        task = asyncio.create_task(cut.send("s0", "r"))
        await asyncio.sleep(0.2)
        for conn in other.server._runner.server.connections:
            conn.transport.abort()
        with pytest.raises(BackendServerError) as caught:
            await task
        # It may have run: nobody may say that it did not.
        assert caught.value.ran is RunState.UNKNOWN

    _play(story, gateways=2)


def test_a_reply_without_its_end_mark_is_not_complete():
    """The connection ends in order, as when the other gateway shuts down."""

    async def story(world, cut, other):
        async def reply(request, body):
            del body
            resp = web.StreamResponse()
            await resp.prepare(request)
            head = _Stream().head
            event = StreamEvent(
                event_id=1, data="t1", weight_version=None, raw=b""
            )
            for frame in (HeadFrame(head=head), EventFrame(event=event)):
                await resp.write(encode_frame(frame))
            await resp.write_eof()
            return resp

        other.server.serve_stream(LEND_PATH, reply)
        await cut.become_cut("refuse")
        with pytest.raises(BackendServerError) as caught:
            await cut.send("s0", "r")
        assert caught.value.ran is RunState.UNKNOWN

    _play(story, gateways=2)


def test_gateways_that_are_all_cut_off_do_not_pass_requests_around():
    async def story(world, *gateways):
        for gateway in gateways:
            gateway.cut.how = "refuse"
        for gateway in gateways:
            await gateway.become_cut("refuse")
        for gateway in gateways:
            with pytest.raises(BackendServerError) as caught:
                await gateway.send("s0", f"r-{gateway.name}")
            assert caught.value.ran is RunState.NOT_RUN
        assert not world.runs

    _play(story)


def test_a_dead_server_is_told_from_the_cut():
    async def story(world, cut, *others):
        world.dead.add("s0")
        await cut.become_cut("refuse")
        for number in range(5):
            with pytest.raises(BackendServerError) as caught:
                await cut.send("s0", f"dead-{number}")
            assert caught.value.ran is RunState.NOT_RUN
            assert await cut.send("s1", f"r{number}") == b"ok"

    _play(story)


def test_an_attempt_that_is_given_up_ends_at_the_server_too():
    async def story(world, cut, *others):
        await cut.become_cut("refuse")
        world.run_s = 3.0
        with pytest.raises(TimeoutError):
            await cut.send("s0", "r", wait_s=0.3)
        await _until(lambda: world.cancelled)
        assert world.cancelled == ["r"]

    _play(story)


def test_another_gateway_checks_what_it_alone_knows():
    """It does not send to a leaving server, nor with keys it cannot confirm."""

    async def story(world, cut, other):
        await cut.become_cut("refuse")
        other.directory.get("s0").announce_leaving()
        with pytest.raises(BackendServerError) as caught:
            await cut.send("s0", "leaving")
        assert caught.value.ran is RunState.NOT_RUN
        assert caught.value.reason is Reason.BACKEND_LEAVING
        other.config._confirmed_s -= 100.0
        with pytest.raises(BackendServerError) as caught:
            await cut.send("s1", "keyed", account="acme")
        assert caught.value.ran is RunState.NOT_RUN
        assert not world.runs_of("leaving")
        assert not world.runs_of("keyed")

    _play(story, gateways=2)


@pytest.mark.parametrize(
    "cause", ["cut", "no_room", "keys_unconfirmed", "draining"]
)
def test_a_refusal_to_lend_names_its_cause(cause):
    async def story(world, cut, other):
        await cut.become_cut("refuse")
        if cause == "cut":
            await other.become_cut("refuse")
        elif cause == "no_room":
            other.lender._lent = 1000
        elif cause == "keys_unconfirmed":
            other.config._confirmed_s -= 100.0
        else:
            other.lender.is_draining = True
        with pytest.raises(BackendServerError):
            await cut.send("s0", "r", account="acme")
        label = f'outcome="{cause}"'.encode()
        assert label in other.parts.metrics.render()
        assert label in cut.parts.metrics.render()

    _play(story, gateways=2)


def test_a_gateway_that_shuts_down_takes_no_more_requests_in():
    async def story(world, cut, leaving, other):
        await cut.become_cut("refuse")
        leaving.lender.is_draining = True
        for number in range(10):
            assert await cut.send("s0", f"r{number}") == b"ok"
            assert world.runs_of(f"r{number}") == [other.name]

    _play(story)


def test_a_gateway_that_is_not_cut_off_sends_directly():
    async def story(world, gateway, *others):
        world.dead.update(("s0", "s1"))
        for number in range(10):
            for name in ("s0", "s1"):
                with contextlib.suppress(BackendServerError):
                    await gateway.send(name, f"{name}-{number}")
            assert await gateway.send("s2", f"r{number}") == b"ok"
            assert world.runs_of(f"r{number}") == [gateway.name]

    _play(story)


def test_an_unknown_peer_message_is_refused_as_malformed():
    async def story(world, gateway):
        url = f"http://127.0.0.1:{FIRST_PORT}{LEND_PATH}"
        async with (
            aiohttp.ClientSession() as session,
            session.post(url, data=b"\xc1") as resp,
        ):
            assert resp.status == 400

    _play(story, gateways=1)
