"""Measures the slopes that docs/CAPACITY.md works from.

Each line gives a figure per unit with its spread over the repeats. The runs
use one process; `--sizes` sets the numbers of peers on loopback.
"""

import argparse
import asyncio
import itertools
import logging
import random
import tomllib
import tracemalloc
from collections.abc import Callable

import msgspec
import structlog
from capacity_slopes import cpu_us, show, slope
from measure_tokens import tokens

from endivespindle.accounts.freshness import KeyFreshness
from endivespindle.accounts.keys import KeyTable
from endivespindle.bench.experiment_control import measure_control
from endivespindle.bench.experiment_spread import measure_spread
from endivespindle.core.clock import ManualClock
from endivespindle.core.digests import canonical_json, sha256_hex
from endivespindle.membership.gossip import Gossip, StateVersions
from endivespindle.membership.view import MembershipView
from endivespindle.register.active_revision import ActiveRevision
from endivespindle.register.checking import decode_register
from endivespindle.rollout.delivery import CandidateSample, commit_samples
from endivespindle.rollout.submission import split_step, submit_step
from endivespindle.routing.choice import Candidate, TwoChoicesByCacheAndLoad
from endivespindle.schema.generated.peer import MemberUpdate
from endivespindle.schema.generated.rollout import (
    GroupSubmission,
    StepSubmission,
)
from endivespindle.schema.generated.stored import (
    KeyRecord,
    KeyState,
    KeyTableRoot,
    RegisterRoot,
    TrainerState,
    UsageLine,
    UsagePart,
)
from endivespindle.usage.windows import build_report, sum_parts

_LOOPS = 100


def control(sizes: list[int], seed: int) -> None:
    """Measures real peers on loopback."""
    for size in sizes:
        figures = asyncio.run(
            measure_control(size=size, seed=seed, measured_s=5.0)
        )
        for figure, value in figures.items():
            show(f"control, {size} peers, {figure}", "", [value])


def spread(size: int, seeds: int) -> None:
    """Measures the spread of news in virtual time."""
    runs = [
        measure_spread(size=size, centres=9, seed=seed)
        for seed in range(1, seeds + 1)
    ]
    for figure in runs[0]:
        show(f"spread, {size} VMs, {figure}", "", [r[figure] for r in runs])


def _members(count: int) -> list[MemberUpdate]:
    return [
        MemberUpdate(
            vm=f"dc-{i % 9}-entry-{i}",
            data_centre=f"dc-{i % 9}",
            host=f"10.0.{i // 250}.{i % 250}",
            http_port=8000,
            peer_port=8001,
            incarnation=f"vm-{i:024x}",
            life=1,
        )
        for i in range(count)
    ]


def _gossip(count: int) -> Gossip:
    members = _members(count)
    clock = ManualClock()
    gossip = Gossip(
        local_member=members[0],
        view=MembershipView(
            vm=members[0].vm,
            data_centre="dc-0",
            clock=clock,
            suspect_after_s=3.0,
            dead_after_s=10.0,
        ),
        rng=random.Random(1),
        interval_s=0.5,
    )
    gossip.merge_members(members)
    return gossip


def membership() -> None:
    """Measures the table of VMs and one interval's decisions."""
    versions = StateVersions(
        register_revision=1, key_generation=1, store_age_s=0.0
    )
    for count in (9, 450, 1800):
        tracemalloc.start()
        gossip = _gossip(count)
        size, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        show(f"membership, {count} VMs, memory", "KB", [size / 1024])
        table = msgspec.msgpack.encode(gossip.members())
        show(f"membership, {count} VMs, joining", "KB", [len(table) / 1024])

        def interval(gossip: Gossip = gossip) -> None:
            for _ in range(100):
                for name in gossip.next_probe_targets():
                    gossip.make_heartbeat(receiver=name, versions=versions)

        values = [value / 100 for value in cpu_us(interval)]
        show(f"membership, {count} VMs, an interval", "us", values)


def routing() -> None:
    """Measures a choice among candidates."""
    rng = random.Random(1)

    def make(count: int) -> Callable[[], None]:
        chooser = TwoChoicesByCacheAndLoad(rng=random.Random(1))
        candidates = [
            Candidate(
                name=f"s{i}",
                slots=8,
                own_inflight=rng.randrange(8),
                reported_load=rng.randrange(8),
                cached_blocks=rng.randrange(4),
                prompt_blocks=4,
            )
            for i in range(count)
        ]

        def choose() -> None:
            for _ in range(_LOOPS):
                chooser.choose(candidates)

        return choose

    sizes = [10, 100, 1000, 10_000]
    slope("routing, 100 choices", "candidate", sizes, make)


