"""Choice of a backend server."""

import abc
import math
import random

import msgspec

__all__ = [
    "Candidate",
    "LeastExpectedWait",
    "LeastReportedLoad",
    "RoundRobin",
    "ServerChooser",
    "TwoChoicesByCacheAndLoad",
]

_CACHE_WEIGHT = 2.0
_SERVICE_TIME_S = 2.0
_PREFILL_BLOCK_S = 0.012
_LOAD_SMOOTHING = 1.0
_FULL_LOAD_PENALTY_S = 0.05
_MAX_SOFTPLUS_INPUT = 50.0


class Candidate(msgspec.Struct, kw_only=True):
    """A backend server that a request may be sent to.

    Attributes:
        name: Name of the backend server.
        slots: Number of concurrent requests.
        own_inflight: Requests of this VM in flight at the server, exact.
        reported_load: Requests running and waiting in the last report.
        report_age_s: Age of the load data in seconds.
        others_load: Requests of other VMs at the server, as last reported.
        cached_blocks: Prompt blocks estimated to be in its prefix cache.
        prompt_blocks: Number of blocks of the prompt.
    """

    name: str
    slots: int
    own_inflight: int = 0
    reported_load: int = 0
    report_age_s: float = 0.0
    others_load: float = 0.0
    cached_blocks: int = 0
    prompt_blocks: int = 0


class ServerChooser(abc.ABC):
    """Chooses one of several candidates."""

    __slots__ = ()

    @abc.abstractmethod
    def choose(self, candidates: list[Candidate]) -> Candidate:
        """Returns one of the candidates; the list must not be empty."""


class RoundRobin(ServerChooser):
    """Chooses the candidates in turn."""

    __slots__ = ("_next_index",)

    def __init__(self) -> None:
        self._next_index = 0

    def choose(self, candidates: list[Candidate]) -> Candidate:
        """Returns the next candidate in turn."""
        self._next_index += 1
        return candidates[self._next_index % len(candidates)]


class LeastReportedLoad(ServerChooser):
    """Chooses the candidate with the lowest reported load."""

    __slots__ = ()

    def choose(self, candidates: list[Candidate]) -> Candidate:
        """Returns the candidate with the lowest reported load."""
        return min(candidates, key=lambda c: (c.reported_load, c.name))


class TwoChoicesByCacheAndLoad(ServerChooser):
    """Compares two random candidates by cache overlap and load.

    The candidate with the longest cached prefix is always compared as well.
    Own requests in flight count immediately; the weight of the reported load
    decays with the age of the report.

    References:
        Mitzenmacher, "The Power of Two Choices in Randomized Load
        Balancing", IEEE TPDS 12(10), 2001.

    Args:
        rng: Source of the random candidates.
        report_half_life_s: Report age in seconds at which its weight is 0.5.
    """

    __slots__ = ("_half_life_s", "_rng")

    def __init__(self, *, rng: random.Random, report_half_life_s: float = 2.0):
        self._rng = rng
        self._half_life_s = report_half_life_s

    def choose(self, candidates: list[Candidate]) -> Candidate:
        """Returns the candidate with the lowest cost."""
        drawn = self._rng.sample(candidates, min(2, len(candidates)))
        drawn.append(max(candidates, key=lambda c: c.cached_blocks))
        return min(drawn, key=self._cost)

    def _cost(self, cand: Candidate) -> float:
        discount = 0.5 ** (cand.report_age_s / self._half_life_s)
        load = max(cand.own_inflight, cand.reported_load * discount)
        missing = cand.prompt_blocks - cand.cached_blocks
        missing_fraction = missing / max(1, cand.prompt_blocks)
        return load / cand.slots + _CACHE_WEIGHT * missing_fraction


class LeastExpectedWait(ServerChooser):
    """Chooses the server with the lowest expected time to first token.

    The cost is the wait for a slot plus the prefill of the blocks that are
    not cached, both in seconds. Own requests count exactly; the load of other
    VMs decays towards the mean of all servers with its age, so that VMs with
    the same outdated report do not all choose the same server. The wait is
    smoothed around the last free slot (softplus), as the load is never known
    exactly.

    Args:
        service_time_s: Seconds that a request occupies a slot.
        prefill_block_s: Seconds to prefill one block of a prompt.
        half_life_s: Age in seconds at which the load reported for other VMs
            has a weight of 0.5.
    """

    __slots__ = ("_half_life_s", "_prefill_block_s", "_service_time_s")

    def __init__(
        self,
        *,
        service_time_s: float = _SERVICE_TIME_S,
        prefill_block_s: float = _PREFILL_BLOCK_S,
        half_life_s: float = 5.0,
    ):
        self._service_time_s = service_time_s
        self._prefill_block_s = prefill_block_s
        self._half_life_s = half_life_s

    def choose(self, candidates: list[Candidate]) -> Candidate:
        """Returns the candidate with the lowest expected time."""
        mean = sum(c.others_load for c in candidates) / len(candidates)
        return min(candidates, key=lambda cand: self._expected_s(cand, mean))

    def _expected_s(self, cand: Candidate, mean_others: float) -> float:
        weight = 0.5 ** (cand.report_age_s / self._half_life_s)
        others = mean_others + (cand.others_load - mean_others) * weight
        load = cand.own_inflight + others
        excess = (load + 1 - cand.slots) / _LOAD_SMOOTHING
        queued = (
            math.log1p(math.exp(min(excess, _MAX_SOFTPLUS_INPUT)))
            * _LOAD_SMOOTHING
        )
        if excess > _MAX_SOFTPLUS_INPUT:
            queued = excess * _LOAD_SMOOTHING
        wait_s = queued / cand.slots * self._service_time_s
        missing = cand.prompt_blocks - cand.cached_blocks
        return (
            wait_s
            + missing * self._prefill_block_s
            + _FULL_LOAD_PENALTY_S * load / cand.slots
        )
