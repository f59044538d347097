"""Gateways that lose the path to all backend servers, over real sockets."""

import asyncio
import contextlib
from unittest import mock

import aiohttp
import pytest
from aiohttp import test_utils, web

from endivespindle.core.decoding import decode_msgpack
from endivespindle.core.reasons import Reason
from endivespindle.exceptions import BackendServerError
from endivespindle.runtime.attempts import open_attempt
from endivespindle.runtime.path_messages import (
    LEND_PATH,
    EventFrame,
    HeadFrame,
    LendRequest,
    encode_frame,
    encode_request,
)
from endivespindle.schema.generated.caller import RunState
from endivespindle.serving.calls import ServerCall, StreamEvent
from tests.cut_gateways import (
    FIRST_PORT,
    SERVERS,
    EventAnswer,
    GatewayWorld,
    until,
    with_id,
)
from tests.fleet_fakes import Pause, lost


def _play(story, *, gateways=3):
    async def run():
        async with GatewayWorld(gateways=gateways) as world:
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
        await until(lambda: not cut.paths.should_borrow("plain"))
        assert await cut.send("s0", "after") == b"ok"
        assert world.runs_of("after") == [cut.name]

    _play(story)


def test_a_stream_passes_through_event_by_event():
    async def story(world, cut, *others):
        world.answer = lambda call: EventAnswer(events=(1, 2, 3))
        await cut.become_cut("refuse")
        assert await cut.send("s0", "r") == ["t1", "t2", "t3"]

    _play(story)


def test_a_borrowed_response_that_is_no_stream_has_no_events():
    """Its end must not be taken for that of a stream."""

    async def story(world, cut, *others):
        await cut.become_cut("refuse")
        call = ServerCall(
            request_id="r",
            method="GET",
            target="/",
            host="h",
            headers=[],
            body=b"",
        )
        entry = cut.directory.get("s0").entry
        async with cut.api.send(entry, call, timeout_s=2.0) as response:
            with pytest.raises(BackendServerError):
                [event async for event in response.events()]

    _play(story)


def test_a_stream_that_breaks_off_at_the_server_is_not_complete():
    async def story(world, cut, *others):
        world.answer = lambda call: EventAnswer(events=(1, lost()))
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
            req = decode_msgpack(body, type=LendRequest)
            resp = web.StreamResponse()
            await resp.prepare(request)
            head = with_id(EventAnswer(), req.call).head
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


def test_the_search_goes_on_past_gateways_that_do_not_know_of_their_cut():
    """Pattern: most gateways are cut, and most of these had no request."""

    async def story(world, cut, *others):
        for other in others[:-1]:
            other.cut.how = "drop"
        await cut.become_cut("refuse")
        answers = await asyncio.gather(
            *(cut.send("s0", f"r{number}") for number in range(5)),
            return_exceptions=True,
        )
        assert answers == [b"ok"] * 5
        assert await cut.send("s0", "next") == b"ok"

    _play(story, gateways=4)


def test_attempts_in_progress_end_when_their_path_is_lost():
    """Pattern: streams of a step hang on connections that drop packets."""

    async def story(world, cut, *others):
        events = (1, Pause(60.0), 2)
        world.answer = lambda call: EventAnswer(events=events)
        running = [
            asyncio.create_task(cut.send(name, f"r-{name}", wait_s=8.0))
            for name in SERVERS
        ]
        await asyncio.sleep(0.3)
        await cut.become_cut("refuse")
        outcomes = await asyncio.gather(*running, return_exceptions=True)
        assert all(isinstance(exc, BackendServerError) for exc in outcomes)
        assert {exc.ran for exc in outcomes} == {RunState.UNKNOWN}

    _play(story)


def test_an_attempt_that_must_not_repeat_keeps_waiting():
    async def story(world, cut, *others):
        world.run_s = 1.0
        running = asyncio.create_task(cut.send("s0", "once", may_repeat=False))
        await asyncio.sleep(0.3)
        world.run_s = 0.0
        await cut.become_cut("refuse")
        assert await running == b"ok"

    _play(story)


def test_a_service_without_servers_is_not_taken_for_cut_off():
    """Pattern: all servers of a service leave, and new ones join later."""

    async def story(world, gateway):
        gateway.cut.how = "refuse"
        for name in SERVERS:
            gateway.directory.get(name).announce_leaving()
        gateway.prober.probe_all()
        await asyncio.sleep(0.5)
        assert not gateway.paths.should_borrow("plain")

    _play(story, gateways=1)


def test_a_sender_that_has_gone_is_no_error():
    async def story(world, lender):
        writer = mock.Mock()
        writer.write_headers = mock.AsyncMock(side_effect=ConnectionResetError)
        request = test_utils.make_mocked_request(
            "POST", LEND_PATH, writer=writer
        )
        call = ServerCall(
            request_id="r",
            method="GET",
            target="/",
            host="h",
            headers=[],
            body=b"",
        )
        req = LendRequest(
            sender="g9", server="s0", started_ms=1, call=call, timeout_s=1.0
        )
        await lender.lender.handle(request, encode_request(req))
        assert not world.runs

    _play(story, gateways=1)


def test_a_search_does_not_wait_for_all_silent_gateways():
    """Pattern: a data centre is cut off, and holds no server of a service."""

    async def story(world, cut, *others):
        await cut.become_cut("refuse")
        for other in others:
            await other.server.stop()
        with pytest.raises(BackendServerError) as caught:
            await cut.send("s0", "r")
        assert caught.value.ran is RunState.NOT_RUN
        metrics = cut.parts.metrics.render().decode()
        (line,) = [x for x in metrics.splitlines() if 'outcome="no_reply"' in x]
        assert float(line.split()[-1]) == 2

    _play(story, gateways=9)


def test_an_attempt_that_is_given_up_ends_at_the_server_too():
    async def story(world, cut, *others):
        await cut.become_cut("refuse")
        world.run_s = 3.0
        with pytest.raises(TimeoutError):
            await cut.send("s0", "r", wait_s=0.3)
        await until(lambda: world.cancelled)
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
            while other.lender._room.try_take(is_item=False):
                pass
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


def test_a_refusal_to_lend_is_no_failure_of_the_server():
    async def story(world, cut, other):
        await cut.become_cut("refuse")
        other.lender.is_draining = True
        view = cut.directory.get("s3")
        call = ServerCall(
            request_id="r",
            method="GET",
            target="/",
            host="h",
            headers=[],
            body=b"",
        )
        for _ in range(5):
            with pytest.raises(BackendServerError):
                async with open_attempt(
                    cut.api, view, call, clock=cut.parts.clock, timeout_s=1.0
                ):
                    pass
        assert not view.is_paused()

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
