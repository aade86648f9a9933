"""Logs and counts repeated and failed calls to upstreams."""

from .adapters.counts import Counts
from .adapters.eventlog import Event, EventLog
from .clock import Clock
from .forwarding import CallObserver, RoutedRequest
from .policy.calls import Call, CallFailure


class CallLog(CallObserver):
    """Logs and counts repeated and failed calls."""

    def __init__(self, clock: Clock, log: EventLog, counts: Counts) -> None:
        self._clock = clock
        self._log = log
        self._counts = counts

    def record_repeated_call(self, request: RoutedRequest, call: Call) -> None:
        self._counts.add("call_repeats", call.reason)
        self._log.write(
            Event.CALL_REPEATED,
            "forwarding",
            id=request.id,
            service=call.upstream.service,
            upstream=call.upstream.id,
            reason=call.reason,
            after_ms=round(call.started_ms - request.received_ms, 1),
        )

    def record_failed_call(self, request: RoutedRequest, call: Call, failure: CallFailure) -> None:
        self._counts.add("call_faults", failure.kind.value)
        self._log.write(
            Event.CALL_FAILED,
            "forwarding",
            id=request.id,
            service=call.upstream.service,
            upstream=call.upstream.id,
            reason=call.reason,
            fault=failure.kind.value,
            status=failure.reply.status if failure.reply else None,
            was_sent=call.is_sent,
            after_ms=round(self._clock.now_ms() - call.started_ms, 1),
        )

    def record_limit(self, call: Call, limit_per_s: float | None) -> None:
        self._log.write(
            Event.UPSTREAM_LIMITED,
            "forwarding",
            service=call.upstream.service,
            upstream=call.upstream.id,
            limit_per_s=limit_per_s,
        )
