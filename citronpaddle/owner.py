"""Executes sub-requests and orders for the upstreams that this instance owns."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable, Coroutine, Hashable, Iterable
from dataclasses import dataclass

from .async_admission import AsyncAdmission
from .directory import UpstreamDescriber
from .documents import Configuration, UpstreamSpec
from .environment import Environment
from .errors import ErrorKind, Failure
from .models import SubReply, SubRequest, UpstreamIndex, UpstreamState
from .policy.admission import AdmissionLimits, CallResult, LearnedState, UpstreamAdmission
from .ports import OrderCall, OrderReply, UpstreamReport, UpstreamTransport

REPORT_INTERVAL_MS = 1_000
REPORT_CHECK_INTERVAL_S = 0.05
REPORT_TIMEOUT_MS = 500
# After this many intervals without a report the upstream counts as down.
MAX_MISSED_REPORTS = 4
# A call without a reply may still run at the upstream this long after its deadline here.
UNANSWERED_CALL_MARGIN_MS = 100.0
# A call without a reply that ends this close to its deadline counts as timed out, not as reset.
DEADLINE_TOLERANCE_MS = 1.0
MAX_DEADLINE_MS = 2_000
QUEUE_SIZE = 64

_RESULT_BY_ERROR = {
    ErrorKind.OVERLOADED: CallResult.SHED,
    ErrorKind.UPSTREAM_UNAVAILABLE: CallResult.REFUSED,
    ErrorKind.CANCELLED: CallResult.CANCELLED,
    ErrorKind.UPSTREAM_ERROR: CallResult.FAILED,
}


class Leases(ABC):
    """The leases that permit calls to upstreams, as far as `Owner` needs them."""

    @abstractmethod
    def can_dispatch(self, upstream: str, now_ms: float) -> bool:
        """Return whether this instance holds the upstream's lease."""

    @abstractmethod
    def open_call(self, upstream: str, now_ms: float) -> bool:
        """Count a call as started and return True; return False if the lease does not permit it."""

    @abstractmethod
    def close_call(self, upstream: str) -> None:
        """Count a call as ended at the upstream."""

    @abstractmethod
    def find_holder(self, upstream: str) -> str:
        """Return the last known holder of the lease, or an empty string."""


@dataclass(slots=True)
class _OwnedUpstream:
    """One upstream of this failure domain; in use while this instance holds its lease."""

    spec: UpstreamSpec
    admission: UpstreamAdmission
    async_admission: AsyncAdmission
    report: UpstreamReport | None = None
    reported_ms: float = float("-inf")
    refused_ms: float = float("-inf")
    next_report_ms: float = float("-inf")
    report_task: asyncio.Task[None] | None = None
    must_disconnect: bool = False
    is_out_of_service: bool = False


