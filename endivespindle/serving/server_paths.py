"""Whether this VM reaches the backend servers of a service by itself."""

import enum
import itertools
import math
from collections.abc import Callable, Collection, Set

from endivespindle.core.clock import Clock

__all__ = ["PathEvent", "PathState", "ServerPaths", "next_path_state"]

# Servers without a response after which the path counts as cut, unless the
# service has fewer: that many seldom die between two responses.
_MIN_SERVERS = 3
# Time for which a failed attempt counts.
_EVIDENCE_S = 3.0
# Time without a response head after which a running attempt counts: longer than
# a load of weights takes while few servers load.
_SILENT_S = 1.0
# Time without a byte from any server, while a request or a response is in
# progress, after which a server is probed: several times the interval of the
# events of a stream and the time of a short request.
_QUIET_S = 0.4
# Pause after a probe that reached a server. Long requests are silent, too, and
# each probe costs a connection.
_PROBE_PAUSE_S = 1.0
# Failed connections of other VMs after which the servers themselves count as
# down, and the time for which no single attempt is borrowed then.
_MAX_UNREACHED = 2
_SERVERS_DOWN_S = 1.0
# Servers that refused a connection lately before a single attempt is borrowed,
# while open connections still work.
_MIN_REFUSALS = 2
_REFUSAL_S = 2.0
# Time within which a connection is refused. One that hangs instead has used the
# time in which another VM could have helped, and in a cut between data centres
# the VMs that could be asked hang as well.
_MAX_REFUSAL_DELAY_S = 0.05


class PathState(enum.StrEnum):
    """How requests of a service reach its servers.

    Attributes:
        DIRECT: Over connections of this VM.
        SUSPECTED: Through other VMs; none of them has reached a server yet.
        CUT: Through other VMs, which reach the servers.
    """

    DIRECT = "direct"
    SUSPECTED = "suspected"
    CUT = "cut"


class PathEvent(enum.StrEnum):
    """What is learned about the path to the servers of a service.

    Attributes:
        SERVERS_SILENT: Several servers do not respond.
        PROBES_FAIL: Several servers do not accept a connection.
        PEER_REACHES: Another VM reached a server.
        REACHED: A server accepted a connection of this VM.
    """

    SERVERS_SILENT = "servers_silent"
    PROBES_FAIL = "probes_fail"
    PEER_REACHES = "peer_reaches"
    REACHED = "reached"


# Only a connection of this VM shows that its path is back. That no other VM
# helps shows nothing: it may be cut off too, or have no room.
_NEXT = {
    PathState.DIRECT: {
        PathEvent.SERVERS_SILENT: PathState.SUSPECTED,
        PathEvent.PROBES_FAIL: PathState.SUSPECTED,
    },
    PathState.SUSPECTED: {
        PathEvent.PEER_REACHES: PathState.CUT,
        PathEvent.REACHED: PathState.DIRECT,
    },
    PathState.CUT: {PathEvent.REACHED: PathState.DIRECT},
}


def next_path_state(state: PathState, event: PathEvent) -> PathState:
    """Returns the state after an event; others leave it as it is."""
    return _NEXT[state].get(event, state)


class _ServicePath:
    """Evidence about the servers of one service.

    Attributes:
        state: How requests are sent.
        cause: What last changed the state.
        failures: Monotonic time of the last failed attempt, by server.
        refusals: Monotonic time of the last refused connection, by server.
        pending: Server and start of each running attempt, by number.
        responding: Start of each response in progress, by number.
        response_s: Monotonic time of the last response.
        data_s: Monotonic time of the last data of a response.
        probed_s: Monotonic time of the last probe.
        is_probe_requested: Whether to probe although nothing is in progress.
        unreached: Attempts of other VMs that failed to connect since one
            succeeded.
        down_until_s: Monotonic time until which the servers count as down.
    """

    __slots__ = (
        "cause",
        "data_s",
        "down_until_s",
        "failures",
        "is_probe_requested",
        "pending",
        "probed_s",
        "refusals",
        "responding",
        "response_s",
        "state",
        "unreached",
    )

    def __init__(self) -> None:
        self.state = PathState.DIRECT
        self.cause: PathEvent | None = None
        self.failures: dict[str, float] = {}
        self.refusals: dict[str, float] = {}
        self.pending: dict[int, tuple[str, float]] = {}
        self.responding: dict[int, float] = {}
        self.response_s = -math.inf
        self.data_s = -math.inf
        self.probed_s = -math.inf
        self.is_probe_requested = False
        self.unreached = 0
        self.down_until_s = -math.inf


