"""Whether a backend server accepts new requests."""

import enum

__all__ = ["Availability", "AvailabilityEvent", "next_availability"]


class Availability(enum.StrEnum):
    """State of one incarnation of a backend server.

    Attributes:
        READY: It accepts new requests.
        DRAINING: Its store entry announces its shutdown; a newer entry may
            withdraw the announcement.
        LEAVING: One of its responses announced its shutdown. No entry undoes
            this, as entries lag behind responses.
        GONE: It was removed from the list of servers.
    """

    READY = "ready"
    DRAINING = "draining"
    LEAVING = "leaving"
    GONE = "gone"


class AvailabilityEvent(enum.StrEnum):
    """What a VM learns about a backend server."""

    ENTRY_READY = "entry_ready"
    ENTRY_DRAINING = "entry_draining"
    RESPONSE_LEAVING = "response_leaving"
    REMOVED = "removed"


_NEXT = {
    Availability.READY: {
        AvailabilityEvent.ENTRY_READY: Availability.READY,
        AvailabilityEvent.ENTRY_DRAINING: Availability.DRAINING,
        AvailabilityEvent.RESPONSE_LEAVING: Availability.LEAVING,
        AvailabilityEvent.REMOVED: Availability.GONE,
    },
    Availability.DRAINING: {
        AvailabilityEvent.ENTRY_READY: Availability.READY,
        AvailabilityEvent.ENTRY_DRAINING: Availability.DRAINING,
        AvailabilityEvent.RESPONSE_LEAVING: Availability.LEAVING,
        AvailabilityEvent.REMOVED: Availability.GONE,
    },
    Availability.LEAVING: {
        AvailabilityEvent.ENTRY_READY: Availability.LEAVING,
        AvailabilityEvent.ENTRY_DRAINING: Availability.LEAVING,
        AvailabilityEvent.RESPONSE_LEAVING: Availability.LEAVING,
        AvailabilityEvent.REMOVED: Availability.GONE,
    },
    # A removed server that is listed again gets a new view.
    Availability.GONE: dict.fromkeys(AvailabilityEvent, Availability.GONE),
}


def next_availability(
    state: Availability, event: AvailabilityEvent
) -> Availability:
    """Returns the state after an event.

    Example:
        >>> next_availability(
        ...     Availability.LEAVING, AvailabilityEvent.ENTRY_READY
        ... )
        <Availability.LEAVING: 'leaving'>
    """
    return _NEXT[state][event]
