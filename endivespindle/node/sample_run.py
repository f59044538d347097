"""One attempt at a sample, streamed from an engine."""

from endivespindle.node.context import NodeContext
from endivespindle.node.dispatch import Dispatcher, GenerateWork
from endivespindle.node.weights_role import WeightsRole
from endivespindle.rollout.delivery import OpenSlot
from endivespindle.rollout.spans import SpanBuilder
from endivespindle.rollout.stragglers import RunningSample, StragglerPolicy
from endivespindle.schema.generated.register import Trainer
from endivespindle.schema.generated.rollout import Sample
from endivespindle.schema.generated.stored import PromptGroup

__all__ = ["SampleRun"]

_SAMPLE_TIMEOUT_S = 60.0
_SAMPLE_PRIORITY = 0


class SampleRun:
    """Streams one sample, perhaps from where another attempt left off.

    Attributes:
        slot: Slot to be filled.
        running: What the straggler policy sees of it.
        spans: Spans so far.
        sample_id: Identity of the attempt.
        prompt_tokens: Tokens of the prompt, once the engine named them.
    """

    __slots__ = (
        "_ctx",
        "_dispatcher",
        "_policy",
        "_trainer",
        "_weights",
        "group",
        "prompt_tokens",
        "running",
        "sample_id",
        "slot",
        "spans",
    )

    def __init__(
        self,
        *,
        ctx: NodeContext,
        dispatcher: Dispatcher,
        policy: StragglerPolicy,
        weights: WeightsRole,
        trainer: Trainer,
        slot: OpenSlot,
        group: PromptGroup,
        earlier: "SampleRun | None" = None,
    ):
        self._ctx = ctx
        self._dispatcher = dispatcher
        self._policy = policy
        self._weights = weights
        self._trainer = trainer
        self.prompt_tokens = 0
        self.slot = slot
        self.group = group
        self.spans: SpanBuilder = (
            earlier.spans.copy() if earlier else SpanBuilder()
        )
        self.sample_id = (
            f"{trainer.name}.{slot.step}.{slot.group}.{slot.index}"
            f"/{ctx.ids.new('a')}"
        )
        now_s = ctx.clock.monotonic()
        self.running: RunningSample = RunningSample(
            slot=(slot.step, slot.group, slot.index),
            server="",
            tokens=self.spans.tokens,
            started_s=now_s,
            progress_s=now_s,
            moves=earlier.running.moves + 1 if earlier else 0,
        )

    async def stream(self, avoid: frozenset[str]) -> Sample | None:
        """Returns the sample, or None if a chunk named no version.

        Raises:
            RefusedError: No engine could finish it.
        """
        work = GenerateWork(
            request_id=self.sample_id,
            service=self._trainer.service,
            prompt=self.group.prompt,
            max_tokens=self.group.max_tokens,
            priority=_SAMPLE_PRIORITY,
            timeout_s=_SAMPLE_TIMEOUT_S,
            trainer=self._trainer.name,
            resume_text=self.spans.text,
            resume_tokens=self.spans.tokens,
            avoid=avoid,
        )
        async for name, chunk in self._dispatcher.generate(work):
            now_s = self._ctx.clock.monotonic()
            run = self.running
            if name == run.server:
                self._policy.record_chunk(
                    name, tokens=chunk.tokens, seconds=now_s - run.progress_s
                )
            self.spans.add(chunk)
            if chunk.version is not None:
                self._weights.planner.record_chunk_version(name, chunk.version)
            self.prompt_tokens = chunk.prompt_tokens or self.prompt_tokens
            run.server = name
            run.progress_s = now_s
            run.tokens = self.spans.tokens
            self._policy.record_length(run.slot, run.tokens)
            if self.spans.has_unversioned_chunk:
                break
        if self.spans.has_unversioned_chunk or not self.spans.spans:
            return None
        return self._sample()

    def _sample(self) -> Sample:
        return Sample(
            trainer=self._trainer.name,
            step=self.slot.step,
            group=self.slot.group,
            index=self.slot.index,
            text=self.spans.text,
            tokens=self.spans.tokens,
            spans=list(self.spans.spans),
            backend_server=self.running.server,
        )
