"""The clock of a VM that may be suspended."""

import time

from endivespindle.core.clock import SystemClock

__all__ = ["BootClock"]


class BootClock(SystemClock):
    """A clock whose steady time goes on while the VM is suspended.

    Leases and freshness are measured on it: a VM that wakes up must see that
    its lease has run out.
    """

    __slots__ = ()

    def monotonic(self) -> float:
        """Returns seconds since the VM booted, suspension included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
