"""Runs stand-ins and three entry instances in one event loop and shows how queries are answered."""

import asyncio
import contextlib
import itertools
import socket
from collections.abc import AsyncIterator, Callable, Sequence
from typing import Any

from .adapters.keyvalue import EtcdStore
from .client import Client
from .clock import Clock, SystemClock
from .configurator import CommittedChange, ConfigurationWriter
from .documents import ChangeFile, PresetEntry, ServiceEntry, UpstreamEntry
from .errors import Failure
from .models import KEY_SPACE_SIZE, QueryAnswer
from .node import Node
from .policy.changes import ApplyFile, Edit, SetDomainOut, UsePreset
from .randomness import RandomSource
from .settings import Settings
from .standins.instances import InstancesStandin
from .standins.keyvalue import KeyValueStandin
from .standins.upstream import StandinUpstream, UpstreamOptions, make_layout

HOST = "127.0.0.1"
SERVICE = "lot-search"
DOMAINS = ("north", "east", "south")
SHARDS = 12
SHARDS_PER_SET = 4
# Each set of shards has a replica in two of the three domains, so that any one domain may go.
REPLICAS = (
    ("lots-1-north", "north", 0),
    ("lots-1-east", "east", 0),
    ("lots-2-east", "east", 1),
    ("lots-2-south", "south", 1),
    ("lots-3-south", "south", 2),
    ("lots-3-north", "north", 2),
)
DEADLINE_MS = 1_000
# An order is not repeated here, so a slow machine must not cut it off.
ORDER_DEADLINE_MS = 10_000
PAUSE_MS = 100
# Owner leases are first granted after lease + drain, 5.5 s; a slow machine may take much longer.
START_LIMIT_MS = 20_000
WAIT_LIMIT_MS = 10_000
TOTAL_LIMIT_MS = 90_000
COLUMNS = "  {:<30}{:<14}{:>7}  {:>8}  {:>4}  {:>9}"
HEADING = COLUMNS.format("request", "query", "version", "coverage", "rows", "time")

Check = Callable[[QueryAnswer], bool]
Print = Callable[[str], None]


class DemonstrationError(Exception):
    """Something that the demonstration shows is not as it should be."""


def find_ports(count: int) -> list[int]:
    """Return ports of the loopback address that were free just now."""
    with contextlib.ExitStack() as stack:
        probes = [stack.enter_context(socket.socket()) for _ in range(count)]
        for probe in probes:
            probe.bind((HOST, 0))
        return [probe.getsockname()[1] for probe in probes]


def make_settings(name: str, store: str, instance_list: str, peers: dict[str, int]) -> Settings:
    """Return the settings of the entry instance of domain `name`; `peers` are ports by domain."""
    return Settings.model_validate(
        {
            "name": f"entry-{name}",
            "failure_domain": name,
            "http": {"host": HOST, "port": 0},
            "peer": {"host": HOST, "port": peers[name]},
            "metrics": {"host": HOST, "port": 0},
            "store": {"addresses": (store,)},
            "instance_list": {"address": instance_list},
            "peers": [
                {"name": f"entry-{other}", "failure_domain": other, "address": f"{HOST}:{port}"}
                for other, port in peers.items()
                if other != name
            ],
            "logs": {"level": "warning"},
        }
    )


