"""The page on a seed that broke a promise."""

from itertools import chain
from pathlib import Path

from citronpaddle.explanation import explain, format_report, read_lines

from .play import SoakResult

# Stories of more requests than this add little.
MAX_STORIES = 5


def write_report(result: SoakResult, folder: Path) -> Path:
    """Write the page and return its path: broken promises, stories of requests, timeline."""
    rows = [f"# Soak, seed {result.plan.seed}", "", result.summarise(), "", "## Broken", ""]
    rows += [f"- {breach.promise}: {breach.text} {breach.attempt}" for breach in result.breaches]
    rows += ["", "## Requests", ""]
    shown = list(dict.fromkeys(b.attempt for b in result.breaches if b.attempt))[:MAX_STORIES]
    for name in shown:
        rows += ["```", _tell(result, name), "```", ""]
    rows += ["## Timeline (ms from the start)", ""]
    rows += [f"- {at_ms:8.0f} {text}" for at_ms, text in result.history.timeline]
    path = folder / f"seed-{result.plan.seed}.md"
    path.write_text("\n".join(rows) + "\n")
    return path


def _tell(result: SoakResult, name: str) -> str:
    history = result.history
    rows = []
    attempt = history.attempts.get(name)
    if attempt is not None:
        sent_ms = attempt.sent_ms - history.started_ms
        rows.append(
            f"{name} {attempt.prefix} to {attempt.instance} at {sent_ms:.0f}: {attempt.end} "
            f"{attempt.status} after {attempt.ended_ms - attempt.sent_ms:.0f} ms, "
            f"kept connection: {attempt.was_kept}, {attempt.headers}"
        )
    for arrival in history.arrivals:
        if arrival.attempt == name:
            at_ms = arrival.at_ms - history.started_ms
            rows.append(f"  at {arrival.upstream} at {at_ms:.0f}, ran: {arrival.ran}")
    files = [path.open(errors="replace") for path in result.logs]
    try:
        story = explain(name, read_lines(chain.from_iterable(files)))
    finally:
        for file in files:
            file.close()
    rows.append(format_report(story) if story else "no line about it in the logs")
    return "\n".join(rows)
