"""Runs roll-outs: follows the orders, shares the counts of calls, and writes what is decided.

Every instance reads the counts of all and plans the same steps from them. The step is written by
the first instance in a ranking of all; the next ones follow after a pause if it does not. All
writes of steps are conditional, so of several only one takes effect. Without an order nothing is
written to the store.
"""

import asyncio
from collections.abc import Callable, Coroutine
from typing import NamedTuple

from .adapters.counts import Counts
from .adapters.eventlog import Event, EventLog
from .clock import Clock
from .policy.exposure import Exposure, ExposureLimits
from .policy.judgement import Finding
from .policy.rendezvous import rank_candidates
from .policy.rollout import (
    Capacity,
    Decision,
    Progress,
    Rollout,
    RolloutOrder,
    Step,
)
from .policy.versions import RolloutRouting
from .rolloutstate import (
    COUNTS_PREFIX,
    RECORD_PREFIX,
    InvalidOrder,
    RolloutCodec,
    RolloutRun,
    SharedRollout,
    decode_record,
    decode_report,
    split_counts_key,
)
from .rolloutwrites import RolloutWriter
from .sharedstate import ItemHandler, SharedState
from .statestore import StateStore, StoreItem

# Interval at which running roll-outs are judged.
REVIEW_INTERVAL_MS = 250.0
# Delay for each rank before an instance writes a step that is due: those ranked higher write first.
TAKEOVER_MS = 500.0
# The same for a roll-back, which is urgent; an instance may also be the only one to know the fault.
ROLL_BACK_TAKEOVER_MS = 150.0
# Minimum interval of an instance's reports of its counts after bad calls, after others, and the
# addition to the latter for each instance, which bounds the rate of writes of all together.
MIN_BAD_REPORT_MS = 500.0
MIN_REPORT_MS = 2_000.0
REPORT_MS_PER_INSTANCE = 100.0
# How long an order that was removed stays in force. After a restore from a copy without the order,
# the operator writes it again within this time.
WITHDRAWAL_MS = 10_000.0


class RolloutSettings(NamedTuple):
    """The instance's name and failure domain, and the bounds of calls to a bad version."""

    name: str
    domain: str
    exposure: ExposureLimits


