"""Membership view: the known instances and their states.

The view is built from heartbeats, reports of peers and the instance list in the store.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

from ..models import ListedInstance, Member, MemberState
from ..randomness import RandomSource

_STATE_RANK = {MemberState.STARTING: 0, MemberState.LIVE: 1, MemberState.LEAVING: 2}


class MembershipParameters(NamedTuple):
    """Timing and size limits of the membership protocol.

    `heartbeat_ms` is the interval between heartbeat rounds. A member that answers no heartbeat for
    `suspect_ms` becomes suspect; a suspect that is not listed is removed `removal_ms` after the
    newest evidence. `fanout` is the largest number of targets in one round, `fanout_same_domain` of
    them in the sender's failure domain if there are enough in others. `max_reports` limits the
    reports in one heartbeat; each change is sent in `sends_per_report` heartbeats or answers.
    """

    heartbeat_ms: float = 1_000.0
    suspect_ms: float = 2_500.0
    removal_ms: float = 10_000.0
    fanout: int = 8
    fanout_same_domain: int = 6
    max_reports: int = 8
    sends_per_report: int = 32


class Report(NamedTuple):
    """The sender's record of another instance; `age_ms` is the age of the evidence for its state.

    For the state `suspect` the evidence is the first unanswered heartbeat, for other states the
    latest message from the instance.
    """

    member: Member
    age_ms: float


class VoterListState(NamedTuple):
    """The voter list that a voter of a failure domain uses, as sent in its heartbeats."""

    revision: int
    settled_revision: int
    is_confirmed: bool


class Heartbeat(NamedTuple):
    """The sender's own status and recent changes of others; the answer has the same form."""

    sender: Member
    voter_list: VoterListState
    reports: tuple[Report, ...]


class HeartbeatRound(NamedTuple):
    """A heartbeat and the members to send it to."""

    targets: tuple[Member, ...]
    heartbeat: Heartbeat


@dataclass(slots=True)
class _MemberRecord:
    """Another instance's reported status and the evidence for its liveness.

    `last_alive_ms` is the time of the latest message from the instance, received here or by a peer.
    `unanswered_since_ms` is the time of the first unanswered heartbeat since then, or infinity.
    """

    member: Member
    last_alive_ms: float
    unanswered_since_ms: float = math.inf
    is_suspect: bool = False
    is_listed: bool = False


class PauseDetector:
    """Detects pauses of this process by gaps in its monotonic clock."""

    def __init__(self, now_ms: float, gap_ms: float = 500.0) -> None:
        self._last_ms = now_ms
        self._gap_ms = gap_ms

    def observe(self, now_ms: float) -> float:
        """Return how long the process was paused since the last call, in ms; 0 if it was not.

        Call it at least every 100 ms, and before any operation that a pause makes unsafe.
        """
        gap_ms = now_ms - self._last_ms
        self._last_ms = now_ms
        return gap_ms if gap_ms > self._gap_ms else 0.0


