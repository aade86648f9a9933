"""Runs orders, which are non-idempotent requests: claim, send at most once, store the outcome."""

import asyncio
from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import NamedTuple

from .clock import Clock
from .errors import ErrorKind, Failure
from .policy.orders import (
    LEASE_RENEW_MS,
    LEASE_SHARED_MS,
    LEASE_TTL_S,
    ClaimLookup,
    ClaimRecord,
    ClaimState,
    GuardState,
    OwnClaim,
    Replay,
    RevisionGuard,
    Unclaimed,
    check_key,
    check_send,
    classify_entry,
    classify_unconfirmed_write,
    compute_digest,
    decide_settlement,
    find_entry,
    is_claim_lost,
    make_claim_key,
    make_outcome_record,
    make_transaction,
    release_claim,
)
from .ports import KeyValueStore, OrderReply, TransactionOutcome
from .randomness import RandomSource

# The backoff of a settlement is multiplied by a random factor in this range.
MIN_BACKOFF_FACTOR = 0.5
MAX_BACKOFF_FACTOR = 1.0
READINESS_CHECK_INTERVAL_S = 0.02


class OrderSender(ABC):
    """Sends orders to an upstream of a service."""

    @abstractmethod
    async def send(
        self, service: str, idempotency_key: str, body: bytes, deadline_ms: float
    ) -> OrderReply | Failure:
        """Send an order at most once, within `deadline_ms` (time left).

        The caller relies on the run state of a failure's kind: `not_run` is permitted only if no
        byte was sent, or if the owner or upstream states that it did not and will not run the
        order.
        """


@dataclass(frozen=True, slots=True)
class OrderDone:
    """The answer of an order that ran; `replayed` if an earlier request with this key ran it."""

    answer: str
    replayed: bool


class OrderLimits(NamedTuple):
    """Limits for running orders; times in ms.

    `max_deadline_ms` keeps an order far shorter than the lifetime of its claim. A settlement is the
    background work that releases a claim or stores an outcome; `max_settlements` includes waiting
    ones.
    """

    store_timeout_ms: float = 1_000.0
    max_deadline_ms: float = 60_000.0
    # Peers report the store's revision with every heartbeat.
    readiness_wait_ms: float = 2_000.0
    send_grace_ms: float = 1_000.0
    max_claim_attempts: int = 4
    retry_interval_ms: float = 1_000.0
    max_settlements: int = 256
    concurrent_settlements: int = 4
    settlement_attempts: int = 6
    settlement_backoff_ms: float = 200.0
    settlement_timeout_ms: float = 30_000.0


class ClaimLease:
    """The store lease that all claims of an hour share.

    A new lease is requested after 50 min. If the grant fails, the old lease is used until its hour
    is over; after that there is no lease and orders are refused.
    """

    def __init__(self, store: KeyValueStore, clock: Clock, limits: OrderLimits) -> None:
        self._store = store
        self._clock = clock
        self._limits = limits
        self._lock = asyncio.Lock()
        self._lease = 0
        self._granted_ms = 0.0
        self._last_attempt_ms = float("-inf")
        self._is_suspect = False

    def mark_suspect(self) -> None:
        """Request a new lease at the next use, because a restored store may not have this one."""
        self._is_suspect = True

    async def get(self, timeout_ms: float) -> int | Failure:
        """Return the id of a lease that lasts at least 24 h more, or `store_unavailable`."""
        # While one order waits for the grant, other orders use the old lease; if there is none,
        # they wait too.
        is_due = self._lock.locked() or self._needs_grant()
        if is_due and not (self._lock.locked() and self._is_usable()):
            async with self._lock:
                if self._needs_grant():
                    await self._grant(timeout_ms)
        if self._is_usable():
            return self._lease
        return Failure(ErrorKind.STORE_UNAVAILABLE, "the store did not grant a lease for the claim")

    def _needs_grant(self) -> bool:
        if self._lease and not self._is_suspect and self._compute_age_ms() < LEASE_RENEW_MS:
            return False
        return self._clock.now_ms() - self._last_attempt_ms >= self._limits.retry_interval_ms

    def _is_usable(self) -> bool:
        return self._lease != 0 and self._compute_age_ms() < LEASE_SHARED_MS

    def _compute_age_ms(self) -> float:
        return self._clock.now_ms() - self._granted_ms

    async def _grant(self, timeout_ms: float) -> None:
        sent_ms = self._last_attempt_ms = self._clock.now_ms()
        lease = await self._store.grant_lease(LEASE_TTL_S, timeout_ms)
        if isinstance(lease, Failure):
            return
        self._lease = lease
        self._granted_ms = sent_ms
        self._is_suspect = False


