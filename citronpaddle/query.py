"""Runs a query at the entry instance.

It pins a snapshot of the index, sends sub-requests with retries and hedges, and merges the rows.
"""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import NamedTuple

from .directory import ServiceDirectory, ServiceView
from .documents import Configuration, ServiceSpec
from .environment import Environment
from .errors import ErrorKind, Failure
from .models import QueryAnswer, SubReply, SubRequest
from .policy.fanout import Attempt, CallCounts, Fanout, FanoutDependencies, QueryLimits
from .policy.snapshot import Snapshot, pin_snapshot
from .results import merge_rows

# The first index of a service may be fetched within this share of the deadline.
FIRST_INDEX_DEADLINE_SHARE = 0.5
REFRESH_TIMEOUT_MS = 100.0

# Errors which suggest that the cached view of the service is out of date.
_STALE_VIEW_ERRORS = frozenset(
    {
        ErrorKind.NOT_OWNER,
        ErrorKind.NO_OWNER,
        ErrorKind.VERSION_GONE,
        ErrorKind.UPSTREAM_UNAVAILABLE,
        ErrorKind.OUTCOME_UNKNOWN,
    }
)


class QueryRequest(NamedTuple):
    """A received query; `end_ms` is its deadline on the monotonic clock."""

    request_id: str
    service: str
    query: str
    limit: int
    received_ms: float
    end_ms: float


class Dispatcher(ABC):
    """Sends sub-requests to the instances that own their upstreams."""

    @abstractmethod
    def send(
        self, owner: str, calls: list[SubRequest], deliver: Callable[[SubReply], None]
    ) -> None:
        """Send all `calls` in one frame; `deliver` is called with exactly one reply for each."""

    @abstractmethod
    def cancel(self, owner: str, call_ids: list[str]) -> None:
        """Cancel calls at the owner whose replies are no longer needed."""


class QueryRunner:
    """Runs queries; all rows of an answer come from one index version."""

    def __init__(
        self,
        environment: Environment,
        directory: ServiceDirectory,
        dispatcher: Dispatcher,
        fanout_dependencies: FanoutDependencies,
        get_configuration: Callable[[], Configuration],
        record_calls: Callable[[CallCounts], None],
    ) -> None:
        self._clock = environment.clock
        self._directory = directory
        self._dispatcher = dispatcher
        self._fanout_dependencies = fanout_dependencies
        self._get_configuration = get_configuration
        self._record_calls = record_calls

    async def run(self, request: QueryRequest) -> QueryAnswer | Failure:
        """Return the answer, complete or partial, by the deadline of the request."""
        spec = self._get_configuration().get_effective_service(request.service)
        if spec is None:
            return Failure(ErrorKind.UNKNOWN_SERVICE, f"no service named {request.service!r}")
        left_ms = request.end_ms - self._clock.now_ms()
        if left_ms <= 0:
            return Failure(ErrorKind.DEADLINE_PAST, "the deadline passed before the query started")
        view = await self._directory.get_view(request.service, left_ms * FIRST_INDEX_DEADLINE_SHARE)
        fanout = await self._run_fanout(request, spec, view, view.snapshot)
        newer = await self._find_newer(request, fanout)
        if newer is not None:
            fanout = await self._run_fanout(request, spec, view, newer)
        return self._build_answer(request, fanout)

    async def _find_newer(self, request: QueryRequest, fanout: Fanout) -> Snapshot | None:
        """Return a newer snapshot that covers more than the pinned one still does."""
        if not fanout.version_gone_shards or fanout.measure().is_complete:
            return None
        left_ms = request.end_ms - self._clock.now_ms()
        if left_ms <= REFRESH_TIMEOUT_MS:
            return None
        view = await self._directory.refresh(request.service, REFRESH_TIMEOUT_MS)
        newer = pin_snapshot(view.indexes, after_version=fanout.snapshot.version)
        return newer if newer.share > fanout.measure().share else None

    async def _run_fanout(
        self, request: QueryRequest, spec: ServiceSpec, view: ServiceView, snapshot: Snapshot
    ) -> Fanout:
        replies: asyncio.Queue[SubReply] = asyncio.Queue()
        fanout = Fanout(
            request.request_id,
            request.service,
            request.query,
            make_limits(request, spec),
            snapshot,
            view.replicas,
            self._fanout_dependencies,
        )
        try:
            self._send(fanout.start(self._clock.now_ms()), replies)
            while not fanout.is_finished(now_ms := self._clock.now_ms()):
                reply = await _receive_reply(replies, fanout.next_timer_ms(now_ms) - now_ms)
                if reply is None:
                    self._send(fanout.handle_timer(self._clock.now_ms()), replies)
                # All queued replies are handled before the query is evaluated again, because an
                # evaluation takes time in proportion to the number of sub-requests.
                while reply is not None:
                    self._handle_reply(request, fanout, reply, replies)
                    reply = None if replies.empty() else replies.get_nowait()
                self._cancel(fanout.pop_superseded())
        finally:
            self._cancel(fanout.pop_outstanding(self._clock.now_ms()))
            self._record_calls(fanout.counts)
        return fanout

    def _handle_reply(
        self,
        request: QueryRequest,
        fanout: Fanout,
        reply: SubReply,
        replies: asyncio.Queue[SubReply],
    ) -> None:
        if reply.error in _STALE_VIEW_ERRORS:
            self._directory.request_refresh(request.service)
        self._send(fanout.handle_reply(reply, self._clock.now_ms()), replies)

    def _send(self, attempts: list[Attempt], replies: asyncio.Queue[SubReply]) -> None:
        by_owner: dict[str, list[SubRequest]] = {}
        for attempt in attempts:
            by_owner.setdefault(attempt.owner, []).append(attempt.call)
        for owner, calls in by_owner.items():
            self._dispatcher.send(owner, calls, replies.put_nowait)

    def _cancel(self, attempts: list[Attempt]) -> None:
        by_owner: dict[str, list[str]] = {}
        for attempt in attempts:
            by_owner.setdefault(attempt.owner, []).append(attempt.call.call_id)
        for owner, call_ids in by_owner.items():
            self._dispatcher.cancel(owner, call_ids)

    def _build_answer(self, request: QueryRequest, fanout: Fanout) -> QueryAnswer:
        rows, truncated = merge_rows(fanout.shards, request.limit)
        coverage = fanout.measure()
        return QueryAnswer(
            request.request_id,
            request.service,
            fanout.snapshot.version,
            coverage,
            rows,
            truncated,
            self._clock.now_ms() - request.received_ms,
            self._get_configuration().head.revision,
        )


def make_limits(request: QueryRequest, spec: ServiceSpec) -> QueryLimits:
    """Return the limits of a query according to the service's policy for partial answers."""
    is_tail = spec.partial == "tail"
    return QueryLimits(
        request.end_ms,
        request.received_ms + spec.soft_deadline_ms if is_tail else request.end_ms,
        spec.min_coverage if is_tail else 1.0,
        request.limit,
        spec.priority,
        spec.hedging,
    )


async def _receive_reply(replies: asyncio.Queue[SubReply], timeout_ms: float) -> SubReply | None:
    if not replies.empty():
        return replies.get_nowait()
    try:
        async with asyncio.timeout(max(0.0, timeout_ms) / 1000):
            return await replies.get()
    except TimeoutError:
        return None
