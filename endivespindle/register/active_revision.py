"""The revision in force on one VM, which never goes back."""

import msgspec

from endivespindle.core.digests import sha256_hex
from endivespindle.register.view import RegisterView
from endivespindle.schema.generated.register import Register
from endivespindle.schema.generated.stored import RegisterRoot

__all__ = ["ActiveRevision"]


class ActiveRevision:
    """Takes revisions from the platform and from peers, the highest wins.

    Attributes:
        view: The revision in force; None before the first one.
        body: Its bytes, handed to peers that ask.
    """

    __slots__ = ("body", "root", "view")

    def __init__(self) -> None:
        self.view: RegisterView | None = None
        self.root: RegisterRoot | None = None
        self.body = b""

    @property
    def revision(self) -> int:
        """Number of the revision in force; 0 before the first one."""
        return self.view.revision if self.view else 0

    def apply_if_newer(self, *, root: RegisterRoot, body: bytes) -> bool:
        """Takes a revision if it is newer and whole.

        Args:
            root: The root object that names the revision.
            body: Bytes of the revision.

        Returns:
            Whether it came into force.
        """
        if root.revision <= self.revision:
            return False
        if sha256_hex(body) != root.digest:
            return False
        register = msgspec.json.decode(body, type=Register)
        self.view = RegisterView(register=register, revision=root.revision)
        self.root = root
        self.body = body
        return True
