"""The claim state machine of a non-idempotent request, and when its claims can be trusted."""

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
# The smaller reading of the store's limit of 1 MB per value.
MAX_RECORD_BYTES = 1_000_000
# A claim is acted on only this long after the store call that proved it was sent. A longer gap
# means a paused process or a slow store, and a restore may have been confirmed in between.
MAX_VERIFICATION_AGE_MS = 2_000.0
# The lease of a claim outlasts the hour in which it is shared by 24 h.
LEASE_TTL_S = 25 * 3600
LEASE_SHARED_MS = 3_600_000.0
LEASE_RENEW_MS = 3_000_000.0
# A witness is dropped well before its claim can expire, also with clocks that differ by hours.
MAX_WITNESS_AGE_MS = 12 * 3_600_000


class ClaimState(StrEnum):
    """How far the order of a claim has come, as the store has it."""

    STARTED = "started"
    RELEASED = "released"
    DONE = "done"


class ClaimRecord(BaseModel):
    """The value of a claim key.

    `answer` is the upstream's text of a `done` claim; `error` says why there is none.
    `wall_ms` is the Unix time in ms at which the claim was made, for people.
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
    """Return the record, or `outcome_unknown` if the value is not one: it is never run over."""
    try:
        return ClaimRecord.model_validate_json(value)
    except ValidationError as error:
        return Failure(ErrorKind.OUTCOME_UNKNOWN, f"the stored claim is unreadable: {error}")


def check_key(idempotency_key: str) -> Failure | None:
    """Return why a key cannot be used, or None."""
    if not idempotency_key:
        return Failure(ErrorKind.KEY_MISSING, "an order needs an Idempotency-Key")
    if len(idempotency_key.encode("utf-8", "replace")) > MAX_KEY_BYTES:
        message = f"the Idempotency-Key is longer than {MAX_KEY_BYTES} bytes"
        return Failure(ErrorKind.BAD_REQUEST, message)
    if not idempotency_key.isprintable():
        return Failure(ErrorKind.BAD_REQUEST, "the Idempotency-Key has unprintable characters")
    return None


def make_claim_key(service: str, idempotency_key: str) -> str:
    """Return the store key of a claim; separators inside either part are escaped."""
    return f"{CLAIM_PREFIX}{quote(service, safe='')}/{quote(idempotency_key, safe='')}"


def compute_digest(body: bytes) -> str:
    """Return the digest that tells whether a repeat has the same body."""
    return hashlib.sha256(body).hexdigest()


@dataclass(frozen=True, slots=True)
class Unclaimed:
    """No claim stands in the way: write ours if the key is still at `mod_revision`."""

    mod_revision: int


@dataclass(frozen=True, slots=True)
class OwnClaim:
    """The claim is ours and `started`; the order may be sent if `check_send` permits it."""

    mod_revision: int


@dataclass(frozen=True, slots=True)
class Replay:
    """An earlier request with this key ran; `answer` is what the upstream said then."""

    answer: str


ClaimLookup = Unclaimed | OwnClaim | Replay | Failure


def classify_entry(entry: StoreEntry | None, claim: ClaimRecord) -> ClaimLookup:
    """Return what the stored entry means for the request that wants to make `claim`."""
    if entry is None:
        return Unclaimed(0)
    record = decode_claim(entry.value)
    if isinstance(record, Failure):
        return record
    if record.digest != claim.digest:
        return Failure(ErrorKind.KEY_REUSED, "the Idempotency-Key was used with another body")
    if record.state is ClaimState.RELEASED:
        return Unclaimed(entry.mod_revision)
    if record.state is ClaimState.STARTED:
        if record.claim_id == claim.claim_id:
            return OwnClaim(entry.mod_revision)
        return Failure(
            ErrorKind.IN_PROGRESS, f"claim {record.claim_id} has started; repeat later to learn"
        )
    if record.answer is None:
        return Failure(ErrorKind.UPSTREAM_ERROR, f"the order ran: {record.error}")
    return Replay(record.answer)


def classify_unconfirmed_write(standing: ClaimLookup) -> ClaimLookup:
    """Return the standing after a claim write of unknown outcome was followed by a read.

    A write that the read does not show may still take effect, so a vacant key is a refusal: the
    claim is given up for good and then withdrawn.
    """
    if isinstance(standing, Unclaimed):
        return Failure(ErrorKind.STORE_UNAVAILABLE, "the store did not confirm the claim")
    return standing


def find_entry(read: StoreRead, key: str) -> StoreEntry | None:
    """Return the entry of `key`, or None if the store has none."""
    return next((entry for entry in read.entries if entry.key == key), None)


def decide_settlement(entry: StoreEntry | None, target: ClaimRecord) -> int | None:
    """Return the `mod_revision` at which to write `target`, or None if nothing is to be done.

    A `released` target also replaces an absent or released claim. That fences a claim write that
    is still under way: its comparison no longer holds when it arrives.
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
    """Return whether the claim of an order that ran is gone, which only a restore can cause."""
    if target.state is not ClaimState.DONE:
        return False
    record = None if entry is None else decode_claim(entry.value)
    return not isinstance(record, ClaimRecord) or record.claim_id != target.claim_id


