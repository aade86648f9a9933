"""Writes the steps of roll-outs and the counts of this instance to the store."""

from .adapters.counts import Counts
from .adapters.eventlog import Event, EventLog
from .clock import Clock
from .policy.rollout import Decision, RolloutRecord, RolloutState, RolloutStatus, Step
from .rolloutstate import (
    RECORD_PREFIX,
    CountsReport,
    RolloutCodec,
    RolloutRun,
    SharedRollout,
    encode_record,
    encode_report,
    make_counts_key,
)
from .statestore import (
    MAX_TRANSACTION_ENTRIES,
    Committed,
    Conflict,
    Precondition,
    StateStore,
    StoreFailure,
    StoreWrite,
)

# Pause after a write that failed, and after one that took effect or conflicted: the watch then
# delivers the new state, on instances that are fed by others within about two seconds.
RETRY_MS = 500.0
SETTLE_MS = 2_000.0
# The steps that end a roll-out.
_END_STATES = {Step.SUCCEED: RolloutState.SUCCEEDED, Step.ROLL_BACK: RolloutState.ROLLED_BACK}


class RolloutWriter:
    """Writes steps under the condition that their keys are unchanged, and counts without one."""

    def __init__(
        self,
        name: str,
        clock: Clock,
        store: StateStore,
        codec: RolloutCodec,
        log: EventLog,
        counts: Counts,
    ) -> None:
        self._name = name
        self._clock = clock
        self._store = store
        self._codec = codec
        self._log = log
        self._counts = counts

    async def write_step(
        self, run: RolloutRun, shared: SharedRollout, decision: Decision, span: int
    ) -> None:
        """Write a step, if neither the order nor the state has changed since it was planned.

        `span` is the current span of time, up to which the calls are summed for the log.
        """
        service = run.order.service
        is_end = decision.step in _END_STATES
        preconditions = [
            Precondition(self._codec.make_order_key(service), shared.order_revision),
            Precondition(self._codec.make_status_key(service), shared.status_revision),
        ]
        if not is_end:
            preconditions.append(Precondition(RECORD_PREFIX + service, shared.record_revision))
        writes = self._make_writes(run, decision.step)
        deletes = self._list_counts_keys(service, shared) if is_end else []
        first = deletes[: MAX_TRANSACTION_ENTRIES - len(preconditions) - len(writes)]
        # Summed before the write: a change that ends the roll-out clears the reports of others, and
        # may be received before the answer.
        total = run.rollout.merge_tallies(span).sum()
        result = await self._store.commit(tuple(preconditions), tuple(writes), tuple(first))
        is_failure = isinstance(result, StoreFailure)
        held_ms = RETRY_MS if is_failure else SETTLE_MS
        run.held_until_ms[decision.step] = self._clock.now_ms() + held_ms
        self._log.write(
            Event.ROLLOUT_WRITTEN,
            "rollouts",
            service=service,
            target_version=run.order.target_version,
            step=decision.step.value,
            reason=decision.reason,
            result=result.reason if is_failure else type(result).__name__.lower(),
            **total._asdict(),
        )
        if isinstance(result, Conflict):
            self._counts.add("rollouts", "conflict")
        elif isinstance(result, Committed):
            await self._delete_counts(deletes[len(first) :])

    async def write_report(self, run: RolloutRun) -> None:
        """Write the counts of this instance; after a failure they are due again."""
        order = run.order
        report = CountsReport(order.target_version, order.duration_ms, run.rollout.tally)
        key = make_counts_key(self._name, order.service)
        result = await self._store.commit((), (StoreWrite(key, encode_report(report)),))
        if isinstance(result, StoreFailure):
            run.reported_calls = run.reported_bad = 0

    def _make_writes(self, run: RolloutRun, step: Step) -> list[StoreWrite]:
        rollout = run.rollout
        service = run.order.service
        writes: list[StoreWrite] = []
        if step is not Step.MOVE:
            state = _END_STATES.get(step, rollout.state or RolloutState.RUNNING)
            status = RolloutStatus(state, run.order.target_version)
            status_key = self._codec.make_status_key(service)
            writes.append(StoreWrite(status_key, self._codec.encode_status(status)))
        if step not in _END_STATES:
            record = RolloutRecord(
                run.order.target_version,
                run.order.duration_ms,
                run.started_ms,
                rollout.is_moving or step is Step.MOVE,
                tuple(sorted(rollout.other_versions)),
                tuple(sorted(rollout.barred_versions)),
            )
            writes.append(StoreWrite(RECORD_PREFIX + service, encode_record(record)))
        return writes

    def _list_counts_keys(self, service: str, shared: SharedRollout) -> list[str]:
        return [make_counts_key(name, service) for name in sorted({self._name, *shared.reports})]

    async def _delete_counts(self, keys: list[str]) -> None:
        """Delete counts of a roll-out that has ended; keys that remain do no harm."""
        for first in range(0, len(keys), MAX_TRANSACTION_ENTRIES):
            await self._store.commit((), (), tuple(keys[first : first + MAX_TRANSACTION_ENTRIES]))
