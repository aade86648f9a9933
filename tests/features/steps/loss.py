"""Steps for the sudden loss of instances and failure domains."""

import time
from signal import SIGCONT, SIGSTOP

from behave import step, then, when

MAX_RECOVERY_S = 5.0


@when('"{names}" are killed at once')
def kill_all(context, names):
    context.lost = set(names.split(","))
    context.loss_s = time.monotonic()
    for name in context.lost:
        context.cluster.kill(name)


@step('"{names}" are frozen')
def freeze(context, names):
    context.frozen = names.split(",")
    context.lost = getattr(context, "lost", set()) | set(context.frozen)
    context.loss_s = time.monotonic()
    for name in context.frozen:
        context.cluster.signal(name, SIGSTOP)


@step("the frozen ones resume")
def resume(context):
    for name in context.frozen:
        context.cluster.signal(name, SIGCONT)


@step('"{names}" start again')
def start_again(context, names):
    for name in names.split(","):
        context.cluster.start_entry(name)


@then("no query through a surviving instance failed")
def check_no_failure(context):
    records = [r for r in context.records if r.entry not in context.lost]
    failed = [r for r in records if r.status != 200]
    partial = [r for r in records if r.status == 200 and not r.is_complete]
    last_s = max([0.0, *(r.start_s - context.loss_s for r in partial)])
    print(f"{len(records)} through survivors, {len(partial)} partial, the last at {last_s:.1f} s")
    assert records and not failed, (len(records), len(failed), failed[:3])


@then("after 5 s every answer through a surviving instance was complete")
def check_recovery(context):
    late_records = [
        r
        for r in context.records
        if r.entry not in context.lost and r.start_s > context.loss_s + MAX_RECOVERY_S
    ]
    partial = [r for r in late_records if not r.is_complete]
    assert late_records and not partial, (len(late_records), len(partial), partial[:3])
