"""The claim state machine of orders, and the detection of claims lost by a store restore.

An order is a non-idempotent request. Before it is sent, a claim for its Idempotency-Key is written
to the store, so that a repeated request does not run again. All decisions here are free of I/O.
"""

import hashlib
from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple
from urllib.parse import quote

from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

from ..errors import ErrorKind, Failure, RunState
from ..models import Witness
from ..ports import Compare, OrderReply, Put, StoreEntry, StoreRead, TransactionOutcome

CLAIM_PREFIX = "/orders/claims/"
CONFIRMED_KEY = "/orders/confirmed"
MAX_KEY_BYTES = 255
# The store limits a value to 1 MB; this is the smaller interpretation (decimal).
MAX_RECORD_BYTES = 1_000_000
MAX_ERROR_CHARS = 1000
# An order is sent only if the store call that verified its claim was sent at most this long ago. A
# longer gap means a paused process or a slow store, and an operator may have confirmed a restore in
# the meantime.
MAX_VERIFICATION_AGE_MS = 2_000.0
# Claims of one hour share a lease. It lasts 24 h longer, so that each claim is kept for 24 h.
LEASE_TTL_S = 25 * 3600
LEASE_SHARED_MS = 3_600_000.0
LEASE_RENEW_MS = 3_000_000.0
# A witness is discarded well before its claim can expire, even if clocks differ by hours.
MAX_WITNESS_AGE_MS = 12 * 3_600_000


class ClaimState(StrEnum):
    """Progress of a claimed order, as recorded in the store.

    `started`: the order may have been sent. `released`: it did not run. `done`: it ran.
    """

    STARTED = "started"
    RELEASED = "released"
    DONE = "done"


class ClaimRecord(BaseModel):
    """The value of a claim key.

    `answer` is the upstream's reply text of a `done` claim; `error` is the reason if there is none.
    `wall_ms` is the Unix time in ms at which the claim was made.
    """

    model_config = ConfigDict(frozen=True, extra="ignore")

    state: ClaimState
    digest: str
    claim_id: str = Field(min_length=1)
    instance: str
    wall_ms: int
    answer: str | None = None
    error: str = ""

    @model_validator(mode="after")
    def _check_answer(self) -> "ClaimRecord":
        has_outcome = self.answer is not None or bool(self.error)
        if has_outcome != (self.state is ClaimState.DONE):
            raise ValueError("a claim has an outcome if and only if it is done")
        return self

    def encode(self) -> bytes:
        """Return the JSON text of the record."""
        return self.model_dump_json(exclude_defaults=True).encode()


def decode_claim(value: bytes) -> ClaimRecord | Failure:
    """Return the record, or `outcome_unknown` if the value is invalid; it is never overwritten."""
    try:
        return ClaimRecord.model_validate_json(value)
    except ValidationError as error:
        return Failure(ErrorKind.OUTCOME_UNKNOWN, f"the stored claim cannot be decoded: {error}")


def check_key(idempotency_key: str) -> Failure | None:
    """Return a failure if the idempotency key is missing or invalid, else None."""
    if not idempotency_key:
        return Failure(ErrorKind.KEY_MISSING, "an order requires an Idempotency-Key")
    if len(idempotency_key.encode("utf-8", "replace")) > MAX_KEY_BYTES:
        message = f"the Idempotency-Key is longer than {MAX_KEY_BYTES} bytes"
        return Failure(ErrorKind.BAD_REQUEST, message)
    if not idempotency_key.isprintable():
        return Failure(ErrorKind.BAD_REQUEST, "the Idempotency-Key contains unprintable characters")
    return None


def make_claim_key(service: str, idempotency_key: str) -> str:
    """Return the store key of a claim; separators in `service` and the key are escaped."""
    return f"{CLAIM_PREFIX}{quote(service, safe='')}/{quote(idempotency_key, safe='')}"


def compute_digest(body: bytes) -> str:
    """Return the SHA-256 hex digest by which a repeated request is checked for the same body."""
    return hashlib.sha256(body).hexdigest()


@dataclass(frozen=True, slots=True)
class Unclaimed:
    """The key has no effective claim; a claim may be written if it is still at `mod_revision`."""

    mod_revision: int


@dataclass(frozen=True, slots=True)
class OwnClaim:
    """The request's own claim is `started`; the order may be sent if `check_send` permits it."""

    mod_revision: int


@dataclass(frozen=True, slots=True)
class Replay:
    """An earlier request with this key ran; `answer` is the reply of the upstream to it."""

    answer: str


