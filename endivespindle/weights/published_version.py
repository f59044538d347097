"""Weight versions as trainers name them."""

import msgspec

__all__ = ["PublishedVersion"]


class PublishedVersion(msgspec.Struct, kw_only=True, frozen=True):
    """The newest version that the trainer of a model named."""

    model: str
    version: int
