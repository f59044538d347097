"""Fencing numbers of orders to one engine, over several trainers."""

import copy
import json

import msgspec

from endivespindle.node.lease_keeper import LEASE_KIND
from endivespindle.schema.generated.stored import LeaseRecord
from tests import test_golden_sessions as sessions


async def _two_trainers_publish(session):
    released = LeaseRecord(
        holder="", epoch=7, renewal=7, term_s=6.0, token="old"
    )
    await session.store.put(
        kind=LEASE_KIND,
        name="trainers/notes",
        value=msgspec.json.encode(released),
        expect_version=0,
    )
    await session.start("ulaan-1")
    for name in ("writer", "critic"):
        await session.ask(
            "trainer",
            "POST",
            f"/rollout/v1/trainers/{name}/version",
            {"version": 1},
        )
    await sessions.asyncio.sleep(5.0)


def test_numbers_never_fall_at_one_engine(monkeypatch):
    """An engine that checks would refuse the trainer with the lower epoch."""
    register = copy.deepcopy(sessions._REGISTER)
    second = {**register["trainers"][0], "name": "critic"}
    register["trainers"].append(second)
    monkeypatch.setattr(sessions, "_REGISTER", register)
    numbers = {}
    for line in sessions.play(_two_trainers_publish).splitlines():
        if " is ordered: " in line:
            engine, _, order = line.partition(" is ordered: ")
            number = json.loads(order)["fencing_number"]
            numbers.setdefault(engine.split()[-1], []).append(number)
    assert numbers
    for seen in numbers.values():
        assert seen == sorted(seen)
