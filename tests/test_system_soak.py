"""A short seeded run of the soak, and seeds that ever failed."""

import asyncio
import itertools

import pytest

from tests.soak.run import soak

SECONDS = 8.0
SEEDS = (1, 2)
# Seeds that failed once, each with its cause.
REGRESSIONS: dict[int, str] = {}


@pytest.mark.timeout(180)
@pytest.mark.parametrize("seed", itertools.chain(SEEDS, REGRESSIONS))
def test_every_promise_holds(tmp_path, seed):
    broken, faults = asyncio.run(soak(tmp_path, seed, SECONDS))
    assert not broken, "\n".join([*broken, *faults])
