"""Nodes as processes of their own, around stand-ins of platform and servers.

The nodes are started with the commands of the deploy file. The platform and
the servers are the project's stand-ins, in the process of the script.
"""

import asyncio
import contextlib
import json
import logging
import os
import pathlib
import random
import socket
import sys
import tempfile
import time
import tomllib

import aiohttp

from endivespindle.standins.users_platform import UsersPlatformStandin

ROOT = pathlib.Path(__file__).resolve().parents[2]
EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_NOT_RUN = 2
HOST = "app.example"
KEY = "key-1"
TENANT = "acme"
_START_LIMIT_S = 30.0
_PAGE_SIZE = os.sysconf("SC_PAGE_SIZE")
_PORTS_PER_NODE = 12

# The settings of a small site; see the page on deployment.
_SETTINGS = """
nodeName: "{name}"
role: "{role}"
machineClass: "{machine}"
serves: ["{machine}"]
ip: "{ip}"
zone: "{zone}"
region: "r"
zones: {zones}
listenAddrs: {listen}
portRange: [{first_port}, {last_port}]
seeds: []
bootstrap: true
faultCounted: {counted}
limits: {{cpuShare: 0.537, cores: 2, memoryMb: {memory_mb}, maxFds: 4100}}
faultTolerance: {{machines: {tolerated}, zones: 1, regions: 0}}
timingBounds:
  contactMs: 3000
  ackMs: 4000
  recoveryS: 5.5
  drainMs: 2000
  graceS: 8
  configApplyMs: 2000
  strictRevoke: true
  revokeMs: 5000
  requireFence: false
  leaseMs: 3000
  thawMs: 300
  usageWindowS: 5
  usageLateS: 10
  statusS: 120
  cancelMs: 3000
  settleMs: 1000
platform:
  address: "{platform}"
  form: "objects"
  writesPerS: 400
  readsPerS: 2000
  valueBytes: 1048576
cloudApi:
  address: "{platform}"
  duties: ["usage_report", "autoscale"]
  dutyPerS: 50.0
"""


def trouble_is_on():
    """Returns whether the script plays the disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Lines of what was sent, answered and run; kept in the case's folder."""

    def __init__(self, folder):
        self._path = pathlib.Path(folder) / "record.txt"
        self._start_s = time.monotonic()
        self._file = self._path.open("w")

    def now_s(self):
        """Returns the seconds since the script began."""
        return time.monotonic() - self._start_s

    def write(self, what, **fields):
        """Writes one line."""
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self._file.write(f"{self.now_s():8.3f} {what} {text}\n")
        self._file.flush()


class Node:
    """One node of the system: its settings and its process."""

    def __init__(self, *, name, machine, ip, first_port, path):
        self.name = name
        self.machine = machine
        self.ip = ip
        self.first_port = first_port
        self.path = path
        self.log = path.with_suffix(".log")
        self.proc = None

    @property
    def callers(self):
        """Returns the address on which clients connect."""
        return f"{self.ip}:{self.first_port}"

    def resident_mb(self):
        """Returns the memory of the process in MB; 0 if it has ended."""
        try:
            text = pathlib.Path(f"/proc/{self.proc.pid}/statm").read_text()
        except OSError:
            return 0.0
        return int(text.split()[1]) * _PAGE_SIZE / 1_048_576


