"""Reactive scaling of backend servers by target utilisation."""

import math

__all__ = ["plan_servers"]

_TARGET_UTILISATION = 0.7
_SCALE_DOWN_UTILISATION = 0.5


def plan_servers(
    *,
    demand_tokens_per_s: float,
    tokens_per_server_s: float,
    current: int,
    servers_min: int,
    servers_max: int,
) -> int:
    """Returns the number of servers wanted, with hysteresis.

    Two target utilisations keep the number from oscillating.

    Args:
        demand_tokens_per_s: Tokens per second requested.
        tokens_per_server_s: Tokens per second one server sustains.
        current: Servers currently ordered.
        servers_min: Minimum number of servers.
        servers_max: Maximum number of servers.

    Example:
        >>> plan_servers(demand_tokens_per_s=700, tokens_per_server_s=100,
        ...              current=5, servers_min=1, servers_max=20)
        10
    """
    scale_up_count = math.ceil(
        demand_tokens_per_s / (tokens_per_server_s * _TARGET_UTILISATION)
    )
    scale_down_count = math.ceil(
        demand_tokens_per_s / (tokens_per_server_s * _SCALE_DOWN_UTILISATION)
    )
    if scale_up_count > current:
        wanted = scale_up_count
    elif scale_down_count < current:
        wanted = scale_down_count
    else:
        wanted = current
    return max(servers_min, min(servers_max, wanted))
