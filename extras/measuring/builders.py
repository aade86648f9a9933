"""Parts of instances at a given size, without processes."""

from collections.abc import Sequence
from typing import Any, NamedTuple

from citronpaddle.adapters.logs import LogFactory
from citronpaddle.adapters.upstreams import HttpUpstreams
from citronpaddle.clock import VirtualClock
from citronpaddle.documents import (
    Configuration,
    Head,
    ServiceSpec,
    UpstreamSpec,
)
from citronpaddle.environment import Environment
from citronpaddle.leasing import LeaseKeeper
from citronpaddle.models import (
    KEY_SPACE_SIZE,
    KeyRange,
    Member,
    MemberState,
    ShardInfo,
    UpstreamIndex,
    UpstreamState,
)
from citronpaddle.owner import Owner
from citronpaddle.policy.leases import GrantRequest, HolderId, LeaseParameters, VoterList
from citronpaddle.policy.membership import Heartbeat, Membership, VoterListState
from citronpaddle.policy.ownership import Holder
from citronpaddle.policy.rendezvous import rank_candidates
from citronpaddle.policy.voter import Voter
from citronpaddle.randomness import RandomSource
from citronpaddle.settings import LogSettings

from .sizes import UPSTREAMS_PER_SERVICE


def make_environment(clock: Any) -> Environment:
    """Return surroundings whose loggers print errors only."""
    logs = LogFactory("measured", LogSettings(level="critical"))
    return Environment(clock, RandomSource(1), logs.make_logger)


def make_service(number: int, domains: int = 9) -> ServiceSpec:
    """Return a service of the design size."""
    name = f"service-{number:03}"
    upstreams = tuple(
        UpstreamSpec(
            name=f"{name}-u{index}",
            address=f"10.{number}.0.{index + 1}:8080",
            failure_domain=f"domain-{index % domains}",
            slots=4,
            max_connections=45,
        )
        for index in range(UPSTREAMS_PER_SERVICE)
    )
    return ServiceSpec(name=name, group="measured", upstreams=upstreams)


def make_configuration(services: int, revision: int = 1) -> Configuration:
    """Return a configuration with services of the design size."""
    specs = {spec.name: spec for spec in map(make_service, range(services))}
    ancestors = tuple(f"change-{number:026}" for number in range(64))
    head = Head(
        revision=revision,
        change_id="change",
        services=dict.fromkeys(specs, 1),
        ancestors=ancestors,
    )
    return Configuration(head=head, services=specs)


def make_indexes(service: int) -> list[UpstreamIndex]:
    """Return the index of a service of the design size."""
    indexes = []
    for number in range(UPSTREAMS_PER_SERVICE):
        low = KEY_SPACE_SIZE * number // UPSTREAMS_PER_SERVICE
        high = KEY_SPACE_SIZE * (number + 1) // UPSTREAMS_PER_SERVICE
        shard = ShardInfo(f"s{number}of88", KeyRange(low, high), (1,))
        name = f"service-{service:03}-u{number}"
        indexes.append(UpstreamIndex(name, "entry-0001", UpstreamState.READY, 4, (shard,)))
    return indexes


def make_membership(size: int) -> Membership:
    """Return the view of an instance that has heard of `size` others in 9 domains."""
    own = Member("entry", 1, "domain-0", "10.9.0.1:9000", "10.9.0.1:8000", MemberState.LIVE, 1, 0.1)
    membership = Membership(own, RandomSource(1), 0.0)
    for number in range(size):
        host = f"10.0.{number // 200}.{number % 200 + 1}"
        member = own._replace(
            name=f"entry-{number:04}",
            failure_domain=f"domain-{number % 9}",
            peer_address=f"{host}:9000",
            http_address=f"{host}:8000",
        )
        membership.receive(Heartbeat(member, VoterListState(1, 1, True), ()), 0.0)
    return membership


class _NoPeers:
    """Stands for peers that are never called."""


class _Names:
    """A roster of the names of one domain."""

    def __init__(self, names: Sequence[str]) -> None:
        self._names = names

    def rank_owners(self, upstream: UpstreamSpec) -> Sequence[str]:
        """Return all names in order."""
        return rank_candidates(upstream.name, self._names)

    def find_peer_address(self, instance: str) -> str | None:
        """Return no address."""
        return None


class Domain(NamedTuple):
    """One instance's parts for a domain, with its share of the upstreams held."""

    clock: VirtualClock
    keeper: LeaseKeeper
    owner: Owner
    holder: Holder
    voter: Voter
    requests: list[GrantRequest]
    configuration: Configuration


def make_domain(upstreams: int, instances: int, voters: int = 5) -> Domain:
    """Return the parts of instance 0 of a domain after a round of grants."""
    clock = VirtualClock()
    names = [f"entry-{number:04}" for number in range(instances)]
    voter_list = VoterList(1, tuple(names[:voters]))
    terms = LeaseParameters()
    environment = make_environment(clock)
    keeper = LeaseKeeper(
        environment,
        HolderId(names[0], 1),
        voter_list,
        terms,
        _NoPeers(),  # type: ignore[arg-type]
        _Names(names),  # type: ignore[arg-type]
        lambda gained: None,
        lambda count: None,
    )
    specs = make_domain_specs(upstreams)
    configuration = Configuration(
        head=Head(revision=1, change_id="change", services=dict.fromkeys(specs, 1)),
        services=specs,
    )
    owner = Owner(
        environment,
        names[0],
        "domain-0",
        HttpUpstreams(),
        keeper,
        lambda: configuration,
    )
    owned = owner.apply_configuration(configuration)
    keeper.set_upstreams(owned)
    keeper.set_live_instances(names)
    voter = keeper.voter
    voter.confirm_list_from_store(0)
    clock.advance(terms.block_ms + 1)
    holder = keeper._holder
    voter_objects = [voter, *(Voter(name, voter_list, 0.0, terms) for name in names[1:voters])]
    for other in voter_objects:
        other.confirm_list_from_store(0)
    requests = []
    by_rank: dict[str, list[str]] = {}
    for upstream in owned:
        by_rank.setdefault(rank_candidates(upstream, names)[0], []).append(upstream)
    for name, held in by_rank.items():
        if name != names[0]:
            requests.append(GrantRequest(HolderId(name, 1), 1, voter_list, tuple(held)))
            for other in voter_objects:
                other.handle_request(requests[-1], clock.now_ms())
    for outgoing in holder.tick(clock.now_ms()):
        if isinstance(outgoing.message, GrantRequest):
            answering = voter_objects[names.index(outgoing.to)]
            reply = answering.handle_request(outgoing.message, clock.now_ms())
            holder.handle_reply(reply, clock.now_ms())
            requests.append(outgoing.message)
    return Domain(clock, keeper, owner, holder, voter, requests, configuration)


def make_domain_specs(upstreams: int) -> dict[str, ServiceSpec]:
    """Return services whose upstreams are all in domain 0."""
    specs = {}
    for first in range(0, upstreams, UPSTREAMS_PER_SERVICE):
        count = min(UPSTREAMS_PER_SERVICE, upstreams - first)
        spec = make_service(first // UPSTREAMS_PER_SERVICE, domains=1)
        specs[spec.name] = spec.model_copy(update={"upstreams": spec.upstreams[:count]})
    return specs
