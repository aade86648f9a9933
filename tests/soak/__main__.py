"""Runs the soak by hand: `cd tests && python -m soak --seed 1 --runs 50`."""

import asyncio
import sys
from pathlib import Path

import click

from .report import write_report
from .runner import SoakPlan, play


@click.command()
@click.option("--seed", type=int, default=1, show_default=True, help="The first seed.")
@click.option("--runs", type=int, default=1, show_default=True, help="Seeds, one after another.")
@click.option("--minutes", type=float, default=0.5, show_default=True, help="Length of one run.")
@click.option("--instances", type=int, default=6, show_default=True, help="Entry processes.")
@click.option("--shards", type=int, default=4, show_default=True, help="Shards of the index.")
@click.option("--report", type=click.Path(path_type=Path), default=Path("../build/soak"))
def main(seed: int, runs: int, minutes: float, instances: int, shards: int, report: Path) -> None:
    """Play seeds and write a page for each that broke a promise; the exit code is 1 if any did."""
    broken = 0
    for number in range(seed, seed + runs):
        plan = SoakPlan(number, minutes * 60.0, instances, shards)
        result = asyncio.run(play(plan, report / f"seed-{number}"))
        click.echo(result.summarise())
        if result.breaches:
            broken += 1
            click.echo(f"  see {write_report(result, report)}")
    click.echo(f"{runs - broken} of {runs} seeds kept every promise")
    sys.exit(1 if broken else 0)


main()
