"""A monotonic clock that includes suspension of the VM."""

import time

from endivespindle.core.clock import SystemClock

__all__ = ["BootClock"]


class BootClock(SystemClock):
    """A clock whose monotonic time advances while the VM is suspended.

    Leases and the age of the configuration are measured with it: a VM that
    resumes must find that its lease has expired.
    """

    __slots__ = ()

    def monotonic(self) -> float:
        """Returns seconds since the VM booted, including suspension."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
