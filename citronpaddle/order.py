"""Runs one non-idempotent request: claim, send once, store the outcome."""

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


class OrderSender(ABC):
    """The way to the upstream of a service."""

    @abstractmethod
    async def send(
        self, service: str, idempotency_key: str, body: bytes, deadline_ms: float
    ) -> OrderReply | Failure:
        """Send an order at most once, within `deadline_ms` (time left).

        The run state of a failure's kind is taken at its word: `not_run` only if no byte left, or
        if the owner or upstream states that it did not and will not run the order.
        """


@dataclass(frozen=True, slots=True)
class OrderDone:
    """The order ran; `replayed` says that an earlier request with this key ran it."""

    answer: str
    replayed: bool


class OrderLimits(NamedTuple):
    """Bounds of the order path; times in ms.

    `max_deadline_ms` keeps an order far shorter than its claim. A settlement is the background
    work that releases a claim or stores an outcome; `max_settlements` includes waiting ones.
    """

    store_timeout_ms: float = 1_000.0
    max_deadline_ms: float = 60_000.0
    send_grace_ms: float = 1_000.0
    claim_rounds: int = 4
    retry_ms: float = 1_000.0
    max_settlements: int = 256
    concurrent_settlements: int = 4
    settlement_attempts: int = 6
    settlement_backoff_ms: float = 200.0
    settlement_limit_ms: float = 30_000.0


class ClaimLease:
    """The lease that all claims of an hour share.

    It is renewed from 50 min on. If the grant fails, the old lease serves until its hour is over;
    after that there is no lease and orders are refused.
    """

    def __init__(self, store: KeyValueStore, clock: Clock, limits: OrderLimits) -> None:
        self._store = store
        self._clock = clock
        self._limits = limits
        self._lock = asyncio.Lock()
        self._lease = 0
        self._granted_ms = 0.0
        self._tried_ms = float("-inf")
        self._is_suspect = False

    def suspect(self) -> None:
        """Ask for a new lease next time: a restored store may not know this one."""
        self._is_suspect = True

    async def get(self, timeout_ms: float) -> int | Failure:
        """Return a lease that lasts at least 24 h more, or `store_unavailable`."""
        # While one order waits for the grant, the others go on with the old lease; without one
        # they wait as well.
        is_due = self._lock.locked() or self._needs_grant()
        if is_due and not (self._lock.locked() and self._is_usable()):
            async with self._lock:
                if self._needs_grant():
                    await self._grant(timeout_ms)
        if self._is_usable():
            return self._lease
        return Failure(ErrorKind.STORE_UNAVAILABLE, "the store granted no lease for the claim")

    def _needs_grant(self) -> bool:
        if self._lease and not self._is_suspect and self._compute_age_ms() < LEASE_RENEW_MS:
            return False
        return self._clock.now_ms() - self._tried_ms >= self._limits.retry_ms

    def _is_usable(self) -> bool:
        return self._lease != 0 and self._compute_age_ms() < LEASE_SHARED_MS

    def _compute_age_ms(self) -> float:
        return self._clock.now_ms() - self._granted_ms

    async def _grant(self, timeout_ms: float) -> None:
        sent_ms = self._tried_ms = self._clock.now_ms()
        lease = await self._store.grant_lease(LEASE_TTL_S, timeout_ms)
        if isinstance(lease, Failure):
            return
        self._lease = lease
        self._granted_ms = sent_ms
        self._is_suspect = False


class _Order(NamedTuple):
    """One request; `deadline_ms` is a time of the monotonic clock."""

    service: str
    idempotency_key: str
    body: bytes
    deadline_ms: float
    claim_key: str
    claim: ClaimRecord


class _Place(NamedTuple):
    """What a write of a claim compares (`mod_revision`, guard state's confirmation), its lease."""

    mod_revision: int
    guard_state: GuardState
    lease: int


@dataclass(frozen=True, slots=True)
class _Claimed:
    """Our claim: where it stands in the store and when the call that proved it was sent."""

    place: _Place
    verified_ms: float


