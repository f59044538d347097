"""Measures the processor time of one routing decision, and its growth.

Prints one line for each size: samplers known, candidates, microseconds a
decision (the best of several rounds), and the slopes at the end.
"""

import argparse
import random
import time

from endivespindle.core.clock import SystemClock
from endivespindle.routing.choice import LeastExpectedWait
from endivespindle.routing.prefixes import prefix_hashes
from endivespindle.routing.tracker import ServerTracker
from endivespindle.schema.generated.backend import LoadReport
from endivespindle.schema.generated.register import BackendServer

_ROUNDS = 25
_SLOTS = 8
_PROMPT_WORDS = 400


def make_tracker(
    known: int, rng: random.Random
) -> tuple[ServerTracker, list[BackendServer]]:
    """Returns a tracker that knows many samplers, and the samplers."""
    tracker = ServerTracker(clock=SystemClock())
    servers = []
    for number in range(known):
        server = BackendServer(
            name=f"s{number}",
            service="x",
            data_centre="d",
            address="http://h",
        )
        servers.append(server)
        tracker.apply_load_report(
            LoadReport(
                backend_server=server.name,
                running=rng.randrange(_SLOTS),
                waiting=0,
                sequence=1,
                age_s=1.0,
            )
        )
        prompt = f"family {number % 50} " * 40
        tracker.begin_request(server.name, hashes=prefix_hashes(prompt))
    return tracker, servers


def decision_us(known: int, candidates: int, decisions: int) -> float:
    """Returns the microseconds of one decision."""
    rng = random.Random(1)
    tracker, servers = make_tracker(known, rng)
    chooser = LeastExpectedWait()
    some = servers[:candidates]
    hashes = prefix_hashes("family 7 " * _PROMPT_WORDS)
    best = float("inf")
    for _ in range(_ROUNDS):
        begin = time.process_time()
        for _ in range(decisions):
            chooser.choose(
                tracker.candidates(some, slots=_SLOTS, hashes=hashes)
            )
        best = min(best, time.process_time() - begin)
    return best / decisions * 1e6


def main() -> None:
    """Prints the table."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--decisions", type=int, default=30)
    args = parser.parse_args()
    sizes = [(10_000, n) for n in (25, 50, 100, 200, 400)]
    sizes += [(n, 200) for n in (200, 1_000, 3_000)]
    found = {}
    for known, candidates in sizes:
        cost = decision_us(known, candidates, args.decisions)
        found[known, candidates] = cost
        print(f"known {known:>6}  candidates {candidates:>4}  {cost:8.1f} us")
    by_candidate = (found[10_000, 400] - found[10_000, 25]) / 375
    by_known = (found[10_000, 200] - found[200, 200]) / 9.8
    print(f"slope: {by_candidate:.3f} us a candidate")
    print(f"slope: {by_known:.3f} us a thousand samplers known")


if __name__ == "__main__":
    main()
