"""State table of a backend server's availability."""

import itertools

import pytest

from endivespindle.serving.availability import (
    Availability,
    AvailabilityEvent,
    next_availability,
)


@pytest.mark.parametrize(
    ("state", "event"), itertools.product(Availability, AvailabilityEvent)
)
def test_every_event_is_handled_in_every_state(state, event):
    assert isinstance(next_availability(state, event), Availability)


@pytest.mark.parametrize(
    "event", set(AvailabilityEvent) - {AvailabilityEvent.REMOVED}
)
def test_no_entry_undoes_an_announcement_by_a_response(event):
    state = next_availability(Availability.LEAVING, event)
    assert state is Availability.LEAVING


@pytest.mark.parametrize("event", AvailabilityEvent)
def test_a_removed_server_never_accepts_requests_again(event):
    assert next_availability(Availability.GONE, event) is Availability.GONE
