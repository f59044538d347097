"""News of VMs, passed on with the messages that are sent anyway."""

import math

import msgspec

from endivespindle.schema.generated.peer import MemberUpdate

__all__ = ["MAX_UPDATES", "UpdateQueue"]

MAX_UPDATES = 3

_REPEAT_FACTOR = 2
_MAX_QUEUED = 4096


class _Queued(msgspec.Struct, kw_only=True):
    """News and the number of messages that carried it."""

    update: MemberUpdate
    sent: int = 0


class UpdateQueue:
    """Holds news until enough messages have carried it.

    News goes out with a number of messages that grows with the logarithm of
    the fleet; what was sent least goes first, so that no message carries
    more than `MAX_UPDATES`.

    References:
        Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent
        Infection-style Process Group Membership Protocol", DSN 2002.
    """

    __slots__ = ("_queued",)

    def __init__(self) -> None:
        self._queued: dict[str, _Queued] = {}

    def __len__(self) -> int:
        return len(self._queued)

    def put(self, update: MemberUpdate) -> None:
        """Queues news, in place of older news of the same VM."""
        self._queued.pop(update.vm, None)
        self._queued[update.vm] = _Queued(update=update)
        while len(self._queued) > _MAX_QUEUED:
            del self._queued[next(iter(self._queued))]

    def next_updates(self, *, members: int) -> list[MemberUpdate]:
        """Returns the news for one message, and counts it as carried."""
        limit = _REPEAT_FACTOR * math.ceil(math.log2(members + 2))
        chosen = sorted(self._queued.values(), key=lambda item: item.sent)
        chosen = chosen[:MAX_UPDATES]
        for item in chosen:
            item.sent += 1
            if item.sent >= limit:
                del self._queued[item.update.vm]
        return [item.update for item in chosen]
