"""Measures the CPU time of lease, membership, configuration and index decisions."""

import asyncio
import json
import time
from collections.abc import Callable
from typing import Any

import click

from citronpaddle.adapters.heartbeats import decode_heartbeat, encode_heartbeat
from citronpaddle.adapters.messages import decode_indexes, encode_indexes
from citronpaddle.documents import (
    Configuration,
    ConfigurationUpdate,
    PullRequest,
)
from citronpaddle.membership_runner import MemberView
from citronpaddle.models import (
    ListedInstance,
)
from citronpaddle.policy.configuration import build_update, merge_update
from citronpaddle.policy.rendezvous import rank_candidates
from citronpaddle.policy.snapshot import pin_snapshot
from citronpaddle.ports import HeartbeatMessage

from .builders import (
    DomainComponents,
    make_configuration,
    make_domain,
    make_indexes,
    make_membership,
    make_service,
)
from .tables import Table, measure_call_us

DOMAIN_COUNT = 9
DESIGN_SERVICES = 91
OWNER_WINDOW_S = 2.0
OWNER_PASS_INTERVAL_S = 0.05
MEMBERSHIP_ROUND_MS = 1_000.0


@click.command()
@click.option("--repeats", default=3, show_default=True)
@click.option("--name", default="decisions", show_default=True, help="Name of the result files.")
def decisions(repeats: int, name: str) -> None:
    """Measure the CPU time of lease, membership, configuration and index decisions."""
    table = Table(name)
    for _ in range(repeats):
        for size in (100, 300, 889):
            asyncio.run(measure_domain(table, size, 122, "upstreams of the domain, 122 instances"))
        for size in (3, 30, 122):
            asyncio.run(measure_domain(table, 889, size, "instances of the domain, 889 upstreams"))
        for size in (10, 30, 91):
            measure_configuration(table, size)
        for size in (10, 100, 1_099):
            measure_membership(table, size)
            names = [f"entry-{number:04}" for number in range(size)]
            used = measure_call_us(lambda names=names: rank_candidates("service-001-u1", names))
            table.add("rank_candidates, us / instances", size, used)
    table.save()


async def measure_domain(table: Table, upstreams: int, instances: int, axis: str) -> None:
    """Time the periodic lease decisions of one instance of a domain."""
    domain = make_domain(upstreams, instances)
    now_ms = domain.clock.now_ms() + 10.0
    size = upstreams if axis.startswith("upstreams") else instances
    held = len(domain.holder.list_held(now_ms))
    table.add(f"upstreams held / {axis}", size, held)
    table.add(
        f"Holder.tick, us / {axis}", size, measure_call_us(lambda: domain.holder.tick(now_ms))
    )
    table.add(f"LeaseKeeper.tick, us / {axis}", size, measure_call_us(domain.keeper.tick))
    request = max(domain.requests, key=lambda item: len(item.upstreams))
    sequence = 100

    def request_grant() -> None:
        nonlocal sequence
        sequence += 1
        domain.voter.handle_request(request._replace(sequence=sequence), now_ms)

    per_upstream = measure_call_us(request_grant) / len(request.upstreams)
    table.add(f"Voter.handle_request, us per upstream asked / {axis}", size, per_upstream)
    table.add(f"Owner.list_owned, us / {axis}", size, measure_call_us(domain.owner.list_owned))
    table.add(f"Owner.run, one pass, us / {axis}", size, await time_owner_pass(domain))


async def time_owner_pass(domain: DomainComponents) -> float:
    """Return the CPU time of one pass of the owner's loop in microseconds.

    Index reports of held upstreams are put off, so that only the loop itself is measured.
    """
    for owned in domain.owner._owned.values():
        if domain.keeper.can_dispatch(owned.spec.name, domain.clock.now_ms()):
            owned.next_report_ms = float("inf")
    task = asyncio.create_task(domain.owner.run())
    start_s, start = time.monotonic(), time.process_time()
    await asyncio.sleep(OWNER_WINDOW_S)
    used_s = time.process_time() - start
    pass_count = (time.monotonic() - start_s) / OWNER_PASS_INTERVAL_S
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    return used_s / pass_count * 1e6


