"""Directory of backend servers, placement and retry delays."""

import random

from endivespindle.core.clock import ManualClock
from endivespindle.serving.directory import ServerDirectory
from endivespindle.serving.placement import place_request
from endivespindle.serving.retry_after import retry_after_s
from endivespindle.serving.tests.configs import server


def test_draining_server_gets_no_new_requests():
    directory = ServerDirectory(clock=ManualClock())
    directory.put(server("s1"))
    directory.put(server("s1", draining=True))
    assert directory.available_servers("plain") == []


def test_announced_shutdown_outlives_an_older_entry():
    """The store's entry says ready for seconds after the response."""
    announced = []
    directory = ServerDirectory(
        clock=ManualClock(), on_leaving=announced.append
    )
    view = directory.put(server("s1"))
    view.announce_leaving()
    view.announce_leaving()
    directory.put(server("s1", versions={"m": 2}))
    assert directory.available_servers("plain") == []
    assert announced == [view]


def test_announced_shutdown_outlives_a_list_without_the_server():
    """Entries that lapsed in an outage of the store come back."""
    directory = ServerDirectory(clock=ManualClock())
    directory.put(server("s1")).announce_leaving()
    directory.remove("s1")
    directory.put(server("s1"))
    assert directory.available_servers("plain") == []


def test_new_incarnation_of_a_server_that_left_is_used():
    directory = ServerDirectory(clock=ManualClock())
    directory.put(server("s1")).announce_leaving()
    new = directory.put(server("s1", started_ms=2))
    assert directory.available_servers("plain") == [new]


def test_entry_withdraws_only_the_shutdown_that_an_entry_announced():
    directory = ServerDirectory(clock=ManualClock())
    view = directory.put(server("s1", draining=True))
    directory.put(server("s1"))
    assert view.accepts_requests()
    directory.put(server("s1", draining=True))
    view.announce_leaving()
    directory.put(server("s1"))
    assert not view.accepts_requests()


def test_removed_server_that_was_chosen_before_accepts_nothing():
    directory = ServerDirectory(clock=ManualClock())
    view = directory.put(server("s1"))
    directory.remove("s1")
    assert not view.accepts_requests()
    assert directory.put(server("s1")).accepts_requests()


def test_new_incarnation_starts_without_observed_state():
    directory = ServerDirectory(clock=ManualClock())
    old = directory.put(server("s1", versions={"m": 7}))
    old.begin_request()
    new = directory.put(server("s1", started_ms=2, versions={"m": 1}))
    assert (new.in_flight, new.versions) == (0, {"m": 1})


def test_entry_of_an_earlier_incarnation_is_ignored():
    directory = ServerDirectory(clock=ManualClock())
    directory.put(server("s1", started_ms=2))
    directory.put(server("s1", started_ms=1, draining=True))
    assert len(directory.available_servers("plain")) == 1


def test_older_entry_does_not_override_a_version_of_a_response():
    directory = ServerDirectory(clock=ManualClock())
    view = directory.put(server("s1", versions={"m": 1}))
    view.record_version("m", 3)
    directory.put(server("s1", versions={"m": 2}))
    assert view.versions == {"m": 3}


def test_reported_load_of_other_vms_decays():
    clock = ManualClock()
    view = ServerDirectory(clock=clock).put(server("s1"))
    view.record_load(running=4, waiting=4)
    assert view.load() == 8
    clock.advance(1.0)
    assert view.load() == 4


def test_failing_server_is_paused_and_then_tried_again():
    clock = ManualClock()
    directory = ServerDirectory(clock=clock)
    failing, healthy = directory.put(server("s1")), directory.put(server("s2"))
    failing.begin_request()
    failing.end_request(failed=True)
    rng = random.Random(1)

    def placed():
        views = directory.available_servers("plain")
        return place_request(views, tried=(), data_centre="a", rng=rng)

    assert {placed() for _ in range(20)} == {healthy}
    clock.advance(1.0)
    assert failing in {placed() for _ in range(40)} or not failing.is_paused()


def test_only_server_is_tried_although_paused():
    directory = ServerDirectory(clock=ManualClock())
    view = directory.put(server("s1"))
    view.pause(5.0)
    rng = random.Random(1)
    views = directory.available_servers("plain")
    assert place_request(views, tried=(), data_centre="a", rng=rng) is view
    assert place_request(views, tried=("s1",), data_centre="a", rng=rng) is None


def test_retries_after_a_burst_are_spread_over_its_duration():
    """300 requests at 12 slots of 0.1 s each: the excess takes 2.4 s."""
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


def test_retry_delay_is_short_without_a_burst():
    directory = ServerDirectory(clock=ManualClock())
    view = directory.put(server("s1"))
    view.begin_request()
    view.end_request(failed=False, duration_s=0.03)
    assert retry_after_s([view], rng=random.Random(1)) <= 0.1


def test_requests_that_fail_as_their_path_is_lost_do_not_pause_a_server():
    """Pattern: 80 streams of a step end at once when the path is cut."""
    clock = ManualClock()
    directory = ServerDirectory(clock=clock)
    view = directory.put(server("s1"))
    for _ in range(80):
        view.begin_request()
    started_s = clock.monotonic()
    clock.advance(1.0)
    view.record_silence()
    assert view.is_paused()
    directory.excuse_failures("plain")
    for _ in range(80):
        view.end_request(failed=True, started_s=started_s)
    assert not view.is_paused()
    assert view.in_flight == 0
    clock.advance(0.1)
    view.begin_request()
    view.end_request(failed=True, started_s=clock.monotonic())
    assert view.is_paused()