ClaimLookup = Unclaimed | OwnClaim | Replay | Failure


def classify_entry(entry: StoreEntry | None, claim: ClaimRecord) -> ClaimLookup:
    """Return the result of looking up `entry` for the request that is about to write `claim`."""
    if entry is None:
        return Unclaimed(0)
    record = decode_claim(entry.value)
    if isinstance(record, Failure):
        return record
    if record.digest != claim.digest:
        return Failure(ErrorKind.KEY_REUSED, "the Idempotency-Key was used with a different body")
    if record.state is ClaimState.RELEASED:
        return Unclaimed(entry.mod_revision)
    if record.state is ClaimState.STARTED:
        if record.claim_id == claim.claim_id:
            return OwnClaim(entry.mod_revision)
        return Failure(
            ErrorKind.IN_PROGRESS, f"claim {record.claim_id} is in progress; retry later"
        )
    if record.answer is None:
        return Failure(
            ErrorKind.UPSTREAM_ERROR, f"the order ran without a stored answer: {record.error}"
        )
    return Replay(record.answer)


def classify_unconfirmed_write(lookup: ClaimLookup) -> ClaimLookup:
    """Return the result of a claim write of unknown outcome from the lookup after it.

    A write that the read does not show may still take effect. An unclaimed key therefore becomes a
    failure: the request does not use the claim, which is then released.
    """
    if isinstance(lookup, Unclaimed):
        return Failure(ErrorKind.STORE_UNAVAILABLE, "the store did not confirm the claim write")
    return lookup


def find_entry(read: StoreRead, key: str) -> StoreEntry | None:
    """Return the entry of `key` in `read`, or None if there is none."""
    return next((entry for entry in read.entries if entry.key == key), None)


def decide_settlement(entry: StoreEntry | None, target: ClaimRecord) -> int | None:
    """Return the `mod_revision` at which to write `target`, or None if no write is needed.

    A `released` target also replaces an absent or released claim. This fences a delayed claim
    write: its comparison fails when it arrives.
    """
    if entry is None:
        return 0 if target.state is ClaimState.RELEASED else None
    record = decode_claim(entry.value)
    if isinstance(record, Failure):
        return None
    if record.claim_id == target.claim_id and record.state is ClaimState.STARTED:
        return entry.mod_revision
    both_released = record.state is target.state is ClaimState.RELEASED
    if both_released and record.claim_id != target.claim_id:
        return entry.mod_revision
    return None


def is_claim_lost(entry: StoreEntry | None, target: ClaimRecord) -> bool:
    """Return whether the claim of an order that ran is missing, which only a restore can cause."""
    if target.state is not ClaimState.DONE:
        return False
    record = None if entry is None else decode_claim(entry.value)
    return not isinstance(record, ClaimRecord) or record.claim_id != target.claim_id


def release_claim(claim: ClaimRecord) -> ClaimRecord:
    """Return the `released` record of a claim whose order is known not to have run."""
    return claim.model_copy(update={"state": ClaimState.RELEASED})


def make_outcome_record(claim: ClaimRecord, reply: OrderReply | Failure) -> ClaimRecord | None:
    """Return the record to write after the send, or None to leave the claim `started`.

    It stays `started` if the outcome of the order is unknown.
    """
    if isinstance(reply, OrderReply):
        return _finish_claim(claim, reply.body)
    run_state = reply.answer.run_state
    if run_state is RunState.NOT_RUN:
        return release_claim(claim)
    if run_state is RunState.RAN:
        error = reply.message[:MAX_ERROR_CHARS] or reply.kind.value
        return claim.model_copy(update={"state": ClaimState.DONE, "error": error})
    return None


def _finish_claim(claim: ClaimRecord, answer: str) -> ClaimRecord:
    done = claim.model_copy(update={"state": ClaimState.DONE, "answer": answer})
    size_bytes = len(done.encode())
    if size_bytes <= MAX_RECORD_BYTES:
        return done
    error = f"its answer was too large to keep ({size_bytes} bytes)"
    return done.model_copy(update={"answer": None, "error": error})


def check_send(now_ms: float, verified_ms: float, deadline_ms: float) -> Failure | None:
    """Return a failure if the claimed order must not be sent at `now_ms`, else None.

    `verified_ms` is the time at which the store call that verified the claim was sent.
    """
    if now_ms >= deadline_ms:
        return Failure(ErrorKind.DEADLINE_PAST, "the deadline passed before the order was sent")
    if now_ms - verified_ms > MAX_VERIFICATION_AGE_MS:
        message = f"claim verified {now_ms - verified_ms:.0f} ms ago: process paused or store slow"
        return Failure(ErrorKind.STORE_UNAVAILABLE, message)
    return None


