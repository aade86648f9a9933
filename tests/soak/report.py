"""Writes the report on a seed with violations."""

from itertools import chain
from pathlib import Path

from citronpaddle.explanation import explain, format_report, read_lines

from .runner import SoakResult

# Limit on the requests that are explained in detail; more add little.
MAX_EXPLAINED_REQUESTS = 5


def write_report(result: SoakResult, folder: Path) -> Path:
    """Write the report and return its path: violations, explained requests and timeline."""
    lines = [f"# Soak, seed {result.plan.seed}", "", result.summarise(), "", "## Violations", ""]
    lines += [
        f"- {violation.invariant}: {violation.text} {violation.attempt}"
        for violation in result.violations
    ]
    lines += ["", "## Requests", ""]
    shown = list(dict.fromkeys(b.attempt for b in result.violations if b.attempt))[
        :MAX_EXPLAINED_REQUESTS
    ]
    for name in shown:
        lines += ["```", _describe_request(result, name), "```", ""]
    lines += ["## Timeline (ms from the start)", ""]
    lines += [f"- {at_ms:8.0f} {text}" for at_ms, text in result.history.timeline]
    path = folder / f"seed-{result.plan.seed}.md"
    path.write_text("\n".join(lines) + "\n")
    return path


def _describe_request(result: SoakResult, name: str) -> str:
    history = result.history
    lines = []
    attempt = history.attempts.get(name)
    if attempt is not None:
        sent_ms = attempt.sent_ms - history.started_ms
        lines.append(
            f"{name} {attempt.prefix} to {attempt.instance} at {sent_ms:.0f}: {attempt.outcome} "
            f"{attempt.status} after {attempt.ended_ms - attempt.sent_ms:.0f} ms, "
            f"reused connection: {attempt.reused_connection}, {attempt.headers}"
        )
    for arrival in history.arrivals:
        if arrival.attempt == name:
            at_ms = arrival.at_ms - history.started_ms
            lines.append(f"  at {arrival.upstream} at {at_ms:.0f}, ran: {arrival.ran}")
    files = [path.open(errors="replace") for path in result.logs]
    try:
        explanation = explain(name, read_lines(chain.from_iterable(files)))
    finally:
        for file in files:
            file.close()
    lines.append(format_report(explanation) if explanation else "the logs have no line about it")
    return "\n".join(lines)
