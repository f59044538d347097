"""Reason codes of refusals, failures and retries."""

import enum

from endivespindle.schema.generated.caller import RunState

__all__ = ["Reason", "RetryReason"]


class Reason(enum.Enum):
    """Why a request was refused or failed.

    Attributes:
        status: HTTP status of the response.
        ran: Whether the request ran.
        text: Default message.
    """

    def __init__(self, status: int, ran: RunState, text: str):
        self.status = status
        self.ran = ran
        self.text = text

    @property
    def code(self) -> str:
        """Code used in responses, logs and metrics."""
        return self.name.lower()

    KEY_MISSING = (401, RunState.NOT_RUN, "This route needs a tenant key.")
    KEY_UNKNOWN = (401, RunState.NOT_RUN, "This tenant key is not known.")
    KEY_WITHDRAWN = (401, RunState.NOT_RUN, "This tenant key was withdrawn.")
    KEY_UNCONFIRMED = (
        503,
        RunState.NOT_RUN,
        "Tenant keys cannot be confirmed while this data centre is cut off.",
    )
    CONFIG_UNCONFIRMED = (
        503,
        RunState.NOT_RUN,
        "A newer configuration may allow this request.",
    )
    KEY_EXPOSED = (
        400,
        RunState.NOT_RUN,
        "A tenant key stands in the address or the body.",
    )
    ROUTE_UNKNOWN = (404, RunState.NOT_RUN, "No route serves this path.")
    METHOD_NOT_ALLOWED = (
        405,
        RunState.NOT_RUN,
        "This route does not allow this method.",
    )
    MALFORMED = (400, RunState.NOT_RUN, "The request is malformed.")
    BODY_TOO_LARGE = (413, RunState.NOT_RUN, "The request body is too large.")
    UPLOADS_TOO_LARGE = (
        503,
        RunState.NOT_RUN,
        "The request bodies being handled are too large together.",
    )
    MODEL_UNKNOWN = (404, RunState.NOT_RUN, "No service holds this model.")
    TRAINER_UNKNOWN = (404, RunState.NOT_RUN, "This trainer is not known.")
    WRONG_ACCOUNT = (
        403,
        RunState.NOT_RUN,
        "This key's client account may not do this.",
    )
    SUBMISSION_CONFLICT = (
        409,
        RunState.NOT_RUN,
        "This group was submitted before with other figures.",
    )
    STEP_CLOSED = (409, RunState.NOT_RUN, "This step is closed.")
    TOO_MANY_OPEN = (
        429,
        RunState.NOT_RUN,
        "Too many groups wait for their samples.",
    )
    CURSOR_AHEAD = (
        409,
        RunState.NOT_RUN,
        "Nothing was handed out under this cursor.",
    )
    ALREADY_ACKNOWLEDGED = (
        409,
        RunState.NOT_RUN,
        "This cursor was acknowledged.",
    )
    NO_BACKEND_SERVER = (
        503,
        RunState.NOT_RUN,
        "No backend server of this service takes work.",
    )
    BACKEND_LIMITED = (
        503,
        RunState.NOT_RUN,
        "The backend servers of this service accept no more requests now.",
    )
    CRASHES_SERVERS = (
        503,
        RunState.NOT_RUN,
        "Backend servers crashed under this request before.",
    )
    STREAM_ORIGIN_UNKNOWN = (
        503,
        RunState.NOT_RUN,
        "It is not known which software version began this stream.",
    )
    STREAM_SOFTWARE_GONE = (
        503,
        RunState.NOT_RUN,
        "No backend server of the software that began this stream is left.",
    )
    QUEUE_FULL = (429, RunState.NOT_RUN, "The queue is full.")
    ACCOUNT_LIMIT = (
        429,
        RunState.NOT_RUN,
        "The client account is at its limit.",
    )
    DEADLINE_NOT_RUN = (
        504,
        RunState.NOT_RUN,
        "The deadline passed before the request ran.",
    )
    DEADLINE_UNKNOWN = (
        504,
        RunState.UNKNOWN,
        "The deadline passed while the request may have run.",
    )
    BACKEND_UNREACHABLE = (
        502,
        RunState.NOT_RUN,
        "The backend server could not be reached.",
    )
    BACKEND_LEAVING = (
        503,
        RunState.NOT_RUN,
        "The backend server is shutting down.",
    )
    BACKEND_EVACUATED = (
        503,
        RunState.NOT_RUN,
        "The data centre of the backend server is evacuated.",
    )
    BACKEND_LOST = (
        502,
        RunState.UNKNOWN,
        "The backend server was lost before its answer was whole.",
    )
    BACKEND_SILENT = (
        502,
        RunState.UNKNOWN,
        "The backend server fell silent within its answer.",
    )
    BACKEND_FAILED = (502, RunState.RAN, "The backend server failed.")
    ANSWER_MISMATCH = (
        502,
        RunState.UNKNOWN,
        "The backend server answered another request.",
    )
    ANSWER_TOO_LARGE = (502, RunState.RAN, "The answer is too large.")
    IDEMPOTENCY_IN_PROGRESS = (
        409,
        RunState.UNKNOWN,
        "A request with this idempotency key is running.",
    )
    IDEMPOTENCY_MISMATCH = (
        422,
        RunState.NOT_RUN,
        "This idempotency key came before with another request.",
    )
    IDEMPOTENCY_ANSWER_LOST = (
        409,
        RunState.RAN,
        "The request with this idempotency key ran; its answer was not kept.",
    )
    SHUT_DOWN = (
        504,
        RunState.UNKNOWN,
        "This VM shut down before the answer was there.",
    )
    DRAINING = (503, RunState.NOT_RUN, "This VM is shutting down.")
    NOT_READY = (503, RunState.NOT_RUN, "This VM has no configuration yet.")
    PLATFORM_UNAVAILABLE = (
        503,
        RunState.NOT_RUN,
        "The platform cannot be reached.",
    )
    INTERNAL = (500, RunState.UNKNOWN, "An internal error occurred.")


class RetryReason(enum.StrEnum):
    """Why an operation was retried."""

    BACKEND_UNREACHABLE = "backend_unreachable"
    BACKEND_LOST = "backend_lost"
    BACKEND_FAILED = "backend_failed"
    SERVER_LEAVING = "server_leaving"
    SERVER_SLOW = "server_slow"
    HEDGE = "hedge"
    RESUME = "resume"
    SAMPLE_STALE = "sample_stale"
    SAMPLE_SPOILED = "sample_spoiled"
    PAYLOAD_LOST = "payload_lost"
    COMMIT_CONFLICT = "commit_conflict"
    COMMIT_DOUBT = "commit_doubt"
    PLATFORM_UNAVAILABLE = "platform_unavailable"
    REPORT_UNTAKEN = "report_untaken"
    ORDER_UNTAKEN = "order_untaken"
    SWAP_FAILED = "swap_failed"