class _Order(NamedTuple):
    """One order request; `deadline_ms` is a time of the monotonic clock."""

    service: str
    idempotency_key: str
    body: bytes
    deadline_ms: float
    claim_key: str
    claim: ClaimRecord


class _WriteContext(NamedTuple):
    """The lease of a claim write, and what it compares: `mod_revision` and the guard state."""

    mod_revision: int
    guard_state: GuardState
    lease: int


@dataclass(frozen=True, slots=True)
class _Claimed:
    """A claim of this request.

    `verified_ms` is when the store call was sent that showed the claim to be of this request.
    """

    context: _WriteContext
    verified_ms: float


class OrderRunner:
    """Runs the orders of one instance.

    Claim ids contain `instance` and `incarnation`; otherwise two runs of an instance with the same
    random seed would create equal ids and treat each other's claims as their own.
    """

    def __init__(
        self,
        store: KeyValueStore,
        sender: OrderSender,
        clock: Clock,
        random: RandomSource,
        instance: str,
        incarnation: int,
        limits: OrderLimits | None = None,
    ) -> None:
        self.guard = RevisionGuard()
        self.unsettled_count = 0
        self._store = store
        self._sender = sender
        self._clock = clock
        self._random = random
        self._instance = instance
        self._incarnation = incarnation
        self._limits = limits or OrderLimits()
        self._lease = ClaimLease(store, clock, self._limits)
        self._refresh_lock = asyncio.Lock()
        self._refreshed_ms = float("-inf")
        self._settlement_semaphore = asyncio.Semaphore(self._limits.concurrent_settlements)
        self._orders: set[asyncio.Task] = set()
        self._settlements: set[asyncio.Task] = set()
        self._is_closing = False

    async def perform(
        self, service: str, idempotency_key: str, body: bytes, deadline_ms: float
    ) -> OrderDone | Failure:
        """Run an order within `deadline_ms` (time left) and return its answer or a failure.

        The run state of a failure refers to this request; an earlier one with the same key may
        have run. The order continues if the caller's task is cancelled, so that its outcome is
        stored.
        """
        refusal = self._check_request(idempotency_key, deadline_ms)
        if refusal:
            return refusal
        order = self._make_order(service, idempotency_key, body, deadline_ms)
        task = asyncio.create_task(self._run(order))
        self._orders.add(task)
        task.add_done_callback(self._orders.discard)
        return await asyncio.shield(task)

    async def refresh(self) -> None:
        """Read the confirmation, the witness and the store's revision; ignore a failed read.

        Call this about once a second on a few instances, so that a restore is detected before
        later writes hide it. The other instances receive the result from them.
        """
        guard_state = self._capture_guard_state()
        read = await self._store.read(guard_state.keys, self._limits.store_timeout_ms)
        if not isinstance(read, Failure):
            self.guard.observe_read(guard_state, read)

    async def close(self, timeout_ms: float) -> int:
        """Refuse new orders, and wait for those in flight and for settlements.

        Return how many did not end within `timeout_ms` and were cancelled.
        """
        self._is_closing = True
        end_ms = self._clock.now_ms() + timeout_ms
        # An order that ends may start a settlement, so repeat until no task is pending.
        while pending := self._orders | self._settlements:
            left_ms = end_ms - self._clock.now_ms()
            if left_ms <= 0:
                break
            await asyncio.wait(pending, timeout=left_ms / 1000)
        for task in pending:
            task.cancel()
        await asyncio.gather(*pending, return_exceptions=True)
        return len(pending)

    def _check_request(self, idempotency_key: str, deadline_ms: float) -> Failure | None:
        if self._is_closing:
            return Failure(ErrorKind.LEAVING, "this instance is stopping; use another one")
        if deadline_ms <= 0:
            return Failure(
                ErrorKind.DEADLINE_PAST, "the deadline had passed when the order arrived"
            )
        return check_key(idempotency_key)

    def _make_order(
        self, service: str, idempotency_key: str, body: bytes, deadline_ms: float
    ) -> _Order:
        claim = ClaimRecord(
            state=ClaimState.STARTED,
            digest=compute_digest(body),
            claim_id=f"{self._instance}-{self._incarnation}-{self._random.getrandbits(64):016x}",
            instance=self._instance,
            wall_ms=self._clock.wall_ms(),
        )
        end_ms = self._clock.now_ms() + min(deadline_ms, self._limits.max_deadline_ms)
        claim_key = make_claim_key(service, idempotency_key)
        return _Order(service, idempotency_key, body, end_ms, claim_key, claim)

    async def _run(self, order: _Order) -> OrderDone | Failure:
        await self._wait_for_readiness(order)
        await self._refresh_if_refused()
        refusal = self.guard.check()
        if refusal:
            return refusal
        lease = await self._lease.get(self._compute_timeout_ms(order))
        if isinstance(lease, Failure):
            return lease
        claimed = await self._claim(order, lease)
        if isinstance(claimed, Failure):
            return claimed
        if isinstance(claimed, Replay):
            return OrderDone(claimed.answer, replayed=True)
        reply = await self._send(order, claimed)
        await self._store_outcome(order, claimed, make_outcome_record(order.claim, reply))
        return reply if isinstance(reply, Failure) else OrderDone(reply.body, replayed=False)

    async def _wait_for_readiness(self, order: _Order) -> None:
        """Wait, within limits, until a peer has reported the store's revision to the guard.

        An instance is listed for callers as soon as it answers queries. Orders that reach it before
        that report are delayed instead of refused.
        """
        end_ms = min(order.deadline_ms, self._clock.now_ms() + self._limits.readiness_wait_ms)
        while not self.guard.is_ready:
            if self._clock.now_ms() >= end_ms:
                return
            await asyncio.sleep(READINESS_CHECK_INTERVAL_S)

    async def _refresh_if_refused(self) -> None:
        async with self._refresh_lock:
            refusal = self.guard.check()
            if refusal is None or refusal.kind is ErrorKind.NOT_READY:
                return
            if self._clock.now_ms() - self._refreshed_ms >= self._limits.retry_interval_ms:
                self._refreshed_ms = self._clock.now_ms()
                await self.refresh()

    def _compute_timeout_ms(self, order: _Order) -> float:
        left_ms = order.deadline_ms - self._clock.now_ms()
        return max(0.0, min(self._limits.store_timeout_ms, left_ms))

    async def _claim(self, order: _Order, lease: int) -> _Claimed | Replay | Failure:
        guard_state, mod_revision = self._capture_guard_state(), 0
        for _ in range(self._limits.max_claim_attempts):
            sent_ms = self._clock.now_ms()
            if sent_ms >= order.deadline_ms:
                return Failure(ErrorKind.DEADLINE_PAST, "the deadline passed before the claim")
            context = _WriteContext(mod_revision, guard_state, lease)
            timeout_ms = self._compute_timeout_ms(order)
            outcome = await self._write(order, context, order.claim, timeout_ms)
            if isinstance(outcome, Failure):
                return await self._resolve_failed_claim(order, outcome, context)
            if outcome.succeeded:
                return _Claimed(_WriteContext(outcome.store_revision, guard_state, lease), sent_ms)
            sent_ms = self._clock.now_ms()
            guard_state, lookup = await self._look_up_claim(order)
            if isinstance(lookup, OwnClaim):
                return _Claimed(_WriteContext(lookup.mod_revision, guard_state, lease), sent_ms)
            refusal = self.guard.check()
            if refusal or not isinstance(lookup, Unclaimed):
                return refusal or lookup
            mod_revision = lookup.mod_revision
        return Failure(
            ErrorKind.STORE_UNAVAILABLE, "concurrent requests kept changing the claim of this key"
        )

    async def _resolve_failed_claim(
        self, order: _Order, failure: Failure, context: _WriteContext
    ) -> _Claimed | Replay | Failure:
        if failure.kind is ErrorKind.STORE_UNAVAILABLE:
            self._lease.mark_suspect()
            return failure
        sent_ms = self._clock.now_ms()
        guard_state, lookup = await self._look_up_claim(order)
        lookup = classify_unconfirmed_write(lookup)
        if isinstance(lookup, OwnClaim):
            # Evaluated as the lost reply would have been: with the floor before the write.
            written = TransactionOutcome(True, lookup.mod_revision)
            self.guard.observe_write(guard_state._replace(floor=context.guard_state.floor), written)
            return _Claimed(_WriteContext(lookup.mod_revision, guard_state, context.lease), sent_ms)
        if isinstance(lookup, Failure) and lookup.kind is ErrorKind.STORE_UNAVAILABLE:
            self._settle_later(order, release_claim(order.claim), context)
        return lookup

    async def _look_up_claim(self, order: _Order) -> tuple[GuardState, ClaimLookup]:
        guard_state = self._capture_guard_state()
        keys = {order.claim_key, *guard_state.keys}
        read = await self._store.read(sorted(keys), self._compute_timeout_ms(order))
        if isinstance(read, Failure):
            failure = Failure(ErrorKind.STORE_UNAVAILABLE, f"cannot read the claim: {read.message}")
            return guard_state, failure
        guard_state = self.guard.observe_read(guard_state, read)
        return guard_state, classify_entry(find_entry(read, order.claim_key), order.claim)

    async def _write(
        self, order: _Order, context: _WriteContext, record: ClaimRecord, timeout_ms: float
    ) -> TransactionOutcome | Failure:
        guard_state = context.guard_state._replace(floor=self.guard.floor)
        change = make_transaction(
            guard_state, order.claim_key, context.mod_revision, record, context.lease
        )
        outcome = await self._store.transact(change.compares, change.puts, timeout_ms)
        if not isinstance(outcome, Failure):
            self.guard.observe_write(guard_state, outcome)
            if outcome.succeeded and record.state is ClaimState.DONE:
                self._record_final(order, context._replace(mod_revision=outcome.store_revision))
        return outcome

    def _capture_guard_state(self) -> GuardState:
        return self.guard.capture_state(self._clock.wall_ms())

    def _record_final(self, order: _Order, context: _WriteContext) -> None:
        wall_ms = order.claim.wall_ms
        self.guard.record_final(context.guard_state, order.claim_key, context.mod_revision, wall_ms)

    async def _send(self, order: _Order, claimed: _Claimed) -> OrderReply | Failure:
        now_ms = self._clock.now_ms()
        refusal = self.guard.check(claimed.context.guard_state)
        refusal = refusal or check_send(now_ms, claimed.verified_ms, order.deadline_ms)
        if refusal:
            return refusal
        left_ms = order.deadline_ms - now_ms
        try:
            async with asyncio.timeout((left_ms + self._limits.send_grace_ms) / 1000):
                return await self._sender.send(
                    order.service, order.idempotency_key, order.body, left_ms
                )
        except Exception as error:
            return Failure(
                ErrorKind.OUTCOME_UNKNOWN, f"sending the order ended without an outcome: {error!r}"
            )

    async def _store_outcome(
        self, order: _Order, claimed: _Claimed, target: ClaimRecord | None
    ) -> None:
        if target is None:
            self._record_final(order, claimed.context)
            return
        # The caller waits for one attempt, at most until its deadline; further attempts run in the
        # background.
        timeout_ms = self._compute_timeout_ms(order)
        if timeout_ms > 0:
            outcome = await self._write(order, claimed.context, target, timeout_ms)
            if isinstance(outcome, TransactionOutcome) and outcome.succeeded:
                return
        self._settle_later(order, target, claimed.context)

    def _settle_later(self, order: _Order, target: ClaimRecord, context: _WriteContext) -> None:
        if len(self._settlements) >= self._limits.max_settlements:
            self.unsettled_count += 1
            return
        task = asyncio.create_task(self._settle(order, target, context))
        self._settlements.add(task)
        task.add_done_callback(self._settlements.discard)

    async def _settle(self, order: _Order, target: ClaimRecord, context: _WriteContext) -> None:
        end_ms = self._clock.now_ms() + self._limits.settlement_timeout_ms
        async with self._settlement_semaphore:
            for attempt in range(self._limits.settlement_attempts):
                if self._clock.now_ms() >= end_ms:
                    break
                if await self._settle_once(order, target, context):
                    return
                backoff_ms = self._limits.settlement_backoff_ms * 2**attempt
                await asyncio.sleep(
                    backoff_ms * self._random.uniform(MIN_BACKOFF_FACTOR, MAX_BACKOFF_FACTOR) / 1000
                )
        self.unsettled_count += 1

    async def _settle_once(
        self, order: _Order, target: ClaimRecord, context: _WriteContext
    ) -> bool:
        guard_state = self._capture_guard_state()
        keys = {order.claim_key, *guard_state.keys}
        read = await self._store.read(sorted(keys), self._limits.store_timeout_ms)
        if isinstance(read, Failure):
            return False
        guard_state = self.guard.observe_read(guard_state, read)
        entry = find_entry(read, order.claim_key)
        if is_claim_lost(entry, target):
            self.guard.record_claim_loss(context.guard_state, context.mod_revision)
        mod_revision = decide_settlement(entry, target)
        if mod_revision is None:
            return True
        context = _WriteContext(mod_revision, guard_state, context.lease)
        outcome = await self._write(order, context, target, self._limits.store_timeout_ms)
        return isinstance(outcome, TransactionOutcome) and outcome.succeeded
