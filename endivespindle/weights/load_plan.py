"""Plans which backend servers load which weight version next."""

import math
from collections.abc import Mapping, Sequence

import msgspec

from endivespindle.serving.directory import ServerView

__all__ = ["LoadOrder", "assign_servers", "plan_loads"]

# Servers assigned to a model, as a multiple of its even share. Only half of
# them load each version, so that twice the share causes no more loads.
_ASSIGNMENT_FACTOR = 2
# Fraction of the servers a service began with that may load at once, and its
# lower bound in servers. Loading servers share the bandwidth of the weight
# store, which does not grow with the servers that are ordered later; if more
# load together, each of them generates nothing for longer.
_MAX_LOADING_FRACTION = 0.4
_MIN_CONCURRENT_LOADS = 2


class LoadOrder(msgspec.Struct, kw_only=True, frozen=True):
    """An order for a server to load a weight version."""

    server: str
    model: str
    version: int


def assign_servers(
    servers: Sequence[ServerView],
    newest_versions: Mapping[str, int],
    ordered: Mapping[tuple[str, str], int] | None = None,
    baseline_count: int = 0,
) -> dict[str, list[ServerView]]:
    """Returns the servers assigned to load each model's versions.

    Load pattern: several trainers publish versions every few seconds for the
    same servers. A server that loads all of them spends most of its time
    loading. Each model gets twice its even share of the servers; those that
    are closest to its newest version stay assigned, so that the assignment
    changes only when servers are added or removed, or limit their request rate.
    Servers that do come last, so that no model depends on them alone.

    Args:
        servers: Servers of one service that accept new work.
        newest_versions: Newest published version by model.
        ordered: Versions whose loads were accepted recently, by server and
            model.
        baseline_count: Servers that existed before any was ordered; 0 if
            all. The even share is computed from these, as loads beyond it
            are charged for.
    """
    if not newest_versions:
        return {}
    ordered = ordered or {}
    baseline = min(baseline_count or len(servers), len(servers))
    share = -(-baseline * _ASSIGNMENT_FACTOR // len(newest_versions))
    share = max(1, min(len(servers), share))
    assigned: dict[str, list[ServerView]] = {
        model: [] for model in newest_versions
    }
    assignment_counts: dict[str, int] = {view.entry.name: 0 for view in servers}
    for _ in range(share):
        for model in sorted(newest_versions):
            free = [view for view in servers if view not in assigned[model]]
            if not free:
                continue
            view = min(
                free,
                key=lambda v: (
                    _is_limited(v),
                    max(
                        0,
                        newest_versions[model]
                        - _version(v, model, ordered)
                        - 1,
                    ),
                    assignment_counts[v.entry.name],
                    v.entry.name,
                ),
            )
            assigned[model].append(view)
            assignment_counts[view.entry.name] += 1
    return assigned


def plan_loads(
    servers: Sequence[ServerView],
    *,
    newest_versions: Mapping[str, int],
    required: Mapping[str, int],
    loading: Mapping[str, LoadOrder],
    ordered: Mapping[tuple[str, str], int] | None = None,
    baseline_count: int = 0,
) -> list[LoadOrder]:
    """Returns the loads to order now, the most urgent first.

    Load pattern: a step starts when its version is published and may use the
    previous version. If all assigned servers loaded at once, the step would
    wait for them. So half of them load each version while the others, one
    version behind, run the step; at the next version the halves swap roles.
    An assigned server whose version the open jobs do not accept loads
    immediately.

    Args:
        servers: Servers of one service that accept new work.
        newest_versions: Newest published version by model.
        required: Oldest version that open jobs accept, by model.
        loading: Loads in progress, by server.
        ordered: Versions whose loads were accepted recently, by server and
            model; the server's own entry shows them later.
        baseline_count: Servers that existed before any was ordered; 0 if
            all.
    """
    ordered = ordered or {}
    orders: list[tuple[int, LoadOrder]] = []
    assignments = assign_servers(
        servers, newest_versions, ordered, baseline_count
    )
    for model, assigned in assignments.items():
        newest = newest_versions[model]
        min_version = max(required.get(model, 0), newest - 1)
        behind = [
            v for v in assigned if _version(v, model, ordered) < min_version
        ]
        current = [
            v
            for v in assigned
            if _version(v, model, ordered) >= newest
            or _is_loading(v, model, newest, loading)
        ]
        wanted = list(behind)
        if not current and not behind:
            wanted = assigned[: max(1, len(assigned) // 2)]
        usable = len(assigned) - len(behind)
        for view in wanted:
            if view.entry.name not in loading:
                order = LoadOrder(
                    server=view.entry.name, model=model, version=newest
                )
                orders.append((usable, order))
    orders.sort(key=lambda pair: pair[0])
    baseline = min(baseline_count or len(servers), len(servers))
    max_concurrent = max(
        _MIN_CONCURRENT_LOADS, math.floor(_MAX_LOADING_FRACTION * baseline)
    )
    free = max(0, max_concurrent - len(loading))
    chosen: dict[str, LoadOrder] = {}
    for _, order in orders:
        if len(chosen) < free:
            chosen.setdefault(order.server, order)
    return list(chosen.values())


def _is_limited(view: ServerView) -> bool:
    """Returns whether a server accepts fewer requests than its slots could run.

    A completion occupies a slot for about a second.
    """
    limit_per_s = view.rate_limit.limit_per_s
    return limit_per_s is not None and limit_per_s < view.entry.slots


def _version(
    view: ServerView, model: str, ordered: Mapping[tuple[str, str], int]
) -> int:
    known = view.versions.get(model, 0)
    return max(known, ordered.get((view.entry.name, model), 0))


def _is_loading(
    view: ServerView,
    model: str,
    version: int,
    loading: Mapping[str, LoadOrder],
) -> bool:
    order = loading.get(view.entry.name)
    return (
        order is not None and order.model == model and order.version >= version
    )
