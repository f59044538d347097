"""Which backend servers load which weight version next."""

from collections.abc import Mapping, Sequence

import msgspec

from endivespindle.serving.directory import ServerView

__all__ = ["LoadOrder", "assign_homes", "plan_loads"]

# Homes of a model beyond an even share of the servers. Only half of a model's
# homes load each version, so that twice the share costs no more loads.
_HOME_FACTOR = 2
# Homes of a model that wants few places: one loads while the other works.
_LEAST_HOMES = 2
# Servers that load at once: more of them load more slowly, as they share the
# store of weights.
_MAX_LOADING = 2


class LoadOrder(msgspec.Struct, kw_only=True, frozen=True):
    """A server that is to load a version."""

    server: str
    model: str
    version: int


def assign_homes(
    servers: Sequence[ServerView],
    named: Mapping[str, int],
    ordered: Mapping[tuple[str, str], int] | None = None,
    places: Mapping[str, int] | None = None,
) -> dict[str, list[ServerView]]:
    """Returns the servers that each model's versions are loaded on.

    The load pattern answered: several trainers name versions every few
    seconds on the same servers. A server that follows all of them spends
    most of its time loading. Each model gets twice its even share of the
    servers; those that are closest to its newest version stay its homes, so
    that homes move only when servers come and go.

    Args:
        servers: Servers of one service that take new work.
        named: Newest version by model.
        ordered: Versions whose loads were accepted a moment ago, by server
            and model.
        places: Places that a model's jobs want at once, by model; it gets no
            more servers than offer these.
    """
    if not named:
        return {}
    ordered = ordered or {}
    share = -(-len(servers) * _HOME_FACTOR // len(named))
    share = max(1, min(len(servers), share))
    shares = {
        model: _share(servers, share, (places or {}).get(model, 0))
        for model in named
    }
    homes: dict[str, list[ServerView]] = {model: [] for model in named}
    taken: dict[str, int] = {view.entry.name: 0 for view in servers}
    for turn in range(share):
        for model in sorted(named):
            if turn >= shares[model]:
                continue
            free = [view for view in servers if view not in homes[model]]
            if not free:
                continue
            view = min(
                free,
                key=lambda v: (
                    max(0, named[model] - _version(v, model, ordered) - 1),
                    taken[v.entry.name],
                    v.entry.name,
                ),
            )
            homes[model].append(view)
            taken[view.entry.name] += 1
    return homes


def plan_loads(
    servers: Sequence[ServerView],
    *,
    named: Mapping[str, int],
    required: Mapping[str, int],
    loading: Mapping[str, LoadOrder],
    ordered: Mapping[tuple[str, str], int] | None = None,
    places: Mapping[str, int] | None = None,
) -> list[LoadOrder]:
    """Returns the loads to order now, the most urgent first.

    The load pattern answered: a step begins as its version is named and may
    use the version before. Were all homes to load at once, the step would
    wait for them. So half of the homes load each version while the others,
    one version behind, take the step; at the next version they change
    places. A home that the open jobs cannot use loads at once.

    Args:
        servers: Servers of one service that take new work.
        named: Newest version by model.
        required: Oldest version that open jobs accept, by model.
        loading: Orders under way, by server.
        ordered: Versions whose loads were accepted a moment ago, by server
            and model; a server's own entry tells of them later.
        places: Places that a model's jobs want at once, by model.
    """
    ordered = ordered or {}
    orders: list[tuple[int, LoadOrder]] = []
    all_homes = assign_homes(servers, named, ordered, places)
    for model, homes in all_homes.items():
        newest = named[model]
        least = max(required.get(model, 0), newest - 1)
        behind = [v for v in homes if _version(v, model, ordered) < least]
        current = [
            v
            for v in homes
            if _version(v, model, ordered) >= newest
            or _is_loading(v, model, newest, loading)
        ]
        wanted = list(behind)
        if not current and not behind:
            wanted = homes[: max(1, len(homes) // 2)]
        usable = len(homes) - len(behind)
        for view in wanted:
            if view.entry.name not in loading:
                order = LoadOrder(
                    server=view.entry.name, model=model, version=newest
                )
                orders.append((usable, order))
    orders.sort(key=lambda pair: pair[0])
    free = max(0, _MAX_LOADING - len(loading))
    chosen: dict[str, LoadOrder] = {}
    for _, order in orders:
        if len(chosen) < free:
            chosen.setdefault(order.server, order)
    return list(chosen.values())


def _share(servers: Sequence[ServerView], most: int, places: int) -> int:
    """Returns the homes of a model that wants so many places at once."""
    slots = max((view.entry.slots for view in servers), default=1)
    if not places:
        return most
    return max(min(most, _LEAST_HOMES), min(most, -(-places // slots)))


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
