"""Writes configuration changes to the store and reads back the outcome of each one."""

import secrets
from collections.abc import Awaitable, Callable, Iterable, Sequence
from dataclasses import dataclass
from typing import NamedTuple, TypeVar

from pydantic import ValidationError

from .clock import Clock
from .documents import (
    CONFIRMED_KEY,
    EMPTY_CONFIGURATION,
    HEAD_KEY,
    PRESETS_PREFIX,
    SERVICES_PREFIX,
    ChangeRecord,
    Configuration,
    ConfigurationUpdate,
    Head,
    OrdersConfirmation,
    PresetSpec,
    PullRequest,
    ServiceSpec,
    history_key,
)
from .errors import ErrorKind, Failure
from .policy.changes import (
    AcceptedChange,
    BaseConfiguration,
    Change,
    ChangeMetadata,
    Edit,
    LostRace,
    NoChange,
    RestoreConfiguration,
    build_change,
    determine_outcome,
)
from .policy.configuration import Verdict, evaluate_head, list_parts_to_pull, merge_update
from .ports import Compare, KeyValueStore, Put, StoreEntry, StoreRead

# Limits the retries of a command during an outage to a few calls a second.
RETRY_DELAY_MS = 200
# Another read is needed only if a change is made between two reads; 6,100 changes a day are one
# in 14 s.
MAX_READ_ATTEMPTS = 5
# Shortest timeout of a read, also if no time is left.
MIN_READ_TIMEOUT_MS = 1.0
CHANGE_ID_BYTES = 6


Outcome = TypeVar("Outcome")


class CommittedChange(NamedTuple):
    """A change that was committed to the store, as confirmed by reading it back."""

    change: Change


class Conflict(NamedTuple):
    """A change that a concurrent change `winner` prevented; None if that change is not known."""

    winner: ChangeRecord | None


ChangeOutcome = CommittedChange | NoChange | Conflict | Failure


@dataclass(frozen=True)
class TimeLimits:
    """Time limits in ms: of one call to the store, and of a whole command."""

    call_ms: float = 1_000
    total_ms: float = 5_000


async def fetch_head(store: KeyValueStore, timeout_ms: float) -> StoreEntry | None | Failure:
    """Return the store entry of the head, None if the store has no configuration.

    The failure is that of the read.
    """
    found = await store.read([HEAD_KEY], timeout_ms)
    if isinstance(found, Failure):
        return found
    return found.entries[0] if found.entries else None


async def fetch_base(
    store: KeyValueStore, own: Configuration, timeout_ms: float
) -> BaseConfiguration | Failure:
    """Return the configuration in the store; parts unchanged since `own` are copied from it.

    Head and parts are from one store revision. `timeout_ms` limits each of a few calls. The failure
    is `store_unavailable` if the store could not be read, `bad_request` if a value is not valid.
    """
    head_entry = await fetch_head(store, timeout_ms)
    for _ in range(MAX_READ_ATTEMPTS):
        if isinstance(head_entry, Failure):
            return head_entry
        if head_entry is None:
            return BaseConfiguration(EMPTY_CONFIGURATION, 0)
        head = _parse_document(Head, head_entry)
        if isinstance(head, Failure):
            return head
        names = list_parts_to_pull(own.head.revision, own.head.change_id, head)
        found = await store.read([HEAD_KEY, *names.keys], timeout_ms)
        if isinstance(found, Failure):
            return found
        entries = {entry.key: entry for entry in found.entries}
        if entries.get(HEAD_KEY) == head_entry:
            merged = _merge_entries(own, head, found.entries)
            if isinstance(merged, Failure):
                return merged
            return BaseConfiguration(merged, head_entry.mod_revision)
        head_entry = entries.get(HEAD_KEY)
    return Failure(
        ErrorKind.STORE_UNAVAILABLE, "the configuration changed during each attempt to read it"
    )


def _merge_entries(
    own: Configuration, head: Head, entries: Sequence[StoreEntry]
) -> Configuration | Failure:
    services: dict[str, ServiceSpec] = {}
    presets: dict[str, PresetSpec] = {}
    for prefix, model, parts in (
        (SERVICES_PREFIX, ServiceSpec, services),
        (PRESETS_PREFIX, PresetSpec, presets),
    ):
        for entry in entries:
            if not entry.key.startswith(prefix):
                continue
            part = _parse_document(model, entry)
            if isinstance(part, Failure):
                return part
            parts[entry.key.removeprefix(prefix)] = part
    return merge_update(own, ConfigurationUpdate(head=head, services=services, presets=presets))


