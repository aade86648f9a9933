"""Sends queries through entry instances from many threads and checks every answer."""

import http.client
import json
import re
import threading
import time
from contextlib import suppress
from typing import Any, NamedTuple

from citronpaddle.models import KEY_SPACE_SIZE

# More than three rows per shard in every layout used, so that the rows include every shard.
ROW_LIMIT = 200
_ROW_TEXT = re.compile(r"s(\d+)of(\d+)@(\d+) (.*)", re.DOTALL)


class QueryRecord(NamedTuple):
    """One query and its response; `status` is 0 if the connection failed."""

    entry: str
    text: str
    start_s: float
    end_s: float
    status: int
    body: Any

    @property
    def is_complete(self) -> bool:
        return self.status == 200 and self.body["coverage"]["complete"]


def find_violations(record: QueryRecord) -> list[str]:
    """Return the contradictions between an answer and its own rows."""
    if record.status != 200:
        return []
    version, coverage = record.body["snapshot"]["version"], record.body["coverage"]
    ranges, violations = set(), []
    for row in record.body["rows"]:
        match = _ROW_TEXT.fullmatch(row["text"])
        position, total, seen_version = (int(match[number]) for number in (1, 2, 3))
        bounds = [KEY_SPACE_SIZE * edge // total for edge in (position, position + 1)]
        ranges.add(tuple(bounds))
        if seen_version != version:
            violations.append(f"row of version {seen_version} in an answer of version {version}")
        if match[4] != record.text:
            violations.append(f"row of query {match[4]!r}")
    ordered = sorted(ranges)
    if any(low < high for (_, high), (low, _) in zip(ordered, ordered[1:], strict=False)):
        violations.append("rows of overlapping shards")
    share = sum(high - low for low, high in ordered) / KEY_SPACE_SIZE
    if coverage["share"] > share + 1e-9 or (coverage["complete"] and share < 1):
        violations.append(f"reports a share of {coverage['share']}, but its rows show {share}")
    return violations


class Traffic:
    """Threads that each send consecutive queries over one connection to one instance.

    With `abandon_every` set to n, every nth query is abandoned 0 to 75 ms after it was sent, by
    closing the connection.
    """

    def __init__(
        self,
        cluster: Any,
        names: list[str],
        threads: int,
        pause_s: float = 0.03,
        abandon_every: int = 0,
    ) -> None:
        self.records: list[QueryRecord] = []
        self._service = cluster.service
        self._pause_s = pause_s
        self._abandon_every = abandon_every
        self.abandoned_count = 0
        self._stop = threading.Event()
        self._threads = [
            threading.Thread(
                target=self._run, args=(name, cluster.entries[name]["http"], number), daemon=True
            )
            for name in names
            for number in range(threads)
        ]
        for thread in self._threads:
            thread.start()

    def stop(self) -> list[QueryRecord]:
        """Stop all threads and return the records of the queries that were not abandoned."""
        self._stop.set()
        for thread in self._threads:
            thread.join(10)
        return self.records

    def _run(self, name: str, address: str, number: int) -> None:
        connection = http.client.HTTPConnection(address, timeout=4)
        count = 0
        while not self._stop.is_set():
            count += 1
            text = f"oak {name} {number} {count}"
            start_s = time.monotonic()
            if self._abandon_every and count % self._abandon_every == 0:
                self._abandon(connection, text, 0.005 * (count % 16))
                continue
            try:
                status, body = self._query(connection, text)
            except (OSError, http.client.HTTPException, ValueError):
                connection.close()
                status, body = 0, None
            self.records.append(QueryRecord(name, text, start_s, time.monotonic(), status, body))
            self._stop.wait(self._pause_s if status == 200 else 5 * self._pause_s)
        connection.close()

    def _send(self, connection: http.client.HTTPConnection, text: str) -> None:
        body = json.dumps({"query": text, "limit": ROW_LIMIT, "deadline_ms": 1500})
        connection.request("POST", f"/v1/services/{self._service}/query", body)

    def _query(self, connection: http.client.HTTPConnection, text: str) -> tuple[int, Any]:
        self._send(connection, text)
        response = connection.getresponse()
        return response.status, json.loads(response.read())

    def _abandon(self, connection: http.client.HTTPConnection, text: str, wait_s: float) -> None:
        with suppress(OSError, http.client.HTTPException):
            self._send(connection, text)
            self._stop.wait(wait_s)
        connection.close()
        self.abandoned_count += 1
