"""Background tasks go on after errors that nobody thought of."""

import asyncio
import random

from endivespindle.runtime.kind_watcher import KindWatcher
from endivespindle.runtime.supervision import run_supervised
from endivespindle.runtime.telemetry import EventLog
from endivespindle.standins.memory_store import MemoryObjectStore
from tests.virtual_loop import LoopClock, run_virtual


def _log():
    clock = LoopClock(loop=asyncio.get_running_loop())
    return EventLog(clock=clock, fields={})


def test_a_task_runs_again_until_it_returns():
    outcomes = [ValueError("odd"), RecursionError(), None]

    async def work():
        outcome = outcomes.pop(0)
        if outcome is not None:
            raise outcome

    async def main():
        await run_supervised("work", work, log=_log())

    run_virtual(main())
    assert not outcomes


def test_a_watcher_goes_on_past_an_object_that_cannot_be_applied():
    """Pattern: another writer leaves one odd entry; the others change on."""
    known = {}

    def apply(obj):
        if obj.name == "odd":
            raise OverflowError("port must be 0-65535")
        known[obj.name] = obj.value

    def apply_all(objects):
        for obj in objects:
            apply(obj)

    async def main():
        store = MemoryObjectStore()
        for name in ("a", "odd", "z"):
            await store.put(
                kind="servers", name=name, value=b"1", expect_version=0
            )
        watcher = KindWatcher(
            store=store,
            kind="servers",
            wait_s=1.0,
            clock=LoopClock(loop=asyncio.get_running_loop()),
            rng=random.Random(1),
            log=_log(),
            on_list=apply_all,
            on_change=apply,
        )
        task = asyncio.create_task(watcher.run())
        await asyncio.sleep(0.5)
        assert set(known) == {"a", "z"}
        await store.put(
            kind="servers", name="odd2", value=b"2", expect_version=0
        )
        odd = await store.get(kind="servers", name="odd")
        await store.put(
            kind="servers", name="odd", value=b"3", expect_version=odd.version
        )
        await store.put(
            kind="servers", name="late", value=b"4", expect_version=0
        )
        await asyncio.sleep(2.0)
        assert not task.done()
        task.cancel()

    run_virtual(main())
    assert known["late"] == b"4"
    assert known["odd2"] == b"2"
