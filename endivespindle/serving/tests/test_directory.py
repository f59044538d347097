"""What one VM knows of backend servers."""

import random

from endivespindle.core.clock import ManualClock
from endivespindle.serving.directory import ServerDirectory
from endivespindle.serving.placement import place_request
from endivespindle.serving.retry_after import retry_after_s
from endivespindle.serving.tests.configs import server


def test_a_draining_server_takes_no_new_work():
    directory = ServerDirectory(clock=ManualClock())
    directory.put(server("s1"))
    directory.put(server("s1", draining=True))
    assert directory.available_servers("plain") == []


def test_a_new_incarnation_starts_from_nothing():
    directory = ServerDirectory(clock=ManualClock())
    old = directory.put(server("s1", versions={"m": 7}))
    old.begin_request()
    new = directory.put(server("s1", started_ms=2, versions={"m": 1}))
    assert (new.in_flight, new.versions) == (0, {"m": 1})


def test_an_entry_of_an_earlier_incarnation_is_left_out():
    directory = ServerDirectory(clock=ManualClock())
    directory.put(server("s1", started_ms=2))
    directory.put(server("s1", started_ms=1, draining=True))
    assert len(directory.available_servers("plain")) == 1


def test_a_version_seen_in_an_answer_outlives_an_older_entry():
    directory = ServerDirectory(clock=ManualClock())
    view = directory.put(server("s1", versions={"m": 1}))
    view.record_version("m", 3)
    directory.put(server("s1", versions={"m": 2}))
    assert view.versions == {"m": 3}


def test_others_load_fades_with_age():
    clock = ManualClock()
    view = ServerDirectory(clock=clock).put(server("s1"))
    view.record_load(running=4, waiting=4)
    assert view.load() == 8
    clock.advance(1.0)
    assert view.load() == 4


def test_a_failing_server_is_paused_and_then_tried_again():
    clock = ManualClock()
    directory = ServerDirectory(clock=clock)
    bad, good = directory.put(server("s1")), directory.put(server("s2"))
    bad.begin_request()
    bad.end_request(failed=True)
    rng = random.Random(1)

    def placed():
        views = directory.available_servers("plain")
        return place_request(views, tried=(), data_centre="a", rng=rng)

    assert {placed() for _ in range(20)} == {good}
    clock.advance(1.0)
    assert bad in {placed() for _ in range(40)} or not bad.is_paused()


def test_the_only_server_is_tried_though_paused():
    directory = ServerDirectory(clock=ManualClock())
    view = directory.put(server("s1"))
    view.pause(5.0)
    rng = random.Random(1)
    views = directory.available_servers("plain")
    assert place_request(views, tried=(), data_centre="a", rng=rng) is view
    assert place_request(views, tried=("s1",), data_centre="a", rng=rng) is None


def test_a_burst_beyond_all_slots_spreads_over_its_duration():
    """300 callers meet 12 slots of 0.1 s each: the excess takes 2.4 s."""
    directory = ServerDirectory(clock=ManualClock())
    for name in ("s1", "s2", "s3"):
        view = directory.put(server(name))
        view.begin_request()
        view.end_request(failed=False, duration_s=0.1)
        view.record_load(running=4, waiting=96)
    rng = random.Random(1)
    views = directory.available_servers("plain")
    waits = sorted(retry_after_s(views, rng=rng) for _ in range(200))
    assert waits[0] >= 0.5 and waits[-1] <= 1.0
    assert waits[150] - waits[50] > 0.2


def test_without_a_burst_a_refused_caller_comes_back_soon():
    directory = ServerDirectory(clock=ManualClock())
    view = directory.put(server("s1"))
    view.begin_request()
    view.end_request(failed=False, duration_s=0.03)
    assert retry_after_s([view], rng=random.Random(1)) <= 0.1
