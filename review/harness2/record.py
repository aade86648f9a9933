"""The record of a script: what was sent, answered and run, as lines of JSON."""

import json
import time
from pathlib import Path
from typing import Any


class Record:
    """Events with their time in seconds since the start of the script."""

    def __init__(self) -> None:
        self._started = time.monotonic()
        self.events: list[dict[str, Any]] = []

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._started

    def add(self, event: str, **fields: Any) -> None:
        """Add an event that happens now."""
        self.events.append({"t": round(self.now(), 4), "event": event, **fields})

    def select(self, event: str, **fields: Any) -> list[dict[str, Any]]:
        """Return the events of a kind with these fields."""
        return [
            one
            for one in self.events
            if one["event"] == event and all(one.get(k) == v for k, v in fields.items())
        ]

    def save(self, path: Path) -> None:
        """Write all events to a file."""
        path.write_text("".join(json.dumps(event) + "\n" for event in self.events))
