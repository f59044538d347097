"""Long prompts among short ones on the same servers.

Each test replays a load on a model of the servers' reading: prompts are read
one after the other at a fixed speed, and what runs beside them waits.
"""

import random

import pytest

from endivespindle.batch.job import JobState
from endivespindle.batch.schedule import place_items
from endivespindle.batch.tests.jobs import item, submission
from endivespindle.core.clock import ManualClock
from endivespindle.serving.directory import ServerDirectory
from endivespindle.serving.prompt_queue import prompt_cost_s
from endivespindle.serving.tests.configs import server

TOKENS_PER_S = 10_000.0
LONG = 8_000
SHORT = 100
SERVERS = 6


def _prompt(name, tokens):
    return item(name, prompt_tokens=tokens, own_prompt_tokens=tokens)


class _World:
    def __init__(self, *, aware, seed=1, slots=8):
        self.clock = ManualClock()
        self.aware = aware
        self.rng = random.Random(seed)
        self.directory = ServerDirectory(clock=self.clock)
        for number in range(SERVERS):
            self.directory.put(
                server(
                    f"e{number}",
                    service="engine",
                    slots=slots,
                    versions={"m": 1},
                )
            )
        self.first_event_s = {}
        self.server_of = {}

    def submit(self, items, name="j"):
        """Places the items; their prompts are read in this order."""
        job = JobState(submission=submission(items, job_id=name))
        placed = place_items(
            [job],
            {"engine": self.directory.available_servers("engine")},
            data_centre="a",
            now_s=0.0,
            rng=self.rng,
            prompt_tokens_per_s=TOKENS_PER_S if self.aware else None,
        )
        for placement in placed:
            view, state = placement.server, placement.state
            view.begin_request()
            view.prompts.add(state.item.prompt_tokens)
            name = state.item.item_id
            self.first_event_s[name] = view.prompts.tokens / TOKENS_PER_S
            self.server_of[name] = view.entry.name
        return placed

    def worst_s(self, prefix):
        return max(
            delay_s
            for name, delay_s in self.first_event_s.items()
            if name.startswith(prefix)
        )


def _burst(world):
    """Long prompts are being read when short ones come."""
    world.submit([_prompt(f"long{n}", LONG) for n in range(2)], "long")
    world.submit([_prompt(f"short{n}", SHORT) for n in range(24)], "short")


@pytest.mark.parametrize("seed", range(5))
def test_short_prompts_do_not_wait_for_long_ones(seed):
    world = _World(aware=True, seed=seed)
    _burst(world)
    assert world.worst_s("short") <= 24 * SHORT / TOKENS_PER_S
    # The long ones are read as soon as they would be alone.
    assert world.worst_s("long") <= 2 * LONG / TOKENS_PER_S


def test_without_the_setting_some_short_prompts_wait_for_long_ones():
    """Why the length counts: the same load, placed by requests alone."""
    worst = []
    for seed in range(5):
        world = _World(aware=False, seed=seed)
        _burst(world)
        worst.append(world.worst_s("short"))
    assert max(worst) >= LONG / TOKENS_PER_S


def test_all_long_prompts_spread_over_all_servers():
    world = _World(aware=True)
    world.submit([_prompt(f"long{n}", LONG) for n in range(12)])
    assert len(set(world.server_of.values())) == SERVERS
    assert world.worst_s("long") <= 2 * LONG / TOKENS_PER_S


def test_a_long_prompt_goes_where_the_least_runs():
    world = _World(aware=True)
    for view in list(world.directory)[:-1]:
        for _ in range(6):
            view.begin_request()
    world.submit([_prompt("long", LONG)])
    assert world.server_of["long"] == f"e{SERVERS - 1}"


def test_a_prompt_larger_than_what_is_free_still_gets_a_server():
    """No long one starves while short ones keep coming."""
    world = _World(aware=True)
    for number in range(4):
        world.submit([_prompt(f"short{number}-{n}", SHORT) for n in range(8)])
    placed = world.submit([_prompt("long", 20 * LONG)], "long")
    assert len(placed) == 1


def test_a_prompt_counts_no_longer_once_it_was_read():
    world = _World(aware=True)
    world.submit([_prompt("long", LONG)])
    view = world.directory.get(world.server_of["long"])
    assert view.prompts.tokens == LONG
    view.prompts.remove(0)
    view.prompts.remove(0)
    assert view.prompts.tokens == 0


def test_the_shared_part_of_a_group_counts_once_at_a_server():
    world = _World(aware=True)
    items = [
        item(f"i{n}", group="g", prompt_tokens=LONG, own_prompt_tokens=16)
        for n in range(6)
    ]
    world.submit(items)
    # The group stays together: the others would read the shared part again.
    assert len(set(world.server_of.values())) == 1


@pytest.mark.parametrize("running", [0.0, 4.0, 30.0])
def test_the_cost_grows_with_what_waits_and_what_runs(running):
    fields = {"slots": 8, "tokens_per_s": TOKENS_PER_S}
    cost_s = prompt_cost_s(
        tokens=LONG, queued_tokens=0, running=running, **fields
    )
    assert cost_s >= LONG / TOKENS_PER_S
    assert cost_s <= 2 * LONG / TOKENS_PER_S
    assert cost_s < prompt_cost_s(
        tokens=LONG, queued_tokens=LONG, running=running, **fields
    )
