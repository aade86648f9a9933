"""Builds components of instances at a given size in this process, without network calls."""

from collections.abc import Sequence
from typing import Any, NamedTuple

from citronpaddle.adapters.logs import LogFactory
from citronpaddle.adapters.upstreams import HttpUpstreams
from citronpaddle.clock import SystemClock, VirtualClock
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

DOMAIN_COUNT = 9


def make_quiet_environment(clock: Any) -> Environment:
    """Return an environment whose loggers write only entries of level critical."""
    logs = LogFactory("measured", LogSettings(level="critical"))
    return Environment(clock, RandomSource(1), logs.make_logger)


def make_service(number: int, domains: int = DOMAIN_COUNT) -> ServiceSpec:
    """Return a service of the design size, its upstreams spread over `domains`."""
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
    """Return the indexes of all upstreams of a service of the design size."""
    indexes = []
    for number in range(UPSTREAMS_PER_SERVICE):
        low = KEY_SPACE_SIZE * number // UPSTREAMS_PER_SERVICE
        high = KEY_SPACE_SIZE * (number + 1) // UPSTREAMS_PER_SERVICE
        shard = ShardInfo(f"s{number}of88", KeyRange(low, high), (1,))
        name = f"service-{service:03}-u{number}"
        indexes.append(UpstreamIndex(name, "entry-0001", UpstreamState.READY, 4, (shard,)))
    return indexes


def make_membership(size: int) -> Membership:
    """Return the membership view of an instance with `size` live peers in 9 failure domains."""
    own = Member("entry", 1, "domain-0", "10.9.0.1:9000", "10.9.0.1:8000", MemberState.LIVE, 1, 0.1)
    membership = Membership(own, RandomSource(1), 0.0)
    for number in range(size):
        host = f"10.0.{number // 200}.{number % 200 + 1}"
        member = own._replace(
            name=f"entry-{number:04}",
            failure_domain=f"domain-{number % DOMAIN_COUNT}",
            peer_address=f"{host}:9000",
            http_address=f"{host}:8000",
        )
        membership.receive(Heartbeat(member, VoterListState(1, 1, True), ()), 0.0)
    return membership


class _UnusedPeers:
    """A placeholder for the peer transport, which these measurements do not call."""


class _FixedResolver:
    """An instance resolver over a fixed list of the instances of one domain."""

    def __init__(self, names: Sequence[str]) -> None:
        self._names = names

    def rank_owners(self, upstream: UpstreamSpec) -> Sequence[str]:
        """Return all instance names in rendezvous order for the upstream."""
        return rank_candidates(upstream.name, self._names)

    def find_peer_address(self, instance: str) -> str | None:
        """Return None: no peer is called."""
        return None


class DomainComponents(NamedTuple):
    """The components of one instance, which holds leases on its share of a domain's upstreams.

    `requests` are the grant requests of the instances of the domain.
    """

    clock: VirtualClock
    keeper: LeaseKeeper
    owner: Owner
    holder: Holder
    voter: Voter
    requests: list[GrantRequest]
    configuration: Configuration


def make_domain(upstreams: int, instances: int, voter_count: int = 5) -> DomainComponents:
    """Return the components of instance 0 of a domain after a round of grants."""
    clock = VirtualClock()
    names = [f"entry-{number:04}" for number in range(instances)]
    voter_list = VoterList(1, tuple(names[:voter_count]))
    parameters = LeaseParameters()
    environment = make_quiet_environment(clock)
    keeper = LeaseKeeper(
        environment,
        HolderId(names[0], 1),
        voter_list,
        parameters,
        _UnusedPeers(),  # type: ignore[arg-type]
        _FixedResolver(names),  # type: ignore[arg-type]
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
        HttpUpstreams(SystemClock()),
        keeper,
        lambda: configuration,
    )
    owned = owner.apply_configuration(configuration)
    keeper.set_upstreams(owned)
    keeper.set_live_instances(names)
    voter = keeper.voter
    voter.confirm_list_from_store(0)
    clock.advance(parameters.block_ms + 1)
    holder = keeper._holder
    all_voters = [
        voter,
        *(Voter(name, voter_list, 0.0, parameters) for name in names[1:voter_count]),
    ]
    for other in all_voters:
        other.confirm_list_from_store(0)
    requests = []
    upstreams_by_owner: dict[str, list[str]] = {}
    for upstream in owned:
        upstreams_by_owner.setdefault(rank_candidates(upstream, names)[0], []).append(upstream)
    for name, held in upstreams_by_owner.items():
        if name != names[0]:
            requests.append(GrantRequest(HolderId(name, 1), 1, voter_list, tuple(held)))
            for other in all_voters:
                other.handle_request(requests[-1], clock.now_ms())
    for outgoing in holder.tick(clock.now_ms()):
        if isinstance(outgoing.message, GrantRequest):
            asked_voter = all_voters[names.index(outgoing.to)]
            reply = asked_voter.handle_request(outgoing.message, clock.now_ms())
            holder.handle_reply(reply, clock.now_ms())
            requests.append(outgoing.message)
    return DomainComponents(clock, keeper, owner, holder, voter, requests, configuration)


def make_domain_specs(upstreams: int) -> dict[str, ServiceSpec]:
    """Return services with `upstreams` upstreams in all, every one of them in domain 0."""
    specs = {}
    for first in range(0, upstreams, UPSTREAMS_PER_SERVICE):
        count = min(UPSTREAMS_PER_SERVICE, upstreams - first)
        spec = make_service(first // UPSTREAMS_PER_SERVICE, domains=1)
        specs[spec.name] = spec.model_copy(update={"upstreams": spec.upstreams[:count]})
    return specs