class ServerPaths:
    """Tells a cut of this VM's path from servers that are down.

    Load pattern: some VMs, or all of a data centre, lose the path to all
    servers for seconds while callers, the store and other VMs still reach them.
    Connections hang, are reset, or live on while new ones are refused. A VM
    that goes on by itself fails its callers; one that believes in a cut after
    each crash of a server loads the others.

    Args:
        clock: Clock of this VM.
        count_servers: Returns the number of servers of a service that accept
            requests.
        near_servers: Returns the names of those in this VM's data centre. In a
            cut between data centres the others fail, and these respond.
        on_change: Called with the service and its state when that changes.
    """

    __slots__ = (
        "_clock",
        "_count_servers",
        "_near_servers",
        "_numbers",
        "_on_change",
        "_paths",
    )

    def __init__(
        self,
        *,
        clock: Clock,
        count_servers: Callable[[str], int],
        on_change: Callable[[str, PathState], None],
        near_servers: Callable[[str], Collection[str]] = lambda service: (),
    ):
        self._near_servers = near_servers
        self._clock = clock
        self._count_servers = count_servers
        self._on_change = on_change
        self._numbers = itertools.count()
        self._paths: dict[str, _ServicePath] = {}

    def begin(self, service: str, server: str) -> int:
        """Records that an attempt is sent; returns its number."""
        number = next(self._numbers)
        now_s = self._clock.monotonic()
        self._path(service).pending[number] = (server, now_s)
        return number

    def end(
        self,
        service: str,
        number: int,
        *,
        has_responded: bool,
        was_refused: bool = False,
    ) -> None:
        """Records how an attempt went until its response head.

        Args:
            service: Service of the server.
            number: Number of the attempt.
            has_responded: Whether a response head arrived.
            was_refused: Whether no connection was established.
        """
        path = self._path(service)
        server, start_s = path.pending.pop(number)
        now_s = self._clock.monotonic()
        if has_responded:
            path.response_s = path.data_s = now_s
            path.failures.clear()
            return
        path.failures[server] = now_s
        if was_refused and now_s - start_s <= _MAX_REFUSAL_DELAY_S:
            path.refusals[server] = now_s

    def abandon(self, service: str, number: int) -> None:
        """Records that an attempt was cancelled before its response head.

        It counts only if it had been silent for long.
        """
        path = self._path(service)
        server, start_s = path.pending.pop(number)
        if self._is_silent(path, start_s):
            path.failures[server] = self._clock.monotonic()

    def begin_response(self, service: str) -> int:
        """Records that the body of a response is read; returns its number."""
        number = next(self._numbers)
        self._path(service).responding[number] = self._clock.monotonic()
        return number

    def end_response(self, service: str, number: int) -> None:
        """Records that a response is no longer read."""
        del self._path(service).responding[number]

    def record_data(self, service: str) -> None:
        """Records that a part of a response arrived."""
        self._path(service).data_s = self._clock.monotonic()

    def is_watched(self, service: str) -> bool:
        """Returns whether the path may turn out to be cut, or to be back."""
        path = self._path(service)
        return bool(
            path.state is not PathState.DIRECT
            or path.pending
            or path.responding
            or path.failures
            or path.is_probe_requested
        )

    def request_probe(self, service: str) -> None:
        """Asks for a probe, unless a server responded just now."""
        path = self._path(service)
        path.is_probe_requested = not self._has_fresh_data(path)

    def should_probe(self, service: str) -> bool:
        """Returns whether to find out if servers accept connections."""
        path = self._path(service)
        if path.state is not PathState.DIRECT or path.is_probe_requested:
            return True
        now_s = self._clock.monotonic()
        if now_s - path.probed_s < _PROBE_PAUSE_S:
            return False
        starts_s = [start_s for _, start_s in path.pending.values()]
        starts_s += path.responding.values()
        since_s = max(path.data_s, min(starts_s, default=math.inf))
        return bool(self._failed(path)) or now_s - since_s >= _QUIET_S

    def record_probe(self, service: str, *, has_reached: bool) -> None:
        """Records whether one of several servers accepted a connection."""
        path = self._path(service)
        path.probed_s = self._clock.monotonic()
        path.is_probe_requested = False
        if not has_reached:
            self._apply(service, PathEvent.PROBES_FAIL)
            return
        # Whatever failed or is silent, the path is not the reason.
        path.failures.clear()
        path.response_s = path.probed_s
        self.record_reached(service)

    def state(self, service: str) -> PathState:
        """Returns how requests of a service are sent."""
        return self._path(service).state

    def is_any_cut(self) -> bool:
        """Returns whether only other VMs reach the servers of a service."""
        return any(p.state is PathState.CUT for p in self._paths.values())

    def cause(self, service: str) -> PathEvent | None:
        """Returns what last changed how requests of a service are sent."""
        return self._path(service).cause

    def should_borrow(self, service: str) -> bool:
        """Returns whether requests are sent through other VMs."""
        path = self._path(service)
        if (
            path.state is PathState.DIRECT
            and (path.failures or path.pending)
            and len(self._silent(path)) >= self._needed(service)
            and self._are_near_among(service, self._silent(path))
        ):
            self._apply(service, PathEvent.SERVERS_SILENT)
        return path.state is not PathState.DIRECT

    def may_borrow(self, service: str) -> bool:
        """Returns whether an attempt without a connection may be borrowed.

        Open connections may live on while new ones are refused.
        """
        path = self._path(service)
        now_s = self._clock.monotonic()
        recent = {
            server
            for server, at_s in path.refusals.items()
            if now_s - at_s <= _REFUSAL_S
        }
        needed = min(_MIN_REFUSALS, max(1, self._count_servers(service)))
        return (
            now_s >= path.down_until_s
            and len(recent) >= needed
            and self._are_near_among(service, recent)
        )

    def record_borrowed(self, service: str, *, has_reached: bool) -> None:
        """Records whether another VM, which tried to, reached a server."""
        path = self._path(service)
        if has_reached:
            path.unreached = 0
            self._apply(service, PathEvent.PEER_REACHES)
            return
        path.unreached += 1
        if path.unreached >= _MAX_UNREACHED:
            path.down_until_s = self._clock.monotonic() + _SERVERS_DOWN_S

    def record_reached(self, service: str) -> None:
        """Records that a probe connected to a server."""
        self._apply(service, PathEvent.REACHED)

    def _apply(self, service: str, event: PathEvent) -> None:
        path = self._path(service)
        before = path.state
        path.state = next_path_state(before, event)
        if path.state is before:
            return
        path.cause = event
        if path.state is PathState.DIRECT:
            path.unreached = 0
            path.failures.clear()
            path.refusals.clear()
            path.response_s = self._clock.monotonic()
        self._on_change(service, path.state)

    def _has_fresh_data(self, path: _ServicePath) -> bool:
        """Returns whether data arrived so lately that the path may be there."""
        return self._clock.monotonic() - path.data_s < _QUIET_S

    def _are_near_among(self, service: str, servers: Set[str]) -> bool:
        """Returns whether servers of this data centre fail too, if any are."""
        near = self._near_servers(service)
        return not near or not servers.isdisjoint(near)

    def _needed(self, service: str) -> int:
        return min(_MIN_SERVERS, max(1, self._count_servers(service)))

    def _silent(self, path: _ServicePath) -> set[str]:
        """Returns the servers that failed or are silent since a response."""
        oldest_s = self._clock.monotonic() - _EVIDENCE_S
        failed = self._failed(path)
        silent = {server for server, at_s in failed.items() if at_s >= oldest_s}
        silent.update(
            server
            for server, start_s in path.pending.values()
            if self._is_silent(path, start_s)
        )
        return silent

    def _failed(self, path: _ServicePath) -> dict[str, float]:
        """Returns the failures that may be those of the path, by server.

        Open connections may live on while new ones are refused; only requests
        that need a new one are borrowed then.
        """
        if not self._has_fresh_data(path):
            return path.failures
        return {
            server: at_s
            for server, at_s in path.failures.items()
            if path.refusals.get(server) != at_s
        }

    def _is_silent(self, path: _ServicePath, start_s: float) -> bool:
        since_s = max(start_s, path.response_s)
        return self._clock.monotonic() - since_s >= _SILENT_S

    def _path(self, service: str) -> _ServicePath:
        path = self._paths.get(service)
        if path is None:
            path = self._paths[service] = _ServicePath()
        return path
