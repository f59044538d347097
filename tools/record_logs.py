"""Records the logs and metrics of nodes in faults that tests explain.

The stand-in fleet of the tests plays each fault; what its processes wrote is
stored in tests/recorded, one folder for each fault.
"""

import asyncio
import contextlib
import json
import pathlib
import shutil
import sys
import tempfile
from collections.abc import Awaitable, Callable

import aiohttp

from endivespindle.standins.users_server import CRASHING_BODY
from tests.node_fleet import HOST, KEY, NodeFleet

ROOT = pathlib.Path(__file__).resolve().parent.parent
TARGET = ROOT / "tests/recorded"
_GATEWAYS = ("g1", "g2")
_LIMIT_S = 60.0


def main() -> int:
    """Records all faults."""
    for name, play in _FAULTS.items():
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f"record-{name}-"))
        asyncio.run(_record(name, play, folder))
        shutil.rmtree(folder)
        print(f"recorded {name}")
    return 0


async def _record(
    name: str,
    play: Callable[[NodeFleet], Awaitable[str]],
    folder: pathlib.Path,
) -> None:
    target = TARGET / name
    target.mkdir(parents=True, exist_ok=True)
    fleet = NodeFleet(folder)
    fleet.engines[1].software = "v2"
    async with fleet, asyncio.timeout(_LIMIT_S):
        refused_id = await play(fleet)
        for node in _GATEWAYS:
            url = f"http://{fleet.nodes[node].ip}:9464/metrics"
            async with fleet.session.get(url) as resp:
                (target / f"{node}.metrics").write_text(await resp.text())
        await asyncio.sleep(0.5)
    for node in fleet.nodes.values():
        shutil.copy(node.log, target / f"{node.name}.log")
    case = {"refused_id": refused_id}
    (target / "case.json").write_text(json.dumps(case) + "\n")


async def _repeat_crashing_request(fleet: NodeFleet) -> str:
    """Repeats a request until a gateway other than the first refuses it."""
    number = 0
    while True:
        request_id = f"report-{number}"
        status, _, _ = await fleet.call(
            _GATEWAYS[number % 2],
            "POST",
            "/orders/crash",
            body=CRASHING_BODY,
            **{"X-Request-Id": request_id},
        )
        crashes = sum(len(server.crashes) for server in fleet.plain)
        if status == 503 and number % 2 and crashes >= 3:
            return request_id
        number += 1
        await asyncio.sleep(0.4)


async def _exceed_limit(fleet: NodeFleet) -> str:
    """Sends more requests than the servers of a service accept."""
    for server in fleet.plain:
        server.faults.limit_per_s = 1.0
    number = 0
    while True:
        request_id = f"order-{number}"
        status, _, _ = await fleet.call(
            "g1",
            "POST",
            "/orders/1",
            body=b"tea",
            **{"X-Request-Id": request_id},
        )
        if status == 503:
            return request_id
        number += 1


async def _remove_software(fleet: NodeFleet) -> str:
    """Takes a stream up whose software no server runs any more."""
    for engine in fleet.engines:
        engine.faults.break_after = 2
    await _stream(fleet, "g1", "chat-1")
    began = next(e for e in fleet.engines if e.runs)
    fleet.platform.remove("servers", began.name)
    await asyncio.sleep(1.0)
    went_on = {"Resumes": "chat-1", "Last-Event-Id": "2"}
    await _stream(fleet, "g2", "chat-2", **went_on)
    return "chat-2"


async def _stream(
    fleet: NodeFleet, name: str, request_id: str, **headers: str
) -> None:
    node = fleet.nodes[name]
    async with fleet.session.post(
        f"http://{node.ip}:{node.port}/chat/1",
        data=b"hello",
        headers={
            "Host": HOST,
            "Authorization": f"Bearer {KEY}",
            "X-Model": "m",
            "X-Request-Id": request_id,
            **headers,
        },
    ) as resp:
        with contextlib.suppress(aiohttp.ClientPayloadError):
            await resp.read()


_FAULTS = {
    "crashing_request": _repeat_crashing_request,
    "server_limit": _exceed_limit,
    "software_gone": _remove_software,
}


if __name__ == "__main__":
    sys.exit(main())
