"""A trainer's state, and the pages that it refers to, in the object API."""

import collections
import functools
from collections.abc import Callable
from typing import TypeVar

import msgspec

from endivespindle.core.ids import IdSource
from endivespindle.exceptions import (
    AnswerLostError,
    ConflictError,
    PlatformUnavailableError,
)
from endivespindle.rollout.sealing import entry_page_name, next_page, seal
from endivespindle.rollout.submission import (
    SplitStep,
    is_closed,
    prompt_page_name,
    submit_step,
)
from endivespindle.schema.generated.stored import (
    DeliveryEntry,
    EntryPage,
    PromptGroup,
    PromptPage,
    TrainerState,
)
from endivespindle.store.object_store import ObjectStore
from endivespindle.store.update import read_object, update_object

__all__ = ["ENTRY_PAGE_KIND", "PROMPT_PAGE_KIND", "TRAINER_KIND", "DeliveryLog"]

TRAINER_KIND = "trainer"
ENTRY_PAGE_KIND = "trainer_entries"
PROMPT_PAGE_KIND = "trainer_prompts"

_MAX_CACHED_PAGES = 64

P = TypeVar("P", bound=msgspec.Struct)


class DeliveryLog:
    """Reads and updates one trainer's state.

    Pages are immutable, so each is cached after its first read.

    Args:
        store: The object API.
        trainer: Name of the trainer.
        ids: Generator of the tokens that identify writes.
    """

    __slots__ = ("_ids", "_page_cache", "_store", "trainer")

    def __init__(self, *, store: ObjectStore, trainer: str, ids: IdSource):
        self._store = store
        self._ids = ids
        self._page_cache: collections.OrderedDict[tuple[str, str], object] = (
            collections.OrderedDict()
        )
        self.trainer = trainer

    async def read(self) -> tuple[TrainerState, int]:
        """Returns the state and its version; a new state if none is stored."""
        state, version = await read_object(
            self._store,
            kind=TRAINER_KIND,
            name=self.trainer,
            cls=TrainerState,
        )
        return state or TrainerState(), version

    async def update(
        self, change: Callable[[TrainerState], TrainerState]
    ) -> TrainerState:
        """Changes the state by a conditional update and returns it."""
        return await update_object(
            self._store,
            kind=TRAINER_KIND,
            name=self.trainer,
            initial=TrainerState(),
            change=change,
            ids=self._ids,
        )

    async def submit(self, split: SplitStep) -> TrainerState:
        """Writes prompt pages, then the state that refers to them.

        Returns:
            The stored state; unchanged if the step was submitted before.
        """
        state, _ = await self.read()
        if submit_step(state, split) is state:
            return state
        for name, page in split.pages.items():
            full_name = prompt_page_name(self.trainer, split.step, name)
            await self._create(PROMPT_PAGE_KIND, full_name, page)
        return await self.update(lambda old: submit_step(old, split))

    async def read_prompt_group(
        self, *, step: int, page: str, group: int
    ) -> PromptGroup:
        """Returns a prompt group as submitted."""
        name = prompt_page_name(self.trainer, step, page)
        stored = await self._load(PROMPT_PAGE_KIND, name, PromptPage)
        return next(g for g in stored.groups if g.group == group)

    async def entries_after(
        self, state: TrainerState, cursor: int, limit: int
    ) -> list[DeliveryEntry]:
        """Returns up to `limit` valid entries after a cursor, in order.

        Entries that are acknowledged or voided are left out.
        """
        voided = set(state.voided)
        after = max(cursor, state.acked)
        entries: list[DeliveryEntry] = []
        for ref in state.pages:
            if ref.last > after and len(entries) < limit:
                name = entry_page_name(self.trainer, ref)
                page = await self._load(ENTRY_PAGE_KIND, name, EntryPage)
                entries += [e for e in page.entries if e.cursor > after]
        entries += [e for e in state.entries if e.cursor > after]
        return [e for e in entries if e.cursor not in voided][:limit]

    async def seal(self, state: TrainerState) -> None:
        """Moves entries to pages while there are enough to fill a page."""
        while (page := next_page(state)) is not None:
            name = entry_page_name(self.trainer, page.entries[0])
            await self._create(ENTRY_PAGE_KIND, name, page)
            stored = await self._load(ENTRY_PAGE_KIND, name, EntryPage)
            new = await self.update(functools.partial(seal, page=stored))
            if len(new.entries) >= len(state.entries):
                return
            state = new

    async def delete_unreferenced_pages(self) -> None:
        """Deletes pages that no later state can refer to."""
        state, _ = await self.read()
        referenced = {entry_page_name(self.trainer, ref) for ref in state.pages}
        prefix = f"{self.trainer}/"
        listed = await self._store.list_objects(
            kind=ENTRY_PAGE_KIND, prefix=prefix
        )
        for obj in listed.objects:
            first = int(obj.name.removeprefix(prefix))
            if first <= state.acked and obj.name not in referenced:
                await self._delete(ENTRY_PAGE_KIND, obj.name, obj.version)
        listed = await self._store.list_objects(
            kind=PROMPT_PAGE_KIND, prefix=prefix
        )
        for obj in listed.objects:
            step = int(obj.name.removeprefix(prefix).partition("/")[0])
            if is_closed(state, step):
                await self._delete(PROMPT_PAGE_KIND, obj.name, obj.version)

    async def _create(self, kind: str, name: str, page: msgspec.Struct) -> None:
        """Creates a page; does nothing if it exists.

        Raises:
            PlatformUnavailableError: The page may not have been stored.
        """
        try:
            await self._store.put(
                kind=kind,
                name=name,
                value=msgspec.json.encode(page),
                expect_version=0,
            )
        except ConflictError:
            return
        except AnswerLostError as exc:
            if await self._store.get(kind=kind, name=name) is None:
                raise PlatformUnavailableError(f"{kind}/{name}") from exc

    async def _load(self, kind: str, name: str, cls: type[P]) -> P:
        page = self._page_cache.get((kind, name))
        if not isinstance(page, cls):
            page, _ = await read_object(
                self._store, kind=kind, name=name, cls=cls
            )
            if page is None:
                raise PlatformUnavailableError(f"{kind}/{name}: missing")
            self._page_cache[kind, name] = page
        self._page_cache.move_to_end((kind, name))
        while len(self._page_cache) > _MAX_CACHED_PAGES:
            self._page_cache.popitem(last=False)
        return page

    async def _delete(self, kind: str, name: str, version: int) -> None:
        try:
            await self._store.delete(
                kind=kind, name=name, expect_version=version
            )
        except (ConflictError, AnswerLostError):
            return
