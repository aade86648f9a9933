"""Short soak runs of the real programs, with seeds that have failed before.

`make soak` runs more seeds; `SEEDS` lists every seed that failed, with its cause. A seed draws the
same faults each time, but timing differs between runs.
"""

import asyncio
from typing import NamedTuple

import pytest
from soak.report import write_report
from soak.runner import SoakPlan, run_soak


class Regression(NamedTuple):
    """Why a seed failed, and how many instances and which faults that run had."""

    cause: str
    instances: int = 6
    stops_only: bool = False


SEEDS = {
    1: Regression("a stopping instance accepted requests until it exited", stops_only=True),
    100: Regression("SIGHUP before its handler was installed ended the process"),
    101: Regression("an instance without the store sent a cold upstream more than its limit"),
    225: Regression("as 101: the upstream stopped counting as suspect before it was warm"),
    301: Regression("a domain relied on a watcher whose watch was unresponsive", 27),
}
# Long enough for about twenty faults, short enough for CI.
SECONDS = 16.0
MIN_REQUESTS = 500


@pytest.mark.parametrize("seed", sorted(SEEDS))
def test_seed_holds_every_invariant(seed, tmp_path):
    """Guards against violations of docs/invariants.md under the faults of a soak run."""
    regression = SEEDS[seed]
    plan = SoakPlan(seed, SECONDS, regression.instances, 4, regression.stops_only)
    result = asyncio.run(run_soak(plan, tmp_path))
    assert not result.violations, write_report(result, tmp_path).read_text()
    assert len(result.history.attempts) > MIN_REQUESTS