def delivery() -> None:
    """Measures a commit of 256 samples against the slots of a step."""

    def make(slots: int) -> Callable[[], object]:
        step = StepSubmission(
            step=1,
            groups=[
                GroupSubmission(
                    group=group, prompt="x" * 64, samples=16, max_tokens=1024
                )
                for group in range(slots // 16)
            ],
        )
        state = submit_step(TrainerState(version=10), split_step(step))
        samples = [
            CandidateSample(
                step=1,
                group=i // 16,
                index=i % 16,
                digest="d" * 64,
                holders=["vm-1", "vm-2"],
                oldest_version=10,
                tokens=1000,
            )
            for i in range(256)
        ]
        print(
            f"delivery, {slots} slots, object "
            f"{len(msgspec.json.encode(state)) / 1024:.0f} KB"
        )

        def commit() -> bytes:
            result = commit_samples(state, samples, max_staleness_versions=2)
            return msgspec.json.encode(result.state)

        return commit

    slope("delivery, commit of 256", "slot", [1024, 4096, 16_384], make)


def usage() -> None:
    """Measures the freezing of a window against accounts and parts."""

    def part(accounts: int, number: int) -> UsagePart:
        return UsagePart(
            vm=f"vm-{number}",
            incarnation=f"i-{number}",
            sequence=1,
            lines=[
                UsageLine(
                    client_account=f"a-{i}",
                    service="s",
                    outcome="ok",
                    requests=1,
                    prompt_tokens=10,
                    output_tokens=10,
                )
                for i in range(accounts)
            ],
            token="",
        )

    def freeze(accounts: int, parts: int) -> Callable[[], None]:
        held = [part(accounts, number) for number in range(parts)]

        def run() -> None:
            by_account = itertools.groupby(
                sum_parts(held), key=lambda line: line.client_account
            )
            for account, lines in by_account:
                build_report(
                    client_account=account,
                    window=1,
                    window_s=60.0,
                    lines=list(lines),
                    previous_chain="",
                )

        return run

    slope(
        "usage, freeze of 9 parts",
        "account",
        [8, 100, 1000],
        lambda n: freeze(n, 9),
    )
    slope(
        "usage, freeze of 100 accounts",
        "part",
        [9, 90, 900],
        lambda n: freeze(100, n),
    )


def register(document: dict) -> None:
    """Measures check and taking into force against backend servers."""
    first = document["backend_servers"][0]

    def make_document(count: int) -> dict:
        servers = [
            {**first, "name": f"{first['name']}-x{i}"} for i in range(count)
        ]
        others = document["backend_servers"]
        return {**document, "backend_servers": others + servers}

    def make_check(count: int) -> Callable[[], object]:
        grown = make_document(count)
        return lambda: decode_register(grown)

    def make_offer(count: int) -> Callable[[], object]:
        body = canonical_json(
            msgspec.to_builtins(decode_register(make_document(count)))
        )
        print(f"register, {count} servers, revision {len(body) / 1024:.0f} KB")
        root = RegisterRoot(
            revision=1,
            digest=sha256_hex(body),
            token="",
        )
        return lambda: ActiveRevision().apply_if_newer(root=root, body=body)

    sizes = [10, 1000, 10_000]
    slope("register, check", "server", sizes, make_check)
    slope("register, into force", "server", sizes, make_offer)


def keys() -> None:
    """Measures taking a key table and resolving a key."""

    def make(count: int) -> Callable[[], object]:
        root = KeyTableRoot(
            generation=1,
            token="",
            keys=[
                KeyRecord(
                    key_id=f"{i:012x}",
                    key_hash=sha256_hex(str(i).encode()),
                    client_account=f"a-{i}",
                    state=KeyState.GRANTED,
                    generation=1,
                    token="",
                )
                for i in range(count)
            ],
        )
        data = msgspec.msgpack.encode(root)
        print(f"keys, {count}, table {len(data) / 1024:.0f} KB")

        def take() -> None:
            table = KeyTable(
                hash_secret="s" * 16,
                freshness=KeyFreshness(clock=ManualClock()),
            )
            table.apply_if_newer(
                msgspec.msgpack.decode(data, type=KeyTableRoot)
            )

        return take

    slope("keys, taking a table", "key", [100, 1000, 10_000], make)


def main() -> None:
    """Measures everything, one line each."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--sizes", default="9,36,72,144,288")
    parser.add_argument("--spread", type=int, default=1800)
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    with open("examples/tsagaan_amttan/register.toml", "rb") as file:
        document = tomllib.load(file)
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR)
    )
    membership()
    routing()
    delivery()
    usage()
    register(document)
    keys()
    tokens(document)
    control([int(size) for size in args.sizes.split(",") if size], args.seed)
    if args.spread:
        spread(args.spread, 1)


if __name__ == "__main__":
    main()
