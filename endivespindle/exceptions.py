"""Exceptions raised by endivespindle, with a common base class."""

from endivespindle.core.findings import Finding
from endivespindle.core.reasons import Reason
from endivespindle.schema.generated.caller import RunState

__all__ = [
    "AnswerLostError",
    "BackendServerError",
    "CheckError",
    "ConflictError",
    "EndivespindleError",
    "LeaseLostError",
    "MessageError",
    "PeerError",
    "PlatformError",
    "PlatformUnavailableError",
    "RefusedError",
]


class EndivespindleError(Exception):
    """Base class of all exceptions of this package."""


class CheckError(EndivespindleError):
    """Input failed a check; all findings are reported together.

    Attributes:
        findings: All violations, each with its location.
    """

    def __init__(self, findings: list[Finding]):
        super().__init__("; ".join(str(finding) for finding in findings))
        self.findings = findings


class RefusedError(EndivespindleError):
    """A request was refused or failed.

    Attributes:
        reason: Reason code.
        ran: Whether the request ran.
        retry_after_s: Seconds after which to retry, or None.
    """

    def __init__(
        self,
        reason: Reason,
        message: str = "",
        *,
        ran: RunState | None = None,
        retry_after_s: float | None = None,
    ):
        super().__init__(message or reason.text)
        self.reason = reason
        self.ran = ran or reason.ran
        self.retry_after_s = retry_after_s


class PlatformError(EndivespindleError):
    """The platform reported a failure; the call had no effect."""


class ConflictError(PlatformError):
    """A conditional update found a version other than the expected one."""


class PlatformUnavailableError(PlatformError):
    """The platform did not receive the call; it had no effect."""


class AnswerLostError(PlatformError):
    """The response was lost; the call may have taken effect."""


class LeaseLostError(EndivespindleError):
    """An operation was requested under a lease that is no longer held."""


class MessageError(EndivespindleError):
    """A message or document is not valid.

    For a peer message, the text is the reason, used as a metric label:
    `too_long`, `malformed`, `foreign` (meant for another VM or sent by
    another peer), `unauthenticated`, `unasked` (not a reply to the request)
    or `replayed`.
    """


class PeerError(EndivespindleError):
    """A call to a peer failed: unreachable, refused or no valid reply."""


class BackendServerError(EndivespindleError):
    """A backend server failed a call.

    Attributes:
        ran: Whether the call ran on the backend server.
        reason: Reason code.
        is_server_failure: Whether it tells anything of the server.
    """

    is_server_failure = True

    def __init__(self, message: str, *, ran: RunState, reason: Reason):
        super().__init__(message)
        self.ran = ran
        self.reason = reason
