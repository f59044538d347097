"""What a VM takes between the signal to stop and its end."""

import pytest

from endivespindle.core.clock import ManualClock
from endivespindle.serving.drain_window import DrainWindow

GRACE_S = 8.0


def _window(age_s=None):
    clock = ManualClock()
    window = DrainWindow(clock=clock, grace_s=GRACE_S)
    if age_s is not None:
        window.begin()
        clock.advance(age_s)
    return window, clock.monotonic()


def test_a_serving_vm_takes_all_requests():
    window, now_s = _window()
    assert window.may_take(limit_s=now_s + 100.0, may_repeat=False)
    assert not window.is_open
    assert not window.is_over()
    assert not window.has_left_balancer()


@pytest.mark.parametrize(
    ("age_s", "limit_s", "may_repeat", "is_taken"),
    [
        (0.0, 6.9, False, True),
        (0.0, 7.1, False, False),
        (2.5, 30.0, True, True),
        (2.7, 30.0, True, False),
        (2.7, 2.0, True, True),
        (4.9, 2.0, False, True),
        (5.1, 2.0, False, False),
        (6.5, 2.0, True, False),
    ],
)
def test_a_leaving_vm_takes_what_ends_before_it(
    age_s, limit_s, may_repeat, is_taken
):
    """Requests that came late in the grace period were broken off."""
    window, now_s = _window(age_s)
    assert (
        window.may_take(limit_s=now_s + limit_s, may_repeat=may_repeat)
        is is_taken
    )


def test_the_window_ends_before_the_process_is_killed():
    assert not _window(GRACE_S - 1.1)[0].is_over()
    assert _window(GRACE_S - 0.9)[0].is_over()


def test_a_second_signal_does_not_extend_the_window():
    clock = ManualClock()
    window = DrainWindow(clock=clock, grace_s=GRACE_S)
    window.begin()
    end_s = window.end_s
    clock.advance(3.0)
    window.begin()
    assert window.end_s == end_s
