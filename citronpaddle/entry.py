"""Handles the requests of callers: queries, orders and address lookups."""

import json
from collections.abc import Awaitable, Callable, Hashable
from typing import Any

from .adapters.callers import AddressList, EntryService, OrderOutcome
from .adapters.metrics import Metrics
from .async_admission import AsyncAdmission
from .distribution import ConfigurationDistributor
from .documents import Configuration
from .environment import Environment
from .errors import ErrorKind, Failure
from .membership_runner import MemberView
from .models import QueryAnswer
from .order import OrderRunner
from .policy.addresses import DrainState, list_addresses
from .policy.overload import EntryAdmission
from .query import QueryRequest, QueryRunner
from .requests import OrderFields, QueryFields
from .settings import Settings


class Entry(EntryService):
    """Runs callers' requests within the instance's concurrency limit.

    `describe` returns the status of the instance.
    """

    def __init__(
        self,
        settings: Settings,
        environment: Environment,
        metrics: Metrics,
        drain_state: DrainState,
        member_view: MemberView,
        distributor: ConfigurationDistributor,
        queries: QueryRunner,
        orders: OrderRunner,
        describe: Callable[[], dict[str, Any]],
    ) -> None:
        self._name = settings.name
        self._keep_ms = settings.timing.keep_ms
        self._max_in_flight = settings.limits.max_in_flight
        self._clock = environment.clock
        self._random = environment.random
        self._metrics = metrics
        self._drain_state = drain_state
        self._member_view = member_view
        self._distributor = distributor
        self._queries = queries
        self._orders = orders
        self._describe = describe
        self._admission = EntryAdmission(self._max_in_flight, settings.limits.queue_length)
        self._async_admission = AsyncAdmission(environment.clock, self._admission, self._release)

    @property
    def load(self) -> float:
        """Return the number of running and waiting requests as a share of the limit, at most 1."""
        return min(1.0, self._admission.load)

    def apply_configuration(self, configuration: Configuration) -> None:
        """Apply the concurrency limit of the preset, or of the settings if the preset has none."""
        preset = configuration.get_preset()
        limit = preset.max_in_flight if preset else None
        self._async_admission.apply(
            self._admission.set_max_in_flight(self._clock.now_ms(), limit or self._max_in_flight)
        )

    def make_request_id(self) -> str:
        return f"{self._name}-{self._random.getrandbits(64):016x}"

    async def query(
        self, request_id: str, service: str, fields: QueryFields
    ) -> QueryAnswer | Failure:
        refusal = self._check_service(service)
        if refusal is not None:
            return refusal
        now_ms = self._clock.now_ms()
        end_ms = now_ms + self._cap_deadline(service, fields.deadline_ms)
        request = QueryRequest(request_id, service, fields.query, fields.limit, now_ms, end_ms)
        result = await self._run_admitted(
            request_id, service, end_ms, lambda: self._queries.run(request)
        )
        self._record_query(service, result, self._clock.now_ms() - now_ms)
        return result

    async def order(
        self, request_id: str, service: str, fields: OrderFields
    ) -> OrderOutcome | Failure:
        refusal = self._check_service(service)
        if refusal is not None:
            return refusal
        body = json.dumps(fields.order, sort_keys=True, separators=(",", ":")).encode()
        end_ms = self._clock.now_ms() + self._cap_deadline(service, fields.deadline_ms)
        result = await self._run_admitted(
            request_id,
            service,
            end_ms,
            lambda: self._orders.perform(
                service, fields.idempotency_key, body, end_ms - self._clock.now_ms()
            ),
        )
        outcome = result.kind.value if isinstance(result, Failure) else "ran"
        self._metrics.orders.labels(outcome).inc()
        if isinstance(result, Failure):
            return result
        return OrderOutcome(result.answer, result.replayed)

    def look_up(self, service: str | None) -> AddressList | Failure:
        configuration = self._get_configuration()
        if service is not None and service not in configuration.services:
            return Failure(ErrorKind.UNKNOWN_SERVICE, f"no service named {service!r}")
        addresses = list_addresses(self._member_view.list_usable(), configuration.head.out_domains)
        return AddressList(addresses, self._keep_ms, configuration.head.revision)

    def describe(self) -> dict[str, Any]:
        return self._describe()

    def get_configuration(self) -> Configuration:
        return self._get_configuration()

    def is_leaving(self) -> bool:
        return self._drain_state.is_leaving

    async def _run_admitted(
        self, request_id: str, service: str, end_ms: float, run: Callable[[], Awaitable]
    ):
        """Run a request once it is admitted; if it is refused, return the failure without a run."""
        spec = self._get_configuration().get_effective_service(service)
        refusal = await self._async_admission.acquire(request_id, spec.priority, end_ms)
        if refusal is not None:
            self._metrics.sheds.labels("entry").inc()
            return refusal
        try:
            return await run()
        finally:
            self._release(request_id)

    def _cap_deadline(self, service: str, deadline_ms: int) -> int:
        spec = self._get_configuration().get_effective_service(service)
        return min(deadline_ms, spec.max_deadline_ms)

    def _release(self, request_id: Hashable) -> None:
        decisions = self._admission.finish(self._clock.now_ms(), request_id)
        self._async_admission.apply(decisions)

    def _record_query(self, service: str, result: QueryAnswer | Failure, took_ms: float) -> None:
        if isinstance(result, Failure):
            self._metrics.observe_query(service, result.kind.value, took_ms)
            return
        outcome = "complete" if result.coverage.is_complete else "partial"
        self._metrics.observe_query(service, outcome, took_ms, result.coverage.share)

    def _check_service(self, service: str) -> Failure | None:
        """Return why requests for `service` are refused at present, or None."""
        if not self._distributor.is_ready:
            return Failure(ErrorKind.NOT_READY, "this instance has no configuration yet")
        if not self._drain_state.accepts_requests(self._clock.now_ms()):
            return Failure(ErrorKind.LEAVING, f"{self._name} accepts no new requests")
        spec = self._get_configuration().get_effective_service(service)
        if spec is None:
            return Failure(ErrorKind.UNKNOWN_SERVICE, f"no service named {service!r}")
        if not spec.enabled:
            return Failure(ErrorKind.SERVICE_DISABLED, f"{service} is disabled")
        return None

    def _get_configuration(self) -> Configuration:
        return self._distributor.configuration