class Stage:
    """The stand-ins and the entry instances; use `open_stage`."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.store = KeyValueStandin(clock)
        self.instances = InstancesStandin(clock)
        self.upstreams: dict[str, StandinUpstream] = {}
        self.nodes: dict[str, Node] = {}

    async def start(self, stack: contextlib.AsyncExitStack) -> None:
        """Start everything and leave to `stack` what ends it."""
        await self.store.start()
        stack.push_async_callback(self.store.stop)
        await self.instances.start()
        stack.push_async_callback(self.instances.stop)
        for name, _, place in REPLICAS:
            first = place * SHARDS_PER_SET
            layout = make_layout(SHARDS, first=first, last=first + SHARDS_PER_SET - 1)
            options = UpstreamOptions(name=name, cold_ms=500, fallen_ms=500, shards=layout)
            upstream = self.upstreams[name] = StandinUpstream(options)
            await upstream.start()
            stack.push_async_callback(upstream.close)
        # Peers are named in the settings, so their ports must be known before the start.
        ports = dict(zip(DOMAINS, find_ports(len(DOMAINS)), strict=True))
        for name in DOMAINS:
            settings = make_settings(name, self.store.address, self.instances.address, ports)
            node = self.nodes[name] = Node.from_config(settings, self.clock)
            await node.start()
        stack.push_async_callback(self._stop_nodes)
        for name, node in self.nodes.items():
            self.instances.put(
                f"entry-{name}",
                {
                    "failure_domain": name,
                    "peer_address": node.peer_address,
                    "http_address": node.http_address,
                },
            )

    async def _stop_nodes(self) -> None:
        await asyncio.gather(*(node.stop() for node in self.nodes.values()))

    async def control(self, names: Sequence[str], message: dict[str, Any]) -> None:
        """Send a control message to upstreams."""
        for name in names:
            await self.upstreams[name].control(message)

    def count_calls(self, domain: str) -> int:
        """Return how many searches the upstreams of a domain have received."""
        names = [name for name, where, _ in REPLICAS if where == domain]
        return sum(self.upstreams[name].calls_by_kind["POST /search"] for name in names)

    def count_executions(self, key: str) -> int:
        """Return how often upstreams executed the order with `key`."""
        return sum(upstream.executions[key] for upstream in self.upstreams.values())

    def make_change_file(self) -> ChangeFile:
        """Return the configuration document that names all upstreams."""
        upstreams = {
            name: UpstreamEntry(
                address=self.upstreams[name].address,
                failure_domain=domain,
                slots=self.upstreams[name].options.slots,
                max_connections=self.upstreams[name].options.connections,
            )
            for name, domain, _ in REPLICAS
        }
        service = ServiceEntry(
            group="kennel-portal", priority=1, max_deadline_ms=2_000, upstreams=tuple(upstreams)
        )
        return ChangeFile(
            services={SERVICE: service}, upstreams=upstreams, presets={"ordinary": PresetEntry()}
        )


@contextlib.asynccontextmanager
async def open_stage(clock: Clock) -> AsyncIterator[Stage]:
    """Start a stage, and stop all of it at the end, also after an error."""
    async with contextlib.AsyncExitStack() as stack:
        stage = Stage(clock)
        await stage.start(stack)
        yield stage


def find_fault(answer: QueryAnswer) -> str:
    """Return what is untrue in the answer's statement of snapshot and coverage, empty if nothing.

    The rows name the version that they were made from, and their keys show what was covered.
    """
    coverage = answer.coverage
    share = 1 - sum(gap.size for gap in coverage.missing) / KEY_SPACE_SIZE
    if abs(share - coverage.share) > 1e-9:
        return f"states coverage {coverage.share} but lacks ranges that leave {share}"
    if not coverage.is_complete and not coverage.reasons:
        return "is partial without a reason"
    for row in answer.rows:
        if f"@{answer.version} " not in row["text"]:
            return f"holds the row {row['text']!r} of another version than {answer.version}"
        if any(gap.low <= int(row["key"]) < gap.high for gap in coverage.missing):
            return f"holds a row with key {row['key']} from a range that it lacks"
    if coverage.is_complete and len(answer.rows) != SHARDS * 3:
        return f"is complete with {len(answer.rows)} rows instead of {SHARDS * 3}"
    return ""


class Demonstration:
    """Shows one step after the other; each raises DemonstrationError if it is not as it should."""

    def __init__(
        self, stage: Stage, client: Client, configurator: ConfigurationWriter, show: Print
    ):
        self._stage = stage
        self._client = client
        self._configurator = configurator
        self._show = show
        self._has_heading = False

    async def run(self) -> None:
        """Show all steps."""
        for step in (
            self.show_start,
            self.show_queries,
            self.show_version_roll,
            self.show_lost_upstream,
            self.show_lost_shards,
            self.show_domain_out,
            self.show_orders,
        ):
            await step()
        self._check_load()

    async def show_start(self) -> None:
        """Apply a configuration and wait until the instances own their upstreams."""
        stage = self._stage
        self._show(
            f"Started {len(stage.nodes)} entry instances and {len(stage.upstreams)} upstreams in "
            f"{len(DOMAINS)} failure domains, each set of shards with two replicas."
        )
        await self._change(ApplyFile(stage.make_change_file()))
        await self._change(UsePreset("ordinary"))
        self._show("Waiting for owner leases, granted after lease + drain, about 6 s ...")
        began_ms = stage.clock.now_ms()
        await self._ask_until(lambda answer: answer.coverage.is_complete, START_LIMIT_MS)
        self._show(f"Answers are complete after {(stage.clock.now_ms() - began_ms) / 1000:.1f} s.")

    async def show_queries(self) -> None:
        """Answer a few queries completely."""
        self._start_step("Queries, complete and from one snapshot:")
        for text in ("beef", "salmon", "lamb"):
            await self._show_until(
                text, lambda answer: answer.coverage.is_complete and answer.version == 1
            )

    async def show_version_roll(self) -> None:
        """Roll index version 2 out to one replica after the other, then withdraw version 1."""
        self._start_step("Index version 2 is loaded upstream by upstream, then 1 is withdrawn:")
        names = list(self._stage.upstreams)
        await self._stage.control(names[:3], {"versions": [1, 2]})
        await self._show_until("half rolled", lambda answer: answer.coverage.is_complete)
        await self._stage.control(names[3:], {"versions": [1, 2]})
        await self._stage.control(names, {"versions": [2]})
        await self._show_until(
            "rolled", lambda answer: answer.coverage.is_complete and answer.version == 2
        )

    async def show_lost_upstream(self) -> None:
        """Let an upstream fall over; its replica answers for it."""
        self._start_step("Upstream lots-1-north falls over; its replica lots-1-east answers:")
        # It stays down until told otherwise, so that nothing depends on the machine's speed.
        await self._stage.control(["lots-1-north"], {"fall_over": True, "is_refusing": True})
        await self._show_until("first lost", lambda answer: answer.coverage.is_complete)

    async def show_lost_shards(self) -> None:
        """Let the replica fall over too: the answer is partial and says what is missing."""
        self._start_step("The replica falls over too; the answer is partial and says so:")
        await self._stage.control(["lots-1-east"], {"fall_over": True, "is_refusing": True})
        lost = SHARDS_PER_SET * KEY_SPACE_SIZE // SHARDS
        answer = await self._show_until(
            "both lost",
            lambda answer: [tuple(gap) for gap in answer.coverage.missing] == [(0, lost)],
        )
        for gap in answer.coverage.missing:
            self._show(f"    missing: keys {gap.low} to {gap.high - 1}")
        self._show(f"    reasons: {'; '.join(answer.coverage.reasons)}")
        self._start_step("Both come back cold and get one call at a time at first:")
        await self._stage.control(["lots-1-north", "lots-1-east"], {"is_refusing": False})
        await self._show_until("both back", lambda answer: answer.coverage.is_complete)

    async def show_domain_out(self) -> None:
        """Take a failure domain out of service and bring it back."""
        stage = self._stage
        self._start_step("Failure domain south is taken out of service:")
        await self._change(SetDomainOut("south", True))
        await self._wait_for_quiet("south")
        before = stage.count_calls("south")
        for text in ("south out", "south out"):
            await self._show_until(text, lambda answer: answer.coverage.is_complete)
        received = stage.count_calls("south") - before
        if received:
            raise DemonstrationError(f"upstreams in south got {received} calls while it was out")
        self._show("    its upstreams received no call")
        self._start_step("South comes back:")
        await self._change(SetDomainOut("south", False))
        await self._ask_until(lambda answer: stage.count_calls("south") > before, WAIT_LIMIT_MS)
        await self._show_until("south back", lambda answer: answer.coverage.is_complete)
        self._show("    its upstreams receive calls again")

    async def show_orders(self) -> None:
        """Send an order twice with one key; it must run at most once."""
        self._start_step("One order, sent twice with the same idempotency key:")
        key = "demo-order-1"
        outcomes = []
        for attempt in ("first", "second"):
            outcome = await self._client.order(SERVICE, {"lots": 3}, key, ORDER_DEADLINE_MS)
            outcomes.append(outcome)
            if isinstance(outcome, Failure):
                state = outcome.answer.run_state.value
                self._show(f"    {attempt}: {outcome.kind.value}, {state}: {outcome.message}")
            else:
                mark = "replayed" if outcome.replayed else "executed"
                self._show(f"    {attempt}: {mark}, {outcome.answer} ({outcome.request_id})")
        executions = self._stage.count_executions(key)
        self._show(f"    executions at upstreams: {executions}")
        problem = find_order_fault(outcomes, executions)
        if problem:
            raise DemonstrationError(problem)

    def _check_load(self) -> None:
        """Check that no upstream got more calls or connections than it can bear."""
        for name, upstream in self._stage.upstreams.items():
            stats = upstream.stats()
            for key in ("over_limit_calls", "over_limit_connections"):
                if stats[key]:
                    raise DemonstrationError(f"{name} has {key} = {stats[key]}")
        self._show("")
        self._show("No upstream got more calls or connections than it can bear.")

    # Parts of steps

    def _start_step(self, title: str) -> None:
        self._show("")
        self._show(title)
        self._has_heading = False

    async def _change(self, edit: Edit) -> None:
        outcome = await self._configurator.change(edit)
        if not isinstance(outcome, CommittedChange):
            raise DemonstrationError(f"a configuration change was not accepted: {outcome}")
        record = outcome.change.record
        self._show(f"  configuration revision {record.revision}: {record.summary}")

    async def _ask(self, text: str) -> QueryAnswer | Failure:
        answer = await self._client.query(SERVICE, text, DEADLINE_MS, SHARDS * 3)
        if isinstance(answer, QueryAnswer) and (fault := find_fault(answer)):
            raise DemonstrationError(f"the answer to {answer.request_id} {fault}")
        return answer

    async def _ask_until(
        self, check: Check, limit_ms: float, text: str = "ready?"
    ) -> tuple[QueryAnswer, int]:
        """Repeat a query until its answer meets `check`; each answer must be truthful.

        Return the answer and how many came before it.
        """
        clock = self._stage.clock
        end_ms = clock.now_ms() + limit_ms
        for earlier in itertools.count():
            answer = await self._ask(text)
            if isinstance(answer, QueryAnswer) and check(answer):
                return answer, earlier
            if clock.now_ms() > end_ms:
                raise DemonstrationError(f"not as expected within {limit_ms:.0f} ms: {answer}")
            await asyncio.sleep(PAUSE_MS / 1000)

    async def _show_until(self, text: str, check: Check) -> QueryAnswer:
        answer, earlier = await self._ask_until(check, WAIT_LIMIT_MS, text)
        if not self._has_heading:
            self._show(HEADING)
            self._has_heading = True
        cells = COLUMNS.format(
            answer.request_id,
            text,
            answer.version,
            f"{answer.coverage.share:.1%}",
            len(answer.rows),
            f"{answer.took_ms:.1f} ms",
        )
        self._show(cells + (f"  (answers before it: {earlier})" if earlier else ""))
        return answer

    async def _wait_for_quiet(self, domain: str) -> None:
        """Send queries until the upstreams of a domain that was taken out get none of them.

        Ten queries in a row reach every entry instance with near certainty.
        """
        end_ms = self._stage.clock.now_ms() + WAIT_LIMIT_MS
        quiet = 0
        while quiet < 10:
            before = self._stage.count_calls(domain)
            await self._ask("drain")
            quiet = 0 if self._stage.count_calls(domain) > before else quiet + 1
            if self._stage.clock.now_ms() > end_ms:
                raise DemonstrationError(f"upstreams in {domain} still get calls")
            await asyncio.sleep(PAUSE_MS / 1000)


def find_order_fault(outcomes: Sequence[Any], executions: int) -> str:
    """Return what is wrong with the outcomes of one order sent twice, empty if nothing."""
    if executions > 1:
        return f"the order was executed {executions} times"
    if any(isinstance(outcome, Failure) for outcome in outcomes):
        return f"the order was not answered twice; it was executed {executions} times"
    if executions != 1:
        return "the order was answered but not executed"
    if [outcome.replayed for outcome in outcomes] != [False, True]:
        return "the second answer is not a replay of the first"
    if outcomes[0].answer != outcomes[1].answer:
        return "the replay differs from the first answer"
    return ""


async def run_demonstration(show: Print) -> None:
    """Run the whole demonstration; raise DemonstrationError if anything is not as it should be."""
    clock = SystemClock()
    try:
        async with asyncio.timeout(TOTAL_LIMIT_MS / 1000), open_stage(clock) as stage:
            store = EtcdStore(stage.store.address)
            configurator = ConfigurationWriter(
                store, clock, "demo", lambda duration_ms: asyncio.sleep(duration_ms / 1000)
            )
            seeds = [node.http_address for node in stage.nodes.values()]
            try:
                async with Client(seeds, clock=clock, random=RandomSource(1)) as client:
                    await Demonstration(stage, client, configurator, show).run()
            finally:
                await store.close()
    except TimeoutError:
        raise DemonstrationError(f"not finished within {TOTAL_LIMIT_MS / 1000:.0f} s") from None
