"""One entry VM over real sockets: callers, keys, leaving, TLS."""

import asyncio
import contextlib
import json
import pathlib
import ssl

import aiohttp
import msgspec
import pytest
import structlog
import trustme

from endivespindle.accounts.key_changes import withdraw_key
from endivespindle.cli.logs import configure_logs
from endivespindle.core.clock import ManualClock
from endivespindle.core.digests import keyed_hash
from endivespindle.core.ids import SeededIdSource
from endivespindle.demo import deployment as demo
from endivespindle.demo.load import load_plan
from endivespindle.gateway.tls import CertificateReloader
from endivespindle.node.traces import TraceStore
from endivespindle.schema.generated.settings import ListenSettings, LogLevel
from endivespindle.store.keys import change_keys
from endivespindle.usage.receipts import ReceiptRecorder

_PLAN = (
    pathlib.Path(__file__).resolve().parent.parent
    / "examples/tsagaan_amttan/demo.toml"
)
_ACCOUNT = "cafe-nomin"
_LIMIT_S = 20.0
_SLOW_TICK_S = 0.05
_KEYS_LIMIT_S = 5.0


class _Client:
    """A caller with one account's key."""

    def __init__(self, deployment, session):
        self.deployment = deployment
        self.session = session
        self.key = deployment.keys[_ACCOUNT]
        self.base = deployment.entries()[0]
        self.vm = deployment.vms[0]

    def post(self, path, body, **headers):
        headers = {"Authorization": f"Bearer {self.key}", **headers}
        return self.session.post(self.base + path, data=body, headers=headers)

    def complete(self, tokens=64, stream=False, **more):
        body = {"model": "desk-app", "prompt": "one two", "stream": stream}
        body |= {"max_tokens": tokens, **more}
        return self.post("/v1/completions", json.dumps(body))

    async def withdraw(self):
        digest = keyed_hash(demo._HASH_SECRET, self.key)
        await change_keys(
            self.deployment.platform.store,
            change=withdraw_key(key_hash_or_id=digest),
            ids=SeededIdSource(seed=99),
        )


def _one_of_each(plan, count):
    """Returns the first VMs, or one of each data centre."""
    if count is not None:
        return plan.entry_vms[:count]
    return list({vm.data_centre: vm for vm in plan.entry_vms}.values())


@contextlib.asynccontextmanager
async def _running(tick_s=0.002, vms=1):
    plan, register = load_plan(_PLAN)
    plan = msgspec.structs.replace(
        plan, entry_vms=_one_of_each(plan, vms), engine_tick_s=tick_s
    )
    deployment = demo.Deployment(plan=plan, register=register, seed=1)
    await deployment.start()
    async with aiohttp.ClientSession() as session, asyncio.timeout(_LIMIT_S):
        client = _Client(deployment, session)
        while True:
            async with client.complete(tokens=1) as resp:
                if resp.status == 200:
                    break
            await asyncio.sleep(0.05)
        try:
            yield client
        finally:
            await deployment.stop()


async def _events(resp):
    """Yields the events of a stream as they come."""
    async for line in resp.content:
        if line.startswith(b"data: ") and b"[DONE]" not in line:
            yield json.loads(line[6:])


async def test_ordinary_client_is_served():
    async with _running() as client:
        async with client.complete(prompt=["one two"], logprobs=3) as resp:
            answer = await resp.json()
            assert resp.headers["X-Request-Id"] == answer["id"]
            usage = answer["usage"]
            assert usage["total_tokens"] == 2 + usage["completion_tokens"]
        async with client.complete(stream=True) as resp:
            events = [event async for event in _events(resp)]
        assert events[-1]["usage"]["completion_tokens"] > 0
        assert events[-1]["choices"][0]["finish_reason"] == "length"


@pytest.mark.parametrize(
    ("path", "body", "status", "reason"),
    [
        ("/nowhere", "", 404, "route_unknown"),
        ("/v1/completions", "{", 400, "malformed"),
        ("/v1/completions", "x" * 1_100_000, 413, "body_too_large"),
        ("/stock?key=KEY", "", 400, "key_exposed"),
        ("/stock", "my key is KEY", 400, "key_exposed"),
    ],
)
async def test_refusal_is_a_typed_body(path, body, status, reason):
    async with _running() as client:
        path = path.replace("KEY", client.key)
        body = body.replace("KEY", client.key)
        async with client.post(path, body) as resp:
            error = (await resp.json())["error"]
            assert (resp.status, error["reason"]) == (status, reason)
            assert error["ran"] == "not_run"
            assert error["request_id"] == resp.headers["X-Request-Id"]


