"""Dissemination of membership updates, piggybacked on heartbeats."""

import math

import msgspec

from endivespindle.schema.generated.peer import MemberUpdate

__all__ = ["MAX_UPDATES_PER_MESSAGE", "UpdateQueue"]

MAX_UPDATES_PER_MESSAGE = 3

_RETRANSMIT_FACTOR = 2
_MAX_QUEUED = 4096


class _QueuedUpdate(msgspec.Struct, kw_only=True):
    """An update and the number of messages that carried it."""

    update: MemberUpdate
    send_count: int = 0


class UpdateQueue:
    """Queues updates until each was sent in enough messages.

    The number of transmissions of an update grows with the logarithm of the
    fleet size. Updates that were sent least often go first, which keeps a
    message at no more than `MAX_UPDATES_PER_MESSAGE`.

    References:
        Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent
        Infection-style Process Group Membership Protocol", DSN 2002.
    """

    __slots__ = ("_queued",)

    def __init__(self) -> None:
        self._queued: dict[str, _QueuedUpdate] = {}

    def __len__(self) -> int:
        return len(self._queued)

    def put(self, update: MemberUpdate) -> None:
        """Queues an update, replacing an older one of the same VM."""
        self._queued.pop(update.vm, None)
        self._queued[update.vm] = _QueuedUpdate(update=update)
        while len(self._queued) > _MAX_QUEUED:
            del self._queued[next(iter(self._queued))]

    def next_updates(self, *, member_count: int) -> list[MemberUpdate]:
        """Returns the updates for one message and counts them as sent."""
        limit = _RETRANSMIT_FACTOR * math.ceil(math.log2(member_count + 2))
        chosen = sorted(self._queued.values(), key=lambda item: item.send_count)
        chosen = chosen[:MAX_UPDATES_PER_MESSAGE]
        for item in chosen:
            item.send_count += 1
            if item.send_count >= limit:
                del self._queued[item.update.vm]
        return [item.update for item in chosen]
