"""Steps that change the configuration and observe its revision at every instance."""

import threading
import time
from signal import SIGCONT, SIGSTOP

from behave import given, step, then, when
from cluster import send

from citronpaddle.policy.changes import SetUpstreamOut

MAX_APPLY_S = 5.0


class RevisionMonitor:
    """Polls the revision of each instance in a thread, and records when it changes."""

    def __init__(self, cluster):
        self.observed = {name: [] for name in cluster.entries}
        self._stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(name, entry["http"]), daemon=True)
            for name, entry in cluster.entries.items()
        ]
        for thread in self._threads:
            thread.start()

    def stop(self):
        self._stopped.set()
        for thread in self._threads:
            thread.join(3)

    def _run(self, name, address):
        observed = self.observed[name]
        while not self._stopped.wait(0.05):
            try:
                body = send(address, "/v1/status", timeout_s=1).body
            except (OSError, ValueError):
                continue
            revision = body["config_revision"]
            if revision and (not observed or observed[-1][1] != revision):
                observed.append((time.monotonic(), revision))

    def find_time(self, name, revision):
        """Return when an instance first reported at least this revision, or None."""
        return next((at_s for at_s, found in self.observed[name] if found >= revision), None)


@given("the revision in force is watched at every instance")
def start_monitor(context):
    context.traffic = context.monitor = RevisionMonitor(context.cluster)


def _change(context):
    """Take an upstream out of service or bring it back; return the time and the revision."""
    cluster = context.cluster
    is_out = not getattr(cluster, "is_out", False)
    cluster.is_out = is_out
    cluster.revision = cluster.edit(SetUpstreamOut("u1", is_out)).change.configuration.head.revision
    return time.monotonic(), cluster.revision


@when("{count:d} changes are made, each {pause:g} s after the other")
def make_changes(context, count, pause):
    context.changes = []
    for _ in range(count):
        context.changes.append(_change(context))
        time.sleep(pause)


@when('a change is made while "{names}" are paused, which resume after {seconds:g} s')
def change_while_paused(context, names, seconds):
    for name in names.split(","):
        context.cluster.signal(name, SIGSTOP)
    _, revision = _change(context)
    time.sleep(seconds)
    for name in names.split(","):
        context.cluster.signal(name, SIGCONT)
    context.changes = [(time.monotonic(), revision)]


@when("the store answers with {kind}")
def set_outage(context, kind):
    outage = "" if kind == "nothing wrong" else kind
    reply = send(context.cluster.store, "/control", {"outage": outage}, "PUT")
    assert reply.status == 200, reply


@when("the store is restored to how it was before the last {count:d} writes")
def restore_store(context, count):
    revision = send(context.cluster.store, "/control").body["revision"]
    reply = send(
        context.cluster.store, "/control", {"restore_to_revision": revision - count}, "PUT"
    )
    assert reply.status == 200, reply


@when('"{names}" are replaced by new runs')
def restart_instances(context, names):
    for name in names.split(","):
        context.cluster.kill(name)
        context.monitor.observed[name].clear()
        context.cluster.start_entry(name)


@then('"{names}" have the revision of the others in force')
def check_restarted(context, names):
    for name in names.split(","):
        context.cluster.wait_until(
            lambda name=name: context.monitor.find_time(name, context.cluster.revision)
        )


@then("each change is in force at every instance within 5 s")
def check_in_force(context):
    end_s = max(change_s for change_s, _ in context.changes) + MAX_APPLY_S
    time.sleep(max(0.0, end_s - time.monotonic()))
    for change_s, revision in context.changes:
        times = {
            name: context.monitor.find_time(name, revision) for name in context.monitor.observed
        }
        late = {
            n: t and t - change_s
            for n, t in times.items()
            if t is None or t > change_s + MAX_APPLY_S
        }
        known = [at_s - change_s for at_s in times.values() if at_s is not None]
        print(f"revision {revision}: last after {max(known):.2f} s at {len(known)} instances")
        assert not late, (revision, late)


@step("no instance went back to a lower revision")
def check_no_rollback(context):
    for name, observed in context.monitor.observed.items():
        revisions = [revision for _, revision in observed]
        assert revisions == sorted(revisions), (name, revisions)
        assert revisions and revisions[-1] >= context.cluster.revision, (name, revisions)
