"""Accepting a register: races, lost and late writes."""

import pytest

from endivespindle.core.ids import SeededIdSource
from endivespindle.exceptions import AnswerLostError, CheckError
from endivespindle.register.active_revision import ActiveRevision
from endivespindle.standins.memory_store import MemoryObjectStore
from endivespindle.store.apply import (
    ROOT_KIND,
    apply_register,
    read_register,
)


def _document(*services: str) -> dict:
    return {
        "data_centres": [{"name": "d"}],
        "services": [{"name": name, "kind": "plain"} for name in services],
        "backend_servers": [],
        "client_accounts": [{"name": "a"}],
        "routes": [],
    }


class _RacedStore(MemoryObjectStore):
    """Calls back once, directly before the root is moved."""

    def __init__(self, before_move) -> None:
        super().__init__()
        self._before_move = before_move

    async def put(self, *, kind, name, value, expect_version):
        if kind == ROOT_KIND and self._before_move is not None:
            before_move, self._before_move = self._before_move, None
            await before_move(self)
        return await super().put(
            kind=kind, name=name, value=value, expect_version=expect_version
        )


async def _apply(store, document, seed=1, expect=None):
    return await apply_register(
        store,
        document=document,
        ids=SeededIdSource(seed=seed),
        expect_revision=expect,
    )


async def test_lost_answers_do_not_hide_an_accepted_revision():
    store = MemoryObjectStore()
    store.faults.lose_answers = 2
    assert (await _apply(store, _document("s"))).revision == 1
    assert (await read_register(store))[0].revision == 1


async def test_write_that_did_not_arrive_is_repeated():
    async def lose(store):
        raise AnswerLostError("lost on its way there")

    store = _RacedStore(lose)
    assert (await _apply(store, _document("s"))).revision == 1
    assert (await read_register(store))[0].revision == 1


async def test_loser_of_a_race_changes_nothing_and_learns_what_did():
    async def race(store):
        await _apply(store, _document("s", "new"), seed=2)

    store = MemoryObjectStore()
    await _apply(store, _document("s"))
    raced = _RacedStore(race)
    raced._objects, raced._version = store._objects, store._version
    with pytest.raises(CheckError) as caught:
        await _apply(raced, _document("other"), seed=3)
    told = [finding.message for finding in caught.value.findings]
    assert "since then: services/new added" in told
    root, register = await read_register(raced)
    assert root.revision == 2
    assert [s.name for s in register.services] == ["s", "new"]


async def test_operator_who_started_two_revisions_ago_is_told_all():
    store = MemoryObjectStore()
    for services in (["s"], ["s", "x"], ["x"]):
        await _apply(store, _document(*services))
    with pytest.raises(CheckError) as caught:
        await _apply(store, _document("z"), expect=1)
    told = [finding.message for finding in caught.value.findings]
    assert told[1:] == [
        "since then: services/s removed",
        "since then: services/x added",
    ]


async def test_older_and_mangled_revisions_never_come_into_force():
    store, vm = MemoryObjectStore(), ActiveRevision()
    taken = []
    for services in (["s"], ["s", "x"]):
        root = await _apply(store, _document(*services))
        obj = await store.get(
            kind="register-revision",
            name=f"{root.revision}-{root.digest[:16]}",
        )
        taken.append((root, obj.value))
    assert not vm.apply_if_newer(root=taken[1][0], body=taken[0][1])
    assert vm.view is None
    assert vm.apply_if_newer(root=taken[1][0], body=taken[1][1])
    assert not vm.apply_if_newer(root=taken[0][0], body=taken[0][1])
    assert vm.revision == 2
