"""A short soak of the real programs, with seeds that have failed before.

`make soak` plays more of them; `SEEDS` keeps every seed that failed, with its cause. Timing differs
between runs, so a seed draws the same faults but not the same moments.
"""

import asyncio
from typing import NamedTuple

import pytest
from soak.report import write_report
from soak.runner import SoakPlan, play


class Regression(NamedTuple):
    """Why a seed failed, and with how many instances."""

    cause: str
    instances: int = 6


SEEDS = {
    100: Regression("SIGHUP before its handler stood ended the process"),
    101: Regression("an instance cut off from the store sent a cold upstream more than it bears"),
    225: Regression("as 101: the suspicion ended before the upstream was warm"),
    301: Regression("a domain relied on a watcher whose watch had gone silent", 27),
}
# Long enough for some twenty faults, short enough for CI.
SECONDS = 16.0


@pytest.mark.parametrize("seed", sorted(SEEDS))
def test_seed_keeps_every_promise(seed, tmp_path):
    """Guards against every promise of docs/invariants.md that the soak checks, under faults."""
    plan = SoakPlan(seed, SECONDS, SEEDS[seed].instances, 4)
    result = asyncio.run(play(plan, tmp_path))
    assert not result.breaches, write_report(result, tmp_path).read_text()
    assert len(result.history.attempts) > 500
