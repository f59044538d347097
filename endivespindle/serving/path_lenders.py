"""Choice of the VM through which a cut-off VM reaches backend servers."""

import enum
import random
from collections.abc import Iterable

from endivespindle.core.clock import Clock

__all__ = ["LenderChoice", "LenderRefusal", "may_lend"]

# Time for which a VM that could not help is not asked.
_PAUSE_S = 2.0
# VMs that are used at a time: enough to spread the load, and few enough that
# their connections are used again.
_MAX_IN_USE = 4
# Requests that a VM lends its path to at once although it has few callers.
_MIN_LENT = 8


class LenderRefusal(enum.StrEnum):
    """Why a VM did not try to pass a request on.

    Attributes:
        CUT: It is cut off from the servers, too.
        NO_ROOM: Its own callers leave no room.
        KEYS_UNCONFIRMED: It cannot confirm keys.
        DRAINING: It shuts down.
        SERVER_UNKNOWN: It does not know this incarnation of the server.
        NO_REPLY: It did not reply.
        NONE_LEFT: No other VM was left to ask.
    """

    CUT = "cut"
    NO_ROOM = "no_room"
    KEYS_UNCONFIRMED = "keys_unconfirmed"
    DRAINING = "draining"
    SERVER_UNKNOWN = "server_unknown"
    NO_REPLY = "no_reply"
    NONE_LEFT = "none_left"


class LenderChoice:
    """Chooses the VMs that are asked to pass a request on.

    Load pattern: most VMs of a data centre lose the path to the servers at the
    same moment. They must not all ask the same VM, nor ask each other for long.

    Args:
        clock: Clock of this VM.
        rng: Source of the choice.
    """

    __slots__ = ("_clock", "_in_use", "_paused_until_s", "_rng")

    def __init__(self, *, clock: Clock, rng: random.Random):
        self._clock = clock
        self._rng = rng
        self._in_use: list[str] = []
        self._paused_until_s: dict[str, float] = {}

    def choose(self, vms: Iterable[str], *, count: int) -> list[str]:
        """Returns the VMs to ask, in this order; may be fewer than `count`."""
        now_s = self._clock.monotonic()
        usable = [
            vm for vm in vms if self._paused_until_s.get(vm, 0.0) <= now_s
        ]
        self._in_use = [vm for vm in self._in_use if vm in usable]
        others = [vm for vm in usable if vm not in self._in_use]
        self._rng.shuffle(others)
        if len(self._in_use) >= _MAX_IN_USE:
            first = self._rng.sample(self._in_use, len(self._in_use))
            return [*first, *others][:count]
        return [*others, *self._in_use][:count]

    def record(self, vm: str, *, has_reached: bool) -> None:
        """Records whether a VM reached a server."""
        if not has_reached:
            self._paused_until_s[vm] = self._clock.monotonic() + _PAUSE_S
        elif vm not in self._in_use:
            self._in_use.append(vm)


def may_lend(*, lent: int, own: int) -> bool:
    """Returns whether a VM passes one more request on for another VM.

    The requests of its own callers come first: those of others take at most as
    much as these, and a little on an idle VM.

    Args:
        lent: Requests that it passes on for other VMs now.
        own: Requests of its own callers in progress.
    """
    return lent < max(_MIN_LENT, own)
