"""Scheduling of the open batch jobs' items on backend servers."""

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
from endivespindle.serving.prompt_queue import prompt_cost_s

__all__ = [
    "MAX_START_DELAY_S",
    "Placement",
    "item_remaining_events",
    "item_unread_tokens",
    "order_items",
    "place_items",
]

# Longest wait of an item for a server that limits its request rate. Waiting
# items are placed again at this interval.
MAX_START_DELAY_S = 0.1

# Requests queued at a server beyond its slots, so that a freed slot is used at
# once; the round trip is short compared with an item.
_QUEUE_AHEAD = 1
# Seconds that full load of a server adds to a completion: each engine step
# takes a little longer for each running request.
_FULL_LOAD_COST_S = 0.3
# Cost of another data centre, in seconds; breaks ties only.
_REMOTE_COST_S = 0.01
# Seconds saved at the server with the group's prompt in its prefix cache.
_PREFIX_CACHE_GAIN_S = 0.05
# Cost of the server that the item was sent to last, in seconds: an item returns
# there only if every other server is slower by this much.
_RETURN_COST_S = 1.0
# Cost of a new connection, in seconds: servers accept a limited number of them,
# and each occupies its server for a moment.
_NEW_CONNECTION_COST_S = 0.05
# Range of a random cost, in seconds, so that VMs with the same information do
# not all choose the same server.
_JITTER_S = 0.02


class Placement(msgspec.Struct, kw_only=True, frozen=True):
    """An item and the server to send it to."""

    job: JobState
    state: ItemState
    server: ServerView