class OrderRunner:
    """Runs the orders of one instance.

    `instance` and `incarnation` go into claim ids: with an equal random seed, two runs of an
    instance would otherwise take each other's claims for their own.
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
        self._settle_slots = asyncio.Semaphore(self._limits.concurrent_settlements)
        self._orders: set[asyncio.Task] = set()
        self._settlements: set[asyncio.Task] = set()
        self._is_closing = False

    async def perform(
        self, service: str, idempotency_key: str, body: bytes, deadline_ms: float
    ) -> OrderDone | Failure:
        """Run an order within `deadline_ms` (time left) and return its answer or a failure.

        The run state of a failure is that of this request; an earlier one with the same key may
        have run. The order goes on if the caller's task is cancelled, so that its outcome is kept.
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
        """Read the confirmation, the witness and the store's revision; an outage changes nothing.

        To be called about once a second on a few instances, so that a restore is seen before other
        writes hide it; the rest learn it from them.
        """
        guard_state = self._capture_guard_state()
        read = await self._store.read(guard_state.keys, self._limits.store_timeout_ms)
        if not isinstance(read, Failure):
            self.guard.observe_read(guard_state, read)

    async def close(self, timeout_ms: float) -> int:
        """Refuse new orders, wait for those in flight and for settlements; return how many did
        not end within `timeout_ms` and were cut off."""
        self._is_closing = True
        end_ms = self._clock.now_ms() + timeout_ms
        # An order that ends may start a settlement, so look again until nothing is left.
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
            return Failure(ErrorKind.DEADLINE_PAST, "the order came without time left")
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

    async def _refresh_if_refused(self) -> None:
        async with self._refresh_lock:
            refusal = self.guard.check()
            if refusal is None or refusal.kind is ErrorKind.NOT_READY:
                return
            if self._clock.now_ms() - self._refreshed_ms >= self._limits.retry_ms:
                self._refreshed_ms = self._clock.now_ms()
                await self.refresh()

    def _compute_timeout_ms(self, order: _Order) -> float:
        left_ms = order.deadline_ms - self._clock.now_ms()
        return max(0.0, min(self._limits.store_timeout_ms, left_ms))

    async def _claim(self, order: _Order, lease: int) -> _Claimed | Replay | Failure:
        guard_state, mod_revision = self._capture_guard_state(), 0
        for _ in range(self._limits.claim_rounds):
            sent_ms = self._clock.now_ms()
            if sent_ms >= order.deadline_ms:
                return Failure(ErrorKind.DEADLINE_PAST, "the deadline passed before the claim")
            place = _Place(mod_revision, guard_state, lease)
            timeout_ms = self._compute_timeout_ms(order)
            outcome = await self._write(order, place, order.claim, timeout_ms)
            if isinstance(outcome, Failure):
                return await self._resolve_failed_claim(order, outcome, place)
            if outcome.succeeded:
                return _Claimed(_Place(outcome.store_revision, guard_state, lease), sent_ms)
            sent_ms = self._clock.now_ms()
            guard_state, standing = await self._read_standing(order)
            if isinstance(standing, OwnClaim):
                return _Claimed(_Place(standing.mod_revision, guard_state, lease), sent_ms)
            refusal = self.guard.check()
            if refusal or not isinstance(standing, Unclaimed):
                return refusal or standing
            mod_revision = standing.mod_revision
        return Failure(ErrorKind.STORE_UNAVAILABLE, "other claims of this key kept changing it")

    async def _resolve_failed_claim(
        self, order: _Order, failure: Failure, place: _Place
    ) -> _Claimed | Replay | Failure:
        if failure.kind is ErrorKind.STORE_UNAVAILABLE:
            self._lease.suspect()
            return failure
        sent_ms = self._clock.now_ms()
        guard_state, standing = await self._read_standing(order)
        standing = classify_unconfirmed_write(standing)
        if isinstance(standing, OwnClaim):
            # Judged like the reply that was lost: by the floor before the write.
            written = TransactionOutcome(True, standing.mod_revision)
            self.guard.observe_write(guard_state._replace(floor=place.guard_state.floor), written)
            return _Claimed(_Place(standing.mod_revision, guard_state, place.lease), sent_ms)
        if isinstance(standing, Failure) and standing.kind is ErrorKind.STORE_UNAVAILABLE:
            self._settle_later(order, release_claim(order.claim), place)
        return standing

    async def _read_standing(self, order: _Order) -> tuple[GuardState, ClaimLookup]:
        guard_state = self._capture_guard_state()
        keys = {order.claim_key, *guard_state.keys}
        read = await self._store.read(sorted(keys), self._compute_timeout_ms(order))
        if isinstance(read, Failure):
            failure = Failure(ErrorKind.STORE_UNAVAILABLE, f"claim not readable: {read.message}")
            return guard_state, failure
        guard_state = self.guard.observe_read(guard_state, read)
        return guard_state, classify_entry(find_entry(read, order.claim_key), order.claim)

    async def _write(
        self, order: _Order, place: _Place, record: ClaimRecord, timeout_ms: float
    ) -> TransactionOutcome | Failure:
        guard_state = place.guard_state._replace(floor=self.guard.floor)
        change = make_transaction(
            guard_state, order.claim_key, place.mod_revision, record, place.lease
        )
        outcome = await self._store.transact(change.compares, change.puts, timeout_ms)
        if not isinstance(outcome, Failure):
            self.guard.observe_write(guard_state, outcome)
            if outcome.succeeded and record.state is ClaimState.DONE:
                self._record_final(order, place._replace(mod_revision=outcome.store_revision))
        return outcome

    def _capture_guard_state(self) -> GuardState:
        return self.guard.capture_state(self._clock.wall_ms())

    def _record_final(self, order: _Order, place: _Place) -> None:
        wall_ms = order.claim.wall_ms
        self.guard.record_final(place.guard_state, order.claim_key, place.mod_revision, wall_ms)

    async def _send(self, order: _Order, claimed: _Claimed) -> OrderReply | Failure:
        now_ms = self._clock.now_ms()
        refusal = self.guard.check(claimed.place.guard_state)
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
            return Failure(ErrorKind.OUTCOME_UNKNOWN, f"no outcome of the send: {error!r}")

    async def _store_outcome(
        self, order: _Order, claimed: _Claimed, target: ClaimRecord | None
    ) -> None:
        if target is None:
            self._record_final(order, claimed.place)
            return
        # The caller waits for one attempt, no longer than its deadline; the rest is background.
        timeout_ms = self._compute_timeout_ms(order)
        if timeout_ms > 0:
            outcome = await self._write(order, claimed.place, target, timeout_ms)
            if isinstance(outcome, TransactionOutcome) and outcome.succeeded:
                return
        self._settle_later(order, target, claimed.place)

    def _settle_later(self, order: _Order, target: ClaimRecord, place: _Place) -> None:
        if len(self._settlements) >= self._limits.max_settlements:
            self.unsettled_count += 1
            return
        task = asyncio.create_task(self._settle(order, target, place))
        self._settlements.add(task)
        task.add_done_callback(self._settlements.discard)

    async def _settle(self, order: _Order, target: ClaimRecord, place: _Place) -> None:
        end_ms = self._clock.now_ms() + self._limits.settlement_limit_ms
        async with self._settle_slots:
            for attempt in range(self._limits.settlement_attempts):
                if self._clock.now_ms() >= end_ms:
                    break
                if await self._settle_once(order, target, place):
                    return
                backoff_ms = self._limits.settlement_backoff_ms * 2**attempt
                await asyncio.sleep(backoff_ms * self._random.uniform(0.5, 1.0) / 1000)
        self.unsettled_count += 1

    async def _settle_once(self, order: _Order, target: ClaimRecord, place: _Place) -> bool:
        guard_state = self._capture_guard_state()
        keys = {order.claim_key, *guard_state.keys}
        read = await self._store.read(sorted(keys), self._limits.store_timeout_ms)
        if isinstance(read, Failure):
            return False
        guard_state = self.guard.observe_read(guard_state, read)
        entry = find_entry(read, order.claim_key)
        if is_claim_lost(entry, target):
            self.guard.record_claim_loss(place.guard_state, place.mod_revision)
        mod_revision = decide_settlement(entry, target)
        if mod_revision is None:
            return True
        place = _Place(mod_revision, guard_state, place.lease)
        outcome = await self._write(order, place, target, self._limits.store_timeout_ms)
        return isinstance(outcome, TransactionOutcome) and outcome.succeeded