class Membership:
    """One instance's view of the others; times are in ms of its own monotonic clock.

    With more peers than the fan-out, an instance rarely receives a message from a given peer.
    Silence therefore counts against a member only from an unanswered heartbeat on, and reports
    spread the suspicion to other instances. Of two reports on the same incarnation, the one with
    the newer evidence wins. A newer incarnation replaces an older one, and within an incarnation a
    state never goes back to an earlier one.
    """

    def __init__(
        self,
        own: Member,
        random: RandomSource,
        now_ms: float,
        parameters: MembershipParameters | None = None,
    ) -> None:
        self._own = own
        self._random = random
        self._parameters = parameters or MembershipParameters()
        self._records: dict[str, _MemberRecord] = {}
        self._remaining_sends: dict[str, int] = {}
        self._voter_list = VoterListState(0, -1, False)
        self._next_heartbeat_ms = now_ms
        self._is_superseded = False
        self._version = 0

    @property
    def version(self) -> int:
        """Return a counter that increases with each change of the view other than of a load."""
        return self._version

    @property
    def own(self) -> Member:
        """Return this instance's own status."""
        return self._own

    @property
    def is_superseded(self) -> bool:
        """Return whether a newer incarnation has this instance's name; this one must then stop."""
        return self._is_superseded

    def set_address(self, peer_address: str, http_address: str) -> None:
        """Set the addresses of this instance, which are known only after it listens."""
        self._own = self._own._replace(peer_address=peer_address, http_address=http_address)

    def set_own_status(
        self, state: MemberState, config_revision: int, load: float, voter_list: VoterListState
    ) -> None:
        """Set the status to send; a new state or revision makes the next heartbeat due at once."""
        if (state, config_revision) != (self._own.state, self._own.config_revision):
            self._next_heartbeat_ms = -math.inf
            self._version += 1
        self._own = self._own._replace(state=state, config_revision=config_revision, load=load)
        self._voter_list = voter_list

    def tick(self, now_ms: float) -> HeartbeatRound | None:
        """Return the heartbeat round if one is due; mark suspects and remove expired members."""
        self._mark_suspects(now_ms)
        self._remove_expired(now_ms)
        if now_ms < self._next_heartbeat_ms:
            return None
        self._next_heartbeat_ms = now_ms + self._parameters.heartbeat_ms
        targets = self._choose_targets()
        for record in targets:
            record.unanswered_since_ms = min(record.unanswered_since_ms, now_ms)
        return HeartbeatRound(
            tuple(record.member for record in targets), self.build_heartbeat(now_ms)
        )

    def build_heartbeat(self, now_ms: float) -> Heartbeat:
        """Return a heartbeat, or an answer to one, with the changes sent least often so far."""
        pending_names = sorted(self._remaining_sends, key=lambda name: -self._remaining_sends[name])
        chosen = pending_names[: self._parameters.max_reports]
        for name in chosen:
            self._remaining_sends[name] -= 1
            if self._remaining_sends[name] <= 0:
                del self._remaining_sends[name]
        reports = tuple(self._build_report(self._records[name], now_ms) for name in chosen)
        return Heartbeat(self._own, self._voter_list, reports)

    def list_reports(self, now_ms: float) -> tuple[Report, ...]:
        """Return a report on every member, for an instance that has recently started."""
        reportable = [
            record for record in self._records.values() if record.last_alive_ms > -math.inf
        ]
        return tuple(self._build_report(record, now_ms) for record in reportable)

    def receive(self, heartbeat: Heartbeat, now_ms: float) -> None:
        """Apply a heartbeat or the answer to one; both are evidence that the sender is alive."""
        for report in (Report(heartbeat.sender, 0.0), *heartbeat.reports):
            self._merge_report(report, now_ms)

    def merge_view(self, reports: Iterable[Report], now_ms: float) -> None:
        """Merge the whole view of a peer after a start, without sending it on as changes."""
        remaining_sends = dict(self._remaining_sends)
        for report in reports:
            self._merge_report(report, now_ms)
        self._remaining_sends = remaining_sends

    def record_refused_connection(self, name: str, now_ms: float) -> None:
        """Record that member `name` refused a connection, like an unanswered heartbeat."""
        record = self._records.get(name)
        if record:
            record.unanswered_since_ms = min(record.unanswered_since_ms, now_ms)

    def apply_instance_list(self, listed: Iterable[ListedInstance]) -> None:
        """Apply the instance list, which lags: it adds names but is no evidence of liveness."""
        entries = {entry.name: entry for entry in listed if entry.name != self._own.name}
        for record in self._records.values():
            record.is_listed = record.member.name in entries
        for name, entry in entries.items():
            if name not in self._records:
                state = MemberState.LEAVING if entry.is_leaving else MemberState.LIVE
                member = Member(
                    name,
                    -1,
                    entry.failure_domain,
                    entry.peer_address,
                    entry.http_address,
                    state,
                    0,
                    0.0,
                )
                self._records[name] = _MemberRecord(
                    member, -math.inf, is_suspect=True, is_listed=True
                )

    def compensate_for_pause(self, pause_ms: float) -> None:
        """Exclude a pause of this process, in which it received no messages, from the evidence."""
        for record in self._records.values():
            record.last_alive_ms += pause_ms
            if not record.is_suspect:
                record.unanswered_since_ms = math.inf

    def find_member(self, name: str) -> Member | None:
        """Return another instance by its name, None if it is not known."""
        record = self._records.get(name)
        return self._to_member(record) if record else None

    def list_members(self) -> tuple[Member, ...]:
        """Return all other instances sorted by name; unusable ones have the state `suspect`."""
        return tuple(self._to_member(self._records[name]) for name in sorted(self._records))

    def list_usable(self, failure_domain: str = "") -> tuple[Member, ...]:
        """Return the live instances, including this one, of `failure_domain` if it is given."""
        return tuple(
            member
            for member in (self._own, *self.list_members())
            if member.state == MemberState.LIVE and failure_domain in ("", member.failure_domain)
        )

    def _merge_report(self, report: Report, now_ms: float) -> None:
        member, evidence_ms = report.member, now_ms - report.age_ms
        if member.name == self._own.name:
            self._is_superseded = self._is_superseded or member.incarnation > self._own.incarnation
            return
        record = self._records.get(member.name)
        if record is None or member.incarnation > record.member.incarnation:
            self._replace_record(record, report, evidence_ms)
        elif member.incarnation == record.member.incarnation:
            self._update_record(record, member, evidence_ms)

    def _replace_record(
        self, record: _MemberRecord | None, report: Report, evidence_ms: float
    ) -> None:
        # This instance may have removed the suspect before; a report must not add it again.
        if report.member.state == MemberState.SUSPECT:
            return
        is_listed = record is not None and record.is_listed
        self._records[report.member.name] = _MemberRecord(
            report.member, evidence_ms, is_listed=is_listed
        )
        self._schedule_report(report.member.name)

    def _update_record(self, record: _MemberRecord, member: Member, evidence_ms: float) -> None:
        if member.state == MemberState.SUSPECT:
            self._apply_suspicion(record, evidence_ms)
        elif evidence_ms > record.last_alive_ms:
            self._apply_liveness(record, member, evidence_ms)
        self._advance_state(record, member)

    def _apply_suspicion(self, record: _MemberRecord, evidence_ms: float) -> None:
        name = record.member.name
        if evidence_ms <= record.last_alive_ms:
            if not record.is_suspect:
                # The reporter and its receivers have older evidence; this report corrects them.
                self._schedule_report(name)
        elif not record.is_suspect:
            record.is_suspect, record.unanswered_since_ms = True, evidence_ms
            self._schedule_report(name)

    def _apply_liveness(self, record: _MemberRecord, member: Member, evidence_ms: float) -> None:
        record.last_alive_ms = evidence_ms
        record.member = record.member._replace(load=member.load)
        if evidence_ms < record.unanswered_since_ms < math.inf:
            return
        record.unanswered_since_ms = math.inf
        if record.is_suspect:
            record.is_suspect = False
            self._schedule_report(member.name)

    def _advance_state(self, record: _MemberRecord, member: Member) -> None:
        """Apply the later of two states of one incarnation, as messages may be reordered."""
        previous = record.member
        revision = max(previous.config_revision, member.config_revision)
        if revision != previous.config_revision:
            record.member = previous._replace(config_revision=revision)
            self._version += 1
        if _STATE_RANK.get(member.state, -1) > _STATE_RANK[previous.state]:
            record.member = record.member._replace(state=member.state)
            self._schedule_report(member.name)

    def _mark_suspects(self, now_ms: float) -> None:
        for name, record in self._records.items():
            if record.is_suspect or record.unanswered_since_ms == math.inf:
                continue
            previous_round_ms = record.unanswered_since_ms - self._parameters.heartbeat_ms
            if now_ms - max(record.last_alive_ms, previous_round_ms) >= self._parameters.suspect_ms:
                record.is_suspect = True
                self._schedule_report(name)

    def _remove_expired(self, now_ms: float) -> None:
        expired = [
            name
            for name, record in self._records.items()
            if record.is_suspect
            and not record.is_listed
            and now_ms - self._find_newest_evidence(record) >= self._parameters.removal_ms
        ]
        for name in expired:
            self._version += 1
            del self._records[name]
            self._remaining_sends.pop(name, None)

    def _choose_targets(self) -> list[_MemberRecord]:
        records = [self._records[name] for name in sorted(self._records)]
        fanout = self._parameters.fanout
        if len(records) <= fanout:
            return records
        # Members with an unanswered heartbeat come first, so that one late answer does not make
        # the member a suspect.
        unanswered = [r for r in records if r.unanswered_since_ms < math.inf and not r.is_suspect]
        chosen = self._sample(unanswered, fanout // 2)
        chosen_names = {record.member.name for record in chosen}
        rest = [record for record in records if record.member.name not in chosen_names]
        domain = self._own.failure_domain
        local = [record for record in rest if record.member.failure_domain == domain]
        remote = [record for record in rest if record.member.failure_domain != domain]
        remaining = fanout - len(chosen)
        remote_count = min(len(remote), fanout - self._parameters.fanout_same_domain, remaining)
        chosen += self._sample(local, remaining - remote_count)
        return chosen + self._sample(remote, fanout - len(chosen))

    def _sample(self, records: list[_MemberRecord], size: int) -> list[_MemberRecord]:
        return self._random.sample(records, min(size, len(records)))

    def _schedule_report(self, name: str) -> None:
        self._version += 1
        self._remaining_sends[name] = self._parameters.sends_per_report

    def _find_newest_evidence(self, record: _MemberRecord) -> float:
        if record.is_suspect and record.unanswered_since_ms < math.inf:
            return max(record.last_alive_ms, record.unanswered_since_ms)
        return record.last_alive_ms

    def _build_report(self, record: _MemberRecord, now_ms: float) -> Report:
        return Report(self._to_member(record), now_ms - self._find_newest_evidence(record))

    def _to_member(self, record: _MemberRecord) -> Member:
        if not record.is_suspect:
            return record.member
        return record.member._replace(state=MemberState.SUSPECT)
