"""Steps for the demonstration as a process."""

import subprocess
import sys

from behave import then, when

# The demonstration stops itself after 90 s; the rest is for its start and stop.
TIMEOUT_S = 150


@when("the demonstration is run as a process")
def run_demonstration(context):
    context.run = subprocess.run(
        [sys.executable, "-m", "citronpaddle.cli.demo"],
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
        check=False,
    )


@then("it ends with exit code {status:d}")
def check_status(context, status):
    assert context.run.returncode == status, context.run


@then("its output has these lines in this order")
def check_lines(context):
    position = 0
    for row in context.table:
        found = context.run.stdout.find(row["line"], position)
        assert found >= 0, f"{row['line']!r} is missing after character {position}: {context.run}"
        position = found + len(row["line"])
