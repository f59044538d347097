"""Whole sessions on virtual time, compared with their golden files.

Each file holds requests, answers, log lines, platform writes and what ran on
backend servers. Write them anew with `pytest --snapshot-update`, and read the
difference.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable

import msgspec
import pytest
import structlog

from endivespindle.accounts.key_changes import grant_key, withdraw_key
from endivespindle.core.digests import keyed_hash
from endivespindle.core.ids import SeededIdSource
from endivespindle.node.entry_vm import EntryVm
from endivespindle.peers.transport import PeerServer
from endivespindle.schema.checking import decode_document
from endivespindle.schema.generated.settings import Settings
from endivespindle.standins.memory_store import MemoryObjectStore
from endivespindle.store.apply import apply_register
from endivespindle.store.keys import change_keys
from tests.journal import Journal
from tests.virtual_loop import LoopClock, VirtualLoop
from tests.virtual_network import Exchange, VirtualNetwork, VirtualPlatform
from tests.virtual_servers import VirtualEngines, VirtualServices

_SECRET = "golden-secret-0123456789"
_KEY = "golden-key"
_LIMIT_S = 60.0

_REGISTER = {
    "data_centres": [{"name": "ulaan"}],
    "services": [
        {"name": "notes", "kind": "engine", "model": "notes"},
        {"name": "orders", "kind": "plain"},
    ],
    "backend_servers": [
        {
            "name": name,
            "service": service,
            "data_centre": "ulaan",
            "address": "http://127.0.0.1:1",
        }
        for name, service in (
            ("notes-1", "notes"),
            ("notes-2", "notes"),
            ("orders-1", "orders"),
        )
    ],
    "client_accounts": [{"name": "cafe-nomin"}],
    "routes": [{"prefix": "/orders", "service": "orders"}],
    "trainers": [
        {
            "name": "writer",
            "client_account": "cafe-nomin",
            "service": "notes",
            "group_size": 2,
        }
    ],
    "rules": {
        "usage_window_s": 5.0,
        "usage_grace_s": 1.0,
        "usage_flush_interval_s": 1.0,
        "capacity_interval_s": 30.0,
    },
}


class _Session:
    """One or more VMs around one platform, on virtual time."""

    def __init__(self) -> None:
        self.journal = Journal()
        self.journal.capture_logs()
        self.store = MemoryObjectStore()
        self.platforms: dict[str, VirtualPlatform] = {}
        self.engines = VirtualEngines(journal=self.journal)
        self.services = VirtualServices(journal=self.journal)
        self.vms: dict[str, EntryVm] = {}
        self.ids = SeededIdSource(seed=99)
        self._networks: dict[str, VirtualNetwork] = {}

    async def start(self, *names: str) -> None:
        await apply_register(self.store, document=_REGISTER, ids=self.ids)
        grant = grant_key(
            key=_KEY, client_account="cafe-nomin", hash_secret=_SECRET
        )
        await change_keys(self.store, change=grant, ids=self.ids)
        for number, name in enumerate(names):
            await self.start_vm(name, number)

    async def start_vm(self, name: str, number: int) -> None:
        settings = decode_document(
            {
                "vm": {
                    "name": name,
                    "data_centre": "ulaan",
                    "host": "127.0.0.1",
                },
                "listen": {"port": 0, "peer_port": 0},
                "platform": {"base_url": "http://127.0.0.1:1"},
                "peers": {"secrets": [_SECRET]},
                "keys": {"hash_secret": _SECRET, "operator_token": _SECRET},
                "limits": {"drain_balancer_wait_s": 0.5},
            },
            schema="settings",
            cls=Settings,
        )
        platform = VirtualPlatform(store=self.store, journal=self.journal)
        self.platforms[name] = platform
        network = VirtualNetwork(
            platform=platform,
            engines=self.engines,
            services=self.services,
        )
        vm = EntryVm(
            settings=settings,
            clock=LoopClock(loop=asyncio.get_running_loop()),
            ids=SeededIdSource(seed=number),
            rng=random.Random(number),
            network=network,
        )
        await vm.start()
        self.vms[name] = vm
        self._networks[name] = network
        await asyncio.sleep(1.0)

    async def ask(
        self,
        name: str,
        method: str,
        path: str,
        body: object = b"",
        *,
        key: str = _KEY,
    ) -> str:
        data = body if isinstance(body, bytes) else msgspec.json.encode(body)
        vm = next(iter(self.vms))
        exchange = Exchange(
            name=name, network=self._networks[vm], journal=self.journal
        )
        return await exchange.run(method, path, key=key, body=data)

    async def complete(self, name: str, tokens: int = 16) -> str:
        return await self.ask(
            name,
            "POST",
            "/v1/completions",
            {
                "model": "notes",
                "prompt": "a note on plums",
                "max_tokens": tokens,
                "stream": True,
            },
        )

    async def withdraw(self) -> None:
        self.journal.write("operator withdraws", "the key of cafe-nomin")
        change = withdraw_key(key_hash_or_id=keyed_hash(_SECRET, _KEY))
        await change_keys(self.store, change=change, ids=self.ids)


async def _weights_change_in_mid_step(session: _Session) -> None:
    await session.start("ulaan-1")
    trainer = "/rollout/v1/trainers/writer"
    group = {"group": 0, "prompt": "plums", "samples": 2, "max_tokens": 16}
    await session.ask(
        "trainer", "POST", trainer + "/steps", {"step": 0, "groups": [group]}
    )
    await asyncio.sleep(0.25)
    await session.ask("trainer", "POST", trainer + "/version", {"version": 1})
    await session.ask("trainer", "GET", trainer + "/samples?cursor=0&wait_s=8")
    await session.ask("trainer", "GET", trainer + "/samples?cursor=0&wait_s=8")
    await session.ask(
        "trainer", "POST", trainer + "/acknowledgements", {"cursor": 2}
    )
    await session.ask("trainer", "GET", trainer + "/samples?cursor=2")


async def _stream_outlives_its_engine(session: _Session) -> None:
    await session.start("ulaan-1")
    stream = asyncio.create_task(session.complete("app"))
    await asyncio.sleep(0.25)
    session.engines.dead = {"notes-1", "notes-2"}
    await asyncio.sleep(0.06)
    session.engines.dead = {"notes-1"}
    await stream
    session.engines.dead = {"notes-1", "notes-2"}
    await session.complete("app")


async def _key_is_withdrawn(session: _Session) -> None:
    await session.start("ulaan-1")
    stream = asyncio.create_task(session.complete("app", tokens=64))
    await asyncio.sleep(0.45)
    await session.withdraw()
    await stream
    await session.complete("app")


async def _answer_of_a_call_is_lost(session: _Session) -> None:
    await session.start("ulaan-1")
    await session.ask("app", "POST", "/orders/new", b"three boxes")
    session.services.answers_to_lose = 1
    await session.ask("app", "POST", "/orders/new", b"four boxes")


async def _vm_drains(session: _Session) -> None:
    await session.start("ulaan-1")
    stream = asyncio.create_task(session.complete("app", tokens=64))
    await asyncio.sleep(0.25)
    session.journal.write("operator", "stops ulaan-1")
    drain = asyncio.create_task(session.vms["ulaan-1"].drain())
    await asyncio.sleep(0.1)
    await session.ask("balancer", "GET", "/readyz", key="")
    await asyncio.sleep(0.6)
    await session.complete("other app")
    await stream
    await drain
    session.vms.clear()


async def _second_holder_closes_the_window(session: _Session) -> None:
    await session.start("ulaan-1")
    await session.ask("app", "POST", "/orders/new", b"three boxes")
    first = session.platforms["ulaan-1"]
    first.reports_down = True
    await asyncio.sleep(7.0)
    session.journal.write("machine of ulaan-1", "is switched off")
    first.off = True
    await session.vms.pop("ulaan-1").stop()
    await session.start_vm("ulaan-2", 2)
    second = session.platforms["ulaan-2"]
    while not second.reports:
        await asyncio.sleep(1.0)


async def _callers_send_bad_input(session: _Session) -> None:
    await session.start("ulaan-1")
    trainer = "/rollout/v1/trainers/writer"
    ask = session.ask
    await ask("no key", "POST", "/v1/completions", b"{}", key="")
    await ask("unknown key", "POST", "/v1/completions", b"{}", key="x")
    await ask("broken json", "POST", "/v1/completions", b'{"model": "no')
    await ask("wrong type", "POST", "/v1/completions", {"model": 7})
    await ask(
        "unknown model",
        "POST",
        "/v1/completions",
        {"model": "x", "prompt": "y"},
    )
    await ask("unknown route", "GET", "/nowhere")
    await ask("wrong method", "PATCH", "/orders/new")
    await ask("large body", "POST", "/orders/new", b"x" * 1_100_000)
    await ask("unknown trainer", "GET", "/rollout/v1/trainers/x/samples")
    await ask("bad cursor", "GET", trainer + "/samples?cursor=minus")
    await ask("far cursor", "GET", trainer + "/samples?cursor=900")
    await ask(
        "far acknowledgement",
        "POST",
        trainer + "/acknowledgements",
        {"cursor": 900},
    )
    await ask("empty step", "POST", trainer + "/steps", {"step": 0})


@pytest.fixture(autouse=True)
def _restore_logs():
    yield
    structlog.reset_defaults()


async def _nothing(server: PeerServer) -> None:
    del server


@pytest.fixture(autouse=True)
def _no_peer_sockets(monkeypatch):
    """Keeps pynng's threads, which know no virtual time, out of sessions."""
    monkeypatch.setattr(PeerServer, "start", _nothing)
    monkeypatch.setattr(PeerServer, "stop", _nothing)


def play(script: Callable[[_Session], Awaitable[None]]) -> str:
    """Plays a session on virtual time and returns its record."""

    async def run() -> str:
        session = _Session()
        async with asyncio.timeout(_LIMIT_S):
            await script(session)
        text = session.journal.text()
        for vm in session.vms.values():
            await vm.stop()
        return text

    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(run())


@pytest.mark.parametrize(
    "script",
    [
        _weights_change_in_mid_step,
        _stream_outlives_its_engine,
        _key_is_withdrawn,
        _answer_of_a_call_is_lost,
        _vm_drains,
        _second_holder_closes_the_window,
        _callers_send_bad_input,
    ],
    ids=lambda script: script.__name__.strip("_"),
)
def test_session(script, text_snapshot):
    assert play(script) == text_snapshot
