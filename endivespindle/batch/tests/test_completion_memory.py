"""Memory of completions that the store does not have yet."""

import sys

from endivespindle.batch.completion_memory import CompletionMemory
from endivespindle.batch.job import JobState
from endivespindle.batch.tests.jobs import event, item, submission

CHUNK = "x" * 1000
CHUNK_BYTES = sys.getsizeof(CHUNK)


class _Owner:
    """An owner that generates the items of one job."""

    def __init__(self, *, items, max_chunks):
        names = [f"i{n}" for n in range(items)]
        self.job = JobState(submission=submission([item(n) for n in names]))
        self.states = list(self.job.items.values())
        self.memory = CompletionMemory(
            max_bytes=max_chunks * CHUNK_BYTES,
            items=lambda: self.job.items.values(),
        )

    def begin(self, state):
        return self.memory.begin(
            state, expected_bytes=self.job.expected_bytes()
        )

    def add_event(self, state):
        number = len(state.chunks) + 1
        assert state.append_event(event(number, data=CHUNK), 1)
        self.memory.add(CHUNK_BYTES)

    def finish(self, state):
        self.memory.end(state)
        state.finish_completion()
        self.job.generated_bytes += state.text_bytes
        self.job.generated_items += 1
        self.job.complete_item(state, score="")


def test_items_begin_while_their_length_is_not_known():
    owner = _Owner(items=20, max_chunks=10)
    assert all(owner.begin(state) for state in owner.states)


def test_the_item_that_began_last_gives_up_its_completion():
    """A step begins on all free slots before any length is known."""
    owner = _Owner(items=4, max_chunks=10)
    assert all(owner.begin(state) for state in owner.states)
    for _ in range(5):
        for state in owner.states:
            if not state.is_displaced:
                owner.add_event(state)
        owner.memory.count()
        assert owner.memory.held_bytes <= owner.memory.max_bytes
    assert [s.is_displaced for s in owner.states] == [False, False, True, True]
    assert [len(s.chunks) for s in owner.states] == [5, 5, 0, 0]


def test_the_only_item_is_generated_whatever_its_length():
    owner = _Owner(items=1, max_chunks=2)
    (state,) = owner.states
    assert owner.begin(state)
    for _ in range(5):
        owner.add_event(state)
    assert not state.is_displaced


def test_items_begin_as_far_as_their_expected_length_allows():
    owner = _Owner(items=8, max_chunks=10)
    first, *others = owner.states
    assert owner.begin(first)
    for _ in range(3):
        owner.add_event(first)
    owner.finish(first)
    owner.memory.count()
    # Three chunks wait for the store, and two items are expected to have three.
    assert [owner.begin(state) for state in others[:3]] == [True, True, False]
    owner.job.mark_committed(1)
    owner.memory.count()
    assert owner.begin(others[2])


def test_no_item_begins_while_generated_ones_fill_the_memory():
    """The store is out of reach; one item after the other would begin."""
    owner = _Owner(items=3, max_chunks=4)
    for state in owner.states[:2]:
        assert owner.begin(state)
        for _ in range(3):
            owner.add_event(state)
        owner.finish(state)
        owner.memory.count()
    assert not owner.begin(owner.states[2])
    owner.job.mark_committed(2)
    owner.memory.count()
    assert owner.begin(owner.states[2])


def test_an_item_begins_although_broken_completions_fill_the_memory():
    owner = _Owner(items=2, max_chunks=2)
    first, second = owner.states
    assert owner.begin(first)
    for _ in range(3):
        owner.add_event(first)
    owner.memory.end(first)
    owner.memory.count()
    assert owner.begin(second)
