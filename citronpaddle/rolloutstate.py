"""What the store holds about roll-outs, as this instance has read it, and its encoding.

The operator's orders and the status for the operator have the platform's format. The record of a
running roll-out and the counts of each instance are the product's own keys.
"""

import json
from abc import ABC, abstractmethod
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from .policy.judgement import CallCounts, Stratum, Tally
from .policy.rollout import (
    Progress,
    Rollout,
    RolloutOrder,
    RolloutRecord,
    RolloutState,
    RolloutStatus,
    Step,
)

RECORD_PREFIX = "citronpaddle/rollouts/"
COUNTS_PREFIX = "citronpaddle/rollout-counts/"
# The most calls of an instance in a stratum: the arithmetic of the judgement is exact up to here.
MAX_CALLS = 10**6


class InvalidOrder(NamedTuple):
    """Why an order cannot be followed, and the version that it names if that can be read."""

    reason: str
    target_version: str | None


class RolloutCodec(ABC):
    """Decodes and encodes the platform's keys and documents of roll-outs."""

    @abstractmethod
    def find_order_service(self, key: str) -> str | None:
        """Return the service for which the key holds an order, or None."""

    @abstractmethod
    def find_status_service(self, key: str) -> str | None:
        """Return the service for which the key holds a status, or None."""

    @abstractmethod
    def make_order_key(self, service: str) -> str:
        """Return the key of the order for a service."""

    @abstractmethod
    def make_status_key(self, service: str) -> str:
        """Return the key of the status for a service."""

    @abstractmethod
    def decode_order(self, service: str, value: bytes) -> RolloutOrder | InvalidOrder:
        """Return the order, or why it cannot be followed."""

    @abstractmethod
    def decode_status(self, value: bytes) -> RolloutStatus | None:
        """Return the status, or None if it cannot be read."""

    @abstractmethod
    def encode_status(self, status: RolloutStatus) -> bytes:
        """Return the encoded status."""


class CountsReport(NamedTuple):
    """The calls that one instance has counted for one roll-out."""

    target_version: str
    duration_ms: float
    tally: Tally


@dataclass(slots=True)
class SharedRollout:
    """The newest values in the store for one service; a revision is 0 if there is no value."""

    order: RolloutOrder | None = None
    order_revision: int = 0
    status: RolloutStatus | None = None
    status_revision: int = 0
    record: RolloutRecord | None = None
    record_revision: int = 0
    reports: dict[str, CountsReport] = field(default_factory=dict)

    def belongs_to(self, order: RolloutOrder) -> bool:
        """Return whether record and status belong to `order` and not to an earlier one."""
        record, status = self.record, self.status
        if record is None or status is None:
            return False
        return (
            (record.target_version, record.duration_ms) == (order.target_version, order.duration_ms)
        ) and status.target_version == order.target_version

    def list_tallies(self, order: RolloutOrder) -> dict[str, Tally]:
        """Return the calls that other instances have reported for `order`, by instance."""
        key = (order.target_version, order.duration_ms)
        return {
            instance: report.tally
            for instance, report in self.reports.items()
            if (report.target_version, report.duration_ms) == key
        }

    def find_progress(self, order: RolloutOrder) -> Progress:
        """Return the progress of the roll-out of `order` as the store has it."""
        if not self.belongs_to(order):
            return Progress.ORDERED
        if self.status.state is not RolloutState.RUNNING:
            return Progress.ENDED
        return Progress.MOVING if self.record.is_moving else Progress.RUNNING


def encode_record(record: RolloutRecord) -> bytes:
    """Return the encoded record."""
    return json.dumps(record._asdict()).encode()


def decode_record(value: bytes) -> RolloutRecord | None:
    """Return the record, or None if it cannot be read."""
    try:
        document = json.loads(value)
        return RolloutRecord(
            str(document["target_version"]),
            float(document["duration_ms"]),
            int(document["started_ms"]),
            bool(document["is_moving"]),
            tuple(str(version) for version in document["other_versions"]),
            tuple(str(version) for version in document["barred_versions"]),
        )
    except (ValueError, KeyError, TypeError, OverflowError, RecursionError):
        return None


def make_counts_key(instance: str, service: str) -> str:
    """Return the key of an instance's counts for a service."""
    return f"{COUNTS_PREFIX}{instance}/{service}"


def split_counts_key(key: str) -> tuple[str, str]:
    """Return the instance and the service of a key of counts."""
    instance, _, service = key[len(COUNTS_PREFIX) :].partition("/")
    return instance, service


def encode_report(report: CountsReport) -> bytes:
    """Return the encoded counts, one row per stratum."""
    rows = [[*stratum, *counts] for stratum, counts in report.tally.list_rows()]
    document = {
        "target_version": report.target_version,
        "duration_ms": report.duration_ms,
        "rows": rows,
    }
    return json.dumps(document, separators=(",", ":")).encode()


def decode_report(value: bytes) -> CountsReport | None:
    """Return the counts, or None if they cannot be read."""
    try:
        document = json.loads(value)
        tally = Tally(
            (Stratum(int(span), str(route), bool(is_remote)), _decode_counts(counts))
            for span, route, is_remote, *counts in document["rows"]
        )
        return CountsReport(str(document["target_version"]), float(document["duration_ms"]), tally)
    except (ValueError, KeyError, TypeError, OverflowError, RecursionError):
        return None


def _decode_counts(numbers: list[Any]) -> CallCounts:
    """Return the counts of a row; raise ValueError or TypeError if they are impossible."""
    counts = CallCounts(*map(int, numbers))
    for calls, bad in ((counts.target, counts.target_bad), (counts.other, counts.other_bad)):
        if not 0 <= bad <= calls <= MAX_CALLS:
            raise ValueError("the counts are out of range")
    return counts


@dataclass(slots=True)
class RolloutRun:
    """The work on one roll-out in this instance; times are monotonic, but for `started_ms`.

    `started_ms` is the wall time of the start. `due_step` has been due since `due_since_ms` and is
    not written before `held_until_ms` of the step. `reported_calls` and `reported_bad` are those to
    the target version in the last report. `withdrawn_ms` is when the order was removed.
    """

    rollout: Rollout
    seen_ms: float
    # Whether the order was read as it was written; otherwise it may be much older than `seen_ms`.
    is_seen_live: bool
    started_ms: int
    due_step: Step = Step.NONE
    due_since_ms: float = 0.0
    held_until_ms: dict[Step, float] = field(default_factory=dict)
    reported_calls: int = 0
    reported_bad: int = 0
    reported_ms: float = 0.0
    withdrawn_ms: float | None = None

    @property
    def order(self) -> RolloutOrder:
        """Return the order."""
        return self.rollout.order
