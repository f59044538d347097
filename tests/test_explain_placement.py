"""Where a request would go now, told without sending it."""

import asyncio
import contextlib
import io

import msgspec
import pytest

from endivespindle.cli.main import run
from endivespindle.cli.output import ExitCode
from endivespindle.core.clock import ManualClock
from endivespindle.serving.directory import ServerDirectory
from endivespindle.serving.placement_report import report_candidates
from endivespindle.serving.tests.configs import server
from tests.node_fleet import HOST, NodeFleet


def _report(directory, **fields):
    return report_candidates(
        directory.servers("plain"),
        data_centre="a",
        max_start_delay_s=0.1,
        **fields,
    )


def test_each_server_that_gets_nothing_is_told_with_the_reason():
    clock = ManualClock()
    directory = ServerDirectory(clock=clock)
    for name in ("free", "paused", "leaving", "limited"):
        directory.put(server(name))
    directory.put(server("evacuated", data_centre="b"))
    directory.get("paused").pause(5.0)
    directory.get("leaving").announce_leaving()
    directory.get("limited").record_limit(1.0)
    directory.set_evacuated(["b"])
    reasons = {c.server: c.excluded for c in _report(directory)}
    assert reasons == {
        "free": None,
        "paused": "paused after failures",
        "leaving": "not accepting requests",
        "limited": "rate limit",
        "evacuated": "data centre evacuated",
    }
    assert _report(directory)[0].server == "free"


def test_the_report_reserves_nothing():
    directory = ServerDirectory(clock=ManualClock())
    view = directory.put(server("s1"))
    view.record_limit(1.0)
    before = view.rate_limit.start_delay_s()
    for _ in range(10):
        _report(directory)
    assert view.rate_limit.start_delay_s() == before
    assert view.in_flight == 0


async def _explain(*args):
    out = io.StringIO()
    with contextlib.redirect_stdout(out):
        code = await asyncio.to_thread(run, ["explain-placement", *args])
    return code, out.getvalue()


def test_a_running_gateway_tells_where_a_request_would_go(tmp_path):
    async def play():
        async with NodeFleet(tmp_path) as fleet:
            node = fleet.nodes["g1"]
            address = f"{node.ip}:{node.port + 2}"
            code, text = await _explain(
                HOST, "/orders/7", "--node", address, "--json"
            )
            assert code == ExitCode.OK
            report = msgspec.json.decode(text)
            assert report["route"] == "orders"
            servers = {c["server"] for c in report["candidates"]["plain"]}
            assert servers == {"p0", "p1"}
            code, text = await _explain(HOST, "/orders/7", "--node", address)
            assert code == ExitCode.OK
            assert "p0" in text
            code, text = await _explain(HOST, "/no/", "--node", address)
            assert code == ExitCode.FOUND
            assert "no route" in text
            code, text = await _explain(HOST, "/lots/j1", "--node", address)
            assert code == ExitCode.OK
            assert "with GET or DELETE, a call of a batch job" in text
            assert not any(engine.runs for engine in fleet.plain)

    asyncio.run(play())


@pytest.mark.parametrize(
    ("args", "code"),
    [
        ((HOST, "orders", "--node", "127.0.0.1:1"), ExitCode.USAGE),
        ((HOST, "/orders/", "--node", "127.0.0.1:1"), ExitCode.UNREACHABLE),
    ],
)
def test_bad_input_and_a_silent_node_have_exit_codes(args, code):
    assert asyncio.run(_explain(*args))[0] == code
