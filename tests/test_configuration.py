"""Tests of configuration changes and their distribution.

No instance may revert to an older configuration, whatever happens to operators and the store. The
simulation runs operators, instances and the store in virtual time. A restore stops the store for
longer than an operator's command lasts, and operators query the instances for the revision that
they have in force.
"""

import asyncio
import itertools
from typing import NamedTuple

import pytest
from hypothesis import Phase, seed, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from citronpaddle.adapters.keyvalue import EtcdStore
from citronpaddle.clock import VirtualClock
from citronpaddle.configurator import CommittedChange, ConfigurationWriter, Conflict, fetch_base
from citronpaddle.documents import (
    EMPTY_CONFIGURATION,
    HEAD_KEY,
    HISTORY_PREFIX,
    ChangeFile,
    ChangeRecord,
    ConfigurationUpdate,
    history_key,
)
from citronpaddle.errors import ErrorKind, Failure
from citronpaddle.policy import changes
from citronpaddle.policy.changes import ApplyFile, EditVoters, SetDomainOut, UsePreset
from citronpaddle.policy.configuration import (
    ConfigurationTracker,
    Verdict,
    build_update,
    choose_watchers,
)
from citronpaddle.ports import (
    Compare,
    KeyValueStore,
    Put,
    StoreEntry,
    StoreRead,
    TransactionOutcome,
)
from citronpaddle.randomness import RandomSource
from citronpaddle.standins.keyvalue import Comparison, KeyValueStandIn, Operation, StoreState

TICK_MS = 50
HEARTBEAT_MS = 1_000
SUSPECT_MS = 2_500
CALL_MS = 1_000
MAX_PROPAGATION_MS = 5_000
NAMES = tuple(f"{domain}{number}" for domain in "abc" for number in range(3))


class Wait(NamedTuple):
    """An awaitable that sleeps for a virtual time in ms."""

    duration_ms: float

    def __await__(self):
        yield self.duration_ms


class Simulation:
    """The clock, the tasks, the store and the network partitions of a simulation."""

    def __init__(self, source):
        self.clock, self.random = VirtualClock(), source
        self.state = StoreState(self.clock)
        self.tasks, self.late_effects = [], []
        self.is_down, self.latency_ms, self.loss = False, 20.0, 0.0
        self.cut_off_from_store, self.cut_off_from_peers = set(), set()

    def spawn(self, coroutine, on_done):
        self.tasks.append((self.clock.now_ms(), coroutine, on_done))

    def run_due(self):
        now_ms = self.clock.now_ms()
        self.random.shuffle(self.tasks)
        due, self.late_effects = self.late_effects, []
        for at_ms, effect in due:
            if at_ms > now_ms:
                self.late_effects.append((at_ms, effect))
            elif not self.is_down:
                effect()
        tasks, self.tasks = self.tasks, []
        for at_ms, coroutine, on_done in tasks:
            try:
                if at_ms <= now_ms:
                    at_ms = now_ms + coroutine.send(None)
                self.tasks.append((at_ms, coroutine, on_done))
            except StopIteration as end:
                on_done(end.value)

    def can_reach_store(self, name):
        return not self.is_down and name not in self.cut_off_from_store

    def can_reach_peer(self, name, other):
        return name != other and not {name, other} & self.cut_off_from_peers