async def test_no_backend_server_and_no_log_line_sees_a_key_or_a_text():
    configure_logs(LogLevel.DEBUG)
    with structlog.testing.capture_logs() as logs:
        async with _running() as client:
            client.session.cookie_jar.update_cookies({"key": client.key})
            async with client.complete(prompt="secretprompt") as resp:
                text = (await resp.json())["choices"][0]["text"]
            async with client.post(
                "/stock", b"secretprompt", **{"X-Api-Key": client.key}
            ) as resp:
                assert resp.status == 200
            deployment = client.deployment
            servers = [
                *deployment.engines.values(),
                *deployment.services.values(),
            ]
            seen = str([server.seen_headers for server in servers])
            assert client.key not in seen
            store = str(deployment.platform.store.log)
            assert client.key not in store
    configure_logs(LogLevel.ERROR)
    assert logs
    said = str(logs)
    assert client.key not in said
    assert "secretprompt" not in said
    assert text not in said


async def test_withdrawal_ends_a_stream_for_which_no_token_comes():
    async with _running(tick_s=_SLOW_TICK_S) as client:
        async with client.complete(tokens=4000, stream=True) as resp:
            events = _events(resp)
            await anext(events)
            for engine in client.deployment.engines.values():
                engine.faults.speed = 1e-6
            await asyncio.sleep(4 * _SLOW_TICK_S)
            await client.withdraw()
            last = [event async for event in events][-1]
        assert last["error"]["reason"] == "key_withdrawn"
        assert last["error"]["ran"] == "ran"
        async with client.complete() as resp:
            assert resp.status == 401
            assert (await resp.json())["error"]["ran"] == "not_run"


async def test_withdrawal_ends_a_trainers_pull_that_waits():
    async with _running() as client:
        client.key = client.deployment.keys["tasting-lab"]
        url = "/rollout/v1/trainers/note-writer/samples?wait_s=20"
        headers = {"Authorization": f"Bearer {client.key}"}
        pull = asyncio.create_task(
            client.session.get(client.base + url, headers=headers)
        )
        while not client.vm.ctx.drain.running:
            await asyncio.sleep(0.02)
        await asyncio.sleep(0.3)
        await client.withdraw()
        async with asyncio.timeout(10), await pull as resp:
            error = (await resp.json())["error"]
        assert (error["reason"], error["ran"]) == ("key_withdrawn", "unknown")


async def test_caller_that_leaves_stops_the_engine_and_pays_what_was_made():
    async with _running(tick_s=_SLOW_TICK_S) as client:
        async with client.complete(tokens=4000, stream=True) as resp:
            await anext(_events(resp))
            resp.close()
        while client.vm.ctx.drain.running:
            await asyncio.sleep(0.02)
        window = client.vm.ctx.current_window()
        lines = client.vm.ctx.ledger.lines(window)
        outcomes = {line.outcome: line.output_tokens for line in lines}
        assert 0 < outcomes["cancelled"] < 4000


async def test_leaving_cuts_no_stream_and_refuses_late_ones_as_not_run():
    async with _running(tick_s=_SLOW_TICK_S) as client:
        ctx = client.vm.ctx
        ctx.drain._balancer_wait_s = 0.3
        resp = await client.complete(tokens=400, stream=True)
        events = _events(resp)
        first = await anext(events)
        leaving = asyncio.create_task(client.vm.drain())
        await asyncio.sleep(0)
        async with client.session.get(client.base + "/readyz") as ready:
            assert ready.status == 503
        async with client.complete(tokens=1) as early:
            assert early.status == 200
        while ctx.drain.accepts():
            await asyncio.sleep(0.02)
        async with client.complete() as late:
            error = (await late.json())["error"]
            assert (error["reason"], error["ran"]) == ("draining", "not_run")
            assert late.headers["Retry-After"] == "1"
        rest = [event async for event in events]
        assert rest[-1]["choices"][0]["finish_reason"] == "length"
        assert rest[-1]["id"] == first["id"]
        await leaving
        assert ctx.ledger.dirty_windows() == []
        assert ctx.drain.state == "stopped"


@pytest.mark.parametrize("path", ["/healthz", "/readyz", "/metrics"])
async def test_other_methods_on_the_paths_of_operators_go_by_their_route(path):
    """They passed the guard: errors were 500, and a shutdown cut them."""
    async with _running() as client:
        async with client.post(path, b"x") as resp:
            assert resp.status == 404
            assert (await resp.json())["error"]["reason"] == "route_unknown"
        async with client.session.get(client.base + path) as resp:
            assert resp.status == 200


