"""Starts stand-ins and entry VMs of a deployment on loopback."""

import random
import secrets

import msgspec
from aiohttp import web

from endivespindle.accounts.key_changes import grant_key
from endivespindle.core.clock import SystemClock
from endivespindle.core.ids import SeededIdSource
from endivespindle.node.entry_vm import EntryVm
from endivespindle.node.network import SocketNetwork
from endivespindle.schema.generated.backend import VmEntry, VmState
from endivespindle.schema.generated.demo import DemoPlan
from endivespindle.schema.generated.register import (
    BackendServer,
    Register,
    ServiceKind,
)
from endivespindle.schema.generated.settings import (
    KeySettings,
    LimitSettings,
    ListenSettings,
    PeerSettings,
    PlatformSettings,
    Settings,
    VmSettings,
)
from endivespindle.standins.engine import EngineStandin
from endivespindle.standins.platform import PlatformStandin
from endivespindle.standins.service import ServiceStandin
from endivespindle.store.apply import apply_register
from endivespindle.store.keys import change_keys

__all__ = ["Deployment"]

_HOST = "127.0.0.1"
_HASH_SECRET = "demo-hash-secret-0123456789"
_PEER_SECRET = "demo-peer-secret-0123456789"
_OPERATOR_TOKEN = "demo-operator-token-0123456789"


class Deployment:
    """Everything that runs in a demo.

    Attributes:
        platform: The platform stand-in.
        engines: Engine stand-ins by name.
        services: Plain service stand-ins by name.
        vms: Entry VMs, in the plan's order.
        keys: Tenant key of each client account.
        register: The register in force.
    """

    __slots__ = (
        "_ids",
        "_plan",
        "_runners",
        "_seed",
        "engines",
        "keys",
        "platform",
        "platform_url",
        "register",
        "services",
        "vms",
    )

    def __init__(self, *, plan: DemoPlan, register: Register, seed: int):
        self._plan = plan
        self._seed = seed
        self._ids = SeededIdSource(seed=seed)
        self._runners: list[web.AppRunner] = []
        self.register = register
        self.platform = PlatformStandin()
        self.platform_url = ""
        self.engines: dict[str, EngineStandin] = {}
        self.services: dict[str, ServiceStandin] = {}
        self.vms: list[EntryVm] = []
        self.keys = {
            account.name: f"key-{secrets.token_hex(12)}"
            for account in register.client_accounts
        }

    async def start(self) -> None:
        """Starts stand-ins, applies the register, grants keys, starts VMs."""
        self.platform_url = await self._serve(self.platform.app)
        servers = [
            await self._start_server(server)
            for server in self.register.backend_servers
        ]
        self.register = msgspec.structs.replace(
            self.register, backend_servers=servers
        )
        await apply_register(
            self.platform.store,
            document=msgspec.to_builtins(self.register),
            ids=self._ids,
        )
        for account, key in self.keys.items():
            await change_keys(
                self.platform.store,
                change=grant_key(
                    key=key, client_account=account, hash_secret=_HASH_SECRET
                ),
                ids=self._ids,
            )
        for number, vm in enumerate(self._plan.entry_vms):
            await self._start_vm(number, vm.name, vm.data_centre)

    async def stop(self) -> None:
        """Stops everything."""
        for vm in self.vms:
            await vm.stop()
        for runner in self._runners:
            await runner.cleanup()

    def entries(self) -> list[str]:
        """Returns the base addresses of the entry VMs."""
        return [f"http://{_HOST}:{vm.http_port}" for vm in self.vms]

    async def _start_server(self, server: BackendServer) -> BackendServer:
        kinds = {service.name: service for service in self.register.services}
        service = kinds[server.service]
        app: web.Application
        if service.kind is ServiceKind.ENGINE:
            engine = EngineStandin(
                name=server.name,
                slots=service.slots_per_server,
                tick_s=self._plan.engine_tick_s,
                weights_url=self.platform_url,
            )
            engine.faults.ignore_fencing = not server.checks_fencing
            self.engines[server.name] = engine
            app = engine.app
        else:
            plain = ServiceStandin(name=server.name)
            self.services[server.name] = plain
            app = plain.app
        address = await self._serve(app)
        return msgspec.structs.replace(server, address=address)

    async def _start_vm(self, number: int, name: str, data_centre: str) -> None:
        settings = Settings(
            vm=VmSettings(name=name, data_centre=data_centre, host=_HOST),
            listen=ListenSettings(host=_HOST, port=0, peer_port=0),
            platform=PlatformSettings(
                base_url=self.platform_url,
                credential=f"{name}@{data_centre}",
                lease_term_s=3.0,
            ),
            peers=PeerSettings(secrets=[_PEER_SECRET]),
            keys=KeySettings(
                hash_secret=_HASH_SECRET, operator_token=_OPERATOR_TOKEN
            ),
            limits=LimitSettings(drain_balancer_wait_s=0.0),
        )
        vm = EntryVm(
            settings=settings,
            clock=SystemClock(),
            ids=SeededIdSource(seed=self._seed * 1000 + number),
            rng=random.Random(self._seed * 1000 + number),
            network=SocketNetwork(),
        )
        await vm.start()
        self.vms.append(vm)
        self.platform.vms.append(
            VmEntry(
                name=name,
                data_centre=data_centre,
                host=_HOST,
                port=vm.http_port,
                peer_port=vm.peer_port,
                state=VmState.LIVE,
                incarnation=vm.ctx.incarnation,
            )
        )

    async def _serve(self, app: web.Application) -> str:
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.5)
        await runner.setup()
        site = web.TCPSite(runner, _HOST, 0)
        await site.start()
        self._runners.append(runner)
        return f"http://{_HOST}:{runner.addresses[0][1]}"
