"""Decides which configuration an instance applies, what it pulls and who watches the store."""

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

# Two watches per domain limit the open calls at the store and allow for the loss of one watcher.
WATCHERS_PER_DOMAIN = 2
# A watch on a connection that fails without an error reports no change; polling finds it.
POLL_INTERVAL_MS = 2_000
# Beyond this age of the latest read of the head, as sent in heartbeats, instances other than the
# watchers read the head too, as all watchers may be cut off from the store. The age is usually at
# most 2,000 ms of a poll, 1,000 ms of a heartbeat and two calls to the store.
MAX_HEAD_AGE_MS = 3_500
# Expected number of instances in all domains that then read the head in each poll interval.
EXPECTED_FALLBACK_READERS = 16

Part = TypeVar("Part")


class Verdict(StrEnum):
    """The result of comparing an offered head with the head in force."""

    ACCEPT = "accept"
    KNOWN = "known"
    REGRESSED = "regressed"


def evaluate_head(own: Head, offered: Head) -> Verdict:
    """Return whether `offered` replaces `own`.

    Only a greater revision does, and only if it was built on `own`: after a restore of the store,
    new changes reuse revisions that instances have had in force with other contents. A head that is
    more revisions ahead than it lists ancestors is accepted by its revision alone.
    """
    if offered.revision == own.revision and offered.change_id == own.change_id:
        return Verdict.KNOWN
    if offered.revision <= own.revision:
        return Verdict.REGRESSED
    if own.revision == 0 or own.revision < offered.restored_at:
        return Verdict.ACCEPT
    index = offered.revision - own.revision - 1
    if index < len(offered.ancestors) and offered.ancestors[index] != own.change_id:
        return Verdict.REGRESSED
    return Verdict.ACCEPT


def is_ancestor(revision: int, change_id: str, head: Head) -> bool:
    """Return whether `head` is known to be built on the change with no restore in between."""
    index = head.revision - revision - 1
    if revision < max(head.restored_at, 1) or not 0 <= index < len(head.ancestors):
        return False
    return head.ancestors[index] == change_id


class PartNames(NamedTuple):
    """The services and presets to fetch."""

    services: tuple[str, ...]
    presets: tuple[str, ...]

    @property
    def keys(self) -> tuple[str, ...]:
        """Return the store keys of the parts."""
        services = tuple(SERVICES_PREFIX + name for name in self.services)
        return services + tuple(PRESETS_PREFIX + name for name in self.presets)


def list_parts_to_pull(revision: int, change_id: str, head: Head) -> PartNames:
    """Return the parts of `head` to fetch for an instance that has the given change in force.

    These are the parts changed since, or all parts if `head` is not known to be built on it.
    """
    since = revision if is_ancestor(revision, change_id, head) else 0
    return PartNames(
        tuple(sorted(name for name, changed in head.services.items() if changed > since)),
        tuple(sorted(name for name, changed in head.presets.items() if changed > since)),
    )


def build_update(configuration: Configuration, request: PullRequest) -> ConfigurationUpdate:
    """Return the answer to a peer's request, with the parts that are missing at the peer."""
    names = list_parts_to_pull(request.revision, request.change_id, configuration.head)
    return ConfigurationUpdate(
        head=configuration.head,
        services={name: configuration.services[name] for name in names.services},
        presets={name: configuration.presets[name] for name in names.presets},
    )


def merge_update(own: Configuration, update: ConfigurationUpdate) -> Configuration | Failure:
    """Return the configuration of `update`, with unchanged parts copied from `own`.

    The failure is `bad_request` if a part is in neither.
    """
    head = update.head
    services = _merge_parts(own.head.services, own.services, head.services, update.services)
    presets = _merge_parts(own.head.presets, own.presets, head.presets, update.presets)
    missing = sorted((head.services.keys() - services) | (head.presets.keys() - presets))
    if missing:
        text = f"configuration revision {head.revision} is missing part {missing[0]}"
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
    kept = {
        name: own[name]
        for name, revision in revisions.items()
        if own_revisions.get(name) == revision
    }
    return kept | {name: part for name, part in pulled.items() if name in revisions}


def choose_watchers(
    names: Iterable[str], failure_domain: str, count: int = WATCHERS_PER_DOMAIN
) -> tuple[str, ...]:
    """Return those of the domain's instances `names` that watch the head."""
    ranked = sorted(names, key=lambda name: (-_score(failure_domain, name), name))
    return tuple(ranked[:count])


def _score(key: str, name: str) -> int:
    return xxhash.xxh64_intdigest(f"{key}\0{name}".encode())


