"""How sure a VM can be that it knows every withdrawn key."""

import enum
import math
from collections.abc import Callable

import msgspec

from endivespindle.core.clock import Clock

__all__ = ["KeyFreshness", "KeyTableStatus"]


class KeyTableStatus(enum.StrEnum):
    """What a VM knows of the newest table of keys.

    Attributes:
        CONFIRMED: It was known as the newest one just now.
        STORE_DOWN: No VM of any data centre reaches the platform, so that
            nobody knows of a newer one.
        CUT_OFF: Some data centre is silent, or knows a newer one; a key may
            have been withdrawn.
    """

    CONFIRMED = "confirmed"
    STORE_DOWN = "store_down"
    CUT_OFF = "cut_off"


class _Heard(msgspec.Struct, kw_only=True):
    """What a data centre said last."""

    asked_s: float = -math.inf
    generation: int = 0


class KeyFreshness:
    """Tells a platform that is down from a data centre that is cut off.

    News are dated by when they were asked for, never by when the answer was
    read: a VM that was paused in between does not take old news for new.

    Args:
        clock: Clock of this VM.
        data_centre: Data centre of this VM.
        data_centres: Returns every data centre that has entry VMs.
    """

    __slots__ = (
        "_clock",
        "_confirmed_s",
        "_data_centre",
        "_data_centres",
        "_heard",
        "_started_s",
    )

    def __init__(
        self,
        *,
        clock: Clock,
        data_centre: str = "",
        data_centres: Callable[[], list[str]] = list,
    ):
        self._clock = clock
        self._data_centre = data_centre
        self._data_centres = data_centres
        self._started_s = clock.monotonic()
        self._confirmed_s = -math.inf
        self._heard: dict[str, _Heard] = {}

    def confirm(self, *, asked_s: float) -> None:
        """Notes that the table was the newest one at a moment."""
        self._confirmed_s = max(self._confirmed_s, asked_s)

    def confirm_age(self, age_s: float) -> None:
        """Notes that the table was the newest one some seconds ago."""
        self.confirm(asked_s=self._clock.monotonic() - age_s)

    def record_peer_report(
        self,
        *,
        data_centre: str,
        generation: int,
        age_s: float,
        asked_s: float,
    ) -> None:
        """Notes what a peer knew.

        Args:
            data_centre: Data centre of the peer.
            generation: Generation of the table that it knew.
            age_s: What it told as `reported_age_s`. A peer without memory does
                not speak for its data centre.
            asked_s: When it was asked, by this VM's clock.
        """
        heard = self._heard.setdefault(data_centre, _Heard())
        heard.generation = max(heard.generation, generation)
        if math.isfinite(age_s):
            heard.asked_s = max(heard.asked_s, asked_s)

    def confirmation_age_s(self) -> float:
        """Returns the seconds since the table was known as the newest."""
        return self._clock.monotonic() - self._confirmed_s

    def reported_age_s(self) -> float:
        """Returns the age of the table's confirmation as told to peers.

        A VM that has started and heard of no table confirmed since has a gap
        in its memory: what was read before, and forgotten with its former
        life. It tells that it knows nothing.
        """
        if self._confirmed_s < self._started_s:
            return math.inf
        return self.confirmation_age_s()

    def status(self, *, generation: int, limit_s: float) -> KeyTableStatus:
        """Returns what this VM knows at this moment.

        Args:
            generation: Generation of its own table.
            limit_s: Seconds after which news count as old.
        """
        if self.confirmation_age_s() <= limit_s:
            return KeyTableStatus.CONFIRMED
        if any(h.generation > generation for h in self._heard.values()):
            return KeyTableStatus.CUT_OFF
        oldest_s = self._clock.monotonic() - limit_s
        others = set(self._data_centres()) - {self._data_centre}
        heard = [self._heard.get(name, _Heard()).asked_s for name in others]
        if heard and min(heard) >= oldest_s and generation > 0:
            return KeyTableStatus.STORE_DOWN
        return KeyTableStatus.CUT_OFF
