"""The decisions taken for requests and samples, here and on peers."""

import abc
import asyncio
import collections
from typing import Any

import msgspec

from endivespindle.core.clock import Clock
from endivespindle.exceptions import PeerError
from endivespindle.schema.generated.peer import (
    FetchStory,
    PeerReply,
    StoryEvent,
)

__all__ = ["PeerCaller", "TraceStore", "TraceCollector"]

_MAX_TRACES = 4096
_MAX_EVENTS = 64
_MAX_ASKED_AT_ONCE = 32
_ATTEMPT_MARK = "/"


class TraceStore:
    """The last requests' and samples' decisions on this VM, by id.

    Args:
        vm: Name of this VM.
        clock: Clock of this VM.
    """

    __slots__ = ("_clock", "_traces", "_vm")

    def __init__(self, *, vm: str, clock: Clock):
        self._vm = vm
        self._clock = clock
        self._traces: collections.OrderedDict[str, list[StoryEvent]] = (
            collections.OrderedDict()
        )

    def record(self, trace_id: str, event: str, **inputs: Any) -> None:
        """Adds a decision with its inputs to a story."""
        events = self._traces.setdefault(trace_id, [])
        if len(events) < _MAX_EVENTS:
            events.append(
                StoryEvent(
                    at=self._clock.now().isoformat(),
                    vm=self._vm,
                    id=trace_id,
                    event=event,
                    inputs=inputs,
                )
            )
        while len(self._traces) > _MAX_TRACES:
            self._traces.popitem(last=False)

    def find(self, trace_id: str) -> list[StoryEvent]:
        """Returns a story's decisions, oldest first.

        Args:
            trace_id: Identity of a request or of a sample's attempt, or
                `trainer.step.group.index` for every attempt of a sample.
        """
        if trace_id in self._traces:
            return list(self._traces[trace_id])
        prefix = trace_id + _ATTEMPT_MARK
        return [
            event
            for name, events in self._traces.items()
            if name.startswith(prefix)
            for event in events
        ]


class PeerCaller(abc.ABC):
    """Calls peers by name."""

    __slots__ = ()

    @abc.abstractmethod
    def reachable_peers(self) -> list[str]:
        """Returns the peers heard of just now."""

    @abc.abstractmethod
    async def call(self, peer: str, message: msgspec.Struct) -> PeerReply:
        """Calls a peer.

        Raises:
            PeerError: It did not answer.
        """


class TraceCollector:
    """Asks every peer for its part of a story.

    Args:
        traces: Decisions of this VM.
        peers: What speaks to peers.
    """

    __slots__ = ("_peers", "_traces")

    def __init__(self, *, traces: TraceStore, peers: PeerCaller):
        self._traces = traces
        self._peers = peers

    async def handle_request(self, body: bytes) -> PeerReply:
        """Answers a peer with this VM's part of a story."""
        ask = msgspec.msgpack.decode(body, type=FetchStory)
        events = self._traces.find(ask.id)
        return PeerReply(ok=True, body=msgspec.msgpack.encode(events))

    async def find(self, trace_id: str) -> list[StoryEvent]:
        """Returns a story from every VM that answers, in order of time."""
        gate = asyncio.Semaphore(_MAX_ASKED_AT_ONCE)
        parts = await asyncio.gather(
            *(
                self._ask(gate, peer, trace_id)
                for peer in self._peers.reachable_peers()
            )
        )
        events = self._traces.find(trace_id)
        for part in parts:
            events += part
        return sorted(events, key=lambda event: event.at)

    async def _ask(
        self, gate: asyncio.Semaphore, peer: str, trace_id: str
    ) -> list[StoryEvent]:
        async with gate:
            try:
                reply = await self._peers.call(peer, FetchStory(id=trace_id))
                return msgspec.msgpack.decode(reply.body, type=list[StoryEvent])
            except (PeerError, msgspec.DecodeError):
                return []
