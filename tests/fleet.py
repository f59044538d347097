"""Entry VMs as processes of their own, around stand-ins in this one."""

import asyncio
import pathlib
import sys

import aiohttp
import msgspec
from aiohttp import web

from endivespindle.accounts.key_changes import grant_key
from endivespindle.core.ids import SeededIdSource
from endivespindle.demo.load import read_toml
from endivespindle.register.checking import decode_register
from endivespindle.schema.generated.backend import VmEntry, VmState
from endivespindle.schema.generated.register import Register, ServiceKind
from endivespindle.standins.engine import EngineStandin
from endivespindle.standins.platform import PlatformStandin
from endivespindle.standins.service import ServiceStandin
from endivespindle.store.apply import apply_register
from endivespindle.store.keys import change_keys

__all__ = ["HASH_SECRET", "Fleet", "VmProcess"]

ROOT = pathlib.Path(__file__).resolve().parent.parent
HASH_SECRET = "0123456789abcdef0123"

_START_LIMIT_S = 25.0
_HOST = "127.0.0.1"

_SETTINGS = """
[vm]
name = "{name}"
data_centre = "{data_centre}"
host = "127.0.0.1"
[listen]
port = 0
peer_port = 0
[platform]
base_url = "{platform}"
credential = "{name}@{data_centre}"
lease_term_s = 2.0
[peers]
secrets = ["0123456789abcdef0123"]
suspect_after_s = 1.0
dead_after_s = 2.0
[keys]
hash_secret = "{secret}"
operator_token = "0123456789abcdef0123"
[limits]
drain_balancer_wait_s = 0.1
"""


class VmProcess:
    """One entry VM in a process of its own."""

    def __init__(self, *, name: str, data_centre: str):
        self.name = name
        self.data_centre = data_centre
        self.process: asyncio.subprocess.Process | None = None
        self.http_port = 0
        self.peer_port = 0
        self.logs: list[str] = []
        self._reader: asyncio.Task[None] | None = None

    @property
    def url(self) -> str:
        return f"http://{_HOST}:{self.http_port}"

    async def start(
        self, command: list[str], folder: pathlib.Path, platform: str
    ) -> None:
        """Starts the process and waits until it has bound its ports."""
        path = folder / f"{self.name}.toml"
        path.write_text(
            _SETTINGS.format(
                name=self.name,
                data_centre=self.data_centre,
                platform=platform,
                secret=HASH_SECRET,
            )
        )
        self.process = await asyncio.create_subprocess_exec(
            *command,
            "serve",
            "--settings",
            str(path),
            cwd=ROOT,
            stderr=asyncio.subprocess.PIPE,
            limit=2**22,
            env={
                "PATH": "/usr/bin:/bin",
                "PYTHONPATH": str(ROOT),
                "SHIV_ROOT": str(folder / "shiv"),
            },
        )
        started = asyncio.get_running_loop().create_future()
        self._reader = asyncio.create_task(self._read(started))
        async with asyncio.timeout(_START_LIMIT_S):
            line = msgspec.json.decode(await started)
        self.http_port = line["http_port"]
        self.peer_port = line["peer_port"]

    async def _read(self, started: asyncio.Future[str]) -> None:
        assert self.process is not None
        assert self.process.stderr is not None
        async for raw in self.process.stderr:
            line = raw.decode()
            self.logs.append(line)
            if '"event": "started"' in line and not started.done():
                started.set_result(line)
        if not started.done():
            started.set_exception(RuntimeError("".join(self.logs)))

    async def end(self, signum: int) -> int:
        """Sends a signal and returns the exit code."""
        assert self.process is not None
        if self.process.returncode is None:
            self.process.send_signal(signum)
        async with asyncio.timeout(_START_LIMIT_S):
            code = await self.process.wait()
            if self._reader is not None:
                await self._reader
        return code


class Fleet:
    """A platform, backend servers, and entry VMs as processes."""

    def __init__(self, *, folder: pathlib.Path, deployment: str):
        self.folder = folder
        self.platform = PlatformStandin()
        self.platform_url = ""
        self.engines: dict[str, EngineStandin] = {}
        self.services: dict[str, ServiceStandin] = {}
        self.vms: list[VmProcess] = []
        self.keys: dict[str, str] = {}
        self._ids = SeededIdSource(seed=1)
        self._runners: list[web.AppRunner] = []
        path = ROOT / "examples" / deployment / "register.toml"
        self.register: Register = decode_register(read_toml(path))

    async def start(self, data_centres: list[str]) -> None:
        """Starts stand-ins, applies the register, starts the VMs."""
        self.platform_url = await self._serve(self.platform.app)
        await self._start_servers()
        await apply_register(
            self.platform.store,
            document=msgspec.to_builtins(self.register),
            ids=self._ids,
        )
        for account in self.register.client_accounts:
            key = f"key-of-{account.name}"
            self.keys[account.name] = key
            change = grant_key(
                key=key, client_account=account.name, hash_secret=HASH_SECRET
            )
            await change_keys(self.platform.store, change=change, ids=self._ids)
        self.vms = [
            VmProcess(name=f"vm-{number}", data_centre=data_centre)
            for number, data_centre in enumerate(data_centres)
        ]
        await asyncio.gather(*(self.start_vm(vm) for vm in self.vms))

    async def start_vm(self, vm: VmProcess) -> None:
        """Starts one VM, lists it, and waits until it is ready."""
        command = [sys.executable, "-m", "endivespindle"]
        await vm.start(command, self.folder, self.platform_url)
        self.platform.vms = [v for v in self.platform.vms if v.name != vm.name]
        self.platform.vms.append(
            VmEntry(
                name=vm.name,
                data_centre=vm.data_centre,
                host=_HOST,
                port=vm.http_port,
                peer_port=vm.peer_port,
                state=VmState.LIVE,
            )
        )
        await until_ready(vm.url)

    async def stop(self) -> None:
        """Kills what still runs and stops the stand-ins."""
        for vm in self.vms:
            if vm.process is not None and vm.process.returncode is None:
                await vm.end(9)
        for runner in self._runners:
            await runner.cleanup()

    async def _start_servers(self) -> None:
        services = {s.name: s for s in self.register.services}
        for server in self.register.backend_servers:
            service = services[server.service]
            if service.kind is ServiceKind.ENGINE:
                engine = EngineStandin(
                    name=server.name, weights_url=self.platform_url
                )
                self.engines[server.name] = engine
                server.address = await self._serve(engine.app)
            else:
                plain = ServiceStandin(name=server.name)
                self.services[server.name] = plain
                server.address = await self._serve(plain.app)

    async def _serve(self, app: web.Application) -> str:
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.5)
        await runner.setup()
        await web.TCPSite(runner, _HOST, 0).start()
        self._runners.append(runner)
        return f"http://{_HOST}:{runner.addresses[0][1]}"


async def until_ready(url: str) -> None:
    """Waits until a VM's readiness answers 200."""
    async with (
        asyncio.timeout(_START_LIMIT_S),
        aiohttp.ClientSession() as session,
    ):
        while True:
            async with session.get(url + "/readyz") as resp:
                if resp.status == 200:
                    return
            await asyncio.sleep(0.05)
