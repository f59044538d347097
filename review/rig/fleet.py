"""Starts nodes as the deploy file does, and calls them as clients do."""

import asyncio
import base64
import os
import pathlib
import shutil
import signal
import socket
import sys
import tempfile
import time
from types import TracebackType
from typing import Any, Self

import aiohttp
import msgspec
import yaml

from review.rig.platform import VALUE_BYTES, Platform
from review.rig.samplers import Sampler

__all__ = ["HOST", "Fleet", "Node", "make_item"]

HOST = "app.example"
ROOT = pathlib.Path(__file__).resolve().parents[2]
_START_LIMIT_S = 30.0
_PORTS_PER_NODE = 10
# Bounds of the small deployments, in the names of the settings file.
_BOUNDS = {
    "contactMs": 3000,
    "ackMs": 4000,
    "recoveryS": 4.3,
    "drainMs": 2000,
    "graceS": 8,
    "configApplyMs": 2000,
    "strictRevoke": True,
    "revokeMs": 5000,
    "leaseMs": 3000,
    "usageWindowS": 5,
    "usageLateS": 10,
    "statusS": 120,
    "cancelMs": 3000,
    "settleMs": 1000,
}


class Node:
    """A gateway or controller, and where it listens."""

    def __init__(self, *, name: str, is_gateway: bool, ip: str, port: int):
        self.name = name
        self.is_gateway = is_gateway
        self.ip = ip
        self.port = port
        self.proc: asyncio.subprocess.Process | None = None


