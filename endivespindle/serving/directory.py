"""Backend servers that one VM knows, with what it saw of them."""

import math
from collections.abc import Iterator

import msgspec

from endivespindle.core.clock import Clock

__all__ = ["ServerDirectory", "ServerEntry", "ServerView"]

# Pause after a first failed exchange, doubled up to the longest one: long
# enough that a dead server costs few attempts, short against the seconds in
# which the platform's list drops it.
_FIRST_PAUSE_S = 0.25
_MAX_PAUSE_S = 4.0
_MAX_DOUBLINGS = 5
# Weight of the newest outcome or duration in its moving average.
_SMOOTHING = 0.2
# The same for the pace of events, of which there are many a second.
_PACE_SMOOTHING = 0.05
# Time after which an idle connection is likely to have been closed.
_WARM_S = 4.0
# Age at which another VMs' share of a reported load counts half: reports come
# with answers, and an answer holds a slot for about this long.
_LOAD_HALF_LIFE_S = 1.0


class ServerEntry(msgspec.Struct, kw_only=True, frozen=True):
    """A backend server as it registered itself.

    Attributes:
        name: Identity of this incarnation.
        started_ms: When it started, in Unix milliseconds; another value under
            the same name is another incarnation.
        service: Service it belongs to.
        host: IP number.
        port: TCP port.
        data_centre: Data centre it stands in.
        slots: Requests it runs at once.
        draining: Whether it is about to leave.
        versions: Weight version by model.
        spot: Whether the platform may reclaim it.
        leaves_in_s: Seconds until it is gone, as it said; None if unknown.
    """

    name: str
    started_ms: int
    service: str
    host: str
    port: int
    data_centre: str
    slots: int
    draining: bool
    versions: dict[str, int]
    spot: bool = False
    leaves_in_s: float | None = None

    @property
    def address(self) -> str:
        """Host and port as written in addresses."""
        return f"{self.host}:{self.port}"


