"""The lease under which one node carries out the duties."""

from endivespindle.controller.operations import FencingToken
from endivespindle.leases.lease import Lease

__all__ = ["DUTY_CALL_TIMEOUT_S", "DutyLease"]

# Timeout of a call made under the lease; well below the term, so that calls may
# be sent during most of it.
DUTY_CALL_TIMEOUT_S = 0.8


class DutyLease:
    """Says whether a duty's call may be sent, and with which token.

    Args:
        lease: The lease.
        holder: Name of this node.
    """

    __slots__ = ("_holder", "_lease")

    def __init__(self, *, lease: Lease, holder: str):
        self._lease = lease
        self._holder = holder

    @property
    def epoch(self) -> int:
        """Epoch of the lease."""
        return self._lease.epoch

    def may_send(self) -> bool:
        """Returns whether a call would end while the lease is held."""
        return self._lease.may_send(timeout_s=DUTY_CALL_TIMEOUT_S)

    def fencing_token(self) -> FencingToken:
        """Returns the token by which a receiver refuses former holders."""
        return FencingToken(holder=self._holder, epoch=self._lease.epoch)
