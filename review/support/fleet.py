"""A small fleet: the project's nodes as processes, and their surroundings."""

import asyncio
import base64
import json
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile
from typing import Any

import aiohttp
from aiohttp import web

from endivespindle.standins.users_platform import UsersPlatformStandin
from review.support.record import Record
from review.support.samplers import Sampler

__all__ = [
    "HOST",
    "KEY",
    "MODEL",
    "ROOT",
    "Fleet",
    "Store",
    "default_config",
    "item",
    "owner_of",
    "run_case",
]

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "app.example"
KEY = "key-of-acme"
MODEL = "m"
_START_LIMIT_S = 40.0
_CALL_TIMEOUT_S = 12.0
_SETTLE_S = 4.0
_PORTS = 10
# The commands of the deploy file; `python3` is the interpreter of this script.
_COMMAND = ("-m", "endivespindle", "node")
_ENVIRONMENT = ("PATH", "HOME", "LANG")

_BOOT = """
nodeName: "{name}"
role: "{role}"
machineClass: "{machine}"
serves: ["{machine}"]
ip: "{ip}"
zone: "{zone}"
region: "r"
zones: {{a: "r", b: "r"}}
listenAddrs: {listen}
portRange: [{peer}, {peer_last}]
seeds: []
bootstrap: true
faultCounted: {counted}
limits: {{cpuShare: 0.537, cores: 2, memoryMb: {memory_mb}, maxFds: 4100}}
faultTolerance: {{machines: 1, zones: 1, regions: 0}}
timingBounds:
  contactMs: 3000
  ackMs: 4000
  recoveryS: 4.3
  drainMs: 2000
  graceS: 8
  lossSlackMs: 200
  configApplyMs: 2000
  downgradeMs: 250
  skewMaxMs: 5000
  strictRevoke: true
  revokeMs: 5000
  requireFence: false
  leaseMs: 3000
  thawMs: 300
  usageWindowS: 5
  usageOff: 0.05
  usageLateS: 10
  recoverS: 12
  passMs: 120
  finishS: 10
  statusS: 120
  cancelMs: 3000
  settleMs: 1000
platform:
  address: "127.0.0.1:{store}"
  form: "objects"
  writesPerS: 400
  readsPerS: 2000
  historyS: 20
  valueBytes: 1048576
cloudApi:
  address: "127.0.0.1:{store}"
  duties: ["usage_report", "autoscale"]
  dutyPerS: 50.0
"""


class Store(UsersPlatformStandin):
    """The platform; tells a case of the calls of its duties' holders.

    Args:
        record: Record of the case.

    Attributes:
        duties: Receives the calls of holders.
    """

    def __init__(self, record: Record):
        super().__init__()
        self.record = record
        self.duties: Any = None

    async def _duty(
        self, request: web.Request, taken: list[Any]
    ) -> web.StreamResponse:
        if self.duties is not None:
            self.duties.add(request, request.path.strip("/"))
        return await super()._duty(request, taken)


class _Node:
    def __init__(self, name: str, ip: str, port: int, path: pathlib.Path):
        self.name = name
        self.ip = ip
        self.port = port
        self.path = path
        self.proc: asyncio.subprocess.Process | None = None


