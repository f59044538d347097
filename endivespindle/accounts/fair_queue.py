"""Weighted fair queueing by tokens."""

import collections
from collections.abc import Callable
from typing import Generic, TypeVar

__all__ = ["FairQueue"]

T = TypeVar("T")


class FairQueue(Generic[T]):
    """Queues items per account and serves accounts in proportion to weight.

    Implements start-time fair queueing with tokens, not requests, as the unit
    of service. The account with the lowest start tag (tokens charged, divided
    by weight) is served next. An account that was idle resumes no earlier
    than the current virtual time, so it gains no credit for idle time. `pop`
    charges the expected cost of an item; `charge` corrects it once the actual
    cost is known.

    References:
        Goyal, Vin and Cheng, "Start-Time Fair Queueing: A Scheduling
        Algorithm for Integrated Services Packet Switching Networks",
        IEEE/ACM Transactions on Networking 5(5), 1997.

    Example:
        >>> queue = FairQueue()
        >>> queue.push("a", item=1, cost=10, weight=1.0)
        >>> queue.push("a", item=2, cost=10, weight=1.0)
        >>> queue.push("b", item=3, cost=10, weight=1.0)
        >>> [queue.pop() for _ in range(3)]
        [1, 3, 2]
    """

    __slots__ = ("_count", "_entries", "_start_tags", "_virtual_time")

    def __init__(self) -> None:
        self._entries: dict[str, collections.deque[tuple[T, float, float]]] = {}
        self._start_tags: dict[str, float] = {}
        self._virtual_time = 0.0
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def waiting(self, account: str) -> int:
        """Returns the number of queued items of an account."""
        return len(self._entries.get(account, ()))

    def accounts(self) -> list[str]:
        """Returns the accounts that have queued items."""
        return list(self._entries)

    def push(
        self, account: str, *, item: T, cost: float, weight: float
    ) -> None:
        """Queues an item of an account.

        Args:
            account: Client account.
            item: Item to queue.
            cost: Expected cost in tokens.
            weight: Share of the account.
        """
        if account not in self._entries:
            self._entries[account] = collections.deque()
            start = max(self._virtual_time, self._start_tags.get(account, 0.0))
            self._start_tags[account] = start
        self._entries[account].append((item, cost, weight))
        self._count += 1

    def remove_if(self, predicate: Callable[[T], bool]) -> list[T]:
        """Removes and returns, without charge, items matching `predicate`."""
        removed = []
        for account in list(self._entries):
            items = [entry[0] for entry in self._entries[account]]
            for item in filter(predicate, items):
                self.remove(account, item)
                removed.append(item)
        return removed

    def next_account(
        self, is_eligible: Callable[[str], bool] | None = None
    ) -> str | None:
        """Returns the eligible account to serve next, or None."""
        selected = None
        for account in self._entries:
            if is_eligible is not None and not is_eligible(account):
                continue
            if (
                selected is None
                or self._start_tags[account] < self._start_tags[selected]
            ):
                selected = account
        return selected

    def pop(self, account: str | None = None) -> T:
        """Removes, charges and returns the next item.

        Args:
            account: Account to serve; None is the one with the lowest start
                tag.

        Raises:
            IndexError: The queue is empty.
        """
        selected = account or self.next_account()
        if selected is None:
            raise IndexError("the queue is empty")
        item, cost, weight = self.pop_entry(selected)
        self._virtual_time = max(self._virtual_time, self._start_tags[selected])
        self._start_tags[selected] += cost / weight
        return item

    def pop_entry(
        self, account: str, *, newest: bool = False
    ) -> tuple[T, float, float]:
        """Removes an account's oldest or newest entry, without charge."""
        entries = self._entries[account]
        entry = entries.pop() if newest else entries.popleft()
        self._update_after_removal(account)
        return entry

    def remove(self, account: str, item: T) -> None:
        """Removes an item, without charge, if it is still queued.

        Items are compared by identity.
        """
        entries = self._entries.get(account, collections.deque())
        for index, entry in enumerate(entries):
            if entry[0] is item:
                del entries[index]
                self._update_after_removal(account)
                return

    def _update_after_removal(self, account: str) -> None:
        self._count -= 1
        if not self._entries[account]:
            del self._entries[account]

    def charge(self, account: str, *, cost: float, weight: float) -> None:
        """Charges tokens to an account; a negative cost is a refund."""
        start = self._start_tags.get(account, self._virtual_time)
        self._start_tags[account] = max(0.0, start + cost / weight)
