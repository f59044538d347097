"""What a caller says of its request beside method, path and body."""

import msgspec

__all__ = ["RequestMetadata"]


class RequestMetadata(msgspec.Struct, kw_only=True, frozen=True):
    """Identity, key and bounds of a caller's request.

    Attributes:
        request_id: Identity of this attempt; empty if none was sent.
        key: Tenant key; empty if none was sent.
        deadline_s: Seconds the caller will wait; None if it did not say.
        wait_s: Seconds a read may be kept waiting; None if it did not say.
        last_event_id: Event after which a stream goes on; None if from its
            start.
    """

    request_id: str
    key: str
    deadline_s: float | None = None
    wait_s: float | None = None
    last_event_id: str | None = None
