"""Migration of completions away from slow servers."""

from endivespindle.batch.generation_speed import (
    baseline_event_interval_s,
    should_migrate,
)
from endivespindle.batch.tests.test_schedule import _engines, _place, _step


def _record_intervals(directory, **intervals):
    for name, interval_s in intervals.items():
        directory.get(name).record_event_interval(interval_s)
    return directory


def _migrates(
    interval_s,
    *,
    server_interval_s=None,
    received_events=10,
    remaining_events=30,
):
    return should_migrate(
        interval_s=interval_s,
        server_interval_s=interval_s
        if server_interval_s is None
        else server_interval_s,
        baseline_interval_s=0.04,
        received_events=received_events,
        remaining_events=remaining_events,
    )


def test_completion_migrates_from_a_server_that_became_slow():
    """A server becomes 3.6 times slower; 30 events of 40 ms are left."""
    assert _migrates(0.144)


def test_nearly_finished_completion_does_not_migrate():
    assert not _migrates(0.144, received_events=36, remaining_events=4)


def test_slow_completion_on_a_normal_server_does_not_migrate():
    """The server prefills other prompts between this completion's events."""
    assert not _migrates(0.052, server_interval_s=0.041, remaining_events=170)


def test_long_completion_migrates_from_a_slower_machine():
    """Machines differ by 1.3; 145 events end 1.7 s later on a slower one."""
    assert _migrates(0.052, remaining_events=135)
    assert not _migrates(0.052, remaining_events=30)


def test_one_late_event_does_not_cause_a_migration():
    assert not _migrates(0.9, received_events=2, remaining_events=100)


def test_one_fast_server_does_not_set_the_baseline():
    directory = _record_intervals(
        _engines(6), e0=0.01, e1=0.04, e2=0.04, e3=0.04, e4=0.05, e5=0.05
    )
    assert baseline_event_interval_s(directory) >= 0.03


def test_long_completions_go_to_fast_servers():
    directory = _record_intervals(_engines(2, slots=12), e0=0.14, e1=0.04)
    placed = _place([_step([60] * 2)], directory)
    assert {p.server.entry.name for p in placed} == {"e1"}


def test_migrated_completion_does_not_return_at_once():
    directory = _record_intervals(_engines(2, slots=12), e0=0.04, e1=0.05)
    job = _step([10], size=1)
    state = job.items["g0-0"]
    state.server, state.chunks = "e0", ["t1"]
    assert _place([job], directory)[0].server.entry.name == "e1"