def _parse_document(model: type, entry: StoreEntry):
    try:
        return model.from_bytes(entry.value)
    except ValidationError as error:
        first_error = error.errors()[0]
        where = ".".join(str(part) for part in first_error["loc"])
        text = f"store key {entry.key} is not a {model.__name__}: {where}: {first_error['msg']}"
        return Failure(ErrorKind.BAD_REQUEST, text)


async def fetch_history(
    store: KeyValueStore, last_revision: int, count: int, timeout_ms: float
) -> tuple[ChangeRecord, ...] | Failure:
    """Return the records of the `count` revisions up to `last_revision`, newest first."""
    first_revision = max(last_revision - count + 1, 1)
    keys = [history_key(revision) for revision in range(first_revision, last_revision + 1)]
    found = await store.read(keys, timeout_ms) if keys else StoreRead((), 0)
    if isinstance(found, Failure):
        return found
    records: list[ChangeRecord] = []
    for entry in sorted(found.entries, reverse=True):
        record = _parse_document(ChangeRecord, entry)
        if isinstance(record, Failure):
            return record
        records.append(record)
    return tuple(records)


class ConfigurationWriter:
    """Makes changes for one author; `pause` sleeps for a time in ms between attempts."""

    def __init__(
        self,
        store: KeyValueStore,
        clock: Clock,
        author: str,
        pause: Callable[[float], Awaitable[None]],
        limits: TimeLimits | None = None,
    ) -> None:
        self._store = store
        self._clock = clock
        self._author = author
        self._sleep = pause
        self._limits = limits or TimeLimits()

    async def change(self, edit: Edit, in_force: Iterable[PullRequest] = ()) -> ChangeOutcome:
        """Make `edit` on the configuration in the store and return the outcome.

        `in_force` holds the changes that instances had in force before the call. If the head in the
        store is not built on one of them, the store was restored to an older state, and the failure
        is `store_regressed`. Other failures are those of `build_change`, `store_unavailable` if
        nothing was changed, and `outcome_unknown`.
        """
        end_ms = self._clock.now_ms() + self._limits.total_ms
        base = await self._fetch_base(end_ms)
        if isinstance(base, Failure):
            return base
        head = base.configuration.head
        for found in in_force:
            own = Head(revision=found.revision, change_id=found.change_id)
            if evaluate_head(own, head) is Verdict.REGRESSED:
                text = (
                    f"the store has revision {head.revision}, which does not follow revision "
                    f"{found.revision} (change {found.change_id}) in force at an instance: the "
                    "store was restored to an older state. Run 'citronpaddle store restore' first"
                )
                return Failure(ErrorKind.STORE_REGRESSED, text)
        return await self._build_and_commit(base, edit, end_ms)

    async def preview(self, edit: Edit) -> Change | NoChange | Failure:
        """Return the change that `edit` would make now, without making it."""
        base = await self._fetch_base(self._clock.now_ms() + self._limits.total_ms)
        return (
            base if isinstance(base, Failure) else build_change(base, edit, self._make_metadata())
        )

    async def restore(self, configuration: Configuration, highest_revision: int) -> ChangeOutcome:
        """Write `configuration`, which instances have in force, back to the store.

        `highest_revision` is the greatest revision that an instance reported. The failures are
        those of `change`.
        """
        end_ms = self._clock.now_ms() + self._limits.total_ms
        # The head is read before the parts, so that its comparison also detects changed parts.
        base = await self._fetch_base(end_ms)
        if isinstance(base, Failure):
            return base
        stored: dict[str, bytes] = {}
        for prefix in (SERVICES_PREFIX, PRESETS_PREFIX):
            found = await self._store.read_prefix(prefix, self._limits.call_ms)
            if isinstance(found, Failure):
                return found
            stored |= {entry.key: entry.value for entry in found.entries}
        edit = RestoreConfiguration(configuration, highest_revision, stored)
        return await self._build_and_commit(base, edit, end_ms)

    async def _build_and_commit(
        self, base: BaseConfiguration, edit: Edit, end_ms: float
    ) -> ChangeOutcome:
        change = build_change(base, edit, self._make_metadata())
        if isinstance(change, (NoChange, Failure)):
            return change
        return await self._commit(change, end_ms)

    async def confirm_orders(self, seen_revision: int) -> OrdersConfirmation | Conflict | Failure:
        """Record an operator's acceptance of order claims that a restored store has lost.

        `seen_revision` is the highest order revision that any instance reports. The failures are
        those of `change`.
        """
        end_ms = self._clock.now_ms() + self._limits.total_ms
        found = await self._read([CONFIRMED_KEY], end_ms)
        if isinstance(found, Failure):
            return found
        mod_revision = found.entries[0].mod_revision if found.entries else 0
        metadata = self._make_metadata()
        confirmation = OrdersConfirmation(
            confirmation_id=metadata.change_id,
            author=metadata.author,
            wall_ms=metadata.wall_ms,
            seen_revision=max(seen_revision, found.store_revision),
            store_revision=found.store_revision,
        )
        value = confirmation.to_bytes()

        def determine(entries: Sequence[StoreEntry]) -> OrdersConfirmation | Conflict | None:
            if entries and entries[0].value == value:
                return confirmation
            unchanged = (entries[0].mod_revision if entries else 0) == mod_revision
            return None if unchanged else Conflict(None)

        compares, puts = [Compare(CONFIRMED_KEY, mod_revision)], [Put(CONFIRMED_KEY, value)]
        return await self._write(compares, puts, [CONFIRMED_KEY], determine, end_ms)

    async def _commit(self, change: Change, end_ms: float) -> ChangeOutcome:
        def determine(entries: Sequence[StoreEntry]) -> CommittedChange | Conflict | None:
            outcome = determine_outcome(change, entries)
            if isinstance(outcome, AcceptedChange):
                return CommittedChange(change)
            return Conflict(outcome.winner) if isinstance(outcome, LostRace) else None

        keys = [HEAD_KEY, history_key(change.record.revision)]
        return await self._write(change.compares, change.puts, keys, determine, end_ms)

    async def _write(
        self,
        compares: Sequence[Compare],
        puts: Sequence[Put],
        keys: Sequence[str],
        determine: Callable[[Sequence[StoreEntry]], Outcome | None],
        end_ms: float,
    ) -> Outcome | Failure:
        """Send one transaction until `determine` returns its outcome.

        After each attempt `determine` gets the entries of `keys`. It returns None if the
        transaction has had no effect yet. An earlier attempt may still take effect later, so
        without an outcome the failure is `outcome_unknown` once an attempt may have reached the
        store.
        """
        may_have_committed = False
        last_failure = Failure(
            ErrorKind.STORE_UNAVAILABLE, "the time limit was reached before the write"
        )
        while (remaining_ms := end_ms - self._clock.now_ms()) > 0:
            written = await self._store.transact(
                compares, puts, min(remaining_ms, self._limits.call_ms)
            )
            if isinstance(written, Failure):
                last_failure = written
                may_have_committed |= written.kind is ErrorKind.OUTCOME_UNKNOWN
            else:
                may_have_committed |= written.succeeded
            if may_have_committed or not isinstance(written, Failure):
                found = await self._read(keys, end_ms)
                if isinstance(found, Failure):
                    last_failure = found
                    break
                outcome = determine(found.entries)
                if outcome is not None:
                    return outcome
            await self._sleep(RETRY_DELAY_MS)
        if may_have_committed:
            return Failure(ErrorKind.OUTCOME_UNKNOWN, last_failure.message)
        return Failure(ErrorKind.STORE_UNAVAILABLE, last_failure.message)

    async def _fetch_base(self, end_ms: float) -> BaseConfiguration | Failure:
        while True:
            remaining_ms = end_ms - self._clock.now_ms()
            call_ms = max(min(remaining_ms, self._limits.call_ms), MIN_READ_TIMEOUT_MS)
            base = await fetch_base(self._store, EMPTY_CONFIGURATION, call_ms)
            if not self._should_retry(base, end_ms):
                return base
            await self._sleep(RETRY_DELAY_MS)

    async def _read(self, keys: Sequence[str], end_ms: float) -> StoreRead | Failure:
        while True:
            remaining_ms = end_ms - self._clock.now_ms()
            found = await self._store.read(
                keys, max(min(remaining_ms, self._limits.call_ms), MIN_READ_TIMEOUT_MS)
            )
            if not self._should_retry(found, end_ms):
                return found
            await self._sleep(RETRY_DELAY_MS)

    def _should_retry(self, found: object, end_ms: float) -> bool:
        if not isinstance(found, Failure) or found.kind is not ErrorKind.STORE_UNAVAILABLE:
            return False
        return self._clock.now_ms() + RETRY_DELAY_MS < end_ms

    def _make_metadata(self) -> ChangeMetadata:
        return ChangeMetadata(
            secrets.token_hex(CHANGE_ID_BYTES), self._author, self._clock.wall_ms()
        )