class SimulatedStore(KeyValueStore):
    """The state of the store stand-in, with lost or late requests, lost replies and timeouts."""

    def __init__(self, simulation, name):
        self.simulation, self.name = simulation, name

    async def _call(self, effect, timeout_ms, is_write=False):
        simulation = self.simulation
        not_sent_failure = Failure(ErrorKind.STORE_UNAVAILABLE, "refused")
        lost = Failure(ErrorKind.OUTCOME_UNKNOWN, "lost") if is_write else not_sent_failure
        if not simulation.can_reach_store(self.name):
            await Wait(1)
            return not_sent_failure
        arrive_ms, reply_ms = (
            simulation.random.uniform(1, simulation.latency_ms) for _ in range(2)
        )
        if is_write and simulation.random.random() < simulation.loss:
            arrive_ms += simulation.random.choice([0, 3_000])
            reply_ms = timeout_ms
        if arrive_ms >= timeout_ms:
            if is_write:
                simulation.late_effects.append((simulation.clock.now_ms() + arrive_ms, effect))
            await Wait(timeout_ms)
            return lost
        await Wait(arrive_ms)
        if not simulation.can_reach_store(self.name):
            return lost
        result = effect()
        await Wait(min(reply_ms, timeout_ms - arrive_ms))
        is_lost = arrive_ms + reply_ms >= timeout_ms or not simulation.can_reach_store(self.name)
        return lost if is_lost else result

    async def read(self, keys, timeout_ms):
        def effect():
            found = [item for key in keys for item in self.simulation.state.find(key.encode())]
            return _make_read(found, self.simulation.state.revision)

        return await self._call(effect, timeout_ms)

    async def read_prefix(self, prefix, timeout_ms):
        state = self.simulation.state
        end = prefix[:-1] + chr(ord(prefix[-1]) + 1)

        def effect():
            return _make_read(state.find(prefix.encode(), end.encode()), state.revision)

        return await self._call(effect, timeout_ms)

    async def transact(self, compares, puts, timeout_ms):
        state = self.simulation.state
        comparisons = [
            Comparison(item.key.encode(), "mod_revision", "EQUAL", item.mod_revision)
            for item in compares
        ]
        operations = [Operation("put", item.key.encode(), item.value) for item in puts]

        def effect():
            return TransactionOutcome(state.transact(comparisons, operations)[0], state.revision)

        return await self._call(effect, timeout_ms, True)

    async def grant_lease(self, ttl_s, timeout_ms):
        raise NotImplementedError

    def watch(self, key):
        raise NotImplementedError

    async def close(self):
        pass


def _make_read(items, revision):
    entries = (StoreEntry(item.key.decode(), item.value, item.mod_revision) for item in items)
    return StoreRead(tuple(entries), revision)


class Instance:
    """A model of how an instance uses its `ConfigurationTracker`."""

    def __init__(self, simulation, name, instances):
        self.simulation, self.name, self.instances = simulation, name, instances
        now_ms = simulation.clock.now_ms()
        self.tracker = ConfigurationTracker(now_ms)
        self.last_heartbeats = {}
        self.is_reading_store, self.seen_mod_revision = False, 0
        self.next_heartbeat_ms = now_ms

    @property
    def head(self):
        return self.tracker.configuration.head

    def tick(self):
        now_ms = self.simulation.clock.now_ms()
        if now_ms >= self.next_heartbeat_ms:
            self.send_heartbeat()
        self.pull()
        live = [n for n, (_, at_ms) in self.last_heartbeats.items() if now_ms - at_ms < SUSPECT_MS]
        domain = [n for n in (*live, self.name) if n[0] == self.name[0]]
        is_watcher = self.name in choose_watchers(domain, self.name[0])
        is_notified = is_watcher and self.has_head_changed()
        is_due = self.tracker.is_poll_due(now_ms, is_watcher, len(live) + 1, self.simulation.random)
        if (is_notified or is_due) and not self.is_reading_store:
            self.read_store()

    def has_head_changed(self):
        items = self.simulation.state.find(HEAD_KEY.encode())
        changed = bool(items) and items[0].mod_revision != self.seen_mod_revision
        return changed and self.simulation.can_reach_store(self.name)

    def find_peers(self):
        return [o for o in self.instances if self.simulation.can_reach_peer(self.name, o)]

    def send_heartbeat(self):
        now_ms = self.simulation.clock.now_ms()
        self.next_heartbeat_ms = now_ms + HEARTBEAT_MS
        for name in self.find_peers():
            other = self.instances[name]
            other.last_heartbeats[self.name] = (self.head.revision, now_ms)
            other.tracker.record_head_read(now_ms, self.tracker.compute_head_age_ms(now_ms))

    def pull(self):
        peers = self.find_peers()
        revisions = {
            name: self.last_heartbeats[name][0] for name in peers if name in self.last_heartbeats
        }
        if not self.tracker.is_ready:
            revisions = {name: self.instances[name].head.revision for name in peers}
        peer = self.tracker.choose_peer(revisions, (), self.simulation.random)
        if peer is not None:
            held = self.instances[peer].tracker.configuration
            update = build_update(held, self.tracker.make_request())
            self.tracker.offer_update(update, peer)

    def read_store(self):
        self.is_reading_store = True
        store = SimulatedStore(self.simulation, self.name)
        own = self.tracker.configuration
        self.simulation.spawn(fetch_base(store, own, CALL_MS), self.apply_base)

    def apply_base(self, base):
        self.is_reading_store = False
        if isinstance(base, Failure):
            return
        found = base.configuration
        self.seen_mod_revision = base.head_mod_revision
        self.tracker.record_head_read(self.simulation.clock.now_ms())
        if self.tracker.evaluate_store_head(found.head).verdict is not Verdict.ACCEPT:
            return
        update = ConfigurationUpdate(
            head=found.head, services=found.services, presets=found.presets
        )
        self.tracker.offer_update(update, "store")
        self.send_heartbeat()


