"""Decides which configuration an instance puts in force, what it pulls and who watches."""

from collections.abc import Collection, Iterable, Mapping
from enum import StrEnum
from typing import NamedTuple, TypeVar

import xxhash

from ..documents import (
    EMPTY_CONFIGURATION,
    PRESETS_PREFIX,
    SERVICES_PREFIX,
    Configuration,
    ConfigurationUpdate,
    Head,
    PullRequest,
)
from ..errors import ErrorKind, Failure
from ..randomness import RandomSource

# Two watches per domain bound the store's waiting calls and survive the loss of one watcher.
WATCHERS_PER_DOMAIN = 2
# A watch on a connection that went silent reports nothing; the poll finds a change without it.
POLL_INTERVAL_MS = 2_000
# If all watchers are cut off from the store, nobody who can reach it would read it. Heartbeats
# carry the age of the latest read of the head; 2,000 ms of a poll, 1,000 ms of a heartbeat and two
# calls to the store are its usual limit, and beyond this one others read the head too.
MAX_CHECK_AGE_MS = 3_500
# So many instances of the whole fleet, chosen at random, then read the head in each poll interval.
FALLBACK_READERS = 16

Part = TypeVar("Part")


class Verdict(StrEnum):
    """What an instance does with a head that it is offered."""

    ACCEPT = "accept"
    KNOWN = "known"
    REGRESSED = "regressed"


def evaluate_head(own: Head, offered: Head) -> Verdict:
    """Return whether `offered` replaces `own`.

    Only a greater revision does, and only if it was built on `own`: after a restore of the store,
    new changes reuse revisions that instances have had in force with other contents. A head more
    revisions ahead than it lists ancestors is accepted by its revision alone.
    """
    if offered.revision == own.revision and offered.change_id == own.change_id:
        return Verdict.KNOWN
    if offered.revision <= own.revision:
        return Verdict.REGRESSED
    if own.revision == 0 or own.revision < offered.restored_at:
        return Verdict.ACCEPT
    position = offered.revision - own.revision - 1
    if position < len(offered.ancestors) and offered.ancestors[position] != own.change_id:
        return Verdict.REGRESSED
    return Verdict.ACCEPT


def is_ancestor(revision: int, change_id: str, head: Head) -> bool:
    """Return whether `head` is known to be built on the change, with no restore between them."""
    position = head.revision - revision - 1
    if revision < max(head.restored_at, 1) or not 0 <= position < len(head.ancestors):
        return False
    return head.ancestors[position] == change_id


class PartNames(NamedTuple):
    """The services and presets to fetch."""

    services: tuple[str, ...]
    presets: tuple[str, ...]

    @property
    def keys(self) -> tuple[str, ...]:
        """Return the keys of the parts in the store."""
        services = tuple(SERVICES_PREFIX + name for name in self.services)
        return services + tuple(PRESETS_PREFIX + name for name in self.presets)


def list_parts_to_pull(revision: int, change_id: str, head: Head) -> PartNames:
    """Return the parts of `head` that an instance with the given change in force lacks.

    Those are the parts changed since, or all if it is not known that `head` was built on it.
    """
    since = revision if is_ancestor(revision, change_id, head) else 0
    return PartNames(
        tuple(sorted(name for name, changed in head.services.items() if changed > since)),
        tuple(sorted(name for name, changed in head.presets.items() if changed > since)),
    )


def build_update(configuration: Configuration, request: PullRequest) -> ConfigurationUpdate:
    """Return the answer to a peer's request, with the parts that the peer lacks."""
    names = list_parts_to_pull(request.revision, request.change_id, configuration.head)
    return ConfigurationUpdate(
        head=configuration.head,
        services={name: configuration.services[name] for name in names.services},
        presets={name: configuration.presets[name] for name in names.presets},
    )


def merge_update(own: Configuration, update: ConfigurationUpdate) -> Configuration | Failure:
    """Return the configuration of `update`, with the parts it lacks taken from `own`.

    The failure is `bad_request` if a part is in neither.
    """
    head = update.head
    services = _merge_parts(own.head.services, own.services, head.services, update.services)
    presets = _merge_parts(own.head.presets, own.presets, head.presets, update.presets)
    missing = sorted((head.services.keys() - services) | (head.presets.keys() - presets))
    if missing:
        text = f"configuration revision {head.revision} came without part {missing[0]}"
        return Failure(ErrorKind.BAD_REQUEST, text)
    try:
        return Configuration(head=head, services=services, presets=presets)
    except ValueError as error:
        return Failure(ErrorKind.BAD_REQUEST, f"configuration revision {head.revision}: {error}")


def _merge_parts(
    own_revisions: Mapping[str, int],
    own: Mapping[str, Part],
    revisions: Mapping[str, int],
    pulled: Mapping[str, Part],
) -> dict[str, Part]:
    kept = {name: own[name] for name, at in revisions.items() if own_revisions.get(name) == at}
    return kept | {name: part for name, part in pulled.items() if name in revisions}


