"""Runs stand-ins and three entry instances in one event loop and shows how they answer requests."""

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
from .standins.instances import InstanceListStandIn
from .standins.keyvalue import KeyValueStandIn
from .standins.upstream_options import UpstreamOptions, make_layout
from .standins.upstream_service import UpstreamStandIn

HOST = "127.0.0.1"
SERVICE = "lot-search"
DOMAINS = ("north", "east", "south")
SHARDS = 12
SHARDS_PER_SET = 4
# Name, failure domain and shard set. Each set has replicas in two of the three domains, so that the
# loss of any one domain leaves the coverage complete.
REPLICAS = (
    ("lots-1-north", "north", 0),
    ("lots-1-east", "east", 0),
    ("lots-2-east", "east", 1),
    ("lots-2-south", "south", 1),
    ("lots-3-south", "south", 2),
    ("lots-3-north", "north", 2),
)
DEADLINE_MS = 1_000
# An order is not retried here, so its deadline must not pass on a slow machine.
ORDER_DEADLINE_MS = 10_000
POLL_INTERVAL_MS = 100
# The first owner leases are granted after lease + drain time, 5.5 s; a slow machine may take much
# longer.
START_TIMEOUT_MS = 20_000
STEP_TIMEOUT_MS = 10_000
TOTAL_TIMEOUT_MS = 90_000
UPSTREAM_COLD_MS = 500
UPSTREAM_DOWN_MS = 500
# Rows that a stand-in returns for each shard.
ROWS_PER_SHARD = 3
COVERAGE_TOLERANCE = 1e-9
# So many queries in a row reach every entry instance with near certainty.
DRAIN_CHECK_QUERIES = 10
COLUMNS = "  {:<30}{:<14}{:>7}  {:>8}  {:>4}  {:>9}"
HEADING = COLUMNS.format("request", "query", "version", "coverage", "rows", "time")

AnswerCheck = Callable[[QueryAnswer], bool]
PrintLine = Callable[[str], None]


class DemonstrationError(Exception):
    """A step of the demonstration did not have the expected result."""


def find_free_ports(count: int) -> list[int]:
    """Return `count` ports of the loopback address that are free at the moment of the call."""
    with contextlib.ExitStack() as stack:
        probes = [stack.enter_context(socket.socket()) for _ in range(count)]
        for probe in probes:
            probe.bind((HOST, 0))
        return [probe.getsockname()[1] for probe in probes]


def make_settings(name: str, store: str, instance_list: str, peers: dict[str, int]) -> Settings:
    """Return the settings of the entry instance of domain `name`.

    `store` and `instance_list` are addresses; `peers` holds the peer port of each domain.
    """
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


