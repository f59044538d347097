"""Findings of a check, each with its location."""

import dataclasses

__all__ = ["Finding"]


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True, order=True)
class Finding:
    """One violation found by a check.

    Attributes:
        place: File and line, or key path, of the violation.
        message: Description of the violation.
    """

    place: str
    message: str

    def __str__(self) -> str:
        return f"{self.place}: {self.message}"
