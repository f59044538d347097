"""When a second attempt of a slow request starts."""

__all__ = ["LatencyEstimate", "hedge_delay_s"]

# Weights of the newest latency in its mean and in its mean deviation, and the
# number of deviations above the mean that few responses exceed (RFC 6298).
_MEAN_WEIGHT = 1 / 8
_DEVIATION_WEIGHT = 1 / 4
_DEVIATIONS = 4.0
# Bounds of the delay as fractions of the target latency: a second attempt that
# starts at the upper one still ends in time on an idle server.
_MIN_TARGET_FRACTION = 0.3
_MAX_TARGET_FRACTION = 0.6


class LatencyEstimate:
    """Mean latency of a route's successful attempts, and their deviation.

    Attributes:
        mean_s: Moving average in seconds; 0 before the first latency.
        deviation_s: Moving average of the distance from the mean, in seconds.
    """

    __slots__ = ("deviation_s", "mean_s")

    def __init__(self) -> None:
        self.mean_s = 0.0
        self.deviation_s = 0.0

    def record(self, latency_s: float) -> None:
        """Records the latency of a successful attempt."""
        if not self.mean_s:
            self.mean_s = latency_s
            self.deviation_s = latency_s / 2
            return
        error_s = latency_s - self.mean_s
        self.deviation_s += _DEVIATION_WEIGHT * (
            abs(error_s) - self.deviation_s
        )
        self.mean_s += _MEAN_WEIGHT * error_s


def hedge_delay_s(
    estimate: LatencyEstimate, *, target_latency_s: float
) -> float:
    """Returns the seconds after which a request is sent a second time.

    Load pattern: a data centre is cut off, or a server hangs, while the others
    are idle. A request that waits there is late unless its second attempt
    starts well before the target latency. Latencies are kept by route, as the
    requests of one service differ by a factor of several.

    Args:
        estimate: Latency of the route.
        target_latency_s: Latency up to which a response has its full value.

    Example:
        >>> hedge_delay_s(LatencyEstimate(), target_latency_s=1.0)
        0.6
    """
    upper_s = _MAX_TARGET_FRACTION * target_latency_s
    if not estimate.mean_s:
        return upper_s
    usual_s = estimate.mean_s + _DEVIATIONS * estimate.deviation_s
    return min(upper_s, max(_MIN_TARGET_FRACTION * target_latency_s, usual_s))
