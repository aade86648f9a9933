"""Executes sub-requests and orders for the upstreams that this instance owns."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable, Hashable, Iterable
from dataclasses import dataclass

from .admittance import Admittance
from .directory import Describer
from .documents import Configuration, UpstreamSpec
from .environment import Environment
from .errors import ErrorKind, Failure
from .models import SubReply, SubRequest, UpstreamIndex, UpstreamState
from .policy.admission import AdmissionLimits, CallResult, LearnedState, UpstreamAdmission
from .ports import OrderCall, OrderReply, UpstreamReport, UpstreamTransport

REPORT_INTERVAL_MS = 1_000
REPORT_TIMEOUT_MS = 500
# After this many intervals without a report the upstream's index is no longer believed.
REPORTS_MISSED = 4
# A call without a reply may run at the upstream this much longer than its deadline here.
LOST_MARGIN_MS = 100.0
MAX_DEADLINE_MS = 2_000
QUEUE_SIZE = 64

_RESULTS = {
    ErrorKind.OVERLOADED: CallResult.SHED,
    ErrorKind.UPSTREAM_UNAVAILABLE: CallResult.REFUSED,
    ErrorKind.CANCELLED: CallResult.CANCELLED,
    ErrorKind.UPSTREAM_ERROR: CallResult.FAILED,
}


class Leases(ABC):
    """The right to call an upstream, as far as the owner needs it."""

    @abstractmethod
    def can_dispatch(self, upstream: str, now_ms: float) -> bool:
        """Return whether this instance holds the upstream's lease."""

    @abstractmethod
    def open_call(self, upstream: str, now_ms: float) -> bool:
        """Count a call as started, or return False if the lease does not permit it."""

    @abstractmethod
    def close_call(self, upstream: str) -> None:
        """Count a call as ended at the upstream."""

    @abstractmethod
    def find_holder(self, upstream: str) -> str:
        """Return the instance that holds the lease as far as known, or an empty string."""


@dataclass(slots=True)
class _Owned:
    """One upstream in this failure domain; used while this instance holds its lease."""

    spec: UpstreamSpec
    admission: UpstreamAdmission
    admittance: Admittance
    report: UpstreamReport | None = None
    reported_ms: float = float("-inf")
    refused_ms: float = float("-inf")
    next_report_ms: float = float("-inf")
    reporting: asyncio.Task[None] | None = None
    must_disconnect: bool = False
    is_out: bool = False


