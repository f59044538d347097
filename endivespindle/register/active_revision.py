"""The active register revision of one VM, which never decreases."""

from endivespindle.core.decoding import decode_json
from endivespindle.core.digests import sha256_hex
from endivespindle.register.view import RegisterView
from endivespindle.schema.generated.register import Register
from endivespindle.schema.generated.stored import RegisterRoot

__all__ = ["ActiveRevision"]


class ActiveRevision:
    """Keeps the highest revision received from the platform or peers.

    Attributes:
        view: The active revision; None before the first one.
        root: Root object of the active revision; None before the first one.
        body: Encoded revision, sent to peers on request.
    """

    __slots__ = ("body", "root", "view")

    def __init__(self) -> None:
        self.view: RegisterView | None = None
        self.root: RegisterRoot | None = None
        self.body = b""

    @property
    def revision(self) -> int:
        """Number of the active revision; 0 before the first one."""
        return self.view.revision if self.view else 0

    def apply_if_newer(self, *, root: RegisterRoot, body: bytes) -> bool:
        """Activates a revision if it is newer and its digest matches.

        Args:
            root: Root object with the number and digest of the revision.
            body: Encoded revision.

        Returns:
            Whether the revision was activated.
        """
        if root.revision <= self.revision:
            return False
        if sha256_hex(body) != root.digest:
            return False
        register = decode_json(body, type=Register)
        self.view = RegisterView(register=register, revision=root.revision)
        self.root = root
        self.body = body
        return True
