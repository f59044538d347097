"""Closing and reporting usage windows under one fault at a time."""

from endivespindle.usage.billing import is_billed
from endivespindle.usage.closing import SendReport
from endivespindle.usage.tests.usage_simulation import (
    GRACE_S,
    WINDOW_S,
    UsageSimulation,
)
from endivespindle.usage.verify import verify_reports


def _closed_world(accounts=("amber", "birch")):
    world = UsageSimulation()
    for account in accounts:
        world.vms[0].serve(account, 5)
    world.vms[0].flush()
    world.clock.advance(WINDOW_S + GRACE_S)
    return world


def _run(world, steps=40, refuse=""):
    holder = world.holders[0]
    sent = []
    for _ in range(steps):
        holder.acquire()
        holder.start()
        action = holder.inflight[0]
        outcome = "ok"
        if isinstance(action, SendReport):
            sent.append(action.report.client_account)
            if action.report.client_account == refuse:
                outcome = "not_taken"
        holder.finish(outcome)
    return sent


def test_refused_report_does_not_block_other_accounts():
    world = _closed_world()
    sent = _run(world, refuse="amber")
    assert "birch" in sent
    assert sent.count("amber") == 1
    world.clock.advance(5.0)
    assert _run(world, refuse="amber") == ["amber"]


def test_late_part_becomes_one_correction_line():
    world = _closed_world(("amber",))
    window = world.window() - 1
    _run(world)
    late = world.vms[1]
    late.ledger.add_request(
        window=window,
        client_account="amber",
        service="s",
        outcome="ran",
        prompt_tokens=1,
        output_tokens=2,
    )
    late.flush()
    for _ in range(3):
        world.clock.advance(WINDOW_S)
        _run(world)
    lines = [line for r in world.reports()["amber"] for line in r.lines]
    assert [(line.corrects, line.requests) for line in lines] == [
        (-1, 1),
        (window, 1),
    ]


def test_interface_down_for_hours_loses_no_report():
    world = _closed_world(("amber",))
    world.is_interface_down = True
    for _ in range(60):
        world.vms[0].serve("amber", 1)
        world.vms[0].flush()
        world.clock.advance(WINDOW_S)
        _run(world, steps=8)
    world.recover_and_close_all()
    reports = world.reports()["amber"]
    assert sum(line.requests for r in reports for line in r.lines) == 61
    assert verify_reports(reports) == []


def test_verify_finds_a_changed_count_and_a_missing_report():
    world = _closed_world(("amber",))
    for _ in range(3):
        world.vms[0].serve("amber", 1)
        world.vms[0].flush()
        world.clock.advance(WINDOW_S)
        _run(world)
    reports = world.reports()["amber"]
    assert verify_reports(reports) == []
    assert verify_reports([reports[0], *reports[2:]]) != []
    reports[1].lines[0].output_tokens += 1
    assert verify_reports(reports) != []


def test_waived_work_is_not_billed():
    assert not is_billed("waived")
    assert is_billed("ran") and is_billed("cancelled")


def test_backoff_of_a_refused_report_grows():
    world = _closed_world(("amber",))
    waits = []
    for _ in range(4):
        start_s = world.clock.monotonic()
        while "amber" not in _run(world, steps=3, refuse="amber"):
            world.clock.advance(0.25)
        waits.append(world.clock.monotonic() - start_s)
    assert waits[1] < waits[2] < waits[3]
