"""Passes platform calls through the budget and the breaker."""

import asyncio
import collections
from collections.abc import Awaitable, Callable
from typing import TypeVar

from endivespindle.exceptions import (
    AnswerLostError,
    PlatformError,
    PlatformUnavailableError,
)
from endivespindle.store.circuit_breaker import CircuitBreaker
from endivespindle.store.rate_limiter import (
    CallKind,
    CallPriority,
    CallRateLimiter,
)

__all__ = ["CallLimiter"]

T = TypeVar("T")

_MAX_WAIT_S = 2.0


class CallLimiter:
    """Counts every call of one VM, and holds back what it may not make.

    Args:
        rate_limiter: Calls per second.
        breaker: Whether the platform answers.
        on_call: Told the name and the outcome of each call.

    Attributes:
        calls_by_kind: Calls made, by kind.
        calls_by_name: Calls made, by name.
    """

    __slots__ = (
        "_breaker",
        "_on_call",
        "_rate_limiter",
        "calls_by_kind",
        "calls_by_name",
    )

    def __init__(
        self,
        *,
        rate_limiter: CallRateLimiter,
        breaker: CircuitBreaker,
        on_call: Callable[[str, str], None],
    ):
        self._rate_limiter = rate_limiter
        self._breaker = breaker
        self._on_call = on_call
        self.calls_by_kind: collections.Counter[CallKind] = (
            collections.Counter()
        )
        self.calls_by_name: collections.Counter[str] = collections.Counter()

    async def run(
        self,
        name: str,
        call: Callable[[], Awaitable[T]],
        *,
        kind: CallKind,
        urgency: CallPriority = CallPriority.BULK,
        may_wait: bool = True,
        has_waiting_caller: bool = False,
    ) -> T:
        """Makes a call when the budget allows it.

        Args:
            name: Name under which it is counted.
            call: Makes the call.
            kind: What the platform counts it as.
            urgency: Whether it may use the reserve.
            may_wait: Whether it may wait for the budget. An act under a
                lease may not: its right was checked just before.
            has_waiting_caller: Whether a caller waits for this very call.

        Raises:
            PlatformUnavailableError: The call was not made.
        """
        if not self._breaker.allow(has_waiting_caller=has_waiting_caller):
            self._on_call(name, "breaker_open")
            raise PlatformUnavailableError(f"{name}: the breaker is open")
        await self._wait_for_budget(name, kind, urgency, may_wait)
        self.calls_by_kind[kind] += 1
        self.calls_by_name[name] += 1
        try:
            answer = await call()
        except (AnswerLostError, PlatformUnavailableError):
            self._breaker.record_failure()
            self._on_call(name, "unanswered")
            raise
        except PlatformError:
            self._breaker.record_success()
            self._on_call(name, "refused")
            raise
        self._breaker.record_success()
        self._on_call(name, "answered")
        return answer

    async def _wait_for_budget(
        self, name: str, kind: CallKind, urgency: CallPriority, may_wait: bool
    ) -> None:
        waited_s = 0.0
        while pause_s := self._rate_limiter.try_acquire(kind, urgency):
            if not may_wait or waited_s + pause_s > _MAX_WAIT_S:
                self._on_call(name, "over_budget")
                raise PlatformUnavailableError(f"{name}: over the call budget")
            await asyncio.sleep(pause_s)
            waited_s += pause_s
