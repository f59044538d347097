"""Runs a demo plan, and judges it from the outside."""

import asyncio
import collections
import dataclasses
import time
from collections.abc import Callable

import aiohttp

from endivespindle.accounts.key_changes import withdraw_key
from endivespindle.core.digests import keyed_hash
from endivespindle.core.findings import Finding
from endivespindle.core.ids import RandomIdSource
from endivespindle.demo import observer
from endivespindle.demo.callers import CallerApp
from endivespindle.demo.deployment import Deployment
from endivespindle.schema.generated.demo import (
    DemoEvent,
    DemoEventKind,
    DemoPlan,
    TrainingRun,
)
from endivespindle.schema.generated.register import Register
from endivespindle.schema.generated.rollout import StepSubmission
from endivespindle.standins.trainer import TrainerStandin, make_steps
from endivespindle.store.keys import change_keys

__all__ = ["DemoResult", "run_demo"]

_CALL_PAUSE_S = 0.05
_WITHDRAWAL_LIMIT_S = 5.0
_READY_LIMIT_S = 10.0
_READY_POLL_S = 0.05
_PROGRESS_INTERVAL_S = 1.0

Progress = Callable[[str], None]


@dataclasses.dataclass(slots=True, kw_only=True)
class DemoResult:
    """What a demo showed.

    Attributes:
        rows: Rows of the final table: name and value.
        findings: Promises broken.
    """

    rows: list[tuple[str, str]]
    findings: list[Finding]


class _Run:
    """One run of a plan."""

    __slots__ = (
        "_withdrawn_at",
        "apps",
        "deployment",
        "plan",
        "say",
        "session",
        "trainers",
    )

    def __init__(
        self,
        *,
        plan: DemoPlan,
        deployment: Deployment,
        session: aiohttp.ClientSession,
        say: Progress,
    ):
        self.plan = plan
        self.deployment = deployment
        self.session = session
        self.say = say
        self.trainers: list[TrainerStandin] = []
        self.apps: list[CallerApp] = []
        self._withdrawn_at: dict[str, float] = {}

    async def go(self) -> None:
        """Runs trainers, apps and events until all are done."""
        await self._wait_ready()
        entries = self.deployment.entries()
        owners = {
            t.name: t.client_account for t in self.deployment.register.trainers
        }
        jobs = []
        for run in self.plan.training:
            trainer = TrainerStandin(
                name=run.trainer,
                key=self.deployment.keys[owners[run.trainer]],
                entries=entries,
                platform_url=self.deployment.platform_url,
                session=self.session,
            )
            self.trainers.append(trainer)
            jobs.append(trainer.run(self._steps(run), train_s=run.train_s))
        for spec in self.plan.calls:
            app = CallerApp(
                spec=spec,
                key=self.deployment.keys[spec.client_account],
                entries=entries,
                session=self.session,
            )
            self.apps.append(app)
            jobs.append(app.run(_CALL_PAUSE_S))
        jobs += [self._event(event) for event in self.plan.events]
        progress = asyncio.create_task(self._progress())
        try:
            await asyncio.gather(*jobs)
            await self._wait_reported()
        finally:
            progress.cancel()

    def late_accepts(self) -> list[Finding]:
        """Returns keys that worked long after their withdrawal."""
        return [
            Finding(
                place=app.spec.client_account,
                message="a withdrawn key went on working",
            )
            for app in self.apps
            if app.spec.client_account in self._withdrawn_at
            and app.accepted_at
            > self._withdrawn_at[app.spec.client_account] + _WITHDRAWAL_LIMIT_S
        ]

    def _steps(self, run: TrainingRun) -> list[StepSubmission]:
        trainer = next(
            t
            for t in self.deployment.register.trainers
            if t.name == run.trainer
        )
        return make_steps(
            trainer=run.trainer,
            steps=run.steps,
            groups=run.groups_per_step,
            samples=trainer.group_size,
            max_tokens=trainer.max_tokens,
        )

    async def _wait_ready(self) -> None:
        async with asyncio.timeout(_READY_LIMIT_S):
            for vm in self.deployment.vms:
                while not vm.ctx.is_ready():  # noqa: ASYNC110
                    await asyncio.sleep(_READY_POLL_S)

    async def _event(self, event: DemoEvent) -> None:
        await asyncio.sleep(event.at_s)
        self.say(f"{event.event.value}: {event.target}")
        match event.event:
            case DemoEventKind.ENGINE_FAILS:
                self.deployment.engines[event.target].faults.down = True
            case DemoEventKind.ENGINE_RECOVERS:
                self.deployment.engines[event.target].faults.down = False
            case DemoEventKind.SWAP_FAILS:
                self.deployment.engines[event.target].faults.failed_swaps += 1
            case DemoEventKind.SERVICE_CUTS_ANSWER:
                self.deployment.services[event.target].cut_after_run += 1
            case DemoEventKind.ANSWER_LOST:
                self.deployment.platform.faults.lose_answers += 1
            case DemoEventKind.KEY_WITHDRAWN:
                await self._withdraw(event.target)

    async def _withdraw(self, account: str) -> None:
        secret = self.deployment.vms[0].ctx.settings.keys.hash_secret
        key_hash = keyed_hash(secret, self.deployment.keys[account])
        await change_keys(
            self.deployment.platform.store,
            change=withdraw_key(key_hash_or_id=key_hash),
            ids=RandomIdSource(),
        )
        self._withdrawn_at[account] = time.monotonic()

    async def _progress(self) -> None:
        said = ""
        while True:
            await asyncio.sleep(_PROGRESS_INTERVAL_S)
            samples = sum(len(t.samples) for t in self.trainers)
            calls = sum(sum(a.outcomes.values()) for a in self.apps)
            reports = len(self.deployment.platform.reports)
            line = (
                f"{samples} samples delivered, {calls} calls answered, "
                f"{reports} usage reports taken"
            )
            if line != said:
                self.say(line)
            said = line

    async def _wait_reported(self) -> None:
        """Waits until the last window was closed and reported."""
        rules = self.deployment.register.rules
        wait_s = rules.usage_window_s + rules.usage_grace_s + 3.0
        self.say("waiting for the last usage window to close")
        await asyncio.sleep(wait_s)