class Owner(UpstreamDescriber):
    """Runs every call to the owned upstreams, so that their slots are counted in one place."""

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
        self._owned: dict[str, _OwnedUpstream] = {}
        self._calls: dict[str, str] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    # Configuration and state

    def apply_configuration(self, configuration: Configuration) -> list[str]:
        """Update the upstreams of this failure domain to the configuration; return their names."""
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
                self._owned[name] = self._make_owned_upstream(spec)
                continue
            if owned.spec.slots != spec.slots:
                owned.async_admission.apply(owned.admission.set_slots(now_ms, spec.slots))
            owned.spec = spec
            self._update_out_of_service(owned, configuration.is_out(spec))
        return list(specs)

    def _update_out_of_service(self, owned: _OwnedUpstream, is_out: bool) -> None:
        """Set whether the upstream is out of service, and begin a slow start when it returns.

        The upstream was idle while out of service, so it may be cold.
        """
        is_returning, owned.is_out_of_service = owned.is_out_of_service and not is_out, is_out
        if is_returning and owned.admission.in_flight == 0:
            # The learned latency is kept: without it the slow replies of a cold upstream would
            # become the baseline.
            learned_state = owned.admission.export_state()._replace(allowance=1)
            fresh = self._make_owned_upstream(owned.spec, learned_state)
            owned.admission, owned.async_admission = fresh.admission, fresh.async_admission

    def restart_admission(self, upstream: str) -> None:
        """Begin a slow start and refuse waiting calls, because the owner has changed.

        Another instance may have called the upstream in the meantime.
        """
        owned = self._owned.get(upstream)
        if owned is None:
            return
        owned.must_disconnect = False
        owned.next_report_ms = float("-inf")
        self._refuse_waiting(owned, "the owner of the upstream changed")
        if owned.admission.in_flight == 0:
            fresh = self._make_owned_upstream(owned.spec)
            owned.admission, owned.async_admission = fresh.admission, fresh.async_admission

    def disconnect(self, upstreams: Iterable[str]) -> None:
        """Disconnect upstreams whose lease is gone, each once its calls have ended.

        The next owner opens its own connections, and the sum must stay below the upstream's limit.
        """
        for name in upstreams:
            owned = self._owned.get(name)
            if owned is not None:
                owned.must_disconnect = True
                self._disconnect_if_idle(owned)

    def _disconnect_if_idle(self, owned: _OwnedUpstream) -> None:
        """Close the connections of an upstream whose lease is gone, once no call uses them."""
        is_idle = owned.admission.in_flight == 0 and owned.report_task is None
        if owned.must_disconnect and is_idle:
            owned.must_disconnect = False
            self._start_task(self._transport.disconnect(owned.spec.address))

    def _start_task(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def describe(self, upstreams: Iterable[str]) -> list[UpstreamIndex]:
        """Return the state and shards of `upstreams`.

        `owner` is this instance only if it holds the lease; other upstreams have state `UNKNOWN`.
        """
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
                if now_ms < owned.next_report_ms or owned.report_task is not None:
                    continue
                # Upstreams without a lease are skipped for the same interval, otherwise each pass
                # would check the leases of the whole domain; `restart_admission` ends the interval
                # when a lease is gained.
                owned.next_report_ms = now_ms + REPORT_INTERVAL_MS
                if self._leases.can_dispatch(name, now_ms):
                    owned.report_task = asyncio.create_task(self._fetch_report(owned))
            await asyncio.sleep(REPORT_CHECK_INTERVAL_S)

    # Calls

    async def execute(self, call: SubRequest) -> SubReply:
        """Run one sub-request; the error of the reply states whether it was refused or failed."""

        async def perform(owned: _OwnedUpstream, left_ms: int) -> SubReply:
            timed_call = call._replace(deadline_ms=left_ms)
            return await self._transport.search(
                owned.spec.address, owned.spec.max_connections, timed_call
            )

        result = await self._run_call(call, perform, _get_search_error)
        if isinstance(result, Failure):
            return SubReply(call.call_id, call.upstream, result.kind, result.message, b"")
        return result

    async def order(self, call: OrderCall) -> OrderReply | Failure:
        """Run an order at most once; the kind of a failure states whether it may have run."""

        async def perform(owned: _OwnedUpstream, left_ms: int) -> OrderReply | Failure:
            timed_call = call._replace(deadline_ms=left_ms)
            return await self._transport.order(
                owned.spec.address, owned.spec.max_connections, timed_call
            )

        return await self._run_call(call, perform, _get_order_error)

    def cancel(self, call_ids: Iterable[str]) -> None:
        """Cancel queued calls here, and running calls at the upstream."""
        for call_id in call_ids:
            owned = self._owned.get(self._calls.get(call_id, ""))
            if owned is None:
                continue
            if owned.async_admission.is_waiting(call_id):
                owned.async_admission.cancel(call_id)
                continue
            # The slot stays in use until the upstream has replied.
            spec = owned.spec
            self._start_task(self._transport.cancel(spec.address, spec.max_connections, call_id))

    async def _run_call(
        self,
        call: SubRequest | OrderCall,
        perform: Callable[[_OwnedUpstream, int], Awaitable],
        get_error: Callable[[object], ErrorKind | None],
    ):
        now_ms = self._clock.now_ms()
        owned = self._owned.get(call.upstream)
        refusal = self._check_call(owned, call, now_ms)
        if refusal is not None:
            return refusal
        deadline_ms = now_ms + min(call.deadline_ms, MAX_DEADLINE_MS)
        self._calls[call.call_id] = call.upstream
        try:
            refusal = await owned.async_admission.acquire(call.call_id, call.priority, deadline_ms)
            if refusal is not None:
                return refusal
            return await self._run_admitted(owned, call.call_id, deadline_ms, perform, get_error)
        finally:
            del self._calls[call.call_id]

    def _check_call(
        self, owned: _OwnedUpstream | None, call: SubRequest | OrderCall, now_ms: float
    ) -> Failure | None:
        if owned is None or not self._leases.can_dispatch(call.upstream, now_ms):
            return Failure(ErrorKind.NOT_OWNER, f"{self._name} does not own {call.upstream}")
        if self._get_configuration().is_out(owned.spec):
            return Failure(ErrorKind.UPSTREAM_UNAVAILABLE, f"{call.upstream} is out of service")
        if owned.report is not None and owned.report.is_leaving:
            return Failure(ErrorKind.UPSTREAM_UNAVAILABLE, f"{call.upstream} is leaving")
        if isinstance(call, SubRequest) and call.is_hedge and not _has_free_slot(owned.admission):
            return Failure(ErrorKind.HEDGE_REFUSED, f"{call.upstream} has no free slot for a hedge")
        if call.call_id in self._calls:
            return Failure(ErrorKind.BAD_REQUEST, f"call {call.call_id} is already in progress")
        return None

    async def _run_admitted(
        self,
        owned: _OwnedUpstream,
        call_id: str,
        deadline_ms: float,
        perform: Callable[[_OwnedUpstream, int], Awaitable],
        get_error: Callable[[object], ErrorKind | None],
    ):
        upstream = owned.spec.name
        admission, async_admission = owned.admission, owned.async_admission
        result = CallResult.CANCELLED
        is_open = False
        try:
            left_ms = int(deadline_ms - self._clock.now_ms())
            if left_ms <= 0:
                return Failure(
                    ErrorKind.DEADLINE_PAST, "the deadline passed before the call was sent"
                )
            # Checked immediately before sending: the process may have been paused since the call
            # was queued.
            if not self._leases.open_call(upstream, self._clock.now_ms()):
                return Failure(ErrorKind.NOT_OWNER, f"{self._name} lost the lease of {upstream}")
            is_open = True
            result = CallResult.NO_REPLY
            outcome = await perform(owned, left_ms)
            result = self._classify(get_error(outcome), deadline_ms)
            return outcome
        finally:
            now_ms = self._clock.now_ms()
            if result in (CallResult.REFUSED, CallResult.RESET):
                owned.refused_ms = now_ms
            if is_open:
                self._close_call(upstream, result, deadline_ms - now_ms)
            async_admission.apply(admission.finish(now_ms, call_id, result))
            self._disconnect_if_idle(owned)

    def _classify(self, kind: ErrorKind | None, deadline_ms: float) -> CallResult:
        if kind is None:
            return CallResult.GOOD
        if kind in _RESULT_BY_ERROR:
            return _RESULT_BY_ERROR[kind]
        is_late = self._clock.now_ms() >= deadline_ms - DEADLINE_TOLERANCE_MS
        return CallResult.NO_REPLY if is_late else CallResult.RESET

    def _close_call(self, upstream: str, result: CallResult, left_ms: float) -> None:
        if result not in (CallResult.NO_REPLY, CallResult.RESET):
            self._leases.close_call(upstream)
            return
        delay_ms = max(0.0, left_ms) + UNANSWERED_CALL_MARGIN_MS
        asyncio.get_running_loop().call_later(delay_ms / 1000, self._leases.close_call, upstream)

    # Admission

    def _make_owned_upstream(
        self, spec: UpstreamSpec, learned_state: LearnedState | None = None
    ) -> _OwnedUpstream:
        limits = AdmissionLimits(spec.slots, QUEUE_SIZE)
        admission = UpstreamAdmission(limits, self._clock.now_ms(), learned_state)

        def release_slot(key: Hashable) -> None:
            now_ms = self._clock.now_ms()
            async_admission.apply(admission.finish(now_ms, key, CallResult.CANCELLED))

        async_admission = AsyncAdmission(self._clock, admission, release_slot)
        return _OwnedUpstream(spec, admission, async_admission)

    def _refuse_waiting(self, owned: _OwnedUpstream, reason: str) -> None:
        failure = Failure(ErrorKind.NOT_OWNER, reason)
        owned.async_admission.apply(owned.admission.refuse_queued(failure))

    # Reports

    async def _fetch_report(self, owned: _OwnedUpstream) -> None:
        spec = owned.spec
        try:
            report = await self._transport.fetch_report(
                spec.address, spec.max_connections, REPORT_TIMEOUT_MS
            )
        finally:
            owned.report_task = None
            self._disconnect_if_idle(owned)
        if isinstance(report, Failure):
            return
        if owned.report is not None and owned.report.boot_id != report.boot_id:
            self._log.notice("Upstream {} restarted; beginning a slow start.", spec.name)
        now_ms = self._clock.now_ms()
        owned.report = report
        owned.reported_ms = now_ms
        owned.async_admission.apply(owned.admission.record_boot_id(now_ms, report.boot_id))

    def _describe(self, name: str, now_ms: float) -> UpstreamIndex:
        owned = self._owned.get(name)
        if owned is None or not self._leases.can_dispatch(name, now_ms):
            holder = self._leases.find_holder(name)
            holder = "" if holder == self._name else holder
            return UpstreamIndex(name, holder, UpstreamState.UNKNOWN, 0, ())
        shards = owned.report.shards if owned.report is not None else ()
        state = self._compute_state(owned, now_ms)
        return UpstreamIndex(name, self._name, state, owned.admission.allowance, shards)

    def _compute_state(self, owned: _OwnedUpstream, now_ms: float) -> UpstreamState:
        if owned.report is None:
            return UpstreamState.UNKNOWN
        if owned.report.is_leaving:
            return UpstreamState.LEAVING
        if now_ms - owned.reported_ms > MAX_MISSED_REPORTS * REPORT_INTERVAL_MS:
            return UpstreamState.DOWN
        if owned.admission.state is UpstreamState.DOWN and owned.reported_ms > owned.refused_ms:
            # Only a call can end the state `DOWN` of the admission, and an upstream with that state
            # in its index gets no calls.
            return UpstreamState.WARMING
        if owned.admission.is_latency_limited:
            # Most such phases end before the next refresh of the index; a hedge that arrives too
            # early is refused here.
            return UpstreamState.READY
        return owned.admission.state


def _has_free_slot(admission: UpstreamAdmission) -> bool:
    return admission.state is UpstreamState.READY and not admission.is_saturated


def _get_search_error(outcome: object) -> ErrorKind | None:
    assert isinstance(outcome, SubReply)
    return ErrorKind(outcome.error) if outcome.error else None


def _get_order_error(outcome: object) -> ErrorKind | None:
    return outcome.kind if isinstance(outcome, Failure) else None
