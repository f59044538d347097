"""Sealing: moves committed entries from a trainer's state into pages.

A page is an immutable object in the store, written before the state refers to
it. Its content depends only on the state, so that concurrent writers of the
same page write the same bytes.
"""

import msgspec

from endivespindle.schema.generated.stored import (
    DeliveryEntry,
    EntryPage,
    EntryPageRef,
    TrainerState,
)

__all__ = ["ENTRIES_PER_PAGE", "entry_page_name", "next_page", "seal"]

ENTRIES_PER_PAGE = 256


def next_page(
    state: TrainerState, *, size: int = ENTRIES_PER_PAGE
) -> EntryPage | None:
    """Returns the next page to write, or None if no page is full."""
    if len(state.entries) < size:
        return None
    return EntryPage(entries=state.entries[:size])


def seal(state: TrainerState, page: EntryPage) -> TrainerState:
    """Replaces entries in the state by a reference to their written page.

    If the state no longer starts with the entries of the page, it is returned
    unchanged.
    """
    count = len(page.entries)
    if state.entries[:count] != page.entries:
        return state
    ref = EntryPageRef(
        first=page.entries[0].cursor, last=page.entries[-1].cursor
    )
    return msgspec.structs.replace(
        state, entries=state.entries[count:], pages=[*state.pages, ref]
    )


def entry_page_name(trainer: str, first: DeliveryEntry | EntryPageRef) -> str:
    """Returns the object name of the page that starts at an entry."""
    cursor = first.first if isinstance(first, EntryPageRef) else first.cursor
    return f"{trainer}/{cursor:012}"
