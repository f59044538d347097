"""Nodes as processes on the users' platform, over real sockets."""

import asyncio
import base64
import json
import signal
import sys

import pytest

from tests.node_fleet import NodeFleet, config


def _play(tmp_path, story):
    async def run():
        async with NodeFleet(tmp_path) as fleet:
            await story(fleet)

    asyncio.run(run())


def _step(job_id, items=4, scorer=False):
    def item(number):
        doc = {
            "id": f"{job_id}-{number}",
            "path": "/steps/x",
            "headers": {"X-Model": "m"},
            "body": base64.b64encode(b"prompt").decode(),
            "tokens": 10,
            "group": f"g{number // 2}",
        }
        if scorer:
            doc["scorer"] = {
                "id": f"score-{job_id}-{number}",
                "host": "app.example",
                "path": "/open/score",
                "body": base64.b64encode(b"{}").decode(),
            }
        return doc

    return json.dumps(
        {
            "step": 0,
            "model": "m",
            "minVersion": 1,
            "groupCount": 2,
            "items": [item(n) for n in range(items)],
        }
    ).encode()


async def _submit(fleet, node, job_id, **kwargs):
    status, _, _ = await fleet.call(
        node,
        "POST",
        "/steps/1",
        body=_step(job_id, **kwargs),
        **{"X-Request-Id": job_id},
    )
    return status


async def _results(fleet, node, job_id):
    status, _, body = await fleet.call(node, "GET", f"/lots/{job_id}?after=0")
    return json.loads(body)["results"] if status == 200 else []


def test_requests_keys_and_refusals(tmp_path):
    async def story(fleet):
        status, headers, body = await fleet.call(
            "g1", "POST", "/orders/7?x=%2F", body=b"hi", **{"X-Request-Id": "a"}
        )
        assert (status, body) == (200, b"echo:hi")
        assert headers["X-Server-Stamp"].endswith(".a")
        ran = [run for s in fleet.plain for run in s.runs if run[0] == "a"]
        assert ran == [("a", "acme", 0)]
        for path, key, expected in (
            ("/orders/7", "k9", 401),
            ("/orders/7", "", 401),
            ("/nowhere/7", "k1", 404),
            ("/open/7", "", 200),
        ):
            status, _, _ = await fleet.call(
                "g2", "POST", path, key=key, **{"X-Request-Id": "b"}
            )
            assert status == expected
        for server in fleet.plain:
            server.faults.full = True
        status, headers, _ = await fleet.call(
            "g1", "POST", "/once/7", **{"X-Request-Id": "c"}
        )
        assert status == 503
        assert float(headers["Retry-After"]) > 0

    _play(tmp_path, story)


def test_unsound_answers_are_never_passed_on(tmp_path):
    async def story(fleet):
        for server in fleet.plain:
            server.faults.other_id = 1
        status, headers, _ = await fleet.call(
            "g1", "POST", "/orders/7", **{"X-Request-Id": "a"}
        )
        assert status in (502, 504)
        assert "X-Server-Stamp" not in headers
        for server in fleet.plain:
            server.faults.lose_answers = 1
        status, _, _ = await fleet.call(
            "g1", "POST", "/once/7", **{"X-Request-Id": "b"}
        )
        assert status == 504
        ran = [run for s in fleet.plain for run in s.runs if run[0] == "b"]
        assert len(ran) == 1

    _play(tmp_path, story)


def test_a_stream_goes_on_at_another_server(tmp_path):
    async def story(fleet):
        for engine in fleet.engines:
            engine.faults.break_after = 3
        status, headers, body = await fleet.call(
            "g1", "POST", "/chat/1", **{"X-Request-Id": "s", "X-Model": "m"}
        )
        assert status == 200
        assert body.count(b"id: ") == 5
        assert headers["X-Server-Stamp"]
        lasts = sorted(run[2] for e in fleet.engines for run in e.runs)
        assert lasts == [0, 3]

    _play(tmp_path, story)


def test_a_batch_job_survives_its_owner(tmp_path):
    async def story(fleet):
        for engine in fleet.engines:
            engine.faults.event_s = 0.15
        assert await _submit(fleet, "g1", "j1", scorer=True) == 202
        assert await _submit(fleet, "g2", "j1", scorer=True) == 202
        await fleet.until(lambda: any(e.runs for e in fleet.engines))
        fleet.kill("g1")
        await fleet.nodes["g1"].proc.wait()

        async def whole():
            return len(await _results(fleet, "g2", "j1")) == 4

        await fleet.until(whole)
        results = await _results(fleet, "g2", "j1")
        assert {r["state"] for r in results} == {"complete"}
        assert all(r["output"] == "t1\nt2\nt3\nt4\nt5" for r in results)
        assert all(r["score"] and r["versions"] == [1] for r in results)
        status, _, _ = await fleet.call("g2", "DELETE", "/lots/j1")
        assert status == 200
        status, _, _ = await fleet.call("g2", "GET", "/lots/none")
        assert status == 404

    _play(tmp_path, story)


