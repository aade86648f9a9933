"""Logs and counts how callers' requests end."""

from typing import Any

from .adapters.counts import Counts
from .adapters.eventlog import Event, EventLog
from .clock import Clock
from .forwarding import ExchangeRunner, RoutedRequest
from .policy.calls import Answered, Outcome
from .policy.catalog import Team
from .sharedstate import SharedState


class RequestLog:
    """Logs and counts the outcomes of requests, with the state on which they were decided."""

    def __init__(self, clock: Clock, log: EventLog, counts: Counts, state: SharedState) -> None:
        self._clock = clock
        self._log = log
        self._counts = counts
        self._state = state

    def record_denied(
        self, request_id: str, status: int, reason: str, team: Team | None = None
    ) -> None:
        """Record a request that was answered without a call to an upstream."""
        self._counts.add("requests", reason)
        version = self._state.catalog.version if self._state.catalog else None
        self._log.write(
            Event.REQUEST_DENIED,
            "gateway",
            id=request_id,
            status=status,
            reason=reason,
            version=version,
            **({"team": team.name} if team else {}),
            # Below the store's revision, the instance is behind; at it, a change has been lost.
            store_revision=self._state.revision,
            state_age_ms=self._compute_state_age_ms(),
        )

    def record_outcome(
        self, request: RoutedRequest, version: int, outcome: Outcome, runner: ExchangeRunner | None
    ) -> None:
        """Record the outcome of a request that was handled by a version of the configuration."""
        took_ms = self._clock.now_ms() - request.received_ms
        fields: dict[str, Any] = {}
        if isinstance(outcome, Answered):
            label = "partial" if outcome.missing else "answered"
            fields["missing"] = outcome.missing
            if outcome.missing and runner:
                fields["missing_parts"] = runner.exchange.describe_missing()
        else:
            label = type(outcome).__name__.lower()
            fields["reason"] = outcome.reason
            self._record_shortage(request, runner, fields)
        if request.team:
            fields["team"] = request.team.name
        self._counts.add("requests", label)
        self._counts.observe(request.route.name, label, took_ms)
        self._log.write(
            Event.REQUEST_ENDED,
            "gateway",
            id=request.id,
            route=request.route.name,
            version=version,
            outcome=label,
            took_ms=round(took_ms, 1),
            outside_ms=round(request.outside_ms, 1),
            calls=dict(runner.reasons) if runner else {},
            state_age_ms=self._compute_state_age_ms(),
            **fields,
        )

    def _record_shortage(
        self, request: RoutedRequest, runner: ExchangeRunner | None, fields: dict[str, Any]
    ) -> None:
        """Count a request given up for lack of room, and add what decided it to `fields`."""
        if runner is None or runner.exchange.shortage is None:
            return
        self._counts.add("requests_without_room", request.team.name if request.team else "")
        fields["priority"] = request.demand.priority if request.demand else request.route.priority
        fields["shortage"] = runner.exchange.shortage._asdict()

    def record_caller_left(self, request: RoutedRequest) -> None:
        """Record that the caller closed its connection before it was answered."""
        self._counts.add("requests", "caller_left")
        self._log.write(
            Event.CALLER_LEFT,
            "gateway",
            id=request.id,
            route=request.route.name,
            after_ms=round(self._clock.now_ms() - request.received_ms),
        )

    def _compute_state_age_ms(self) -> int:
        return round(self._clock.now_ms() - self._state.confirmed_ms)
