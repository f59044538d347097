"""Memory that a process may use for its batch jobs."""

import msgspec

__all__ = ["JobMemory"]

# Fractions of the process's memory. An idle process uses a third of it, and
# requests, submissions and messages need the rest.
_CACHE_FRACTION = 1 / 16
_COMPLETION_FRACTION = 1 / 8
_RECORD_FRACTION = 1 / 12
_KEPT_FRACTION = 1 / 24
_SNAPSHOT_FRACTION = 1 / 64


class JobMemory(msgspec.Struct, kw_only=True, frozen=True):
    """Limits of what all jobs of a process hold together.

    Attributes:
        cache_bytes: Results read from the store.
        completion_bytes: Completions that are being generated, and results that
            the store has not acknowledged.
        record_bytes: Results in the progress records of the jobs.
        kept_bytes: Completions kept in case a later job asks for them.
        snapshot_bytes: Completions sent to the new owner of one job.
    """

    cache_bytes: int
    completion_bytes: int
    record_bytes: int
    kept_bytes: int
    snapshot_bytes: int

    @classmethod
    def for_process(cls, *, memory_bytes: int) -> "JobMemory":
        """Returns the limits of a process.

        Args:
            memory_bytes: Memory that the process may use, in bytes.
        """
        return cls(
            cache_bytes=int(memory_bytes * _CACHE_FRACTION),
            completion_bytes=int(memory_bytes * _COMPLETION_FRACTION),
            record_bytes=int(memory_bytes * _RECORD_FRACTION),
            kept_bytes=int(memory_bytes * _KEPT_FRACTION),
            snapshot_bytes=int(memory_bytes * _SNAPSHOT_FRACTION),
        )
