"""Measures what a token costs on its way through the gateway."""

import asyncio
import time

import aiohttp
import msgspec
from capacity_slopes import show

from endivespindle.backends.http_client import HttpBackends
from endivespindle.demo.callers import CallerApp
from endivespindle.demo.deployment import Deployment
from endivespindle.schema.generated.backend import GenerateRequest
from endivespindle.schema.generated.demo import CallStream, DemoPlan, DemoVm
from endivespindle.schema.generated.register import Register

_MODEL = "desk-app"
_ACCOUNT = "hotel-khangai"
_AT_ONCE = 4
_TOKENS = (8, 512)


async def _run_streams(
    document: dict, *, max_tokens: int, count: int
) -> tuple[float, float]:
    """Returns the processor time by request, through a VM and without."""
    register_ = msgspec.convert(document, type=Register)
    plan = DemoPlan(
        title="capacity",
        register_file="",
        entry_vms=[DemoVm(name="vm-1", data_centre="ulaan")],
        engine_tick_s=0.002,
    )
    deployment = Deployment(plan=plan, register=register_, seed=1)
    await deployment.start()
    try:
        await asyncio.sleep(1.0)
        async with aiohttp.ClientSession() as session:
            through = await _through_vm(deployment, session, max_tokens, count)
            direct = await _direct(deployment, session, max_tokens, count)
    finally:
        await deployment.stop()
    return through / count, direct / count


async def _through_vm(
    deployment: Deployment,
    session: aiohttp.ClientSession,
    max_tokens: int,
    count: int,
) -> float:
    spec = CallStream(
        client_account=_ACCOUNT,
        model=_MODEL,
        count=count,
        at_once=_AT_ONCE,
        max_tokens=max_tokens,
        stream=True,
    )
    caller = CallerApp(
        spec=spec,
        key=deployment.keys[_ACCOUNT],
        entries=deployment.entries(),
        session=session,
    )
    start = time.process_time_ns()
    await caller.run(0.0)
    spent = (time.process_time_ns() - start) / 1000
    if caller.outcomes["ok"] != count:
        raise RuntimeError(f"calls failed: {caller.outcomes}")
    return spent


async def _direct(
    deployment: Deployment,
    session: aiohttp.ClientSession,
    max_tokens: int,
    count: int,
) -> float:
    backends = HttpBackends(session=session, single_use=session)
    server = next(
        server
        for server in deployment.register.backend_servers
        if server.service == _MODEL
    )
    numbers = iter(range(count))

    async def worker() -> None:
        for number in numbers:
            req = GenerateRequest(
                request_id=f"c-{number}",
                prompt=f"asks {number}",
                max_tokens=max_tokens,
            )
            async for _ in backends.generate(server, req, timeout_s=30.0):
                pass

    start = time.process_time_ns()
    await asyncio.gather(*(worker() for _ in range(_AT_ONCE)))
    return (time.process_time_ns() - start) / 1000


def tokens(document: dict) -> None:
    """Measures a stream through one VM, callers and engine in the process.

    Taking off what engine and client spend without the VM leaves the VM and
    its callers' side: an upper bound for the VM.
    """
    costs: dict[int, list[float]] = {}
    for max_tokens in _TOKENS:
        costs[max_tokens] = []
        for _ in range(3):
            through, direct = asyncio.run(
                _run_streams(document, max_tokens=max_tokens, count=100)
            )
            costs[max_tokens].append(through - direct)
        show(
            f"gateway, a stream of {max_tokens} tokens at most",
            "us",
            costs[max_tokens],
        )
    low, high = _TOKENS
    pairs = zip(sorted(costs[low]), sorted(costs[high]), strict=True)
    show(
        "gateway, slope",
        "us/token",
        [(b - a) / (high - low) for a, b in pairs],
    )