async def test_receipts_add_up_to_what_is_counted():
    async with _running() as client:
        ctx = client.vm.ctx
        ctx.receipts = ReceiptRecorder(vm="a")
        for _ in range(3):
            async with client.complete(tokens=9) as resp:
                tokens = (await resp.json())["usage"]["completion_tokens"]
        receipts = ctx.receipts.pop_pending()
        assert [receipt.number for receipt in receipts] == [1, 2, 3]
        assert receipts[-1].output_tokens == tokens


async def test_keyed_routes_go_on_while_the_platform_is_down_for_all():
    """Needs news from every data centre, so that each has a VM here."""
    async with _running(vms=None) as client:
        vms = client.deployment.vms
        for vm in vms:
            while len(vm.ctx.membership.reachable()) < len(vms) - 1:
                await asyncio.sleep(0.05)
        await asyncio.sleep(1.0)
        client.deployment.platform.faults.down = True
        while client.vm.ctx.keys.reported_age_s() <= _KEYS_LIMIT_S + 0.5:
            await asyncio.sleep(0.1)
        async with client.complete(tokens=1) as resp:
            assert resp.status == 200, await resp.text()
        client.deployment.platform.faults.down = False


async def test_any_vm_explains_a_request_that_another_one_served():
    async with _running(vms=2) as client:
        async with client.complete() as resp:
            request_id = resp.headers["X-Request-Id"]
        other = client.deployment.entries()[1]
        url = f"{other}/operator/v1/explain/{request_id}"
        headers = {"Authorization": f"Bearer {demo._OPERATOR_TOKEN}"}
        while True:
            async with client.session.get(url, headers=headers) as resp:
                events = (await resp.json())["events"]
            if events:
                break
            await asyncio.sleep(0.1)
        assert events[0]["vm"] == client.vm.ctx.settings.vm.name
        assert events[0]["event"] == "chosen"


def test_sample_is_found_by_its_slot():
    stories = TraceStore(vm="a", clock=ManualClock())
    stories.record("t.1.2.3/a-1", "chosen")
    stories.record("t.1.2.3/a-2", "chosen")
    stories.record("t.1.2.33/a-3", "chosen")
    ids = [event.id for event in stories.find("t.1.2.3")]
    assert ids == ["t.1.2.3/a-1", "t.1.2.3/a-2"]


def _write_certificate(folder, authority):
    issued = authority.issue_cert("127.0.0.1")
    issued.private_key_pem.write_to_path(folder / "key.pem")
    chain = b"".join(blob.bytes() for blob in issued.cert_chain_pems)
    (folder / "certificate.pem").write_bytes(chain)


async def test_certificate_is_reloaded_while_serving(tmp_path):
    old, new = trustme.CA(), trustme.CA()
    _write_certificate(tmp_path, old)
    reloader = CertificateReloader(
        listen=ListenSettings(
            port=0,
            peer_port=0,
            tls_certificate=str(tmp_path / "certificate.pem"),
            tls_key=str(tmp_path / "key.pem"),
        ),
        log=structlog.get_logger(),
    )
    server = await asyncio.start_server(
        lambda reader, writer: writer.close(),
        "127.0.0.1",
        0,
        ssl=reloader.context,
    )
    port = server.sockets[0].getsockname()[1]

    async def trusted(authority):
        context = ssl.create_default_context()
        authority.configure_trust(context)
        try:
            _, writer = await asyncio.open_connection(
                "127.0.0.1", port, ssl=context
            )
        except ssl.SSLError:
            return False
        writer.close()
        return True

    async with server:
        assert await trusted(old)
        (tmp_path / "key.pem").write_text("half a file")
        reloader.look()
        assert await trusted(old)
        _write_certificate(tmp_path, new)
        reloader.look()
        assert await trusted(new)
        assert not await trusted(old)


async def test_no_request_follows_a_report_that_announces_the_shutdown():
    async with _running() as client:
        engines = client.deployment.engines.values()
        leaving = next(engine for engine in engines if engine.produced)
        leaving.faults.leaving = True
        # Two polls of the load.
        await asyncio.sleep(0.6)
        before = len(leaving.produced)
        for _ in range(20):
            async with client.complete(tokens=4) as resp:
                assert resp.status == 200
        assert len(leaving.produced) == before
        leaving.faults.leaving = False
        await asyncio.sleep(0.6)
        async with client.complete(tokens=4) as resp:
            assert resp.status == 200
        # The same incarnation does not come back.
        assert len(leaving.produced) == before


async def test_requests_are_refused_as_not_run_when_all_engines_leave():
    async with _running() as client:
        for engine in client.deployment.engines.values():
            engine.faults.leaving = True
        await asyncio.sleep(0.6)
        async with client.complete(tokens=4) as resp:
            assert resp.status == 503
            error = (await resp.json())["error"]
            assert (error["reason"], error["ran"]) == (
                "no_backend_server",
                "not_run",
            )