class Deployment:
    """The stand-ins and the entry instances; `open_deployment` starts and stops them."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.store = KeyValueStandIn(clock)
        self.instances = InstanceListStandIn(clock)
        self.upstreams: dict[str, UpstreamStandIn] = {}
        self.nodes: dict[str, Node] = {}

    async def start(self, stack: contextlib.AsyncExitStack) -> None:
        """Start all components and register their shutdown with `stack`."""
        await self.store.start()
        stack.push_async_callback(self.store.stop)
        await self.instances.start()
        stack.push_async_callback(self.instances.stop)
        for name, _, shard_set in REPLICAS:
            first = shard_set * SHARDS_PER_SET
            layout = make_layout(SHARDS, first=first, last=first + SHARDS_PER_SET - 1)
            options = UpstreamOptions(
                name=name, cold_ms=UPSTREAM_COLD_MS, fallen_ms=UPSTREAM_DOWN_MS, shards=layout
            )
            upstream = self.upstreams[name] = UpstreamStandIn(options)
            await upstream.start()
            stack.push_async_callback(upstream.close)
        # The settings contain the peers' addresses, so the ports must be known before the start.
        ports = dict(zip(DOMAINS, find_free_ports(len(DOMAINS)), strict=True))
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

    async def send_control_message(self, names: Sequence[str], message: dict[str, Any]) -> None:
        """Send a control message to the named upstreams."""
        for name in names:
            await self.upstreams[name].apply_control_message(message)

    def count_calls(self, domain: str) -> int:
        """Return how many searches the upstreams of a domain have received."""
        names = [name for name, where, _ in REPLICAS if where == domain]
        return sum(self.upstreams[name].calls_by_kind["POST /search"] for name in names)

    def count_executions(self, key: str) -> int:
        """Return how often upstreams executed the order with `key`."""
        return sum(upstream.executions[key] for upstream in self.upstreams.values())

    def make_change_file(self) -> ChangeFile:
        """Return a configuration document with the service and all upstreams."""
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
async def open_deployment(clock: Clock) -> AsyncIterator[Deployment]:
    """Start a deployment and stop all its components at the end, also after an error."""
    async with contextlib.AsyncExitStack() as stack:
        deployment = Deployment(clock)
        await deployment.start(stack)
        yield deployment


def find_inconsistency(answer: QueryAnswer) -> str:
    """Return what contradicts the snapshot version or coverage that an answer states, or "".

    The rows contain the version that they were made from, and their keys show the covered ranges.
    """
    coverage = answer.coverage
    share = 1 - sum(gap.size for gap in coverage.missing) / KEY_SPACE_SIZE
    if abs(share - coverage.share) > COVERAGE_TOLERANCE:
        return f"states coverage {coverage.share} but its missing ranges leave {share}"
    if not coverage.is_complete and not coverage.reasons:
        return "is partial without a reason"
    for row in answer.rows:
        if f"@{answer.version} " not in row["text"]:
            return f"contains the row {row['text']!r}, which is not of version {answer.version}"
        if any(gap.low <= int(row["key"]) < gap.high for gap in coverage.missing):
            return f"contains a row with key {row['key']} from a missing range"
    if coverage.is_complete and len(answer.rows) != SHARDS * ROWS_PER_SHARD:
        return f"is complete but has {len(answer.rows)} rows instead of {SHARDS * ROWS_PER_SHARD}"
    return ""


class Demonstration:
    """Runs the steps in order; a step raises DemonstrationError if its result is unexpected."""

    def __init__(
        self,
        deployment: Deployment,
        client: Client,
        configurator: ConfigurationWriter,
        print_line: PrintLine,
    ):
        self._deployment = deployment
        self._client = client
        self._configurator = configurator
        self._print_line = print_line
        self._is_heading_printed = False

    async def run(self) -> None:
        """Run all steps, then check the limits of the upstreams."""
        for step in (
            self.run_start,
            self.run_queries,
            self.run_version_change,
            self.run_upstream_loss,
            self.run_shard_loss,
            self.run_domain_removal,
            self.run_orders,
        ):
            await step()
        self._check_limits()

    async def run_start(self) -> None:
        """Apply a configuration and wait until the instances own all upstreams."""
        deployment = self._deployment
        self._print_line(
            f"Started {len(deployment.nodes)} entry instances and "
            f"{len(deployment.upstreams)} upstreams in "
            f"{len(DOMAINS)} failure domains, each set of shards with two replicas."
        )
        await self._apply_change(ApplyFile(deployment.make_change_file()))
        await self._apply_change(UsePreset("ordinary"))
        self._print_line("Waiting for owner leases, granted after lease + drain, about 6 s ...")
        start_ms = deployment.clock.now_ms()
        await self._query_until(lambda answer: answer.coverage.is_complete, START_TIMEOUT_MS)
        self._print_line(
            f"Answers are complete after {(deployment.clock.now_ms() - start_ms) / 1000:.1f} s."
        )

    async def run_queries(self) -> None:
        """Send a few queries, which are answered completely."""
        self._start_step("Queries, complete and from one snapshot:")
        for text in ("beef", "salmon", "lamb"):
            await self._query_and_print(
                text, lambda answer: answer.coverage.is_complete and answer.version == 1
            )

    async def run_version_change(self) -> None:
        """Roll index version 2 out to one replica after the other, then withdraw version 1."""
        self._start_step("Index version 2 is loaded upstream by upstream, then 1 is withdrawn:")
        names = list(self._deployment.upstreams)
        await self._deployment.send_control_message(names[:3], {"versions": [1, 2]})
        await self._query_and_print("half rolled", lambda answer: answer.coverage.is_complete)
        await self._deployment.send_control_message(names[3:], {"versions": [1, 2]})
        await self._deployment.send_control_message(names, {"versions": [2]})
        await self._query_and_print(
            "rolled", lambda answer: answer.coverage.is_complete and answer.version == 2
        )

    async def run_upstream_loss(self) -> None:
        """Crash an upstream; its replica answers instead."""
        self._start_step("Upstream lots-1-north crashes; its replica lots-1-east answers:")
        # It stays down until the option is reset, so that no step depends on the machine's speed.
        await self._deployment.send_control_message(
            ["lots-1-north"], {"fall_over": True, "is_refusing": True}
        )
        await self._query_and_print("first lost", lambda answer: answer.coverage.is_complete)

    async def run_shard_loss(self) -> None:
        """Crash the replica too: the answer is partial and states the missing ranges."""
        self._start_step(
            "The replica crashes too; the answer is partial and states what is missing:"
        )
        await self._deployment.send_control_message(
            ["lots-1-east"], {"fall_over": True, "is_refusing": True}
        )
        lost = SHARDS_PER_SET * KEY_SPACE_SIZE // SHARDS
        answer = await self._query_and_print(
            "both lost",
            lambda answer: [tuple(gap) for gap in answer.coverage.missing] == [(0, lost)],
        )
        for gap in answer.coverage.missing:
            self._print_line(f"    missing: keys {gap.low} to {gap.high - 1}")
        self._print_line(f"    reasons: {'; '.join(answer.coverage.reasons)}")
        self._start_step("Both restart cold and at first receive one call at a time:")
        await self._deployment.send_control_message(
            ["lots-1-north", "lots-1-east"], {"is_refusing": False}
        )
        await self._query_and_print("both back", lambda answer: answer.coverage.is_complete)

    async def run_domain_removal(self) -> None:
        """Take a failure domain out of service and bring it back into service."""
        deployment = self._deployment
        self._start_step("Failure domain south is taken out of service:")
        await self._apply_change(SetDomainOut("south", True))
        await self._wait_until_drained("south")
        before = deployment.count_calls("south")
        for text in ("south out", "south out"):
            await self._query_and_print(text, lambda answer: answer.coverage.is_complete)
        received = deployment.count_calls("south") - before
        if received:
            raise DemonstrationError(
                f"upstreams in south received {received} calls while out of service"
            )
        self._print_line("    its upstreams received no call")
        self._start_step("Failure domain south is brought back into service:")
        await self._apply_change(SetDomainOut("south", False))
        await self._query_until(
            lambda answer: deployment.count_calls("south") > before, STEP_TIMEOUT_MS
        )
        await self._query_and_print("south back", lambda answer: answer.coverage.is_complete)
        self._print_line("    its upstreams receive calls again")

    async def run_orders(self) -> None:
        """Send an order twice with the same key; it must run once."""
        self._start_step("One order, sent twice with the same idempotency key:")
        key = "demo-order-1"
        outcomes = []
        for attempt in ("first", "second"):
            outcome = await self._client.order(SERVICE, {"lots": 3}, key, ORDER_DEADLINE_MS)
            outcomes.append(outcome)
            if isinstance(outcome, Failure):
                state = outcome.answer.run_state.value
                self._print_line(f"    {attempt}: {outcome.kind.value}, {state}: {outcome.message}")
            else:
                mark = "replayed" if outcome.replayed else "executed"
                self._print_line(f"    {attempt}: {mark}, {outcome.answer} ({outcome.request_id})")
        executions = self._deployment.count_executions(key)
        self._print_line(f"    executions at upstreams: {executions}")
        problem = find_order_error(outcomes, executions)
        if problem:
            raise DemonstrationError(problem)

    def _check_limits(self) -> None:
        """Raise DemonstrationError if an upstream received calls or connections over its limits."""
        for name, upstream in self._deployment.upstreams.items():
            stats = upstream.stats()
            for key in ("over_limit_calls", "over_limit_connections"):
                if stats[key]:
                    raise DemonstrationError(f"{name} has {key} = {stats[key]}")
        self._print_line("")
        self._print_line("No upstream received calls or connections over its limits.")

    # Helpers of the steps

    def _start_step(self, title: str) -> None:
        self._print_line("")
        self._print_line(title)
        self._is_heading_printed = False

    async def _apply_change(self, edit: Edit) -> None:
        outcome = await self._configurator.change(edit)
        if not isinstance(outcome, CommittedChange):
            raise DemonstrationError(f"a configuration change was not accepted: {outcome}")
        record = outcome.change.record
        self._print_line(f"  configuration revision {record.revision}: {record.summary}")

    async def _query(self, text: str) -> QueryAnswer | Failure:
        answer = await self._client.query(SERVICE, text, DEADLINE_MS, SHARDS * ROWS_PER_SHARD)
        if isinstance(answer, QueryAnswer) and (inconsistency := find_inconsistency(answer)):
            raise DemonstrationError(f"the answer to {answer.request_id} {inconsistency}")
        return answer

    async def _query_until(
        self, check: AnswerCheck, timeout_ms: float, text: str = "ready?"
    ) -> tuple[QueryAnswer, int]:
        """Repeat a query until its answer passes `check`; every answer must be consistent.

        Returns the answer and the number of attempts before it. Raises DemonstrationError after
        `timeout_ms`, or if an answer is inconsistent.
        """
        clock = self._deployment.clock
        timeout_at_ms = clock.now_ms() + timeout_ms
        for earlier_attempts in itertools.count():
            answer = await self._query(text)
            if isinstance(answer, QueryAnswer) and check(answer):
                return answer, earlier_attempts
            if clock.now_ms() > timeout_at_ms:
                raise DemonstrationError(
                    f"no expected answer within {timeout_ms:.0f} ms; the last one: {answer}"
                )
            await asyncio.sleep(POLL_INTERVAL_MS / 1000)

    async def _query_and_print(self, text: str, check: AnswerCheck) -> QueryAnswer:
        answer, earlier_attempts = await self._query_until(check, STEP_TIMEOUT_MS, text)
        if not self._is_heading_printed:
            self._print_line(HEADING)
            self._is_heading_printed = True
        cells = COLUMNS.format(
            answer.request_id,
            text,
            answer.version,
            f"{answer.coverage.share:.1%}",
            len(answer.rows),
            f"{answer.took_ms:.1f} ms",
        )
        self._print_line(
            cells + (f"  (earlier attempts: {earlier_attempts})" if earlier_attempts else "")
        )
        return answer

    async def _wait_until_drained(self, domain: str) -> None:
        """Send queries until the upstreams of a domain out of service receive none of them.

        Raises DemonstrationError if that takes longer than STEP_TIMEOUT_MS.
        """
        timeout_at_ms = self._deployment.clock.now_ms() + STEP_TIMEOUT_MS
        queries_without_call = 0
        while queries_without_call < DRAIN_CHECK_QUERIES:
            before = self._deployment.count_calls(domain)
            await self._query("drain")
            queries_without_call = (
                0 if self._deployment.count_calls(domain) > before else queries_without_call + 1
            )
            if self._deployment.clock.now_ms() > timeout_at_ms:
                raise DemonstrationError(f"upstreams in {domain} still receive calls")
            await asyncio.sleep(POLL_INTERVAL_MS / 1000)


def find_order_error(outcomes: Sequence[Any], executions: int) -> str:
    """Return what is wrong with the outcomes of one order sent twice, or ""."""
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


async def run_demonstration(print_line: PrintLine) -> None:
    """Run the demonstration and pass each line of output to `print_line`.

    Raises DemonstrationError if a step fails or the time limit passes, and OSError if an address
    cannot be used.
    """
    clock = SystemClock()
    try:
        async with asyncio.timeout(TOTAL_TIMEOUT_MS / 1000), open_deployment(clock) as deployment:
            store = EtcdStore(deployment.store.address)
            configurator = ConfigurationWriter(
                store, clock, "demo", lambda duration_ms: asyncio.sleep(duration_ms / 1000)
            )
            seeds = [node.http_address for node in deployment.nodes.values()]
            try:
                async with Client(seeds, clock=clock, random=RandomSource(1)) as client:
                    await Demonstration(deployment, client, configurator, print_line).run()
            finally:
                await store.close()
    except TimeoutError:
        raise DemonstrationError(f"not finished within {TOTAL_TIMEOUT_MS / 1000:.0f} s") from None
