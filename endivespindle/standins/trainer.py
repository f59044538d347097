"""A stand-in for a trainer that pulls samples and publishes weights."""

import asyncio
import time

import aiohttp
import msgspec

from endivespindle.schema.generated.rollout import (
    Acknowledgement,
    DeliveredSample,
    GroupSubmission,
    SampleBatch,
    StepSubmission,
    VersionDeclaration,
)

__all__ = ["TrainerStandin"]

_RETRY_PAUSE_S = 0.1
_PULL_WAIT_S = 1.0


class TrainerStandin:
    """Submits steps ahead, trains on what it pulls, publishes weights.

    Attributes:
        name: Name of the trainer.
        samples: Every sample pulled, in order.
        idle_s: Seconds spent waiting for samples.
        busy_s: Seconds spent training.
        refusals: Reason codes of refused calls.
    """

    __slots__ = (
        "_entries",
        "_key",
        "_platform_url",
        "_session",
        "_turn",
        "busy_s",
        "idle_s",
        "name",
        "refusals",
        "samples",
        "version",
    )

    def __init__(
        self,
        *,
        name: str,
        key: str,
        entries: list[str],
        platform_url: str,
        session: aiohttp.ClientSession,
    ):
        self.name = name
        self.samples: list[DeliveredSample] = []
        self.idle_s = 0.0
        self.busy_s = 0.0
        self.refusals: list[str] = []
        self.version = 0
        self._key = key
        self._entries = entries
        self._platform_url = platform_url
        self._session = session
        self._turn = 0

    async def run(self, steps: list[StepSubmission], *, train_s: float) -> None:
        """Goes through all steps, one of them always submitted ahead."""
        cursor = 0
        await self._submit(steps[0])
        for at, step in enumerate(steps):
            if at + 1 < len(steps):
                await self._submit(steps[at + 1])
            wanted = sum(group.samples for group in step.groups)
            started_s = time.monotonic()
            cursor = await self._pull_step(step.step, wanted, cursor)
            self.idle_s += time.monotonic() - started_s
            await asyncio.sleep(train_s)
            self.busy_s += train_s
            await self._publish(at + 1)

    async def _pull_step(self, step: int, wanted: int, cursor: int) -> int:
        """Pulls until a step is whole; returns the cursor."""
        have = sum(1 for s in self.samples if s.sample.step == step)
        while have < wanted:
            batch = msgspec.convert(
                await self._call(
                    "GET", f"samples?cursor={cursor}&wait_s={_PULL_WAIT_S}"
                ),
                type=SampleBatch,
            )
            self.samples.extend(batch.samples)
            have += sum(1 for s in batch.samples if s.sample.step == step)
            cursor = batch.next_cursor
            if batch.samples:
                ack = Acknowledgement(cursor=cursor)
                await self._call("POST", "acknowledgements", ack)
        return cursor

    async def _submit(self, step: StepSubmission) -> None:
        await self._call("POST", "steps", step)

    async def _publish(self, version: int) -> None:
        url = f"{self._platform_url}/v1/weights/{self.name}/{version}"
        async with self._session.post(url) as resp:
            resp.raise_for_status()
        self.version = version
        said = VersionDeclaration(version=version)
        await self._call("POST", "version", said)

    async def _call(
        self, method: str, path: str, body: msgspec.Struct | None = None
    ) -> object:
        """Calls some entry VM, and the next one when refused."""
        while True:
            self._turn += 1
            entry = self._entries[self._turn % len(self._entries)]
            url = f"{entry}/rollout/v1/trainers/{self.name}/{path}"
            data = msgspec.json.encode(body) if body is not None else None
            headers = {"Authorization": f"Bearer {self._key}"}
            try:
                async with self._session.request(
                    method, url, data=data, headers=headers
                ) as resp:
                    answer = msgspec.json.decode(await resp.read())
                    if resp.status == 200:
                        return answer
                    self.refusals.append(answer["error"]["reason"])
            except aiohttp.ClientError as exc:
                self.refusals.append(type(exc).__name__)
            await asyncio.sleep(_RETRY_PAUSE_S)


def make_steps(
    *, trainer: str, steps: int, groups: int, samples: int, max_tokens: int
) -> list[StepSubmission]:
    """Returns steps whose groups each share a prompt."""
    return [
        StepSubmission(
            step=step,
            groups=[
                GroupSubmission(
                    group=group,
                    prompt=_prompt(trainer, step, group),
                    samples=samples,
                    max_tokens=max_tokens,
                )
                for group in range(groups)
            ],
        )
        for step in range(steps)
    ]


def _prompt(trainer: str, step: int, group: int) -> str:
    words = [f"{trainer}"] * 32 + [f"s{step}g{group}"] * 32
    return " ".join(words)