class Fleet:
    """Nodes as processes of their own, around stand-ins in this one.

    Args:
        record: File that gets what was sent, answered and run.
        samplers: Samplers that are there from the start.
        config: First configuration.
        gateways: Number of gateways.
        controllers: Number of controllers.
        zones: Zones; the nodes are spread over them.
    """

    def __init__(
        self,
        *,
        record: pathlib.Path,
        samplers: list[Sampler],
        config: dict[str, Any],
        gateways: int = 2,
        controllers: int = 1,
        zones: tuple[str, ...] = ("a",),
    ):
        self.platform = Platform()
        self.samplers = samplers
        self.start_s = time.monotonic()
        self.nodes: dict[str, Node] = {}
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self._zones = zones
        self._config = config
        self._counts = (("g", gateways), ("c", controllers))
        self._record = record.open("w")
        self._session: aiohttp.ClientSession | None = None

    @property
    def gateways(self) -> list[Node]:
        """The gateways."""
        return [node for node in self.nodes.values() if node.is_gateway]

    def note(self, what: str, **fields: Any) -> None:
        """Writes a line with the time into the record."""
        line = {"s": round(time.monotonic() - self.start_s, 3), "what": what}
        self._record.write(msgspec.json.encode(line | fields).decode() + "\n")
        self._record.flush()

    async def __aenter__(self) -> Self:
        try:
            await self._start_all()
        except BaseException:
            await self._stop_all()
            raise
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self._stop_all()

    async def _start_all(self) -> None:
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(force_close=True, limit=0)
        )
        await self.platform.start()
        self.platform.write("config", "main", self._config)
        for sampler in self.samplers:
            await self.add_sampler(sampler)
        number = 0
        network = (
            f"127.{os.getpid() // 200 % 200 + 20}.{os.getpid() % 200 + 20}"
        )
        for letter, count in self._counts:
            for index in range(count):
                number += 1
                node = Node(
                    name=f"{letter}{index + 1}",
                    is_gateway=letter == "g",
                    ip=f"{network}.{number + 10}",
                    port=_free_ports(f"{network}.{number + 10}"),
                )
                self.nodes[node.name] = node
                self._write_settings(node, number)
                await self.start(node.name)
        async with asyncio.timeout(_START_LIMIT_S):
            for node in self.gateways:
                await self.wait_ready(node)
        self.note("ready", nodes=list(self.nodes))

    async def _stop_all(self) -> None:
        for node in self.nodes.values():
            if node.proc is not None and node.proc.returncode is None:
                node.proc.send_signal(signal.SIGCONT)
                node.proc.kill()
                await node.proc.wait()
        for sampler in self.samplers:
            await sampler.stop()
        await self.platform.stop()
        if self._session is not None:
            await self._session.close()
        self._record.close()
        shutil.rmtree(self.folder, ignore_errors=True)

    async def add_sampler(self, sampler: Sampler) -> None:
        """Starts a sampler and registers it in the store."""
        await sampler.start()
        self.register(sampler)

    def register(self, sampler: Sampler) -> None:
        """Writes a sampler's entry as it is now."""
        self.platform.write("servers", sampler.name, sampler.entry())

    def _write_settings(self, node: Node, number: int) -> None:
        listen = {}
        if node.is_gateway:
            listen = {
                "front": f"{node.ip}:{node.port}",
                "ready": f"{node.ip}:{node.port + 1}",
            }
        address = f"127.0.0.1:{self.platform.port}"
        doc = {
            "nodeName": node.name,
            "role": "gateway" if node.is_gateway else "controller",
            "machineClass": "front" if node.is_gateway else "storage",
            "serves": ["front" if node.is_gateway else "storage"],
            "ip": node.ip,
            "zone": self._zones[number % len(self._zones)],
            "zones": dict.fromkeys(self._zones, "r"),
            "listenAddrs": listen,
            "portRange": [node.port + 2, node.port + _PORTS_PER_NODE - 1],
            "bootstrap": True,
            "limits": {"cpuShare": 0.537, "cores": 2, "memoryMb": 300},
            "timingBounds": _BOUNDS,
            "platform": {
                "address": address,
                "form": "objects",
                "writesPerS": 400,
                "readsPerS": 2000,
                "historyS": 20,
                "valueBytes": VALUE_BYTES,
            },
            "cloudApi": {
                "address": address,
                "duties": ["usage_report", "autoscale"],
            },
        }
        path = self.folder / f"{node.name}.yaml"
        path.write_text(yaml.safe_dump(doc))

    async def start(self, name: str) -> None:
        """Starts a node's process, with the command of the deploy file."""
        node = self.nodes[name]
        env = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "ENDIVESPINDLE_BOOT": str(self.folder / f"{name}.yaml"),
        }
        with (self.folder / f"{name}.log").open("ab") as out:
            node.proc = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "endivespindle",
                "node",
                cwd=ROOT,
                env=env,
                stdout=out,
                stderr=out,
            )
        self.note("started", node=name, pid=node.proc.pid)

    def signal(self, name: str, signum: signal.Signals) -> None:
        """Sends a signal to a node that this rig started."""
        proc = self.nodes[name].proc
        if proc is not None and proc.returncode is None:
            proc.send_signal(signum)
            self.note("signal", node=name, signal=signum.name)

    def log_lines(self, name: str, event: str) -> list[dict[str, Any]]:
        """Returns the lines of a node's log with an event."""
        found = []
        for line in (self.folder / f"{name}.log").read_text().splitlines():
            if f'"{event}"' in line and line.startswith("{"):
                found.append(msgspec.json.decode(line))
        return found

    async def wait_ready(self, node: Node) -> None:
        """Waits until a gateway says that it takes clients."""
        while True:
            if await self.is_ready(node):
                return
            await asyncio.sleep(0.1)

    async def is_ready(self, node: Node) -> bool:
        """Returns whether a gateway says that it takes clients."""
        url = f"http://{node.ip}:{node.port + 1}/ready"
        try:
            async with self._session.get(
                url, timeout=aiohttp.ClientTimeout(total=1.0)
            ) as resp:
                return resp.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False

    async def call(
        self,
        node: Node,
        method: str,
        path: str,
        *,
        key: str | None = "key-1",
        body: bytes | None = None,
        timeout_s: float = 12.0,
        **headers: str,
    ) -> tuple[int, bytes]:
        """Makes one call on a new connection; status 0 stands for no answer."""
        send = {"Host": HOST}
        send |= {name.replace("_", "-"): v for name, v in headers.items()}
        if key is not None:
            send["Authorization"] = f"Bearer {key}"
        url = f"http://{node.ip}:{node.port}{path}"
        try:
            async with self._session.request(
                method,
                url,
                data=body,
                headers=send,
                timeout=aiohttp.ClientTimeout(total=timeout_s),
            ) as resp:
                return resp.status, await resp.read()
        except (aiohttp.ClientError, TimeoutError):
            return 0, b""

    async def submit(
        self,
        job_id: str,
        items: list[dict[str, Any]],
        *,
        path: str,
        deadline_s: float = 12.0,
        **fields: Any,
    ) -> float | None:
        """Submits a batch job until it gets 202, each time at another node.

        Returns:
            Time of the 202; None if there was none.
        """
        until_s = time.monotonic() + deadline_s
        for attempt in range(100):
            node = self.gateways[attempt % len(self.gateways)]
            left_s = until_s - time.monotonic()
            if left_s <= 0:
                return None
            status = await self.submit_once(
                node, job_id, items, path=path, timeout_s=left_s, **fields
            )
            self.note("submitted", job=job_id, node=node.name, status=status)
            if status == 202:
                return time.monotonic()
            await asyncio.sleep(0.5)
        return None

    async def submit_once(
        self,
        node: Node,
        job_id: str,
        items: list[dict[str, Any]],
        *,
        path: str,
        timeout_s: float = 12.0,
        **fields: Any,
    ) -> int:
        """Submits a batch job at one node; returns the status."""
        status, _ = await self.call(
            node,
            "POST",
            path,
            body=msgspec.json.encode({"items": items, **fields}),
            timeout_s=timeout_s,
            X_Request_Id=job_id,
        )
        return status

    async def read(
        self, node: Node, job_id: str, after: int = 0, *, key: str = "key-1"
    ) -> dict[str, Any] | None:
        """Reads results; None without a page."""
        status, body = await self.call(
            node, "GET", f"/lots/{job_id}?after={after}", key=key
        )
        return msgspec.json.decode(body) if status == 200 else None


def make_item(
    item_id: str, *, group: str, path: str, model: str, scorer: str
) -> dict[str, Any]:
    """Returns an item as a trainer sends it.

    Args:
        item_id: Its id.
        group: Its group.
        path: Path at the sampler.
        model: Its model.
        scorer: Path of the reward call.
    """
    body = base64.b64encode(f"prompt {item_id}".encode()).decode()
    return {
        "id": item_id,
        "path": path,
        "headers": {
            "X-Model": model,
            "X-Token-Count": "16,400",
            "X-Prompt-Prefix": f"{group.encode().hex()}:1000,{item_id}:16",
        },
        "body": body,
        "tokens": 416,
        "group": group,
        "scorer": {
            "id": f"ab{item_id}",
            "host": HOST,
            "path": f"{scorer}{item_id}",
            "body": body,
        },
    }


def _free_ports(ip: str) -> int:
    """Returns the first of some ports in a row that are free on an address."""
    for first in range(21_000 + os.getpid() % 400 * 20, 60_000, 20):
        with socket.socket() as probe:
            try:
                probe.bind((ip, first))
            except OSError:
                continue
            return first
    raise RuntimeError("no free ports")
