"""State of a batch job owned by this node."""

import asyncio
import contextlib
from collections.abc import Callable, Coroutine, Iterator, Sequence
from typing import Any

import msgspec

from endivespindle.batch.job import ItemState, JobState
from endivespindle.batch.progress import ItemResult, JobProgress
from endivespindle.core.clock import Clock
from endivespindle.runtime.job_store import StoredJob
from endivespindle.runtime.telemetry import EventLog

__all__ = ["OwnedJob"]

# Largest assumed difference between the clocks of two VMs: more than twice the
# steps of 2 s by which the platform's clocks jump.
_MAX_CLOCK_SKEW_S = 5.0
# Memory of a result besides its text, in bytes.
_RESULT_BYTES = 400


class OwnedJob:
    """A batch job owned by this node.

    Args:
        stored: The job as stored.
        confirmed_s: Monotonic time at which the call that last confirmed
            ownership was sent.
        first_seen_s: Current monotonic time.

    Attributes:
        state: Its items and results.
        progress: The progress record as last written or read.
        version: Version of that record.
        confirmed_s: Monotonic time at which the call that last confirmed
            ownership was sent.
        first_seen_s: Monotonic time at which this node first knew of the job.
        changed: Set, then replaced, whenever results are committed, the job
            ends, or another node takes it over.
        flush_needed: Set when there are results to commit.
        is_record_released: Whether the results in the progress record are no
            longer held.
        is_lost: Whether another node took the job over.
        provisional_until_s: Monotonic time until which completions may be
            generated although the job's creation is unknown; None once the job
            is known to be created.
        lock: Serializes reads and writes of the progress record.
        tasks: Tasks that run items of the job.
        unanswered_tasks: Those of them whose request has no response yet.
    """

    __slots__ = (
        "changed",
        "confirmed_s",
        "first_seen_s",
        "flush_needed",
        "is_lost",
        "is_record_released",
        "lock",
        "progress",
        "provisional_until_s",
        "state",
        "tasks",
        "unanswered_tasks",
        "version",
    )

    def __init__(
        self, *, stored: StoredJob, confirmed_s: float, first_seen_s: float
    ):
        self.state = JobState(
            submission=stored.submission,
            committed=stored.committed,
            failures=stored.progress.failures,
            ended=stored.progress.ended,
        )
        self.progress: JobProgress = stored.progress
        self.version = stored.version
        self.confirmed_s = confirmed_s
        self.first_seen_s = first_seen_s
        self.changed = asyncio.Event()
        self.flush_needed = asyncio.Event()
        self.lock = asyncio.Lock()
        self.is_lost = False
        self.is_record_released = False
        self.provisional_until_s: float | None = None
        self.unanswered_tasks: set[asyncio.Task[None]] = set()
        self.tasks: set[asyncio.Task[None]] = set()

    @property
    def job_id(self) -> str:
        """Identity of the job."""
        return self.state.submission.job_id

    @property
    def record_bytes(self) -> int:
        """Memory of the results in the progress record, in bytes."""
        return sum(
            _RESULT_BYTES + len(result.text) for result in self.progress.results
        )

    def release_record(self) -> None:
        """Forgets the results in the progress record of a finished job."""
        self.progress = msgspec.structs.replace(self.progress, results=())
        self.is_record_released = True

    def restore_record(self, results: Sequence[ItemResult]) -> None:
        """Takes back what `release_record` has forgotten."""
        self.progress = msgspec.structs.replace(
            self.progress, results=tuple(results)
        )
        self.is_record_released = False

    @property
    def is_unfinished(self) -> bool:
        """Whether items remain to be run, on this or another node."""
        return not (self.state.ended or self.state.is_complete)

    @property
    def is_open(self) -> bool:
        """Whether items may still be run on this node."""
        return not self.is_lost and self.is_unfinished

    @property
    def is_provisional(self) -> bool:
        """Whether it is unknown if the job was created."""
        return self.provisional_until_s is not None

    def adopt(self, stored: StoredJob, *, confirmed_s: float) -> None:
        """Turns a provisional job into one that was created.

        Args:
            stored: The job as created; nothing is committed yet.
            confirmed_s: Monotonic time at which the creation was sent.
        """
        self.state.submission = stored.submission
        self.progress = stored.progress
        self.version = stored.version
        self.confirmed_s = confirmed_s
        self.provisional_until_s = None

    def min_age_s(self, clock: Clock) -> float:
        """Returns a lower bound of the job's age, in seconds.

        The bound holds even if the clocks of the VMs differ by
        `_MAX_CLOCK_SKEW_S`.
        """
        now_s = clock.now().timestamp()
        submitted_age_s = now_s - self.state.submission.submitted_ms / 1000
        seen_age_s = clock.monotonic() - self.first_seen_s
        return max(seen_age_s, submitted_age_s - _MAX_CLOCK_SKEW_S)

    def may_run(self, state: ItemState) -> bool:
        """Returns whether the job is open and still contains an item."""
        return (
            self.is_open and self.state.items.get(state.item.item_id) is state
        )

    def terminate_item(
        self, state: ItemState, *, reason: str, log: EventLog
    ) -> None:
        """Records that an item failed for good, so that no retry follows."""
        self.state.terminate_item(state)
        self.flush_needed.set()
        log.event(
            "item_terminated",
            request_id=state.item.item_id,
            job_id=self.job_id,
            reason=reason,
            failures=state.failures,
            reward_failures=state.reward_failures,
        )

    def record_failure(self, state: ItemState) -> None:
        """Counts a response with status 500, which is written at once."""
        state.failures += 1
        self.flush_needed.set()

    def spawn(self, coro: Coroutine[Any, Any, None]) -> None:
        """Starts a task that `cancel_tasks` cancels."""
        task = asyncio.create_task(coro)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    @contextlib.contextmanager
    def awaiting_response(self) -> Iterator[Callable[[], None]]:
        """Marks the current task as waiting for the response to a request.

        Yields:
            Callback to call once the head of the response has arrived.
        """
        task = asyncio.current_task()
        if task is None:
            raise RuntimeError("items must be run in asyncio tasks")
        self.unanswered_tasks.add(task)
        try:
            yield lambda: self.unanswered_tasks.discard(task)
        finally:
            self.unanswered_tasks.discard(task)

    def cancel_unanswered(self) -> None:
        """Cancels the requests that have no response yet."""
        for task in self.unanswered_tasks:
            task.cancel()

    def notify(self) -> None:
        """Wakes the readers that wait for a change."""
        self.changed.set()
        self.changed = asyncio.Event()

    def cancel_tasks(self) -> None:
        """Cancels all tasks of the job."""
        for task in self.tasks:
            task.cancel()
