"""Which request outcomes are billed."""

import enum

__all__ = ["UsageOutcome", "is_billed"]


class UsageOutcome(enum.StrEnum):
    """How the work of one request or sample ended.

    Attributes:
        RAN: The caller received the complete response, or the sample was
            committed.
        CANCELLED: The caller disconnected before the end; the output
            generated until then is billed.
        WAIVED: The system discarded the work: a stale, invalid or duplicate
            sample, or a response that broke off. It is reported, so that the
            sums match, but not billed.
    """

    RAN = "ran"
    CANCELLED = "cancelled"
    WAIVED = "waived"


_BILLED = frozenset({UsageOutcome.RAN, UsageOutcome.CANCELLED})


def is_billed(outcome: str) -> bool:
    """Returns whether lines with an outcome are billed.

    Example:
        >>> is_billed("ran"), is_billed("waived")
        (True, False)
    """
    return outcome in _BILLED
