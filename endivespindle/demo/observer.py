"""Checks the promises from outside: platform, servers and callers."""

import collections

import msgspec

from endivespindle.core.findings import Finding
from endivespindle.demo.callers import CallerApp
from endivespindle.demo.deployment import Deployment
from endivespindle.node.delivery_log import TRAINER_KIND
from endivespindle.schema.generated.stored import TrainerState, UsageReport
from endivespindle.standins.engine import EngineStandin
from endivespindle.standins.service import ServiceStandin
from endivespindle.standins.trainer import TrainerStandin
from endivespindle.usage.verify import verify_reports

__all__ = [
    "check_backend_servers",
    "check_calls",
    "check_samples",
    "check_staleness",
    "check_usage",
    "count_doubled",
]


def count_doubled(trainer: TrainerStandin) -> int:
    """Returns how many samples came more than once to one slot."""
    slots = collections.Counter(
        (s.sample.step, s.sample.group, s.sample.index) for s in trainer.samples
    )
    return sum(count - 1 for count in slots.values())


def check_samples(
    trainer: TrainerStandin, deployment: Deployment
) -> list[Finding]:
    """Compares each sample's spans with what the engines truly produced."""
    truth: dict[str, list[list[int]]] = collections.defaultdict(list)
    for engine in deployment.engines.values():
        for request_id, versions in engine.produced.items():
            truth[request_id.split("/")[0]].append(versions)
    findings = []
    for delivered in trainer.samples:
        sample = delivered.sample
        name = f"{trainer.name}.{sample.step}.{sample.group}.{sample.index}"
        claimed = [
            span.version
            for span in sample.spans
            for _ in range(span.first_token, span.last_token + 1)
        ]
        made = {v for versions in truth[name] for v in versions}
        if len(claimed) != sample.tokens or not set(claimed) <= made:
            findings.append(
                Finding(place=name, message="names versions not produced")
            )
    return findings


def check_staleness(deployment: Deployment) -> list[Finding]:
    """Checks the bound in every write of a trainer's state."""
    bounds = {
        t.name: t.max_staleness_versions for t in deployment.register.trainers
    }
    findings = []
    seen: collections.defaultdict[str, int] = collections.defaultdict(int)
    for obj in deployment.platform.store.log:
        if obj.kind != TRAINER_KIND or obj.value is None:
            continue
        state = msgspec.json.decode(obj.value, type=TrainerState)
        for entry in state.entries:
            if entry.cursor <= seen[obj.name]:
                continue
            seen[obj.name] = entry.cursor
            if entry.oldest_version < state.version - bounds[obj.name]:
                findings.append(
                    Finding(
                        place=f"{obj.name}, cursor {entry.cursor}",
                        message="older than the bound",
                    )
                )
    return findings


def check_backend_servers(deployment: Deployment) -> list[Finding]:
    """Looks for callers' keys, and for calls that ran twice."""
    findings = []
    keys = set(deployment.keys.values())
    servers: list[EngineStandin | ServiceStandin] = [
        *deployment.engines.values(),
        *deployment.services.values(),
    ]
    for server in servers:
        shown = {
            value
            for headers in server.seen_headers
            for value in headers.values()
        }
        if any(key in value for key in keys for value in shown):
            findings.append(
                Finding(place=server.name, message="saw a caller's key")
            )
    idempotent = {
        route.service: route.idempotent for route in deployment.register.routes
    }
    runs: collections.Counter[str] = collections.Counter()
    service_of = {
        server.name: server.service
        for server in deployment.register.backend_servers
    }
    for plain in deployment.services.values():
        if not idempotent.get(service_of[plain.name], False):
            runs.update(plain.runs)
    findings += [
        Finding(place=request_id, message=f"ran {count} times")
        for request_id, count in runs.items()
        if count > 1
    ]
    return findings


def check_calls(apps: list[CallerApp], deployment: Deployment) -> list[Finding]:
    """Checks answers, and that what was said not to run did not run."""
    ran = {
        request_id
        for plain in deployment.services.values()
        for request_id in plain.runs
    }
    findings = []
    for app in apps:
        if app.wrong:
            findings.append(
                Finding(
                    place=app.spec.client_account,
                    message=f"{app.wrong} answers not whole or not its own",
                )
            )
        findings += [
            Finding(place=request_id, message="said not_run, but ran")
            for request_id, said in app.request_ids.items()
            if said == "not_run" and request_id in ran
        ]
    return findings


def check_usage(deployment: Deployment, apps: list[CallerApp]) -> list[Finding]:
    """Verifies every report, and compares the sums with the callers'."""
    findings = []
    bodies: dict[tuple[str, int], set[bytes]] = collections.defaultdict(set)
    for account, window, body in deployment.platform.reports:
        bodies[account, window].add(body)
    by_account: dict[str, list[UsageReport]] = collections.defaultdict(list)
    for (account, window), versions in sorted(bodies.items()):
        if len(versions) > 1:
            findings.append(
                Finding(
                    place=f"{account}, window {window}",
                    message="reported with different figures",
                )
            )
        report = msgspec.json.decode(min(versions), type=UsageReport)
        by_account[account].append(report)
    for account, reports in by_account.items():
        findings += [
            Finding(place=f"{account}, {f.place}", message=f.message)
            for f in verify_reports(reports)
        ]
    return findings + _compare_sums(by_account, apps)


def _compare_sums(
    by_account: dict[str, list[UsageReport]], apps: list[CallerApp]
) -> list[Finding]:
    """Compares billed requests of plain routes and apps with answers."""
    answered: collections.Counter[str] = collections.Counter()
    for app in apps:
        answered[app.spec.client_account] += app.outcomes["ok"]
    findings = []
    for account, count in answered.items():
        billed = sum(
            line.requests
            for report in by_account.get(account, [])
            for line in report.lines
            if line.outcome == "ran"
        )
        if billed < count:
            findings.append(
                Finding(
                    place=account,
                    message=f"{count} calls answered, {billed} reported",
                )
            )
    return findings