class ServerView:
    """One backend server and what this VM saw of it.

    Attributes:
        entry: What it registered.
        in_flight: Requests of this VM there.
        versions: Weight versions, as of the newest news of any source.
        failure_rate: Moving average of failed exchanges.
        duration_s: Moving average of the seconds an exchange takes.
        event_interval_s: Moving average of the seconds between two events of a text.
    """

    __slots__ = (
        "__weakref__",
        "_clock",
        "_failures",
        "_held_models",
        "_others",
        "_others_seen_s",
        "_paused_until_s",
        "_peers",
        "_used_s",
        "duration_s",
        "entry",
        "failure_rate",
        "in_flight",
        "event_interval_s",
        "versions",
    )

    def __init__(self, *, entry: ServerEntry, clock: Clock):
        self._clock = clock
        self._failures = 0
        self._held_models: dict[str, float] = {}
        self._others = 0.0
        self._others_seen_s = -math.inf
        self._paused_until_s = -math.inf
        self._peers: dict[str, int] = {}
        self._used_s = -math.inf
        self.entry = entry
        self.in_flight = 0
        self.versions = dict(entry.versions)
        self.failure_rate = 0.0
        self.duration_s = 0.0
        self.event_interval_s = 0.0

    def update(self, entry: ServerEntry) -> None:
        """Takes in a newer entry of the same incarnation."""
        self.entry = entry
        for model, version in entry.versions.items():
            # Entries lag behind answers, and versions rise.
            self.versions[model] = max(version, self.versions.get(model, 0))

    def record_version(self, model: str, version: int) -> None:
        """Takes in the weight version that an answer was made under."""
        self.versions[model] = version

    def begin_request(self) -> None:
        """Counts a request sent."""
        self.in_flight += 1
        self._used_s = self._clock.monotonic()

    def end_request(
        self, *, failed: bool, duration_s: float | None = None
    ) -> None:
        """Counts a request ended.

        Args:
            failed: Whether the server failed it or could not be reached.
            duration_s: Seconds it took, if that says something of it.
        """
        self.in_flight -= 1
        self.failure_rate += _SMOOTHING * (failed - self.failure_rate)
        if duration_s is not None:
            known = self.duration_s or duration_s
            self.duration_s = known + _SMOOTHING * (duration_s - known)
        if not failed:
            self._failures = 0
            return
        self._failures += 1
        doublings = min(self._failures - 1, _MAX_DOUBLINGS)
        self.pause(min(_MAX_PAUSE_S, _FIRST_PAUSE_S * 2**doublings))

    def pause(self, seconds: float) -> None:
        """Sends no work there for a while, as long as others take it."""
        until_s = self._clock.monotonic() + seconds
        self._paused_until_s = max(self._paused_until_s, until_s)

    def is_warm(self) -> bool:
        """Tells whether a connection to it is likely to be open."""
        return self._clock.monotonic() - self._used_s <= _WARM_S

    def is_paused(self) -> bool:
        """Tells whether recent failures speak against this server."""
        return self._clock.monotonic() < self._paused_until_s

    def record_event_interval(self, event_interval_s: float) -> None:
        """Takes in the seconds between two events of a text."""
        known = self.event_interval_s or event_interval_s
        self.event_interval_s = known + _PACE_SMOOTHING * (
            event_interval_s - known
        )

    def record_version_load(
        self, model: str, version: int, ready_s: float
    ) -> None:
        """Takes in that a version is being loaded, and when it is there.

        Work for the model goes elsewhere until then. An answer that comes
        under another version sets this right.

        Args:
            model: Model.
            version: Version that is being loaded.
            ready_s: Seconds after which it is expected to be there.
        """
        self.versions[model] = max(version, self.versions.get(model, 0))
        self.pause_model(model, ready_s)

    def pause_model(self, model: str, seconds: float) -> None:
        """Sends a model's work elsewhere for a while, as weights load."""
        self._held_models[model] = self._clock.monotonic() + seconds

    def accepts_model(self, model: str) -> bool:
        """Tells whether a model's work may be sent there now."""
        return self._clock.monotonic() >= self._held_models.get(model, 0.0)

    def record_load(self, *, running: int, waiting: int) -> None:
        """Takes in the load an answer told of."""
        self._others = max(0.0, running + waiting - self.in_flight)
        self._others_seen_s = self._clock.monotonic()

    def record_peer_load(self, peer: str, in_flight: int) -> None:
        """Takes in what another VM has in flight there."""
        if in_flight:
            self._peers[peer] = in_flight
        else:
            self._peers.pop(peer, None)

    def load(self) -> float:
        """Returns the requests believed to be there, all VMs' together."""
        age_s = self._clock.monotonic() - self._others_seen_s
        reported = self._others * 0.5 ** (age_s / _LOAD_HALF_LIFE_S)
        told = sum(self._peers.values())
        return self.in_flight + max(reported, told)


class ServerDirectory:
    """Backend servers by name, kept as the platform's list changes.

    Args:
        clock: Clock of this VM.
    """

    __slots__ = ("_by_service", "_clock", "_views")

    def __init__(self, *, clock: Clock):
        self._clock = clock
        self._views: dict[str, ServerView] = {}
        self._by_service: dict[str, dict[str, ServerView]] = {}

    def __iter__(self) -> Iterator[ServerView]:
        return iter(list(self._views.values()))

    def __len__(self) -> int:
        return len(self._views)

    def get(self, name: str) -> ServerView | None:
        """Returns a server, or None if it is not known."""
        return self._views.get(name)

    def put(self, entry: ServerEntry) -> ServerView:
        """Takes in an entry; a new incarnation starts from nothing."""
        view = self._views.get(entry.name)
        if view is not None and view.entry.started_ms > entry.started_ms:
            return view
        if (
            view is not None
            and view.entry.started_ms == entry.started_ms
            and view.entry.service == entry.service
        ):
            view.update(entry)
            return view
        self.remove(entry.name)
        view = ServerView(entry=entry, clock=self._clock)
        self._views[entry.name] = view
        self._by_service.setdefault(entry.service, {})[entry.name] = view
        return view

    def remove(self, name: str) -> None:
        """Forgets a server that is gone."""
        view = self._views.pop(name, None)
        if view is not None:
            self._by_service[view.entry.service].pop(name, None)

    def available_servers(self, service: str) -> list[ServerView]:
        """Returns the servers of a service that take new work."""
        views = self._by_service.get(service, {}).values()
        return [view for view in views if not view.entry.draining]
