"""Which instances exist and can be used, from heartbeats, peers' reports and the instance list."""

import math
from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

from ..models import ListedInstance, Member, MemberState
from ..randomness import RandomSource

_STATE_ORDER = {MemberState.STARTING: 0, MemberState.LIVE: 1, MemberState.LEAVING: 2}


class MembershipParameters(NamedTuple):
    """Times in ms and sizes; `reports` is per heartbeat, `report_sends` per change."""

    heartbeat_ms: float = 1_000.0
    suspect_ms: float = 2_500.0
    removal_ms: float = 10_000.0
    fanout: int = 8
    fanout_same_domain: int = 6
    reports: int = 8
    report_sends: int = 32


class Report(NamedTuple):
    """What the sender holds of another instance; `age_ms` is the age of the evidence for that.

    If the state is `suspect`, the evidence is the first heartbeat that stayed unanswered, otherwise
    the last sign of life.
    """

    member: Member
    age_ms: float


class VoterListState(NamedTuple):
    """What a voter of a failure domain says of the voter list it goes by."""

    revision: int
    settled_revision: int
    is_confirmed: bool


class Heartbeat(NamedTuple):
    """What an instance says of itself, and recent changes of others; its answer has this form."""

    sender: Member
    voter_list: VoterListState
    reports: tuple[Report, ...]


class HeartbeatRound(NamedTuple):
    """One heartbeat and the members to send it to."""

    targets: tuple[Member, ...]
    heartbeat: Heartbeat


@dataclass(slots=True)
class _Record:
    """One other instance: what it said of itself, and the evidence.

    `heard_ms` is the time of the last sign of life, `missed_ms` that of the first heartbeat sent
    since then that is unanswered, or infinity.
    """

    member: Member
    heard_ms: float
    missed_ms: float = math.inf
    is_suspect: bool = False
    is_listed: bool = False


class PauseDetector:
    """Finds pauses of this process by gaps in its monotonic clock."""

    def __init__(self, now_ms: float, gap_ms: float = 500.0) -> None:
        self._last_ms = now_ms
        self._gap_ms = gap_ms

    def observe(self, now_ms: float) -> float:
        """Return how long the process was paused since the last call, in ms; 0 if it was not.

        Called every 100 ms or more often, and before anything that a pause makes unsafe.
        """
        gap_ms = now_ms - self._last_ms
        self._last_ms = now_ms
        return gap_ms if gap_ms > self._gap_ms else 0.0


