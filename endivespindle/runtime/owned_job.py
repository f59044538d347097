"""A batch job that this node runs."""

import asyncio
import contextlib
from collections.abc import Callable, Coroutine, Iterator
from typing import Any

from endivespindle.batch.job import ItemState, JobState
from endivespindle.batch.progress import JobProgress
from endivespindle.core.clock import Clock
from endivespindle.runtime.job_store import StoredJob
from endivespindle.runtime.telemetry import DecisionLog

__all__ = ["OwnedJob"]

# By how much the clocks of two VMs may differ: over twice the steps of 2 s
# that the platform's clocks make.
_CLOCK_ERROR_S = 5.0


class OwnedJob:
    """A job that this node runs.

    Args:
        stored: The job as the store holds it.
        confirmed_s: When the store was last asked and agreed.
        first_seen_s: Monotonic time of now.

    Attributes:
        state: Its items and results.
        progress: The record as last written or read.
        version: Version of that record.
        confirmed_s: When the store was last asked and agreed.
        first_seen_s: When this node first knew of the job.
        changed: Set whenever results were listed or the job ended.
        lost: Whether another node took it over.
        starting: Tasks whose request has no answer yet.
    """

    __slots__ = (
        "changed",
        "confirmed_s",
        "flush_needed",
        "first_seen_s",
        "lock",
        "is_lost",
        "progress",
        "unanswered_tasks",
        "state",
        "tasks",
        "version",
    )

    def __init__(
        self, *, stored: StoredJob, confirmed_s: float, first_seen_s: float
    ):
        self.state = JobState(
            submission=stored.submission,
            results=stored.results,
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
        self.unanswered_tasks: set[asyncio.Task[None]] = set()
        self.tasks: set[asyncio.Task[None]] = set()

    @property
    def job_id(self) -> str:
        """Identity of the job."""
        return self.state.submission.job_id

    @property
    def is_unfinished(self) -> bool:
        """Tells whether items are to be run, here or at another node."""
        return not (self.state.ended or self.state.is_complete)

    @property
    def is_open(self) -> bool:
        """Tells whether items may still be run here."""
        return not self.is_lost and self.is_unfinished

    def min_age_s(self, clock: Clock) -> float:
        """Returns the age that the job has whatever the VMs' clocks say."""
        wall_s = clock.now().timestamp()
        told_s = wall_s - self.state.submission.submitted_ms / 1000
        first_seen_s = clock.monotonic() - self.first_seen_s
        return max(first_seen_s, told_s - _CLOCK_ERROR_S)

    def may_run(self, state: ItemState) -> bool:
        """Tells whether an item still belongs to this job, and it is open."""
        return (
            self.is_open and self.state.items.get(state.item.item_id) is state
        )

    def terminate_item(
        self, state: ItemState, *, reason: str, log: DecisionLog
    ) -> None:
        """Records that an item was given up."""
        self.state.terminated(state)
        self.flush_needed.set()
        log.decided(
            "item_terminated",
            request_id=state.item.item_id,
            job_id=self.job_id,
            reason=reason,
            failures=state.failures,
            reward_failures=state.reward_failures,
        )

    def spawn(self, coro: Coroutine[Any, Any, None]) -> None:
        """Starts something that ends with the job."""
        task = asyncio.create_task(coro)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    @contextlib.contextmanager
    def awaiting_response(self) -> Iterator[Callable[[], None]]:
        """Marks the current task as waiting for the answer to a request.

        Yields:
            What is called once the answer has begun.
        """
        task = asyncio.current_task()
        if task is None:
            raise RuntimeError("items are run by tasks")
        self.unanswered_tasks.add(task)
        try:
            yield lambda: self.unanswered_tasks.discard(task)
        finally:
            self.unanswered_tasks.discard(task)

    def cancel_unanswered(self) -> None:
        """Drops the requests that have no answer yet."""
        for task in self.unanswered_tasks:
            task.cancel()

    def notify(self) -> None:
        """Wakes those who wait for a change."""
        self.changed.set()
        self.changed = asyncio.Event()

    def cancel_tasks(self) -> None:
        """Stops everything that runs for it."""
        for task in self.tasks:
            task.cancel()
