"""Version spans of a sample, built from its chunks alone."""

import msgspec

from endivespindle.schema.generated.backend import GenerateChunk
from endivespindle.schema.generated.rollout import VersionSpan

__all__ = ["SpanBuilder"]


class SpanBuilder:
    """Collects which weight version produced which tokens.

    The version named on each chunk is the only source; a chunk that names
    none spoils the sample.

    Attributes:
        spans: Spans so far, in token order.
        spoiled: Whether a chunk named no version.
        tokens: Tokens so far.
    """

    __slots__ = ("_parts", "spans", "has_unversioned_chunk", "tokens")

    def __init__(self) -> None:
        self._parts: list[str] = []
        self.spans: list[VersionSpan] = []
        self.has_unversioned_chunk = False
        self.tokens = 0

    @property
    def text(self) -> str:
        """Text so far."""
        return "".join(self._parts)

    def copy(self) -> "SpanBuilder":
        """Returns a builder that goes on from here on its own."""
        twin = SpanBuilder()
        twin._parts = list(self._parts)
        twin.spans = [msgspec.structs.replace(span) for span in self.spans]
        twin.has_unversioned_chunk = self.has_unversioned_chunk
        twin.tokens = self.tokens
        return twin

    def add(self, chunk: GenerateChunk) -> None:
        """Takes the next chunk, in order."""
        self._parts.append(chunk.text)
        if chunk.version is None:
            self.has_unversioned_chunk = True
            self.tokens += chunk.tokens
            return
        if chunk.tokens:
            self._extend(chunk.version, chunk.tokens)

    def oldest_version(self) -> int:
        """Returns the oldest version of any token."""
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
