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
_REQUEST_S = 2.0
_BLOCK_S = 0.012
_LOAD_SPREAD = 1.0
_FILL_S = 0.05
_MAX_EXPONENT = 50.0


class Candidate(msgspec.Struct, kw_only=True):
    """A backend server that could take a request.

    Attributes:
        name: Name of the backend server.
        slots: Requests it runs at once.
        own_inflight: Requests that this VM has in flight there, exact.
        reported_load: Requests running and waiting as last reported.
        report_age_s: Seconds since that report was taken.
        others_load: Requests of other VMs there, as last told.
        cached_blocks: Blocks of the prompt believed to be in its cache.
        prompt_blocks: Blocks of the prompt.
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
        """Returns one of the candidates, of which there is at least one."""


class RoundRobin(ServerChooser):
    """Takes one after another."""

    __slots__ = ("_turn",)

    def __init__(self) -> None:
        self._turn = 0

    def choose(self, candidates: list[Candidate]) -> Candidate:
        """Returns the next one in turn."""
        self._turn += 1
        return candidates[self._turn % len(candidates)]


class LeastReportedLoad(ServerChooser):
    """Takes the one whose last report was lowest."""

    __slots__ = ()

    def choose(self, candidates: list[Candidate]) -> Candidate:
        """Returns the one with the lowest reported load."""
        return min(candidates, key=lambda c: (c.reported_load, c.name))


class TwoChoicesByCacheAndLoad(ServerChooser):
    """Weighs cache overlap against load, between two drawn at random.

    The candidate with the longest cached prefix always stands beside the
    two drawn ones. Own requests in flight count at once; reported load
    counts the less the older the report is.

    References:
        Mitzenmacher, "The Power of Two Choices in Randomized Load
        Balancing", IEEE TPDS 12(10), 2001.

    Args:
        rng: Source of the draws.
        report_half_life_s: Age at which a report counts half.
    """

    __slots__ = ("_half_life_s", "_rng")

    def __init__(self, *, rng: random.Random, report_half_life_s: float = 2.0):
        self._rng = rng
        self._half_life_s = report_half_life_s

    def choose(self, candidates: list[Candidate]) -> Candidate:
        """Returns the one with the lowest cost."""
        drawn = self._rng.sample(candidates, min(2, len(candidates)))
        drawn.append(max(candidates, key=lambda c: c.cached_blocks))
        return min(drawn, key=self._cost)

    def _cost(self, cand: Candidate) -> float:
        discount = 0.5 ** (cand.report_age_s / self._half_life_s)
        load = max(cand.own_inflight, cand.reported_load * discount)
        missing = cand.prompt_blocks - cand.cached_blocks
        share = missing / max(1, cand.prompt_blocks)
        return load / cand.slots + _CACHE_WEIGHT * share


class LeastExpectedWait(ServerChooser):
    """Takes the server expected to give the first token soonest.

    The wait for a slot and the time for the blocks that are not cached are
    both put in seconds. Own requests count exactly; what others have there
    is drawn towards the mean of all servers as it ages, so that VMs with
    the same old news do not all take the same server. The wait is smoothed
    around the last free slot, as the load is never known exactly.

    Args:
        service_time_s: Seconds that a request holds a slot.
        prefill_block_s: Seconds to fill in one block of a prompt.
        half_life_s: Age at which news of others' load counts half.
    """

    __slots__ = ("_prefill_block_s", "_half_life_s", "_service_time_s")

    def __init__(
        self,
        *,
        service_time_s: float = _REQUEST_S,
        prefill_block_s: float = _BLOCK_S,
        half_life_s: float = 5.0,
    ):
        self._service_time_s = service_time_s
        self._prefill_block_s = prefill_block_s
        self._half_life_s = half_life_s

    def choose(self, candidates: list[Candidate]) -> Candidate:
        """Returns the one with the shortest expected wait."""
        mean = sum(c.others_load for c in candidates) / len(candidates)
        return min(candidates, key=lambda cand: self._expected_s(cand, mean))

    def _expected_s(self, cand: Candidate, mean_others: float) -> float:
        trust = 0.5 ** (cand.report_age_s / self._half_life_s)
        others = mean_others + (cand.others_load - mean_others) * trust
        load = cand.own_inflight + others
        over = (load + 1 - cand.slots) / _LOAD_SPREAD
        queued = math.log1p(math.exp(min(over, _MAX_EXPONENT))) * _LOAD_SPREAD
        if over > _MAX_EXPONENT:
            queued = over * _LOAD_SPREAD
        wait_s = queued / cand.slots * self._service_time_s
        missing = cand.prompt_blocks - cand.cached_blocks
        return (
            wait_s
            + missing * self._prefill_block_s
            + _FILL_S * load / cand.slots
        )