def test_duties_weights_and_retirements(tmp_path):
    async def story(fleet):
        await fleet.call("g1", "POST", "/orders/7", **{"X-Request-Id": "a"})
        fleet.platform.write("versions", "m", {"model": "m", "version": 2})
        await fleet.until(lambda: any(e.orders for e in fleet.engines))
        fleet.platform.write("retirements", "c9", {"durationS": 10})

        def retired():
            return (fleet.platform.read("retirements", "c9") or {})["status"]

        await fleet.until(retired)
        assert retired() == {"state": "complete"}

        def counted():
            return [r for r in fleet.platform.reports if r[2]["counts"]]

        await fleet.until(counted)
        holder, fence, report = counted()[0]
        assert (holder, report["counts"]) == ("c1", {"acme": 1})
        # The process dies; the next one on its VM takes a higher fence.
        fleet.kill("c1")
        await fleet.nodes["c1"].proc.wait()
        await fleet.start("c1")
        before = len(fleet.platform.reports)
        await fleet.until(lambda: len(fleet.platform.reports) > before + 1)
        assert fleet.platform.reports[-1][1] > fence
        windows = {}
        for _, _, body in fleet.platform.reports:
            known = windows.setdefault(body["windowId"], body["counts"])
            assert known == body["counts"]

    _play(tmp_path, story)


def test_a_withdrawn_key_and_a_new_route_take_effect(tmp_path):
    async def story(fleet):
        new = config(version=5, keys=("k2",), prefix="/new/")
        fleet.platform.write("config", "main", new)

        async def applied():
            status, _, _ = await fleet.call(
                "g2", "POST", "/new/7", key="k2", **{"X-Request-Id": "a"}
            )
            return status == 200

        await fleet.until(applied)
        status, _, _ = await fleet.call(
            "g2", "POST", "/new/7", key="k1", **{"X-Request-Id": "b"}
        )
        assert status == 401
        fleet.platform.drop_history()
        fleet.platform.write("config", "main", config(version=6))

        async def back():
            status, _, _ = await fleet.call(
                "g1", "POST", "/orders/7", **{"X-Request-Id": "c"}
            )
            return status == 200

        await fleet.until(back)

    _play(tmp_path, story)


def test_a_drain_cuts_no_request_and_hands_jobs_over(tmp_path):
    async def story(fleet):
        for engine in fleet.engines:
            engine.faults.event_s = 0.2
        assert await _submit(fleet, "g1", "j1") == 202
        stream = asyncio.create_task(
            fleet.call(
                "g1", "POST", "/chat/1", **{"X-Request-Id": "s", "X-Model": "m"}
            )
        )
        await fleet.until(
            lambda: any(r[0] == "s" for e in fleet.engines for r in e.runs)
        )
        fleet.kill("g1", signal.SIGTERM)
        status, _, body = await stream
        assert (status, body.count(b"id: ")) == (200, 5)
        assert await fleet.nodes["g1"].proc.wait() == 0

        async def whole():
            return len(await _results(fleet, "g2", "j1")) == 4

        await fleet.until(whole)

    _play(tmp_path, story)


@pytest.mark.parametrize(
    "raw",
    [
        b"GARBAGE\r\n\r\n",
        b"POST /orders/1 HTTP/1.1\r\nHost: app.example\r\n"
        b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        b"POST /orders/1 HTTP/1.1\r\nHost: app.example\r\n"
        b"Content-Length: -1\r\n\r\n",
        b"POST /orders/1 HTTP/1.1\r\nHost: app.example\r\n"
        b"X-Request-Id: a\r\nAuthorization: Bearer k1\r\n"
        b"Content-Length: 200000\r\n\r\n" + b"x" * 200_000,
    ],
)
def test_bytes_that_are_no_proper_request_run_nothing(tmp_path, raw):
    async def story(fleet):
        node = fleet.nodes["g1"]
        reader, writer = await asyncio.open_connection(node.ip, node.port)
        writer.write(raw)
        line = await asyncio.wait_for(reader.readline(), 20)
        assert line.split()[1] in (b"400", b"413")
        writer.close()
        assert not any(server.runs for server in fleet.plain)
        status, _, _ = await fleet.call(
            "g1", "POST", "/orders/7", **{"X-Request-Id": "ok"}
        )
        assert status == 200

    _play(tmp_path, story)


def test_a_node_tells_what_is_wrong_with_its_settings(tmp_path):
    async def run():
        path = tmp_path / "boot.yaml"
        path.write_text("nodeName: 7\n")
        proc = await asyncio.create_subprocess_exec(
            *(
                sys.executable,
                "-m",
                "endivespindle",
                "node",
                "--settings",
                str(path),
            ),
            stderr=asyncio.subprocess.PIPE,
        )
        _, err = await proc.communicate()
        assert proc.returncode == 1
        assert b"settings" in err

    asyncio.run(run())


def test_a_server_that_announces_its_shutdown_gets_no_new_work(tmp_path):
    """Its entry in the store still says ready."""

    async def story(fleet):
        leaving = fleet.plain[0]
        leaving.faults.leaving = True
        for number in range(30):
            status, _, _ = await fleet.call(
                "g1", "POST", "/orders/7", **{"X-Request-Id": f"r{number}"}
            )
            assert status == 200
        assert len(leaving.runs) <= 1
        engine = fleet.engines[0]
        engine.faults.leaving = True
        told = set()
        while True:
            job_id = f"j{fleet.platform.calls['POST jobs']}"
            runs = len(engine.runs)
            assert await _submit(fleet, "g1", job_id, items=16) == 202

            async def done(job_id=job_id):
                return len(await _results(fleet, "g1", job_id)) == 16

            await fleet.until(done)
            progress = fleet.platform.read("job-progress", job_id)
            owner = progress["spec"]["owner"]
            if owner in told:
                break
            # Items sent before its first response may still run there.
            if len(engine.runs) > runs:
                told.add(owner)
        assert len(engine.runs) == runs

    _play(tmp_path, story)