def make_file(priority):
    upstream = {"address": "127.0.0.1:80", "failure_domain": "a", "slots": 2, "max_connections": 25}
    return ChangeFile.model_validate(
        {
            "upstreams": {"u1": upstream},
            "services": {
                "lots": {"group": "g", "upstreams": ["u1"], "priority": priority},
                f"s{priority}": {"group": "g", "upstreams": ["u1"]},
            },
            "presets": {"ordinary": {}, "peak": {"groups": {"g": {"priority": 0}}}},
        }
    )


EDITS = st.one_of(
    st.builds(SetDomainOut, st.sampled_from("ab"), st.booleans()),
    st.builds(UsePreset, st.sampled_from(["ordinary", "peak"])),
    st.integers(0, 9).map(make_file).map(ApplyFile),
    st.builds(lambda added: ("voters", added), st.booleans()),
)


class ConfigurationMachine(RuleBasedStateMachine):
    """Runs concurrent changes while the store and the network fail."""

    @initialize(number=st.integers(0, 2**32), max_ancestors=st.sampled_from([2, 128]))
    def start(self, number, max_ancestors):
        self.patch = pytest.MonkeyPatch()
        self.patch.setattr(changes, "MAX_ANCESTORS", max_ancestors)
        self.simulation = Simulation(RandomSource(number))
        self.instances = {}
        for name in NAMES:
            self.instances[name] = Instance(self.simulation, name, self.instances)
        self.authors = itertools.count(1)
        self.running_authors, self.rejected_authors = set(), set()
        self.propagation = {}
        self.in_force, self.last_seen = {}, {}
        self.is_regressed = False
        self.start_change(ApplyFile(make_file(5)))
        self.run(1_000)

    def run(self, duration_ms):
        for _ in range(int(duration_ms) // TICK_MS):
            self.simulation.clock.advance(TICK_MS)
            self.simulation.run_due()
            for name in self.simulation.random.sample(NAMES, len(NAMES)):
                self.instances[name].tick()
            self.check_instances()
            self.check_propagation()

    def check_instances(self):
        for name, instance in self.instances.items():
            found, last = instance.tracker.configuration, self.last_seen.get(name)
            if found is last:
                continue
            self.last_seen[name] = found
            revision = found.head.revision
            assert last is None or revision > last.head.revision, f"{name} reverted to {revision}"
            first = self.in_force.setdefault(revision, found)
            assert (
                first == found
            ), f"two different configurations are in force as revision {revision}"

    def check_propagation(self):
        now_ms = self.simulation.clock.now_ms()
        simulation = self.simulation
        is_store_usable = not self.is_regressed and simulation.latency_ms * 2 < CALL_MS
        for revision, last_excused_ms in self.propagation.items():
            for name, instance in self.instances.items():
                others = (
                    o for n, o in self.instances.items() if simulation.can_reach_peer(name, n)
                )
                is_in_contact = (is_store_usable and simulation.can_reach_store(name)) or any(
                    other.head.revision >= revision for other in others
                )
                if instance.head.revision >= revision or not is_in_contact:
                    last_excused_ms[name] = now_ms
                waited_ms = now_ms - last_excused_ms.setdefault(name, now_ms)
                assert (
                    waited_ms <= MAX_PROPAGATION_MS
                ), f"{name} lacks {revision} after {waited_ms} ms"

    def find_highest_revision(self):
        return max(instance.head.revision for instance in self.instances.values())

    def start_change(self, edit):
        author = f"operator{next(self.authors)}"
        if isinstance(edit, tuple):
            reported = {name: item.head.revision for name, item in self.instances.items()}
            edit = EditVoters("a", ("a0",), edit[1], reported)
        writer = self.make_writer(author)
        in_force = [item.tracker.make_request() for item in self.instances.values()]
        self.running_authors.add(author)
        self.simulation.spawn(
            writer.change(edit, in_force),
            lambda outcome: self.end_change(author, outcome),
        )

    def make_writer(self, author):
        store = SimulatedStore(self.simulation, author)
        return ConfigurationWriter(store, self.simulation.clock, author, Wait)

    def end_change(self, author, outcome):
        self.running_authors.discard(author)
        if isinstance(outcome, CommittedChange):
            assert not self.is_regressed, "a change was accepted by a store that has lost changes"
            revision = outcome.change.record.revision
            self.propagation[revision] = {}
            assert self.find_record(revision).change_id == outcome.change.record.change_id
        elif not isinstance(outcome, Failure) or outcome.kind is not ErrorKind.OUTCOME_UNKNOWN:
            self.rejected_authors.add(author)
        if isinstance(outcome, Conflict):
            assert outcome.winner is not None, "a conflict names no winning change"
            assert self.find_record(outcome.winner.revision) == outcome.winner

    def find_record(self, revision):
        items = self.simulation.state.find(history_key(revision).encode())
        return ChangeRecord.from_bytes(items[0].value) if items else None

    @rule(
        edits=st.lists(EDITS, min_size=1, max_size=3),
        loss=st.sampled_from([0.0, 0.3, 0.9]),
        duration_ms=st.sampled_from([50, 100, 150, 1_500]),
        stops_store=st.sampled_from([False, False, False, True]),
    )
    def race(self, edits, loss, duration_ms, stops_store):
        self.simulation.loss = loss
        for edit in edits:
            self.start_change(edit)
        self.run(duration_ms)
        self.simulation.is_down = self.simulation.is_down or stops_store

    @rule(duration_ms=st.sampled_from([100, 500, 2_000, 7_000]))
    def pass_time(self, duration_ms):
        self.run(duration_ms)

    @rule(is_down=st.sampled_from([False, False, True]))
    def switch_store(self, is_down):
        self.simulation.is_down = is_down

    @rule(latency_ms=st.sampled_from([20, 300, 1_500]))
    def slow_store(self, latency_ms):
        self.simulation.latency_ms = latency_ms

    @rule(
        names=st.sets(st.sampled_from(NAMES)),
        kind=st.sampled_from(["cut_off_from_store", "cut_off_from_peers"]),
    )
    def cut_links(self, names, kind):
        setattr(self.simulation, kind, names)

    @rule()
    def cut_watchers_from_store(self):
        domains = ([name for name in NAMES if name[0] == domain] for domain in "abc")
        self.simulation.cut_off_from_store = {
            n for names in domains for n in choose_watchers(names, names[0][0])
        }

    @rule(name=st.sampled_from(NAMES))
    def replace_instance(self, name):
        # If every instance with the greatest revision is replaced before the store is restored to
        # an older state, no process has that revision; this case is not covered.
        others = [o.head.revision for n, o in self.instances.items() if n != name]
        if max(others) < self.instances[name].head.revision:
            return
        self.instances[name] = Instance(self.simulation, name, self.instances)
        self.last_seen.pop(name, None)

    @precondition(lambda self: not self.is_regressed)
    @rule(share=st.floats(0.0, 1.0))
    def restore_older_store(self, share):
        self.simulation.is_down = True
        self.run(6_000)
        assert not self.running_authors
        self.simulation.late_effects.clear()
        revision = 1 + int(share * (self.simulation.state.revision - 1))
        self.simulation.state.restore(revision)
        self.simulation.is_down = False
        highest = self.find_highest_revision()
        # An accepted change that no instance has pulled is lost with the state of the store.
        self.propagation = {r: w for r, w in self.propagation.items() if r <= highest}
        items = self.simulation.state.find(HEAD_KEY.encode())
        self.is_regressed = (self.find_store_revision() if items else 0) < highest

    def find_store_revision(self):
        keys = self.simulation.state.find(HISTORY_PREFIX.encode(), b"/config/history0")
        return int(keys[-1].key.decode().removeprefix(HISTORY_PREFIX)) if keys else 0

    @precondition(lambda self: self.is_regressed)
    @rule()
    def write_back(self):
        highest = self.find_highest_revision()
        newest = next(i for i in self.instances.values() if i.head.revision == highest)
        writer = self.make_writer("restorer")

        def end(outcome):
            if isinstance(outcome, CommittedChange):
                self.is_regressed = False
                self.propagation[outcome.change.record.revision] = {}

        self.simulation.spawn(writer.restore(newest.tracker.configuration, highest), end)
        self.run(6_000)

    @invariant()
    def check_rejected_changes(self):
        keys = self.simulation.state.find(HISTORY_PREFIX.encode(), b"/config/history0")
        authors = {ChangeRecord.from_bytes(item.value).author for item in keys}
        assert (
            not authors & self.rejected_authors
        ), "a change took effect that was reported as not made"

    def teardown(self):
        if not hasattr(self, "simulation"):
            return
        self.patch.undo()
        simulation = self.simulation
        simulation.is_down, simulation.latency_ms, simulation.loss = False, 20.0, 0.0
        simulation.cut_off_from_store, simulation.cut_off_from_peers = set(), set()
        self.run(6_000)
        if self.is_regressed:
            self.write_back()
        self.run(6_000)
        self.check_rejected_changes()
        revision = self.find_store_revision()
        assert {instance.head.revision for instance in self.instances.values()} == {revision}
        for _, coroutine, _ in simulation.tasks:
            coroutine.close()


def test_no_instance_reverts_and_every_accepted_change_is_in_force_in_time():
    """Guards against reverted or delayed changes while the store and the network fail."""
    run_state_machine_as_test(
        seed(5)(ConfigurationMachine),
        settings=settings(
            max_examples=80,
            stateful_step_count=25,
            deadline=None,
            database=None,
            phases=(Phase.generate, Phase.shrink),
        ),
    )


def test_a_later_revision_on_a_restored_store_is_refused_until_the_store_is_written_back():
    """Guards against changes that are reverted by operators unaware of a restore."""
    lost, other = (_make_changes(preset) for preset in ("peak", "ordinary"))
    held, tracker = lost[-1].configuration, ConfigurationTracker(0.0)
    for change in lost:
        assert _offer(tracker, change.configuration).verdict is Verdict.ACCEPT
    found = _offer(tracker, other[-1].configuration)
    assert found.verdict is Verdict.REGRESSED and "store restore" in found.warning
    assert _offer(tracker, other[-1].configuration).warning == "", "reported twice"
    assert tracker.configuration == held
    edit = changes.RestoreConfiguration(held, held.head.revision, {})
    stamp = changes.ChangeMetadata("restored", "ann", 0)
    written = changes.build_change(
        changes.BaseConfiguration(other[-1].configuration, 9), edit, stamp
    )
    assert _offer(tracker, written.configuration).verdict is Verdict.ACCEPT
    assert written.record.revision == other[-1].record.revision + 1
    assert tracker.configuration.head.preset == "peak"


def _make_changes(preset):
    """Return changes of which the first is in both histories and the others differ by their ids."""
    made, base = [], changes.BaseConfiguration(EMPTY_CONFIGURATION, 0)
    edits = [ApplyFile(make_file(5)), UsePreset(preset), SetDomainOut("a", True)]
    edits += [SetDomainOut("a", False)] if preset == "ordinary" else []
    for number, edit in enumerate(edits):
        change_id = f"{preset if number else 'first'}{number}"
        made.append(changes.build_change(base, edit, changes.ChangeMetadata(change_id, "ann", 0)))
        base = changes.BaseConfiguration(made[-1].configuration, number + 1)
    return made


def _offer(tracker, configuration):
    fields = dict(configuration)
    return tracker.offer_update(ConfigurationUpdate(**fields), "peer")


def test_a_change_that_cannot_be_read_back_is_reported_as_unknown():
    """Guards against an operator who repeats a change because it was reported as not made."""
    simulation, outcomes = Simulation(RandomSource(1)), []
    writer = ConfigurationWriter(SimulatedStore(simulation, "x"), simulation.clock, "ann", Wait)
    simulation.spawn(writer.change(ApplyFile(make_file(5))), outcomes.append)
    while not outcomes:
        simulation.clock.advance(1)
        simulation.run_due()
        simulation.is_down = simulation.state.revision > 1
    assert outcomes[0].kind is ErrorKind.OUTCOME_UNKNOWN
    assert simulation.clock.now_ms() <= MAX_PROPAGATION_MS + CALL_MS


@pytest.mark.parametrize(
    ("faults", "write_kind", "read_kind"),
    [
        ({"lose_requests": 1}, ErrorKind.OUTCOME_UNKNOWN, None),
        ({"lose_replies": 1}, ErrorKind.OUTCOME_UNKNOWN, None),
        ({"latency_ms": 500}, ErrorKind.OUTCOME_UNKNOWN, ErrorKind.STORE_UNAVAILABLE),
        ({"reply_latency_ms": 500}, ErrorKind.OUTCOME_UNKNOWN, ErrorKind.STORE_UNAVAILABLE),
        ({"outage": "error"}, ErrorKind.OUTCOME_UNKNOWN, ErrorKind.STORE_UNAVAILABLE),
        ({"outage": "reset"}, ErrorKind.OUTCOME_UNKNOWN, ErrorKind.STORE_UNAVAILABLE),
        ({"outage": "hang"}, ErrorKind.OUTCOME_UNKNOWN, ErrorKind.STORE_UNAVAILABLE),
        (None, ErrorKind.STORE_UNAVAILABLE, ErrorKind.STORE_UNAVAILABLE),
        ({}, None, None),
    ],
)
def test_a_write_is_reported_as_not_made_only_if_no_connection_was_made(
    faults, write_kind, read_kind
):
    """Guards against a write that is reported as not made and still takes effect."""

    async def run():
        standin = KeyValueStandIn()
        store = EtcdStore(await standin.start())
        if faults is None:
            await standin.stop()
        else:
            standin.set_faults(**faults)
        found = [
            await store.transact([Compare("/a", 0)], [Put("/a", b"1")], 200),
            await store.read(["/a"], 200),
        ]
        await store.close()
        await standin.stop()
        return [item.kind if isinstance(item, Failure) else None for item in found]

    assert asyncio.run(run()) == [write_kind, read_kind]


def test_a_change_is_printed_in_brief_and_recorded_in_full():
    """Guards against long output that hides a change, and against an incomplete history record."""
    stamp = changes.ChangeMetadata("c1", "ann", 1)
    first = changes.build_change(
        changes.BaseConfiguration(EMPTY_CONFIGURATION, 0), ApplyFile(make_file(3)), stamp
    )
    assert [line for line in first.brief_details if line.startswith("service")] == [
        "service lots: added to group g with 1 upstream",
        "service s3: added to group g with 1 upstream",
    ]
    assert "service lots: priority = 3" in first.record.details
    second = changes.build_change(
        changes.BaseConfiguration(first.configuration, 1), ApplyFile(make_file(4)), stamp
    )
    assert "service lots: priority: 3 -> 4" in second.brief_details
    assert "service s4: added to group g with 1 upstream" in second.brief_details


def test_a_watch_yields_each_change_and_ends_with_a_failure():
    """Guards against an instance that waits indefinitely on a watch that the store has ended."""

    async def run():
        standin, seen = KeyValueStandIn(), asyncio.Queue()
        store = EtcdStore(await standin.start())

        async def follow():
            async for item in store.watch("/a"):
                seen.put_nowait(item)

        task = asyncio.create_task(follow())
        value = b"x" * 200_000  # in base64 longer than the maximum line length of aiohttp
        async with asyncio.timeout(60):
            while seen.empty():
                await store.transact([], [Put("/a", value)], 20_000)
            standin.restore(1)
            await task
        await store.close()
        await standin.stop()
        return [seen.get_nowait() for _ in range(seen.qsize())]

    *changes_seen, last = asyncio.run(run())
    assert {item.value for item in changes_seen} == {b"x" * 200_000}
    assert last.kind is ErrorKind.STORE_UNAVAILABLE


def test_a_failed_call_moves_on_to_the_next_address_of_the_store():
    """Guards against an instance that retries only an unreachable member of the store."""

    async def read_twice():
        standin = KeyValueStandIn()
        store = EtcdStore("127.0.0.1:1", await standin.start())
        try:
            return [await store.read(["/config/head"], 1000) for _ in range(2)]
        finally:
            await store.close()
            await standin.stop()

    first, second = asyncio.run(read_twice())
    assert first.kind is ErrorKind.STORE_UNAVAILABLE and isinstance(second, StoreRead)
