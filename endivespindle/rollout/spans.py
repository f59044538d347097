"""Version spans of a sample, built from the chunks of its token stream."""

import msgspec

from endivespindle.schema.generated.backend import GenerateChunk
from endivespindle.schema.generated.rollout import VersionSpan

__all__ = ["SpanBuilder"]


class SpanBuilder:
    """Records which weight version generated which tokens.

    Only the version in each chunk counts; no version is inferred. A sample
    with a chunk that has no version must be discarded.

    Attributes:
        spans: Spans of the chunks added so far, in token order.
        has_unversioned_chunk: Whether a chunk had no version.
        tokens: Number of tokens added so far.
    """

    __slots__ = ("_texts", "has_unversioned_chunk", "spans", "tokens")

    def __init__(self) -> None:
        self._texts: list[str] = []
        self.spans: list[VersionSpan] = []
        self.has_unversioned_chunk = False
        self.tokens = 0

    @property
    def text(self) -> str:
        """Text of the chunks added so far."""
        return "".join(self._texts)

    def copy(self) -> "SpanBuilder":
        """Returns an independent copy, to which other chunks can be added."""
        clone = SpanBuilder()
        clone._texts = list(self._texts)
        clone.spans = [msgspec.structs.replace(span) for span in self.spans]
        clone.has_unversioned_chunk = self.has_unversioned_chunk
        clone.tokens = self.tokens
        return clone

    def add(self, chunk: GenerateChunk) -> None:
        """Adds the next chunk of the stream."""
        self._texts.append(chunk.text)
        if chunk.version is None:
            self.has_unversioned_chunk = True
            self.tokens += chunk.tokens
            return
        if chunk.tokens:
            self._extend(chunk.version, chunk.tokens)

    def oldest_version(self) -> int:
        """Returns the oldest version among the spans."""
        return min(span.version for span in self.spans)

    def _extend(self, version: int, count: int) -> None:
        last = self.tokens + count - 1
        if self.spans and self.spans[-1].version == version:
            self.spans[-1].last_token = last
        else:
            self.spans.append(
                VersionSpan(
                    first_token=self.tokens, last_token=last, version=version
                )
            )
        self.tokens += count