class Membership:
    """One instance's view of the others; times are its own monotonic ms.

    With more peers than the fan-out, an instance seldom hears from a given other one. So silence
    counts against a member only from a heartbeat to it that stayed unanswered, and what one
    instance finds out this way spreads in reports. Of two reports about the same run of an instance
    the one with the newer evidence wins, as do a new incarnation and, in one run, the later state.
    """

    def __init__(
        self,
        own: Member,
        random: RandomSource,
        now_ms: float,
        terms: MembershipParameters | None = None,
    ) -> None:
        self._own = own
        self._random = random
        self._terms = terms or MembershipParameters()
        self._records: dict[str, _Record] = {}
        self._sends_left: dict[str, int] = {}
        self._voter_list = VoterListState(0, -1, False)
        self._next_ms = now_ms
        self._is_superseded = False
        self._version = 0

    @property
    def version(self) -> int:
        """Return a number that changes with every change of the view but that of a load."""
        return self._version

    @property
    def own(self) -> Member:
        """Return what this instance says of itself."""
        return self._own

    @property
    def is_superseded(self) -> bool:
        """Return whether a newer run of this instance's name exists; this one must stop."""
        return self._is_superseded

    def set_address(self, peer_address: str, http_address: str) -> None:
        """Set where this instance listens, known only once it does."""
        self._own = self._own._replace(peer_address=peer_address, http_address=http_address)

    def set_own_status(
        self, state: MemberState, config_revision: int, load: float, voter_list: VoterListState
    ) -> None:
        """Set what heartbeats say; a new state or revision makes the next one due at once."""
        if (state, config_revision) != (self._own.state, self._own.config_revision):
            self._next_ms = -math.inf
            self._version += 1
        self._own = self._own._replace(state=state, config_revision=config_revision, load=load)
        self._voter_list = voter_list

    def tick(self, now_ms: float) -> HeartbeatRound | None:
        """Return the heartbeat round if one is due; also find suspects and remove the gone."""
        self._find_suspects(now_ms)
        self._remove_gone(now_ms)
        if now_ms < self._next_ms:
            return None
        self._next_ms = now_ms + self._terms.heartbeat_ms
        targets = self._choose_targets()
        for record in targets:
            record.missed_ms = min(record.missed_ms, now_ms)
        return HeartbeatRound(
            tuple(record.member for record in targets), self.build_heartbeat(now_ms)
        )

    def build_heartbeat(self, now_ms: float) -> Heartbeat:
        """Return a heartbeat or answer with the changes that have been sent the least often."""
        names = sorted(self._sends_left, key=lambda name: -self._sends_left[name])
        chosen = names[: self._terms.reports]
        for name in chosen:
            self._sends_left[name] -= 1
            if self._sends_left[name] <= 0:
                del self._sends_left[name]
        reports = tuple(self._report(self._records[name], now_ms) for name in chosen)
        return Heartbeat(self._own, self._voter_list, reports)

    def list_reports(self, now_ms: float) -> tuple[Report, ...]:
        """Return the whole view, for an instance that has just started."""
        heard = [record for record in self._records.values() if record.heard_ms > -math.inf]
        return tuple(self._report(record, now_ms) for record in heard)

    def receive(self, heartbeat: Heartbeat, now_ms: float) -> None:
        """Take in a heartbeat or the answer to one; both are evidence for the sender."""
        for report in (Report(heartbeat.sender, 0.0), *heartbeat.reports):
            self._merge(report, now_ms)

    def merge_view(self, reports: Iterable[Report], now_ms: float) -> None:
        """Take in the whole view of a peer after a start, without spreading it as changes."""
        waiting = dict(self._sends_left)
        for report in reports:
            self._merge(report, now_ms)
        self._sends_left = waiting

    def record_refused_connection(self, name: str, now_ms: float) -> None:
        """Take a refused connection as evidence against `name`."""
        record = self._records.get(name)
        if record:
            record.missed_ms = min(record.missed_ms, now_ms)

    def apply_instance_list(self, listed: Iterable[ListedInstance]) -> None:
        """Take in the instance list, which lags: it names instances but is no evidence for them."""
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
                self._records[name] = _Record(member, -math.inf, is_suspect=True, is_listed=True)

    def compensate_for_pause(self, pause_ms: float) -> None:
        """Allow for a pause of this process, in which it could hear from nobody."""
        for record in self._records.values():
            record.heard_ms += pause_ms
            if not record.is_suspect:
                record.missed_ms = math.inf

    def find_member(self, name: str) -> Member | None:
        """Return another instance by its name, or None if it is not known."""
        record = self._records.get(name)
        return self._show(record) if record else None

    def list_members(self) -> tuple[Member, ...]:
        """Return all other instances by name; the state of those not to be used is `suspect`."""
        return tuple(self._show(self._records[name]) for name in sorted(self._records))

    def list_usable(self, failure_domain: str = "") -> tuple[Member, ...]:
        """Return the live instances, of one failure domain if given, this one included."""
        return tuple(
            member
            for member in (self._own, *self.list_members())
            if member.state == MemberState.LIVE and failure_domain in ("", member.failure_domain)
        )

    def _merge(self, report: Report, now_ms: float) -> None:
        member, evidence_ms = report.member, now_ms - report.age_ms
        if member.name == self._own.name:
            self._is_superseded = self._is_superseded or member.incarnation > self._own.incarnation
            return
        record = self._records.get(member.name)
        if record is None or member.incarnation > record.member.incarnation:
            self._replace(record, report, evidence_ms)
        elif member.incarnation == record.member.incarnation:
            self._update(record, member, evidence_ms)

    def _replace(self, record: _Record | None, report: Report, evidence_ms: float) -> None:
        # A suspect that is unknown here may have been removed here; a report must not restore it.
        if report.member.state == MemberState.SUSPECT:
            return
        is_listed = record is not None and record.is_listed
        self._records[report.member.name] = _Record(report.member, evidence_ms, is_listed=is_listed)
        self._spread(report.member.name)

    def _update(self, record: _Record, member: Member, evidence_ms: float) -> None:
        if member.state == MemberState.SUSPECT:
            self._update_missed(record, evidence_ms)
        elif evidence_ms > record.heard_ms:
            self._update_heard(record, member, evidence_ms)
        self._raise_state(record, member)

    def _update_missed(self, record: _Record, evidence_ms: float) -> None:
        name = record.member.name
        if evidence_ms <= record.heard_ms:
            if not record.is_suspect:
                # The reporter and those it told are wrong; they learn so from newer evidence.
                self._spread(name)
        elif not record.is_suspect:
            record.is_suspect, record.missed_ms = True, evidence_ms
            self._spread(name)

    def _update_heard(self, record: _Record, member: Member, evidence_ms: float) -> None:
        record.heard_ms = evidence_ms
        record.member = record.member._replace(load=member.load)
        if evidence_ms < record.missed_ms < math.inf:
            return
        record.missed_ms = math.inf
        if record.is_suspect:
            record.is_suspect = False
            self._spread(member.name)

    def _raise_state(self, record: _Record, member: Member) -> None:
        """Take the later of two states of one run, as messages may cross."""
        old = record.member
        revision = max(old.config_revision, member.config_revision)
        if revision != old.config_revision:
            record.member = old._replace(config_revision=revision)
            self._version += 1
        if _STATE_ORDER.get(member.state, -1) > _STATE_ORDER[old.state]:
            record.member = record.member._replace(state=member.state)
            self._spread(member.name)

    def _find_suspects(self, now_ms: float) -> None:
        for name, record in self._records.items():
            if record.is_suspect or record.missed_ms == math.inf:
                continue
            asked_ms = record.missed_ms - self._terms.heartbeat_ms
            if now_ms - max(record.heard_ms, asked_ms) >= self._terms.suspect_ms:
                record.is_suspect = True
                self._spread(name)

    def _remove_gone(self, now_ms: float) -> None:
        gone = [
            name
            for name, record in self._records.items()
            if record.is_suspect
            and not record.is_listed
            and now_ms - self._find_newest_evidence(record) >= self._terms.removal_ms
        ]
        for name in gone:
            self._version += 1
            del self._records[name]
            self._sends_left.pop(name, None)

    def _choose_targets(self) -> list[_Record]:
        records = [self._records[name] for name in sorted(self._records)]
        fanout = self._terms.fanout
        if len(records) <= fanout:
            return records
        # Members that have not answered come first, so that one late answer makes no suspect.
        doubtful = [r for r in records if r.missed_ms < math.inf and not r.is_suspect]
        chosen = self._sample(doubtful, fanout // 2)
        names = {record.member.name for record in chosen}
        rest = [record for record in records if record.member.name not in names]
        domain = self._own.failure_domain
        near = [record for record in rest if record.member.failure_domain == domain]
        far = [record for record in rest if record.member.failure_domain != domain]
        room = fanout - len(chosen)
        far_room = min(len(far), fanout - self._terms.fanout_same_domain, room)
        chosen += self._sample(near, room - far_room)
        return chosen + self._sample(far, fanout - len(chosen))

    def _sample(self, records: list[_Record], size: int) -> list[_Record]:
        return self._random.sample(records, min(size, len(records)))

    def _spread(self, name: str) -> None:
        self._version += 1
        self._sends_left[name] = self._terms.report_sends

    def _find_newest_evidence(self, record: _Record) -> float:
        if record.is_suspect and record.missed_ms < math.inf:
            return max(record.heard_ms, record.missed_ms)
        return record.heard_ms

    def _report(self, record: _Record, now_ms: float) -> Report:
        return Report(self._show(record), now_ms - self._find_newest_evidence(record))

    def _show(self, record: _Record) -> Member:
        if not record.is_suspect:
            return record.member
        return record.member._replace(state=MemberState.SUSPECT)
