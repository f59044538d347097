"""Texts on servers that turn slow."""

from endivespindle.batch.generation_speed import best_pace, should_move
from endivespindle.batch.tests.test_schedule import _engines, _place, _step


def _paces(directory, **paces):
    for name, pace_s in paces.items():
        directory.get(name).saw_event(pace_s)
    return directory


def _moves(pace_s, *, server_pace_s=None, done=10, rest=30):
    return should_move(
        pace_s=pace_s,
        server_pace_s=pace_s if server_pace_s is None else server_pace_s,
        best_s=0.04,
        done=done,
        rest=rest,
    )


def test_a_text_leaves_a_server_that_turned_slow():
    """A server turns 3.6 times slower; 30 events of 40 ms are left."""
    assert _moves(0.144)


def test_a_text_that_is_nearly_whole_stays():
    assert not _moves(0.144, done=36, rest=4)


def test_a_slow_text_on_an_ordinary_server_stays():
    """The server reads other prompts between this text's events."""
    assert not _moves(0.052, server_pace_s=0.041, rest=170)


def test_a_long_text_leaves_a_slower_machine():
    """Machines differ by 1.3; a text of 145 events ends 1.7 s later there."""
    assert _moves(0.052, rest=135)
    assert not _moves(0.052, rest=30)


def test_one_late_event_moves_nothing():
    assert not _moves(0.9, done=2, rest=100)


def test_one_fast_server_does_not_set_the_measure():
    directory = _paces(
        _engines(6), e0=0.01, e1=0.04, e2=0.04, e3=0.04, e4=0.05, e5=0.05
    )
    assert best_pace(directory) >= 0.03


def test_long_texts_go_to_fast_servers():
    directory = _paces(_engines(2, slots=12), e0=0.14, e1=0.04)
    placed = _place([_step([60] * 2)], directory)
    assert {p.server.entry.name for p in placed} == {"e1"}


def test_a_moved_text_does_not_come_back_at_once():
    directory = _paces(_engines(2, slots=12), e0=0.04, e1=0.05)
    job = _step([10], size=1)
    state = job.items["g0-0"]
    state.server, state.pieces = "e0", ["t1"]
    assert _place([job], directory)[0].server.entry.name == "e1"
