"""Moves committed entries out of a trainer's state into pages.

A page is written once, before the state names it. Its content follows from
the state alone, so that two writers of the same page write the same bytes.
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
    """Returns the page to be written next, or None if none is full."""
    if len(state.entries) < size:
        return None
    return EntryPage(entries=state.entries[:size])


def seal(state: TrainerState, page: EntryPage) -> TrainerState:
    """Returns the state that names a written page in place of its entries.

    A state that has moved on is returned as it is.
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
    """Returns the object name of the page that starts with a cursor."""
    cursor = first.first if isinstance(first, EntryPageRef) else first.cursor
    return f"{trainer}/{cursor:012}"