async def run_demo(
    *, plan: DemoPlan, register: Register, seed: int, say: Progress
) -> DemoResult:
    """Runs a plan and returns what was seen from outside.

    Args:
        plan: The plan.
        register: The register, addresses to be replaced by the stand-ins'.
        seed: Seed of everything random.
        say: Called with a line of progress.
    """
    deployment = Deployment(plan=plan, register=register, seed=seed)
    started_s = time.monotonic()
    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0)
    ) as session:
        run = _Run(plan=plan, deployment=deployment, session=session, say=say)
        await deployment.start()
        findings: list[Finding] = []
        try:
            async with asyncio.timeout(plan.time_limit_s):
                await run.go()
        except TimeoutError:
            findings.append(Finding(place="demo", message="ran out of time"))
        finally:
            await deployment.stop()
    return _judge(run, findings, time.monotonic() - started_s)


def _judge(run: _Run, findings: list[Finding], elapsed_s: float) -> DemoResult:
    deployment = run.deployment
    stale = observer.check_staleness(deployment)
    usage = observer.check_usage(deployment, run.apps)
    doubled = sum(observer.count_doubled(t) for t in run.trainers)
    if doubled:
        findings.append(Finding(place="samples", message=f"{doubled} doubled"))
    for trainer in run.trainers:
        findings += observer.check_samples(trainer, deployment)
    findings += stale + usage + run.late_accepts()
    findings += observer.check_backend_servers(deployment)
    findings += observer.check_calls(run.apps, deployment)
    outcomes: collections.Counter[str] = collections.Counter()
    for app in run.apps:
        outcomes.update(app.outcomes)
    idle_s = sum(t.idle_s for t in run.trainers)
    busy_s = sum(t.busy_s for t in run.trainers)
    worst = _worst_served(run.apps)
    said = ", ".join(f"{name} {n}" for name, n in outcomes.most_common())
    delivered = sum(len(t.samples) for t in run.trainers)
    return DemoResult(
        rows=[
            ("samples delivered", str(delivered)),
            ("samples doubled", str(doubled)),
            ("samples over the bound", str(len(stale))),
            ("trainer idle time", f"{idle_s / (idle_s + busy_s or 1):.0%}"),
            ("worst-served client account", worst),
            ("requests by outcome", said),
            ("usage reports verified", "no" if usage else "yes"),
            ("usage reports taken", str(len(deployment.platform.reports))),
            ("seconds", f"{elapsed_s:.1f}"),
        ],
        findings=findings,
    )


def _worst_served(apps: list[CallerApp]) -> str:
    """Returns the account with the lowest share of calls answered."""
    shares: dict[str, float] = {}
    for app in apps:
        if app.outcomes["key_withdrawn"]:
            continue
        share = app.outcomes["ok"] / max(1, sum(app.outcomes.values()))
        name = app.spec.client_account
        shares[name] = min(share, shares.get(name, 1.0))
    if not shares:
        return "-"
    name, share = min(shares.items(), key=lambda item: (item[1], item[0]))
    return f"{name}, {share:.0%} of its calls answered"
