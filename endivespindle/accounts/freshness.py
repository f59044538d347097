"""Whether a VM may rely on its copy of the tenant key table."""

import enum
import math
from collections.abc import Callable

import msgspec

from endivespindle.core.clock import Clock

__all__ = ["KeyFreshness", "KeyTableStatus"]


class KeyTableStatus(enum.StrEnum):
    """Status of a VM's copy of the key table.

    Attributes:
        CONFIRMED: The table was recently confirmed as the newest one.
        STORE_DOWN: No VM in any data centre can reach the platform, so no
            VM has read a newer table.
        CUT_OFF: The table is not confirmed and a platform outage is not
            established, as some data centre does not respond or has a newer
            table; a key may have been withdrawn.
    """

    CONFIRMED = "confirmed"
    STORE_DOWN = "store_down"
    CUT_OFF = "cut_off"


class _DataCentreReport(msgspec.Struct, kw_only=True):
    """Latest report of a data centre.

    Attributes:
        asked_s: Monotonic time at which the last answered request was sent.
        generation: Newest table generation that it reported.
    """

    asked_s: float = -math.inf
    generation: int = 0


class KeyFreshness:
    """Distinguishes a platform outage from a network partition.

    A report is dated by the time its request was sent, not by the time its
    response was read: a VM paused in between would otherwise treat an old
    report as a recent one.

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
        "_reports",
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
        self._reports: dict[str, _DataCentreReport] = {}

    def confirm(self, *, asked_s: float) -> None:
        """Records that the table was the newest one at a given time.

        Args:
            asked_s: Monotonic time at which the confirming read was sent.
        """
        self._confirmed_s = max(self._confirmed_s, asked_s)

    def confirm_age(self, age_s: float) -> None:
        """Records that the table was the newest one `age_s` seconds ago."""
        self.confirm(asked_s=self._clock.monotonic() - age_s)

    def record_peer_report(
        self,
        *,
        data_centre: str,
        generation: int,
        age_s: float,
        asked_s: float,
    ) -> None:
        """Records the key table generation and age that a peer reported.

        Args:
            data_centre: Data centre of the peer.
            generation: Generation of the peer's table.
            age_s: The peer's `reported_age_s`. A peer that reports infinity
                (restarted, not confirmed since) does not count as a response
                of its data centre.
            asked_s: Monotonic time of this VM at which the request was sent.
        """
        report = self._reports.setdefault(data_centre, _DataCentreReport())
        report.generation = max(report.generation, generation)
        if math.isfinite(age_s):
            report.asked_s = max(report.asked_s, asked_s)

    def confirmation_age_s(self) -> float:
        """Returns the seconds since the table was last confirmed."""
        return self._clock.monotonic() - self._confirmed_s

    def reported_age_s(self) -> float:
        """Returns the confirmation age to report to peers, in seconds.

        Infinite until a confirmation dates from after the start of this VM:
        its previous incarnation may have read a newer table, which was lost
        in the restart.
        """
        if self._confirmed_s < self._started_s:
            return math.inf
        return self.confirmation_age_s()

    def status(self, *, generation: int, limit_s: float) -> KeyTableStatus:
        """Returns the current status of this VM's key table.

        Args:
            generation: Generation of this VM's table.
            limit_s: Age in seconds above which a confirmation or a report is
                out of date.
        """
        if self.confirmation_age_s() <= limit_s:
            return KeyTableStatus.CONFIRMED
        if any(r.generation > generation for r in self._reports.values()):
            return KeyTableStatus.CUT_OFF
        oldest_s = self._clock.monotonic() - limit_s
        others = set(self._data_centres()) - {self._data_centre}
        asked_times_s = [
            self._reports.get(name, _DataCentreReport()).asked_s
            for name in others
        ]
        if asked_times_s and min(asked_times_s) >= oldest_s and generation > 0:
            return KeyTableStatus.STORE_DOWN
        return KeyTableStatus.CUT_OFF
