"""Which item of the open batch jobs goes to which backend server next."""

import random
from collections.abc import Iterable, Sequence

import msgspec

from endivespindle.batch.generation_speed import (
    baseline_event_interval_s,
    expected_remaining_events,
)
from endivespindle.batch.job import ItemState, JobState
from endivespindle.batch.submission import expected_output_tokens
from endivespindle.serving.directory import ServerView

__all__ = ["Placement", "estimated_events", "order_items", "place_items"]

# Requests kept at a server beyond its slots, so that a slot that falls free
# is taken at once; the round trip is short against an item.
_QUEUE_AHEAD = 1
# Seconds that a server with all slots taken adds to a text: each step of the
# engine takes a little longer for each request that it runs.
_FULL_LOAD_S = 0.3
# Cost of another data centre, in seconds: breaks ties only.
_REMOTE_S = 0.01
# Seconds saved at the server that has the group's prompt in its cache.
_SAME_GROUP_S = 0.05
# Seconds by which another server must be slower for a text to go back to the
# one that it left.
_LEFT_S = 1.0
# Range of a random cost, in seconds: VMs with the same news do not all choose
# the same server.
_SPREAD_S = 0.02


class Placement(msgspec.Struct, kw_only=True, frozen=True):
    """An item and the server it goes to."""

    job: JobState
    state: ItemState
    server: ServerView


def order_items(job: JobState) -> list[ItemState]:
    """Returns a job's waiting items, the one to be sent first in front.

    The load pattern answered: a step's groups arrive at once and exceed the
    free slots, a few texts are far longer than the rest, and the trainer
    goes on once most groups are whole. The groups that the trainer waits for
    go first, those with the longest text in front, as they end last; the
    groups with the very longest texts, which it can do without, go last.
    Groups with fewer items left go before others of their kind.
    """
    groups: dict[str, list[ItemState]] = {}
    for state in job.waiting():
        groups.setdefault(state.item.group, []).append(state)
    longest = {
        name: max(expected_output_tokens(state.item) for state in states)
        for name, states in groups.items()
    }
    all_groups = {item.group for item in job.submission.items}
    spare = len(all_groups) - job.submission.group_count
    if not job.submission.group_count:
        spare = 0
    by_length = sorted(groups, key=lambda name: longest[name], reverse=True)
    deferred = set(by_length[: max(0, spare)])
    ranked = sorted(groups, key=lambda name: (name in deferred, -longest[name]))
    return [
        state
        for name in ranked
        for state in sorted(
            groups[name],
            key=lambda s: expected_output_tokens(s.item),
            reverse=True,
        )
    ]


def place_items(
    jobs: Iterable[JobState],
    servers: dict[str, Sequence[ServerView]],
    *,
    data_centre: str,
    now_s: float,
    rng: random.Random,
) -> list[Placement]:
    """Returns the items to send now, and where to.

    Jobs with the earliest due time go first. A server takes items up to its
    slots, counting what other VMs have there as far as it is known; of those
    with a free slot, the one expected to end the text soonest is taken, so
    that long texts go to fast servers.

    Args:
        jobs: Open jobs of this VM.
        servers: Servers that take new work, by service.
        data_centre: Data centre of this VM.
        now_s: Monotonic time.
        rng: Breaks ties, so that VMs do not all take the same server.
    """
    placed: list[Placement] = []
    extra: dict[str, int] = {}
    homes: dict[tuple[str, str], str] = {}
    for job in sorted(jobs, key=_due_ms):
        views = servers.get(job.submission.service, ())
        usable = [v for v in views if _may_generate(v, job)]
        baseline_interval_s = baseline_event_interval_s(views)
        for state in order_items(job):
            if state.not_before_s > now_s or state.is_generated:
                continue
            home = homes.get((job.submission.job_id, state.item.group))
            view = _soonest_done(
                usable,
                extra,
                events=item_remaining_events(job, state),
                baseline_interval_s=baseline_interval_s,
                home=home,
                avoid=state.server if state.chunks else None,
                data_centre=data_centre,
                rng=rng,
            )
            if view is None:
                break
            name = view.entry.name
            extra[name] = extra.get(name, 0) + 1
            homes[job.submission.job_id, state.item.group] = name
            placed.append(Placement(job=job, state=state, server=view))
    return placed


def item_remaining_events(job: JobState, state: ItemState) -> float:
    """Returns the events that an item is still expected to need."""
    return expected_remaining_events(
        estimated_events=expected_output_tokens(state.item)
        / max(1, job.tokens_per_event),
        received_events=len(state.chunks),
    )


def _due_ms(job: JobState) -> float:
    return job.submission.submitted_ms + job.submission.due_s * 1000


def _may_generate(view: ServerView, job: JobState) -> bool:
    sub = job.submission
    if view.is_paused() or not view.accepts_model(sub.model):
        return False
    return not sub.model or view.versions.get(sub.model, 0) >= sub.min_version


def _soonest_done(
    views: Sequence[ServerView],
    extra: dict[str, int],
    *,
    events: float,
    baseline_interval_s: float,
    home: str | None,
    avoid: str | None,
    data_centre: str,
    rng: random.Random,
) -> ServerView | None:
    """Returns the server with a free slot that would end a text soonest."""
    best: ServerView | None = None
    best_cost = float("inf")
    for view in views:
        slots = max(1, view.entry.slots)
        load = view.load() + extra.get(view.entry.name, 0)
        if load >= slots + _QUEUE_AHEAD:
            continue
        cost = events * (view.event_interval_s or baseline_interval_s)
        cost += _FULL_LOAD_S * load / slots + _SPREAD_S * rng.random()
        cost += _REMOTE_S * (view.entry.data_centre != data_centre)
        cost -= _SAME_GROUP_S * (view.entry.name == home)
        cost += _LEFT_S * (view.entry.name == avoid)
        if cost < best_cost:
            best, best_cost = view, cost
    return best