class Fleet:
    """The nodes, the store, and the clients' calls.

    Args:
        record: Record of the case.
        samplers: Samplers that register themselves.
        config: Configuration of the operator.
        gateways: Number of gateways.
        controllers: Number of controllers.
        memory_mb: Memory that the settings allow each process.
    """

    def __init__(
        self,
        *,
        record: Record,
        samplers: list[Sampler],
        config: dict[str, Any],
        gateways: int = 3,
        controllers: int = 2,
        memory_mb: int = 300,
    ):
        self.record = record
        self.samplers = list(samplers)
        self.config = config
        self.memory_mb = memory_mb
        self.store = Store(record)
        self.names = [f"front-{n}" for n in range(1, gateways + 1)]
        self.controllers = [f"storage-{n}" for n in range(1, controllers + 1)]
        self.nodes: dict[str, _Node] = {}
        self._folder = tempfile.TemporaryDirectory()
        self._net = random.randrange(20, 250)

    async def __aenter__(self) -> "Fleet":
        await self.store.start()
        self.store.write("config", "main", self.config)
        for sampler in self.samplers:
            await sampler.start()
            sampler.on_models = lambda s=sampler: self.register(s)
            self.register(sampler)
        for number, name in enumerate((*self.names, *self.controllers)):
            self._write_boot(name, number)
            await self.start(name)
        for name in self.names:
            await self.wait_ready(name)
        # Traffic starts some seconds after the machines.
        await asyncio.sleep(_SETTLE_S)
        self.record.write("fleet", "all gateways are ready")
        return self

    async def __aexit__(self, *exc: object) -> None:
        for node in self.nodes.values():
            if node.proc is not None and node.proc.returncode is None:
                node.proc.kill()
                await node.proc.wait()
        for sampler in self.samplers:
            await sampler.stop()
        await self.store.stop()
        self._folder.cleanup()

    def register(self, sampler: Sampler) -> None:
        """Writes a sampler's entry."""
        self.store.write("servers", sampler.name, sampler.entry())

    def _write_boot(self, name: str, number: int) -> None:
        ip = f"127.0.{self._net}.{number + 1}"
        port = _free_ports(ip)
        machine, listen = "storage", "{}"
        if name in self.names:
            machine = "front"
            listen = f'{{front: "{ip}:{port}", ready: "{ip}:{port + 1}"}}'
        path = pathlib.Path(self._folder.name) / f"{name}.yaml"
        path.write_text(
            _BOOT.format(
                name=name,
                role="gateway" if machine == "front" else "controller",
                machine=machine,
                ip=ip,
                zone="ab"[number % 2],
                listen=listen,
                peer=port + 2,
                peer_last=port + _PORTS - 1,
                counted=str(machine == "storage").lower(),
                memory_mb=self.memory_mb,
                store=self.store.port,
            )
        )
        self.nodes[name] = _Node(name, ip, port, path)

    async def start(self, name: str) -> None:
        """Starts a node's process."""
        node = self.nodes[name]
        env = {k: os.environ[k] for k in _ENVIRONMENT if k in os.environ}
        env["ENDIVESPINDLE_BOOT"] = str(node.path)
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        log = node.path.with_suffix(".log")
        keep = os.environ.get("NODE_LOGS")
        if keep:
            log = pathlib.Path(keep) / f"{name}.log"
        with log.open("ab") as out:
            node.proc = await asyncio.create_subprocess_exec(
                sys.executable,
                *_COMMAND,
                cwd=ROOT,
                env=env,
                stdout=out,
                stderr=out,
            )
        self.record.write("fleet", f"started {name}")

    async def kill(self, name: str, signum: int = signal.SIGKILL) -> None:
        """Sends a signal to a node of this fleet; waits if it is to end."""
        node = self.nodes[name]
        assert node.proc is not None
        node.proc.send_signal(signum)
        self.record.write("fleet", f"{signal.Signals(signum).name} to {name}")
        if signum == signal.SIGKILL:
            await node.proc.wait()

    async def wait_ready(self, name: str) -> None:
        """Waits until a gateway reports itself ready."""
        node = self.nodes[name]
        url = f"http://{node.ip}:{node.port + 1}/ready"
        async with asyncio.timeout(_START_LIMIT_S):
            async with aiohttp.ClientSession() as session:
                while True:
                    try:
                        async with session.get(url) as resp:
                            if resp.status == 200:
                                return
                    except aiohttp.ClientError:
                        pass
                    await asyncio.sleep(0.05)

    async def call(
        self,
        name: str,
        method: str,
        path: str,
        *,
        body: bytes | None = None,
        request_id: str = "",
        wait_ms: int = 0,
        session: aiohttp.ClientSession | None = None,
    ) -> tuple[int, dict[str, str], bytes]:
        """Calls a gateway as a client; a new connection unless one is given.

        Returns:
            Status (0 if the connection ended without an answer), headers and
            body.
        """
        node = self.nodes[name]
        headers = {"Host": HOST, "Authorization": f"Bearer {KEY}"}
        if request_id:
            headers["X-Request-Id"] = request_id
        if wait_ms:
            headers["X-Wait-Ms"] = str(wait_ms)
        url = f"http://{node.ip}:{node.port}{path}"
        own = session or aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=_CALL_TIMEOUT_S)
        )
        status, got, answer = 0, {}, b""
        try:
            async with own.request(
                method, url, data=body, headers=headers
            ) as resp:
                answer = await resp.read()
                status, got = resp.status, dict(resp.headers)
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            answer = repr(exc).encode()
        finally:
            if session is None:
                await own.close()
        self.record.write(
            "client",
            f"{name} {method} {path} {request_id} -> {status}"
            f" {got.get('X-Server-Stamp', '')} {answer[:100]!r}",
        )
        return status, got, answer

    async def submit(
        self,
        job_id: str,
        items: list[dict[str, Any]],
        *,
        step: int = 0,
        least: int = 1,
        groups: int = 1,
    ) -> str:
        """Submits a step's job at one gateway after the other until a 202.

        Returns:
            Name of the gateway that accepted it.
        """
        body = json.dumps(
            {
                "step": step,
                "model": MODEL,
                "minVersion": least,
                "groupCount": groups,
                "items": items,
            }
        ).encode()
        while True:
            for name in self.names:
                status, _, _ = await self.call(
                    name, "POST", "/steps/", body=body, request_id=job_id
                )
                if status == 202:
                    return name
                await asyncio.sleep(0.3)


