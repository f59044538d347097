"""What a register may not change."""

import copy
import pathlib

import pytest

from endivespindle.core.ids import SeededIdSource
from endivespindle.demo.load import read_toml
from endivespindle.exceptions import CheckError
from endivespindle.standins.memory_store import MemoryObjectStore
from endivespindle.store.apply import apply_register

_REGISTER = (
    pathlib.Path(__file__).resolve().parents[1]
    / "examples/coral_vows/register.toml"
)


async def test_length_of_windows_stays_once_it_is_in_force():
    store = MemoryObjectStore()
    ids = SeededIdSource(seed=1)
    document = read_toml(_REGISTER)
    await apply_register(store, document=document, ids=ids)
    changed = copy.deepcopy(document)
    changed["rules"]["usage_window_s"] = 77.0
    with pytest.raises(CheckError, match="usage_window_s"):
        await apply_register(store, document=changed, ids=ids)
    changed["rules"] = document["rules"]
    root = await apply_register(store, document=changed, ids=ids)
    assert root.revision == 2
