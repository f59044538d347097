"""A stream that broke off ends as broken, whatever the next server says."""

import asyncio

import pytest
from aiohttp import web

from endivespindle.core.reasons import Reason
from endivespindle.exceptions import RefusedError
from endivespindle.runtime.forward_plan import ForwardPlan
from endivespindle.runtime.forwarding import Forwarder
from endivespindle.runtime.origin_exchange import OriginDirectory
from endivespindle.runtime.software_store import SoftwareProof
from endivespindle.runtime.streaming import StreamRelay
from endivespindle.schema.generated.caller import RunState
from endivespindle.serving.calls import ResponseHead, ServerCall
from endivespindle.serving.directory import ServerDirectory
from endivespindle.serving.tests.configs import server
from tests.cut_gateways import EventAnswer
from tests.fleet_fakes import (
    ScriptedAnswer,
    ScriptedServers,
    lost,
    node_parts,
)

ERROR_TEXT = b"the error of a server"
LAST_CHUNK = b"0\r\n\r\n"


class _Origins(OriginDirectory):
    async def record(self, request_id, software, *, wait):
        pass

    async def find(self, request_id):
        return None


class _Proof(SoftwareProof):
    async def sole_software(self, service):
        return None

    async def ensure_recorded(self, service, software):
        return True


class _Page(ScriptedAnswer):
    """A body that is no stream, with status 200."""

    def __init__(self):
        super().__init__(body=ERROR_TEXT)
        self.head = ResponseHead(
            status=200,
            headers=(("Content-Type", "text/plain"),),
            not_run=False,
            signature="sig",
        )


class _Events(EventAnswer):
    """A stream whose events are in the bytes that callers get."""

    async def events(self):
        async for event in super().events():
            yield type(event)(
                event_id=event.event_id,
                data=event.data,
                weight_version=None,
                raw=b"id: %d\ndata: x\n\n" % event.event_id,
            )


def _relay(answers):
    """Returns a handler that relays one stream from scripted servers."""
    parts = node_parts()
    directory = ServerDirectory(clock=parts.clock)
    for name in ("s1", "s2", "s3", "s4"):
        directory.put(server(name))
    left = list(answers)
    api = ScriptedServers(lambda name, call: left.pop(0))
    forwarder = Forwarder(
        api=api,
        directory=directory,
        clock=parts.clock,
        rng=parts.rng,
        data_centre="a",
        log=parts.log,
        metrics=parts.metrics,
    )
    streams = StreamRelay(
        api=api,
        forwarder=forwarder,
        clock=parts.clock,
        log=parts.log,
        metrics=parts.metrics,
        origins=_Origins(),
        proof=_Proof(),
    )

    async def handle(request):
        call = ServerCall(
            request_id="r",
            method="POST",
            target="/chat/1",
            host="h",
            headers=[],
            body=b"",
            may_repeat=False,
        )
        plan = ForwardPlan(
            route="chat",
            service="plain",
            may_repeat=False,
            max_attempts=2,
            target_latency_s=0.5,
            deadline_s=parts.clock.monotonic() + 5.0,
        )
        try:
            return await streams.relay(
                request, call, plan, resumable=True, on_start=lambda: None
            )
        except RefusedError as exc:
            return web.Response(status=503, text=str(exc))

    return handle


def _received(answers):
    """Returns the bytes that a caller receives, and whether they look whole."""

    async def run():
        runner = web.ServerRunner(web.Server(_relay(answers)))
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        host, port = runner.addresses[0][:2]
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(
            b"POST /chat/1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
        )
        data = b""
        try:
            async with asyncio.timeout(8.0):
                while part := await reader.read(65_536):
                    data += part
                    if data.endswith(LAST_CHUNK):
                        break
        except ConnectionError:
            # The end of a stream that is not whole.
            pass
        writer.close()
        await runner.cleanup()
        return data

    return asyncio.run(run())


def _broken():
    return _Events(events=(1, 2, lost()))


@pytest.mark.parametrize(
    "following",
    [
        [ScriptedAnswer(status=500, body=ERROR_TEXT)],
        [ScriptedAnswer(status=422, body=ERROR_TEXT)],
        [ScriptedAnswer(status=503, body=ERROR_TEXT, not_run=True)] * 4,
        [_Page()],
        [lost()],
        [lost(RunState.NOT_RUN)] * 4,
        [RefusedError(Reason.NO_BACKEND_SERVER)],
        [RuntimeError("of a kind that nobody expects")],
    ],
    ids=[
        "failed",
        "rejected",
        "not_run",
        "page",
        "lost",
        "unreachable",
        "refused",
        "unexpected",
    ],
)
def test_an_error_does_not_follow_the_events_of_a_stream(following):
    data = _received([_broken(), *following])
    assert data.count(b"HTTP/1.1") == 1
    assert data.count(b"id: ") == 2
    assert ERROR_TEXT not in data
    assert LAST_CHUNK not in data


def test_a_stream_goes_on_after_its_last_event():
    data = _received([_broken(), _Events(events=(3, 4))])
    assert data.count(b"id: ") == 4
    assert data.endswith(LAST_CHUNK)


def test_an_error_before_the_first_event_reaches_the_caller():
    data = _received([ScriptedAnswer(status=500, body=ERROR_TEXT)])
    assert data.startswith(b"HTTP/1.1 500")
    assert ERROR_TEXT in data