def owner_of(fleet: Fleet, job_id: str) -> str:
    """Returns the gateway that the store names as a job's owner."""
    progress = fleet.store.read("job-progress", job_id)
    if progress is not None:
        return progress["spec"]["owner"].partition("/")[0]
    job = fleet.store.read("jobs", job_id)
    assert job is not None
    return job["spec"]["submission"]["first_owner"].partition("/")[0]


def item(
    item_id: str, *, group: str, tokens: int = 4000, scorer: bool = True
) -> dict[str, Any]:
    """Returns an item of a step, with a reward call if asked for."""
    doc: dict[str, Any] = {
        "id": item_id,
        "path": "/steps/x",
        "headers": {"X-Model": MODEL, "X-Token-Count": f"16,{tokens}"},
        "body": base64.b64encode(item_id.encode()).decode(),
        "tokens": 16 + tokens,
        "group": group,
    }
    if scorer:
        doc["scorer"] = {
            "id": f"score-{item_id}",
            "host": HOST,
            "path": "/confirm/",
            "body": base64.b64encode(b"score " + item_id.encode()).decode(),
        }
    return doc


def default_config(version: int = 1) -> dict[str, Any]:
    """Returns a configuration like that of a small deployment."""
    common = {"host": HOST, "priority": 2}
    plain = common | {"service": "desk-app", "timeoutMs": 2000}
    return {
        "version": version,
        "routes": [
            plain
            | {
                "name": "order-status",
                "pathPrefix": "/status/",
                "kind": "idempotent",
                "targetLatencyMs": 192,
                "maxAttempts": 3,
            },
            plain
            | {
                "name": "stock-confirm",
                "pathPrefix": "/confirm/",
                "kind": "idempotent",
                "targetLatencyMs": 533,
                "maxAttempts": 4,
                "anonymous": True,
            },
            common
            | {
                "name": "tasting-rollout",
                "pathPrefix": "/steps/",
                "kind": "rollout",
                "service": "notes-lm",
                "timeoutMs": 10000,
                "targetLatencyMs": 400,
                "maxAttempts": 3,
                "dueMs": 7500,
                "maxWaitS": 40,
                "sticky": True,
                "canResume": True,
            },
        ],
        "services": [
            {"name": "desk-app", "healthPath": "/health", "maxConns": 110},
            {
                "name": "notes-lm",
                "healthPath": "/health",
                "maxConns": 180,
                "engine": {
                    "slots": 16,
                    "kvCacheTokens": 144391,
                    "models": [{"name": MODEL, "version": 1}],
                    "stride": 57,
                },
            },
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 33554432,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "acme", "apiKeys": [KEY]}],
    }


def _free_ports(ip: str) -> int:
    """Returns the first of some consecutive ports that are free."""
    while True:
        base = random.randrange(20_000, 60_000)
        try:
            for port in range(base, base + _PORTS):
                with socket.socket() as sock:
                    sock.bind((ip, port))
        except OSError:
            continue
        return base


def run_case(case: Any, folder: pathlib.Path, limit_s: float = 110.0) -> int:
    """Runs a case; returns 1 if its rule was broken, 0 if not, else 2.

    Args:
        case: Coroutine function with the record and whether to disturb; it
            returns what broke the rule.
        folder: Folder of the case, for its record.
        limit_s: Longest time of the case.
    """
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write("case", f"trouble {'on' if trouble else 'off'}")

    async def play() -> list[str]:
        task = asyncio.current_task()
        assert task is not None
        # The nodes are ended in any case.
        for signum in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(signum, task.cancel)
        async with asyncio.timeout(limit_s):
            return await case(record, trouble)

    try:
        broken = asyncio.run(play())
    except (Exception, asyncio.CancelledError) as exc:
        record.write("case", f"could not run: {exc!r}")
        return 2
    for line in broken:
        record.write("BROKEN", line)
    record.write("case", "broken" if broken else "held")
    return 1 if broken else 0
