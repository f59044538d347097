"""Traces of the decisions about requests and samples, on all VMs."""

import abc
import asyncio
import collections
from typing import Any

import msgspec

from endivespindle.core.clock import Clock
from endivespindle.core.decoding import decode_msgpack
from endivespindle.exceptions import PeerError
from endivespindle.schema.generated.peer import (
    FetchStory,
    PeerReply,
    StoryEvent,
)

__all__ = ["PeerCaller", "TraceCollector", "TraceStore"]

_MAX_TRACES = 4096
_MAX_EVENTS = 64
_MAX_CONCURRENT_CALLS = 32
_ATTEMPT_SEPARATOR = "/"


class TraceStore:
    """Traces of the most recent requests and samples of this VM, by id.

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
        """Adds a decision and its inputs to a trace.

        A trace stores its first `_MAX_EVENTS` decisions; the oldest trace is
        evicted beyond `_MAX_TRACES`.
        """
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
        """Returns the decisions of a trace, oldest first.

        Args:
            trace_id: Id of a request or of an attempt at a sample, or
                `trainer.step.group.index` for all attempts at a sample.
        """
        if trace_id in self._traces:
            return list(self._traces[trace_id])
        prefix = trace_id + _ATTEMPT_SEPARATOR
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
        """Returns the names of the reachable peers."""

    @abc.abstractmethod
    async def call(self, peer: str, message: msgspec.Struct) -> PeerReply:
        """Calls a peer.

        Raises:
            PeerError: The peer is unknown or did not answer.
        """


class TraceCollector:
    """Collects a trace from this VM and all reachable peers.

    Args:
        traces: Traces of this VM.
        peers: Calls peers.
    """

    __slots__ = ("_peers", "_traces")

    def __init__(self, *, traces: TraceStore, peers: PeerCaller):
        self._traces = traces
        self._peers = peers

    async def handle_request(self, body: bytes) -> PeerReply:
        """Answers a peer's request for the events of a trace."""
        req = decode_msgpack(body, type=FetchStory)
        events = self._traces.find(req.id)
        return PeerReply(ok=True, body=msgspec.msgpack.encode(events))

    async def find(self, trace_id: str) -> list[StoryEvent]:
        """Returns the events of a trace from all VMs, ordered by time.

        Peers that do not answer are left out.
        """
        semaphore = asyncio.Semaphore(_MAX_CONCURRENT_CALLS)
        replies = await asyncio.gather(
            *(
                self._fetch(semaphore, peer, trace_id)
                for peer in self._peers.reachable_peers()
            )
        )
        events = self._traces.find(trace_id)
        for peer_events in replies:
            events += peer_events
        return sorted(events, key=lambda event: event.at)

    async def _fetch(
        self, semaphore: asyncio.Semaphore, peer: str, trace_id: str
    ) -> list[StoryEvent]:
        async with semaphore:
            try:
                reply = await self._peers.call(peer, FetchStory(id=trace_id))
                return decode_msgpack(reply.body, type=list[StoryEvent])
            except (PeerError, msgspec.DecodeError):
                return []