def measure_membership(table: Table, size: int) -> None:
    """Time the calls of a membership view with `size` peers."""
    membership = make_membership(size)
    view = MemberView(membership)
    now_ms = 0.0
    last = f"entry-{size - 1:04}"
    heartbeat = membership.build_heartbeat(now_ms)
    reports = membership.list_reports(now_ms)[:8]
    received = heartbeat._replace(sender=reports[0].member, reports=reports)

    def tick() -> None:
        nonlocal now_ms
        now_ms += MEMBERSHIP_ROUND_MS
        membership.tick(now_ms)
        membership.compensate_for_pause(MEMBERSHIP_ROUND_MS)

    message = HeartbeatMessage(received, None, 0.0)
    body = encode_heartbeat(message)
    calls: dict[str, Callable[[], Any]] = {
        "Membership.list_usable": membership.list_usable,
        "MemberView.list_domain": lambda: view.list_domain("domain-0"),
        "MemberView.find_peer_address": lambda: view.find_peer_address(last),
        "MemberView.find_revisions": view.find_revisions,
        "Membership.receive": lambda: membership.receive(received, now_ms),
        "Membership.tick with a round": tick,
        "heartbeat with 8 reports, decode and encode": lambda: encode_heartbeat(
            decode_heartbeat(body)
        ),
    }
    for name, call in calls.items():
        table.add(f"{name}, us / members", size, measure_call_us(call))
    table.add("heartbeat with 8 reports, bytes / members", size, len(body))
    instances = [
        {
            "name": f"entry-{number:04}",
            "state": "live",
            "failure_domain": f"domain-{number % DOMAIN_COUNT}",
            "peer_address": f"10.0.{number // 200}.{number % 200 + 1}:9000",
            "http_address": f"10.0.{number // 200}.{number % 200 + 1}:8000",
        }
        for number in range(size)
    ]
    listing = json.dumps({"instances": instances}).encode()

    def apply_list() -> None:
        items = json.loads(listing)["instances"]
        membership.apply_instance_list(
            ListedInstance(
                item["name"],
                item["failure_domain"],
                item["peer_address"],
                item["http_address"],
                item["state"] == "leaving",
            )
            for item in items
        )

    table.add("instance list, bytes / members", size, len(listing))
    table.add("instance list, us to take / members", size, measure_call_us(apply_list))


def measure_configuration(table: Table, services: int) -> None:
    """Time a configuration change for an instance that pulls one changed service."""
    current = make_configuration(services)
    changed = make_service(0)
    head = current.head.model_copy(
        update={
            "revision": 2,
            "change_id": "change-2",
            "ancestors": ("change", *current.head.ancestors[:63]),
            "services": current.head.services | {changed.name: 2},
        }
    )
    data = ConfigurationUpdate(head=head, services={changed.name: changed}).to_bytes()
    table.add("update of one service, bytes / services", services, len(data))

    def pull() -> None:
        merge_update(current, ConfigurationUpdate.from_bytes(data))

    table.add("update of one service, us to take / services", services, measure_call_us(pull))
    newer = merge_update(current, ConfigurationUpdate.from_bytes(data))
    assert isinstance(newer, Configuration), newer
    request = PullRequest(revision=1, change_id="change")
    table.add(
        "update of one service, us to give / services",
        services,
        measure_call_us(lambda: build_update(newer, request).to_bytes()),
    )
    whole = PullRequest(revision=0, change_id="")
    table.add(
        "whole configuration, bytes / services",
        services,
        len(build_update(newer, whole).to_bytes()),
    )
    indexes = make_indexes(1)
    body = encode_indexes(indexes)
    if services == DESIGN_SERVICES:
        table.add("DESCRIBE of 88 upstreams, bytes", 88, len(body))
        table.add(
            "DESCRIBE of 88 upstreams, us to read",
            88,
            measure_call_us(lambda: decode_indexes(body)),
        )
        table.add(
            "pin_snapshot of 88 upstreams, us", 88, measure_call_us(lambda: pin_snapshot(indexes))
        )
    time_configuration_apply(table, newer, services)


def time_configuration_apply(table: Table, configuration: Configuration, services: int) -> None:
    """Time the application of a configuration that changes nothing for this domain."""
    domain = make_domain(1, 3)

    def apply() -> None:
        domain.keeper.set_upstreams(domain.owner.apply_configuration(configuration))

    table.add("configuration, us to put in force / services", services, measure_call_us(apply))