class Owner(Describer):
    """Counts slots in one place: every call to an owned upstream passes through here."""

    def __init__(
        self,
        environment: Environment,
        name: str,
        failure_domain: str,
        transport: UpstreamTransport,
        leases: Leases,
        get_configuration: Callable[[], Configuration],
    ) -> None:
        self._clock = environment.clock
        self._log = environment.make_logger("owner")
        self._name = name
        self._failure_domain = failure_domain
        self._transport = transport
        self._leases = leases
        self._get_configuration = get_configuration
        self._owned: dict[str, _Owned] = {}
        self._calls: dict[str, str] = {}
        self._cancellations: set[asyncio.Task[None]] = set()

    # Configuration and state

    def apply_configuration(self, configuration: Configuration) -> list[str]:
        """Take the upstreams of this failure domain into account; return their names."""
        now_ms = self._clock.now_ms()
        specs = {
            name: spec
            for name, spec in configuration.get_upstreams().items()
            if spec.failure_domain == self._failure_domain
        }
        for name in self._owned.keys() - specs.keys():
            self._refuse_waiting(self._owned.pop(name), "the upstream was removed")
        for name, spec in specs.items():
            owned = self._owned.get(name)
            if owned is None or owned.spec.address != spec.address:
                self._owned[name] = self._make_owned(spec)
                continue
            if owned.spec.slots != spec.slots:
                owned.admittance.apply(owned.admission.set_slots(now_ms, spec.slots))
            owned.spec = spec
            self._note_out(owned, configuration.is_out(spec))
        return list(specs)

    def _note_out(self, owned: _Owned, is_out: bool) -> None:
        """Start slowly at the end of a time out of service, which is idle time for the upstream."""
        is_back, owned.is_out = owned.is_out and not is_out, is_out
        if is_back and owned.admission.in_flight == 0:
            # The latency is kept: without it the slow replies of a cold start look usual.
            learned = owned.admission.export_state()._replace(allowance=1)
            fresh = self._make_owned(owned.spec, learned)
            owned.admission, owned.admittance = fresh.admission, fresh.admittance

    def restart_admission(self, upstream: str) -> None:
        """Start slowly again: another instance may have called the upstream in the meantime."""
        owned = self._owned.get(upstream)
        if owned is None:
            return
        owned.next_report_ms = float("-inf")
        self._refuse_waiting(owned, "the owner of the upstream changed")
        if owned.admission.in_flight == 0:
            fresh = self._make_owned(owned.spec)
            owned.admission, owned.admittance = fresh.admission, fresh.admittance

    def disconnect(self, upstreams: Iterable[str]) -> None:
        """Close the connections to upstreams whose lease is gone, once their calls have ended.

        The next owner opens its own, and the sum must stay below the upstream's cap.
        """
        for name in upstreams:
            owned = self._owned.get(name)
            if owned is not None:
                owned.must_disconnect = True

    def describe(self, upstreams: Iterable[str]) -> list[UpstreamIndex]:
        """Return what is known of `upstreams`; `owner` is this instance only if it holds it."""
        now_ms = self._clock.now_ms()
        return [self._describe(name, now_ms) for name in upstreams]

    def count_in_flight(self) -> int:
        """Return the number of calls that wait or run here."""
        return len(self._calls)

    def list_owned(self) -> list[str]:
        """Return the upstreams whose lease this instance holds."""
        now_ms = self._clock.now_ms()
        return [name for name in self._owned if self._leases.can_dispatch(name, now_ms)]

    async def run(self) -> None:
        """Fetch the reports of owned upstreams until cancelled."""
        while True:
            now_ms = self._clock.now_ms()
            for name, owned in list(self._owned.items()):
                if now_ms < owned.next_report_ms or owned.reporting is not None:
                    continue
                # An upstream without a lease waits as long, or each pass would test the leases of
                # the whole domain; `restart_admission` ends the wait when a lease comes.
                owned.next_report_ms = now_ms + REPORT_INTERVAL_MS
                if self._leases.can_dispatch(name, now_ms):
                    owned.reporting = asyncio.create_task(self._fetch_report(owned))
            await asyncio.sleep(0.05)

    # Calls

    async def execute(self, call: SubRequest) -> SubReply:
        """Run one sub-request; a refusal that is not run says so in its error."""

        async def perform(owned: _Owned, left_ms: int) -> SubReply:
            timed = call._replace(deadline_ms=left_ms)
            return await self._transport.search(
                owned.spec.address, owned.spec.max_connections, timed
            )

        result = await self._run_call(call, perform, _judge_search)
        if isinstance(result, Failure):
            return SubReply(call.call_id, call.upstream, result.kind, result.message, b"")
        return result

    async def order(self, call: OrderCall) -> OrderReply | Failure:
        """Run an order once; a failure's kind says truly whether it may have run."""

        async def perform(owned: _Owned, left_ms: int) -> OrderReply | Failure:
            timed = call._replace(deadline_ms=left_ms)
            return await self._transport.order(
                owned.spec.address, owned.spec.max_connections, timed
            )

        return await self._run_call(call, perform, _judge_order)

    def cancel(self, call_ids: Iterable[str]) -> None:
        """Refuse queued calls and tell the upstream to drop running ones."""
        for call_id in call_ids:
            owned = self._owned.get(self._calls.get(call_id, ""))
            if owned is None:
                continue
            if owned.admittance.is_waiting(call_id):
                owned.admittance.cancel(call_id)
                continue
            # The slot stays taken until the upstream has answered.
            spec = owned.spec
            task = asyncio.create_task(
                self._transport.cancel(spec.address, spec.max_connections, call_id)
            )
            self._cancellations.add(task)
            task.add_done_callback(self._cancellations.discard)

    async def _run_call(
        self,
        call: SubRequest | OrderCall,
        perform: Callable[[_Owned, int], Awaitable],
        judge: Callable[[object], ErrorKind | None],
    ):
        now_ms = self._clock.now_ms()
        owned = self._owned.get(call.upstream)
        refusal = self._check(owned, call, now_ms)
        if refusal is not None:
            return refusal
        deadline_ms = now_ms + min(call.deadline_ms, MAX_DEADLINE_MS)
        self._calls[call.call_id] = call.upstream
        try:
            refusal = await owned.admittance.enter(call.call_id, call.priority, deadline_ms)
            if refusal is not None:
                return refusal
            return await self._run_admitted(owned, call.call_id, deadline_ms, perform, judge)
        finally:
            del self._calls[call.call_id]

    def _check(
        self, owned: _Owned | None, call: SubRequest | OrderCall, now_ms: float
    ) -> Failure | None:
        if owned is None or not self._leases.can_dispatch(call.upstream, now_ms):
            return Failure(ErrorKind.NOT_OWNER, f"{self._name} does not own {call.upstream}")
        if self._get_configuration().is_out(owned.spec):
            return Failure(ErrorKind.UPSTREAM_UNAVAILABLE, f"{call.upstream} is taken out")
        if owned.report is not None and owned.report.is_leaving:
            return Failure(ErrorKind.UPSTREAM_UNAVAILABLE, f"{call.upstream} is leaving")
        if isinstance(call, SubRequest) and call.is_hedge and not _has_room(owned.admission):
            return Failure(ErrorKind.HEDGE_REFUSED, f"{call.upstream} has no room for a hedge")
        if call.call_id in self._calls:
            return Failure(ErrorKind.BAD_REQUEST, f"call {call.call_id} is running already")
        return None

    async def _run_admitted(
        self,
        owned: _Owned,
        call_id: str,
        deadline_ms: float,
        perform: Callable[[_Owned, int], Awaitable],
        judge: Callable[[object], ErrorKind | None],
    ):
        upstream = owned.spec.name
        admission, admittance = owned.admission, owned.admittance
        result = CallResult.CANCELLED
        is_open = False
        try:
            left_ms = int(deadline_ms - self._clock.now_ms())
            if left_ms <= 0:
                return Failure(ErrorKind.DEADLINE_PAST, "the deadline passed before the call")
            # Tested at the last moment: the process may have been paused since the call was queued.
            if not self._leases.open_call(upstream, self._clock.now_ms()):
                return Failure(ErrorKind.NOT_OWNER, f"{self._name} lost the lease of {upstream}")
            is_open = True
            result = CallResult.NO_REPLY
            outcome = await perform(owned, left_ms)
            result = self._classify(judge(outcome), deadline_ms)
            return outcome
        finally:
            now_ms = self._clock.now_ms()
            if result in (CallResult.REFUSED, CallResult.RESET):
                owned.refused_ms = now_ms
            if is_open:
                self._close_call(upstream, result, deadline_ms - now_ms)
            admittance.apply(admission.finish(now_ms, call_id, result))

    def _classify(self, kind: ErrorKind | None, deadline_ms: float) -> CallResult:
        if kind is None:
            return CallResult.GOOD
        if kind in _RESULTS:
            return _RESULTS[kind]
        is_late = self._clock.now_ms() >= deadline_ms - 1.0
        return CallResult.NO_REPLY if is_late else CallResult.RESET

    def _close_call(self, upstream: str, result: CallResult, left_ms: float) -> None:
        if result not in (CallResult.NO_REPLY, CallResult.RESET):
            self._leases.close_call(upstream)
            return
        delay_ms = max(0.0, left_ms) + LOST_MARGIN_MS
        asyncio.get_running_loop().call_later(delay_ms / 1000, self._leases.close_call, upstream)

    # Decisions of the admission

    def _make_owned(self, spec: UpstreamSpec, learned: LearnedState | None = None) -> _Owned:
        limits = AdmissionLimits(spec.slots, QUEUE_SIZE)
        admission = UpstreamAdmission(limits, self._clock.now_ms(), learned)

        def give_back(key: Hashable) -> None:
            now_ms = self._clock.now_ms()
            admittance.apply(admission.finish(now_ms, key, CallResult.CANCELLED))

        admittance = Admittance(self._clock, admission, give_back)
        return _Owned(spec, admission, admittance)

    def _refuse_waiting(self, owned: _Owned, reason: str) -> None:
        failure = Failure(ErrorKind.NOT_OWNER, reason)
        owned.admittance.apply(owned.admission.refuse_queued(failure))

    # Reports

    async def _fetch_report(self, owned: _Owned) -> None:
        spec = owned.spec
        try:
            report = await self._transport.fetch_report(
                spec.address, spec.max_connections, REPORT_TIMEOUT_MS
            )
        finally:
            owned.reporting = None
        if isinstance(report, Failure):
            return
        if owned.report is not None and owned.report.boot_id != report.boot_id:
            self._log.notice("Upstream {} restarted, starting slowly.", spec.name)
        now_ms = self._clock.now_ms()
        owned.report = report
        owned.reported_ms = now_ms
        owned.admittance.apply(owned.admission.record_boot_id(now_ms, report.boot_id))

    def _describe(self, name: str, now_ms: float) -> UpstreamIndex:
        owned = self._owned.get(name)
        if owned is None or not self._leases.can_dispatch(name, now_ms):
            holder = self._leases.find_holder(name)
            holder = "" if holder == self._name else holder
            return UpstreamIndex(name, holder, UpstreamState.UNKNOWN, 0, ())
        shards = owned.report.shards if owned.report is not None else ()
        state = self._judge_state(owned, now_ms)
        return UpstreamIndex(name, self._name, state, owned.admission.allowance, shards)

    def _judge_state(self, owned: _Owned, now_ms: float) -> UpstreamState:
        if owned.report is None:
            return UpstreamState.UNKNOWN
        if owned.report.is_leaving:
            return UpstreamState.LEAVING
        if now_ms - owned.reported_ms > REPORTS_MISSED * REPORT_INTERVAL_MS:
            return UpstreamState.DOWN
        if owned.admission.state is UpstreamState.DOWN and owned.reported_ms > owned.refused_ms:
            # Only a call can end this state, and without a state that serves none would come.
            return UpstreamState.WARMING
        if owned.admission.is_latency_limited:
            # Most doubts end before the next refresh; a hedge that comes too early is refused here.
            return UpstreamState.READY
        return owned.admission.state


def _has_room(admission: UpstreamAdmission) -> bool:
    return admission.state is UpstreamState.READY and not admission.is_saturated


def _judge_search(outcome: object) -> ErrorKind | None:
    assert isinstance(outcome, SubReply)
    return ErrorKind(outcome.error) if outcome.error else None


def _judge_order(outcome: object) -> ErrorKind | None:
    return outcome.kind if isinstance(outcome, Failure) else None
