"""Logs and metrics of one node."""

import asyncio
import os
import sys
from typing import Any

import msgspec
import structlog
from aioprometheus import Histogram

from endivespindle.core.clock import Clock
from endivespindle.node.metrics import Metrics

__all__ = [
    "EventLog",
    "NodeMetrics",
    "NonBlockingWriter",
    "configure_node_logs",
]

# Lines a node may write each second, and at once: a line costs about 30 us,
# so that logging stays under 1% of a core.
_LINES_PER_S = 150.0
_BURST_LINES = 400.0
# Lines kept while standard output takes nothing.
_BUFFER_BYTES = 1_048_576
_FLUSH_INTERVAL_S = 0.1
# Bounds of the latency histograms, in seconds: from a cached answer to the
# longest deadline.
_LATENCY_BUCKETS = [0.01, 0.025, 0.05, 0.1, 0.2, 0.5, 1.0, 2.5, 5.0, 10.0]


class NonBlockingWriter:
    """Writes lines to a file descriptor without ever waiting for it.

    Args:
        fd: File descriptor, set not to block.
    """

    __slots__ = ("_fd", "_handle", "_parts", "_size", "dropped")

    def __init__(self, *, fd: int):
        self._fd = fd
        self._parts: list[bytes] = []
        self._size = 0
        self._handle: asyncio.TimerHandle | None = None
        self.dropped = 0
        os.set_blocking(fd, False)

    def msg(self, line: bytes) -> None:
        """Takes a line; drops it if too many wait already."""
        if self._size + len(line) > _BUFFER_BYTES:
            self.dropped += 1
            return
        self._parts.append(line + b"\n")
        self._size += len(line) + 1
        if self._handle is None:
            try:
                loop = asyncio.get_running_loop()
            except RuntimeError:
                self.flush()
                return
            self._handle = loop.call_later(_FLUSH_INTERVAL_S, self.flush)

    debug = info = warning = error = critical = msg

    def flush(self) -> None:
        """Writes what the descriptor takes now."""
        self._handle = None
        data = b"".join(self._parts)
        try:
            written = os.write(self._fd, data) if data else 0
        except BlockingIOError:
            written = 0
        rest = data[written:]
        self._parts = [rest] if rest else []
        self._size = len(rest)


class _LinesFactory:
    """Hands out the one writer of the process."""

    __slots__ = ("_lines",)

    def __init__(self, lines: NonBlockingWriter):
        self._lines = lines

    def __call__(self, *args: Any) -> NonBlockingWriter:
        return self._lines


def _encode(value: dict[str, Any], **_: Any) -> bytes:
    return msgspec.json.encode(value, enc_hook=str)


def configure_node_logs() -> NonBlockingWriter:
    """Sends log events to standard output, one JSON object a line."""
    lines = NonBlockingWriter(fd=sys.stdout.fileno())
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(serializer=_encode),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(20),
        logger_factory=_LinesFactory(lines),
        cache_logger_on_first_use=True,
    )
    return lines


class EventLog:
    """Writes one line for each decision, as many as the bound allows.

    Lines beyond the bound are counted, and the next line that is written
    tells how many were left out.

    Args:
        clock: Clock of this VM.
        fields: Fields that every line carries.
    """

    __slots__ = ("_clock", "_filled_s", "_left_out", "_logger", "_tokens")

    def __init__(self, *, clock: Clock, fields: dict[str, Any]):
        self._clock = clock
        self._logger = structlog.get_logger().bind(**fields)
        self._tokens = _BURST_LINES
        self._filled_s = clock.monotonic()
        self._left_out = 0

    def event(self, event: str, **inputs: Any) -> None:
        """Writes a line, if the bound allows."""
        now_s = self._clock.monotonic()
        gained = (now_s - self._filled_s) * _LINES_PER_S
        self._tokens = min(_BURST_LINES, self._tokens + gained)
        self._filled_s = now_s
        if self._tokens < 1.0:
            self._left_out += 1
            return
        self._tokens -= 1.0
        if self._left_out:
            inputs["lines_left_out"] = self._left_out
            self._left_out = 0
        self._logger.info(event, **inputs)

    def state_change(self, event: str, **inputs: Any) -> None:
        """Writes a line on a start, stop, reload or dependency."""
        self._logger.warning(event, **inputs)


class NodeMetrics(Metrics):
    """The counters of a VM, and histograms of its latencies."""

    __slots__ = ("_latency",)

    def __init__(self) -> None:
        super().__init__()
        self._latency = Histogram(
            "endivespindle_request_seconds",
            "Seconds until the answer, by route and outcome.",
            registry=self.registry,
            buckets=_LATENCY_BUCKETS,
        )

    def observe_latency(
        self, *, route: str, outcome: str, seconds: float
    ) -> None:
        """Counts an answered request's latency."""
        self._latency.observe({"route": route, "outcome": outcome}, seconds)
