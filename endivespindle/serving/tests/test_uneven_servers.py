"""Servers that share their VMs with other work, and are slow for moments."""

import random

import pytest

from endivespindle.core.clock import ManualClock
from endivespindle.serving.directory import ServerDirectory
from endivespindle.serving.placement import expected_delay, place_request
from endivespindle.serving.tests.configs import server


def _views(count):
    clock = ManualClock()
    directory = ServerDirectory(clock=clock)
    views = [directory.put(server(f"s{number}")) for number in range(count)]
    for view in views:
        view.begin_request()
        view.end_request(failed=False, duration_s=0.03)
    return clock, views


def test_requests_avoid_a_server_while_it_is_slow():
    clock, views = _views(2)
    slow, usual = views
    slow.record_load(running=0, waiting=0, pace=3.0)
    rng = random.Random(1)

    def choose():
        return place_request(views, tried=(), data_centre="a", rng=rng)

    assert {choose().entry.name for _ in range(20)} == {usual.entry.name}
    # What a response said a while ago tells little about now.
    clock.advance(5.0)
    assert expected_delay(slow, data_centre="a") == pytest.approx(
        expected_delay(usual, data_centre="a"), rel=0.01
    )


def test_a_slow_moment_does_not_make_a_server_slow_for_long():
    """Its exchanges count at the pace that it had."""
    _, views = _views(1)
    (view,) = views
    for _ in range(20):
        view.record_load(running=0, waiting=0, pace=3.0)
        view.begin_request()
        view.end_request(failed=False, duration_s=0.09)
    assert view.duration_s == pytest.approx(0.03, rel=0.05)
