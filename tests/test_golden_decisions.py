"""A whole session of the decisions, compared with its golden file.

From a register through keys, a step of samples, a stale one and a doubled
one, a lease that changes hands, to a usage report: every input and every
output of the decision classes, on a manual clock and seeded identities.
Write the file anew with `pytest --snapshot-update`, and read the difference.
"""

import pathlib
from typing import Any

import msgspec

from endivespindle.accounts.freshness import KeyFreshness
from endivespindle.accounts.key_changes import grant_key, withdraw_key
from endivespindle.accounts.keys import KeyTable
from endivespindle.core.clock import ManualClock
from endivespindle.core.digests import canonical_json, sha256_hex
from endivespindle.demo.load import read_toml
from endivespindle.exceptions import CheckError, RefusedError
from endivespindle.leases.lease import Lease
from endivespindle.register.active_revision import ActiveRevision
from endivespindle.register.checking import decode_register
from endivespindle.rollout.delivery import (
    CandidateSample,
    acknowledge,
    commit_samples,
    declare_version,
    offer,
)
from endivespindle.rollout.spans import SpanBuilder
from endivespindle.rollout.submission import split_step, submit_step
from endivespindle.schema.generated.backend import GenerateChunk
from endivespindle.schema.generated.rollout import (
    GroupSubmission,
    StepSubmission,
)
from endivespindle.schema.generated.stored import (
    KeyTableRoot,
    RegisterRoot,
    TrainerState,
    UsageLine,
)
from endivespindle.usage.verify import verify_reports
from endivespindle.usage.windows import build_report

_ROOT = pathlib.Path(__file__).resolve().parent
_REGISTER = _ROOT.parent / "examples/tsagaan_amttan/register.toml"
_SECRET = "golden-hash-secret-0123456789"


class _Session:
    """Writes down what was asked and what was decided."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.lines: list[bytes] = []

    def note(self, what: str, value: Any) -> None:
        self.lines.append(
            canonical_json(
                {
                    "at_s": self.clock.monotonic(),
                    "what": what,
                    "value": msgspec.to_builtins(value),
                }
            )
        )


def _configure(session: _Session) -> None:
    document = read_toml(_REGISTER)
    register = decode_register(document)
    body = canonical_json(msgspec.to_builtins(register))
    held = ActiveRevision()
    for revision in (1, 3, 2):
        root = RegisterRoot(
            revision=revision, digest=sha256_hex(body), token=f"c{revision}"
        )
        taken = held.apply_if_newer(root=root, body=body)
        session.note(f"offer revision {revision}", taken)
    document["routes"][0]["service"] = "no-such-service"
    document["trainers"][0]["client_account"] = "nobody"
    try:
        decode_register(document)
    except CheckError as exc:
        session.note("findings", [str(f) for f in exc.findings])


def _use_keys(session: _Session) -> None:
    table = KeyTable(
        hash_secret=_SECRET, freshness=KeyFreshness(clock=session.clock)
    )
    root = KeyTableRoot(generation=0, keys=[], token="")
    grant = grant_key(
        key="one", client_account="cafe-nomin", hash_secret=_SECRET
    )
    root = grant(root)
    table.apply_if_newer(root)
    table.confirm()
    record = table.resolve("one", max_unconfirmed_s=5.0)
    session.note("resolved", record.client_account)
    session.clock.advance(6.0)
    for change, name in (
        (None, "unconfirmed"),
        (withdraw_key(key_hash_or_id=record.key_id), "withdrawn"),
        (
            grant_key(
                key="one", client_account="cafe-saran", hash_secret=_SECRET
            ),
            "granted to another",
        ),
    ):
        if change is not None:
            root = change(root)
            table.apply_if_newer(root)
            table.confirm()
        try:
            table.check(record, max_unconfirmed_s=5.0)
        except RefusedError as exc:
            session.note(name, exc.reason.code)


def _deliver(session: _Session) -> None:
    group = GroupSubmission(group=0, prompt="p", samples=3, max_tokens=8)
    split = split_step(StepSubmission(step=0, groups=[group]))
    state = submit_step(TrainerState(), split)
    spans = SpanBuilder()
    for offset, version in ((0, 4), (4, 4), (8, 5)):
        spans.add(
            GenerateChunk(
                request_id="r",
                offset=offset,
                text="wwww",
                tokens=4,
                version=version,
            )
        )
    session.note("spans", spans.spans)
    state = declare_version(state, 6)
    candidates = [
        CandidateSample(
            step=0,
            group=0,
            index=index,
            digest=f"d{index}",
            holders=["ulaan-1", "darkhan-1"],
            oldest_version=version,
            tokens=12,
        )
        for index, version in ((0, 4), (1, 2), (0, 5), (2, 6))
    ]
    result = commit_samples(state, candidates, max_staleness_versions=3)
    session.note("committed", result.committed)
    session.note("entries", result.state.entries)
    session.note("stale", result.stale)
    session.note("doubled", result.duplicates)
    offered = offer(
        result.state, result.state.entries, max_staleness_versions=3
    )
    session.note("offered", offered.entries)
    session.note("acknowledged", acknowledge(offered.state, 1))


def _pass_lease(session: _Session) -> None:
    first = Lease(holder="ulaan-1/x", clock=session.clock, term_s=6.0)
    first.observe(None, 0)
    write = first.next_write(token="l1")
    assert write is not None
    first.write_succeeded(1)
    session.note("first holds", [first.is_held(), first.epoch])
    second = Lease(holder="khovd-1/y", clock=session.clock, term_s=6.0)
    second.observe(write.record, 1)
    for _ in range(4):
        session.clock.advance(2.0)
        taken = second.next_write(token="l2")
        session.note("may first send", first.may_send(timeout_s=1.0))
        session.note("second takes", taken)
    second.write_succeeded(2)
    session.note("second holds", [second.is_held(), second.epoch])


def _report(session: _Session) -> None:
    line = UsageLine(
        client_account="cafe-nomin",
        service="desk-app",
        outcome="ran",
        requests=3,
        prompt_tokens=40,
        output_tokens=96,
    )
    report = build_report(
        client_account="cafe-nomin",
        window=7,
        window_s=3600.0,
        lines=[line],
        previous_chain="",
    )
    session.note("report", report)
    session.note("verified", [str(f) for f in verify_reports([report])])
    report.lines[0].output_tokens += 1
    session.note("tampered", [str(f) for f in verify_reports([report])])


def test_decisions(text_snapshot):
    session = _Session()
    _configure(session)
    _use_keys(session)
    _deliver(session)
    _pass_lease(session)
    _report(session)
    text = b"\n".join(session.lines) + b"\n"
    assert text.decode() == text_snapshot
