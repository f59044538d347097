"""How much a VM takes in for others that are cut off."""

from endivespindle.serving.lending_room import LendingRoom

BUSY_S = 0.5


def _taken(room, *, is_item=False, asked=200):
    return sum(room.try_take(is_item=is_item) for _ in range(asked))


def _busy_room(own):
    room = LendingRoom(count_own=lambda: own)
    for _ in range(10):
        room.record_delay(BUSY_S)
    return room


def test_a_busy_vm_lends_no_more_than_its_own_callers_leave():
    for own, limit in ((0, 8), (8, 8), (20, 20)):
        assert _taken(_busy_room(own)) == limit
        assert _taken(_busy_room(own), is_item=True) == limit


def test_an_idle_vm_carries_several_times_its_own_load():
    """Pattern: nine of ten VMs are cut, each with ten requests at a time."""
    own, cut_per_other = 5, 9
    room = LendingRoom(count_own=lambda: own)
    assert _taken(room, asked=own * cut_per_other) == own * cut_per_other
    # Whatever its processor allows, memory and connections are bounded.
    assert _taken(room) <= 64 - own * cut_per_other


def test_items_leave_the_room_of_callers():
    """Pattern: the owner of a step is cut and borrows for 80 streams."""
    for room in (LendingRoom(count_own=lambda: 0), _busy_room(0)):
        _taken(room, is_item=True)
        assert not room.try_take(is_item=True)
        assert _taken(room, asked=8) == 8


def test_room_comes_back():
    room = _busy_room(0)
    _taken(room)
    room.give_back(is_item=False)
    assert _taken(room) == 1
    for _ in range(100):
        room.record_delay(0.0)
    assert room.try_take(is_item=False)
