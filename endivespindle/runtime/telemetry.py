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

# Rate and burst of log lines: a line costs about 30 us, so that logging stays
# under 1% of a core.
_MAX_LINES_PER_S = 150.0
_BURST_LINES = 400.0
# Size of the buffer for lines that standard output does not accept yet.
_MAX_BUFFER_BYTES = 1_048_576
_FLUSH_INTERVAL_S = 0.1
# Buckets of the latency histogram, in seconds: from a cached response to the
# longest deadline.
_LATENCY_BUCKETS = [0.01, 0.025, 0.05, 0.1, 0.2, 0.5, 1.0, 2.5, 5.0, 10.0]


class NonBlockingWriter:
    """Buffers lines and writes them to a file descriptor without blocking.

    Args:
        fd: File descriptor; set to non-blocking mode.

    Attributes:
        dropped: Number of lines dropped because the buffer was full.
    """

    __slots__ = ("_fd", "_flush_timer", "_pending", "_pending_bytes", "dropped")

    def __init__(self, *, fd: int):
        self._fd = fd
        self._pending: list[bytes] = []
        self._pending_bytes = 0
        self._flush_timer: asyncio.TimerHandle | None = None
        self.dropped = 0
        os.set_blocking(fd, False)

    def msg(self, line: bytes) -> None:
        """Buffers a line; drops it if the buffer is full."""
        if self._pending_bytes + len(line) > _MAX_BUFFER_BYTES:
            self.dropped += 1
            return
        self._pending.append(line + b"\n")
        self._pending_bytes += len(line) + 1
        if self._flush_timer is None:
            try:
                loop = asyncio.get_running_loop()
            except RuntimeError:
                self.flush()
                return
            self._flush_timer = loop.call_later(_FLUSH_INTERVAL_S, self.flush)

    debug = info = warning = error = critical = msg

    def flush(self) -> None:
        """Writes as much as the descriptor accepts."""
        self._flush_timer = None
        data = b"".join(self._pending)
        try:
            written = os.write(self._fd, data) if data else 0
        except BlockingIOError:
            written = 0
        unwritten = data[written:]
        self._pending = [unwritten] if unwritten else []
        self._pending_bytes = len(unwritten)


class _WriterFactory:
    """Returns the same writer for every logger of the process."""

    __slots__ = ("_writer",)

    def __init__(self, writer: NonBlockingWriter):
        self._writer = writer

    def __call__(self, *args: Any) -> NonBlockingWriter:
        return self._writer


def _encode(value: dict[str, Any], **_: Any) -> bytes:
    return msgspec.json.encode(value, enc_hook=str)


def configure_node_logs() -> NonBlockingWriter:
    """Writes log events to standard output, one JSON object per line."""
    writer = NonBlockingWriter(fd=sys.stdout.fileno())
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(serializer=_encode),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(20),
        logger_factory=_WriterFactory(writer),
        cache_logger_on_first_use=True,
    )
    return writer


class EventLog:
    """Writes one log line per event, within a rate limit.

    Lines beyond the limit are suppressed and counted; the next line that is
    written reports their number.

    Args:
        clock: Clock of this VM.
        fields: Fields of every line.
    """

    __slots__ = ("_clock", "_logger", "_refilled_s", "_suppressed", "_tokens")

    def __init__(self, *, clock: Clock, fields: dict[str, Any]):
        self._clock = clock
        self._logger = structlog.get_logger().bind(**fields)
        self._tokens = _BURST_LINES
        self._refilled_s = clock.monotonic()
        self._suppressed = 0

    def event(self, event: str, **fields: Any) -> None:
        """Logs an event, if the rate limit allows."""
        now_s = self._clock.monotonic()
        refill = (now_s - self._refilled_s) * _MAX_LINES_PER_S
        self._tokens = min(_BURST_LINES, self._tokens + refill)
        self._refilled_s = now_s
        if self._tokens < 1.0:
            self._suppressed += 1
            return
        self._tokens -= 1.0
        if self._suppressed:
            fields["lines_left_out"] = self._suppressed
            self._suppressed = 0
        self._logger.info(event, **fields)

    def state_change(self, event: str, **fields: Any) -> None:
        """Logs a start, stop, reload or change of a dependency.

        The rate limit does not apply.
        """
        self._logger.warning(event, **fields)


class NodeMetrics(Metrics):
    """Counters of a node, and a histogram of request latencies."""

    __slots__ = (
        "_borrowed_paths",
        "_cold_servers",
        "_latency",
        "_lent_paths",
        "_quarantines",
        "_server_limits",
    )

    def __init__(self) -> None:
        super().__init__()
        self._latency = Histogram(
            "endivespindle_request_seconds",
            "Seconds until the answer, by route and outcome.",
            registry=self.registry,
            buckets=_LATENCY_BUCKETS,
        )
        self._quarantines = self._make_counter(
            "quarantined_requests_total",
            "Requests under which too many backend servers crashed.",
        )
        self._quarantines.set({}, 0)
        self._borrowed_paths = self._make_counter(
            "borrowed_paths_total",
            "Attempts sent through other gateways, by outcome.",
        )
        self._lent_paths = self._make_counter(
            "lent_paths_total",
            "Attempts passed on for other gateways, by outcome.",
        )
        self._cold_servers = self._make_counter(
            "cold_servers_total",
            "Backend servers that became cold.",
        )
        self._server_limits = self._make_counter(
            "server_limits_total",
            "Limits of their request rate that backend servers named anew.",
        )

    def count_quarantine(self) -> None:
        """Counts a request that is kept from backend servers from now on."""
        self._quarantines.inc({})

    def count_borrowed_path(self, outcome: str) -> None:
        """Counts an attempt that was sent through another gateway."""
        self._borrowed_paths.inc({"outcome": outcome})

    def count_lent_path(self, outcome: str) -> None:
        """Counts an attempt that was passed on for another gateway."""
        self._lent_paths.inc({"outcome": outcome})

    def count_cold_server(self, service: str) -> None:
        """Counts a server that became cold."""
        self._cold_servers.inc({"service": service})

    def count_server_limit(self, service: str) -> None:
        """Counts a server that named another limit of its request rate."""
        self._server_limits.inc({"service": service})

    def observe_latency(
        self, *, route: str, outcome: str, seconds: float
    ) -> None:
        """Records the latency of an answered request."""
        self._latency.observe({"route": route, "outcome": outcome}, seconds)
