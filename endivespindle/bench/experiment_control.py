"""What control costs a VM: real peers on loopback, by size of the fleet."""

import asyncio
import os
import pathlib
import random
import time

from endivespindle.bench.experiment import Experiment, Figures, Target
from endivespindle.core.clock import SystemClock
from endivespindle.core.ids import SeededIdSource
from endivespindle.node.config_sync import ConfigSync
from endivespindle.node.context import NodeContext
from endivespindle.node.payloads import MemoryPayloadStore
from endivespindle.node.peer_sync import PeerSync
from endivespindle.schema.generated.backend import VmEntry, VmList, VmState
from endivespindle.schema.generated.settings import (
    DataSettings,
    KeySettings,
    ListenSettings,
    PeerSettings,
    PlatformSettings,
    Settings,
    VmSettings,
)
from endivespindle.standins.memory_store import MemoryObjectStore
from endivespindle.store.interfaces import VmListInterface

__all__ = ["EXPERIMENT", "ControlExperiment", "measure_control"]

_HOST = "127.0.0.1"
_SECRET = "bench-secret-0123456789"
_WARM_UP_S = 3.0
_SIZES = (9, 36, 72)
_VMS_PER_CENTRE = 8
_MIN_CENTRES = 3
_MAX_CENTRES = 9
_STATM_RESIDENT = 1
_BYTES_PER_KB = 1024
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class _ListStandin(VmListInterface):
    """The list of VMs, and how often it was read."""

    __slots__ = ("entries", "reads")

    def __init__(self) -> None:
        self.entries: list[VmEntry] = []
        self.reads = 0

    async def list_vms(self) -> VmList:
        self.reads += 1
        return VmList(version=1, vms=list(self.entries))


class _BenchVm:
    """The control side of one entry VM."""

    __slots__ = ("config", "ctx", "peers", "tasks")

    def __init__(
        self,
        *,
        name: str,
        data_centre: str,
        seed: int,
        store: MemoryObjectStore,
        vm_list: VmListInterface,
    ):
        settings = Settings(
            vm=VmSettings(name=name, data_centre=data_centre, host=_HOST),
            listen=ListenSettings(host=_HOST, port=0, peer_port=0),
            platform=PlatformSettings(
                base_url="http://127.0.0.1:1", credential=_SECRET
            ),
            peers=PeerSettings(secrets=[_SECRET]),
            keys=KeySettings(hash_secret=_SECRET, operator_token=_SECRET),
            data=DataSettings(),
        )
        self.ctx = NodeContext(
            settings=settings,
            clock=SystemClock(),
            ids=SeededIdSource(seed=seed),
            rng=random.Random(seed),
        )
        self.config = ConfigSync(ctx=self.ctx, store=store)
        self.peers = PeerSync(
            ctx=self.ctx,
            config=self.config,
            vm_list=vm_list,
            payloads=MemoryPayloadStore(
                max_bytes=1_048_576, clock=self.ctx.clock
            ),
        )
        self.tasks: list[asyncio.Task[None]] = []

    async def bind(self) -> VmEntry:
        await self.peers.server.start()
        self.peers.advertise_ports(http_port=1)
        cfg = self.ctx.settings
        return VmEntry(
            name=cfg.vm.name,
            data_centre=cfg.vm.data_centre,
            host=_HOST,
            port=1,
            peer_port=self.peers.server.port,
            state=VmState.LIVE,
            incarnation=self.ctx.incarnation,
        )

    def start(self) -> None:
        self.tasks = [
            asyncio.create_task(loop)
            for loop in (
                self.peers.run(),
                self.config.watch_register(),
                self.config.watch_keys(),
            )
        ]

    async def stop(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.peers.server.stop()

    def traffic_bytes(self) -> int:
        return self.peers.traffic_bytes()


async def measure_control(
    *, size: int, seed: int, measured_s: float
) -> dict[str, float]:
    """Returns what each of `size` peers costs a second."""
    rng = random.Random(seed)
    centres = size // _VMS_PER_CENTRE
    centres = max(_MIN_CENTRES, min(_MAX_CENTRES, centres))
    store = MemoryObjectStore()
    vm_list = _ListStandin()
    resident = _resident_bytes()
    vms = [
        _BenchVm(
            name=f"vm-{number}",
            data_centre=f"dc-{number % centres}",
            seed=rng.getrandbits(32),
            store=store,
            vm_list=vm_list,
        )
        for number in range(size)
    ]
    vm_list.entries = [await vm.bind() for vm in vms]
    everyone = [vm.ctx.gossip.local_member for vm in vms]
    for vm in vms:
        vm.ctx.gossip.merge_members(everyone)
        vm.start()
    await asyncio.sleep(_WARM_UP_S)
    before = _Reading(vms, store, vm_list)
    await asyncio.sleep(measured_s)
    after = _Reading(vms, store, vm_list)
    grown = _resident_bytes() - resident
    ages = [vm.ctx.keys.freshness.confirmation_age_s() for vm in vms]
    for vm in vms:
        if any(task.done() for task in vm.tasks):
            raise RuntimeError("a loop of a peer ended early")
        await vm.stop()
    figures = after.per_vm_and_s(before, size)
    figures["resident_mb_per_vm"] = grown / size / _BYTES_PER_KB**2
    figures["oldest_key_news_s"] = max(ages)
    return figures


class _Reading:
    """Counters at one moment."""

    __slots__ = ("at_s", "bytes", "calls", "cpu_s")

    def __init__(
        self,
        vms: list[_BenchVm],
        store: MemoryObjectStore,
        vm_list: _ListStandin,
    ):
        self.at_s = time.monotonic()
        self.cpu_s = time.process_time()
        self.bytes = sum(vm.traffic_bytes() for vm in vms)
        self.calls = store.reads + store.writes + vm_list.reads

    def per_vm_and_s(self, before: "_Reading", size: int) -> dict[str, float]:
        share = (self.at_s - before.at_s) * size
        return {
            "core_percent": 100 * (self.cpu_s - before.cpu_s) / share,
            "traffic_kb_per_s": (self.bytes - before.bytes)
            / share
            / _BYTES_PER_KB,
            "platform_calls_per_s": (self.calls - before.calls) / share,
        }


def _resident_bytes() -> int:
    fields = pathlib.Path("/proc/self/statm").read_text().split()
    return int(fields[_STATM_RESIDENT]) * _PAGE_BYTES


class ControlExperiment(Experiment):
    """Runs the real peer code in one event loop, at several sizes.

    The processor time is that of the whole process, sockets and the library's
    threads included. Traffic is what peers send and receive in envelopes.

    Args:
        sizes: Numbers of peers.
        measured_s: Seconds measured at each size.
    """

    __slots__ = ("_measured_s", "_sizes")

    name = "control"
    targets = tuple(
        Target(figure=figure, variant=f"peers_{size}", at_most=limit)
        for size in _SIZES
        for figure, limit in (
            ("core_percent", 1.4),
            ("resident_mb_per_vm", 256.0),
            ("traffic_kb_per_s", 4.0),
        )
    )

    def __init__(
        self, *, sizes: tuple[int, ...] = _SIZES, measured_s: float = 4.0
    ):
        self._sizes = sizes
        self._measured_s = measured_s

    def run(self, seed: int) -> list[Figures]:
        """Returns the figures of each size."""
        return [
            Figures(
                experiment=self.name,
                variant=f"peers_{size}",
                seed=seed,
                figures=asyncio.run(
                    measure_control(
                        size=size, seed=seed, measured_s=self._measured_s
                    )
                ),
            )
            for size in self._sizes
        ]


EXPERIMENT = ControlExperiment()
