"""Weight versions that trainers publish."""

import msgspec

__all__ = ["PublishedVersion"]


class PublishedVersion(msgspec.Struct, kw_only=True, frozen=True):
    """The newest version that the trainer of a model has published."""

    model: str
    version: int
