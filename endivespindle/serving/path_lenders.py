"""Choice of the VM through which a cut-off VM reaches backend servers."""

import enum
import math
import random
from collections.abc import Iterable

from endivespindle.core.clock import Clock

__all__ = ["LenderChoice", "LenderRefusal"]

_MAX_DOUBLINGS = 8
# VMs that are used at a time: enough to spread the load, and few enough that
# their connections are used again.
_MAX_IN_USE = 4


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


# Time for which a VM that refused is not asked, doubled with each further
# refusal of the same kind, and its maximum. Room returns when a request ends; a
# cut lasts for seconds.
_PAUSES_S = {
    LenderRefusal.CUT: (1.0, 4.0),
    LenderRefusal.NO_ROOM: (0.05, 0.2),
    LenderRefusal.KEYS_UNCONFIRMED: (1.0, 2.0),
    LenderRefusal.DRAINING: (8.0, 8.0),
    LenderRefusal.SERVER_UNKNOWN: (0.0, 0.0),
    LenderRefusal.NO_REPLY: (2.0, 8.0),
    LenderRefusal.NONE_LEFT: (0.0, 0.0),
}


class LenderChoice:
    """Chooses the VMs that are asked to pass a request on.

    Load pattern: most VMs of a data centre lose the path to the servers at the
    same moment. They must not all ask the same VM, nor ask each other for long.

    Args:
        clock: Clock of this VM.
        rng: Source of the choice.
    """

    __slots__ = ("_clock", "_in_use", "_paused_until_s", "_refusals", "_rng")

    def __init__(self, *, clock: Clock, rng: random.Random):
        self._clock = clock
        self._rng = rng
        self._in_use: list[str] = []
        self._paused_until_s: dict[str, float] = {}
        self._refusals: dict[str, tuple[LenderRefusal, int]] = {}

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

    def reaching(self) -> list[str]:
        """Returns the VMs that reached a server and did not refuse since."""
        now_s = self._clock.monotonic()
        return [
            vm
            for vm in self._in_use
            if self._paused_until_s.get(vm, 0.0) <= now_s
        ]

    def record_reached(self, vm: str) -> None:
        """Records that a VM reached a server."""
        self._refusals.pop(vm, None)
        if vm not in self._in_use:
            self._in_use.append(vm)

    def record_refused(self, vm: str, cause: LenderRefusal) -> None:
        """Records that a VM did not try to, or did not reply."""
        last, repeats = self._refusals.get(vm, (cause, 0))
        repeats = repeats if last is cause else 0
        self._refusals[vm] = (cause, repeats + 1)
        first_s, max_s = _PAUSES_S[cause]
        pause_s = min(max_s, math.ldexp(first_s, min(repeats, _MAX_DOUBLINGS)))
        self._paused_until_s[vm] = self._clock.monotonic() + pause_s

    def record_unreached(self, vm: str) -> None:
        """Records that a VM tried to reach a server and failed.

        One that reached a server lately tells of the server. Another one is
        likely to be cut off, and does not know it yet.
        """
        if vm not in self._in_use:
            self.record_refused(vm, LenderRefusal.CUT)