class Confirmation(BaseModel):
    """An operator's confirmation, at `CONFIRMED_KEY`, that claims lost by a restore are accepted.

    `seen_revision` is the highest order revision that any instance reports. `store_revision` is the
    revision of the restored store when the confirmation was made.
    """

    model_config = ConfigDict(frozen=True, extra="ignore")

    seen_revision: int = Field(ge=0)
    store_revision: int = Field(ge=0)

    @model_validator(mode="after")
    def _check_order(self) -> "Confirmation":
        if self.seen_revision < self.store_revision:
            raise ValueError("seen_revision must not be below store_revision")
        return self

    @property
    def offset(self) -> int:
        """Return the difference of an order revision and the store revision."""
        return self.seen_revision - self.store_revision


class GuardState(NamedTuple):
    """State of a `RevisionGuard` when a store call is sent, against which its result is checked.

    `confirmation_mod_revision` is -1 if the confirmation was never read.
    """

    floor: int
    confirmation_mod_revision: int
    confirmation: Confirmation
    witness: Witness | None

    @property
    def keys(self) -> tuple[str, ...]:
        """Return the keys that a read must include for the checks of the guard."""
        return (CONFIRMED_KEY, self.witness.key) if self.witness else (CONFIRMED_KEY,)


class RevisionGuard:
    """Detects that the store has lost writes, and whether an operator has accepted the loss.

    An *order revision* is the store's revision plus `seen_revision - store_revision` of the
    confirmation, so it keeps rising across a confirmed restore. Instances exchange the highest
    order revision seen (`floor`), the highest one that the store fell below (`regressed_from`) and
    the newest witness, a claim in its final state that must still exist in the store. All three are
    merged by maximum, so outdated reports have no effect.
    """

    def __init__(self) -> None:
        self.floor = 0
        self.regressed_from = 0
        self.witness: Witness | None = None
        # False until the first `merge_knowledge`: reports of an instance that has just started must
        # not count as current for another one.
        self.has_knowledge = False
        self._is_floor_current = False
        self._confirmation_mod_revision = -1
        self._confirmation = Confirmation(seen_revision=0, store_revision=0)

    @property
    def is_ready(self) -> bool:
        """Return whether the store's revision is known; `hold` ends that."""
        return self._is_floor_current

    def merge_knowledge(
        self, floor: int, regressed_from: int, witness: Witness | None = None
    ) -> None:
        """Merge the report of a peer that `has_knowledge`, or of the configuration; end a hold.

        The active configuration provides only a floor: the `mod_revision` of its head.
        """
        self.floor = max(self.floor, floor)
        self.regressed_from = max(self.regressed_from, regressed_from)
        self._merge_witness(witness)
        self._is_floor_current = self.has_knowledge = True

    def record_final(
        self, guard_state: GuardState, key: str, mod_revision: int, wall_ms: int
    ) -> None:
        """Record a claim in its final state as witness; `wall_ms` is the Unix time it was made."""
        order_revision = mod_revision + guard_state.confirmation.offset
        self._merge_witness(Witness(order_revision, key, mod_revision, wall_ms))

    def record_claim_loss(self, guard_state: GuardState, mod_revision: int) -> None:
        """Record that the claim written at `mod_revision` with `guard_state` is missing."""
        order_revision = mod_revision + guard_state.confirmation.offset
        self.regressed_from = max(self.regressed_from, order_revision)

    def _merge_witness(self, witness: Witness | None) -> None:
        if witness is None:
            return
        self.floor = max(self.floor, witness.order_revision)
        if self.witness is None or witness.order_revision > self.witness.order_revision:
            self.witness = witness

    def hold(self) -> None:
        """Refuse orders until `merge_knowledge` is called, for example after a gap in the clock."""
        self._is_floor_current = False

    def capture_state(self, wall_ms: int) -> GuardState:
        """Return the state for a store call that is sent now, at Unix time `wall_ms`."""
        if self.witness and wall_ms - self.witness.wall_ms > MAX_WITNESS_AGE_MS:
            self.witness = None
        return GuardState(
            self.floor, self._confirmation_mod_revision, self._confirmation, self.witness
        )

    def observe_read(self, guard_state: GuardState, read: StoreRead) -> GuardState:
        """Check a read that included `guard_state.keys`; return the state for dependent writes."""
        entry = find_entry(read, CONFIRMED_KEY)
        self._confirmation_mod_revision = entry.mod_revision if entry else 0
        self._confirmation = _decode_confirmation(entry)
        self._check_revision(guard_state.floor, self._confirmation, read.store_revision)
        guard_state = guard_state._replace(
            confirmation_mod_revision=self._confirmation_mod_revision,
            confirmation=self._confirmation,
        )
        if not _has_witness(guard_state, read):
            self.regressed_from = max(self.regressed_from, guard_state.floor)
        return guard_state

    def observe_write(self, guard_state: GuardState, outcome: TransactionOutcome) -> None:
        """Check the outcome of a transaction made by `make_transaction` with `guard_state`.

        A failed transaction is ignored, because the confirmation may have changed since.
        """
        if outcome.succeeded:
            # A write creates a new revision; one that was seen before it indicates a regression.
            self._check_revision(
                guard_state.floor,
                guard_state.confirmation,
                outcome.store_revision,
                revisions_added=1,
            )

    def _check_revision(
        self, floor: int, confirmation: Confirmation, store_revision: int, revisions_added: int = 0
    ) -> None:
        # Compared with the floor at the time of sending, because replies can arrive out of order.
        order_revision = store_revision + confirmation.offset
        if order_revision - revisions_added < floor:
            self.regressed_from = max(self.regressed_from, floor)
        self.floor = max(self.floor, order_revision)

    def check(self, guard_state: GuardState | None = None) -> Failure | None:
        """Return a failure if orders are refused at present, else None.

        With the `guard_state` of a claim, also fail if the confirmation has changed since.
        """
        if not self._is_floor_current:
            message = "no peer and no configuration has reported the store's revision yet"
            return Failure(ErrorKind.NOT_READY, message)
        if self._confirmation_mod_revision < 0:
            return Failure(ErrorKind.STORE_UNAVAILABLE, f"{CONFIRMED_KEY} has not been read yet")
        if self.regressed_from > self._confirmation.seen_revision:
            message = (
                f"the store was restored to a state before order revision {self.regressed_from}; "
                "run 'citronpaddle store confirm' to accept that claims were lost"
            )
            return Failure(ErrorKind.STORE_REGRESSED, message)
        if (
            guard_state is not None
            and guard_state.confirmation_mod_revision != self._confirmation_mod_revision
        ):
            return Failure(
                ErrorKind.STORE_UNAVAILABLE,
                "a store restore was confirmed after the claim was made",
            )
        return None