def choose_watchers(
    names: Iterable[str], failure_domain: str, count: int = WATCHERS_PER_DOMAIN
) -> tuple[str, ...]:
    """Return the instances among `names`, those of one domain, that watch the head."""
    ranked = sorted(names, key=lambda name: (-_score(failure_domain, name), name))
    return tuple(ranked[:count])


def _score(key: str, name: str) -> int:
    return xxhash.xxh64_intdigest(f"{key}\0{name}".encode())


class Offer(NamedTuple):
    """The outcome of an update: the verdict, and what to log if it is new."""

    verdict: Verdict
    warning: str


class Follower:
    """The configuration that one instance has in force, and what it was offered."""

    def __init__(self, now_ms: float) -> None:
        self.configuration = EMPTY_CONFIGURATION
        self._reported: tuple[int, str] | None = None
        self._refused: dict[str, int] = {}
        self._next_poll_ms = now_ms
        self._checked_ms = now_ms

    @property
    def is_ready(self) -> bool:
        """Return whether a configuration is in force."""
        return self.configuration.head.revision > 0

    def make_request(self) -> PullRequest:
        """Return what to send to a peer that has a greater revision."""
        head = self.configuration.head
        return PullRequest(revision=head.revision, change_id=head.change_id)

    def judge_store(self, head: Head) -> Offer:
        """Judge the head read from the store; a regression is reported once for each head.

        Pass a head of revision 0 if the store has none.
        """
        own = self.configuration.head
        verdict = evaluate_head(own, head)
        if verdict is not Verdict.REGRESSED:
            return Offer(verdict, "")
        return Offer(verdict, self._report(head, "the store"))

    def offer(self, update: ConfigurationUpdate, source: str) -> Offer:
        """Put `update` in force if it is to be accepted; `source` names a peer or the store."""
        own = self.configuration
        verdict = evaluate_head(own.head, update.head)
        if verdict is Verdict.REGRESSED and update.head.revision > own.head.revision:
            self._refused[source] = update.head.revision
            return Offer(verdict, self._report(update.head, source))
        if verdict is not Verdict.ACCEPT:
            return Offer(verdict, "")
        merged = merge_update(own, update)
        if isinstance(merged, Failure):
            self._refused[source] = update.head.revision
            return Offer(Verdict.KNOWN, f"{source}: {merged.message}; not put in force")
        self.configuration = merged
        self._refused.clear()
        return Offer(verdict, "")

    def choose_peer(
        self, revisions: Mapping[str, int], tried: Collection[str], random_source: RandomSource
    ) -> str | None:
        """Return the peer to pull from, one of those with the greatest revision, if any is ahead.

        `revisions` is what peers reported; peers in `tried` and refused updates are left out.
        """
        own_revision = self.configuration.head.revision
        ahead = {
            name: revision
            for name, revision in revisions.items()
            if revision > own_revision and name not in tried and self._refused.get(name) != revision
        }
        if not ahead:
            return None
        newest = max(ahead.values())
        # A random choice spreads the pulls of many instances over the peers that have the revision.
        return random_source.choice(sorted(name for name in ahead if ahead[name] == newest))

    def record_head_read(self, now_ms: float, age_ms: float = 0.0) -> None:
        """Note that the head was read `age_ms` ago, by this instance or by the one a peer names."""
        self._checked_ms = max(self._checked_ms, now_ms - age_ms)

    def compute_head_age_ms(self, now_ms: float) -> float:
        """Return the age in ms of the latest read of the head that is known, for heartbeats."""
        return now_ms - self._checked_ms

    def is_poll_due(
        self, now_ms: float, is_watcher: bool, member_count: int, random_source: RandomSource
    ) -> bool:
        """Return whether this instance reads the head now, and count it as read if so.

        `member_count` is the number of instances that are known in all domains. An instance without
        a configuration asks its peers before it asks this.
        """
        if now_ms < self._next_poll_ms:
            return False
        is_watcher = is_watcher or not self.is_ready
        if not is_watcher and self.compute_head_age_ms(now_ms) <= MAX_CHECK_AGE_MS:
            return False
        self._next_poll_ms = now_ms + POLL_INTERVAL_MS
        return is_watcher or random_source.random() * member_count < FALLBACK_READERS

    def _report(self, head: Head, source: str) -> str:
        if self._reported == (head.revision, head.change_id):
            return ""
        self._reported = (head.revision, head.change_id)
        own = self.configuration.head
        change = head.change_id or "none"
        return (
            f"{source} has configuration revision {head.revision} (change {change}). "
            f"It does not follow revision {own.revision} (change {own.change_id}), which is in "
            "force here, and is ignored. If the store was restored to an older state, run "
            "'citronpaddle store restore'"
        )
