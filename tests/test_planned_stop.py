"""A planned stop of one gateway, with callers that stay until it is gone.

Reported by operators of similar systems: requests that came late in the grace
period were passed on, and were cut without an answer at its end.
"""

import asyncio
import collections
import signal

import aiohttp
import pytest

from tests.node_fleet import HOST, KEY, NodeFleet, config

GRACE_S = 8.0
CALLERS = 8
# Long enough that requests which are taken in the last seconds do not end.
WORK_S = 2.5
NOT_RUN = 503


class _Caller:
    """Sends one request after the other, on a kept connection or new ones.

    Attributes:
        outcomes: Number of answers by status.
        cut: Ids of the requests whose connection ended without an answer.
    """

    def __init__(self, url, path, *, number, keeps):
        self._url = url
        self._path = path
        self._number = number
        self._keeps = keeps
        self.outcomes = collections.Counter()
        self.cut = []

    async def run(self, proc):
        connector = aiohttp.TCPConnector(force_close=not self._keeps)
        async with aiohttp.ClientSession(connector=connector) as session:
            session._retry_connection = False
            sent = 0
            while proc.returncode is None:
                sent += 1
                request_id = f"r{self._number}-{sent}"
                await self._send(session, request_id)
                await asyncio.sleep(0.02)

    async def _send(self, session, request_id):
        headers = {
            "Host": HOST,
            "Authorization": f"Bearer {KEY}",
            "X-Request-Id": request_id,
        }
        try:
            async with session.post(
                self._url + self._path, data=b"x", headers=headers
            ) as resp:
                await resp.read()
                self.outcomes[resp.status] += 1
                if resp.status == NOT_RUN:
                    assert float(resp.headers["Retry-After"]) <= 1.0
        except aiohttp.ClientConnectorError:
            return
        except aiohttp.ClientError:
            self.cut.append(request_id)


async def _stop(fleet, name):
    """Stops a node as the platform does; returns its exit status."""
    proc = fleet.nodes[name].proc
    fleet.kill(name, signal.SIGTERM)
    try:
        async with asyncio.timeout(GRACE_S):
            return await proc.wait()
    except TimeoutError:
        proc.kill()
        return await proc.wait()


async def _allow_long_requests(fleet):
    """Brings a configuration with long time limits into force."""
    slower = config(version=2, prefix="/slow/")
    for route in slower["routes"]:
        route["timeoutMs"] = 30_000
    fleet.platform.write("config", "main", slower)

    async def is_applied():
        status, _, _ = await fleet.call(
            "g1", "POST", "/slow/1", **{"X-Request-Id": "first"}
        )
        return status == 200

    await fleet.until(is_applied)


@pytest.mark.parametrize("path", ["/orders/7", "/once/7"])
def test_a_planned_stop_cuts_no_request_that_it_passed_on(tmp_path, path):
    """Requests were passed on that the process did not outlive."""

    async def run():
        async with NodeFleet(tmp_path) as fleet:
            for server in fleet.plain:
                server.faults.work_s = WORK_S
            node = fleet.nodes["g1"]
            callers = [
                _Caller(
                    f"http://{node.ip}:{node.port}",
                    path,
                    number=number,
                    keeps=number % 2 == 0,
                )
                for number in range(CALLERS)
            ]
            tasks = [asyncio.create_task(c.run(node.proc)) for c in callers]
            await asyncio.sleep(1.0)
            status = await _stop(fleet, "g1")
            await asyncio.gather(*tasks)
            passed_on = {
                run[0] for server in fleet.plain for run in server.runs
            }
            cut = {name for caller in callers for name in caller.cut}
            assert not cut & passed_on
            outcomes = sum(
                (caller.outcomes for caller in callers), collections.Counter()
            )
            assert outcomes[200]
            assert set(outcomes) <= {200, NOT_RUN}
            assert status == 0

    asyncio.run(run())


def test_a_stream_longer_than_the_grace_period_ends_as_broken(tmp_path):
    """The process did not end by itself, and was killed at its last moment."""

    async def run():
        async with NodeFleet(tmp_path) as fleet:
            await _allow_long_requests(fleet)
            for engine in fleet.engines:
                engine.events = 200
                engine.faults.event_s = 0.1
            call = asyncio.create_task(
                fleet.call(
                    "g1",
                    "POST",
                    "/chat/1",
                    **{"X-Request-Id": "s", "X-Model": "m"},
                )
            )
            await fleet.until(lambda: any(e.runs for e in fleet.engines))
            assert await _stop(fleet, "g1") == 0
            with pytest.raises(aiohttp.ClientPayloadError):
                await call

    asyncio.run(run())


def test_a_request_that_cannot_end_before_the_vm_is_refused_at_once(tmp_path):
    """Its caller waited for an answer that another VM could have given."""

    async def run():
        async with NodeFleet(tmp_path) as fleet:
            node = fleet.nodes["g1"]
            for server in fleet.plain:
                server.faults.work_s = 3.5
            held = asyncio.create_task(
                fleet.call("g1", "POST", "/open/1", **{"X-Request-Id": "held"})
            )
            await fleet.until(lambda: any(s.runs for s in fleet.plain))
            fleet.kill("g1", signal.SIGTERM)
            await asyncio.sleep(2.8)
            status, headers, _ = await fleet.call(
                "g1", "POST", "/once/1", **{"X-Request-Id": "late"}
            )
            assert status == NOT_RUN
            assert float(headers["Retry-After"]) <= 1.0
            assert headers["Connection"] == "close"
            assert (await held)[0] == 200
            async with asyncio.timeout(GRACE_S):
                assert await node.proc.wait() == 0
            assert not any(
                run[0] == "late" for s in fleet.plain for run in s.runs
            )

    asyncio.run(run())
