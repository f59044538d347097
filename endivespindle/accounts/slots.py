"""Weighted max-min division of a service's slots among accounts."""

__all__ = ["divide_slots"]


def divide_slots(
    capacity: float, demands: dict[str, float], weights: dict[str, float]
) -> dict[str, float]:
    """Divides slots by weight; slots an account cannot use go to the others.

    Args:
        capacity: Slots to divide.
        demands: Slots that each account could use.
        weights: Share of each account; 1 if it is missing.

    Returns:
        Slots granted to each account.

    Example:
        >>> divide_slots(10, {"a": 100, "b": 2}, {"a": 1.0, "b": 1.0})
        {'b': 2, 'a': 8.0}
    """

    def saturation(account: str) -> float:
        return demands[account] / weights.get(account, 1.0)

    granted: dict[str, float] = {}
    by_saturation = sorted(demands, key=saturation)
    remaining = capacity
    remaining_weight = sum(
        weights.get(account, 1.0) for account in by_saturation
    )
    for account in by_saturation:
        weight = weights.get(account, 1.0)
        fair_share = remaining * weight / remaining_weight
        granted[account] = min(demands[account], fair_share)
        remaining -= granted[account]
        remaining_weight -= weight
    return granted