class Fleet:
    """Nodes of both roles, and the platform around them."""

    def __init__(
        self,
        *,
        record,
        gateways,
        controllers,
        memory_mb=150,
        tolerated=1,
        platform=None,
    ):
        """Sets the size of the fleet; `tolerated` machines may be lost."""
        self.record = record
        self.platform = platform or UsersPlatformStandin()
        self.nodes = {}
        self.session = None
        self.servers = []
        self._memory_mb = memory_mb
        self._tolerated = tolerated
        self._names = [(f"front-{n}", "front") for n in range(1, gateways + 1)]
        self._names += [
            (f"storage-{n}", "storage") for n in range(1, controllers + 1)
        ]
        self._folder = None
        self._procs = []
        self._starting = set()
        self._is_closed = False
        self._network = f"127.{random.randint(20, 250)}.{os.getpid() % 250}"
        roles = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self._commands = {
            role["on"]: role["run"].split() for role in roles["roles"].values()
        }

    async def __aenter__(self):
        self._folder = tempfile.TemporaryDirectory()
        await self.platform.start()
        self.session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=30),
            connector=aiohttp.TCPConnector(limit=0, force_close=True),
        )
        return self

    async def __aexit__(self, *exc):
        self._is_closed = True
        await asyncio.gather(*self._starting, return_exceptions=True)
        for proc in self._procs:
            if proc.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    proc.kill()
                await proc.wait()
        if self.session is not None:
            await self.session.close()
        for server in self.servers:
            await server.stop()
        await self.platform.stop()
        self._folder.cleanup()

    async def add_server(self, server):
        """Starts a stand-in of a server and registers it in the store."""
        self.servers.append(server)
        await server.start()
        self.platform.write(
            "servers", server.name, server.entry() | {"zone": "z1"}
        )

    async def start_all(self):
        """Starts all nodes and waits until the gateways are ready."""
        for number, (name, machine) in enumerate(self._names):
            self._prepare(number, name, machine)
            await self.start(name)
        for name, machine in self._names:
            if machine == "front":
                await self.wait_ready(name)

    def _prepare(self, number, name, machine):
        ip = f"{self._network}.{10 + number}"
        port = _free_ports(ip)
        zones = {f"z{n}": "r" for n in range(1, 4)}
        listen = {}
        if machine == "front":
            listen = {"front": f"{ip}:{port}", "ready": f"{ip}:{port + 1}"}
        path = pathlib.Path(self._folder.name) / f"{name}.yaml"
        path.write_text(
            _SETTINGS.format(
                name=name,
                role=machine,
                machine=machine,
                ip=ip,
                zone=f"z{1 + number % 3}",
                zones=json.dumps(zones),
                listen=json.dumps(listen),
                first_port=port + 2,
                last_port=port + _PORTS_PER_NODE - 1,
                counted=str(machine == "storage").lower(),
                memory_mb=self._memory_mb,
                tolerated=self._tolerated,
                platform=f"127.0.0.1:{self.platform.port}",
            )
        )
        self.nodes[name] = Node(
            name=name, machine=machine, ip=ip, first_port=port, path=path
        )

    async def start(self, name):
        """Starts the process of a node; whoever is cancelled meanwhile."""
        task = asyncio.create_task(self._start_process(self.nodes[name]))
        self._starting.add(task)
        task.add_done_callback(self._starting.discard)
        await asyncio.shield(task)

    async def _start_process(self, node):
        if self._is_closed:
            return
        env = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/tmp"),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "ENDIVESPINDLE_BOOT": str(node.path),
        }
        with node.log.open("ab") as log:
            node.proc = await asyncio.create_subprocess_exec(
                *self._commands[node.machine],
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
            )
        self._procs.append(node.proc)
        self.record.write("started", node=node.name, pid=node.proc.pid)

    def signal(self, name, signum):
        """Sends a signal to a node that this script started."""
        self.record.write("signal", node=name, signal=signum.name)
        with contextlib.suppress(ProcessLookupError):
            self.nodes[name].proc.send_signal(signum)

    async def until(self, condition, limit_s):
        """Waits until a condition holds; returns whether it did in time."""
        end_s = time.monotonic() + limit_s
        while not condition():
            if time.monotonic() >= end_s:
                return False
            await asyncio.sleep(0.01)
        return True

    async def is_ready(self, name):
        """Returns whether a gateway says that it takes clients."""
        node = self.nodes[name]
        url = f"http://{node.ip}:{node.first_port + 1}/ready"
        try:
            async with self.session.get(url) as resp:
                return resp.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    async def wait_ready(self, name):
        """Waits until a gateway says that it takes clients."""
        end_s = time.monotonic() + _START_LIMIT_S
        while not await self.is_ready(name):
            if time.monotonic() >= end_s:
                raise TimeoutError(f"{name} is not ready")
            await asyncio.sleep(0.05)

    async def call(self, name, method, path, *, body=None, headers=None):
        """Sends a request as a client; returns status, headers and body."""
        url = f"http://{self.nodes[name].callers}{path}"
        send = {"Host": HOST, "Authorization": f"Bearer {KEY}"}
        async with self.session.request(
            method, url, data=body, headers=send | (headers or {})
        ) as resp:
            return resp.status, resp.headers, await resp.read()


def _free_ports(ip):
    """Returns the first of some consecutive ports that are free."""
    while True:
        first = random.randint(20_000, 30_000)
        try:
            for port in range(first, first + _PORTS_PER_NODE):
                with socket.socket() as sock:
                    sock.bind((ip, port))
        except OSError:
            continue
        return first


def run_case(main, *, folder, limit_s=110.0):
    """Runs a case; exits with 1 if a rule was broken, 2 if it could not run."""
    record = Record(folder)
    # Nodes that end break their connections to the stand-ins off.
    logging.getLogger("aiohttp.server").setLevel(logging.CRITICAL)

    async def run():
        async with asyncio.timeout(limit_s):
            return await main(record)

    try:
        is_broken = asyncio.run(run())
    # Whatever went wrong, the case could not run.
    except Exception as exc:
        record.write("not_run", error=repr(exc))
        sys.exit(EXIT_NOT_RUN)
    record.write("result", broken=is_broken)
    sys.exit(EXIT_BROKEN if is_broken else EXIT_HELD)