def release_claim(claim: ClaimRecord) -> ClaimRecord:
    """Return the record of a claim whose order was not sent, or provably did not run."""
    return claim.model_copy(update={"state": ClaimState.RELEASED})


def make_outcome_record(claim: ClaimRecord, reply: OrderReply | Failure) -> ClaimRecord | None:
    """Return the record to write after the send, or None to leave the claim `started`."""
    if isinstance(reply, OrderReply):
        return _finish_claim(claim, reply.body)
    run_state = reply.answer.run_state
    if run_state is RunState.NOT_RUN:
        return release_claim(claim)
    if run_state is RunState.RAN:
        error = reply.message[:1000] or reply.kind.value
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
    """Return why a claim that is ours must not be sent now, or None.

    `verified_ms` is when the store call that showed the claim to be ours was sent.
    """
    if now_ms >= deadline_ms:
        return Failure(ErrorKind.DEADLINE_PAST, "the deadline passed before the order was sent")
    if now_ms - verified_ms > MAX_VERIFICATION_AGE_MS:
        message = (
            f"the claim was proven {now_ms - verified_ms:.0f} ms ago: process paused or store slow"
        )
        return Failure(ErrorKind.STORE_UNAVAILABLE, message)
    return None


class Confirmation(BaseModel):
    """The operator's statement, at `CONFIRMED_KEY`, that claims lost by a restore are accepted.

    `seen_revision` is the highest order revision that any instance reports, `store_revision` the
    revision that the restored store showed when the confirmation was made.
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
        """Return what to add to a store revision to get an order revision."""
        return self.seen_revision - self.store_revision


class GuardState(NamedTuple):
    """What a store call is judged by; `confirmed_mod` is -1 if the confirmation was never read."""

    floor: int
    confirmation_mod_revision: int
    confirmation: Confirmation
    witness: Witness | None

    @property
    def keys(self) -> tuple[str, ...]:
        """Return the keys that a read must include for the guard."""
        return (CONFIRMED_KEY, self.witness.key) if self.witness else (CONFIRMED_KEY,)


class RevisionGuard:
    """Tells whether the store has lost writes, and whether an operator has accepted that.

    An *order revision* is the store's revision plus `seen_revision - store_revision` of the
    confirmation. It goes on rising over a confirmed restore, so the highest one of all instances
    (`floor`), the highest one that a restore went below (`regressed_from`) and the newest witness
    are merged by maximum, and old news does no harm.
    """

    def __init__(self) -> None:
        self.floor = 0
        self.regressed_from = 0
        self.witness: Witness | None = None
        # False until the first `learn`: what a new instance says must not inform another one.
        self.has_knowledge = False
        self._is_floor_current = False
        self._confirmation_mod_revision = -1
        self._confirmation = Confirmation(seen_revision=0, store_revision=0)

    def merge_knowledge(
        self, floor: int, regressed_from: int, witness: Witness | None = None
    ) -> None:
        """Merge what a peer that `has_knowledge` says, or the configuration; ends a hold.

        The configuration in force tells only a floor: the `mod_revision` of its head.
        """
        self.floor = max(self.floor, floor)
        self.regressed_from = max(self.regressed_from, regressed_from)
        self._merge_witness(witness)
        self._is_floor_current = self.has_knowledge = True

    def record_final(
        self, guard_state: GuardState, key: str, mod_revision: int, wall_ms: int
    ) -> None:
        """Take a claim that reached its final state as the witness; `wall_ms` is when it began."""
        order_revision = mod_revision + guard_state.confirmation.offset
        self._merge_witness(Witness(order_revision, key, mod_revision, wall_ms))

    def record_claim_loss(self, guard_state: GuardState, mod_revision: int) -> None:
        """Take in that the claim written at `mod_revision` with `ticket` is gone."""
        order_revision = mod_revision + guard_state.confirmation.offset
        self.regressed_from = max(self.regressed_from, order_revision)

    def _merge_witness(self, witness: Witness | None) -> None:
        if witness is None:
            return
        self.floor = max(self.floor, witness.order_revision)
        if self.witness is None or witness.order_revision > self.witness.order_revision:
            self.witness = witness

    def hold(self) -> None:
        """Refuse orders until `learn` is called; for a start and after a gap in the clock."""
        self._is_floor_current = False

    def capture_state(self, wall_ms: int) -> GuardState:
        """Return what a store call that is sent now, at Unix time `wall_ms`, is judged by."""
        if self.witness and wall_ms - self.witness.wall_ms > MAX_WITNESS_AGE_MS:
            self.witness = None
        return GuardState(
            self.floor, self._confirmation_mod_revision, self._confirmation, self.witness
        )

    def observe_read(self, guard_state: GuardState, read: StoreRead) -> GuardState:
        """Take in a read that included `ticket.keys`; return the ticket for writes based on it."""
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
        """Take in a transaction made by `make_transaction` with the same ticket.

        One that failed says nothing, because the confirmation may be another by now.
        """
        if outcome.succeeded:
            # A write makes a revision of its own, so one that was seen before it is a regression.
            self._check_revision(
                guard_state.floor,
                guard_state.confirmation,
                outcome.store_revision,
                revisions_added=1,
            )

    def _check_revision(
        self, floor: int, confirmation: Confirmation, store_revision: int, revisions_added: int = 0
    ) -> None:
        # Only the floor at the time of sending counts: replies may overtake each other.
        order_revision = store_revision + confirmation.offset
        if order_revision - revisions_added < floor:
            self.regressed_from = max(self.regressed_from, floor)
        self.floor = max(self.floor, order_revision)

    def check(self, guard_state: GuardState | None = None) -> Failure | None:
        """Return why orders are refused at present, or None.

        With the ticket of a claim, also refuse if the confirmation has changed since.
        """
        if not self._is_floor_current:
            message = "neither a peer nor the configuration has told the store's revision yet"
            return Failure(ErrorKind.NOT_READY, message)
        if self._confirmation_mod_revision < 0:
            return Failure(ErrorKind.STORE_UNAVAILABLE, f"{CONFIRMED_KEY} could not be read")
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
            return Failure(ErrorKind.STORE_UNAVAILABLE, "a restore was confirmed after the claim")
        return None


def _must_check_witness(guard_state: GuardState) -> bool:
    # A witness from before a confirmed restore may be among the claims that were lost.
    witness = guard_state.witness
    return witness is not None and witness.order_revision > guard_state.confirmation.seen_revision


def _has_witness(guard_state: GuardState, read: StoreRead) -> bool:
    if not _must_check_witness(guard_state):
        return True
    entry = find_entry(read, guard_state.witness.key)
    return entry is not None and entry.mod_revision == guard_state.witness.mod_revision


def _decode_confirmation(entry: StoreEntry | None) -> Confirmation:
    # An unreadable confirmation confirms nothing, which refuses orders after a regression.
    nothing = Confirmation(seen_revision=0, store_revision=0)
    if entry is None:
        return nothing
    try:
        return Confirmation.model_validate_json(entry.value)
    except ValidationError:
        return nothing


class Transaction(NamedTuple):
    """The comparisons and writes of one store transaction."""

    compares: tuple[Compare, ...]
    puts: tuple[Put, ...]


def make_transaction(
    guard_state: GuardState, key: str, mod_revision: int, record: ClaimRecord, lease: int
) -> Transaction:
    """Return the compare-and-swap that writes `record`.

    It compares the confirmation too: revisions repeat after a restore, and a write from before the
    restore must not match a claim that was made after it. A new claim also compares the witness,
    which fails if the witness is a claim of the same key, as it must.
    """
    compares = [
        Compare(key, mod_revision),
        Compare(CONFIRMED_KEY, guard_state.confirmation_mod_revision),
    ]
    if record.state is ClaimState.STARTED and _must_check_witness(guard_state):
        compares.append(Compare(guard_state.witness.key, guard_state.witness.mod_revision))
    return Transaction(tuple(compares), (Put(key, record.encode(), lease),))
