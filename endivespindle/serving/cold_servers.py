"""The request rate that a cold backend server bears.

A server is cold for some seconds after its start and at other moments. It
crashes at a rate well above the one that its service names.
"""

__all__ = ["cold_rate_limit"]

# The division of a rate among VMs lets all of them send at once, after a pause,
# 4 requests and 1.5 s of the rate; a second of it follows.
_BURST_REQUESTS = 4.0
_BURST_S = 1.5
_WINDOW_S = 1.0
# Part of the bound that is used: shares change hands, and requests that were
# sent one after the other may arrive together.
_MARGIN = 0.9
# Least rate, in requests per second, so that a cold server is used at all.
_MIN_RATE_PER_S = 0.5


def cold_rate_limit(
    rate_per_s: float, *, factor: float, slack: float
) -> float | None:
    """Returns the rate to divide among all VMs while a server is cold.

    Load pattern: all servers of a data centre return together and cold, while
    those of the other data centres are full.

    Args:
        rate_per_s: Requests per second that a cold server of the service
            bears; 0 if it bears any.
        factor: Factor of that rate that is allowed in any second.
        slack: Requests that are allowed in addition.

    Returns:
        Requests per second, so that no second has more than allowed; None if
        there is no bound.

    Example:
        >>> round(cold_rate_limit(8.0, factor=1.5, slack=5.0), 2)
        4.68
    """
    if rate_per_s <= 0.0:
        return None
    allowed = rate_per_s * factor + slack
    limit = _MARGIN * (allowed - _BURST_REQUESTS) / (_BURST_S + _WINDOW_S)
    return max(_MIN_RATE_PER_S, limit)
