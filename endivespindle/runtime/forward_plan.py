"""How a request may be forwarded, and what it comes back as."""

from collections.abc import Callable

import msgspec

from endivespindle.serving.calls import ResponseHead

__all__ = ["ForwardPlan", "ForwardedResponse"]


class ForwardPlan(msgspec.Struct, kw_only=True, frozen=True):
    """How a request may be forwarded.

    Attributes:
        route: Route of the request.
        service: Service that runs it.
        may_repeat: Whether the request is idempotent, so that running it twice
            does no harm.
        max_attempts: Maximum number of backend servers that may run it.
        target_latency_s: Latency in seconds up to which a response has its full
            value.
        deadline_s: Monotonic time at which the request is abandoned.
        may_send: Returns whether an attempt may start now.
        is_owed: Whether it belongs to an accepted job, and is sent again
            whatever happened to the servers that ran it.
    """

    route: str
    service: str
    may_repeat: bool
    max_attempts: int
    target_latency_s: float
    deadline_s: float
    may_send: Callable[[], bool] = lambda: True
    is_owed: bool = False


class ForwardedResponse(msgspec.Struct, kw_only=True, frozen=True):
    """A backend server's complete response."""

    head: ResponseHead
    body: bytes
    server: str