class OfferResult(NamedTuple):
    """The verdict on an offered head, and a warning to log, empty if there is nothing new."""

    verdict: Verdict
    warning: str


class ConfigurationTracker:
    """Tracks the configuration in force at one instance, and the updates that it refused."""

    def __init__(self, now_ms: float) -> None:
        self.configuration = EMPTY_CONFIGURATION
        self._reported_head: tuple[int, str] | None = None
        self._refused_revisions: dict[str, int] = {}
        self._next_poll_ms = now_ms
        self._head_read_ms = now_ms

    @property
    def is_ready(self) -> bool:
        """Return whether a configuration is in force."""
        return self.configuration.head.revision > 0

    def make_request(self) -> PullRequest:
        """Return the request to send to a peer that has a greater revision."""
        head = self.configuration.head
        return PullRequest(revision=head.revision, change_id=head.change_id)

    def evaluate_store_head(self, head: Head) -> OfferResult:
        """Return the verdict on the head in the store, with one warning for each regressed head.

        Pass a head of revision 0 if the store has none.
        """
        own = self.configuration.head
        verdict = evaluate_head(own, head)
        if verdict is not Verdict.REGRESSED:
            return OfferResult(verdict, "")
        return OfferResult(verdict, self._describe_regression(head, "the store"))

    def offer_update(self, update: ConfigurationUpdate, source: str) -> OfferResult:
        """Put `update` in force if the verdict is to accept; `source` names a peer or the store."""
        own = self.configuration
        verdict = evaluate_head(own.head, update.head)
        if verdict is Verdict.REGRESSED and update.head.revision > own.head.revision:
            self._refused_revisions[source] = update.head.revision
            return OfferResult(verdict, self._describe_regression(update.head, source))
        if verdict is not Verdict.ACCEPT:
            return OfferResult(verdict, "")
        merged = merge_update(own, update)
        if isinstance(merged, Failure):
            self._refused_revisions[source] = update.head.revision
            return OfferResult(Verdict.KNOWN, f"{source}: {merged.message}; not put in force")
        self.configuration = merged
        self._refused_revisions.clear()
        return OfferResult(verdict, "")

    def choose_peer(
        self,
        revisions: Mapping[str, int],
        tried_peers: Collection[str],
        random_source: RandomSource,
    ) -> str | None:
        """Return a random peer of those with the greatest revision, None if no peer is ahead.

        `revisions` holds the revisions that peers reported. Peers in `tried_peers` and peers whose
        reported revision was refused are excluded.
        """
        own_revision = self.configuration.head.revision
        ahead = {
            name: revision
            for name, revision in revisions.items()
            if revision > own_revision
            and name not in tried_peers
            and self._refused_revisions.get(name) != revision
        }
        if not ahead:
            return None
        newest = max(ahead.values())
        # A random choice spreads the pulls of many instances over the peers with the revision.
        return random_source.choice(sorted(name for name in ahead if ahead[name] == newest))

    def record_head_read(self, now_ms: float, age_ms: float = 0.0) -> None:
        """Record that this instance or another one read the head `age_ms` ago."""
        self._head_read_ms = max(self._head_read_ms, now_ms - age_ms)

    def compute_head_age_ms(self, now_ms: float) -> float:
        """Return the age in ms of the latest known read of the head, to send in heartbeats."""
        return now_ms - self._head_read_ms

    def is_poll_due(
        self, now_ms: float, is_watcher: bool, member_count: int, random_source: RandomSource
    ) -> bool:
        """Return whether this instance should read the head now; if so, schedule the next poll.

        `member_count` is the number of known instances in all domains. Before an instance without a
        configuration calls this, it tries to pull from its peers.
        """
        if now_ms < self._next_poll_ms:
            return False
        is_watcher = is_watcher or not self.is_ready
        if not is_watcher and self.compute_head_age_ms(now_ms) <= MAX_HEAD_AGE_MS:
            return False
        self._next_poll_ms = now_ms + POLL_INTERVAL_MS
        return is_watcher or random_source.random() * member_count < EXPECTED_FALLBACK_READERS

    def _describe_regression(self, head: Head, source: str) -> str:
        if self._reported_head == (head.revision, head.change_id):
            return ""
        self._reported_head = (head.revision, head.change_id)
        own = self.configuration.head
        change = head.change_id or "none"
        return (
            f"{source} has configuration revision {head.revision} (change {change}). "
            f"It does not follow revision {own.revision} (change {own.change_id}), which is in "
            "force here, and is ignored. If the store was restored to an older state, run "
            "'citronpaddle store restore'"
        )
