"""Applies a rate limit and a circuit breaker to platform calls."""

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

_MAX_QUEUE_S = 2.0


class CallLimiter:
    """Counts the platform calls of one VM and delays or refuses them.

    Args:
        rate_limiter: Limits the calls per second.
        breaker: Refuses calls while the platform does not respond.
        on_call: Called with the name and the outcome of each call.

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
        priority: CallPriority = CallPriority.BULK,
        may_wait: bool = True,
        has_waiting_caller: bool = False,
    ) -> T:
        """Makes a call as soon as the rate limit allows it.

        Args:
            name: Name under which the call is counted.
            call: Makes the call.
            kind: How the platform counts the call.
            priority: Whether the call may use the reserve.
            may_wait: Whether the call may wait for the rate limit. An
                operation under a lease may not: the lease was checked
                directly before.
            has_waiting_caller: Whether a caller waits for this call.

        Returns:
            The result of the call.

        Raises:
            PlatformUnavailableError: The call was not made, or the platform
                is unavailable.
            PlatformError: The call failed.
        """
        if not self._breaker.allow(has_waiting_caller=has_waiting_caller):
            self._on_call(name, "breaker_open")
            raise PlatformUnavailableError(f"{name}: circuit breaker is open")
        await self._wait_for_rate_limit(name, kind, priority, may_wait)
        self.calls_by_kind[kind] += 1
        self.calls_by_name[name] += 1
        try:
            result = await call()
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
        return result

    async def _wait_for_rate_limit(
        self, name: str, kind: CallKind, priority: CallPriority, may_wait: bool
    ) -> None:
        waited_s = 0.0
        while delay_s := self._rate_limiter.try_acquire(kind, priority):
            if not may_wait or waited_s + delay_s > _MAX_QUEUE_S:
                self._on_call(name, "over_budget")
                raise PlatformUnavailableError(
                    f"{name}: call rate limit exceeded"
                )
            await asyncio.sleep(delay_s)
            waited_s += delay_s
