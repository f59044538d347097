"""One attempt at generating a sample, streamed from an engine."""

from endivespindle.node.context import NodeContext
from endivespindle.node.dispatch import Dispatcher, GenerationTask
from endivespindle.node.weights_role import WeightsRole
from endivespindle.rollout.delivery import OpenSlot
from endivespindle.rollout.spans import SpanBuilder
from endivespindle.rollout.stragglers import RunningSample, StragglerPolicy
from endivespindle.schema.generated.register import Trainer
from endivespindle.schema.generated.rollout import Sample
from endivespindle.schema.generated.stored import PromptGroup

__all__ = ["SampleAttempt"]

_SAMPLE_TIMEOUT_S = 60.0
_SAMPLE_PRIORITY = 0


class SampleAttempt:
    """Streams one sample, from its start or after another attempt's tokens.

    Args:
        ctx: Shared state of the VM.
        dispatcher: Sends requests to engines.
        policy: Receives the progress of the attempt.
        weights: Receives the weight version of each chunk.
        trainer: Trainer that requested the sample.
        slot: Slot that the sample fills.
        group: Group of the prompt.
        previous: Attempt whose tokens this one continues, if any.

    Attributes:
        slot: Slot that the sample fills.
        group: Group of the prompt.
        running: Progress of the attempt, for the straggler policy.
        spans: Version spans generated so far.
        sample_id: Id of the attempt.
        prompt_tokens: Number of prompt tokens; 0 until the engine reports it.
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
        previous: "SampleAttempt | None" = None,
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
            previous.spans.copy() if previous else SpanBuilder()
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
            moves=previous.running.moves + 1 if previous else 0,
        )

    async def stream(self, avoid: frozenset[str]) -> Sample | None:
        """Streams the sample from an engine.

        Args:
            avoid: Names of engines that are not to be chosen.

        Returns:
            The sample, or None if a chunk has no weight version or no tokens
            were generated.

        Raises:
            RefusedError: No engine completed the sample.
        """
        work = GenerationTask(
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
        async for server, chunk in self._dispatcher.generate(work):
            now_s = self._ctx.clock.monotonic()
            running = self.running
            if server == running.server:
                self._policy.record_chunk(
                    server,
                    tokens=chunk.tokens,
                    seconds=now_s - running.progress_s,
                )
            self.spans.add(chunk)
            if chunk.version is not None:
                self._weights.planner.record_chunk_version(
                    server, chunk.version
                )
            self.prompt_tokens = chunk.prompt_tokens or self.prompt_tokens
            running.server = server
            running.progress_s = now_s
            running.tokens = self.spans.tokens
            self._policy.record_length(running.slot, running.tokens)
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