class RolloutRunner(ItemHandler):
    """Follows the orders in the store and runs the roll-outs of this instance."""

    def __init__(
        self,
        settings: RolloutSettings,
        clock: Clock,
        store: StateStore,
        codec: RolloutCodec,
        state: SharedState,
        log: EventLog,
        counts: Counts,
        get_share: Callable[[], float],
    ) -> None:
        """`get_share` returns this instance's share, from 0 to 1, of limits over all instances."""
        self.routing = RolloutRouting(settings.domain)
        self._settings = settings
        self._clock = clock
        self._store = store
        self._codec = codec
        self._state = state
        self._log = log
        self._counts = counts
        self._get_share = get_share
        self._shared: dict[str, SharedRollout] = {}
        self._runs: dict[str, RolloutRun] = {}
        self._has_work = asyncio.Event()
        self._writer = RolloutWriter(settings.name, clock, store, codec, log, counts)
        self._writes: dict[tuple[str, str], asyncio.Task] = {}
        # The timers that end the effect of refused orders that were removed, by service.
        self._releases: dict[str, asyncio.TimerHandle] = {}

    @property
    def running(self) -> int:
        """Return the number of roll-outs that have not ended."""
        return sum(run.rollout.is_running for run in self._runs.values())

    @property
    def target_calls(self) -> int:
        """Return this instance's calls to the target versions of all roll-outs."""
        return sum(run.rollout.exposure.sent for run in self._runs.values())

    def set_limits(self, limits: ExposureLimits) -> None:
        """Set the bounds of calls for the roll-outs that start from now on."""
        self._settings = self._settings._replace(exposure=limits)

    def apply(self, item: StoreItem) -> bool:
        """Apply a change of a key of roll-outs; return False for any other key."""
        if (service := self._codec.find_order_service(item.key)) is not None:
            self._apply_order(service, item)
        elif (service := self._codec.find_status_service(item.key)) is not None:
            shared = self._ensure_shared(service)
            shared.status = self._codec.decode_status(item.value) if item.value else None
            shared.status_revision = item.revision if item.value is not None else 0
        elif item.key.startswith(RECORD_PREFIX):
            service = item.key[len(RECORD_PREFIX) :]
            shared = self._ensure_shared(service)
            shared.record = decode_record(item.value) if item.value else None
            shared.record_revision = item.revision if item.value is not None else 0
        elif item.key.startswith(COUNTS_PREFIX):
            instance, service = split_counts_key(item.key)
            self._apply_report(instance, service, item.value)
        else:
            return False
        self._follow_order(service)
        return True

    async def run(self) -> None:
        """Judge the running roll-outs and write what is due, until cancelled."""
        try:
            while True:
                await self._has_work.wait()
                self._review()
                await asyncio.sleep(REVIEW_INTERVAL_MS / 1_000)
        finally:
            for write in self._writes.values():
                write.cancel()

    def _ensure_shared(self, service: str) -> SharedRollout:
        return self._shared.setdefault(service, SharedRollout())

    def _apply_order(self, service: str, item: StoreItem) -> None:
        shared = self._ensure_shared(service)
        run = self._runs.get(service)
        if (release := self._releases.pop(service, None)) is not None:
            release.cancel()
        if item.value is None:
            shared.order_revision = 0
            if run is not None:
                run.withdrawn_ms = self._clock.now_ms()
            if service in self.routing.barred:
                self._releases[service] = asyncio.get_running_loop().call_later(
                    WITHDRAWAL_MS / 1_000, self.routing.barred.pop, service, None
                )
            return
        order = self._codec.decode_order(service, item.value)
        if isinstance(order, InvalidOrder):
            if shared.order_revision:
                # The steps of the order in force are still written, on condition of this revision.
                shared.order_revision = item.revision
            self._refuse_order(service, order)
            return
        self.routing.barred.pop(service, None)
        shared.order = order
        shared.order_revision = item.revision
        if run is not None:
            run.withdrawn_ms = None

    def _refuse_order(self, service: str, order: InvalidOrder) -> None:
        """Log an order that cannot be followed; the one before it stays in force.

        A new version that it names gets no calls, since no roll-out would limit or judge them.
        """
        run = self._runs.get(service)
        known = (
            {run.order.target_version, *run.rollout.other_versions} if run is not None else set()
        )
        if order.target_version is not None and order.target_version not in known:
            self.routing.barred[service] = order.target_version
        self._counts.add("rollouts", "refused")
        self._log.write(
            Event.ROLLOUT_REFUSED,
            "rollouts",
            service=service,
            target_version=order.target_version,
            reason=order.reason,
        )

    def _apply_report(self, instance: str, service: str, value: bytes | None) -> None:
        report = decode_report(value) if value is not None else None
        if report is not None and instance != self._settings.name:
            self._ensure_shared(service).reports[instance] = report

    def _follow_order(self, service: str) -> None:
        """Start the roll-out of a new order, and apply what the store holds about it."""
        shared = self._shared[service]
        if shared.order is None:
            return
        run = self._runs.get(service)
        if run is None or run.order != shared.order:
            run = self._start_run(shared.order)
        self._apply_progress(run, shared)
        run.rollout.set_peer_tallies(shared.list_tallies(run.order))
        self._has_work.set()

    def _start_run(self, order: RolloutOrder) -> RolloutRun:
        now_ms = self._clock.now_ms()
        # An instance that restarts during a roll-out may have used its part of the slack already.
        is_seen_live = self._state.revision > 0
        slack_share = self._get_share() if is_seen_live else 0.0
        names = self._list_ranked(order.service)
        # Different on each instance, so that bounds below one call don't all round the same way.
        rounding = (names.index(self._settings.name) + 0.5) / len(names)
        rollout = Rollout(order, Exposure(self._settings.exposure, slack_share, rounding))
        # Calls to the version before its order was read count against the bound.
        rollout.exposure.sent = self.routing.count_recent(
            order.service, order.target_version, now_ms
        )
        previous = self._runs.get(order.service)
        if previous is not None:
            rollout.barred_versions = previous.rollout.list_barred() - {order.target_version}
        self._collect_versions(rollout)
        run = RolloutRun(rollout, now_ms, is_seen_live, self._clock.wall_ms())
        self._runs[order.service] = run
        self.routing.rollouts[order.service] = rollout
        self._counts.add("rollouts", "ordered")
        self._log.write(
            Event.ROLLOUT_ORDERED,
            "rollouts",
            service=order.service,
            target_version=order.target_version,
            duration_ms=order.duration_ms,
            other_versions=sorted(rollout.other_versions),
        )
        return run

    def _apply_progress(self, run: RolloutRun, shared: SharedRollout) -> None:
        """Apply the progress in the store, unless it is behind that of this instance."""
        rollout = run.rollout
        progress = shared.find_progress(run.order)
        if progress < rollout.progress or progress is Progress.ORDERED:
            return
        record = shared.record
        rollout.other_versions.update(record.other_versions)
        rollout.barred_versions.update(record.barred_versions)
        if not run.is_seen_live:
            run.started_ms = min(run.started_ms, record.started_ms)
        if record.is_moving and not rollout.is_moving:
            rollout.is_moving = True
            rollout.moved_after_ms = self._compute_elapsed_ms(run)
            self._log_progress(run, "moving")
        if shared.status.state is not rollout.state:
            rollout.state = shared.status.state
            self._log_progress(run, rollout.state.value)
        if progress is Progress.ENDED:
            shared.reports.clear()

    def _log_progress(self, run: RolloutRun, progress: str) -> None:
        self._counts.add("rollouts", progress)
        self._log.write(
            Event.ROLLOUT_CHANGED,
            "rollouts",
            service=run.order.service,
            target_version=run.order.target_version,
            progress=progress,
            after_ms=round(self._compute_elapsed_ms(run)),
            sent=run.rollout.exposure.sent,
            answered=run.rollout.exposure.answered,
        )

    def _review(self) -> None:
        """Judge all running roll-outs, and start the writes that are due."""
        now_ms = self._clock.now_ms()
        self.routing.set_time(self._clock.wall_ms())
        for service, run in list(self._runs.items()):
            if run.withdrawn_ms is not None and now_ms - run.withdrawn_ms >= WITHDRAWAL_MS:
                self._forget(service)
                continue
            try:
                self._review_run(run, now_ms)
            except Exception as error:
                self._log.write(
                    Event.INTERNAL_ERROR, "rollouts", reason=repr(error), service=service
                )
        if not any(self._needs_review(run) for run in self._runs.values()):
            self._has_work.clear()

    def _needs_review(self, run: RolloutRun) -> bool:
        progress = self._shared[run.order.service].find_progress(run.order)
        return (
            run.rollout.is_running
            or run.withdrawn_ms is not None
            or progress is not run.rollout.progress
        )

    def _forget(self, service: str) -> None:
        """End the roll-out whose order was removed; all upstreams of the service are used again."""
        del self._runs[service]
        del self.routing.rollouts[service]
        self._shared[service].order = None
        self._log.write(Event.ROLLOUT_CHANGED, "rollouts", service=service, progress="withdrawn")

    def _review_run(self, run: RolloutRun, now_ms: float) -> None:
        rollout = run.rollout
        elapsed_ms = self._compute_elapsed_ms(run)
        rollout.is_suspended = self._state.is_store_lost
        if rollout.is_suspended:
            rollout.resumed_after_ms = elapsed_ms
        rollout.elapsed_share = elapsed_ms / run.order.duration_ms
        finding = None
        if rollout.is_running:
            self._collect_versions(rollout)
            had_fault = rollout.has_fault
            finding = rollout.judge(self.routing.span)
            if rollout.has_fault and not had_fault:
                self._log_fault(run, finding)
            self._report_if_due(run, now_ms)
        shared = self._shared[run.order.service]
        if shared.find_progress(run.order) < rollout.progress:
            decision = Decision(Step.RESTORE, "the store lacks known progress")
        else:
            capacity = self._measure_capacity(rollout)
            decision = rollout.plan_step(elapsed_ms, self.routing.span, capacity, finding)
        self._write_if_due(run, decision, now_ms)

    def _log_fault(self, run: RolloutRun, finding: Finding) -> None:
        self._counts.add("rollouts", "fault_found")
        self._log.write(
            Event.ROLLOUT_FAULT_FOUND,
            "rollouts",
            service=run.order.service,
            target_version=run.order.target_version,
            scope=finding.scope,
            calls=finding.comparison.calls,
            bad=finding.comparison.bad,
            expected_bad=round(finding.comparison.expected, 1),
            score=round(finding.comparison.score, 1),
        )

    def _write_if_due(self, run: RolloutRun, decision: Decision, now_ms: float) -> None:
        """Start the write of a step, unless an instance that ranks higher is to write it first."""
        if decision.step is not run.due_step:
            run.due_step, run.due_since_ms = decision.step, now_ms
        shared = self._shared[run.order.service]
        if decision.step is Step.NONE or not shared.order_revision:
            return
        if self._state.revision == 0 or self._store.era != self._state.era:
            # The known revisions are those of an earlier era of the store.
            return
        rank = self._list_ranked(run.order.service).index(self._settings.name)
        takeover_ms = ROLL_BACK_TAKEOVER_MS if decision.step is Step.ROLL_BACK else TAKEOVER_MS
        if now_ms - run.due_since_ms < rank * takeover_ms:
            return
        if now_ms < run.held_until_ms.get(decision.step, 0.0):
            return
        write = self._writer.write_step(run, shared, decision, self.routing.span)
        self._start_write(run.order.service, decision.step.value, write)

    def _start_write(self, service: str, kind: str, write: Coroutine[None, None, None]) -> None:
        """Run a write in the background, unless one of its kind is in progress."""
        key = (service, kind)
        if key in self._writes:
            write.close()
            return
        task = asyncio.get_running_loop().create_task(write)
        self._writes[key] = task
        task.add_done_callback(lambda _: self._writes.pop(key, None))

    def _report_if_due(self, run: RolloutRun, now_ms: float) -> None:
        """Report this instance's counts if the target version got calls since the last report."""
        rollout = run.rollout
        if rollout.target_calls == run.reported_calls:
            return
        if rollout.target_bad > run.reported_bad:
            interval_ms = MIN_BAD_REPORT_MS
        else:
            count = len(self._state.members.list_names())
            interval_ms = MIN_REPORT_MS + REPORT_MS_PER_INSTANCE * count
        if now_ms - run.reported_ms < interval_ms:
            return
        run.reported_ms = now_ms
        run.reported_calls, run.reported_bad = rollout.target_calls, rollout.target_bad
        self._start_write(run.order.service, "report", self._writer.write_report(run))

    def _collect_versions(self, rollout: Rollout) -> None:
        order = rollout.order
        versions = self._state.registry.list_versions(order.service)
        rollout.other_versions.update(versions - {order.target_version} - rollout.barred_versions)

    def _measure_capacity(self, rollout: Rollout) -> Capacity:
        target_slots = other_slots = 0
        for upstream in self._state.registry.list_available(rollout.order.service):
            if upstream.version == rollout.order.target_version:
                target_slots += upstream.slots
            elif upstream.version not in rollout.barred_versions:
                other_slots += upstream.slots
        return Capacity(target_slots, other_slots)

    def _compute_elapsed_ms(self, run: RolloutRun) -> float:
        if run.is_seen_live:
            return self._clock.now_ms() - run.seen_ms
        return max(0.0, self._clock.wall_ms() - run.started_ms)

    def _list_ranked(self, service: str) -> tuple[str, ...]:
        """Return all instances in the order in which they write the steps of a roll-out."""
        return rank_candidates(service, {self._settings.name, *self._state.members.list_names()})