def _must_check_witness(guard_state: GuardState) -> bool:
    # A witness from before a confirmed restore may be one of the lost claims.
    witness = guard_state.witness
    return witness is not None and witness.order_revision > guard_state.confirmation.seen_revision


def _has_witness(guard_state: GuardState, read: StoreRead) -> bool:
    if not _must_check_witness(guard_state):
        return True
    entry = find_entry(read, guard_state.witness.key)
    return entry is not None and entry.mod_revision == guard_state.witness.mod_revision


def _decode_confirmation(entry: StoreEntry | None) -> Confirmation:
    # An invalid confirmation counts as none, so orders stay refused after a regression.
    no_confirmation = Confirmation(seen_revision=0, store_revision=0)
    if entry is None:
        return no_confirmation
    try:
        return Confirmation.model_validate_json(entry.value)
    except ValidationError:
        return no_confirmation


class Transaction(NamedTuple):
    """The comparisons and writes of one store transaction."""

    compares: tuple[Compare, ...]
    puts: tuple[Put, ...]


def make_transaction(
    guard_state: GuardState, key: str, mod_revision: int, record: ClaimRecord, lease: int
) -> Transaction:
    """Return the compare-and-swap transaction that writes `record`.

    It also compares the confirmation: revisions repeat after a restore, and a write from before
    the restore must not match a claim made after it. A new claim also compares the witness. This
    fails, as required, if the witness is a claim of the same key.
    """
    compares = [
        Compare(key, mod_revision),
        Compare(CONFIRMED_KEY, guard_state.confirmation_mod_revision),
    ]
    if record.state is ClaimState.STARTED and _must_check_witness(guard_state):
        compares.append(Compare(guard_state.witness.key, guard_state.witness.mod_revision))
    return Transaction(tuple(compares), (Put(key, record.encode(), lease),))
