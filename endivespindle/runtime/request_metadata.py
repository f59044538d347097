"""Metadata that a caller sends with a request."""

import msgspec

__all__ = ["RequestMetadata"]


class RequestMetadata(msgspec.Struct, kw_only=True, frozen=True):
    """Request id, tenant key and limits of a caller's request.

    Attributes:
        request_id: Id of this attempt; empty if none was sent.
        key: Tenant key; empty if none was sent.
        deadline_s: Seconds the caller will wait; None if none was sent.
        wait_s: Longest wait of a read, in seconds; None if none was sent.
        last_event_id: Event after which a stream resumes; None to start from
            the beginning.
        resumes: ID of the attempt that received the first event of the stream
            that this one resumes; None if none was sent.
    """

    request_id: str
    key: str
    deadline_s: float | None = None
    wait_s: float | None = None
    last_event_id: str | None = None
    resumes: str | None = None
