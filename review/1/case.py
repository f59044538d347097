"""A reward answer that comes twice becomes the score of a later sample."""

import asyncio
import json
import pathlib
import sys

from review.support.fleet import MODEL, Fleet, default_config, item, run_case
from review.support.record import Record
from review.support.samplers import Engine, PlainServer, Request

_LATE = "late"
_SLOW = "slow"
_COPY_DELAY_S = 0.5
_READ_INTERVAL_S = 0.5
_TRAINING_S = 0.5
_GROUPS = 10
_WANTED = 9
# Events of the texts; those of the first step end one after the other.
_EVENTS = {_LATE: 130, "again-3": 300, "again-4": 350, _SLOW: 400}
_EVENTS_LATER = {_LATE: 20, "again-3": 50, "again-4": 60, _SLOW: 40}


def _events_of(request: Request) -> int:
    """Returns the events of an item's text."""
    return _EVENTS[request.request_id]


class _Scorer(PlainServer):
    """Sends the answer to one of its requests a second time, late."""

    disturb = False

    def after_answer(
        self, request: Request, answer: bytes, writer: asyncio.StreamWriter
    ) -> None:
        if self.disturb and request.request_id == f"score-{_LATE}":
            self.disturb = False
            asyncio.get_running_loop().call_later(
                _COPY_DELAY_S, self._send_again, answer, writer
            )

    def _send_again(self, answer: bytes, writer: asyncio.StreamWriter) -> None:
        if not writer.transport.is_closing():
            writer.write(answer)
            self.record.write(self.name, f"sends score-{_LATE} again")


async def _read(fleet: Fleet, job_id: str, results: dict[str, dict]) -> None:
    status, _, body = await fleet.call(
        fleet.names[0], "GET", f"/lots/{job_id}?after={len(results)}"
    )
    if status == 200:
        for result in json.loads(body)["results"]:
            results[result["id"]] = result


def _complete_groups(items: list[dict], results: dict[str, dict]) -> int:
    groups: dict[str, bool] = {}
    for doc in items:
        whole = groups.get(doc["group"], True) and doc["id"] in results
        groups[doc["group"]] = whole
    return sum(groups.values())


async def _case(record: Record, trouble: bool) -> list[str]:
    scorer = _Scorer(name="p1", service="desk-app", record=record, slots=6)
    scorer.disturb = trouble
    slower = PlainServer(
        name="p2",
        service="desk-app",
        record=record,
        slots=6,
        zone="b",
        work_s=1.3 * scorer.work_s,
    )
    engines = [
        Engine(
            name=f"e{n}",
            service="notes-lm",
            record=record,
            slots=16,
            events_of=_events_of,
        )
        for n in (1, 2, 3)
    ]
    for engine in engines:
        engine.models[MODEL] = 1
    async with Fleet(
        record=record,
        samplers=[scorer, slower, *engines],
        config=default_config(),
    ) as fleet:
        shared = [
            item(name, group="again")
            for name in (_SLOW, _LATE, "again-3", "again-4")
        ]
        first = shared + [
            item(f"first-{g}-{n}", group=f"first-{g}")
            for g in range(1, _GROUPS)
            for n in range(4)
        ]
        for n, doc in enumerate(first[4:]):
            _EVENTS[doc["id"]] = 4 + 3 * n
        results: dict[str, dict] = {}
        await fleet.submit("job-0", first, groups=_WANTED)
        while (
            _complete_groups(first, results) < _WANTED or _LATE not in results
        ):
            await asyncio.sleep(_READ_INTERVAL_S)
            await _read(fleet, "job-0", results)
        await fleet.call(fleet.names[0], "DELETE", "/lots/job-0")
        await asyncio.sleep(_TRAINING_S)
        fleet.store.write("versions", MODEL, {"model": MODEL, "version": 2})
        _EVENTS.update(_EVENTS_LATER)
        second = shared + [
            item(f"second-{n}", group="second") for n in range(4)
        ]
        for n, doc in enumerate(second[4:]):
            _EVENTS[doc["id"]] = 70 + 10 * n
        results = {}
        await fleet.submit("job-1", second, step=1, least=2, groups=2)
        while len(results) < len(second):
            await asyncio.sleep(_READ_INTERVAL_S)
            await _read(fleet, "job-1", results)
        return _check(record, [scorer, slower], engines, results)


def _check(
    record: Record,
    scorers: list[PlainServer],
    engines: list[Engine],
    results: dict[str, dict],
) -> list[str]:
    """Returns the results whose score is not that of their own text."""
    broken = []
    calls = {
        f"{scorer.name}.{n}.{run.request_id}": run
        for scorer in scorers
        for n, run in enumerate(scorer.runs, 1)
    }
    for item_id, result in results.items():
        if result["state"] != "complete":
            continue
        call = calls.get(result["score"])
        made_s = max(engine.made.get(item_id, 0.0) for engine in engines)
        record.write(
            "check", f"{item_id}: {result['versions']} {result['score']}"
        )
        if call is None or call.request_id != f"score-{item_id}":
            broken.append(f"MIXED: {item_id} has no score of its own")
        elif call.arrived_s < made_s:
            broken.append(
                f"MIXED: the reward call of {item_id} reached its sampler"
                f" {made_s - call.arrived_s:.2f} s before the last event"
            )
    return broken


if __name__ == "__main__":
    sys.exit(run_case(_case, pathlib.Path(__file__).parent))
