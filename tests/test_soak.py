"""A short soak of the real programs, with seeds that have failed before.

`make soak` plays more of them; `SEEDS` keeps every seed that failed, with its cause. Timing differs
between runs, so a seed draws the same faults but not the same moments.
"""

import asyncio

import pytest
from soak.play import SoakPlan, play
from soak.report import write_report

SEEDS = {
    100: "SIGHUP before its handler stood ended the process",
    101: "an instance cut off from the store sent a restarted upstream more than it bears cold",
    225: "as 101: the suspicion ended before the upstream was warm",
}
# Long enough for some twenty faults, short enough for CI.
SECONDS = 16.0


@pytest.mark.parametrize("seed", sorted(SEEDS))
def test_seed_keeps_every_promise(seed, tmp_path):
    """Guards against every promise of docs/invariants.md that the soak checks, under faults."""
    result = asyncio.run(play(SoakPlan(seed, SECONDS, 6, 4), tmp_path))
    assert not result.breaches, write_report(result, tmp_path).read_text()
    assert len(result.history.attempts) > 500
