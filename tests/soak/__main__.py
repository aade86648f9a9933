"""Runs the soak test from the command line: `cd tests && python -m soak --seed 1 --runs 50`."""

import asyncio
import sys
from pathlib import Path

import click

from .report import write_report
from .runner import SoakPlan, run_soak


@click.command()
@click.option("--seed", type=int, default=1, show_default=True, help="The first seed.")
@click.option("--runs", type=int, default=1, show_default=True, help="Seeds, one after another.")
@click.option("--minutes", type=float, default=0.5, show_default=True, help="Length of one run.")
@click.option("--instances", type=int, default=6, show_default=True, help="Entry processes.")
@click.option("--shards", type=int, default=4, show_default=True, help="Shards of the index.")
@click.option("--stops-only", is_flag=True, help="No faults but instances that are stopped.")
@click.option("--report", type=click.Path(path_type=Path), default=Path("../build/soak"))
def main(
    seed: int,
    runs: int,
    minutes: float,
    instances: int,
    shards: int,
    stops_only: bool,
    report: Path,
) -> None:
    """Run seeds and write a report for each with a violation; exit with 1 if there is one."""
    failed = 0
    for number in range(seed, seed + runs):
        plan = SoakPlan(number, minutes * 60.0, instances, shards, stops_only)
        result = asyncio.run(run_soak(plan, report / f"seed-{number}"))
        click.echo(result.summarise())
        if result.violations:
            failed += 1
            click.echo(f"  see {write_report(result, report)}")
    click.echo(f"{runs - failed} of {runs} seeds held every invariant")
    sys.exit(1 if failed else 0)


main()