def order_items(job: JobState) -> list[ItemState]:
    """Returns a job's waiting items in the order in which to send them.

    Load pattern: a step's groups arrive at once and exceed the free slots, a
    few completions are far longer than the rest, and the trainer continues
    once most groups are complete. The groups that the trainer waits for come
    first, ordered by their longest expected completion, the longest first, as
    it ends last. The groups with the very longest completions, which the
    trainer does not need, come last.
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
    prompt_tokens_per_s: float | None = None,
) -> list[Placement]:
    """Returns the items to send now, each with its server.

    Jobs with the earliest due time are placed first. A server accepts items up
    to its slots and a short queue, and at the request rate that it allows; the
    known requests of other VMs count. Of the servers with room, the one
    expected to finish the completion soonest is chosen, so that long
    completions go to fast servers.

    Args:
        jobs: Open jobs of this VM.
        servers: Servers that accept new requests, by service.
        data_centre: Data centre of this VM.
        now_s: Monotonic time.
        rng: Source of the random cost.
        prompt_tokens_per_s: Prompt tokens that a server reads in a second; None
            if the length of prompts does not count.
    """
    placed: list[Placement] = []
    assigned: dict[str, int] = {}
    assigned_tokens: dict[str, int] = {}
    prefix_servers: dict[tuple[str, str], str] = {}
    for job in sorted(jobs, key=_due_ms):
        views = servers.get(job.service, ())
        usable = [v for v in views if _may_generate(v, job)]
        baseline_interval_s = baseline_event_interval_s(views)
        for state in order_items(job):
            if state.not_before_s > now_s or state.is_generated:
                continue
            prefix_server = prefix_servers.get(
                (job.submission.job_id, state.item.group)
            )
            candidates = [
                v for v in usable if not _is_reserved(v, job, assigned)
            ]
            is_too_large = job.exceeds_cache(state)
            if is_too_large:
                # Its refusal would not show whether the server accepts others.
                candidates = [
                    v
                    for v in candidates
                    if not v.models.is_probing(job.submission.model)
                ]
            if now_s < state.resume_until_s:
                candidates = _resumable(candidates, views, state)
            view = _fastest_server(
                candidates,
                assigned,
                assigned_tokens,
                state=state,
                prompt_tokens_per_s=prompt_tokens_per_s,
                events=item_remaining_events(job, state),
                baseline_interval_s=baseline_interval_s,
                prefix_server=prefix_server,
                previous_server=state.server or None,
                data_centre=data_centre,
                rng=rng,
            )
            if view is None and (state.chunks or is_too_large):
                # Others may find room at servers that this one cannot use.
                continue
            if view is None:
                break
            name = view.entry.name
            assigned[name] = assigned.get(name, 0) + 1
            assigned_tokens[name] = assigned_tokens.get(
                name, 0
            ) + item_unread_tokens(
                state, is_prefix_cached=name == prefix_server
            )
            prefix_servers[job.submission.job_id, state.item.group] = name
            placed.append(Placement(job=job, state=state, server=view))
    return placed


def item_unread_tokens(state: ItemState, *, is_prefix_cached: bool) -> int:
    """Returns the prompt tokens that a server has to read for an item.

    Args:
        state: The item.
        is_prefix_cached: Whether the server has read the group's prompt.
    """
    if is_prefix_cached:
        return state.item.own_prompt_tokens
    return state.item.prompt_tokens


def item_remaining_events(job: JobState, state: ItemState) -> float:
    """Returns the number of events an item is still expected to need."""
    return expected_remaining_events(
        estimated_events=expected_output_tokens(state.item)
        / max(1, job.tokens_per_event),
        received_events=len(state.chunks),
    )


def _due_ms(job: JobState) -> float:
    return job.submission.submitted_ms + job.submission.due_s * 1000


def _may_generate(view: ServerView, job: JobState) -> bool:
    sub = job.submission
    if view.is_paused() or not view.models.accepts(sub.model):
        return False
    return not sub.model or view.versions.get(sub.model, 0) >= sub.min_version


def _resumable(
    candidates: Sequence[ServerView],
    views: Sequence[ServerView],
    state: ItemState,
) -> list[ServerView]:
    """Returns the candidates that may go on with an item's completion.

    Load pattern: a release replaces the servers of a service one by one, and
    streams break off meanwhile. To begin anew loses what was generated, so that
    an item waits for a moment while servers of its software are busy or fail.

    Args:
        candidates: Servers that may be sent items now.
        views: All servers of the service that accept requests.
        state: The item.
    """
    if not any(state.may_resume_at(v.entry.software) for v in views):
        return list(candidates)
    return [v for v in candidates if state.may_resume_at(v.entry.software)]


def _is_reserved(
    view: ServerView, job: JobState, assigned: dict[str, int]
) -> bool:
    """Returns whether a server that refused the model tests one request."""
    model = job.submission.model
    return view.models.is_probing(model) and (
        view.models.awaits_probe(model) or view.entry.name in assigned
    )


def _fastest_server(
    views: Sequence[ServerView],
    assigned: dict[str, int],
    assigned_tokens: dict[str, int],
    *,
    state: ItemState,
    prompt_tokens_per_s: float | None,
    events: float,
    baseline_interval_s: float,
    prefix_server: str | None,
    previous_server: str | None,
    data_centre: str,
    rng: random.Random,
) -> ServerView | None:
    """Returns the server that would finish a completion soonest.

    Args:
        views: Servers that may generate it.
        assigned: Requests placed in this pass, by server name.
        assigned_tokens: Prompt tokens placed in this pass, by server name.
        prompt_tokens_per_s: Prompt tokens that a server reads in a second; None
            if the length of prompts does not count.
        state: The item; a server whose software did not begin its completion
            generates it from the beginning.
        events: Events the completion still needs.
        baseline_interval_s: Seconds per event assumed for servers whose
            interval is not known.
        prefix_server: Server with the group's prompt in its prefix cache.
        previous_server: Server that the item was sent to last.
        data_centre: Data centre of this VM.
        rng: Source of the random cost.

    Returns:
        A server, or None if none has room.
    """
    best: ServerView | None = None
    best_cost = float("inf")
    for view in views:
        slots = max(1, view.entry.slots)
        reserved = assigned.get(view.entry.name, 0)
        if view.rate_limit.start_delay_s(reserved=reserved) > MAX_START_DELAY_S:
            continue
        load = view.load() + reserved
        if load >= slots + _QUEUE_AHEAD:
            continue
        needed = events
        if not state.may_resume_at(view.entry.software):
            needed += len(state.chunks)
        cost = needed * (view.event_interval_s or baseline_interval_s)
        cost += _FULL_LOAD_COST_S * load / slots + _JITTER_S * rng.random()
        cost += _REMOTE_COST_S * (view.entry.data_centre != data_centre)
        is_prefix_cached = view.entry.name == prefix_server
        cost -= _PREFIX_CACHE_GAIN_S * is_prefix_cached
        if prompt_tokens_per_s:
            cost += prompt_cost_s(
                tokens=item_unread_tokens(
                    state, is_prefix_cached=is_prefix_cached
                ),
                queued_tokens=view.prompts.tokens
                + assigned_tokens.get(view.entry.name, 0),
                running=load,
                slots=slots,
                tokens_per_s=prompt_tokens_per_s,
            )
        cost += _NEW_CONNECTION_COST_S * (
            not view.has_idle_connection(reserved=reserved)
        )
        cost += _RETURN_COST_S * (view.entry.name == previous_server)
        if cost < best_cost:
            best, best_cost = view, cost
    return best
